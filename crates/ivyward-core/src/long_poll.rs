//! How a list is followed by long polls, so that a change is known in a told time whatever call fails.
//!
//! A call that waits for news may fall silent, and nobody says so. So each is asked to wait for a part of the told time
//! only, and soon after that the next one begins beside it, for a silent call has cost time enough. The silent one is kept
//! for a while: a service under load answers late, and calls that are given up before they are answered would only add to its
//! load. Only what fails quickly (refused, reset, malformed) is followed by a pause, which grows while it goes on, so that a
//! fleet does not run against a service that is down. A service that turns calls away has more of them than it can take: the
//! pause then grows further, by lot, so that the nodes of a fleet do not come back together, and a call waits for news
//! longer, for each one costs the service as much as any other. An answer that still comes is not a silent one: a long list over a
//! slow connection has more time at each try. No I/O, no clock.

use crate::hash::{mix, unit_interval};
use crate::interface::Micros;

/// Parts of the told time: a call waits for news so long, is taken for silent without a byte so long after that, and a
/// connection comes up in so long. One call that falls silent as it begins and three that are accepted and never answered fit into the
/// time, and so does the whole list that follows; [`LongPoll::worst_case_delay`] adds them up.
const WAIT: f64 = 1.0 / 4.0;
const SILENCE: f64 = 1.0 / 12.0;
const DIAL: f64 = 1.0 / 15.0;
/// A silent call is kept for this part beside those that follow it, of which there are so many at once at most.
const PATIENCE: f64 = 1.0 / 3.0;
const MOST_CALLS: usize = 4;
/// First pause after a call that was turned away, and the longest; each is drawn between half of it and all of it.
const BACKOFF: f64 = 1.0 / 60.0;
const BACKOFF_MOST: f64 = 1.0;
/// Signs of load that count at most.
const MOST_LOAD: u32 = 8;
/// An answer that comes so late is one.
const LATE: f64 = 1.0 / 48.0;
/// Longest wait for news under a service that turns calls away.
const WAIT_MOST: f64 = 5.0 / 3.0;
/// First pause after a quick failure, and the longest.
const PAUSE: f64 = 1.0 / 120.0;
const PAUSE_MOST: f64 = 1.0 / 15.0;
/// An answer that comes slowly is read for this part at first, and for twice as long after each that was cut off so, up to
/// so many times the told time.
const WHOLE: f64 = 1.0 / 3.0;
const WHOLE_MOST: f64 = 10.0;
/// No told time is taken for shorter.
const SHORTEST: Micros = 100_000;

/// How a call for the list ended without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// It was given up in silence, its connection's coming up included.
    Silent,
    /// It was given up while its answer still came.
    Slow,
    /// It ended by itself.
    Failed,
    /// The service said that it has too much to do.
    Rejected,
}

/// The pace of a watch. See the module's page.
#[derive(Clone, Debug)]
pub struct LongPoll {
    within: Micros,
    quick: u32,
    slow: u32,
    /// Each call costs the service.
    costly: bool,
    /// Signs that the service has too much to do, less those that it has not.
    load: u32,
    random: u64,
}

impl LongPoll {
    /// Changes are to be known `within` this time of their being there to be read. Calls are `costly` where lists come only
    /// to those who ask. `seed` tells the nodes of a fleet apart.
    pub fn new(within: Micros, costly: bool, seed: u64) -> LongPoll {
        LongPoll {
            within: within.max(SHORTEST),
            quick: 0,
            slow: 0,
            costly,
            load: 0,
            random: mix(seed),
        }
    }
    fn part(&self, part: f64) -> Micros {
        (self.within as f64 * part) as Micros
    }
    /// How long a call is asked to wait for news.
    pub fn wait(&self) -> Micros {
        self.part((WAIT * 2f64.powi(self.load as i32)).min(WAIT_MOST))
    }
    /// A call from which no byte came for so long, past the time that it was asked to wait, is silent: another begins.
    pub fn silence(&self) -> Micros {
        self.part(SILENCE)
    }
    /// The call after a silent one begins so long after it.
    pub fn next_call_delay(&self) -> Micros {
        self.connect_timeout() + self.silence()
    }
    /// A call from which no byte came for so long, past the time that it was asked to wait, is given up.
    pub fn call_timeout(&self) -> Micros {
        self.part(PATIENCE)
    }
    /// So many calls are out at once at most.
    pub fn max_calls(&self) -> usize {
        MOST_CALLS
    }
    /// A connection that is not open after this is given up.
    pub fn connect_timeout(&self) -> Micros {
        self.part(DIAL)
    }
    /// An answer that has begun is read for so long in all.
    pub fn body_timeout(&self) -> Micros {
        self.part((WHOLE * 2f64.powi(self.slow as i32)).min(WHOLE_MOST))
    }
    /// A list came, or the word that there is no news.
    pub fn list_received(&mut self) {
        (self.quick, self.slow) = (0, 0);
    }
    /// The word that there is no news, so much later than it was asked for. Guards against nodes that got through and take
    /// up, with one short call after the other, a service that turns the others away.
    pub fn no_changes_received(&mut self, late: Micros) {
        self.list_received();
        if self.costly && late > self.part(LATE) {
            self.loaded();
        } else {
            self.load = self.load.saturating_sub(1);
        }
    }
    fn loaded(&mut self) {
        self.load = (self.load + 1).min(MOST_LOAD);
    }
    /// A call brought nothing. Returns the pause before the next one.
    pub fn call_failed(&mut self, how: CallFailure) -> Micros {
        match how {
            CallFailure::Silent => 0,
            CallFailure::Slow => {
                self.slow = (self.slow + 1).min(16);
                0
            }
            CallFailure::Failed => {
                let pause = PAUSE * 2f64.powi(self.quick as i32);
                self.quick = (self.quick + 1).min(16);
                self.part(pause.min(PAUSE_MOST))
            }
            CallFailure::Rejected => {
                let pause = BACKOFF * 2f64.powi(self.load as i32);
                self.loaded();
                self.random = mix(self.random.wrapping_add(1));
                self.part(pause.min(BACKOFF_MOST) * (1.0 + unit_interval(self.random)) / 2.0)
            }
        }
    }
    /// The longest time from a change until its list has begun to come, when the call that should have told it fell silent
    /// as it began and `more` further ones were accepted and never answered.
    pub fn worst_case_delay(&self, more: u32) -> Micros {
        self.wait() + self.silence() + u64::from(more + 1) * self.next_call_delay()
    }
}
