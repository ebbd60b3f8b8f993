//! Follows engines through etcd's watch API: lists, watches, and passes on what the membership decider makes of it.

use crate::engines::Engine;
use crate::membership::registration::{key_id, read, PREFIX};
use crate::membership::snapshot;
use crate::node::Node;
use crate::settings::SettingsError;
use futures_lite::future::or;
use ivyward_core::interface::{Endpoint, EndpointId, EndpointState, ListKind, Micros};
use ivyward_core::membership::{
    Member, Membership, MembershipAction, MembershipSettings, WatchEvent,
};
use ivyward_core::mutations::{self, Mutation};
use ivyward_core::start_time::StartTimes;
use ivyward_core::update_interval::{UpdateInterval, UpdateIntervalSettings};
pub use ivyward_etcd::EtcdOptions;
use ivyward_etcd::{mvccpb, Client, Notice};
use ivyward_runtime::{before, metered, RuntimeExt, RuntimeRef};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::{info, warn};

/// Most engines whose bad records are remembered as logged.
const MOST_NAMED: usize = 10_000;
/// Most things heard that wait for their time; with one more they are passed on.
const MOST_WAITING: usize = 4_096;
/// The file of the last list is written at most once in this span, in microseconds.
const KEEP_EVERY: Micros = 1_000_000;

/// Where and how to follow. Times are microseconds.
#[derive(Clone, Debug)]
pub struct Follow {
    /// The store's endpoints; one is used at a time.
    pub endpoints: Vec<SocketAddr>,
    /// Engines' records stand below it, each under the engine's id.
    pub prefix: String,
    /// The client's ways.
    pub etcd: EtcdOptions,
    /// An empty list beside a known fleet is believed when it was heard for so long.
    pub empty_grace: Micros,
    /// A watch that told nothing for this span is asked whether it is whole; silent for as long again, it counts as
    /// broken.
    pub silence: Micros,
    /// A store whose lists stay behind what it told before is believed when it told nothing else for so long: it was
    /// restored from an older copy.
    pub behind_grace: Micros,
    /// Keeps the last list here, for starts while the store is down.
    pub snapshot: Option<PathBuf>,
    /// First pause after a failure; it doubles, with jitter, up to the second.
    pub pauses: (Micros, Micros),
}

impl Default for Follow {
    fn default() -> Follow {
        Follow {
            endpoints: Vec::new(),
            prefix: PREFIX.into(),
            etcd: EtcdOptions::default(),
            empty_grace: 10_000_000,
            behind_grace: 10_000_000,
            silence: 2_000_000,
            snapshot: None,
            pauses: (20_000, 2_000_000),
        }
    }
}

impl Follow {
    /// Looks for settings that cannot hold.
    ///
    /// # Errors
    /// The first one found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.prefix.is_empty() {
            return Err(SettingsError::new(
                "--etcd-prefix",
                "(empty)",
                "would take every key for an engine's record",
            ));
        }
        for (flag, span) in [
            ("--etcd-silence", self.silence),
            ("--etcd-empty-grace", self.empty_grace),
            ("--etcd-behind-grace", self.behind_grace),
        ] {
            if !(1_000..=3_600_000_000).contains(&span) {
                return Err(SettingsError::new(
                    flag,
                    format!("{span}us"),
                    "must be from 1ms to an hour",
                ));
            }
        }
        let mut seen = BTreeSet::new();
        match self.endpoints.iter().find(|e| !seen.insert(**e)) {
            Some(twice) => Err(SettingsError::new(
                "--etcd-endpoint",
                twice,
                "is given twice",
            )),
            None => Ok(()),
        }
    }
}

/// What the follower carries along beside the decider.
struct Follower<'a> {
    node: &'a Node,
    runtime: RuntimeRef,
    follow: Follow,
    client: Client,
    decider: Membership,
    starts: StartTimes,
    pace: UpdateInterval,
    /// The list changed since the file was written, and when it may be written again.
    unkept: bool,
    keep_from: Micros,
    /// Engines whose bad record was logged, with its revision.
    named: BTreeMap<EndpointId, i64>,
    pause: Micros,
}

/// What was heard of a watch and waits to be passed on.
#[derive(Default)]
struct Batch {
    heard: Vec<WatchEvent>,
    /// When the first of it was heard.
    since: Option<Micros>,
    /// An engine among it drains or is gone.
    urgent: bool,
}

impl Batch {
    fn add(&mut self, now: Micros, heard: Vec<WatchEvent>) {
        let urgent = |h: &WatchEvent| match h {
            WatchEvent::Put(member) => member.endpoint.state != EndpointState::Ready,
            WatchEvent::Deleted { .. } => true,
            _ => false,
        };
        let since = self.since.get_or_insert(now);
        if !self.urgent && heard.iter().any(urgent) {
            // Its wait counts from here, not from what came before it.
            (self.urgent, *since) = (true, now);
        }
        self.heard.extend(heard);
    }
}

/// Why a watch was left.
enum Left {
    /// Something was missed, or may have been.
    Gap(String),
    /// The decider wants another list, at a time.
    Relist(Micros),
}

impl Node {
    /// Follows engines until the node stops. While the store cannot be reached the last list stands.
    pub async fn follow(&self, follow: Follow) {
        let runtime = metered(&self.context.runtime, &self.context.metrics.list_traffic);
        let mut follower = Follower {
            client: Client::new(&runtime, follow.endpoints.clone(), follow.etcd.clone()),
            decider: Membership::new(MembershipSettings {
                empty_grace: follow.empty_grace,
                behind_grace: follow.behind_grace,
            }),
            starts: StartTimes::new(),
            pace: UpdateInterval::new(UpdateIntervalSettings::for_grace(
                self.settings().rules.drain_grace,
            )),
            unkept: false,
            keep_from: 0,
            named: BTreeMap::new(),
            pause: follow.pauses.0,
            node: self,
            runtime,
            follow,
        };
        or(follower.run(), self.closed()).await;
    }
}

impl Follower<'_> {
    async fn run(&mut self) {
        if let Some(path) = self.follow.snapshot.clone() {
            match snapshot::read(&path) {
                Ok(Some(members)) => {
                    info!(engines = members.len(), file = %path.display(), "engines as last listed, until the store speaks");
                    self.hear(WatchEvent::Snapshot(members)).await;
                }
                Ok(None) => {}
                Err(e) => warn!(file = %path.display(), error = %e, "the kept list is not used"),
            }
        }
        loop {
            self.node.metrics().list_stale.set(1);
            let listed = self.client.list(self.follow.prefix.as_bytes()).await;
            let again = match listed {
                Ok(list) => {
                    let (members, unread) = self.members(&list.kvs);
                    let (cluster, revision) = (list.cluster, list.revision);
                    self.hear(WatchEvent::List {
                        cluster,
                        revision,
                        members,
                        unreadable: unread,
                    })
                    .await
                }
                Err(e) => {
                    warn!(error = %e, "the list of engines cannot be read; the last one stands");
                    Some(0)
                }
            };
            if let Some(at) = again {
                // An old answer or no answer: elsewhere, after a pause. An empty one: at its time.
                if at == 0 {
                    self.client.leave_endpoint();
                    self.rest().await;
                } else {
                    self.runtime
                        .sleep_until(at.min(self.runtime.now().saturating_add(self.follow.silence)))
                        .await;
                }
                continue;
            }
            self.node.metrics().list_stale.set(0);
            match self.watch().await {
                Left::Gap(why) => {
                    info!(
                        why,
                        "the watch of engines has a gap; the list is read again"
                    );
                    self.node.metrics().list_gaps.add(1);
                    self.hear(WatchEvent::Gap).await;
                    self.rest().await;
                }
                Left::Relist(at) => self.runtime.sleep_until(at).await,
            }
        }
    }

    /// A pause that grows from failure to failure, half of it by chance.
    async fn rest(&mut self) {
        let pause = (self.pause as f64 * (0.5 + 0.5 * self.runtime.unit())) as Micros;
        self.pause = (self.pause * 2).min(self.follow.pauses.1);
        self.runtime.sleep(pause).await;
    }

    async fn watch(&mut self) -> Left {
        let prefix = self.follow.prefix.clone().into_bytes();
        let next = if mutations::is_active(Mutation::WatchSkips) {
            2
        } else {
            1
        };
        let mut watch = match self
            .client
            .watch(&prefix, self.decider.revision() + next)
            .await
        {
            Ok(watch) => watch,
            Err(e) => return Left::Gap(e.to_string()),
        };
        let mut asked = false;
        let mut silent_from = self.runtime.now();
        let mut batch = Batch::default();
        loop {
            // What waits for its time, the file's time, and the silence: whichever is first.
            let passing = batch.since.map(|since| self.pace.due(since, batch.urgent));
            let keeping = self.unkept.then_some(self.keep_from);
            let silence = silent_from.saturating_add(self.follow.silence);
            let until = [passing, keeping]
                .into_iter()
                .flatten()
                .fold(silence, Micros::min);
            let notice = match before(&self.runtime, until, watch.next()).await {
                Some(Ok(notice)) => notice,
                Some(Err(e)) => {
                    self.client.leave_endpoint();
                    return self.left(batch, Left::Gap(e.to_string())).await;
                }
                None => {
                    let now = self.runtime.now();
                    if passing.is_some_and(|at| at <= now) {
                        if let Some(at) = self.pass_batch(&mut batch).await {
                            return Left::Relist(at);
                        }
                    }
                    self.keep_in_time();
                    if silence > self.runtime.now() {
                        continue;
                    }
                    if asked {
                        self.client.leave_endpoint();
                        return self
                            .left(batch, Left::Gap("the watch is silent".into()))
                            .await;
                    }
                    (asked, silent_from) = (true, self.runtime.now());
                    watch.ask_progress();
                    continue;
                }
            };
            (asked, self.pause, silent_from) = (false, self.follow.pauses.0, self.runtime.now());
            // Guards against a store that was replaced between list and watch: its revisions are others, and a watch from
            // one that it has not reached would wait without end.
            if watch.cluster().is_some() && watch.cluster() != self.decider.cluster() {
                let why = Left::Gap("another store answers than the one that was listed".into());
                return self.left(batch, why).await;
            }
            match notice {
                Notice::Progress(revision) => {
                    // Behind what waits: it says that all of that was told.
                    if let Some(at) = self.pass_batch(&mut batch).await {
                        return Left::Relist(at);
                    }
                    self.hear(WatchEvent::Progress(revision)).await;
                }
                Notice::Compacted(revision) => {
                    return self
                        .left(batch, Left::Gap(format!("compacted up to {revision}")))
                        .await;
                }
                Notice::Cancelled(reason) => {
                    return self
                        .left(batch, Left::Gap(format!("cancelled: {reason}")))
                        .await;
                }
                Notice::Events { events, .. } => {
                    // Not the response's own revision: a watch that catches up is sent in parts, each with the store's
                    // newest, and what is still to come would be passed over after a break.
                    let last = events
                        .iter()
                        .filter_map(|e| e.kv.as_ref())
                        .map(|kv| kv.mod_revision)
                        .max();
                    let heard = events
                        .into_iter()
                        .filter_map(|e| self.event(e))
                        .collect::<Vec<WatchEvent>>();
                    batch.add(self.runtime.now(), heard);
                    // What was left out moves the watch on as well.
                    batch.heard.push(WatchEvent::Progress(last.unwrap_or(0)));
                    let due = batch
                        .since
                        .map_or(Micros::MAX, |since| self.pace.due(since, batch.urgent));
                    if due <= self.runtime.now() || batch.heard.len() >= MOST_WAITING {
                        if let Some(at) = self.pass_batch(&mut batch).await {
                            return Left::Relist(at);
                        }
                    }
                }
            }
            self.keep_in_time();
        }
    }

    /// Passes on what waits before a watch is left.
    async fn left(&mut self, mut batch: Batch, why: Left) -> Left {
        self.pass_batch(&mut batch).await.map_or(why, Left::Relist)
    }

    async fn pass_batch(&mut self, batch: &mut Batch) -> Option<Micros> {
        let Batch { heard, .. } = std::mem::take(batch);
        if heard.is_empty() {
            return None;
        }
        self.hear_all(heard).await
    }

    /// Tells the decider and passes on what it says. A time to list again, 0 for at once and elsewhere.
    async fn hear(&mut self, heard: WatchEvent) -> Option<Micros> {
        self.hear_all(vec![heard]).await
    }

    /// The same for all of a response. Changes that stand together reach the module as one list, for it goes over all it
    /// knows at each.
    async fn hear_all(&mut self, heard: Vec<WatchEvent>) -> Option<Micros> {
        let gap = heard.contains(&WatchEvent::Gap);
        let (mut all, mut again) = (Vec::new(), None);
        for heard in heard {
            self.decider
                .handle_event(self.runtime.now(), heard, &mut all);
        }
        let mut out: Vec<MembershipAction> = Vec::new();
        for told in all {
            match (out.last_mut(), told) {
                (
                    Some(MembershipAction::EndpointList {
                        kind: ListKind::Changes,
                        members: entries,
                    }),
                    MembershipAction::EndpointList {
                        kind: ListKind::Changes,
                        members: more,
                    },
                ) => {
                    entries.extend(more);
                }
                // One writing of the file for all of it, in its time.
                (_, MembershipAction::SaveSnapshot) => self.unkept = true,
                (_, told) => out.push(told),
            }
        }
        for told in out {
            match told {
                MembershipAction::EndpointList {
                    kind,
                    members: entries,
                } => self.pass_on(kind, entries).await,
                MembershipAction::Relist => again = (!gap).then_some(0),
                MembershipAction::RelistAt(at) => again = Some(at),
                MembershipAction::SaveSnapshot => {}
            }
        }
        // Here, so that it is right whenever what waited for its time was passed on.
        self.node
            .metrics()
            .list_revision
            .set(self.decider.revision().max(0) as u64);
        self.keep_in_time();
        again
    }

    /// Writes the file where the list changed, at most once in [`KEEP_EVERY`].
    fn keep_in_time(&mut self) {
        let now = self.runtime.now();
        if !self.unkept || now < self.keep_from {
            return;
        }
        self.keep_from = now.saturating_add(KEEP_EVERY);
        let Some(path) = &self.follow.snapshot else {
            self.unkept = false;
            return;
        };
        let members: Vec<Member> = self.decider.members().copied().collect();
        match snapshot::write(path, &members) {
            Ok(()) => self.unkept = false,
            // Guards against a disk that was full for a moment: the file would stay old until the list changes again.
            Err(e) => {
                self.node.metrics().list_keep_failures.add(1);
                warn!(file = %path.display(), error = %e, "the list cannot be kept; tried again");
            }
        }
    }

    async fn pass_on(&mut self, kind: ListKind, members: Vec<Member>) {
        let (now, unix) = (self.runtime.now(), self.runtime.unix_micros());
        let mut engines = Vec::with_capacity(members.len());
        for Member {
            endpoint: entry,
            address,
            ..
        } in members
        {
            if entry.state == EndpointState::Removed {
                self.starts.remove(entry.id);
                engines.push(Engine {
                    endpoint: entry,
                    address,
                });
                continue;
            }
            let started = self.starts.resolve(
                &entry,
                now,
                unix,
                self.node.settings().rules.warm_up_duration,
            );
            engines.push(Engine {
                endpoint: Endpoint {
                    started_at: started,
                    ..entry
                },
                address,
            });
        }
        if kind == ListKind::Full {
            let named: BTreeSet<EndpointId> = engines.iter().map(|e| e.endpoint.id).collect();
            self.starts.complete_list(|id| named.contains(&id));
        }
        self.node.update_endpoints(kind, engines).await;
        self.pace.delivered(now, self.runtime.now());
    }

    fn members(&mut self, kvs: &[mvccpb::KeyValue]) -> (Vec<Member>, Vec<EndpointId>) {
        let (mut members, mut unread) = (Vec::new(), Vec::new());
        for kv in kvs {
            match self.member(kv) {
                Ok(member) => members.push(member),
                Err(id) => unread.extend(id),
            }
        }
        (members, unread)
    }

    /// The member that a record names; else the engine whose record cannot be read, if the key names one.
    fn member(&mut self, kv: &mvccpb::KeyValue) -> Result<Member, Option<EndpointId>> {
        let Some(id) = key_id(self.follow.prefix.as_bytes(), &kv.key) else {
            self.complain(
                EndpointId(u64::MAX),
                kv,
                "the key does not end in an engine's id",
            );
            return Err(None);
        };
        read(id, &kv.value, kv.mod_revision).map_err(|problem| {
            self.complain(id, kv, &problem.to_string());
            Some(id)
        })
    }

    /// Logs a bad record once, and counts it.
    fn complain(&mut self, id: EndpointId, kv: &mvccpb::KeyValue, problem: &str) {
        if self.named.get(&id) == Some(&kv.mod_revision) {
            return;
        }
        if self.named.len() >= MOST_NAMED {
            self.named.clear();
        }
        self.named.insert(id, kv.mod_revision);
        self.node.metrics().records_unread.add(1);
        warn!(key = %String::from_utf8_lossy(&kv.key), problem, "a registration record is left out");
    }

    fn event(&mut self, event: mvccpb::Event) -> Option<WatchEvent> {
        let deleted = event.r#type() == mvccpb::event::EventType::Delete;
        let kv = event.kv?;
        if deleted {
            let id = key_id(self.follow.prefix.as_bytes(), &kv.key)?;
            return Some(WatchEvent::Deleted {
                id,
                revision: kv.mod_revision,
            });
        }
        // An engine whose new record cannot be read stays as it was known.
        self.member(&kv).ok().map(WatchEvent::Put)
    }
}
