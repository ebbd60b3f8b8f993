//! The endpoint list, the pools, sizes within a machine type, and rack affinities.

use super::state::{Actions, MachineTypeWeight, Pool, TrackedEndpoint};
use super::{Router, SUBSCRIBE_TIMER};
use crate::decaying_mean::DecayingMean;
use crate::interface::{Action, Endpoint, EndpointId, EndpointState, ListKind, Micros, Role};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before the router subscribes to the list again after a failure.
const SUBSCRIBE_RETRY_DELAY: Micros = 1_000_000;
// Bounds of a rack's affinity.
const MIN_RACK_AFFINITY: f64 = 0.3;
const MAX_RACK_AFFINITY: f64 = 1.6;

/// The prefill and decode capacity of one rack, or of all racks.
#[derive(Clone, Copy, Default)]
struct RoleCapacity {
    prefill: f64,
    decode: f64,
}

impl RoleCapacity {
    fn add(&mut self, role: Role, size: f64) {
        if role == Role::Prefill {
            self.prefill += size;
        } else {
            self.decode += size;
        }
    }

    /// Returns this rack's share of all decode capacity divided by its share of all prefill capacity, clamped.
    fn affinity(&self, all: &RoleCapacity) -> f64 {
        let decode_share = self.decode / all.decode.max(0.01);
        let prefill_share = self.prefill / all.prefill.max(0.01);
        (decode_share / prefill_share.max(0.01)).clamp(MIN_RACK_AFFINITY, MAX_RACK_AFFINITY)
    }
}

impl Router {
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Micros,
        kind: ListKind,
        endpoints: &[Endpoint],
        out: &mut Actions,
    ) {
        match kind {
            ListKind::Failed => out.push(Action::SetTimer {
                at: now + SUBSCRIBE_RETRY_DELAY,
                token: SUBSCRIBE_TIMER,
            }),
            ListKind::Cached if self.settings.must_subscribe => out.push(Action::Subscribe),
            _ => {}
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.endpoints
                .values_mut()
                .for_each(|endpoint| endpoint.info.state = EndpointState::Removed);
        }
        for info in endpoints {
            if usize::from(info.machine_type) < self.settings.roles.len() {
                self.update_endpoint(info);
            }
        }
        self.drop_removed();
        self.update_machine_types();
        self.refresh_capacity(now);
        self.update_rack_affinities();
    }

    /// Updates one endpoint from its entry in the list.
    fn update_endpoint(&mut self, info: &Endpoint) {
        let new = || TrackedEndpoint {
            info: *info,
            ..TrackedEndpoint::default()
        };
        let endpoint = self.endpoints.entry(info.id).or_insert_with(new);
        let restarted = endpoint.info.started_at != info.started_at;
        if restarted || info.state == EndpointState::Removed {
            // The KV cache is lost, and measurements of the old process do not apply to the new one.
            endpoint.cache_epoch += 1;
            endpoint.latency_ratio = DecayingMean::default();
            endpoint.failure_score = 0.0;
            endpoint.saturated_until = 0;
            endpoint.rejected_tenants.clear();
        }
        endpoint.info = *info;
    }

    /// Drops removed endpoints, unless an open request has an attempt there, and drops the sessions cached at them.
    fn drop_removed(&mut self) {
        let used: BTreeSet<EndpointId> = self
            .open_requests
            .values()
            .flat_map(|state| state.attempts.iter().map(|attempt| attempt.endpoint))
            .collect();
        let before = self.endpoints.len();
        self.endpoints.retain(|id, endpoint| {
            endpoint.info.state != EndpointState::Removed || used.contains(id)
        });
        if self.endpoints.len() < before {
            self.sessions
                .retain(|session| self.endpoints.contains_key(&session.decode_endpoint));
        }
    }

    fn update_machine_types(&mut self) {
        let mut machine_types = vec![MachineTypeWeight::default(); self.machine_types.len()];
        for endpoint in self.listed() {
            let machine_type = &mut machine_types[usize::from(endpoint.info.machine_type)];
            machine_type.total += endpoint.info.weight.max(0.01);
            machine_type.count += 1.0;
        }
        self.machine_types = machine_types;
    }

    fn update_rack_affinities(&mut self) {
        let mut all = RoleCapacity::default();
        let mut racks = BTreeMap::<u16, RoleCapacity>::new();
        for endpoint in self.listed() {
            let (role, size) = (self.role(endpoint), self.size(&endpoint.info));
            racks.entry(endpoint.info.rack).or_default().add(role, size);
            all.add(role, size);
        }
        self.rack_affinities = racks
            .into_iter()
            .map(|(rack, capacity)| (rack, capacity.affinity(&all)))
            .collect();
    }

    pub(super) fn role(&self, endpoint: &TrackedEndpoint) -> Role {
        self.settings.roles[usize::from(endpoint.info.machine_type)]
    }

    /// Returns the endpoints that take new requests.
    pub(super) fn listed(&self) -> impl Iterator<Item = &TrackedEndpoint> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.info.state == EndpointState::Ready)
    }

    pub(super) fn pool(&self, pool: Pool) -> impl Iterator<Item = &TrackedEndpoint> {
        self.listed().filter(move |endpoint| {
            (self.role(endpoint) == Role::Prefill) == (pool == Pool::Prefill)
        })
    }

    /// Returns the endpoint's weight divided by the mean weight of its machine type. Configured weights are not
    /// comparable between machine types.
    pub(super) fn size(&self, info: &Endpoint) -> f64 {
        let machine_type = self.machine_types[usize::from(info.machine_type)];
        info.weight.max(0.01) * machine_type.count.max(1.0) / machine_type.total.max(0.01)
    }

    /// Returns the affinity of the endpoint's rack: above 1 if the rack has more decode than prefill capacity,
    /// relative to all racks.
    pub(super) fn rack_affinity(&self, info: &Endpoint) -> f64 {
        self.rack_affinities.get(&info.rack).copied().unwrap_or(1.0)
    }

    /// Returns an endpoint that was listed before. Endpoints of open requests are never dropped.
    ///
    /// # Panics
    /// Panics if the endpoint is not tracked.
    pub(super) fn endpoint_mut(&mut self, id: EndpointId) -> &mut TrackedEndpoint {
        self.endpoints
            .get_mut(&id)
            .expect("endpoints of open requests stay tracked")
    }
}
