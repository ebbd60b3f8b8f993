//! Checks the rules on what engines and clients observed. It uses nothing that a node reports about itself.

use ivyward_fakes::platform::observe::{Idempotency, Observation};
use ivyward_runtime::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// The time after a client's time limit within which its final answer may still arrive.
const ANSWER_SLACK: Micros = 500_000;
/// The time after a client's disconnect or answer within which an attempt may still begin.
const ATTEMPT_SLACK: Micros = 100_000;
/// The amount by which an attempt's timeout may exceed the client's remaining time.
const TIMEOUT_SLACK: Micros = 150_000;
/// The time after which a node counts as notified of a change in discovery, whether or not it was.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// A request that arrives later than this after SIGTERM may be lost, because the node may be killed first.
const GUARANTEED_STOP_TIME: Micros = 700_000;
/// The tolerance on all times: what the platform adds to its limits, and as much again for a harness on a busy machine.
const CLOCK_SLACK: Micros = 100_000;
/// The time within which a link loses an answer after the engine wrote it.
const LOST_ANSWER_TIME: Micros = 5_000;
/// The tolerance on the time within which reservations are released.
const RELEASE_SLACK: Micros = 300_000;

/// Limits from the run's settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time within which a reservation is released once no attempt uses it.
    pub release_within: Micros,
    /// The time after the notification of a drain from which no new attempt may go to the engine.
    pub drain_grace: Micros,
    /// The time for which engines drop repeated writes with the same key.
    pub deduplication_window: Micros,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// The id of the request, or the node.
    #[serde(rename = "of")]
    pub subject: String,
    /// What was observed, as text.
    #[serde(rename = "seen")]
    pub observed: String,
}

#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    at: Micros,
    /// When the engine's machine received the attempt; at the latest at `at`.
    received: Micros,
    ended: Option<Micros>,
    engine: usize,
    reads: bool,
    timeout: Micros,
    dropped: bool,
}

#[derive(Clone, Debug, Default)]
struct Request {
    sent: Vec<(Micros, usize, Micros, bool)>,
    effect: Option<Idempotency>,
    disconnected: Option<Micros>,
    answers: Vec<(Micros, u16, bool)>,
    attempts: Vec<Attempt>,
    reservations: Vec<Micros>,
    /// Whether the engine broke off the request's stream.
    stream_broke: bool,
    released: Vec<Micros>,
}

/// A drain from its start to its end, and when each node was notified of it.
struct Drain {
    engine: usize,
    from: Micros,
    until: Micros,
    notified: BTreeMap<usize, Micros>,
}

#[derive(Default)]
struct History {
    requests: BTreeMap<String, Request>,
    notified: BTreeMap<(usize, usize), Micros>,
    drains: BTreeMap<usize, Micros>,
    ended_drains: Vec<Drain>,
    stops: Vec<(usize, Micros)>,
    killed: Vec<(usize, Micros)>,
    engine_ends: Vec<(usize, Micros)>,
    /// Cut links: the engine, and the start and end of the cut.
    cuts: Vec<(usize, Micros, Micros)>,
    /// Intervals in which a node's connections failed: the node, the start and the end.
    breaks: Vec<(usize, Micros, Micros)>,
    /// Resets of links: the engine and the time.
    resets: Vec<(usize, Micros)>,
    /// Losses of bytes that an engine had written to a node: the engine and the time.
    lost_bytes: Vec<(usize, Micros)>,
    violations: Vec<Violation>,
}

/// Returns the violations of the rules in a run that ended at `end`.
pub fn check(observed: &[(Micros, Observation)], limits: &Limits, end: Micros) -> Vec<Violation> {
    let mut history = History::default();
    for (at, observation) in observed {
        history.add(*at, observation);
    }
    let mut violations = std::mem::take(&mut history.violations);
    for (id, request) in &history.requests {
        let checks = [
            history.lost(request, end),
            history.closed_unanswered(request),
            history.cut_stream(request),
            after_end(request),
            history.two_at_once(request),
            repeated_write(request, limits),
            false_rejection(request),
            history.excessive_timeout(request),
            history.to_draining(request, limits),
            history.unreleased(request, limits, end),
        ];
        for (rule, seen) in checks.into_iter().flatten() {
            violations.push(Violation {
                rule,
                subject: id.clone(),
                observed: seen,
            });
        }
    }
    violations
}

type Found = Option<(&'static str, String)>;

impl History {
    fn request(&mut self, id: &str) -> &mut Request {
        self.requests.entry(id.to_owned()).or_default()
    }

    fn add(&mut self, at: Micros, observation: &Observation) {
        match observation {
            Observation::Sent {
                id,
                idempotency: effect,
                node,
                client_timeout,
                new_connection,
            } => {
                let request = self.request(id);
                request.effect = Some(*effect);
                request
                    .sent
                    .push((at, *node, *client_timeout, *new_connection));
            }
            Observation::ClientDisconnected { id } => self.request(id).disconnected = Some(at),
            Observation::ResponseEnded {
                id,
                status,
                complete: whole,
            } => {
                self.request(id).answers.push((at, *status, *whole));
            }
            Observation::AttemptArrived {
                id,
                engine,
                attempt,
                is_prefill: reads,
                received,
                timeout,
                dropped,
            } => {
                let attempt = Attempt {
                    number: *attempt,
                    at,
                    received: *received,
                    ended: None,
                    engine: *engine,
                    reads: *reads,
                    timeout: *timeout,
                    dropped: *dropped,
                };
                self.request(id).attempts.push(attempt);
            }
            Observation::AttemptEnded { attempt } => {
                let mut all = self.requests.values_mut().flat_map(|r| &mut r.attempts);
                if let Some(found) = all.find(|a| a.number == *attempt) {
                    found.ended = Some(at);
                }
            }
            Observation::StateReserved { id } => self.request(id).reservations.push(at),
            Observation::StateReleased { id } => self.request(id).released.push(at),
            Observation::DrainNotified { node, engine } => {
                self.notified.entry((*node, *engine)).or_insert(at);
            }
            Observation::DrainStarted { engine } => {
                self.drains.insert(*engine, at);
                // Earlier notifications were of another drain.
                self.notified.retain(|(_, notified), _| notified != engine);
            }
            Observation::LinkReset { engine } => self.resets.push((*engine, at)),
            Observation::ResponseBytesLost { engine } => self.lost_bytes.push((*engine, at)),
            Observation::StreamBroken { id } => self.request(id).stream_broke = true,
            Observation::DrainEnded { engine } => {
                if let Some(from) = self.drains.remove(engine) {
                    let notified = self.notified.iter().filter(|((_, e), _)| e == engine);
                    let notified = notified.map(|((node, _), at)| (*node, *at)).collect();
                    self.ended_drains.push(Drain {
                        engine: *engine,
                        from,
                        until: at,
                        notified,
                    });
                }
            }
            Observation::EngineEnded { engine } => self.engine_ends.push((*engine, at)),
            Observation::LinkCut { engine, cut: true } => {
                self.cuts.push((*engine, at, Micros::MAX))
            }
            Observation::LinkCut { engine, cut: false } => {
                let of_engine =
                    |cut: &&mut (usize, Micros, Micros)| cut.0 == *engine && cut.2 == Micros::MAX;
                if let Some(cut) = self.cuts.iter_mut().find(of_engine) {
                    cut.2 = at;
                }
            }
            Observation::ConnectionFaults { node, on: true } => {
                self.breaks.push((*node, at, Micros::MAX))
            }
            Observation::ConnectionFaults { node, on: false } => {
                let of_node =
                    |span: &&mut (usize, Micros, Micros)| span.0 == *node && span.2 == Micros::MAX;
                if let Some(span) = self.breaks.iter_mut().find(of_node) {
                    span.2 = at;
                }
            }
            Observation::NodeStopRequested { node } => self.stops.push((*node, at)),
            Observation::NodeEnded { node, killed: true } => self.killed.push((*node, at)),
            Observation::NodeEnded { .. } => {}
            Observation::NodeCrashed { node } => {
                let seen = format!("ended by itself at {at}");
                self.violations.push(Violation {
                    rule: "crash",
                    subject: format!("node {node}"),
                    observed: seen,
                });
            }
        }
    }

    /// Returns whether a node was killed between two times.
    fn killed(&self, node: usize, from: Micros, until: Micros) -> bool {
        self.killed
            .iter()
            .any(|(killed, at)| *killed == node && (from..=until).contains(at))
    }

    fn lost(&self, request: &Request, end: Micros) -> Found {
        let (sent, node, client_timeout, new_connection) = *request.sent.last()?;
        let by = sent + client_timeout + ANSWER_SLACK + CLOCK_SLACK;
        let answer = request
            .answers
            .last()
            .copied()
            .filter(|(at, ..)| *at >= sent);
        let ended = answer.map_or(by, |(at, ..)| at.max(sent));
        if request.disconnected.is_some() || by > end || self.killed(node, sent, ended.max(by)) {
            return None;
        }
        let after_stop =
            |(stopped, at): &&(usize, Micros)| *stopped == node && sent > at + GUARANTEED_STOP_TIME;
        if self
            .stops
            .iter()
            .rev()
            .any(|stop| after_stop(&stop) && sent < stop.1 + client_timeout + GUARANTEED_STOP_TIME)
        {
            return None;
        }
        match answer {
            None => Some(("lost", format!("no answer; sent at {sent}, due by {by}"))),
            // The client's own connection may have failed.
            Some((at, 0, _))
                if self
                    .breaks
                    .iter()
                    .any(|b| b.0 == node && b.1 <= at && sent <= b.2) =>
            {
                None
            }
            Some((at, 0, _)) if new_connection => Some((
                "lost",
                format!("closed without an answer at {at}, sent at {sent}"),
            )),
            Some((at, status, _)) if at > by && status != 200 => {
                Some(("lost", format!("answered {status} at {at}, due by {by}")))
            }
            Some(_) => None,
        }
    }

    /// Finds a request that its node had read, because an attempt of it reached an engine, and whose connection was closed
    /// without an answer. A client sends such a request again because it assumes that nobody has read it.
    fn closed_unanswered(&self, request: &Request) -> Found {
        let closes = request.answers.iter().filter(|(_, status, _)| *status == 0);
        closes.into_iter().find_map(|(at, ..)| {
            let (sent, node, client_timeout, _) =
                *request.sent.iter().rev().find(|sent| sent.0 <= *at)?;
            let came = request
                .attempts
                .iter()
                .find(|a| (sent..=*at).contains(&a.at))?;
            let broke = self
                .breaks
                .iter()
                .any(|b| b.0 == node && b.1 <= *at && sent <= b.2);
            let excused =
                broke || self.killed(node, sent, at + CLOCK_SLACK) || *at > sent + client_timeout;
            let text = || {
                format!(
                    "sent at {sent}, at an engine at {}, closed at {at}",
                    came.at
                )
            };
            (!excused).then(|| ("closed_unanswered", text()))
        })
    }

    /// Finds a stream that the node cut while the engine was still writing.
    fn cut_stream(&self, request: &Request) -> Found {
        let (at, ..) = *request
            .answers
            .iter()
            .find(|(_, status, whole)| *status == 200 && !whole)?;
        let (sent, node, ..) = *request.sent.iter().rev().find(|sent| sent.0 <= at)?;
        let write = request
            .attempts
            .iter()
            .rev()
            .find(|a| !a.reads && a.at <= at)?;
        let during = |(engine, when): &(usize, Micros)| {
            *engine == write.engine && (write.at..=at).contains(when)
        };
        let broken = self
            .engine_ends
            .iter()
            .chain(&self.resets)
            .chain(&self.lost_bytes);
        let engine_broke = request.stream_broke || broken.into_iter().any(during);
        let cut = |c: &(usize, Micros, Micros)| c.0 == write.engine && c.1 <= at && c.2 >= write.at;
        let node_broke = self
            .breaks
            .iter()
            .any(|b| b.0 == node && b.1 <= at && sent <= b.2);
        let excused = engine_broke
            || node_broke
            || self.cuts.iter().any(cut)
            || self.killed(node, sent, at + CLOCK_SLACK);
        let text = || format!("cut at {at}, written by {} from {}", write.engine, write.at);
        (!excused).then(|| ("cut_stream", text()))
    }

    fn to_draining(&self, request: &Request, limits: &Limits) -> Found {
        let (_, node, ..) = *request.sent.last()?;
        request.attempts.iter().find_map(|attempt| {
            let during = |d: &&Drain| {
                d.engine == attempt.engine && (d.from..=d.until).contains(&attempt.received)
            };
            let drain = self.ended_drains.iter().find(during)?;
            let notified = drain.notified.get(&node).copied();
            let notified = notified
                .unwrap_or(Micros::MAX)
                .min(drain.from + MAX_NOTIFICATION_DELAY);
            let allowed_until = notified + limits.drain_grace + CLOCK_SLACK;
            // A send counts from its first byte, which may have waited in a cut that began in time.
            let waited_in_cut = self.cuts.iter().any(|(engine, from, until)| {
                *engine == attempt.engine
                    && *from <= allowed_until
                    && (*until..=until.saturating_add(CLOCK_SLACK)).contains(&attempt.received)
            });
            let late = attempt.received > allowed_until && !waited_in_cut;
            let text = || {
                format!(
                    "sent to {} at {}, notified at {notified}",
                    attempt.engine, attempt.received
                )
            };
            late.then(|| ("drain", text()))
        })
    }

    /// Finds two attempts of a request that were at engines at the same time. The cancellation of an attempt takes a moment to
    /// arrive, and does not arrive during a cut, although the node has closed the connection.
    fn two_at_once(&self, request: &Request) -> Found {
        let mut attempts: Vec<&Attempt> = request.attempts.iter().collect();
        attempts.sort_by_key(|a| a.at);
        attempts.windows(2).find_map(|pair| {
            let ended = pair[0].ended?;
            let both = ended > pair[1].at + CLOCK_SLACK;
            let was_cut = |(engine, from, until): &(usize, Micros, Micros)| {
                *engine == pair[0].engine && *from <= ended && *until >= pair[0].at
            };
            let text = || {
                format!(
                    "at {} and {}, the first ended at {ended}",
                    pair[0].at, pair[1].at
                )
            };
            (both && !self.cuts.iter().any(was_cut)).then(|| ("two_at_once", text()))
        })
    }

    /// Finds an attempt whose timeout exceeds its client's remaining time. An attempt that waited in a cut is excused: its
    /// timeout is the time that remained when it was written.
    fn excessive_timeout(&self, request: &Request) -> Found {
        let (sent, _, client_timeout, _) = *request.sent.last()?;
        let by = sent + client_timeout;
        request.attempts.iter().find_map(|attempt| {
            let left = by.saturating_sub(attempt.received);
            let waited = |(engine, _, until): &(usize, Micros, Micros)| {
                *engine == attempt.engine && (sent..=attempt.at).contains(until)
            };
            let exceeds = attempt.timeout > left + TIMEOUT_SLACK + CLOCK_SLACK;
            let excused = self.cuts.iter().any(waited);
            (exceeds && !excused).then(|| {
                (
                    "timeout_told",
                    format!("timeout {} with {left} remaining", attempt.timeout),
                )
            })
        })
    }

    /// Returns when an attempt ended. A prefill whose answer the link lost or delayed is in flight until its node has the
    /// answer or stops waiting, at the latest when the timeout ends that the node stated.
    fn end_at_node(&self, attempt: &Attempt) -> Option<Micros> {
        let ended = attempt.ended?;
        if !attempt.reads {
            return Some(ended);
        }
        let answer = ended..=ended + LOST_ANSWER_TIME;
        let answer_lost = self
            .lost_bytes
            .iter()
            .any(|(engine, at)| *engine == attempt.engine && answer.contains(at));
        let delayed_until = self
            .cuts
            .iter()
            .filter(|(engine, from, until)| {
                *engine == attempt.engine && *from <= *answer.end() && *until >= ended
            })
            .map(|(_, _, until)| until.saturating_add(LOST_ANSWER_TIME))
            .max();
        let timeout = attempt.received + attempt.timeout;
        let at_node = match delayed_until {
            _ if answer_lost => timeout,
            Some(delayed_until) => delayed_until.min(timeout),
            None => ended,
        };
        Some(ended.max(at_node))
    }

    /// Finds a reservation that is not released in time while no attempt is at an engine. An attempt that was sent but has not
    /// arrived does not count as at an engine.
    fn unreleased(&self, request: &Request, limits: &Limits, end: Micros) -> Found {
        let (sent, node, ..) = *request.sent.last()?;
        let reserved = *request.reservations.last()?;
        let span = limits.release_within + RELEASE_SLACK + CLOCK_SLACK;
        let mut attempts: Vec<&Attempt> = request.attempts.iter().collect();
        attempts.sort_by_key(|a| a.at);
        let engine = attempts
            .iter()
            .rev()
            .find(|a| a.reads && a.at <= reserved)
            .map(|a| a.engine);
        let attempts: Vec<Attempt> = attempts
            .into_iter()
            .map(|attempt| Attempt {
                ended: self.end_at_node(attempt),
                ..attempt.clone()
            })
            .collect();
        // The end of the interval in which attempts followed one another without a gap.
        let mut busy_until = reserved;
        loop {
            let beside = attempts
                .iter()
                .filter(|a| a.at <= busy_until)
                .map(|a| a.ended.unwrap_or(end));
            let ended = beside.max().unwrap_or(reserved).max(busy_until);
            // Another attempt may have arrived just before this one was observed to end.
            if ended > busy_until {
                busy_until = ended;
                continue;
            }
            let released = request
                .released
                .iter()
                .copied()
                .filter(|at| *at >= reserved)
                .min()
                .unwrap_or(end);
            let next = attempts
                .iter()
                .map(|a| a.at)
                .find(|at| *at > busy_until)
                .unwrap_or(end);
            if released <= busy_until + span {
                return None;
            }
            if next > busy_until + span || next == end {
                let lost = |(e, at): &(usize, Micros)| {
                    Some(*e) == engine && (reserved..=busy_until + span).contains(at)
                };
                let excused =
                    self.engine_ends.iter().any(lost) || self.killed(node, sent, busy_until + span);
                let text = || {
                    format!(
                        "reserved at {reserved}, no attempt from {busy_until}, released at {released}, next attempt at {next}"
                    )
                };
                return (!excused && busy_until + span < end).then(|| ("pinned", text()));
            }
            busy_until = next;
        }
    }
}

/// Finds an attempt that began after its client disconnected or was answered.
fn after_end(request: &Request) -> Found {
    let answered = request
        .answers
        .iter()
        .filter(|(_, status, _)| *status != 0)
        .map(|a| a.0)
        .min();
    let ended = [answered, request.disconnected]
        .into_iter()
        .flatten()
        .min()?;
    let late = request
        .attempts
        .iter()
        .find(|a| a.at > ended + ATTEMPT_SLACK + CLOCK_SLACK)?;
    Some((
        "after_end",
        format!(
            "an attempt at {} after the request had ended at {ended}",
            late.at
        ),
    ))
}

/// Finds a write that ran twice although it must not be repeated.
fn repeated_write(request: &Request, limits: &Limits) -> Found {
    let ran: Vec<Micros> = request
        .attempts
        .iter()
        .filter(|a| !a.reads && !a.dropped)
        .map(|a| a.at)
        .collect();
    let twice = match request.effect? {
        Idempotency::Idempotent => false,
        Idempotency::NonIdempotent => ran.len() > 1,
        Idempotency::WithKey => {
            let writes = request.attempts.iter().filter(|a| !a.reads);
            let first = ran.first().copied()?;
            writes
                .into_iter()
                .any(|a| a.at > first + limits.deduplication_window + CLOCK_SLACK)
        }
    };
    twice.then(|| ("effect_twice", format!("writes arrived at {ran:?}")))
}

/// Finds a rejection of a request whose write had run.
fn false_rejection(request: &Request) -> Found {
    let rejected = request
        .answers
        .iter()
        .any(|(_, status, _)| matches!(status, 429 | 503));
    let ran = request.attempts.iter().any(|a| !a.reads && !a.dropped);
    let promised = rejected && ran && request.effect == Some(Idempotency::NonIdempotent);
    promised.then(|| {
        (
            "false_refusal",
            "rejected after a write had arrived".to_owned(),
        )
    })
}
