//! Membership of engines: turns the lists, watch events and failures of a store into endpoint lists for the router.
//!
//! [`Membership`] decides which lists to accept, how to bridge a gap in the watch, when to keep the known engines instead
//! of accepting an empty list, and how to merge the record of an engine that restarted. The module does no I/O and reads
//! no clock: the watcher of a store (etcd, or a fixed list) passes in each event with the time, and carries out the
//! returned actions.
//!
//! Rules:
//! - A drain or a removal is passed on in the call that receives it.
//! - A gap (a compacted watch, a lost connection) changes no engine by itself: engines stay as last known until the next
//!   complete list. Engines missing from that list are removed.
//! - An empty complete list is not accepted at first while engines are known: a store that was restored empty, or a wrong
//!   key prefix, must not stop the service. The empty list is accepted once it is received again after `empty_grace`.
//!   Deletions of single engines are accepted at once.
//! - A record with the same id and a later start time describes a new process, without the KV cache of the old one. A
//!   record with an earlier start time than the known one was written by an earlier process and does not replace the
//!   known process; but a drain in the store's latest record takes effect, whoever wrote it. A record without a start
//!   time leaves the known start time unchanged.
//! - Revisions never decrease within one store. A list with a lower revision than the known one is stale (it comes from a
//!   store member that lags behind after a failover) and is ignored. If a store sends only such lists for `behind_grace`,
//!   it was restored from an older backup and is treated like a store with another cluster id.

use crate::interface::{Endpoint, EndpointId, EndpointState, ListKind, Micros};
use crate::mutations::{self, Mutation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The store's record of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The endpoint for the router. `started_at` is on the store's clock; this module only compares it with other start
    /// times of the same engine.
    pub endpoint: Endpoint,
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The store revision at which the record was written.
    pub revision: i64,
}

/// An event received from the store, or from the snapshot file.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A complete list: all records of the store at one revision.
    List {
        /// The store's cluster id.
        cluster: u64,
        /// The store revision of the list.
        revision: i64,
        /// The records that could be decoded.
        members: Vec<Member>,
        /// Engines whose records exist but cannot be decoded. They stay as last known.
        unreadable: Vec<EndpointId>,
    },
    /// A record was written.
    Put(Member),
    /// A record was deleted, explicitly or because its lease expired.
    Deleted {
        /// The engine whose record was deleted.
        id: EndpointId,
        /// The store revision of the deletion.
        revision: i64,
    },
    /// The watch has delivered all changes up to this store revision.
    Progress(i64),
    /// The watch broke, was cancelled, or its revision was compacted: changes may have been missed.
    Gap,
    /// The engines in the snapshot file of an earlier run. Ignored once a complete list of the store was accepted.
    Snapshot(Vec<Member>),
}

/// An action for the watcher of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Pass an endpoint list to the router.
    EndpointList {
        /// Whether the list is complete, read from the snapshot, or holds changes only.
        kind: ListKind,
        /// The listed engines. A removed engine has the state [`EndpointState::Removed`].
        members: Vec<Member>,
    },
    /// Read the complete list again now.
    Relist,
    /// An empty list was not accepted yet: read the complete list again at this time.
    RelistAt(Micros),
    /// The known engines changed: write them to the snapshot file.
    SaveSnapshot,
}

/// How long [`Membership`] waits before it accepts a suspicious list. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// While engines are known, an empty complete list is accepted only when the store has sent empty lists for this long.
    pub empty_grace: Micros,
    /// Lists with a lower revision than the known one are accepted only when the store has sent no others for this long.
    pub behind_grace: Micros,
}

/// The content of [`WatchEvent::List`].
struct CompleteList {
    cluster: u64,
    revision: i64,
    members: Vec<Member>,
    unreadable: Vec<EndpointId>,
}

/// The known engines of one store. The module documentation states the rules.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    cluster: Option<u64>,
    /// All changes up to this store revision are known.
    revision: i64,
    members: BTreeMap<EndpointId, Member>,
    /// The members come from the snapshot file of an earlier run.
    from_snapshot: bool,
    /// When the first of the latest consecutive empty lists was received.
    empty_since: Option<Micros>,
    /// When the first of the latest consecutive lists with a lower revision than the known one was received.
    behind_since: Option<Micros>,
    /// Changes may have been missed since the last complete list.
    gap: bool,
}

impl Membership {
    /// Creates a membership without known engines, which waits for its first list.
    pub fn new(settings: MembershipSettings) -> Membership {
        Membership {
            settings,
            cluster: None,
            revision: 0,
            members: BTreeMap::new(),
            from_snapshot: false,
            empty_since: None,
            behind_since: None,
            gap: true,
        }
    }
    /// Returns the cluster id of the list accepted last; `None` before the first.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }
    /// Returns the store revision up to which all changes are known. A new watch starts at the revision after it.
    pub fn revision(&self) -> i64 {
        self.revision
    }
    /// Returns whether changes may have been missed since the last complete list; true before the first list.
    pub fn has_gap(&self) -> bool {
        self.gap
    }
    /// Returns the known engines in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Handles an event received at `now` and appends the resulting actions to `out`.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: WatchEvent,
        out: &mut Vec<MembershipAction>,
    ) {
        match event {
            WatchEvent::List {
                cluster,
                revision,
                members,
                unreadable,
            } => {
                let list = CompleteList {
                    cluster,
                    revision,
                    members,
                    unreadable,
                };
                self.on_list(now, list, out);
            }
            WatchEvent::Put(member) => self.on_put(member, out),
            WatchEvent::Deleted { id, revision } => self.on_deleted(id, revision, out),
            WatchEvent::Progress(revision) if !self.gap => {
                self.revision = self.revision.max(revision)
            }
            WatchEvent::Progress(_) => {}
            WatchEvent::Gap => {
                self.gap = true;
                out.push(MembershipAction::Relist);
            }
            // A snapshot is older than any list received from the store.
            WatchEvent::Snapshot(members) if self.cluster.is_none() => {
                self.members = members
                    .into_iter()
                    .map(|member| (member.endpoint.id, member))
                    .collect();
                self.from_snapshot = true;
                out.push(self.endpoint_list(ListKind::Cached));
            }
            WatchEvent::Snapshot(_) => {}
        }
    }

    fn on_list(&mut self, now: Micros, list: CompleteList, out: &mut Vec<MembershipAction>) {
        if self.is_stale(now, &list) {
            out.push(MembershipAction::Relist);
            return;
        }
        // The revisions of a restored store are not comparable with those of the store before.
        let same_store = self.cluster == Some(list.cluster) && list.revision >= self.revision;
        self.behind_since = None;
        if let Some(relist_at) = self.empty_list_retry(now, &list) {
            out.push(MembershipAction::RelistAt(relist_at));
            return;
        }
        self.empty_since = None;
        let members = self.merge(&list, same_store);
        let changed =
            self.members != members || self.from_snapshot || self.cluster != Some(list.cluster);
        self.members = members;
        self.cluster = Some(list.cluster);
        self.revision = list.revision;
        self.gap = false;
        self.from_snapshot = false;
        if changed {
            out.push(self.endpoint_list(ListKind::Full));
            out.push(MembershipAction::SaveSnapshot);
        }
    }

    /// Returns whether to ignore a list because its revision is lower than the known one and `behind_grace` is not over.
    fn is_stale(&mut self, now: Micros, list: &CompleteList) -> bool {
        if self.cluster != Some(list.cluster) || list.revision >= self.revision {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.saturating_sub(since) < self.settings.behind_grace
    }

    /// Returns when to read the list again if it is empty while engines are known and `empty_grace` is not over. `None`
    /// means that the list can be accepted.
    fn empty_list_retry(&mut self, now: Micros, list: &CompleteList) -> Option<Micros> {
        if !list.members.is_empty() || !list.unreadable.is_empty() || self.members.is_empty() {
            return None;
        }
        let since = *self.empty_since.get_or_insert(now);
        let is_accepted = now.saturating_sub(since) >= self.settings.empty_grace;
        (!is_accepted).then(|| since + self.settings.empty_grace)
    }

    /// Returns the known engines after a complete list.
    fn merge(&self, list: &CompleteList, same_store: bool) -> BTreeMap<EndpointId, Member> {
        let mut members = BTreeMap::new();
        for mut member in list.members.iter().copied() {
            let id = member.endpoint.id;
            let known = self.members.get(&id).filter(|_| same_store);
            if let Some(known) = known.filter(|_| mutations::is_active(Mutation::IgnoreDrainInList))
            {
                member.endpoint.state = known.endpoint.state;
            }
            members.insert(
                id,
                known.map_or(member, |known| merge_records(&member, known)),
            );
        }
        if mutations::is_active(Mutation::KeepMissingEngines) {
            for (id, known) in &self.members {
                members.entry(*id).or_insert(*known);
            }
        }
        for id in &list.unreadable {
            if let Some(known) = self.members.get(id) {
                members.entry(*id).or_insert(*known);
            }
        }
        members
    }

    /// Returns the action that passes all known engines to the router.
    fn endpoint_list(&self, kind: ListKind) -> MembershipAction {
        MembershipAction::EndpointList {
            kind,
            members: self.members.values().copied().collect(),
        }
    }

    fn on_put(&mut self, member: Member, out: &mut Vec<MembershipAction>) {
        // Events are passed on during a gap as well, so that a drain takes effect at once. But only a watch without a gap
        // advances the revision from which the next watch starts.
        if !self.gap {
            self.revision = self.revision.max(member.revision);
        }
        let old = self.members.get(&member.endpoint.id).copied();
        let member = old.map_or(member, |old| merge_records(&member, &old));
        self.members.insert(member.endpoint.id, member);
        if old.is_some_and(|old| (old.endpoint, old.address) == (member.endpoint, member.address)) {
            return;
        }
        self.empty_since = None;
        out.push(MembershipAction::EndpointList {
            kind: ListKind::Changes,
            members: vec![member],
        });
        out.push(MembershipAction::SaveSnapshot);
    }

    fn on_deleted(&mut self, id: EndpointId, revision: i64, out: &mut Vec<MembershipAction>) {
        if !self.gap {
            self.revision = self.revision.max(revision);
        }
        // A deletion with a lower revision than the known record is stale.
        let known = self
            .members
            .get(&id)
            .filter(|member| member.revision < revision || self.from_snapshot)
            .copied();
        let Some(mut member) = known else { return };
        self.members.remove(&id);
        member.endpoint.state = EndpointState::Removed;
        out.push(MembershipAction::EndpointList {
            kind: ListKind::Changes,
            members: vec![member],
        });
        out.push(MembershipAction::SaveSnapshot);
    }
}

/// Merges a new record of an engine with the known record from the same store.
fn merge_records(new: &Member, old: &Member) -> Member {
    if new.revision < old.revision {
        return *old;
    }
    if new.endpoint.started_at == 0 {
        return Member {
            endpoint: Endpoint {
                started_at: old.endpoint.started_at,
                ..new.endpoint
            },
            ..*new
        };
    }
    if new.endpoint.started_at >= old.endpoint.started_at {
        return *new;
    }
    // Guards against a missed drain: the store's latest record counts even if a tool wrote it without knowing when the
    // engine started, or the engine's previous process wrote it. Only the current process may declare itself ready.
    let drains = new.endpoint.state != EndpointState::Ready;
    let state = if drains {
        new.endpoint.state
    } else {
        old.endpoint.state
    };
    Member {
        endpoint: Endpoint {
            state,
            ..old.endpoint
        },
        revision: new.revision,
        ..*old
    }
}
