//! Membership of engines: turns the lists, watch events and failures of a store into endpoint lists for the router.
//!
//! It decides which list to believe, what a gap in the watch means, when an old list is better than an empty one, and
//! what to make of an engine that came back. No I/O, no clock: the watcher of a store (etcd, or a fixed list) passes in
//! what it received and when, and carries out the returned actions.
//!
//! Rules:
//! - A drain or a removal is passed on in the step in which it is received.
//! - A gap (a compacted watch, a lost connection) changes nothing by itself: engines stay as last known until the next
//!   complete list. Engines missing from that list are removed.
//! - An empty complete list is not believed at first while engines are known: a store restored empty, or a wrong key
//!   prefix, must not stop the service. It is believed once it is received again after `empty_grace`. Deletions of single
//!   engines are believed at once.
//! - The same id with another start time is a new process without the old one's KV cache. A record with an older start
//!   than the known one was written by an earlier process and does not bring that back; but a drain in the store's latest
//!   record counts, whoever wrote it. A record without a start time leaves the known one.
//! - Revisions never go back within one store. A list with a lower revision than a known one is stale (from a member that
//!   lags behind after a failover) and is ignored; but a store that sends nothing else for `behind_grace` was restored
//!   from an older backup, and is treated like one whose cluster id changed.

use crate::interface::{Endpoint, EndpointId, EndpointState, ListKind, Micros};
use crate::mutations::{self, Mutation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the store says about one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The endpoint for the router. `started_at` is on the store's clock and only compared.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The revision at which its record was written.
    pub revision: i64,
}

/// Something received from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// All records at a revision.
    List {
        /// The store's cluster id.
        cluster: u64,
        /// The revision of the list.
        revision: i64,
        /// The readable records.
        members: Vec<Member>,
        /// Engines whose records exist but cannot be decoded: they stay as last known.
        unreadable: Vec<EndpointId>,
    },
    /// A record was written.
    Put(Member),
    /// A record was deleted, by hand or with its lease.
    Deleted {
        /// The engine.
        id: EndpointId,
        /// The revision of the deletion.
        revision: i64,
    },
    /// The watch is known to be complete up to this revision.
    Progress(i64),
    /// The watch broke, was compacted away or cancelled: something may have been missed.
    Gap,
    /// The list from the snapshot file of an earlier run.
    Snapshot(Vec<Member>),
}

/// What the watcher is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Pass an endpoint list to the router.
    EndpointList {
        /// How it relates to the one before.
        kind: ListKind,
        /// Its entries.
        members: Vec<Member>,
    },
    /// Read the complete list again.
    Relist,
    /// An empty list was not believed yet: read the list again at this time.
    RelistAt(Micros),
    /// The list changed: save it.
    SaveSnapshot,
}

/// Settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// An empty complete list is believed after this time while engines are known.
    pub empty_grace: Micros,
    /// Lists behind a known revision are believed after this time without others.
    pub behind_grace: Micros,
}

/// All records at one revision.
struct CompleteList {
    cluster: u64,
    revision: i64,
    members: Vec<Member>,
    unreadable: Vec<EndpointId>,
}

/// The known engines of one store. See the module's documentation.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    cluster: Option<u64>,
    /// All changes up to this revision are known.
    revision: i64,
    members: BTreeMap<EndpointId, Member>,
    /// The members come from the snapshot file of an earlier run.
    from_snapshot: bool,
    /// Since when the store sends empty lists.
    empty_since: Option<Micros>,
    /// Since when lists are behind the known revision.
    behind_since: Option<Micros>,
    /// Changes may have been missed since the last complete list.
    gap: bool,
}

impl Membership {
    /// Without any known engine.
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
    /// The cluster id of the store whose list was last believed.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }
    /// The revision up to which all changes are known; a watch starts at the next one.
    pub fn revision(&self) -> i64 {
        self.revision
    }
    /// Whether changes may have been missed since the last complete list.
    pub fn has_gap(&self) -> bool {
        self.gap
    }
    /// The known engines.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Takes in an event and appends the resulting actions.
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
            // A snapshot is older than anything received from the store itself.
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
        // Revisions of a restored store cannot be compared with those known before.
        let same_store = self.cluster == Some(list.cluster) && list.revision >= self.revision;
        self.behind_since = None;
        if let Some(relist_at) = self.doubts_empty(now, &list) {
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

    /// Whether a list is behind the known revision, and not for `behind_grace` yet.
    fn is_stale(&mut self, now: Micros, list: &CompleteList) -> bool {
        if self.cluster != Some(list.cluster) || list.revision >= self.revision {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.saturating_sub(since) < self.settings.behind_grace
    }

    /// When to read the list again, if it is empty while engines are known, and not for `empty_grace` yet.
    fn doubts_empty(&mut self, now: Micros, list: &CompleteList) -> Option<Micros> {
        if !list.members.is_empty() || !list.unreadable.is_empty() || self.members.is_empty() {
            return None;
        }
        let since = *self.empty_since.get_or_insert(now);
        let is_believed = now.saturating_sub(since) >= self.settings.empty_grace;
        (!is_believed).then(|| since + self.settings.empty_grace)
    }

    /// The engines after a complete list.
    fn merge(&self, list: &CompleteList, same_store: bool) -> BTreeMap<EndpointId, Member> {
        let mut members = BTreeMap::new();
        for mut member in list.members.iter().copied() {
            let id = member.endpoint.id;
            let known = self.members.get(&id).filter(|_| same_store);
            if let Some(known) = known.filter(|_| mutations::is_active(Mutation::IgnoreDrainInList))
            {
                member.endpoint.state = known.endpoint.state;
            }
            members.insert(id, known.map_or(member, |known| newer(&member, known)));
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

    /// The action that passes all known engines to the router.
    fn endpoint_list(&self, kind: ListKind) -> MembershipAction {
        MembershipAction::EndpointList {
            kind,
            members: self.members.values().copied().collect(),
        }
    }

    fn on_put(&mut self, member: Member, out: &mut Vec<MembershipAction>) {
        // Events are passed on also while there is a gap, so that a drain takes effect at once. But only an unbroken
        // watch moves the revision from which the next one starts.
        if !self.gap {
            self.revision = self.revision.max(member.revision);
        }
        let old = self.members.get(&member.endpoint.id).copied();
        let member = old.map_or(member, |old| newer(&member, &old));
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
        // A deletion from before the known record is stale.
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

/// Merges a record of an engine with the known one from the same store.
fn newer(new: &Member, old: &Member) -> Member {
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
    // Guards against a drain that is missed: also written by a tool that does not know when the engine started, or by
    // the process before this one, it is what the store says now. Only the engine itself may say that it is ready.
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
