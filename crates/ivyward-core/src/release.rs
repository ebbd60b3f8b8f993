//! Releases: whom to ask to let go of what is held for a request that no longer needs it, how many at once, and when again.
//!
//! For protocols in which any engine takes a release for all engines. What is owed stays owed until an engine took it:
//! behind a cut some engines are silent, and nobody says which. So the one most likely to answer is asked first, the next
//! ones beside it while it is silent, and each engine that was silent is asked last until it is heard of again. When all
//! are silent the pauses grow, and end with the first word of any of them. What may still be on its way to an engine when
//! the release is taken (a read that was given up, a hold without an answer) is let go of again, twice. No I/O, no clock.

use crate::interface::{EndpointId, Micros};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Settings. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseSettings {
    /// What is held is to be let go of within this span; the time before the release leaves is the caller's.
    pub within: Micros,
    /// Asks under way at once, of all that is owed. Each takes a connection.
    pub max_concurrent_attempts: usize,
    /// Requests for which something may be owed at once: beyond it the oldest is left to the engines' own limit.
    pub max_pending: usize,
}

impl ReleaseSettings {
    /// How long the answer to a hold is waited for. Where the read beside it never came to its engine, what the hold left has
    /// no attempt, and its time runs: the rest of the span is for the release.
    pub fn reserve_timeout(&self) -> Micros {
        ((self.within.max(SHORTEST) as f64 * RESERVE_WAIT) as Micros).min(RESERVE_WAIT_MAX)
    }
}

/// Part of the span in which a hold is to be answered, and the longest such time.
const RESERVE_WAIT: f64 = 0.7;
const RESERVE_WAIT_MAX: Micros = 800_000;
/// Beside an engine that has not answered in this part of the span, the next one is asked; beside several, the next after
/// this one: then it is no slow engine but a cut.
const BESIDE: f64 = 0.08;
const BESIDE_MORE: f64 = 0.05;
/// So many at once for one request, while its span is not over; then this part of all engines in each pause, for all
/// requests together, and one for each.
const AT_ONCE: usize = 6;
const ROUND: usize = 8;
/// An ask is given up after this part of the span.
const PATIENCE: f64 = 0.4;
/// No part of the span is taken shorter than that of this one, however short it is told: an answer takes its way.
const SHORTEST: Micros = 100_000;
/// The pause once the span is over, as a part of it; it doubles, up to so many spans.
const PAUSE: f64 = 0.5;
const PAUSE_MOST: f64 = 4.0;
/// After an engine took a release of what may still be on its way, it is repeated at these parts of the span.
const REPEATS: [f64; 2] = [1.0 / 3.0, 1.0];
/// An engine that was heard within so many spans is expected to be there.
const LATELY: f64 = 10.0;
/// A node that is told to end lets go for so many spans at most.
const AT_END: f64 = 10.0;

/// An engine that may be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseTarget {
    /// Which.
    pub id: EndpointId,
    /// When it answered anything last; 0 for never.
    pub last_response: Micros,
    /// When something there was last without an answer, or no connection came up; 0 for never.
    pub last_failure: Micros,
    /// A connection to it stands idle.
    pub has_idle_connection: bool,
    /// It drains or left the list.
    pub is_draining: bool,
}

impl ReleaseTarget {
    /// Nothing was heard of it since it was silent.
    pub fn silent(&self) -> bool {
        self.last_failure > self.last_response
    }
}

/// Someone to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseAttempt {
    /// What for.
    pub request: u64,
    /// To be told again with the answer.
    pub release_id: u64,
    /// Whom.
    pub target: EndpointId,
    /// Until when an answer is waited for.
    pub deadline: Micros,
}

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseResult {
    /// It was taken.
    Accepted,
    /// It was not, or nothing came.
    Failed,
    /// It could not be sent for want of a descriptor: that says nothing of the engine.
    NoLocalResources,
}

struct PendingRelease {
    request: u64,
    /// When it came to be owed, or to be repeated.
    since: Micros,
    sure: bool,
    repeats: usize,
    asked: Vec<EndpointId>,
    out: usize,
    /// When one was asked last.
    last: Micros,
    /// Asked in this pause.
    round: usize,
    pause: Micros,
    /// Its entry in `due`.
    next: Micros,
}

impl PendingRelease {
    /// Whether its span is not over, so that several engines are asked at once.
    fn races(&self, now: Micros, span: Micros) -> bool {
        now <= self.since.saturating_add(span)
    }
}

/// What a node still has to let go of. See the module's page.
pub struct ReleaseQueue {
    settings: ReleaseSettings,
    owed: BTreeMap<u64, PendingRelease>,
    by_request: BTreeMap<u64, u64>,
    due: BTreeSet<(Micros, u64)>,
    next_no: u64,
    /// Asks under way, and those of them at each engine, with the time of the first.
    asks: usize,
    at: BTreeMap<EndpointId, (usize, Micros)>,
    end_by: Option<Micros>,
}

impl ReleaseQueue {
    /// Nothing is owed yet.
    pub fn new(settings: ReleaseSettings) -> ReleaseQueue {
        ReleaseQueue {
            settings,
            owed: BTreeMap::new(),
            by_request: BTreeMap::new(),
            due: BTreeSet::new(),
            next_no: 0,
            asks: 0,
            at: BTreeMap::new(),
            end_by: None,
        }
    }

    fn span(&self, part: f64) -> Micros {
        (self.settings.within.max(SHORTEST) as f64 * part) as Micros
    }

    /// Requests for which something is owed.
    pub fn pending(&self) -> usize {
        self.owed.len()
    }

    /// Whether something is owed for this one.
    pub fn is_pending(&self, request: u64) -> bool {
        self.by_request.contains_key(&request)
    }

    /// Something may be held for a request that no longer needs it. `sure`: an engine said so, and nothing of it is on its
    /// way any more. Returns a request that is left to the engines' own limit in its stead.
    pub fn enqueue(&mut self, now: Micros, request: u64, sure: bool) -> Option<u64> {
        if let Some(release_id) = self.by_request.get(&request).copied() {
            let span = self.span(1.0);
            if let Some(owed) = self.owed.get_mut(&release_id) {
                // One that had been taken already begins anew; one that was not goes on.
                let fresh = owed.repeats > 0 || !owed.races(now, span);
                owed.sure &= sure;
                owed.repeats = 0;
                if fresh {
                    owed.since = now;
                }
                owed.asked.clear();
            }
            self.again(release_id, now);
            return None;
        }
        let left = if self.owed.len() >= self.settings.max_pending {
            self.leave_oldest()
        } else {
            None
        };
        let release_id = self.next_no;
        self.next_no += 1;
        let pause = self.span(PAUSE);
        let owed = PendingRelease {
            request,
            since: now,
            sure,
            repeats: 0,
            asked: Vec::new(),
            out: 0,
            last: 0,
            round: 0,
            pause,
            next: now,
        };
        self.owed.insert(release_id, owed);
        self.by_request.insert(request, release_id);
        self.due.insert((now, release_id));
        left
    }

    /// A request needs again what is held for it from now on. Whether something was still owed: that is the caller's to let
    /// go of later, with the rest.
    pub fn withdraw(&mut self, request: u64) -> bool {
        self.by_request
            .get(&request)
            .copied()
            .and_then(|release_id| self.forget(release_id))
            .is_some()
    }

    /// An engine that had been silent was heard again: nobody waits out a pause any more.
    pub fn endpoint_recovered(&mut self, now: Micros) {
        let waiting: Vec<u64> = self.due.iter().filter(|d| d.0 > now).map(|d| d.1).collect();
        for release_id in waiting {
            // A repeat waits for what may still be on its way, not for an engine.
            if self
                .owed
                .get(&release_id)
                .is_some_and(|o| o.repeats == 0 || o.since <= now)
            {
                self.owed
                    .get_mut(&release_id)
                    .into_iter()
                    .for_each(|o| o.asked.clear());
                self.again(release_id, now);
            }
        }
    }

    /// The node is told to end. What is still owed long after is left to the engines' own limit.
    pub fn shut_down(&mut self, now: Micros) {
        self.end_by = Some(now.saturating_add(self.span(AT_END)));
    }

    /// Takes out what is left to the engines' own limit, as the node ends.
    pub fn take_abandoned(&mut self, now: Micros) -> Vec<u64> {
        match self.end_by {
            Some(by) if now >= by => {
                self.due.clear();
                self.by_request.clear();
                std::mem::take(&mut self.owed)
                    .into_values()
                    .map(|o| o.request)
                    .collect()
            }
            _ => Vec::new(),
        }
    }

    /// When [`ReleaseQueue::next_attempts`] has something to do at the latest.
    pub fn next_deadline(&self) -> Option<Micros> {
        let end = self.end_by.filter(|_| !self.owed.is_empty());
        let due = self
            .due
            .first()
            .map(|d| d.0)
            .filter(|_| self.asks < self.settings.max_concurrent_attempts);
        [due, end].into_iter().flatten().min()
    }

    /// Whom to ask now, among these engines.
    pub fn next_attempts(&mut self, now: Micros, takers: &[ReleaseTarget]) -> Vec<ReleaseAttempt> {
        let mut asks = Vec::new();
        while self.asks < self.settings.max_concurrent_attempts {
            let Some((at, release_id)) = self.due.first().copied().filter(|d| d.0 <= now) else {
                break;
            };
            self.due.remove(&(at, release_id));
            let lately = now.saturating_sub(self.span(LATELY));
            let (span, beside, more) = (self.span(1.0), self.span(BESIDE), self.span(BESIDE_MORE));
            let (attempt_timeout, pause_most) = (self.span(PATIENCE), self.span(PAUSE_MOST));
            let round = takers.len().div_ceil(ROUND) / self.owed.len().max(1);
            let Some(owed) = self.owed.get_mut(&release_id) else {
                continue;
            };
            let racing = owed.races(now, span);
            let at = &self.at;
            // Guards against many that ask one engine, all in vain: each is an ask that could have found another.
            let likely = |t: &&ReleaseTarget| {
                let (asks, since) = at.get(&t.id).copied().unwrap_or((0, now));
                let silent = t.silent() || since.saturating_add(beside) <= now;
                let recent = t.last_response >= lately && t.last_response > 0;
                let stands = (
                    !(t.has_idle_connection && recent),
                    asks,
                    !recent,
                    !t.has_idle_connection,
                );
                // Of the silent ones, that which was asked longest ago: all requests look for one that is back.
                let missed = if t.silent() { t.last_failure } else { 0 };
                (
                    silent,
                    t.is_draining,
                    missed,
                    stands,
                    Reverse(t.last_response),
                    t.id,
                )
            };
            let best = takers
                .iter()
                .filter(|t| !owed.asked.contains(&t.id))
                .min_by_key(likely);
            if let Some(taker) = best {
                owed.asked.push(taker.id);
                owed.out += 1;
                owed.last = now;
                self.asks += 1;
                self.at.entry(taker.id).or_insert((0, now)).0 += 1;
                asks.push(ReleaseAttempt {
                    request: owed.request,
                    release_id,
                    target: taker.id,
                    deadline: now + attempt_timeout,
                });
            }
            let next = match best {
                // While its answer is out, an end of it comes sooner than any pause.
                Some(_) if racing && owed.out < AT_ONCE => {
                    now + if owed.out == 1 { beside } else { more }
                }
                Some(_) if racing => Micros::MAX,
                // Guards against one engine a pause where there are hundreds, all silent and one of them back.
                Some(t) if (t.silent() || t.last_response < lately) && owed.round + 1 < round => {
                    owed.round += 1;
                    now
                }
                _ => {
                    owed.round = 0;
                    if best.is_none() {
                        owed.asked.clear();
                    }
                    let pause = owed.pause;
                    owed.pause = (pause * 2).min(pause_most);
                    now + pause
                }
            };
            owed.next = next;
            self.due.insert((next, release_id));
        }
        asks
    }

    /// An ask ended.
    pub fn on_result(&mut self, now: Micros, ask: &ReleaseAttempt, answer: ReleaseResult) {
        self.asks = self.asks.saturating_sub(1);
        if let Some(at) = self.at.get_mut(&ask.target) {
            *at = (
                at.0.saturating_sub(1),
                if answer == ReleaseResult::Accepted {
                    now
                } else {
                    at.1
                },
            );
            if at.0 == 0 {
                self.at.remove(&ask.target);
            }
        }
        let (span, beside, pause) = (self.span(1.0), self.span(BESIDE), self.span(PAUSE));
        let more = self.span(BESIDE_MORE);
        let repeats = REPEATS.map(|part| self.span(part));
        let Some(owed) = self.owed.get_mut(&ask.release_id) else {
            return;
        };
        owed.out = owed.out.saturating_sub(1);
        match answer {
            ReleaseResult::Accepted if owed.sure || owed.repeats >= REPEATS.len() => {
                self.forget(ask.release_id);
            }
            // An answer to an earlier ask while the next repeat is waited for.
            ReleaseResult::Accepted if owed.since > now => {}
            ReleaseResult::Accepted => {
                let before = if owed.repeats == 0 {
                    0
                } else {
                    repeats[owed.repeats - 1]
                };
                let at = now + repeats[owed.repeats] - before;
                owed.repeats += 1;
                owed.since = at;
                owed.pause = pause;
                owed.asked.clear();
                self.again(ask.release_id, at);
            }
            ReleaseResult::Failed if owed.since > now => {}
            // Another one that was asked just now may answer yet.
            ReleaseResult::Failed if owed.races(now, span) => {
                let at = if owed.out > 0 {
                    now.max(owed.last + more)
                } else {
                    now
                };
                self.again(ask.release_id, at);
            }
            ReleaseResult::Failed => {
                let at = owed.next.min(now + owed.pause);
                self.again(ask.release_id, at);
            }
            ReleaseResult::NoLocalResources => {
                owed.asked.retain(|id| *id != ask.target);
                let at = (now + beside).max(owed.since);
                self.again(ask.release_id, at);
            }
        }
    }

    fn again(&mut self, release_id: u64, at: Micros) {
        if let Some(owed) = self.owed.get_mut(&release_id) {
            self.due.remove(&(owed.next, release_id));
            owed.next = at;
            self.due.insert((at, release_id));
        }
    }

    fn forget(&mut self, release_id: u64) -> Option<PendingRelease> {
        let owed = self.owed.remove(&release_id)?;
        self.by_request.remove(&owed.request);
        self.due.remove(&(owed.next, release_id));
        Some(owed)
    }

    fn leave_oldest(&mut self) -> Option<u64> {
        let release_id = *self.owed.first_key_value()?.0;
        self.forget(release_id).map(|o| o.request)
    }
}
