//! Release of reservations: which engines to ask, how many at once, and when to ask again.
//!
//! For protocols in which any engine accepts a release on behalf of all engines. A release stays pending until an
//! engine accepted it: behind a network cut some engines are silent, and nobody knows which. So the engine most likely
//! to answer is asked first, further ones while it is silent, and engines that failed last, until they respond to
//! anything again. When all are silent the pauses grow, and end with the first response of any engine. What may still
//! be on its way to an engine when the release is accepted (a cancelled prefill, a reservation without an answer) is
//! released again, twice. No I/O, no clock.

mod attempt;
mod pending;

pub use attempt::{ReleaseAttempt, ReleaseResult, ReleaseTarget};

use crate::interface::{EndpointId, Micros};
use pending::{DueRelease, EngineAttempts, PendingRelease, Preference};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Settings. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseSettings {
    /// Reservations are to be released within this span; the time before the release is sent is the caller's.
    pub release_within: Micros,
    /// Attempts in flight at once, over all releases. Each takes a connection.
    pub max_concurrent_attempts: usize,
    /// Releases pending at once: beyond this the oldest is left to the engines' own expiry.
    pub max_pending: usize,
}

impl ReleaseSettings {
    /// How long to wait for the answer to a reservation. If the prefill beside it never reached its engine, no attempt
    /// uses what was reserved, and its time runs: the rest of the span is for the release.
    pub fn reserve_timeout(&self) -> Micros {
        ((self.release_within.max(SHORTEST_SPAN) as f64 * RESERVE_WAIT) as Micros)
            .min(MAX_RESERVE_WAIT)
    }
}

/// Share of the span in which a reservation is to be answered, and the longest such time in microseconds.
const RESERVE_WAIT: f64 = 0.7;
const MAX_RESERVE_WAIT: Micros = 800_000;
/// While the first engine has not answered for this share of the span, a second one is asked; while several have not,
/// the next one after `FURTHER_HEDGE_DELAY`: then it is no slow engine but a cut.
const HEDGE_DELAY: f64 = 0.08;
const FURTHER_HEDGE_DELAY: f64 = 0.05;
/// Attempts in flight at once for one release while its span is not over.
const MAX_HEDGED_ATTEMPTS: usize = 6;
/// After the span, one in this many of all engines is asked in each pause, for all releases together, and at least one
/// for each.
const ENGINES_PER_PROBE: usize = 8;
/// An attempt times out after this share of the span.
const ATTEMPT_TIMEOUT: f64 = 0.4;
/// Shares are taken of at least this span, in microseconds: an answer takes its way.
const SHORTEST_SPAN: Micros = 100_000;
/// The first pause after the span, as a share of it; it doubles up to `MAX_PAUSE` spans.
const FIRST_PAUSE: f64 = 0.5;
const MAX_PAUSE: f64 = 4.0;
/// After an engine accepted a release of what may still be on its way, it is repeated at these shares of the span.
const REPEATS: [f64; 2] = [1.0 / 3.0, 1.0];
/// An engine that responded within this many spans is expected to be reachable.
const RECENT: f64 = 10.0;
/// A node that shuts down goes on releasing for at most this many spans.
const SHUTDOWN_GRACE: f64 = 10.0;

/// The releases of a node that no engine has accepted yet. See the module's documentation.
pub struct ReleaseQueue {
    settings: ReleaseSettings,
    pending: BTreeMap<u64, PendingRelease>,
    by_request: BTreeMap<u64, u64>,
    due: BTreeSet<DueRelease>,
    next_release_id: u64,
    /// Attempts in flight, in all and at each engine.
    in_flight: usize,
    at_engine: BTreeMap<EndpointId, EngineAttempts>,
    /// When a node that shuts down gives up.
    shutdown_deadline: Option<Micros>,
}

impl ReleaseQueue {
    /// A queue without pending releases.
    pub fn new(settings: ReleaseSettings) -> ReleaseQueue {
        ReleaseQueue {
            settings,
            pending: BTreeMap::new(),
            by_request: BTreeMap::new(),
            due: BTreeSet::new(),
            next_release_id: 0,
            in_flight: 0,
            at_engine: BTreeMap::new(),
            shutdown_deadline: None,
        }
    }

    /// This multiple of the span, in microseconds.
    fn span(&self, share: f64) -> Micros {
        (self.settings.release_within.max(SHORTEST_SPAN) as f64 * share) as Micros
    }

    /// The number of requests with a pending release.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether a release is pending for this request.
    pub fn is_pending(&self, request: u64) -> bool {
        self.by_request.contains_key(&request)
    }

    /// Adds a release for a request that no longer needs its reservations. `confirmed`: an engine said what is reserved,
    /// and nothing more is on its way. Returns a request that is left to the engines' own expiry in its stead.
    pub fn enqueue(&mut self, now: Micros, request: u64, confirmed: bool) -> Option<u64> {
        if let Some(release_id) = self.by_request.get(&request).copied() {
            self.renew(now, release_id, confirmed);
            return None;
        }
        let abandoned = if self.pending.len() >= self.settings.max_pending {
            self.abandon_oldest()
        } else {
            None
        };
        let release_id = self.next_release_id;
        self.next_release_id += 1;
        let release = PendingRelease {
            request,
            since: now,
            confirmed,
            repeats: 0,
            attempted: Vec::new(),
            in_flight: 0,
            last_attempt: 0,
            probes: 0,
            pause: self.span(FIRST_PAUSE),
            next_attempt: now,
        };
        self.pending.insert(release_id, release);
        self.by_request.insert(request, release_id);
        self.due.insert(DueRelease {
            at: now,
            release_id,
        });
        abandoned
    }

    /// A request with a pending release needs another one: a release that was accepted already begins anew, one that
    /// was not goes on.
    fn renew(&mut self, now: Micros, release_id: u64, confirmed: bool) {
        let span = self.span(1.0);
        if let Some(release) = self.pending.get_mut(&release_id) {
            if release.repeats > 0 || !release.is_hedged(now, span) {
                release.since = now;
            }
            release.confirmed &= confirmed;
            release.repeats = 0;
            release.attempted.clear();
        }
        self.reschedule(release_id, now);
    }

    /// Withdraws the release of a request that needs its reservations again. Returns whether one was pending: the
    /// caller must then enqueue another one later.
    pub fn withdraw(&mut self, request: u64) -> bool {
        self.by_request
            .get(&request)
            .copied()
            .and_then(|release_id| self.remove(release_id))
            .is_some()
    }

    /// An engine that had been silent responded again: ends all pauses.
    pub fn endpoint_recovered(&mut self, now: Micros) {
        let paused: Vec<u64> = self
            .due
            .iter()
            .filter(|due| due.at > now)
            .map(|due| due.release_id)
            .collect();
        for release_id in paused {
            let Some(release) = self.pending.get_mut(&release_id) else {
                continue;
            };
            // A repetition waits for what may still be on its way, not for an engine.
            if release.repeats == 0 || !release.waits_for_repeat(now) {
                release.attempted.clear();
                self.reschedule(release_id, now);
            }
        }
    }

    /// The node shuts down. What is still pending long after is left to the engines' own expiry.
    pub fn shut_down(&mut self, now: Micros) {
        self.shutdown_deadline = Some(now.saturating_add(self.span(SHUTDOWN_GRACE)));
    }

    /// Removes the requests that are left to the engines' own expiry as the node shuts down.
    pub fn take_abandoned(&mut self, now: Micros) -> Vec<u64> {
        if self.shutdown_deadline.is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        self.due.clear();
        self.by_request.clear();
        std::mem::take(&mut self.pending)
            .into_values()
            .map(|release| release.request)
            .collect()
    }

    /// When [`ReleaseQueue::next_attempts`] or [`ReleaseQueue::take_abandoned`] has something to do at the latest.
    pub fn next_deadline(&self) -> Option<Micros> {
        let shutdown = self.shutdown_deadline.filter(|_| !self.pending.is_empty());
        let due = self
            .due
            .first()
            .map(|due| due.at)
            .filter(|_| self.in_flight < self.settings.max_concurrent_attempts);
        [due, shutdown].into_iter().flatten().min()
    }

    /// The attempts to send now, given all engines.
    pub fn next_attempts(&mut self, now: Micros, targets: &[ReleaseTarget]) -> Vec<ReleaseAttempt> {
        let mut attempts = Vec::new();
        while self.in_flight < self.settings.max_concurrent_attempts {
            let Some(due) = self.due.first().copied().filter(|due| due.at <= now) else {
                break;
            };
            self.due.remove(&due);
            let Some(release) = self.pending.get(&due.release_id) else {
                continue;
            };
            let target = self.pick_target(now, release, targets);
            if let Some(target) = target {
                attempts.extend(self.start_attempt(now, due.release_id, target.id));
            }
            self.schedule_next(now, due.release_id, target, targets.len());
        }
        attempts
    }

    /// The engine most likely to answer, of those not asked yet.
    fn pick_target<'a>(
        &self,
        now: Micros,
        release: &PendingRelease,
        targets: &'a [ReleaseTarget],
    ) -> Option<&'a ReleaseTarget> {
        let recent_since = now.saturating_sub(self.span(RECENT));
        let hedge_delay = self.span(HEDGE_DELAY);
        targets
            .iter()
            .filter(|target| !release.attempted.contains(&target.id))
            .min_by_key(|target| self.preference(now, target, recent_since, hedge_delay))
    }

    fn preference(
        &self,
        now: Micros,
        target: &ReleaseTarget,
        recent_since: Micros,
        hedge_delay: Micros,
    ) -> Preference {
        let there = self
            .at_engine
            .get(&target.id)
            .copied()
            .unwrap_or(EngineAttempts {
                in_flight: 0,
                silent_since: now,
            });
        let recent = target.is_recent(recent_since);
        Preference {
            // Guards against many releases that ask one silent engine: each could have found another.
            silent: target.silent() || there.silent_since.saturating_add(hedge_delay) <= now,
            draining: target.is_draining,
            silent_last_failure: if target.silent() {
                target.last_failure
            } else {
                0
            },
            lacks_recent_idle_connection: !(target.has_idle_connection && recent),
            in_flight: there.in_flight,
            not_recent: !recent,
            lacks_idle_connection: !target.has_idle_connection,
            last_response: Reverse(target.last_response),
            id: target.id,
        }
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        release_id: u64,
        target: EndpointId,
    ) -> Option<ReleaseAttempt> {
        let deadline = now + self.span(ATTEMPT_TIMEOUT);
        let release = self.pending.get_mut(&release_id)?;
        release.attempted.push(target);
        release.in_flight += 1;
        release.last_attempt = now;
        self.in_flight += 1;
        self.at_engine
            .entry(target)
            .or_insert(EngineAttempts {
                in_flight: 0,
                silent_since: now,
            })
            .in_flight += 1;
        Some(ReleaseAttempt {
            request: release.request,
            release_id,
            target,
            deadline,
        })
    }

    /// Schedules the attempt after one at `target`, or after all engines have been asked.
    fn schedule_next(
        &mut self,
        now: Micros,
        release_id: u64,
        target: Option<&ReleaseTarget>,
        engines: usize,
    ) {
        let recent_since = now.saturating_sub(self.span(RECENT));
        let span = self.span(1.0);
        let hedge_delay = self.span(HEDGE_DELAY);
        let further_hedge_delay = self.span(FURTHER_HEDGE_DELAY);
        let max_pause = self.span(MAX_PAUSE);
        let probes = engines.div_ceil(ENGINES_PER_PROBE) / self.pending.len().max(1);
        let Some(release) = self.pending.get_mut(&release_id) else {
            return;
        };
        let hedged = release.is_hedged(now, span);
        let at = match target {
            Some(_) if hedged && release.in_flight == 1 => now + hedge_delay,
            Some(_) if hedged && release.in_flight < MAX_HEDGED_ATTEMPTS => {
                now + further_hedge_delay
            }
            // Their results come sooner than any pause.
            Some(_) if hedged => Micros::MAX,
            // Guards against one engine a pause where there are hundreds, all silent and one of them back.
            Some(target)
                if (target.silent() || target.last_response < recent_since)
                    && release.probes + 1 < probes =>
            {
                release.probes += 1;
                now
            }
            _ => {
                release.probes = 0;
                if target.is_none() {
                    release.attempted.clear();
                }
                let pause = release.pause;
                release.pause = (pause * 2).min(max_pause);
                now + pause
            }
        };
        release.next_attempt = at;
        self.due.insert(DueRelease { at, release_id });
    }

    /// Takes in the result of an attempt.
    pub fn on_result(&mut self, now: Micros, attempt: &ReleaseAttempt, result: ReleaseResult) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.end_at_engine(now, attempt.target, result);
        let Some(release) = self.pending.get_mut(&attempt.release_id) else {
            return;
        };
        release.in_flight = release.in_flight.saturating_sub(1);
        match result {
            ReleaseResult::Accepted => self.on_accepted(now, attempt.release_id),
            ReleaseResult::Failed => self.on_failed(now, attempt.release_id),
            ReleaseResult::NoLocalResources => {
                release.attempted.retain(|id| *id != attempt.target);
                let since = release.since;
                let at = (now + self.span(HEDGE_DELAY)).max(since);
                self.reschedule(attempt.release_id, at);
            }
        }
    }

    fn end_at_engine(&mut self, now: Micros, target: EndpointId, result: ReleaseResult) {
        let Some(there) = self.at_engine.get_mut(&target) else {
            return;
        };
        there.in_flight = there.in_flight.saturating_sub(1);
        if result == ReleaseResult::Accepted {
            there.silent_since = now;
        }
        if there.in_flight == 0 {
            self.at_engine.remove(&target);
        }
    }

    fn on_accepted(&mut self, now: Micros, release_id: u64) {
        let first_pause = self.span(FIRST_PAUSE);
        let repeats = REPEATS.map(|share| self.span(share));
        let Some(release) = self.pending.get_mut(&release_id) else {
            return;
        };
        if release.confirmed || release.repeats >= REPEATS.len() {
            self.remove(release_id);
            return;
        }
        if release.waits_for_repeat(now) {
            // The answer to an earlier attempt.
            return;
        }
        let previous = if release.repeats == 0 {
            0
        } else {
            repeats[release.repeats - 1]
        };
        let at = now + repeats[release.repeats] - previous;
        release.repeats += 1;
        release.since = at;
        release.pause = first_pause;
        release.attempted.clear();
        self.reschedule(release_id, at);
    }

    fn on_failed(&mut self, now: Micros, release_id: u64) {
        let span = self.span(1.0);
        let further_hedge_delay = self.span(FURTHER_HEDGE_DELAY);
        let Some(release) = self.pending.get(&release_id) else {
            return;
        };
        if release.waits_for_repeat(now) {
            return;
        }
        let at = if !release.is_hedged(now, span) {
            release.next_attempt.min(now + release.pause)
        } else if release.in_flight > 0 {
            // Another engine that was asked just now may answer yet.
            now.max(release.last_attempt + further_hedge_delay)
        } else {
            now
        };
        self.reschedule(release_id, at);
    }

    fn reschedule(&mut self, release_id: u64, at: Micros) {
        if let Some(release) = self.pending.get_mut(&release_id) {
            self.due.remove(&DueRelease {
                at: release.next_attempt,
                release_id,
            });
            release.next_attempt = at;
            self.due.insert(DueRelease { at, release_id });
        }
    }

    fn remove(&mut self, release_id: u64) -> Option<PendingRelease> {
        let release = self.pending.remove(&release_id)?;
        self.by_request.remove(&release.request);
        self.due.remove(&DueRelease {
            at: release.next_attempt,
            release_id,
        });
        Some(release)
    }

    fn abandon_oldest(&mut self) -> Option<u64> {
        let release_id = *self.pending.first_key_value()?.0;
        self.remove(release_id).map(|release| release.request)
    }
}
