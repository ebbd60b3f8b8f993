//! The routing decisions of one node. [`crate::interface`] holds the events and actions.
//!
//! One mechanism decides the ordinary path: PPD of "Not All Prefills Are Equal" (arXiv:2603.13358), online:
//! a later turn is prefilled where its KV state is kept or takes the prefill path, by a score per workload
//! cell. docs/design.md says what was kept and changed, and when each exception acts.
//!
//! | module | decides or holds |
//! | --- | --- |
//! | `state` | the data types |
//! | `endpoints` | the endpoint list, pools, sizes within a machine type |
//! | `dispatch` | the next attempt of a request |
//! | `ppd` | local or remote prefill: workload cells, scores, KV retention |
//! | `balancing` | which prefill and which decode endpoint, locality |
//! | `admission` | load shedding, tenants' quotas, first-token delay |
//! | `health` | outlier detection, stalls, service times |
//! | `slow_start` | capacity and budgets of cold endpoints |
//! | `retry` | attempt deadlines, idempotency, reservations, final answers |
//! | `attempts` | first tokens and ends of attempts |

mod admission;
mod attempts;
mod balancing;
mod dispatch;
mod endpoints;
mod health;
mod ppd;
mod retry;
mod slow_start;
mod state;

use crate::decaying_mean::DecayingMean;
use crate::hash::{mix, unit_interval};
use crate::interface::{Action, EndpointId, Event, Micros, RequestId, Settings};
use state::{
    AttemptKey, CellStats, LocalityPreference, MachineTypeWeight, RequestState, ServiceKey,
    ServiceTime, Session, SessionKey, TrackedEndpoint, WorkloadCell,
};
use std::collections::BTreeMap;

// Constants are shares, counts or multiples of configured and measured figures; none belongs to one deployment.

/// Decay span, in microseconds, of rates, service times and latency ratios: an endpoint that gets little
/// traffic must not stay avoided.
const RECENT_SPAN: f64 = 10e6;
/// Timer token: subscribe to the endpoint list again.
const SUBSCRIBE_TIMER: u64 = 0;
/// Timer token: look for stalled endpoints.
const TICK_TIMER: u64 = 1;

/// Decides for one node. See [`Router::handle`].
#[derive(Default)]
pub struct Router {
    settings: Settings,
    random_state: u64,
    /// Seed of this node's draws for cold endpoints.
    draw_seed: u64,

    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    /// The listed weight of each machine type.
    machine_types: Vec<MachineTypeWeight>,
    /// For each machine type the present capacity, in warm endpoints of mean size.
    present_capacity: Vec<f64>,
    next_capacity_refresh: Micros,
    /// Whether any listed endpoint is cold.
    any_cold: bool,
    /// For each rack its share of decode capacity over its share of prefill capacity, within bounds.
    rack_affinities: BTreeMap<u16, f64>,

    sessions: BTreeMap<SessionKey, Session>,
    workload_cells: BTreeMap<WorkloadCell, CellStats>,
    open_requests: BTreeMap<RequestId, RequestState>,
    service_times: BTreeMap<ServiceKey, ServiceTime>,
    /// How much it matters that decode endpoints are near the prefill endpoint's rack.
    rack_locality: LocalityPreference,
    /// How much it matters that the prefill endpoint is in this node's zone.
    zone_locality: LocalityPreference,
    /// For each machine type the work completed lately (not sent: retry storms must not count), over its
    /// present capacity.
    completed_work: Vec<DecayingMean>,
    sent_to_prefill: DecayingMean,
    sent_to_decode: DecayingMean,
    /// Since when requests arrive without a long gap.
    busy_since: Micros,
    /// Prompt tokens that this node has brought into the memory of decode endpoints so far.
    token_flow: f64,
    /// Prompt tokens of this node's running streams.
    streaming_tokens: f64,
    /// For each machine type the tokens of all nodes that pass through one decode endpoint before it evicts
    /// a session's KV state.
    kv_retention: Vec<f64>,
    /// Recent prompt tokens of each shared prefix (or session without one).
    prefix_tokens: BTreeMap<u64, DecayingMean>,
    /// Recent prompt tokens of all requests.
    prompt_tokens: DecayingMean,
    next_session_sweep: Micros,
    tick_scheduled: bool,

    /// First-token times over their objectives.
    ttft_ratio: DecayingMean,
    arrivals: DecayingMean,
    tenant_arrivals: Vec<DecayingMean>,
    first_tokens: DecayingMean,
    cancellations: DecayingMean,
    /// The share of arrivals to refuse.
    shed_rate: f64,
    shed_rate_updated_at: Micros,
    /// Running mean of the priority weight of arrivals.
    mean_priority_weight: f64,
    log_lines: u32,
}

impl Router {
    /// A router that knows only its settings. `seed` feeds its random choices.
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

    /// Takes in one event and appends the resulting actions to `out`.
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
            Event::ReservationResult {
                request,
                endpoint,
                reserved,
            } => self.on_reservation_result(request, endpoint, reserved),
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
            Event::ReplicaCount(replicas) => self.settings.replica_count = replicas,
            Event::Timer(_) | Event::HealthCheckResult { .. } => {}
        }
    }

    /// How many endpoints are remembered: the listed ones, and removed ones to which an open request was sent.
    pub fn known_endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// The next random number in [0, 1).
    fn chance(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(self.random_state)
    }
}
