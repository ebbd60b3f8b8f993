//! Long polling of an endpoint list, so that a change is known within a configured time whatever call fails.
//!
//! A call that waits for changes may fall silent without any error. So each call is asked to wait for a part of the time
//! only, and soon after that the next one begins beside it. The silent one is kept for a while: a service under load answers
//! late, and abandoned calls would only add to its load. Only quick failures (refused, reset, malformed) are followed by a
//! pause, which grows, so that nodes don't hammer a service that is down. A service that rejects calls is overloaded: the
//! pause then grows further, with jitter, so that nodes don't return together, and calls wait for changes longer, for each
//! costs the service the same. A response that is still arriving is not silent: a long list over a slow connection
//! gets more time at each try. No I/O, no clock.

use crate::hash::{mix, unit_interval};
use crate::interface::Micros;

// Shares of the configured time. One call that falls silent as it begins, three that are accepted and never answered, and
// the complete list that follows fit into the time; `LongPoll::worst_case_delay` adds them up.

/// How long a call asks to wait for changes.
const WAIT: f64 = 1.0 / 4.0;
/// A call without a byte for this long after its wait is silent.
const SILENCE: f64 = 1.0 / 12.0;
/// Time to connect.
const CONNECT_TIMEOUT: f64 = 1.0 / 15.0;
/// How long a silent call is kept beside those that follow it,
const CALL_TIMEOUT: f64 = 1.0 / 3.0;
/// and how many calls are in flight at once.
const MAX_CALLS: usize = 4;
/// The first pause after a rejected call, and the longest; each is drawn between half of it and all of it.
const FIRST_BACKOFF: f64 = 1.0 / 60.0;
const MAX_BACKOFF: f64 = 1.0;
/// Signs of overload beyond this number don't count.
const MAX_LOAD: u32 = 8;
/// An answer this much later than asked for is a sign of overload.
const LATE_ANSWER: f64 = 1.0 / 48.0;
/// The longest wait for changes under an overloaded service.
const MAX_WAIT: f64 = 5.0 / 3.0;
/// The first pause after a quick failure, and the longest.
const FIRST_PAUSE: f64 = 1.0 / 120.0;
const MAX_PAUSE: f64 = 1.0 / 15.0;
/// The first time limit for a response body that arrives slowly; it doubles after each that was cut off, up to
/// `MAX_BODY_TIMEOUT`.
const FIRST_BODY_TIMEOUT: f64 = 1.0 / 3.0;
const MAX_BODY_TIMEOUT: f64 = 10.0;
/// Failures in a row that lengthen pauses and time limits.
const MAX_FAILURES: u32 = 16;
/// The shortest configured time, in microseconds.
const SHORTEST_TIME: Micros = 100_000;

/// How a call ended without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// It timed out without a byte, while connecting or afterwards.
    NoResponse,
    /// It timed out while its response was arriving.
    SlowResponse,
    /// It failed.
    Failed,
    /// The service rejected it because of overload.
    Rejected,
}

/// Timing of the calls. See the module's documentation.
#[derive(Clone, Debug)]
pub struct LongPoll {
    within: Micros,
    failures: u32,
    slow_bodies: u32,
    /// Each call has a cost for the service.
    costly: bool,
    /// Signs that the service is overloaded, less signs that it is not.
    load: u32,
    random: u64,
}

impl LongPoll {
    /// Changes are to be known `within` this time after the service has them. Calls are `costly` if the service sends lists on
    /// request only. `seed` distinguishes the nodes.
    pub fn new(within: Micros, costly: bool, seed: u64) -> LongPoll {
        LongPoll {
            within: within.max(SHORTEST_TIME),
            failures: 0,
            slow_bodies: 0,
            costly,
            load: 0,
            random: mix(seed),
        }
    }
    fn share(&self, share: f64) -> Micros {
        (self.within as f64 * share) as Micros
    }
    /// How long a call asks to wait for changes.
    pub fn requested_wait(&self) -> Micros {
        self.share((WAIT * 2f64.powi(self.load as i32)).min(MAX_WAIT))
    }
    /// A call without a byte for this long after its wait is silent: another one begins.
    pub fn silence_timeout(&self) -> Micros {
        self.share(SILENCE)
    }
    /// When the call after a silent one begins.
    pub fn next_call_delay(&self) -> Micros {
        self.connect_timeout() + self.silence_timeout()
    }
    /// A call without a byte for this long after its wait is abandoned.
    pub fn call_timeout(&self) -> Micros {
        self.share(CALL_TIMEOUT)
    }
    /// The most calls in flight at once.
    pub fn max_calls(&self) -> usize {
        MAX_CALLS
    }
    /// Time limit to connect.
    pub fn connect_timeout(&self) -> Micros {
        self.share(CONNECT_TIMEOUT)
    }
    /// Time limit for a response body.
    pub fn body_timeout(&self) -> Micros {
        self.share((FIRST_BODY_TIMEOUT * 2f64.powi(self.slow_bodies as i32)).min(MAX_BODY_TIMEOUT))
    }
    /// A list was received, or the answer that nothing changed.
    pub fn list_received(&mut self) {
        (self.failures, self.slow_bodies) = (0, 0);
    }
    /// Nothing changed; the answer came this much `late`. Guards against nodes whose calls are accepted keeping an
    /// overloaded service busy, with one short call after the other, while it rejects the others.
    pub fn no_changes_received(&mut self, late: Micros) {
        self.list_received();
        if self.costly && late > self.share(LATE_ANSWER) {
            self.record_load();
        } else {
            self.load = self.load.saturating_sub(1);
        }
    }
    fn record_load(&mut self) {
        self.load = (self.load + 1).min(MAX_LOAD);
    }
    /// A call failed. Returns the pause before the next one.
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
                let pause = FIRST_BACKOFF * 2f64.powi(self.load as i32);
                self.record_load();
                self.random = mix(self.random.wrapping_add(1));
                self.share(pause.min(MAX_BACKOFF) * (1.0 + unit_interval(self.random)) / 2.0)
            }
        }
    }
    /// The longest time from a change until its list begins to arrive, if the call that should have brought it fell silent as
    /// it began and `unanswered` further ones were accepted and never answered.
    pub fn worst_case_delay(&self, unanswered: u32) -> Micros {
        self.requested_wait()
            + self.silence_timeout()
            + u64::from(unanswered + 1) * self.next_call_delay()
    }
}
