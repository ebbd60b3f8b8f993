//! What the router remembers about endpoints, sessions, requests and attempts. Plain data without decisions.

use crate::decaying_mean::DecayingMean;
use crate::interface::{Action, Endpoint, EndpointId, Micros, Request, RequestId, Role};
use std::collections::{BTreeMap, VecDeque};

/// The actions that one event leads to, in order.
pub(super) type Actions = Vec<Action>;

/// What an attempt asks of an endpoint. The order of the variants is the order of map keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptKind {
    /// Prefill the prompt and keep its KV state for a decode endpoint.
    Prefill,
    /// Fetch the KV state from the endpoint that prefilled the prompt, and decode.
    Decode,
    /// Prefill the prompt and decode on the same endpoint.
    PrefillAndDecode,
}

/// The endpoints that prefill for others, or those that decode (mixed ones among them).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    Prefill,
    Decode,
}

impl Pool {
    /// The pool that a kind of attempt is sent to.
    pub(super) fn of(kind: AttemptKind) -> Pool {
        match kind {
            AttemptKind::Prefill => Pool::Prefill,
            AttemptKind::Decode | AttemptKind::PrefillAndDecode => Pool::Decode,
        }
    }
}

/// An endpoint and the kind of attempt to send it.
#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) endpoint: EndpointId,
    pub(super) kind: AttemptKind,
}

/// Names one attempt of one request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: u16,
}

/// An attempt whose prefill or first token this node still waits for.
#[derive(Clone, Copy)]
pub(super) struct WaitingAttempt {
    pub(super) sent: Micros,
    /// Prompt tokens to prefill or fetch.
    pub(super) tokens: f64,
    /// Expected latency in microseconds.
    pub(super) expected: f64,
}

/// How often and until when an endpoint rejects one tenant.
#[derive(Clone, Copy, Default)]
pub(super) struct TenantRejections {
    /// Rejections since the tenant was last served there.
    pub(super) count: i32,
    /// The endpoint counts as saturated for the tenant until then.
    pub(super) rejected_until: Micros,
}

/// An endpoint of the list with this node's measurements of it.
#[derive(Default)]
pub(super) struct TrackedEndpoint {
    /// The endpoint as the list names it.
    pub(super) info: Endpoint,
    /// Changes when the process restarted or broke connections: its KV cache is lost.
    pub(super) cache_epoch: u64,
    /// Attempts of this node that are neither prefilled nor streaming yet.
    pub(super) waiting: BTreeMap<AttemptKey, WaitingAttempt>,
    /// Running streams of this node.
    pub(super) active_streams: usize,
    /// Observed over expected latency of its recent responses.
    pub(super) latency_ratio: DecayingMean,
    /// The span in microseconds over which `latency_ratio` decays.
    pub(super) latency_span: f64,
    /// Grows with failures; at 1 or more the endpoint is ejected and gets probes only.
    pub(super) failure_score: f64,
    /// When an ejected endpoint may get the next probing request.
    pub(super) next_probe_at: Micros,
    pub(super) probe_interval: Micros,
    /// When it last answered anything.
    pub(super) last_progress: Micros,
    /// It counts as saturated for all tenants until then.
    pub(super) saturated_until: Micros,
    /// Tenants that it rejected and has not served since, by index.
    pub(super) rejected_tenants: BTreeMap<usize, TenantRejections>,
    /// Recent sends, recorded where a start time is known: the cold budget counts them.
    pub(super) recent_sends: VecDeque<Micros>,
}

/// Attempts of one kind on endpoints of one role.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServiceKey {
    pub(super) kind: AttemptKind,
    pub(super) role: Role,
}

/// Recent latency of a kind of attempt, and the work behind it in tokens.
#[derive(Clone, Copy, Default)]
pub(super) struct ServiceTime {
    pub(super) latency: DecayingMean,
    pub(super) work: DecayingMean,
}

/// Listed weight of the endpoints of one machine type.
#[derive(Clone, Copy, Default)]
pub(super) struct MachineTypeWeight {
    pub(super) total: f64,
    pub(super) count: f64,
}

/// How much first-token times depend on one kind of distance, and how much that counts in the choice of a
/// prefill endpoint.
#[derive(Clone, Copy, Default)]
pub(super) struct LocalityPreference {
    /// First-token times over their objectives of prompts prefilled far from decode capacity or this node.
    pub(super) far: DecayingMean,
    /// The same of prompts prefilled near it.
    pub(super) near: DecayingMean,
    /// The exponent of the distance in ring weights, from 0 to 1.
    pub(super) locality_weight: f64,
}

/// Whose KV state a [`Session`] entry describes. The order of the variants is the order of map keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SessionKey {
    /// Requests that share a prefix.
    Prefix(u64),
    /// The turns of one session.
    Session(u64),
}

/// Where the KV state of a session's last turn is kept.
#[derive(Clone, Copy)]
pub(super) struct Session {
    pub(super) decode_endpoint: EndpointId,
    /// The session whose state it is, also where the entry stands under a prefix.
    pub(super) session: u64,
    /// The endpoint's cache epoch when the state was stored.
    pub(super) cache_epoch: u64,
    pub(super) last_used: Micros,
    /// Prompt tokens of the last turn: the next prompt starts with all of them.
    pub(super) context_tokens: f64,
    /// The router's total token flow when the state was last used.
    pub(super) token_flow: f64,
}

/// First-token time and time per token of one path in one workload cell.
#[derive(Clone, Copy, Default)]
pub(super) struct PathStats {
    pub(super) ttft: DecayingMean,
    pub(super) tpot: DecayingMean,
}

/// Whether a later turn is prefilled where its KV state is, or by the prefill pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Path {
    Local,
    Remote,
}

/// The statistics of both paths in one workload cell.
#[derive(Clone, Copy, Default)]
pub(super) struct CellStats {
    pub(super) local: PathStats,
    pub(super) remote: PathStats,
}

/// A class of similar requests: requests of one cell share their path statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WorkloadCell {
    /// Logarithmic bin of the prompt's length.
    pub(super) prompt_bin: u8,
    /// Logarithmic bin of new prompt tokens over output tokens.
    pub(super) new_tokens_bin: u8,
    /// Bin of the endpoint's load over the pool's median.
    pub(super) load_bin: u8,
}

/// The path chosen for a later turn.
#[derive(Clone, Copy)]
pub(super) struct PathChoice {
    pub(super) path: Path,
    pub(super) cell: WorkloadCell,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) kind: AttemptKind,
    pub(super) sent: Micros,
    /// Prompt tokens to process until its response begins, those queued before it included.
    pub(super) work: f64,
    pub(super) in_flight: bool,
    pub(super) streaming: bool,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    pub(super) endpoint: EndpointId,
    pub(super) sent: Micros,
}

/// A request and what has been done for it so far.
#[derive(Default)]
pub(super) struct RequestState {
    pub(super) request: Request,
    pub(super) arrived: Micros,
    pub(super) deadline: Micros,
    /// The first-token objective in microseconds.
    pub(super) objective: f64,
    /// Prompt tokens that no endpoint is expected to have cached.
    pub(super) new_tokens: f64,
    pub(super) attempts: Vec<Attempt>,
    /// The endpoint that prefilled the prompt and keeps its KV state.
    pub(super) kv_endpoint: Option<EndpointId>,
    /// Since when KV state or a decode slot may be reserved without an attempt at an endpoint.
    pub(super) reserved_since: Option<Micros>,
    /// The decode endpoint with a slot reserved ahead.
    pub(super) reserved_endpoint: Option<EndpointId>,
    pub(super) may_have_run: Option<PossibleRun>,
    /// Endpoints that failed this request.
    pub(super) tried: Vec<EndpointId>,
    pub(super) path: Option<PathChoice>,
    /// Tokens that had passed through the endpoint since the session's last turn when a local turn was sent.
    pub(super) tokens_since_use: f64,
    pub(super) first_token: Option<Micros>,
    /// The final answer has been given; attempts may still be in flight.
    pub(super) finished: bool,
}

impl RequestState {
    /// Whether one of its attempts has not ended yet.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// Expected output tokens: the hint, else the maximum.
pub(super) fn expected_output(request: &Request) -> f64 {
    request.hinted_output.unwrap_or(request.max_output).max(1.0)
}

/// The keys of a request's session entries: its session's, then its shared prefix's.
pub(super) fn session_keys(request: &Request) -> impl Iterator<Item = SessionKey> {
    let session = (request.session != 0).then_some(SessionKey::Session(request.session));
    let prefix = (request.prefix != 0).then_some(SessionKey::Prefix(request.prefix));
    session.into_iter().chain(prefix)
}
