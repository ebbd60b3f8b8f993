//! One watch, from its start to its end.

use super::delivery::Relist;
use super::EndpointWatcher;
use ivyward_core::interface::{EndpointState, Micros};
use ivyward_core::membership::WatchEvent;
use ivyward_core::mutations::{self, Mutation};
use ivyward_etcd::{mvccpb, EtcdError, Notice, Watcher};
use ivyward_runtime::before;

/// Most events that wait for their time; with one more they are delivered.
const MAX_BATCH: usize = 4_096;

/// Why something may have been missed.
#[derive(Debug, thiserror::Error)]
pub(super) enum GapReason {
    #[error(transparent)]
    Store(#[from] EtcdError),
    #[error("the watch is silent")]
    Silent,
    #[error("another store answers than the one that was listed")]
    OtherStore,
    #[error("compacted up to {0}")]
    Compacted(i64),
    #[error("cancelled: {0}")]
    Cancelled(String),
}

/// How a watch ended.
pub(super) enum WatchEnd {
    /// Something was missed, or may have been.
    Gap(GapReason),
    /// The complete list is to be read again.
    Relist(Relist),
}

/// Events of a watch that wait to be delivered.
#[derive(Default)]
struct Batch {
    events: Vec<WatchEvent>,
    /// When the first of them arrived, or the first urgent one.
    since: Option<Micros>,
    /// Whether an engine among them drains or is gone.
    urgent: bool,
}

impl Batch {
    fn add(&mut self, now: Micros, events: Vec<WatchEvent>) {
        let since = self.since.get_or_insert(now);
        if !self.urgent && events.iter().any(is_urgent) {
            // Its wait counts from here, not from what came before it.
            (self.urgent, *since) = (true, now);
        }
        self.events.extend(events);
    }
}

fn is_urgent(event: &WatchEvent) -> bool {
    match event {
        WatchEvent::Put(member) => member.endpoint.state != EndpointState::Ready,
        WatchEvent::Deleted { .. } => true,
        _ => false,
    }
}

struct ActiveWatch {
    stream: Watcher,
    /// Whether the store was asked for the watch's progress and has not answered.
    progress_requested: bool,
    silent_since: Micros,
    batch: Batch,
}

impl EndpointWatcher<'_> {
    /// Watches from the revision after the last one known, until the watch ends.
    pub(super) async fn watch(&mut self) -> WatchEnd {
        let prefix = self.options.prefix.clone().into_bytes();
        let next = if mutations::is_active(Mutation::WatchSkipsRevision) {
            2
        } else {
            1
        };
        let from = self.membership.revision() + next;
        let stream = match self.client.watch(&prefix, from).await {
            Ok(stream) => stream,
            Err(error) => return WatchEnd::Gap(error.into()),
        };
        let mut watch = ActiveWatch {
            stream,
            progress_requested: false,
            silent_since: self.runtime.now(),
            batch: Batch::default(),
        };
        loop {
            if let Some(end) = self.watch_step(&mut watch).await {
                return end;
            }
        }
    }

    /// Waits for the next notice, the time to deliver the batch, the snapshot's time, or the time at which a silent watch is
    /// checked: whichever is first. Returns the end of the watch, if this was it.
    async fn watch_step(&mut self, watch: &mut ActiveWatch) -> Option<WatchEnd> {
        let deliver_at = self.delivery_time(&watch.batch);
        let snapshot_at = self.snapshot_outdated.then_some(self.next_snapshot_at);
        let silent_until = watch.silent_since.saturating_add(self.options.silence);
        let wake_at = [deliver_at, snapshot_at]
            .into_iter()
            .flatten()
            .fold(silent_until, Micros::min);
        match before(&self.runtime, wake_at, watch.stream.next()).await {
            Some(Ok(notice)) => self.on_notice(watch, notice).await,
            Some(Err(error)) => {
                self.client.leave_endpoint();
                Some(self.end_watch(watch, error.into()).await)
            }
            None => self.on_wakeup(watch, deliver_at, silent_until).await,
        }
    }

    fn delivery_time(&self, batch: &Batch) -> Option<Micros> {
        batch
            .since
            .map(|since| self.update_interval.deliver_at(since, batch.urgent))
    }

    async fn on_wakeup(
        &mut self,
        watch: &mut ActiveWatch,
        deliver_at: Option<Micros>,
        silent_until: Micros,
    ) -> Option<WatchEnd> {
        let now = self.runtime.now();
        if deliver_at.is_some_and(|at| at <= now) {
            if let Some(relist) = self.deliver(&mut watch.batch).await {
                return Some(WatchEnd::Relist(relist));
            }
        }
        self.write_snapshot_if_due();
        if silent_until > self.runtime.now() {
            return None;
        }
        if watch.progress_requested {
            self.client.leave_endpoint();
            return Some(self.end_watch(watch, GapReason::Silent).await);
        }
        watch.progress_requested = true;
        watch.silent_since = self.runtime.now();
        watch.stream.request_progress();
        None
    }

    async fn on_notice(&mut self, watch: &mut ActiveWatch, notice: Notice) -> Option<WatchEnd> {
        watch.progress_requested = false;
        self.pause = self.options.pauses.0;
        watch.silent_since = self.runtime.now();
        // Guards against a store that was replaced between list and watch: its revisions are others, and a watch from
        // one that it has not reached would wait without end.
        let cluster = watch.stream.cluster();
        if cluster.is_some() && cluster != self.membership.cluster() {
            return Some(self.end_watch(watch, GapReason::OtherStore).await);
        }
        match notice {
            Notice::Progress(revision) => {
                // After the batch, which it says is complete.
                if let Some(relist) = self.deliver(&mut watch.batch).await {
                    return Some(WatchEnd::Relist(relist));
                }
                self.handle(WatchEvent::Progress(revision)).await;
            }
            Notice::Compacted(revision) => {
                let why = GapReason::Compacted(revision);
                return Some(self.end_watch(watch, why).await);
            }
            Notice::Cancelled(reason) => {
                let why = GapReason::Cancelled(reason);
                return Some(self.end_watch(watch, why).await);
            }
            Notice::Events { events, .. } => {
                if let Some(relist) = self.on_events(watch, events).await {
                    return Some(WatchEnd::Relist(relist));
                }
            }
        }
        self.write_snapshot_if_due();
        None
    }

    async fn on_events(
        &mut self,
        watch: &mut ActiveWatch,
        events: Vec<mvccpb::Event>,
    ) -> Option<Relist> {
        // Not the response's own revision: a watch that catches up is sent in parts, each with the store's newest, and
        // what is still to come would be passed over after a break.
        let last = events
            .iter()
            .filter_map(|event| event.kv.as_ref())
            .map(|kv| kv.mod_revision)
            .max();
        let events = events
            .into_iter()
            .filter_map(|event| self.read_event(event))
            .collect();
        watch.batch.add(self.runtime.now(), events);
        // An ignored record moves the watch on as well.
        watch
            .batch
            .events
            .push(WatchEvent::Progress(last.unwrap_or(0)));
        let deliver_at = self.delivery_time(&watch.batch).unwrap_or(Micros::MAX);
        if deliver_at <= self.runtime.now() || watch.batch.events.len() >= MAX_BATCH {
            return self.deliver(&mut watch.batch).await;
        }
        None
    }

    /// Delivers the batch before a watch is left.
    async fn end_watch(&mut self, watch: &mut ActiveWatch, why: GapReason) -> WatchEnd {
        self.deliver(&mut watch.batch)
            .await
            .map_or(WatchEnd::Gap(why), WatchEnd::Relist)
    }

    async fn deliver(&mut self, batch: &mut Batch) -> Option<Relist> {
        let Batch { events, .. } = std::mem::take(batch);
        if events.is_empty() {
            return None;
        }
        self.handle_all(events).await
    }
}
