//! Delivery of lists and watch events: decodes records, updates the node's endpoint list and writes the snapshot file.

use super::EndpointWatcher;
use crate::engines::Engine;
use crate::membership::registration::{self, RecordError};
use crate::membership::snapshot;
use ivyward_core::interface::{Endpoint, EndpointId, EndpointState, ListKind, Micros};
use ivyward_core::membership::{Member, MembershipAction, WatchEvent};
use ivyward_etcd::mvccpb;
use std::collections::BTreeSet;
use tracing::warn;

/// Maximum number of engines whose invalid records are remembered as logged.
const MAX_LOGGED_RECORDS: usize = 10_000;
/// Minimum time between two writes of the snapshot, in microseconds.
const SNAPSHOT_INTERVAL: Micros = 1_000_000;

/// When the complete list has to be read again.
#[derive(Clone, Copy)]
pub(super) enum Relist {
    /// After the backoff, from the next endpoint of the store: the current one did not answer, or its list was outdated.
    NextEndpoint,
    /// At this time, because an empty list has not taken effect yet.
    At(Micros),
}

impl Relist {
    /// Earliest time of the next list; 0 for now.
    pub(super) fn time(self) -> Micros {
        match self {
            Relist::NextEndpoint => 0,
            Relist::At(at) => at,
        }
    }
}

impl EndpointWatcher<'_> {
    /// Passes an event to [`Membership`](ivyward_core::membership::Membership) and carries out the returned actions. Returns
    /// when to read the complete list again, if necessary.
    pub(super) async fn handle(&mut self, event: WatchEvent) -> Option<Relist> {
        self.handle_all(vec![event]).await
    }

    /// Like [`EndpointWatcher::handle`], for several events. Consecutive changes are passed to the router as one list, because
    /// the router iterates over all engines for each list.
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
                MembershipAction::Relist => relist = (!gap).then_some(Relist::NextEndpoint),
                MembershipAction::RelistAt(at) => relist = Some(Relist::At(at)),
                MembershipAction::SaveSnapshot => {}
            }
        }
        // Set after each delivery, so that the metric matches the list that the router has.
        let revision = self.membership.revision().max(0) as u64;
        self.node.metrics().list_revision.set(revision);
        self.write_snapshot_if_due();
        relist
    }

    /// Merges consecutive changes into one list. Marks the snapshot as outdated instead of returning the actions that save it.
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
                // The snapshot is written once for all of them, by `write_snapshot_if_due`.
                (_, MembershipAction::SaveSnapshot) => self.snapshot_outdated = true,
                (_, action) => merged.push(action),
            }
        }
        merged
    }

    /// Writes the snapshot if the list changed and [`SNAPSHOT_INTERVAL`] has passed since the last write.
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
            // Retried: after a disk that was full for a moment, the file would otherwise stay outdated until the next change of
            // the list.
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
            self.start_times
                .apply_complete_list(|id| listed.contains(&id));
        }
        self.node.update_endpoints(kind, engines).await;
        self.update_interval.delivered(now, self.runtime.now());
    }

    /// Converts a member to an engine whose start time is on this node's clock.
    fn engine(&mut self, member: Member, now: Micros, unix: Micros) -> Engine {
        let Member {
            endpoint, address, ..
        } = member;
        if endpoint.state == EndpointState::Removed {
            self.start_times.remove(endpoint.id);
            return Engine { endpoint, address };
        }
        let warm_up = self.node.settings().router.warm_up_duration;
        let started_at = self.start_times.resolve(&endpoint, now, unix, warm_up);
        let endpoint = Endpoint {
            started_at,
            ..endpoint
        };
        Engine { endpoint, address }
    }

    /// Decodes the records of a list. Returns the members, and the engines whose records are invalid.
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

    /// Decodes a record. The error is the engine whose record is invalid, or `None` if the key does not end in an engine's id.
    fn read_record(&mut self, record: &mvccpb::KeyValue) -> Result<Member, Option<EndpointId>> {
        let prefix = self.options.prefix.as_bytes();
        let Some(id) = registration::key_id(prefix, &record.key) else {
            self.log_invalid_record(EndpointId(u64::MAX), record, &RecordError::Key);
            return Err(None);
        };
        registration::read(id, &record.value, record.mod_revision).map_err(|error| {
            self.log_invalid_record(id, record, &error);
            Some(id)
        })
    }

    /// Logs and counts an invalid record, once for each of its revisions.
    fn log_invalid_record(
        &mut self,
        id: EndpointId,
        record: &mvccpb::KeyValue,
        error: &RecordError,
    ) {
        if self.logged_invalid_records.get(&id) == Some(&record.mod_revision) {
            return;
        }
        if self.logged_invalid_records.len() >= MAX_LOGGED_RECORDS {
            self.logged_invalid_records.clear();
        }
        self.logged_invalid_records.insert(id, record.mod_revision);
        self.node.metrics().records_malformed.add(1);
        let key = String::from_utf8_lossy(&record.key);
        warn!(%key, problem = %error, "registration record ignored");
    }

    /// Decodes an event of the watch. Returns `None` for an invalid record; its engine keeps its last valid record.
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
