//! From what the store said to the node's endpoint list and the snapshot file.

use super::EndpointWatcher;
use crate::engines::Engine;
use crate::membership::registration::{self, RecordProblem};
use crate::membership::snapshot;
use ivyward_core::interface::{Endpoint, EndpointId, EndpointState, ListKind, Micros};
use ivyward_core::membership::{Member, MembershipAction, WatchEvent};
use ivyward_etcd::mvccpb;
use std::collections::BTreeSet;
use tracing::warn;

/// Most engines whose bad records are remembered as logged.
const MAX_LOGGED_RECORDS: usize = 10_000;
/// The snapshot is written at most once in this span, in microseconds.
const SNAPSHOT_INTERVAL: Micros = 1_000_000;

/// When the complete list is read again.
#[derive(Clone, Copy)]
pub(super) enum Relist {
    /// Now, from another endpoint of the store: this one was behind or did not answer.
    Elsewhere,
    /// At this time, as an empty list was not believed yet.
    At(Micros),
}

impl Relist {
    pub(super) fn time(self) -> Micros {
        match self {
            Relist::Elsewhere => 0,
            Relist::At(at) => at,
        }
    }
}

impl EndpointWatcher<'_> {
    /// Hands the decider one event and carries out its actions.
    pub(super) async fn handle(&mut self, event: WatchEvent) -> Option<Relist> {
        self.handle_all(vec![event]).await
    }

    /// Hands the decider all events of a response. Changes that follow each other reach the router as one list, since it
    /// goes over all engines at each.
    pub(super) async fn handle_all(&mut self, events: Vec<WatchEvent>) -> Option<Relist> {
        let gap = events.contains(&WatchEvent::Gap);
        let mut actions = Vec::new();
        for event in events {
            self.membership
                .handle_event(self.runtime.now(), event, &mut actions);
        }
        let mut relist = None;
        for action in self.merge_changes(actions) {
            match action {
                MembershipAction::EndpointList { kind, members } => {
                    self.update_endpoints(kind, members).await;
                }
                MembershipAction::Relist => relist = (!gap).then_some(Relist::Elsewhere),
                MembershipAction::RelistAt(at) => relist = Some(Relist::At(at)),
                MembershipAction::SaveSnapshot => {}
            }
        }
        // Here, so that it is right whenever a batch was delivered.
        let revision = self.membership.revision().max(0) as u64;
        self.node.metrics().list_revision.set(revision);
        self.write_snapshot_if_due();
        relist
    }

    /// Merges changes that follow each other, and takes note that the snapshot is to be written.
    fn merge_changes(&mut self, actions: Vec<MembershipAction>) -> Vec<MembershipAction> {
        let mut merged: Vec<MembershipAction> = Vec::new();
        for action in actions {
            match (merged.last_mut(), action) {
                (
                    Some(MembershipAction::EndpointList {
                        kind: ListKind::Changes,
                        members,
                    }),
                    MembershipAction::EndpointList {
                        kind: ListKind::Changes,
                        members: more,
                    },
                ) => members.extend(more),
                // One write for all of them, in its time.
                (_, MembershipAction::SaveSnapshot) => self.snapshot_outdated = true,
                (_, action) => merged.push(action),
            }
        }
        merged
    }

    /// Writes the snapshot if the list changed, at most once in [`SNAPSHOT_INTERVAL`].
    pub(super) fn write_snapshot_if_due(&mut self) {
        let now = self.runtime.now();
        if !self.snapshot_outdated || now < self.next_snapshot_at {
            return;
        }
        self.next_snapshot_at = now.saturating_add(SNAPSHOT_INTERVAL);
        let Some(path) = &self.options.snapshot else {
            self.snapshot_outdated = false;
            return;
        };
        let members: Vec<Member> = self.membership.members().copied().collect();
        match snapshot::write(path, &members) {
            Ok(()) => self.snapshot_outdated = false,
            // Guards against a disk that was full for a moment: the file would stay old until the list changes again.
            Err(error) => {
                self.node.metrics().snapshot_write_failures.add(1);
                warn!(file = %path.display(), %error, "endpoint snapshot write failed, will retry");
            }
        }
    }

    async fn update_endpoints(&mut self, kind: ListKind, members: Vec<Member>) {
        let (now, unix) = (self.runtime.now(), self.runtime.unix_micros());
        let engines: Vec<Engine> = members
            .into_iter()
            .map(|member| self.engine(member, now, unix))
            .collect();
        if kind == ListKind::Full {
            let listed: BTreeSet<EndpointId> = engines.iter().map(|e| e.endpoint.id).collect();
            self.start_times.complete_list(|id| listed.contains(&id));
        }
        self.node.update_endpoints(kind, engines).await;
        self.update_interval.delivered(now, self.runtime.now());
    }

    /// The engine of a member, with its start on the node's own clock.
    fn engine(&mut self, member: Member, now: Micros, unix: Micros) -> Engine {
        let Member {
            endpoint, address, ..
        } = member;
        if endpoint.state == EndpointState::Removed {
            self.start_times.remove(endpoint.id);
            return Engine { endpoint, address };
        }
        let warm_up = self.node.settings().rules.warm_up_duration;
        let started_at = self.start_times.resolve(&endpoint, now, unix, warm_up);
        let endpoint = Endpoint {
            started_at,
            ..endpoint
        };
        Engine { endpoint, address }
    }

    /// The members of a list, and the engines whose records cannot be read.
    pub(super) fn read_records(
        &mut self,
        records: &[mvccpb::KeyValue],
    ) -> (Vec<Member>, Vec<EndpointId>) {
        let (mut members, mut unreadable) = (Vec::new(), Vec::new());
        for record in records {
            match self.read_record(record) {
                Ok(member) => members.push(member),
                Err(id) => unreadable.extend(id),
            }
        }
        (members, unreadable)
    }

    /// The member that a record names; else the engine whose record cannot be read, if the key names one.
    fn read_record(&mut self, record: &mvccpb::KeyValue) -> Result<Member, Option<EndpointId>> {
        let prefix = self.options.prefix.as_bytes();
        let Some(id) = registration::key_id(prefix, &record.key) else {
            self.log_bad_record(EndpointId(u64::MAX), record, &RecordProblem::Key);
            return Err(None);
        };
        registration::read(id, &record.value, record.mod_revision).map_err(|problem| {
            self.log_bad_record(id, record, &problem);
            Some(id)
        })
    }

    /// Logs a bad record once, and counts it.
    fn log_bad_record(
        &mut self,
        id: EndpointId,
        record: &mvccpb::KeyValue,
        problem: &RecordProblem,
    ) {
        if self.logged_bad_records.get(&id) == Some(&record.mod_revision) {
            return;
        }
        if self.logged_bad_records.len() >= MAX_LOGGED_RECORDS {
            self.logged_bad_records.clear();
        }
        self.logged_bad_records.insert(id, record.mod_revision);
        self.node.metrics().records_malformed.add(1);
        let key = String::from_utf8_lossy(&record.key);
        warn!(%key, %problem, "registration record ignored");
    }

    /// What an event of the store says. An engine whose new record cannot be read stays as it was known.
    pub(super) fn read_event(&mut self, event: mvccpb::Event) -> Option<WatchEvent> {
        let deleted = event.r#type() == mvccpb::event::EventType::Delete;
        let record = event.kv?;
        if !deleted {
            return self.read_record(&record).ok().map(WatchEvent::Put);
        }
        let id = registration::key_id(self.options.prefix.as_bytes(), &record.key)?;
        Some(WatchEvent::Deleted {
            id,
            revision: record.mod_revision,
        })
    }
}
