//! The rules, checked from what engines and clients observed. It knows nothing of what a node says of itself.

use ivyward_fakes::platform::observe::{Idempotency, Observation};
use ivyward_runtime::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// A final answer may come so long after the client's time.
const ANSWER_SLACK: Micros = 500_000;
/// An attempt may begin so long after its client left or was answered.
const BEGIN_SLACK: Micros = 100_000;
/// The time that an attempt tells may be so much more than what its client has left.
const TIMEOUT_SLACK: Micros = 150_000;
/// Whatever discovery has to tell counts as told so much later.
const TOLD_WITHIN: Micros = 6_000_000;
/// After SIGTERM a request that comes so late may be lost to SIGKILL.
const STOP_TAKES: Micros = 700_000;
/// What the platform adds to its limits on times; a rig on a busy machine adds as much again.
const CLOCK_SLACK: Micros = 100_000;
/// What is held has so much more than the settings say.
const HELD_SLACK: Micros = 300_000;

/// What the run's settings say.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// What is held is let go of within this span.
    pub release_within: Micros,
    /// Nothing new goes to a draining engine after this span.
    pub drain_grace: Micros,
    /// Engines drop repeats for this span.
    pub deduplication_window: Micros,
}

/// A rule that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// Its name.
    pub rule: &'static str,
    /// The request or the node.
    #[serde(rename = "of")]
    pub subject: String,
    /// What was observed.
    #[serde(rename = "seen")]
    pub observed: String,
}

#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    at: Micros,
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
    left: Option<Micros>,
    answers: Vec<(Micros, u16, bool)>,
    attempts: Vec<Attempt>,
    holds: Vec<Micros>,
    /// Its engine broke its stream off.
    stream_broke: bool,
    freed: Vec<Micros>,
}

/// A drain from its beginning to its end, and when each node was told of it.
struct Drain {
    engine: usize,
    from: Micros,
    until: Micros,
    told: BTreeMap<usize, Micros>,
}

#[derive(Default)]
struct Record {
    requests: BTreeMap<String, Request>,
    told: BTreeMap<(usize, usize), Micros>,
    drains: BTreeMap<usize, Micros>,
    drains_over: Vec<Drain>,
    stops: Vec<(usize, Micros)>,
    killed: Vec<(usize, Micros)>,
    engine_ends: Vec<(usize, Micros)>,
    /// Links that were cut: engine, from, until.
    cuts: Vec<(usize, Micros, Micros)>,
    /// Nodes under which connections broke: node, from, until.
    breaks: Vec<(usize, Micros, Micros)>,
    /// Engines whose links were reset, and when.
    resets: Vec<(usize, Micros)>,
    broken: Vec<Violation>,
}

/// Rules that did not hold over a run that ended at `end`.
pub fn check(observed: &[(Micros, Observation)], limits: &Limits, end: Micros) -> Vec<Violation> {
    let mut record = Record::default();
    for (at, observation) in observed {
        record.add(*at, observation);
    }
    let mut broken = std::mem::take(&mut record.broken);
    for (id, request) in &record.requests {
        let checks = [
            record.lost(request, end),
            record.closed_unanswered(request),
            record.cut_stream(request),
            after_end(request),
            record.two_at_once(request),
            effect_twice(request, limits),
            false_refusal(request),
            record.told_too_much(request),
            record.to_draining(request, limits),
            record.pinned(request, limits, end),
        ];
        for (rule, seen) in checks.into_iter().flatten() {
            broken.push(Violation {
                rule,
                subject: id.clone(),
                observed: seen,
            });
        }
    }
    broken
}

type Found = Option<(&'static str, String)>;

impl Record {
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
            Observation::ClientDisconnected { id } => self.request(id).left = Some(at),
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
                timeout,
                dropped,
            } => {
                let attempt = Attempt {
                    number: *attempt,
                    at,
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
            Observation::StateReserved { id } => self.request(id).holds.push(at),
            Observation::StateReleased { id } => self.request(id).freed.push(at),
            Observation::DrainNotified { node, engine } => {
                self.told.entry((*node, *engine)).or_insert(at);
            }
            Observation::DrainStarted { engine } => {
                self.drains.insert(*engine, at);
                // What was told before was of another drain.
                self.told.retain(|(_, told), _| told != engine);
            }
            Observation::LinkReset { engine } => self.resets.push((*engine, at)),
            Observation::StreamBroken { id } => self.request(id).stream_broke = true,
            Observation::DrainEnded { engine } => {
                if let Some(from) = self.drains.remove(engine) {
                    let told = self.told.iter().filter(|((_, e), _)| e == engine);
                    let told = told.map(|((node, _), at)| (*node, *at)).collect();
                    self.drains_over.push(Drain {
                        engine: *engine,
                        from,
                        until: at,
                        told,
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
                self.broken.push(Violation {
                    rule: "crash",
                    subject: format!("node {node}"),
                    observed: seen,
                });
            }
        }
    }

    /// The request's node was killed before its answer was owed.
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
        if request.left.is_some() || by > end || self.killed(node, sent, ended.max(by)) {
            return None;
        }
        let after_stop =
            |(stopped, at): &&(usize, Micros)| *stopped == node && sent > at + STOP_TAKES;
        if self
            .stops
            .iter()
            .rev()
            .any(|stop| after_stop(&stop) && sent < stop.1 + client_timeout + STOP_TAKES)
        {
            return None;
        }
        match answer {
            None => Some(("lost", format!("no answer; sent at {sent}, owed by {by}"))),
            // The client's own connection may have been the one that broke.
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
                Some(("lost", format!("answered {status} at {at}, owed by {by}")))
            }
            Some(_) => None,
        }
    }

    /// A request that its node had read, for an attempt of it came to an engine, and whose connection was closed with no
    /// answer. A client may send such a request again only because nobody read it.
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

    /// A stream that its node cut while its engine wrote.
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
        let engine_broke =
            request.stream_broke || self.engine_ends.iter().chain(&self.resets).any(during);
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
            let during =
                |d: &&Drain| d.engine == attempt.engine && (d.from..=d.until).contains(&attempt.at);
            let drain = self.drains_over.iter().find(during)?;
            let told = drain.told.get(&node).copied();
            let told = told.unwrap_or(Micros::MAX).min(drain.from + TOLD_WITHIN);
            let late = attempt.at > told + limits.drain_grace + CLOCK_SLACK;
            let text = || {
                format!(
                    "sent to {} at {}, told at {told}",
                    attempt.engine, attempt.at
                )
            };
            late.then(|| ("drain", text()))
        })
    }

    /// Two attempts that were out at engines together. The word that one is given up takes a moment, and does not come
    /// through a cut at all: then its connection is closed at the node all the same.
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

    /// An attempt that tells its engine more time than its client has left. One that waited in a cut says what was left when
    /// it was written: nobody can change that any more.
    fn told_too_much(&self, request: &Request) -> Found {
        let (sent, _, client_timeout, _) = *request.sent.last()?;
        let by = sent + client_timeout;
        request.attempts.iter().find_map(|attempt| {
            let left = by.saturating_sub(attempt.at);
            let waited = |(engine, _, until): &(usize, Micros, Micros)| {
                *engine == attempt.engine && (sent..=attempt.at).contains(until)
            };
            let over = attempt.timeout > left + TIMEOUT_SLACK + CLOCK_SLACK;
            let excused = self.cuts.iter().any(waited);
            (over && !excused).then(|| {
                (
                    "timeout_told",
                    format!("told {} with {left} left", attempt.timeout),
                )
            })
        })
    }

    /// A state that waits for too long with no attempt out at an engine: a send that has not arrived is not out.
    fn pinned(&self, request: &Request, limits: &Limits, end: Micros) -> Found {
        let (sent, node, ..) = *request.sent.last()?;
        let held = *request.holds.last()?;
        let span = limits.release_within + HELD_SLACK + CLOCK_SLACK;
        let mut attempts: Vec<&Attempt> = request.attempts.iter().collect();
        attempts.sort_by_key(|a| a.at);
        let engine = attempts
            .iter()
            .rev()
            .find(|a| a.reads && a.at <= held)
            .map(|a| a.engine);
        // Until when an attempt was out, one behind the other.
        let mut out_until = held;
        loop {
            let beside = attempts
                .iter()
                .filter(|a| a.at <= out_until)
                .map(|a| a.ended.unwrap_or(end));
            let ended = beside.max().unwrap_or(held).max(out_until);
            // An attempt may have come just before the one beside it was seen to end.
            if ended > out_until {
                out_until = ended;
                continue;
            }
            let freed = request
                .freed
                .iter()
                .copied()
                .filter(|at| *at >= held)
                .min()
                .unwrap_or(end);
            let next = attempts
                .iter()
                .map(|a| a.at)
                .find(|at| *at > out_until)
                .unwrap_or(end);
            if freed <= out_until + span {
                return None;
            }
            if next > out_until + span || next == end {
                let lost = |(e, at): &(usize, Micros)| {
                    Some(*e) == engine && (held..=out_until + span).contains(at)
                };
                let excused =
                    self.engine_ends.iter().any(lost) || self.killed(node, sent, out_until + span);
                let text = || {
                    format!(
                        "held at {held}, nothing out from {out_until}, freed {freed}, next {next}"
                    )
                };
                return (!excused && out_until + span < end).then(|| ("pinned", text()));
            }
            out_until = next;
        }
    }
}

/// An attempt that begins after its client left or had its answer.
fn after_end(request: &Request) -> Found {
    let answered = request
        .answers
        .iter()
        .filter(|(_, status, _)| *status != 0)
        .map(|a| a.0)
        .min();
    let over = [answered, request.left].into_iter().flatten().min()?;
    let late = request
        .attempts
        .iter()
        .find(|a| a.at > over + BEGIN_SLACK + CLOCK_SLACK)?;
    Some((
        "after_end",
        format!("an attempt at {} where all was over at {over}", late.at),
    ))
}

/// A write that ran twice.
fn effect_twice(request: &Request, limits: &Limits) -> Found {
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

/// A refusal of something that ran.
fn false_refusal(request: &Request) -> Found {
    let refused = request
        .answers
        .iter()
        .any(|(_, status, _)| matches!(status, 429 | 503));
    let ran = request.attempts.iter().any(|a| !a.reads && !a.dropped);
    let promised = refused && ran && request.effect == Some(Idempotency::NonIdempotent);
    promised.then(|| {
        (
            "false_refusal",
            "refused, and a write had arrived".to_owned(),
        )
    })
}
