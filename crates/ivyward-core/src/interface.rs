//! The types, events and actions through which the decision module is driven.
//!
//! Plain data only: nothing here decides anything. Times are microseconds on the caller's clock.

/// Microseconds on the caller's clock (a point in time or a span).
pub type Micros = u64;

/// A server, as an opaque number that is the same at every node and across restarts of its process.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// A request try taken by this node; never repeated.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a kind of machine can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads prompts and keeps the KV state until a decode server fetches it.
    Prefill,
    /// Writes answers from a fetched KV state.
    Decode,
    /// Does both.
    Mixed,
}

/// How far a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated and refused freely.
    Idempotent,
    /// Repeats are dropped inside a group of servers, for a while.
    WithKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The servers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell (rack).
    Rack,
}

/// What is told of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// A first token within this span (plus `ttft_objective_per_1000`) earns the full worth.
    pub ttft_objective: Micros,
    /// Added to the aim for each 1,000 prompt tokens.
    pub ttft_objective_per_1000: f64,
    /// The wanted mean time between tokens.
    pub tpot_objective: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// Worth of one request (or of one unit of its work).
    pub priority_weight: f64,
    /// Part of the worth that a late answer still earns.
    pub late_weight: f64,
    /// How far it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: who drops repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: how long repeats are dropped.
    pub deduplication_window: Micros,
}

/// What is told of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second over all nodes that count as within its share; absent when not told.
    pub quota_per_s: Option<f64>,
}

/// A value that servers may report of their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests held.
    Outstanding,
    /// Requests waiting in the queue.
    Backlog,
    /// Share of slots in use.
    Utilization,
    /// Recent time to the end of a read or to the first token, in milliseconds.
    RecentMs,
    /// Share of memory held.
    MemoryShare,
    /// Thousands of prompt tokens that wait to be read or fetched.
    WaitingKTokens,
    /// A value that this version has no use for.
    Other,
}

/// What a node is told at its start.
#[derive(Default, Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many nodes front the service.
    pub replica_count: u32,
    /// The zone of this node.
    pub zone: u8,
    /// The role of each kind of machine.
    pub roles: Vec<Role>,
    /// The memory of each kind of machine in tokens; may be shorter than `roles`.
    pub memory_tokens: Vec<f64>,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Worth of traffic beyond a tenant's share, as a part of the usual.
    pub over_quota_weight: f64,
    /// A decode server without a state to fetch reads the prompt itself.
    pub decode_may_prefill: bool,
    /// A place may be held ahead at a writer.
    pub reserve_decode_slot: bool,
    /// Points lost when all prompt tokens leave their rack.
    pub transfer_price: f64,
    /// Points lost when each request crosses zones once.
    pub cross_zone_price: f64,
    /// Held state must be taken or let go within this span.
    pub release_within: Micros,
    /// An attempt is out only once its last byte left: while it connects, that span runs on. Else it is out from its
    /// send.
    pub in_flight_after_last_byte: bool,
    /// Nothing new may be sent to a draining server after this span.
    pub drain_grace: Micros,
    /// Multiple of its present capacity at which a cold server falls over.
    pub overload_multiple: f64,
    /// The span over which that is counted.
    pub overload_window: Micros,
    /// Part of its capacity with which a server starts.
    pub initial_capacity: f64,
    /// The span after which a started server is warm.
    pub warm_up_duration: Micros,
    /// The server list must be subscribed to.
    pub must_subscribe: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub health_checks: bool,
    /// A request may have two attempts out.
    pub hedging: bool,
    /// The longest advice to stay away that a client follows; 0 where advice is not passed on.
    pub max_retry_after: Micros,
    /// The values of a load report, in order; empty where there are none.
    pub report_fields: Vec<ReportField>,
}

/// A server as a list names it.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Which server.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u8,
    /// Its kind of machine: an index into [`Settings::roles`].
    pub machine_type: u8,
    /// Its cell (rack).
    pub rack: u16,
    /// What the list says of its process.
    pub state: EndpointState,
    /// Its size against others of its kind.
    pub weight: f64,
    /// When its process last started; 0 for long ago.
    pub started_at: Micros,
}

/// What the list of servers says of a process.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It runs.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It was removed.
    #[default]
    Removed,
}

/// How a list of servers relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as last held before a restart.
    Cached,
    /// The call for it failed.
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
    /// The key of the shared opening; 0 for none.
    pub prefix: u64,
    /// How long the client waits for this try.
    pub client_timeout: Micros,
    /// Tokens in the prompt.
    pub prompt_tokens: f64,
    /// How many of them belong to the shared opening.
    pub prefix_tokens: f64,
    /// The most tokens in the answer.
    pub max_output: f64,
    /// A rough guess of the answer's tokens, where hints exist.
    pub hinted_output: Option<f64>,
    /// The client marks it as a repeat.
    pub is_retry: bool,
    /// It comes back after its stream broke.
    pub is_resumed: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was streamed to its end.
    Served,
    /// The prompt was read; its KV state waits at that server.
    Prefilled,
    /// The server answered with an error.
    Error,
    /// Turned away: slots and queue full, or draining.
    Rejected,
    /// Turned away: there was no state to fetch.
    KvCacheMiss,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off by this node.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether an attempt that ended so, without an answer, may have run or may run yet.
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

/// What a node sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of servers.
    EndpointList {
        /// How it relates to the one before.
        kind: ListKind,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived.
    Request(Request),
    /// An answer began to stream.
    FirstToken {
        /// Whose answer.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// The reply to [`Action::Reserve`].
    ReservationResult {
        /// For which request.
        request: RequestId,
        /// At which server.
        endpoint: EndpointId,
        /// Whether the place is held.
        reserved: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// For which request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens that were found kept.
        cached_tokens: u32,
        /// Nothing more is owed for this request.
        finished: bool,
        /// The server's load report, if one came along.
        report: LoadReport,
    },
    /// The client left, or its time is over.
    ClientDisconnected(RequestId),
    /// A timer fell due.
    Timer(u64),
    /// A probe's result.
    HealthCheckResult {
        /// Which server.
        endpoint: EndpointId,
        /// Whether its process answered.
        alive: bool,
        /// Its load report, if one came along.
        report: LoadReport,
    },
    /// So many nodes may be sending by now, this one among them: instead of [`Settings::replica_count`].
    ReplicaCount(u32),
}

/// What a node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a server; attempts are numbered from 0 in this order.
    Send {
        /// Which request.
        request: RequestId,
        /// To which server.
        endpoint: EndpointId,
        /// The attempt's time-out; 0 for until the client gives up.
        timeout: Micros,
        /// When its last byte has to have left, as something is held meanwhile; else it ends as
        /// [`Outcome::ConnectFailed`]. 0 for no such time.
        send_deadline: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: not done, trying again does no harm.
    Reject {
        /// Which request.
        request: RequestId,
        /// When to come back; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Let go of every state and place held for a request.
    ReleaseReservation(RequestId),
    /// Hold a place at a writer while the prompt is read.
    Reserve {
        /// For which request.
        request: RequestId,
        /// At which server.
        endpoint: EndpointId,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// When.
        at: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a server.
    HealthCheck(EndpointId),
    /// Ask for changes of the server list.
    Subscribe,
    /// Add a line to the log.
    Log(String),
}
