//! The routing decisions of one node. [`crate::interface`] defines the events and actions.
//!
//! The router uses PPD of "Not All Prefills Are Equal" (arXiv:2603.13358) as an online algorithm: a later turn of
//! a session is prefilled either on the decode endpoint that has its KV state cached or by a prefill endpoint,
//! depending on a score per workload cell. docs/design.md lists the differences from the paper and the conditions
//! under which the other mechanisms act.
//!
//! | module | contents |
//! | --- | --- |
//! | `state` | the data types |
//! | `endpoints` | the endpoint list, pools, sizes within a machine type |
//! | `dispatch` | the next attempt of a request |
//! | `ppd` | local or remote prefill: workload cells, scores, KV retention |
//! | `balancing` | the choice of prefill and decode endpoints, locality |
//! | `admission` | load shedding, tenant quotas, first-token times |
//! | `health` | outlier detection, stalls, service times |
//! | `slow_start` | capacity and budgets of cold endpoints |
//! | `retry` | attempt timeouts, idempotency, final answers |
//! | `recent_map` | a map with a limit, for names that clients choose |
//! | `reservations` | the time limit of KV states and decode slots |
//! | `attempts` | first tokens and ends of attempts |

mod admission;
mod attempts;
mod balancing;
mod dispatch;
mod endpoints;
mod health;
mod ppd;
mod recent_map;
mod reservations;
mod retry;
mod slow_start;
mod state;

use crate::decaying_mean::DecayingMean;
use crate::hash::{mix, unit_interval};
use crate::interface::{Action, EndpointId, Event, Micros, RequestId, Settings};
use recent_map::RecentMap;
use reservations::ReservationDeadline;
use state::{
    AttemptKey, CellStats, LocalityPreference, MachineTypeWeight, RequestState, ServiceKey,
    ServiceTime, Session, SessionKey, TrackedEndpoint, WorkloadCell,
};
use std::collections::{BTreeMap, BTreeSet};

// The constants of the router are shares, counts or multiples of configured and measured values, so that none
// depends on one deployment.

/// Decay time, in microseconds, of rates, service times and latency ratios. It is short enough that an endpoint
/// which is avoided, and so gets little traffic, is soon used again.
const RECENT_DECAY: f64 = 10e6;
/// Timer token: subscribe to the endpoint list again.
const SUBSCRIBE_TIMER: u64 = 0;
/// Timer token: check for stalled endpoints.
const TICK_TIMER: u64 = 1;
/// Timer token: release reservations whose attempts are not known to have arrived.
const RESERVATION_TIMER: u64 = 2;

/// Makes the routing decisions of one node. [`Router::handle`] takes events and returns actions.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    random_state: u64,
    /// Seed of this node's random draws for the budgets of cold endpoints.
    draw_seed: u64,

    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    /// The total weight and number of listed endpoints of each machine type.
    machine_types: Vec<MachineTypeWeight>,
    /// The present capacity of each machine type, in units of a warm endpoint of mean size.
    present_capacity: Vec<f64>,
    next_capacity_refresh: Micros,
    /// Whether any listed endpoint is cold.
    any_cold: bool,
    /// For each rack, its share of all decode capacity divided by its share of all prefill capacity, clamped.
    rack_affinities: BTreeMap<u16, f64>,

    sessions: RecentMap<SessionKey, Session, { ppd::MAX_SESSIONS }>,
    workload_cells: BTreeMap<WorkloadCell, CellStats>,
    open_requests: BTreeMap<RequestId, RequestState>,
    /// At most one entry for each sent attempt; entries leave when their time has come.
    reservation_deadlines: BTreeSet<ReservationDeadline>,
    service_times: BTreeMap<ServiceKey, ServiceTime>,
    /// How strongly prefill endpoints in racks with much decode capacity are preferred.
    rack_locality: LocalityPreference,
    /// How strongly prefill endpoints in this node's zone are preferred.
    zone_locality: LocalityPreference,
    /// For each machine type, the recently completed requests divided by its present capacity. Completed requests
    /// are counted instead of sent ones so that a retry storm does not raise the budgets of cold endpoints.
    completed_work: Vec<DecayingMean>,
    sent_to_prefill: DecayingMean,
    sent_to_decode: DecayingMean,
    /// When the current period of requests without a gap longer than [`RECENT_DECAY`] began.
    busy_since: Micros,
    /// Total prompt tokens that this node's requests have loaded into the memory of decode endpoints.
    token_flow: f64,
    /// Prompt tokens of this node's running streams.
    streaming_tokens: f64,
    /// For each machine type, how many tokens (of all nodes) pass through one decode endpoint before it evicts
    /// the KV state of an idle session.
    kv_retention: Vec<f64>,
    /// Recent prompt tokens of each shared prefix.
    prefix_tokens: RecentMap<u64, DecayingMean, { ppd::MAX_PREFIXES }>,
    /// Recent prompt tokens of all requests.
    prompt_tokens: DecayingMean,
    next_session_sweep: Micros,
    tick_scheduled: bool,

    /// First-token times divided by their objectives.
    ttft_ratio: DecayingMean,
    arrivals: DecayingMean,
    tenant_arrivals: Vec<DecayingMean>,
    first_tokens: DecayingMean,
    cancellations: DecayingMean,
    /// The share of arrivals to reject, before the priority of each request is applied.
    shed_rate: f64,
    shed_rate_updated_at: Micros,
    /// Running mean of the priority weight of arrivals.
    mean_priority_weight: f64,
    log_lines: u32,
}

impl Router {
    /// Creates a router without endpoints. Nodes need different seeds, because each node spreads its requests over
    /// equal decode endpoints at random. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let machine_types = settings.roles.len();
        let kv_retention = (0..machine_types)
            .map(|machine_type| ppd::initial_kv_retention(&settings, machine_type))
            .collect();
        Router {
            random_state: mix(seed),
            draw_seed: mix(!seed),
            machine_types: vec![MachineTypeWeight::default(); machine_types],
            present_capacity: vec![0.0; machine_types],
            completed_work: vec![DecayingMean::default(); machine_types],
            kv_retention,
            zone_locality: LocalityPreference {
                locality_weight: 1.0,
                ..LocalityPreference::default()
            },
            tenant_arrivals: vec![DecayingMean::default(); settings.tenants.len()],
            settings,
            ..Router::default()
        }
    }

    /// Handles one event and appends the resulting actions to `out`. `now` must not go back between calls.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if now >= self.next_capacity_refresh {
            self.refresh_capacity(now);
        }
        match event {
            Event::EndpointList { kind, endpoints } => {
                self.on_endpoint_list(now, kind, &endpoints, out);
            }
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstToken { request, attempt } => {
                self.on_first_token(now, AttemptKey { request, attempt });
            }
            Event::AttemptDelivered { request, attempt } => {
                self.on_attempt_delivered(AttemptKey { request, attempt });
            }
            Event::ReservationResult {
                request,
                endpoint,
                reserved,
            } => self.on_reservation_result(now, request, endpoint, reserved, out),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                cached_tokens,
                finished,
                ..
            } => {
                let end = attempts::AttemptEnd {
                    outcome,
                    cached_tokens,
                    finished,
                };
                self.on_attempt_ended(now, AttemptKey { request, attempt }, end, out);
            }
            Event::ClientDisconnected(request) => self.on_client_disconnected(now, request, out),
            Event::Timer(SUBSCRIBE_TIMER) => out.push(Action::Subscribe),
            Event::Timer(TICK_TIMER) => self.on_tick(now, out),
            Event::Timer(RESERVATION_TIMER) => self.on_reservation_timer(now, out),
            Event::ReplicaCount(replicas) => self.settings.replica_count = replicas,
            Event::Timer(_) | Event::HealthCheckResult { .. } => {}
        }
    }

    /// Returns the number of tracked endpoints: the listed ones, and removed ones that an attempt of an open request
    /// was sent to.
    pub fn known_endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the next random number in [0, 1).
    fn next_random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(self.random_state)
    }
}
