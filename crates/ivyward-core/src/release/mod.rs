//! Release of reservations: chooses which engines to ask, how many at once, and when to ask again.
//!
//! [`ReleaseQueue`] is for protocols in which any engine accepts a release on behalf of all engines. A release stays
//! pending until an engine has accepted it. During a network partition some engines do not answer, and the node cannot
//! know which. The queue therefore asks the engine that is most likely to answer, and asks further engines while no answer
//! has arrived (hedging). Engines that have not responded since their last failure are asked last. While all engines are
//! unresponsive, the pauses between attempts grow; the first response of any engine ends the pauses.
//!
//! A reservation can still be on its way to an engine when the release is accepted (a cancelled prefill, or a reservation
//! without an answer). Such a release is repeated twice.
//!
//! The module does no I/O and reads no clock.

mod attempt;
mod pending;

pub use attempt::{ReleaseAttempt, ReleaseResult, ReleaseTarget};

use crate::interface::{EndpointId, Micros};
use pending::{DueRelease, EngineAttempts, PendingRelease, Preference};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Limits of a [`ReleaseQueue`]. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseSettings {
    /// The release window: reservations are to be released within this time, counted from the call of
    /// [`ReleaseQueue::enqueue`]. The caller accounts for the time before that call.
    pub release_within: Micros,
    /// Maximum number of attempts in flight over all releases. Each attempt uses a connection.
    pub max_concurrent_attempts: usize,
    /// Maximum number of pending releases. Beyond this the oldest is abandoned, and its reservations end when the engines
    /// let them expire.
    pub max_pending: usize,
}

/// Returns how long to wait for the answer to a reservation, in microseconds. If the prefill sent along with the reservation
/// never reached its engine, no attempt uses what was reserved, while the release window is already running. The rest of the
/// window is left for the release.
pub fn reserve_timeout(release_within: Micros) -> Micros {
    ((release_within.max(MIN_WINDOW) as f64 * RESERVE_WAIT) as Micros).min(MAX_RESERVE_WAIT)
}

/// Returns how long to wait for the answer to a release on one connection, in microseconds, if only one engine can accept the
/// release. A connection that has fallen silent must leave time for another one.
pub fn answer_timeout(release_within: Micros) -> Micros {
    (release_within.max(MIN_WINDOW) as f64 * ANSWER_WAIT) as Micros
}

/// Share of the release window within which a reservation must be answered, and the upper limit of that time in
/// microseconds.
const RESERVE_WAIT: f64 = 0.7;
const MAX_RESERVE_WAIT: Micros = 800_000;
/// Share of the release window within which the one engine that can accept a release must answer on one connection.
const ANSWER_WAIT: f64 = 0.25;
/// If the first engine has not answered after this share of the window, a second one is asked. While several engines have
/// not answered, the next one is asked after `FURTHER_HEDGE_DELAY`, which is shorter because several missing answers
/// indicate a network partition rather than one slow engine.
const HEDGE_DELAY: f64 = 0.08;
const FURTHER_HEDGE_DELAY: f64 = 0.05;
/// Maximum number of attempts in flight for one release during its window.
const MAX_HEDGED_ATTEMPTS: usize = 6;
/// After the window, all releases together ask one in this many engines per pause, and each release asks at least one.
const ENGINES_PER_PROBE: usize = 8;
/// An attempt times out after this share of the window.
const ATTEMPT_TIMEOUT: f64 = 0.4;
/// Shares are taken of at least this window, in microseconds, so that an answer has time to arrive.
const MIN_WINDOW: Micros = 100_000;
/// The first pause after the window, as a share of it. Each pause is twice as long as the one before, up to `MAX_PAUSE`
/// windows.
const FIRST_PAUSE: f64 = 0.5;
const MAX_PAUSE: f64 = 4.0;
/// A release of reservations that may still be on their way to an engine is repeated at these shares of the window after
/// it was first accepted.
const REPEATS: [f64; 2] = [1.0 / 3.0, 1.0];
/// An engine that responded within this many windows is expected to be reachable.
const RECENT: f64 = 10.0;
/// A node that shuts down continues to send releases for at most this many windows.
const SHUTDOWN_GRACE: f64 = 10.0;

/// The pending releases of a node. The module documentation describes how engines are chosen.
pub struct ReleaseQueue {
    settings: ReleaseSettings,
    pending: BTreeMap<u64, PendingRelease>,
    /// Release id of each request with a pending release.
    by_request: BTreeMap<u64, u64>,
    due: BTreeSet<DueRelease>,
    next_release_id: u64,
    /// Attempts in flight over all engines.
    in_flight: usize,
    /// Attempts in flight at each engine.
    at_engine: BTreeMap<EndpointId, EngineAttempts>,
    /// When a node that shuts down abandons the releases that are still pending.
    shutdown_deadline: Option<Micros>,
}

impl ReleaseQueue {
    /// Creates a queue without pending releases.
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

    /// Returns this multiple of the release window, in microseconds.
    fn window_share(&self, share: f64) -> Micros {
        (self.settings.release_within.max(MIN_WINDOW) as f64 * share) as Micros
    }

    /// Returns the number of requests with a pending release.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a release is pending for this request.
    pub fn is_pending(&self, request: u64) -> bool {
        self.by_request.contains_key(&request)
    }

    /// Adds a release for a request that no longer needs its reservations. `confirmed` means that an engine has confirmed
    /// the reservations and that nothing more of the request is on its way to an engine, so that one accepted release is
    /// enough. Returns the request whose release was abandoned because the limit of pending releases was reached.
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
            window_start: now,
            confirmed,
            repeats: 0,
            attempted: Vec::new(),
            is_unanswered: false,
            in_flight: 0,
            last_attempt: 0,
            probes: 0,
            pause: self.window_share(FIRST_PAUSE),
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

    /// Handles another release for a request that already has one pending. If the release was accepted before, or its
    /// window is over, a new window starts; otherwise its window continues.
    fn renew(&mut self, now: Micros, release_id: u64, confirmed: bool) {
        let window = self.window_share(1.0);
        if let Some(release) = self.pending.get_mut(&release_id) {
            if release.repeats > 0 || !release.is_within_window(now, window) {
                release.window_start = now;
            }
            release.confirmed &= confirmed;
            release.repeats = 0;
            release.attempted.clear();
        }
        self.reschedule(release_id, now);
    }

    /// Withdraws the pending release of a request that needs its reservations again. Returns whether a release was pending;
    /// if so, the caller must enqueue another one later.
    pub fn withdraw(&mut self, request: u64) -> bool {
        self.by_request
            .get(&request)
            .copied()
            .and_then(|release_id| self.remove(release_id))
            .is_some()
    }

    /// Ends all pauses because an unresponsive engine has responded again.
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
            // A repetition waits for reservations that may still be on their way, not for an engine to recover.
            if release.repeats == 0 || !release.waits_for_repeat(now) {
                release.attempted.clear();
                self.reschedule(release_id, now);
            }
        }
    }

    /// Starts the shutdown of the node. Releases that are still pending after `SHUTDOWN_GRACE` windows are abandoned.
    pub fn shut_down(&mut self, now: Micros) {
        self.shutdown_deadline = Some(now.saturating_add(self.window_share(SHUTDOWN_GRACE)));
    }

    /// Removes and returns the requests whose releases are abandoned because the shutdown took too long. Their reservations
    /// end when the engines let them expire.
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

    /// Returns when to call [`ReleaseQueue::next_attempts`] and [`ReleaseQueue::take_abandoned`] next; `None` if there is
    /// nothing to do until another call changes the queue.
    pub fn next_deadline(&self) -> Option<Micros> {
        let shutdown = self.shutdown_deadline.filter(|_| !self.pending.is_empty());
        let due = self
            .due
            .first()
            .map(|due| due.at)
            .filter(|_| self.in_flight < self.settings.max_concurrent_attempts);
        [due, shutdown].into_iter().flatten().min()
    }

    /// Returns the attempts to send now. `targets` lists all engines that can be asked.
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

    /// Returns the engine that is most likely to answer, of those not asked yet.
    fn pick_target<'a>(
        &self,
        now: Micros,
        release: &PendingRelease,
        targets: &'a [ReleaseTarget],
    ) -> Option<&'a ReleaseTarget> {
        let recent_since = now.saturating_sub(self.window_share(RECENT));
        let hedge_delay = self.window_share(HEDGE_DELAY);
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
        let attempts = self
            .at_engine
            .get(&target.id)
            .copied()
            .unwrap_or(EngineAttempts {
                in_flight: 0,
                unanswered_since: now,
            });
        let recent = target.is_recent(recent_since);
        Preference {
            // Guards against many releases waiting for the same unresponsive engine while other engines could answer.
            unresponsive: target.is_unresponsive()
                || attempts.unanswered_since.saturating_add(hedge_delay) <= now,
            draining: target.is_draining,
            unresponsive_last_failure: if target.is_unresponsive() {
                target.last_failure
            } else {
                0
            },
            lacks_recent_idle_connection: !(target.has_idle_connection && recent),
            in_flight: attempts.in_flight,
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
        let deadline = now + self.window_share(ATTEMPT_TIMEOUT);
        let release = self.pending.get_mut(&release_id)?;
        // Guards against one silent connection after another: idle connections may all have fallen silent at once.
        let may_reuse_connection = !std::mem::replace(&mut release.is_unanswered, true);
        release.attempted.push(target);
        release.in_flight += 1;
        release.last_attempt = now;
        self.in_flight += 1;
        self.at_engine
            .entry(target)
            .or_insert(EngineAttempts {
                in_flight: 0,
                unanswered_since: now,
            })
            .in_flight += 1;
        Some(ReleaseAttempt {
            request: release.request,
            release_id,
            target,
            deadline,
            may_reuse_connection,
        })
    }

    /// Schedules the attempt that follows one at `target`, or, without a target, the first one after all engines were
    /// asked.
    fn schedule_next(
        &mut self,
        now: Micros,
        release_id: u64,
        target: Option<&ReleaseTarget>,
        engines: usize,
    ) {
        let recent_since = now.saturating_sub(self.window_share(RECENT));
        let window = self.window_share(1.0);
        let hedge_delay = self.window_share(HEDGE_DELAY);
        let further_hedge_delay = self.window_share(FURTHER_HEDGE_DELAY);
        let max_pause = self.window_share(MAX_PAUSE);
        let probes = engines.div_ceil(ENGINES_PER_PROBE) / self.pending.len().max(1);
        let Some(release) = self.pending.get_mut(&release_id) else {
            return;
        };
        let hedged = release.is_within_window(now, window);
        let at = match target {
            Some(_) if hedged && release.in_flight == 1 => now + hedge_delay,
            Some(_) if hedged && release.in_flight < MAX_HEDGED_ATTEMPTS => {
                now + further_hedge_delay
            }
            // The results of the attempts in flight arrive sooner than any pause would end.
            Some(_) if hedged => Micros::MAX,
            // Guards against asking one engine per pause when hundreds are unresponsive and only one of them has recovered.
            Some(target)
                if (target.is_unresponsive() || target.last_response < recent_since)
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

    /// Records the result of an attempt.
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
                // An idle connection needs no further resources.
                release.is_unanswered = false;
                release.attempted.retain(|id| *id != attempt.target);
                let window_start = release.window_start;
                let at = (now + self.window_share(HEDGE_DELAY)).max(window_start);
                self.reschedule(attempt.release_id, at);
            }
        }
    }

    fn end_at_engine(&mut self, now: Micros, target: EndpointId, result: ReleaseResult) {
        let Some(attempts) = self.at_engine.get_mut(&target) else {
            return;
        };
        attempts.in_flight = attempts.in_flight.saturating_sub(1);
        if result == ReleaseResult::Accepted {
            attempts.unanswered_since = now;
        }
        if attempts.in_flight == 0 {
            self.at_engine.remove(&target);
        }
    }

    fn on_accepted(&mut self, now: Micros, release_id: u64) {
        let first_pause = self.window_share(FIRST_PAUSE);
        let repeats = REPEATS.map(|share| self.window_share(share));
        let Some(release) = self.pending.get_mut(&release_id) else {
            return;
        };
        if release.confirmed || release.repeats >= REPEATS.len() {
            self.remove(release_id);
            return;
        }
        if release.waits_for_repeat(now) {
            // This answers an attempt that was sent before the release was accepted.
            return;
        }
        let previous = if release.repeats == 0 {
            0
        } else {
            repeats[release.repeats - 1]
        };
        let at = now + repeats[release.repeats] - previous;
        release.repeats += 1;
        release.is_unanswered = false;
        release.window_start = at;
        release.pause = first_pause;
        release.attempted.clear();
        self.reschedule(release_id, at);
    }

    fn on_failed(&mut self, now: Micros, release_id: u64) {
        let window = self.window_share(1.0);
        let further_hedge_delay = self.window_share(FURTHER_HEDGE_DELAY);
        let Some(release) = self.pending.get(&release_id) else {
            return;
        };
        if release.waits_for_repeat(now) {
            return;
        }
        let at = if !release.is_within_window(now, window) {
            release.next_attempt.min(now + release.pause)
        } else if release.in_flight > 0 {
            // An engine that was asked just now may still answer.
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
