//! The router's data about endpoints, sessions, requests and attempts. The types make no decisions.

use super::recent_map::LastUsed;
use crate::decaying_mean::DecayingMean;
use crate::interface::{Action, Endpoint, EndpointId, Micros, Request, RequestId, Role};
use std::collections::{BTreeMap, VecDeque};

/// The actions that result from one event, in order.
pub(super) type Actions = Vec<Action>;

/// What an endpoint does for an attempt. Variant order is the order of map keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptKind {
    /// Prefill the prompt and store its KV state for a decode endpoint.
    Prefill,
    /// Fetch the KV state from the endpoint that prefilled the prompt, and decode.
    Decode,
    /// Prefill the prompt and decode on the same endpoint.
    PrefillAndDecode,
}

/// A group of endpoints among which attempts are balanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    /// Endpoints that only prefill.
    Prefill,
    /// Endpoints that decode, including mixed ones.
    Decode,
}

impl Pool {
    /// Returns the pool that attempts of this kind are sent to.
    pub(super) fn of(kind: AttemptKind) -> Pool {
        match kind {
            AttemptKind::Prefill => Pool::Prefill,
            AttemptKind::Decode | AttemptKind::PrefillAndDecode => Pool::Decode,
        }
    }
}

/// An endpoint, and the kind of attempt to send to it.
#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) endpoint: EndpointId,
    pub(super) kind: AttemptKind,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: u16,
}

/// An attempt that has neither prefilled the prompt nor streamed its first token yet.
#[derive(Clone, Copy)]
pub(super) struct WaitingAttempt {
    pub(super) sent: Micros,
    /// Prompt tokens to prefill or fetch.
    pub(super) tokens: f64,
    /// Expected latency in microseconds.
    pub(super) expected: f64,
}

/// The recent rejections of one tenant by an endpoint.
#[derive(Clone, Copy, Default)]
pub(super) struct TenantRejections {
    /// The number of rejections since the endpoint last served the tenant.
    pub(super) count: i32,
    /// Until when the endpoint counts as saturated for the tenant.
    pub(super) rejected_until: Micros,
}

/// A listed endpoint with this node's measurements of it.
#[derive(Default)]
pub(super) struct TrackedEndpoint {
    /// The latest entry of the endpoint list.
    pub(super) info: Endpoint,
    /// Incremented when the process restarts or connections to it break, because its KV cache may be lost.
    pub(super) cache_epoch: u64,
    /// This node's attempts there that have neither prefilled nor begun to stream.
    pub(super) waiting: BTreeMap<AttemptKey, WaitingAttempt>,
    /// The number of this node's running streams there.
    pub(super) active_streams: usize,
    /// Observed latency of recent responses divided by the expected latency.
    pub(super) latency_ratio: DecayingMean,
    /// Decay time of `latency_ratio` in microseconds.
    pub(super) latency_decay: f64,
    /// Grows with failures. At 1 or more the endpoint is ejected and only gets requests as probes.
    pub(super) failure_score: f64,
    /// When an ejected endpoint may get the next request as a probe.
    pub(super) next_probe_at: Micros,
    pub(super) probe_interval: Micros,
    /// When this node last received a response from the endpoint.
    pub(super) last_progress: Micros,
    /// Until when the endpoint counts as saturated for all tenants.
    pub(super) saturated_until: Micros,
    /// Tenants that the endpoint rejected and has not served since, by index.
    pub(super) rejected_tenants: BTreeMap<usize, TenantRejections>,
    /// Times of recent sends, counted against the cold budget. Recorded only if the endpoint's start time is known.
    pub(super) recent_sends: VecDeque<Micros>,
}

/// Attempts of one kind on endpoints of one role.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServiceKey {
    pub(super) kind: AttemptKind,
    pub(super) role: Role,
}

/// Recent latency of a kind of attempt in microseconds, and the work done in it in tokens.
#[derive(Clone, Copy, Default)]
pub(super) struct ServiceTime {
    pub(super) latency: DecayingMean,
    pub(super) work: DecayingMean,
}

/// Total weight and number of the listed endpoints of one machine type.
#[derive(Clone, Copy, Default)]
pub(super) struct MachineTypeWeight {
    pub(super) total: f64,
    pub(super) count: f64,
}

/// How first-token times depend on one kind of distance (rack or zone), and how much that distance counts in the
/// choice of a prefill endpoint.
#[derive(Clone, Copy, Default)]
pub(super) struct LocalityPreference {
    /// First-token times, divided by their objectives, of prompts that were prefilled at a far endpoint: in a rack
    /// with little decode capacity, or in another zone than this node.
    pub(super) far: DecayingMean,
    /// The same for prompts that were prefilled at a near endpoint.
    pub(super) near: DecayingMean,
    /// Exponent of the rack or zone factor in an endpoint's ring weight, from 0 (no effect) to 1.
    pub(super) locality_weight: f64,
}

/// The key of a [`Session`] entry. Variant order is the order of map keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SessionKey {
    /// The key of a shared prefix.
    Prefix(u64),
    /// The key of a session.
    Session(u64),
}

/// The endpoint that has the KV state of a session's last turn cached.
#[derive(Clone, Copy)]
pub(super) struct Session {
    pub(super) decode_endpoint: EndpointId,
    /// The session that the KV state belongs to, also if the entry's key is a prefix.
    pub(super) session: u64,
    /// The endpoint's cache epoch when the KV state was stored.
    pub(super) cache_epoch: u64,
    pub(super) last_used: Micros,
    /// Prompt tokens of the last turn. The prompt of the next turn starts with all of them.
    pub(super) context_tokens: f64,
    /// The router's `token_flow` when the KV state was last used.
    pub(super) token_flow: f64,
}

impl LastUsed for Session {
    fn last_used(&self) -> Micros {
        self.last_used
    }
}

/// First-token time and time per output token, in microseconds, of one path in one workload cell.
#[derive(Clone, Copy, Default)]
pub(super) struct PathStats {
    pub(super) ttft: DecayingMean,
    pub(super) tpot: DecayingMean,
}

/// Where a later turn of a session is prefilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Path {
    /// On the decode endpoint that has the session's KV state cached.
    Local,
    /// On a prefill endpoint.
    Remote,
}

/// The statistics of both paths in one workload cell.
#[derive(Clone, Copy, Default)]
pub(super) struct CellStats {
    pub(super) local: PathStats,
    pub(super) remote: PathStats,
}

/// A group of similar requests, which share the statistics of both paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WorkloadCell {
    /// Logarithmic bin of the prompt length.
    pub(super) prompt_bin: u8,
    /// Logarithmic bin of new prompt tokens divided by expected output tokens.
    pub(super) new_tokens_bin: u8,
    /// Bin of the endpoint's load divided by the median load of its pool.
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
    /// Prompt tokens to process before its response begins, including tokens queued before it.
    pub(super) work: f64,
    pub(super) in_flight: bool,
    /// Whether the attempt is known to have arrived at its endpoint before its response.
    pub(super) delivered: bool,
    pub(super) streaming: bool,
}

/// The first attempt of a request that may have run it.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    pub(super) endpoint: EndpointId,
    pub(super) sent: Micros,
}

/// An open request with its attempts so far.
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
    /// The endpoint that prefilled the prompt and stores its KV state.
    pub(super) kv_endpoint: Option<EndpointId>,
    /// Since when KV state or a decode slot may be reserved while no attempt is known to be at an endpoint.
    pub(super) reserved_since: Option<Micros>,
    /// The decode endpoint at which a slot was requested during the prefill.
    pub(super) reserved_endpoint: Option<EndpointId>,
    pub(super) may_have_run: Option<PossibleRun>,
    /// Endpoints that failed this request.
    pub(super) tried: Vec<EndpointId>,
    pub(super) path: Option<PathChoice>,
    /// For a local turn, the tokens that passed through the endpoint between the session's last turn and this one.
    pub(super) tokens_since_use: f64,
    pub(super) first_token: Option<Micros>,
    /// Whether the final answer has been given. Attempts may still be in flight.
    pub(super) finished: bool,
}

impl RequestState {
    /// Returns whether one of the attempts has not ended yet.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// Returns the expected number of output tokens: the client's hint if there is one, otherwise the maximum.
pub(super) fn expected_output(request: &Request) -> f64 {
    request.hinted_output.unwrap_or(request.max_output).max(1.0)
}

/// Returns the keys under which a request's KV state may be found: first its session, then its shared prefix.
pub(super) fn session_keys(request: &Request) -> impl Iterator<Item = SessionKey> {
    let session = (request.session != 0).then_some(SessionKey::Session(request.session));
    let prefix = (request.prefix != 0).then_some(SessionKey::Prefix(request.prefix));
    session.into_iter().chain(prefix)
}
