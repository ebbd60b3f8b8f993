//! Whether an idle connection may carry the next request.
//!
//! Whoever closes an idle connection may do so while a request is on its way, and then nobody can say whether it ran. How
//! long engines keep idle connections is unknown, and a middlebox may close them sooner, so it is learned: failures
//! under a request are counted by how long the connection had been idle, next to those of new connections. An idle time
//! at which connections fail more often than new ones is not used until that is long ago. A connection that was idle for
//! longer has outlived whatever closes the younger ones, so each range of idle times is judged by itself. No I/O, no clock.

use crate::decaying_mean::DecayingMean;
use crate::interface::Micros;

/// Ranges of idle times: each is about three times the previous one, from a millisecond to over a minute.
const RANGES: usize = 11;
/// Decay span of observations, in microseconds: an idle time that is not used is tried again after a few of them.
const DECAY_SPAN: f64 = 30e6;
/// A range is taken to fail as rarely as new connections until about this many uses tell otherwise.
const PRIOR_USES: f64 = 10.0;
/// Idle connections may fail this much more often than new ones: the handshake of a new one costs more than that.
const TOLERATED_EXCESS: f64 = 0.03;
/// For requests that must not be sent again, a range must have proven safe: the prior has this many failures more.
const UNPROVEN_FAILURES: f64 = 1.0;

/// Which idle connections may carry an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any: the attempt may be sent again.
    Any,
    /// Those whose idle time has proven safe.
    ProvenSafe,
    /// None: only a new connection shows that the bytes will not wait in a network cut.
    Never,
}

/// What decides which idle connections may carry an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTraits {
    /// It may be sent again.
    pub repeatable: bool,
    /// It repeats an attempt that may have run.
    pub repeats_unknown_outcome: bool,
    /// KV state waits for it at another engine, and must be released within this span.
    pub kv_state_timeout: Option<Micros>,
    /// When its engine last responded to anything; 0 for never.
    pub last_response: Micros,
}

/// Which idle connections may carry an attempt now.
///
/// Guards against a repeat that is sent within its window into a network cut and arrives when the cut ends, and against a
/// decode request that does so while its KV state waits: it has not arrived, so it does not stop that state's clock. An
/// engine that responded within the state's own span counts as reachable.
pub fn reuse_policy(now: Micros, attempt: &AttemptTraits) -> ReusePolicy {
    let responded = |within: Micros| {
        attempt.last_response > 0 && now <= attempt.last_response.saturating_add(within)
    };
    if attempt.repeats_unknown_outcome
        || attempt
            .kv_state_timeout
            .is_some_and(|within| !responded(within))
    {
        return ReusePolicy::Never;
    }
    match attempt.repeatable {
        true => ReusePolicy::Any,
        false => ReusePolicy::ProvenSafe,
    }
}

/// When to check a decode request that was sent on an idle connection and whose KV state waits: its engine is dialled anew
/// and must be reachable in time. Nothing else tells a request that waits in a network cut from a slow response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryCheck {
    /// Without a byte of the response by then, the engine is dialled.
    pub connect_at: Micros,
    /// Without a connection by then, the request is assumed not to have arrived.
    pub reachable_by: Micros,
}

/// The check of a request sent at `now`; the KV state waits for at most `within`.
pub fn delivery_check(now: Micros, within: Micros) -> DeliveryCheck {
    DeliveryCheck {
        connect_at: now.saturating_add(within / 4),
        reachable_by: now.saturating_add(within / 2),
    }
}

/// Failures of connections under requests. See the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct ReuseHistory {
    /// Failures of new connections over their uses.
    new_connections: DecayingMean,
    /// The same of idle connections, by range of idle time.
    ranges: [DecayingMean; RANGES],
}

fn range_of(idle: Micros) -> usize {
    let decades = (idle.max(1_000) as f64 / 1_000.0).log10();
    ((decades * 2.0) as usize).min(RANGES - 1)
}

impl ReuseHistory {
    /// Without any observation.
    pub fn new() -> ReuseHistory {
        ReuseHistory::default()
    }

    /// A connection that had been idle for this long, or a new one, carried a request to its response, or `ended` under it
    /// before a byte of the response.
    pub fn record_use(&mut self, now: Micros, idle: Option<Micros>, ended: bool) {
        let mean = match idle {
            Some(idle) => &mut self.ranges[range_of(idle)],
            None => &mut self.new_connections,
        };
        mean.add(now, DECAY_SPAN, f64::from(u8::from(ended)));
    }

    /// Whether a connection that has been idle for this long may carry a request. `repeatable`: it may be sent again.
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
