//! Timing of the long polls of an endpoint list, so that a change is known within a configured time whichever call fails.
//!
//! A call that waits for changes may stop responding without an error. Each call therefore asks the service to wait
//! only for a part of the configured time, and soon after that wait the next call begins in parallel. The unanswered
//! call is not cancelled at once: a service under load answers late, and cancelled calls would only add to its load.
//!
//! Only quick failures (refused, reset, malformed) are followed by a pause, which grows, so that nodes do not overload
//! a service that is down. A service that rejects calls is overloaded. The pause then grows further, with jitter so
//! that nodes do not return together, and calls wait longer for changes, because each call costs the service the same.
//! A response that is still arriving does not count as silent: a long list over a slow connection gets more time at
//! each try.
//!
//! The module does no I/O and reads no clock.

use crate::hash::{mix, unit_interval};
use crate::interface::Micros;

// The following constants are shares of the configured time. One call that stops responding as it begins, three that are
// accepted and never answered, and the complete list that follows fit into that time; `LongPoll::worst_case_delay` adds
// them up.

/// How long a call asks the service to wait for changes.
const WAIT: f64 = 1.0 / 4.0;
/// A call that has received nothing for this long after its requested wait counts as unanswered.
const SILENCE: f64 = 1.0 / 12.0;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: f64 = 1.0 / 15.0;
/// How long an unanswered call stays open, in parallel to those that follow it.
const CALL_TIMEOUT: f64 = 1.0 / 3.0;
/// Maximum number of calls in flight at once. A number, not a share.
const MAX_CALLS: usize = 4;
/// The first and the longest pause after a rejected call. The actual pause is a random part, from half to all, of it.
const FIRST_BACKOFF: f64 = 1.0 / 60.0;
const MAX_BACKOFF: f64 = 1.0;
/// Maximum number of signs of overload that count.
const MAX_OVERLOAD: u32 = 8;
/// An answer that arrives later than requested by more than this is a sign of overload.
const LATE_ANSWER: f64 = 1.0 / 48.0;
/// The longest requested wait for changes while the service is overloaded.
const MAX_WAIT: f64 = 5.0 / 3.0;
/// The first and the longest pause after a quick failure. The pause doubles with each failure in a row.
const FIRST_PAUSE: f64 = 1.0 / 120.0;
const MAX_PAUSE: f64 = 1.0 / 15.0;
/// The first timeout of a response body. The timeout doubles with each body that was cut off by it, up to
/// `MAX_BODY_TIMEOUT`.
const FIRST_BODY_TIMEOUT: f64 = 1.0 / 3.0;
const MAX_BODY_TIMEOUT: f64 = 10.0;
/// Maximum number of failures in a row that lengthen pauses and timeouts.
const MAX_FAILURES: u32 = 16;
/// The shortest time that can be configured, in microseconds. Shorter ones are raised to it.
const MIN_CONFIGURED_TIME: Micros = 100_000;

/// The kinds of failure of a call, as far as the timing of the next call depends on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call timed out without receiving anything, while connecting or afterwards.
    NoResponse,
    /// The call timed out while its response was still arriving.
    SlowResponse,
    /// The call failed quickly: the connection was refused or reset, or the response was malformed or an error.
    Failed,
    /// The service rejected the call because of overload.
    Rejected,
}

/// The timing of the calls to one service. The module documentation describes the rules.
#[derive(Clone, Debug)]
pub struct LongPoll {
    max_delay: Micros,
    failures: u32,
    slow_bodies: u32,
    /// Whether the service sends lists on request only, so that each call has a cost for it.
    costly: bool,
    /// Number of signs that the service is overloaded, minus the number of signs that it is not.
    overload: u32,
    random: u64,
}

impl LongPoll {
    /// Creates the timing for a service whose changes are to be known within `max_delay` microseconds, at least 100 ms.
    /// Calls are `costly` if the service sends lists on request only. `seed` must differ between nodes, so that their
    /// pauses do.
    pub fn new(max_delay: Micros, costly: bool, seed: u64) -> LongPoll {
        LongPoll {
            max_delay: max_delay.max(MIN_CONFIGURED_TIME),
            failures: 0,
            slow_bodies: 0,
            costly,
            overload: 0,
            random: mix(seed),
        }
    }
    /// Returns this share of the configured time.
    fn share(&self, share: f64) -> Micros {
        (self.max_delay as f64 * share) as Micros
    }
    /// Returns how long a call asks the service to wait for changes.
    pub fn requested_wait(&self) -> Micros {
        self.share((WAIT * 2f64.powi(self.overload as i32)).min(MAX_WAIT))
    }
    /// Returns how long a call may receive nothing after its requested wait before another call begins.
    pub fn silence_timeout(&self) -> Micros {
        self.share(SILENCE)
    }
    /// Returns how long after the start of an unanswered call without a requested wait the next one begins.
    pub fn next_call_delay(&self) -> Micros {
        self.connect_timeout() + self.silence_timeout()
    }
    /// Returns how long a call may receive nothing after its requested wait before it is cancelled.
    pub fn call_timeout(&self) -> Micros {
        self.share(CALL_TIMEOUT)
    }
    /// Returns the maximum number of calls in flight at once.
    pub fn max_calls(&self) -> usize {
        MAX_CALLS
    }
    /// Returns the timeout for opening a connection.
    pub fn connect_timeout(&self) -> Micros {
        self.share(CONNECT_TIMEOUT)
    }
    /// Returns the timeout of a response body.
    pub fn body_timeout(&self) -> Micros {
        self.share((FIRST_BODY_TIMEOUT * 2f64.powi(self.slow_bodies as i32)).min(MAX_BODY_TIMEOUT))
    }
    /// Records that a list was received. Ends the growth of pauses and timeouts after failures.
    pub fn list_received(&mut self) {
        (self.failures, self.slow_bodies) = (0, 0);
    }
    /// Records an answer without changes that arrived `late` microseconds after the requested wait. A late answer lengthens
    /// the requested wait of later calls. Guards against nodes whose calls are accepted keeping an overloaded service busy
    /// with one short call after the other, while it rejects the calls of other nodes.
    pub fn no_changes_received(&mut self, late: Micros) {
        self.list_received();
        if self.costly && late > self.share(LATE_ANSWER) {
            self.record_overload();
        } else {
            self.overload = self.overload.saturating_sub(1);
        }
    }
    fn record_overload(&mut self) {
        self.overload = (self.overload + 1).min(MAX_OVERLOAD);
    }
    /// Records a failed call. Returns the pause before the next call in microseconds, 0 for no pause.
    pub fn call_failed(&mut self, failure: CallFailure) -> Micros {
        match failure {
            CallFailure::NoResponse => 0,
            CallFailure::SlowResponse => {
                self.slow_bodies = (self.slow_bodies + 1).min(MAX_FAILURES);
                0
            }
            CallFailure::Failed => {
                let pause = FIRST_PAUSE * 2f64.powi(self.failures as i32);
                self.failures = (self.failures + 1).min(MAX_FAILURES);
                self.share(pause.min(MAX_PAUSE))
            }
            CallFailure::Rejected => {
                let pause = FIRST_BACKOFF * 2f64.powi(self.overload as i32);
                self.record_overload();
                self.random = mix(self.random.wrapping_add(1));
                self.share(pause.min(MAX_BACKOFF) * (1.0 + unit_interval(self.random)) / 2.0)
            }
        }
    }
    /// Returns the longest time from a change until its list begins to arrive, if the call that should have brought the
    /// list stopped responding as it began and `unanswered` further calls were accepted and never answered.
    pub fn worst_case_delay(&self, unanswered: u32) -> Micros {
        self.requested_wait()
            + self.silence_timeout()
            + u64::from(unanswered + 1) * self.next_call_delay()
    }
}
