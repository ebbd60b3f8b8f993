//! Settings, events and actions of the router.
//!
//! Plain data only. Times are microseconds on the caller's clock.

/// Microseconds on the caller's clock (a point in time or a span).
pub type Micros = u64;

/// An endpoint, as an opaque number that is the same at every node and across restarts of its process.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// One try of a request accepted by this node; never reused.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a machine type does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Prefills prompts and keeps the KV state until a decode endpoint fetches it.
    Prefill,
    /// Decodes from a fetched KV state.
    Decode,
    /// Does both.
    Mixed,
}

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated and rejected freely.
    Idempotent,
    /// Carries an idempotency key: repeats are dropped by a group of endpoints, for a while.
    WithKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The endpoints that drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one rack.
    Rack,
}

/// Settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The first-token objective (plus `ttft_objective_per_1000`).
    pub ttft_objective: Micros,
    /// Added to the objective for each 1,000 prompt tokens.
    pub ttft_objective_per_1000: f64,
    /// The objective of the mean time per output token.
    pub tpot_objective: f64,
    /// How long a client waits, all its tries included.
    pub deadline: Micros,
    /// The weight of one request (or of one unit of its work).
    pub priority_weight: f64,
    /// The share of the weight that a late response keeps.
    pub late_weight: f64,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// For classes with an idempotency key: which endpoints drop repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For classes with an idempotency key: how long repeats are dropped.
    pub deduplication_window: Micros,
}

/// Settings of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second over all nodes within its quota; none without a quota.
    pub quota_per_s: Option<f64>,
}

/// A value of an endpoint's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in progress.
    Outstanding,
    /// Requests waiting in the queue.
    Backlog,
    /// Share of slots in use.
    Utilization,
    /// Recent time to the end of a prefill or to the first token, in milliseconds.
    RecentLatencyMs,
    /// Share of memory in use.
    MemoryShare,
    /// Thousands of prompt tokens that wait to be prefilled or fetched.
    WaitingKTokens,
    /// A value that this version ignores.
    Other,
}

/// Settings of a node.
#[derive(Default, Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of router nodes.
    pub replica_count: u32,
    /// The zone of this node.
    pub zone: u8,
    /// The role of each machine type.
    pub roles: Vec<Role>,
    /// The KV memory of each machine type in tokens; may be shorter than `roles`.
    pub memory_tokens: Vec<f64>,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// The weight of traffic beyond a tenant's quota, as a share of the usual.
    pub over_quota_weight: f64,
    /// A decode endpoint without KV state to fetch prefills the prompt itself.
    pub decode_may_prefill: bool,
    /// A slot may be reserved ahead at a decode endpoint.
    pub reserve_decode_slot: bool,
    /// Points lost when all prompt tokens leave their rack.
    pub transfer_price: f64,
    /// Points lost when each request crosses zones once.
    pub cross_zone_price: f64,
    /// Reservations must be used or released within this span.
    pub release_within: Micros,
    /// An attempt counts as in flight only after its last byte was sent: while it connects, that span goes on. Else it
    /// counts from its send.
    pub in_flight_after_last_byte: bool,
    /// No new request may be sent to a draining endpoint after this span.
    pub drain_grace: Micros,
    /// Multiple of its present capacity at which a cold endpoint is overloaded.
    pub overload_multiple: f64,
    /// The span over which that is counted.
    pub overload_window: Micros,
    /// The share of its capacity with which an endpoint starts.
    pub initial_capacity: f64,
    /// The span after which a started endpoint is warm.
    pub warm_up_duration: Micros,
    /// The endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be health-checked.
    pub health_checks: bool,
    /// A request may have two attempts in flight.
    pub hedging: bool,
    /// The longest `retry_after` that clients follow; 0 where it is not passed on.
    pub max_retry_after: Micros,
    /// The values of a load report, in order; empty without reports.
    pub report_fields: Vec<ReportField>,
}

/// An endpoint of the list.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u8,
    /// Its machine type: an index into [`Settings::roles`].
    pub machine_type: u8,
    /// Its rack.
    pub rack: u16,
    /// The state of its process.
    pub state: EndpointState,
    /// Its size relative to others of its machine type.
    pub weight: f64,
    /// When its process last started; 0 for long ago.
    pub started_at: Micros,
}

/// The state of an endpoint's process.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It runs.
    Ready,
    /// It finishes its work and takes no new requests.
    Draining,
    /// It was removed.
    #[default]
    Removed,
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed endpoints only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as saved before a restart.
    Cached,
    /// The list could not be fetched.
    Failed,
}

/// A request as it arrives.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class: an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant: an index into [`Settings::tenants`].
    pub tenant: usize,
    /// The session key; 0 for none.
    pub session: u64,
    /// The key of the shared prefix; 0 for none.
    pub prefix: u64,
    /// How long the client waits for this try.
    pub client_timeout: Micros,
    /// Tokens in the prompt.
    pub prompt_tokens: f64,
    /// How many of them belong to the shared prefix.
    pub prefix_tokens: f64,
    /// The most output tokens.
    pub max_output: f64,
    /// A rough estimate of the output tokens, where hints exist.
    pub hinted_output: Option<f64>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// It comes back after its stream broke.
    pub is_resumed: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was streamed completely.
    Served,
    /// The prompt was prefilled; its KV state waits at that endpoint.
    Prefilled,
    /// The endpoint responded with an error.
    Error,
    /// Rejected: slots and queue are full, or the endpoint drains.
    Rejected,
    /// Rejected: there was no KV state to fetch.
    KvCacheMiss,
    /// No response in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by this node.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether an attempt with this outcome may have run, or may still run, without a response.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// A load report; values in the order of [`Settings::report_fields`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How many values there are; 0 for no report.
    pub len: usize,
    /// The values.
    pub values: [f32; 4],
}

/// An input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointList {
        /// How the list relates to the previous one.
        kind: ListKind,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived.
    Request(Request),
    /// A response began to stream.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// The reply to [`Action::Reserve`].
    ReservationResult {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the slot is reserved.
        reserved: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens that were found in the KV cache.
        cached_tokens: u32,
        /// The request needs nothing more.
        finished: bool,
        /// The endpoint's load report, if one came along.
        report: LoadReport,
    },
    /// The client disconnected, or its time is over.
    ClientDisconnected(RequestId),
    /// A timer is due.
    Timer(u64),
    /// The result of a health check.
    HealthCheckResult {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether its process answered.
        alive: bool,
        /// Its load report, if one came along.
        report: LoadReport,
    },
    /// The number of router nodes that may be sending, this one included; replaces [`Settings::replica_count`].
    ReplicaCount(u32),
}

/// An output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an endpoint; attempts of a request are numbered from 0 in this order.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt's time-out; 0 for the client's.
        timeout: Micros,
        /// When its last byte must have been sent, as reservations wait meanwhile; else it ends as
        /// [`Outcome::ConnectFailed`]. 0 for no limit.
        send_deadline: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: rejected, trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When to try again; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Release all KV state and slots reserved for a request.
    ReleaseReservation(RequestId),
    /// Reserve a slot at a decode endpoint while the prompt is prefilled.
    Reserve {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// When the timer is due.
        at: Micros,
        /// Passed back with the event.
        token: u64,
    },
    /// Check the health of an endpoint.
    HealthCheck(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
