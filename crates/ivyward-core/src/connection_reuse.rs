//! Whether a connection that was kept without a request may carry the next one.
//!
//! Whoever closes an idle connection may do so while a request is on its way, and then nobody can say whether it ran. How
//! long engines really keep connections is told to nobody, and what lies between may close them sooner, so it is learned:
//! ends under a request are counted by how long a connection had been idle, and beside them those of new connections. An
//! idle time at which connections end more often than new ones do is not used, until that is long ago. One that has stood
//! longer has outlived whatever closes the younger ones, so times are judged each by itself. No I/O, no clock.

use crate::decaying_mean::DecayingMean;
use crate::interface::Micros;

/// Steps of idle times: each is about three times the one before, from a millisecond to a minute and more.
const STEPS: usize = 11;
/// What was seen fades over this span: an idle time that is not used is tried again after a few of them.
const MEMORY: f64 = 30e6;
/// A step is taken to end as seldom as new connections do until about so many uses tell otherwise.
const PRIOR: f64 = 10.0;
/// A connection may end so much more often than a new one: then the new one's handshake costs more than what is lost.
const MORE: f64 = 0.03;
/// For what may not be sent again, a step has to have shown that it is safe: so many ends are added to the prior's uses.
const UNPROVEN: f64 = 1.0;

/// Which kept connections may carry an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any: it may be sent again.
    Any,
    /// Those idle for a time that has proven safe.
    ProvenSafe,
    /// None: only a connection that comes up now shows that its bytes will not wait in a cut.
    Never,
}

/// What decides which kept connections may carry an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTraits {
    /// It may be sent again, or has no effect.
    pub repeatable: bool,
    /// It repeats something that may have run.
    pub repeats_effect: bool,
    /// A state waits for it at another engine, to be let go of within this span.
    pub state_deadline: Option<Micros>,
    /// When its engine answered anything last; 0 for never.
    pub last_answer: Micros,
}

/// Which kept connections may carry an attempt now.
///
/// Guards against a repeat that leaves within its window into a cut and lands when the cut ends, and against a write that
/// does so while the state that it is to fetch waits: it has not arrived, so it does not stop that state's clock. An engine
/// that answered within the state's own span is taken for one that is not cut off.
pub fn reuse_policy(now: Micros, attempt: &AttemptTraits) -> ReusePolicy {
    let heard = |within: Micros| {
        attempt.last_answer > 0 && now <= attempt.last_answer.saturating_add(within)
    };
    if attempt.repeats_effect || attempt.state_deadline.is_some_and(|within| !heard(within)) {
        return ReusePolicy::Never;
    }
    match attempt.repeatable {
        true => ReusePolicy::Any,
        false => ReusePolicy::ProvenSafe,
    }
}

/// When a write that left on a kept connection, and for which a state waits, is checked: its engine is dialled anew, and
/// has to be reachable by the second time. Nothing else tells a write that waits in a cut from a slow answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryCheck {
    /// Without a byte of the answer by then, the engine is dialled.
    pub connect_at: Micros,
    /// Without a connection by then, the write is taken for one that has not arrived.
    pub reachable_by: Micros,
}

/// The check of a write that left at `now`; the state waits for `within` at most.
pub fn delivery_check(now: Micros, within: Micros) -> DeliveryCheck {
    DeliveryCheck {
        connect_at: now.saturating_add(within / 4),
        reachable_by: now.saturating_add(within / 2),
    }
}

/// What was seen of connections under requests. See the module's page.
#[derive(Clone, Debug, Default)]
pub struct ReuseHistory {
    /// Ends, and uses as their count.
    fresh: DecayingMean,
    steps: [DecayingMean; STEPS],
}

fn step(idle: Micros) -> usize {
    let decades = (idle.max(1_000) as f64 / 1_000.0).log10();
    ((decades * 2.0) as usize).min(STEPS - 1)
}

impl ReuseHistory {
    /// Nothing was seen yet.
    pub fn new() -> ReuseHistory {
        ReuseHistory::default()
    }

    /// A request on a connection that had been idle for so long, or on a new one, got an answer; or the connection ended
    /// under it, before anything of an answer came.
    pub fn record_use(&mut self, now: Micros, idle: Option<Micros>, ended: bool) {
        let of = match idle {
            Some(idle) => &mut self.steps[step(idle)],
            None => &mut self.fresh,
        };
        of.add(now, MEMORY, f64::from(u8::from(ended)));
    }

    /// Whether a connection that has been idle for so long may carry a request, which may or may not be sent again.
    pub fn allows_reuse(&self, now: Micros, idle: Micros, again: bool) -> bool {
        let usual = self.fresh.mean_with_prior(now, MEMORY, 0.0, PRIOR);
        let unproven = if again { 0.0 } else { UNPROVEN };
        self.steps[step(idle)].mean_with_prior(now, MEMORY, usual + unproven / PRIOR, PRIOR)
            <= usual + MORE
    }
}
