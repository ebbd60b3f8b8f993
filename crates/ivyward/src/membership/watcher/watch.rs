//! A single watch over the registration records, from its start to its end.

use super::delivery::Relist;
use super::EndpointWatcher;
use ivyward_core::interface::{EndpointState, Micros};
use ivyward_core::membership::WatchEvent;
use ivyward_core::mutations::{self, Mutation};
use ivyward_etcd::{mvccpb, EtcdError, Notification, Watcher};
use ivyward_runtime::timeout_at;

/// Maximum number of events in a batch. A batch that reaches it is delivered at once.
const MAX_BATCH: usize = 4_096;

/// Why changes may have been missed.
#[derive(Debug, thiserror::Error)]
pub(super) enum GapReason {
    #[error(transparent)]
    Store(#[from] EtcdError),
    #[error("the store did not answer a progress request in time")]
    Silent,
    #[error("the watch was answered by another cluster than the list")]
    OtherCluster,
    #[error("the watched revision was compacted; the oldest available one is {0}")]
    Compacted(i64),
    #[error("the store cancelled the watch: {0}")]
    Cancelled(String),
}

/// How a watch ended.
pub(super) enum WatchEnd {
    /// Changes were missed, or may have been.
    Gap(GapReason),
    /// The complete list has to be read again.
    Relist(Relist),
}

/// Events of a watch that have not been delivered yet.
#[derive(Default)]
struct Batch {
    events: Vec<WatchEvent>,
    /// When the first event arrived, or the first urgent one.
    since: Option<Micros>,
    /// Whether one of the events is a drain or a removal.
    urgent: bool,
}

impl Batch {
    fn add(&mut self, now: Micros, events: Vec<WatchEvent>) {
        let since = self.since.get_or_insert(now);
        if !self.urgent && events.iter().any(is_urgent) {
            // The delay of an urgent event counts from its own arrival, not from that of earlier events.
            (self.urgent, *since) = (true, now);
        }
        self.events.extend(events);
    }
}

/// Whether an event is a drain or a removal, which has to take effect within the drain grace.
fn is_urgent(event: &WatchEvent) -> bool {
    match event {
        WatchEvent::Put(member) => member.endpoint.state != EndpointState::Ready,
        WatchEvent::Deleted { .. } => true,
        _ => false,
    }
}

struct ActiveWatch {
    stream: Watcher,
    /// Whether a progress notification was requested and nothing has arrived since.
    progress_requested: bool,
    /// When the last notification arrived or progress was last requested.
    silent_since: Micros,
    batch: Batch,
}

impl EndpointWatcher<'_> {
    /// Watches from the revision after the last known one, until the watch ends.
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

    /// Waits for the next notification, the delivery time of the batch, the time of the snapshot write or the silence timeout,
    /// whichever comes first, and handles it. Returns `Some` if the watch has ended.
    async fn watch_step(&mut self, watch: &mut ActiveWatch) -> Option<WatchEnd> {
        let deliver_at = self.delivery_time(&watch.batch);
        let snapshot_at = self.snapshot_outdated.then_some(self.next_snapshot_at);
        let silent_until = watch
            .silent_since
            .saturating_add(self.options.silence_timeout);
        let wake_at = [deliver_at, snapshot_at]
            .into_iter()
            .flatten()
            .fold(silent_until, Micros::min);
        match timeout_at(&self.runtime, wake_at, watch.stream.next()).await {
            Some(Ok(notification)) => self.on_notification(watch, notification).await,
            Some(Err(error)) => {
                self.client.fail_over();
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
            self.client.fail_over();
            return Some(self.end_watch(watch, GapReason::Silent).await);
        }
        watch.progress_requested = true;
        watch.silent_since = self.runtime.now();
        watch.stream.request_progress();
        None
    }

    async fn on_notification(
        &mut self,
        watch: &mut ActiveWatch,
        notification: Notification,
    ) -> Option<WatchEnd> {
        watch.progress_requested = false;
        self.pause = self.options.backoff.0;
        watch.silent_since = self.runtime.now();
        // Guards against a store that was replaced between the list and the watch. Revisions of the two clusters are unrelated,
        // and a watch from a revision that the new cluster has not reached would never receive an event.
        let cluster = watch.stream.cluster();
        if cluster.is_some() && cluster != self.membership.cluster() {
            return Some(self.end_watch(watch, GapReason::OtherCluster).await);
        }
        match notification {
            Notification::Progress(revision) => {
                // The batch is delivered first, because the notification confirms that it is complete.
                if let Some(relist) = self.deliver(&mut watch.batch).await {
                    return Some(WatchEnd::Relist(relist));
                }
                self.handle(WatchEvent::Progress(revision)).await;
            }
            Notification::Compacted(revision) => {
                let reason = GapReason::Compacted(revision);
                return Some(self.end_watch(watch, reason).await);
            }
            Notification::Cancelled(reason) => {
                let reason = GapReason::Cancelled(reason);
                return Some(self.end_watch(watch, reason).await);
            }
            Notification::Events { events, .. } => {
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
        // Not the revision in the response header: a watch that catches up gets several responses, each with the newest
        // revision of the store. If the watch broke after the first of them, the rest would be skipped.
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
        // Ignored records advance the known revision as well.
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

    /// Ends a watch. The batch is delivered first.
    async fn end_watch(&mut self, watch: &mut ActiveWatch, reason: GapReason) -> WatchEnd {
        self.deliver(&mut watch.batch)
            .await
            .map_or(WatchEnd::Gap(reason), WatchEnd::Relist)
    }

    async fn deliver(&mut self, batch: &mut Batch) -> Option<Relist> {
        let Batch { events, .. } = std::mem::take(batch);
        if events.is_empty() {
            return None;
        }
        self.handle_all(events).await
    }
}
