//! Settings, events and actions of the router.
//!
//! These types are plain data. All times are microseconds on the caller's clock.

/// A point in time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;

/// Identifies an endpoint. The number is opaque; it is the same on every node and does not change when the engine process
/// restarts.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Identifies a request accepted by this node. A client's retry is a new request with a new id; ids are never reused.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Which stages of a request the engines of a machine type run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Prefills prompts and stores the KV state until a decode endpoint fetches it.
    Prefill,
    /// Decodes, after it has fetched the KV state from a prefill endpoint.
    Decode,
    /// Runs both stages.
    Mixed,
}

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times, so it can always be retried and rejected.
    Idempotent,
    /// Carries an idempotency key. The endpoints of [`ClassSettings::deduplication_scope`] drop repeats for
    /// [`ClassSettings::deduplication_window`].
    WithKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The endpoints that drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one rack.
    Rack,
}

/// Settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The objective for the time to first token, in microseconds, for an empty prompt;
    /// [`ClassSettings::ttft_objective_per_1000`] is added to it.
    pub ttft_objective: Micros,
    /// Microseconds added to the first-token objective for each 1,000 prompt tokens.
    pub ttft_objective_per_1000: f64,
    /// The objective for the mean time per output token, in microseconds.
    pub tpot_objective: f64,
    /// How long a client waits for its answer, with its own retries included.
    pub deadline: Micros,
    /// The weight of one request (or of one unit of its work). Under overload, requests with less than the mean weight are
    /// more likely to be rejected.
    pub priority_weight: f64,
    /// The share of the weight, from 0 to 1, that a response after its objective still has. The router does not use it.
    pub late_weight: f64,
    /// Whether requests of this class may run more than once.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats. Used for [`Idempotency::WithKey`] only.
    pub deduplication_scope: DeduplicationScope,
    /// How long repeats are dropped after the first attempt that may have run. Used for [`Idempotency::WithKey`] only.
    pub deduplication_window: Micros,
}

/// Settings of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// The tenant's quota in requests per second over all nodes; `None` for no quota.
    pub quota_per_s: Option<f64>,
}

/// The meaning of one value in an endpoint's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// The number of requests in progress.
    Outstanding,
    /// The number of requests waiting in the queue.
    Backlog,
    /// The share of slots in use, from 0 to 1.
    Utilization,
    /// Recent time to the end of a prefill or to the first token, in milliseconds.
    RecentLatencyMs,
    /// The share of memory in use, from 0 to 1.
    MemoryShare,
    /// Prompt tokens that wait to be prefilled or fetched, in thousands.
    WaitingKTokens,
    /// A value that this version does not know and ignores.
    Other,
}

/// What happens when the reservations of a request reach their time limit while an attempt is in flight that is not known
/// to have arrived at its engine.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnconfirmedAttempts {
    /// Nothing: an attempt counts as arrived once its last byte was sent.
    #[default]
    CountAsArrived,
    /// The reservations are released beside the attempt. For protocols whose releases spare what an attempt at an engine
    /// waits for.
    ReleaseBeside,
    /// The attempt is cancelled, and the reservations are released when it has ended. For protocols that confirm the arrival
    /// of attempts ([`Event::AttemptDelivered`]).
    Cancel,
}

/// Settings of a node.
#[derive(Default, Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of router nodes, this one included.
    pub replica_count: u32,
    /// The zone of this node.
    pub zone: u8,
    /// The role of each machine type; [`Endpoint::machine_type`] is an index into it.
    pub roles: Vec<Role>,
    /// The KV memory of each machine type in tokens. May have fewer entries than `roles`; the rest is unknown.
    pub memory_tokens: Vec<f64>,
    /// The request classes; [`Request::class`] is an index into it.
    pub classes: Vec<ClassSettings>,
    /// The tenants; [`Request::tenant`] is an index into it. Empty if tenants are not distinguished.
    pub tenants: Vec<TenantSettings>,
    /// The weight of traffic beyond a tenant's quota, from 0 to 1, as a share of the weight of traffic within it. The router
    /// does not use it.
    pub over_quota_weight: f64,
    /// Whether a decode endpoint prefills the prompt itself if there is no KV state to fetch.
    pub decode_may_prefill: bool,
    /// Whether a decode slot may be reserved while the prompt is prefilled.
    pub reserve_decode_slot: bool,
    /// The points (0 to 1) lost if the KV state of all prompt tokens is moved to another rack. The router does not use it.
    pub transfer_price: f64,
    /// The points (0 to 1) lost if each request crosses zones once. At 0, the choice of a prefill endpoint ignores zones.
    pub cross_zone_price: f64,
    /// The time within which a reservation must be used or released.
    pub release_within: Micros,
    /// Whether an attempt counts as in flight only after its last byte was sent. If so, the time of `release_within` also
    /// runs while the attempt connects; otherwise an attempt counts as in flight from [`Action::Send`].
    pub in_flight_after_last_byte: bool,
    /// What happens to the reservations of an attempt that was sent and is not known to have arrived.
    pub unconfirmed_attempts: UnconfirmedAttempts,
    /// How long a draining endpoint may still get new requests.
    pub drain_grace: Micros,
    /// A cold endpoint is overloaded when it gets more than this multiple of its present capacity within
    /// `overload_window`. At 0, cold endpoints are not protected.
    pub overload_multiple: f64,
    /// The window in which the requests to a cold endpoint are counted.
    pub overload_window: Micros,
    /// The share of its full capacity, from 0 to 1, that an endpoint has when its process starts.
    pub initial_capacity: f64,
    /// The time after its start at which an endpoint has its full capacity.
    pub warm_up_duration: Micros,
    /// Whether the router has to subscribe to changes of the endpoint list.
    pub must_subscribe: bool,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether endpoints may be health-checked. The router does not use it.
    pub health_checks: bool,
    /// Whether a request may have two attempts in flight. The router does not use it.
    pub hedging: bool,
    /// The longest `retry_after` that clients follow; 0 if they do not get one.
    pub max_retry_after: Micros,
    /// The meaning of the values in a load report, in order; empty if there are no reports.
    pub report_fields: Vec<ReportField>,
}

/// An entry of the endpoint list.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint in events and actions.
    pub id: EndpointId,
    /// The zone in which the engine runs.
    pub zone: u8,
    /// The machine type, as an index into [`Settings::roles`].
    pub machine_type: u8,
    /// The rack in which the engine runs.
    pub rack: u16,
    /// Whether the endpoint takes new requests.
    pub state: EndpointState,
    /// The capacity relative to other endpoints of the same machine type.
    pub weight: f64,
    /// When the engine process last started; 0 if unknown or long ago, which counts as warm.
    pub started_at: Micros,
}

/// The state of an endpoint in the list.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint takes new requests.
    Ready,
    /// The endpoint finishes its requests and takes no new ones.
    Draining,
    /// The endpoint is no longer in the list.
    #[default]
    Removed,
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the endpoints that changed; all others stay as they were.
    Changes,
    /// The complete list; endpoints that are missing from it were removed.
    Full,
    /// The complete list as this node saved it before its last restart.
    Cached,
    /// The list could not be fetched; the previous one stays in use.
    Failed,
}

/// A request as it arrives from a client.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request in events and actions.
    pub id: RequestId,
    /// The request class, as an index into [`Settings::classes`]. The router rejects a request of an unknown class.
    pub class: usize,
    /// The tenant, as an index into [`Settings::tenants`].
    pub tenant: usize,
    /// The session key; 0 for none.
    pub session: u64,
    /// The key of the shared prefix; 0 for none.
    pub prefix: u64,
    /// How long the client waits for an answer to this request, from its arrival.
    pub client_timeout: Micros,
    /// The number of tokens in the prompt, the shared prefix included.
    pub prompt_tokens: f64,
    /// The number of prompt tokens that belong to the shared prefix.
    pub prefix_tokens: f64,
    /// The maximum number of output tokens.
    pub max_output: f64,
    /// A rough estimate of the number of output tokens; `None` if the client gave no hint.
    pub hinted_output: Option<f64>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the client sends the request again because its answer's stream broke.
    pub is_resumed: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was streamed completely.
    Served,
    /// The prompt was prefilled; the endpoint stores its KV state until it is fetched or released.
    Prefilled,
    /// The endpoint responded with an error.
    Error,
    /// The endpoint rejected the attempt without running it: its slots and queue are full, or it drains.
    Rejected,
    /// The decode endpoint rejected the attempt because there was no KV state to fetch.
    KvCacheMiss,
    /// The endpoint did not respond within the attempt's timeout.
    TimedOut,
    /// No connection to the endpoint could be opened, so nothing was sent.
    ConnectFailed,
    /// The connection broke after the attempt was sent.
    Reset,
    /// This node cancelled the attempt.
    Cancelled,
    /// The attempt was never sent. This does not count as a failure of the endpoint.
    NotSent,
}

impl Outcome {
    /// Whether the endpoint answered, so that the attempt had arrived there.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            Outcome::Served
                | Outcome::Prefilled
                | Outcome::Error
                | Outcome::Rejected
                | Outcome::KvCacheMiss
        )
    }

    /// Whether an attempt that ended without a complete response may have run, or may still be running.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// The load report of an endpoint, with values in the order of [`Settings::report_fields`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of values in use; 0 for no report.
    pub len: usize,
    /// The values; those from `len` on have no meaning.
    pub values: [f32; 4],
}

/// An input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointList {
        /// How the list relates to the previous one.
        kind: ListKind,
        /// The changed endpoints for [`ListKind::Changes`], otherwise all endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived at this node.
    Request(Request),
    /// A response began to stream.
    FirstToken {
        /// The request that the response belongs to.
        request: RequestId,
        /// The number of the attempt that streams; see [`Action::Send`].
        attempt: u16,
    },
    /// An attempt in flight is known to have arrived at its endpoint, which has not answered it yet. Not every protocol can
    /// tell.
    AttemptDelivered {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt; see [`Action::Send`].
        attempt: u16,
    },
    /// The reply to [`Action::Reserve`].
    ReservationResult {
        /// The request that the slot is for.
        request: RequestId,
        /// The decode endpoint of the requested slot.
        endpoint: EndpointId,
        /// Whether the endpoint reserved the slot.
        reserved: bool,
    },
    /// An attempt ended, successfully or not. Each attempt ends once.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt; see [`Action::Send`].
        attempt: u16,
        /// How the attempt ended.
        outcome: Outcome,
        /// The number of prompt tokens that the endpoint found in its KV cache.
        cached_tokens: u32,
        /// Whether the request is finished, so that no further attempt follows.
        finished: bool,
        /// The load report that the endpoint sent with its response, if any.
        report: LoadReport,
    },
    /// The client disconnected, or its timeout has passed.
    ClientDisconnected(RequestId),
    /// A timer is due; carries the token of [`Action::SetTimer`].
    Timer(u64),
    /// The result of [`Action::HealthCheck`].
    HealthCheckResult {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// Whether the engine process answered.
        alive: bool,
        /// The load report that the endpoint sent with its answer, if any.
        report: LoadReport,
    },
    /// The number of router nodes that may be sending requests, this one included; replaces [`Settings::replica_count`].
    ReplicaCount(u32),
}

/// An output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an endpoint as a new attempt. The attempts of a request are numbered from 0 in this order.
    Send {
        /// The request to send.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The attempt's timeout from now on; 0 if only the client's timeout applies.
        timeout: Micros,
        /// When the attempt's last byte must have been sent; otherwise the attempt ends as [`Outcome::ConnectFailed`].
        /// Reservations of the request stay unused until then, and a deduplication window may end. 0 for no limit.
        send_deadline: Micros,
    },
    /// Cancel an attempt that is in flight. It ends as [`Outcome::Cancelled`] unless it ends before that.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt; see [`Action::Send`].
        attempt: u16,
    },
    /// Give a request its final answer, a rejection: a retry by the client is harmless.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// Give a request its final answer, a failure: a retry by the client may run the request twice.
    Fail(RequestId),
    /// Release all KV state and decode slots reserved for a request.
    ReleaseReservation(RequestId),
    /// Release the KV state and decode slots reserved for a request that no attempt at an engine waits for, while an attempt
    /// is in flight that may not have arrived. The rest stays reserved for that attempt.
    ReleaseUnused(RequestId),
    /// Reserve a decode slot while the prompt is prefilled; [`Event::ReservationResult`] is the reply.
    Reserve {
        /// The request that the slot is for.
        request: RequestId,
        /// The decode endpoint at which to reserve the slot.
        endpoint: EndpointId,
    },
    /// Deliver [`Event::Timer`] at a given time.
    SetTimer {
        /// When the timer is due.
        at: Micros,
        /// Passed back with the event.
        token: u64,
    },
    /// Check the health of an endpoint; [`Event::HealthCheckResult`] is the reply.
    HealthCheck(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
