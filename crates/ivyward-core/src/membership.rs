//! The membership decider: lists, revisions, notices and silences in, fleet events for the module out.
//!
//! It decides what counts as told, what a gap means, when an old list is still better than an empty one, and what an
//! engine that came back is. No I/O, no clock: the follower of a store (etcd, or a fixed list) tells it what was heard
//! and when, and passes on what it returns.
//!
//! What it holds to:
//! - MembershipAction at once: a drain or a departure is passed on in the step in which it is heard.
//! - A gap (a compacted watch, a lost connection) changes nothing by itself: engines stay as they were last known, and
//!   the next complete list tells what became of them. Whoever is missing from it is gone.
//! - An empty complete list beside a fleet that was there is doubted: a store that was restored empty, or a wrong
//!   prefix, must not stop the service. It is taken only once it was heard again after `empty_grace`, or in single
//!   steps by deletions, each of which was told as such.
//! - The same id with another start time is a new engine: nothing that the old one kept is there any more. A record with
//!   an older start than the one known was written by a process of the past, and does not bring it back; but the store's
//!   last word that the engine drains is heeded, whoever wrote it. A record without a start says nothing of it.
//! - Revisions never go back within one store. A list of a lower revision than one heard is an old answer (of a member
//!   that lags behind, after a failover) and is ignored; but a store that answers nothing else for `behind_grace` was
//!   restored from an older copy under its old name, and begins anew, as one whose cluster id changed.

use crate::interface::{Endpoint, EndpointId, EndpointState, ListKind, Micros};
use crate::mutations::{self, Mutation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a list or notice says of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// As the module is told. `started` is on the store's clock and only compared.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The revision at which its record was written.
    pub revision: i64,
}

/// Something heard from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// All records at a revision.
    List {
        /// Which store.
        cluster: u64,
        /// The revision of the list.
        revision: i64,
        /// The records; those that could not be read are left out and named in `unreadable`.
        members: Vec<Member>,
        /// Engines whose records are there and cannot be read: what was known of them stands.
        unreadable: Vec<EndpointId>,
    },
    /// A record was written.
    Put(Member),
    /// A record was deleted, by hand or with its lease.
    Deleted {
        /// Whose.
        id: EndpointId,
        /// At which revision.
        revision: i64,
    },
    /// The watch is known to be complete up to this revision.
    Progress(i64),
    /// The watch broke, was compacted away or cancelled: something may have been missed.
    Gap,
    /// The list as kept in a file from an earlier run.
    Snapshot(Vec<Member>),
}

/// What the follower should do or pass on.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// For the module.
    EndpointList {
        /// How it relates to the one before.
        kind: ListKind,
        /// Its entries.
        members: Vec<Member>,
    },
    /// Read the complete list again.
    Relist,
    /// An empty list was not believed yet; list again at this time.
    RelistAt(Micros),
    /// The list changed: keep it.
    SaveSnapshot,
}

/// Settings of the decider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// An empty complete list beside a known fleet is believed when it was heard for so long.
    pub empty_grace: Micros,
    /// A store whose lists stay behind a revision that was heard is believed when nothing else was heard for so long.
    pub behind_grace: Micros,
}

/// The decider. See the module's page.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    cluster: Option<u64>,
    /// All up to here was heard.
    revision: i64,
    members: BTreeMap<EndpointId, Member>,
    /// What is known comes from a file of an earlier run.
    from_file: bool,
    /// Since when the store says that there is no engine.
    empty_since: Option<Micros>,
    /// Since when lists are behind the revision that was heard.
    behind_since: Option<Micros>,
    /// Something may have been missed since the last complete list.
    gap: bool,
}

impl Membership {
    /// A decider that knows nobody.
    pub fn new(settings: MembershipSettings) -> Membership {
        Membership {
            settings,
            cluster: None,
            revision: 0,
            members: BTreeMap::new(),
            from_file: false,
            empty_since: None,
            behind_since: None,
            gap: true,
        }
    }
    /// The store whose list was last believed.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }
    /// The revision up to which all was heard; a watch goes on from the next.
    pub fn revision(&self) -> i64 {
        self.revision
    }
    /// Whether something may have been missed since the last complete list.
    pub fn has_gap(&self) -> bool {
        self.gap
    }
    /// Those known now.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Takes in what was heard and appends what follows.
    pub fn handle_event(
        &mut self,
        now: Micros,
        heard: WatchEvent,
        out: &mut Vec<MembershipAction>,
    ) {
        match heard {
            WatchEvent::List {
                cluster,
                revision,
                members,
                unreadable,
            } => {
                self.on_list(now, (cluster, revision), members, &unreadable, out);
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
            // A file tells nothing to one who heard the store itself.
            WatchEvent::Snapshot(members) if self.cluster.is_none() => {
                self.members = members.into_iter().map(|m| (m.endpoint.id, m)).collect();
                self.from_file = true;
                let members = self.members.values().copied().collect();
                out.push(MembershipAction::EndpointList {
                    kind: ListKind::Cached,
                    members,
                });
            }
            WatchEvent::Snapshot(_) => {}
        }
    }

    fn on_list(
        &mut self,
        now: Micros,
        (cluster, revision): (u64, i64),
        members: Vec<Member>,
        unreadable: &[EndpointId],
        out: &mut Vec<MembershipAction>,
    ) {
        let mut same_store = self.cluster == Some(cluster);
        if same_store && revision < self.revision {
            let since = *self.behind_since.get_or_insert(now);
            if now.saturating_sub(since) < self.settings.behind_grace {
                out.push(MembershipAction::Relist);
                return;
            }
            // Its revisions are others now: nothing that was heard before can be compared with them.
            same_store = false;
        }
        self.behind_since = None;
        if members.is_empty() && unreadable.is_empty() && !self.members.is_empty() {
            let since = *self.empty_since.get_or_insert(now);
            if now.saturating_sub(since) < self.settings.empty_grace {
                out.push(MembershipAction::RelistAt(
                    since + self.settings.empty_grace,
                ));
                return;
            }
        }
        self.empty_since = None;
        let before = std::mem::take(&mut self.members);
        for mut member in members {
            let old = before.get(&member.endpoint.id).filter(|_| same_store);
            if let Some(old) = old.filter(|_| mutations::is_active(Mutation::DrainLostInList)) {
                member.endpoint.state = old.endpoint.state;
            }
            self.members.insert(
                member.endpoint.id,
                old.map_or(member, |old| newer(&member, old)),
            );
        }
        if mutations::is_active(Mutation::MissingStay) {
            for (id, old) in &before {
                self.members.entry(*id).or_insert(*old);
            }
        }
        for id in unreadable {
            if let Some(old) = before.get(id) {
                self.members.entry(*id).or_insert(*old);
            }
        }
        let changed = before != self.members || self.from_file || self.cluster != Some(cluster);
        (self.cluster, self.revision, self.gap, self.from_file) =
            (Some(cluster), revision, false, false);
        if changed {
            let members = self.members.values().copied().collect();
            out.push(MembershipAction::EndpointList {
                kind: ListKind::Full,
                members,
            });
            out.push(MembershipAction::SaveSnapshot);
        }
    }

    fn on_put(&mut self, member: Member, out: &mut Vec<MembershipAction>) {
        // Notices are passed on also while there is a gap: a drain that was heard is told. But only an unbroken watch
        // moves the revision from which the next one starts.
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
        // A deletion from before the record that is known is an echo.
        let known = self
            .members
            .get(&id)
            .filter(|m| m.revision < revision || self.from_file)
            .copied();
        let Some(member) = known else { return };
        self.members.remove(&id);
        let entry = Endpoint {
            state: EndpointState::Removed,
            ..member.endpoint
        };
        out.push(MembershipAction::EndpointList {
            kind: ListKind::Changes,
            members: vec![Member {
                endpoint: entry,
                ..member
            }],
        });
        out.push(MembershipAction::SaveSnapshot);
    }
}

/// What is known of an engine after another record of it, from the same store.
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
    // Guards against a drain that is overheard: written by a tool that does not know when the engine started, or by the
    // process before this one, it is what the store says now. That the engine is ready is for itself to say.
    let drains = new.endpoint.state != EndpointState::Ready;
    let condition = if drains {
        new.endpoint.state
    } else {
        old.endpoint.state
    };
    Member {
        endpoint: Endpoint {
            state: condition,
            ..old.endpoint
        },
        revision: new.revision,
        ..*old
    }
}
