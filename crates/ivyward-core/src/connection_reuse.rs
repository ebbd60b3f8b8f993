//! Decides whether an idle connection may carry the next request.
//!
//! An engine or a middlebox may close an idle connection while a request is on its way. It is then unknown whether the
//! request ran. The time after which idle connections are closed is unknown as well, so the module learns it: it counts
//! the connections that fail under a request by how long they had been idle, and compares them with the failures of new
//! connections. Idle times at which connections fail more often than new ones are not used until those failures are long
//! ago. A connection with a longer idle time was not closed by whatever closes connections at the shorter one, so each
//! range of idle times is judged separately. The module does no I/O and reads no clock.

use crate::decaying_mean::DecayingMean;
use crate::interface::Micros;

/// Number of ranges of idle times. Each range is about three times as long as the previous one, from one millisecond to
/// over a minute.
const RANGES: usize = 11;
/// Time constant of the decay of observations, in microseconds. An idle time that is not used is tried again after a few
/// time constants.
const DECAY_SPAN: f64 = 30e6;
/// Weight of the prior, in uses: a range is assumed to fail as rarely as new connections until about this many uses show
/// otherwise.
const PRIOR_USES: f64 = 10.0;
/// Failure rate by which idle connections may exceed new ones. The handshake of a new connection costs more than that.
const TOLERATED_EXCESS: f64 = 0.03;
/// Additional failures in the prior for requests that must not be sent again, so that a range must have proven safe first.
const UNPROVEN_FAILURES: f64 = 1.0;

/// The idle connections that may carry an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any connection whose idle time [`ReuseHistory`] allows: the attempt may be sent again.
    Any,
    /// Only connections whose idle time has proven safe.
    ProvenSafe,
    /// No idle connection. Only opening a new one shows that the bytes will not be held back by a network partition.
    Never,
}

/// The properties of an attempt that decide which idle connections may carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTraits {
    /// Whether the attempt may be sent again without harm.
    pub repeatable: bool,
    /// Whether the attempt repeats an earlier one that may have run and is not idempotent.
    pub repeats_unknown_outcome: bool,
    /// Set if KV state for the attempt is waiting at another engine: the time within which that state must be released, in
    /// microseconds.
    pub kv_state_timeout: Option<Micros>,
    /// When the attempt's engine last responded to any request; 0 for never.
    pub last_response: Micros,
}

/// Returns which idle connections may carry an attempt now.
///
/// Guards against two failures. A repeated attempt may be sent within its deduplication window into a network partition and
/// arrive only when the partition ends. A decode request may be held back in the same way while its KV state waits: the
/// time limit of that state ends with the arrival of the request. An engine that responded within that time limit counts as
/// reachable.
pub fn reuse_policy(now: Micros, attempt: &AttemptTraits) -> ReusePolicy {
    let responded = |within: Micros| {
        attempt.last_response > 0 && now <= attempt.last_response.saturating_add(within)
    };
    if attempt.repeats_unknown_outcome
        || attempt
            .kv_state_timeout
            .is_some_and(|timeout| !responded(timeout))
    {
        return ReusePolicy::Never;
    }
    match attempt.repeatable {
        true => ReusePolicy::Any,
        false => ReusePolicy::ProvenSafe,
    }
}

/// The times at which to check the delivery of a decode request that was sent on an idle connection while its KV state
/// waits. The check opens a new connection to the engine. Nothing else distinguishes a request that is held back by a
/// network partition from a slow response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryCheck {
    /// If no byte of the response has arrived by then, a new connection to the engine is opened.
    pub connect_at: Micros,
    /// If that connection is not open by then, the request is assumed not to have arrived.
    pub reachable_by: Micros,
}

/// Returns the check of a request sent at `now`, whose KV state waits for at most `kv_state_timeout` microseconds.
pub fn delivery_check(now: Micros, kv_state_timeout: Micros) -> DeliveryCheck {
    DeliveryCheck {
        connect_at: now.saturating_add(kv_state_timeout / 4),
        reachable_by: now.saturating_add(kv_state_timeout / 2),
    }
}

/// The failure rates of connections under requests, by idle time. The module documentation describes their use.
#[derive(Clone, Debug, Default)]
pub struct ReuseHistory {
    /// Failure rate of new connections.
    new_connections: DecayingMean,
    /// Failure rates of idle connections, by range of idle time.
    ranges: [DecayingMean; RANGES],
}

/// Returns the index of the range of an idle time.
fn range_of(idle: Micros) -> usize {
    let decades = (idle.max(1_000) as f64 / 1_000.0).log10();
    ((decades * 2.0) as usize).min(RANGES - 1)
}

impl ReuseHistory {
    /// Creates a history without observations.
    pub fn new() -> ReuseHistory {
        ReuseHistory::default()
    }

    /// Records that a connection carried a request. `idle` is how long the connection had been idle, `None` for a new one.
    /// `failed` means that the connection ended before the first byte of the response.
    pub fn record_use(&mut self, now: Micros, idle: Option<Micros>, failed: bool) {
        let mean = match idle {
            Some(idle) => &mut self.ranges[range_of(idle)],
            None => &mut self.new_connections,
        };
        mean.add(now, DECAY_SPAN, f64::from(u8::from(failed)));
    }

    /// Returns whether a connection that has been idle for `idle` may carry a request. `repeatable` means that the
    /// request may be sent again; for other requests the idle time must have proven safe.
    pub fn allows_reuse(&self, now: Micros, idle: Micros, repeatable: bool) -> bool {
        let usual = self
            .new_connections
            .mean_with_prior(now, DECAY_SPAN, 0.0, PRIOR_USES);
        let unproven = if repeatable { 0.0 } else { UNPROVEN_FAILURES };
        self.ranges[range_of(idle)].mean_with_prior(
            now,
            DECAY_SPAN,
            usual + unproven / PRIOR_USES,
            PRIOR_USES,
        ) <= usual + TOLERATED_EXCESS
    }
}
