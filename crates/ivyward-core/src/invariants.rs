//! The rules of the node as invariants, checked at run time: one guard that every send, repeat, answer and change of the
//! node's phase passes before it takes effect.
//!
//! It knows nothing of how the decisions are made. It keeps a state machine for each open request and one for the node,
//! and says which step would break a rule; the caller counts that and leaves the step out. No I/O, no clock.

use crate::interface::{
    ClassSettings, DeduplicationScope, Endpoint, EndpointId, EndpointState, Idempotency, ListKind,
    Micros, Outcome, RequestId, Settings,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A rule that a step would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets one final answer.
    OneAnswer,
    /// Nothing is sent for a request that has its answer or whose time is over.
    NothingAfterAnswer,
    /// A request has one attempt out at a time.
    OneAttempt,
    /// Nothing that may have run is run again, unless its engines drop the repeat.
    NoEffectTwice,
    /// A refusal promises that trying again is harmless.
    HarmlessRefusal,
    /// Nothing new goes to an engine past the grace of its drain.
    NothingToDraining,
    /// The node starts, serves, stops and ends, in this order.
    NodePhase,
}

impl Rule {
    /// All rules with the names that metrics and logs use, in the order of their declaration.
    pub const ALL: [(Rule, &'static str); 7] = [
        (Rule::OneAnswer, "one_answer"),
        (Rule::NothingAfterAnswer, "nothing_after_answer"),
        (Rule::OneAttempt, "one_attempt"),
        (Rule::NoEffectTwice, "no_effect_twice"),
        (Rule::HarmlessRefusal, "harmless_refusal"),
        (Rule::NothingToDraining, "nothing_to_draining"),
        (Rule::NodePhase, "node_phase"),
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        Rule::ALL[self as usize].1
    }
}

/// A step that was not taken, because it would break a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// In which way.
    pub reason: &'static str,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} would be broken: {}", self.rule.name(), self.reason)
    }
}

impl std::error::Error for Violation {}

fn violation(rule: Rule, reason: &'static str) -> Result<(), Violation> {
    Err(Violation { rule, reason })
}

/// Why an attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// It is the request's first.
    First,
    /// The stage before it ended well.
    NextStage,
    /// The attempt before it ended so.
    Retry(Outcome),
}

/// A request's final answer, as far as the rules go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Its stream came to its end.
    Served,
    /// Refused: trying again is harmless.
    Rejected,
    /// Failed: nothing is promised.
    Failed,
    /// Its client left and is owed nothing.
    ClientDisconnected,
}

/// What the node is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// It holds no list yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It ends what it took.
    Stopping,
    /// It has ended.
    Stopped,
}

#[derive(Clone, Copy, Debug)]
struct Site {
    zone: u8,
    cell: u16,
}

/// The latest attempt of a request.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u16,
    /// It reads a prompt, which has no effect.
    reads: bool,
    sent: Micros,
    site: Option<Site>,
    /// How it ended; `None` while it is out.
    outcome: Option<Outcome>,
}

/// Something that may have had its effect: where and when it was sent.
#[derive(Clone, Copy, Debug)]
struct MayHaveRun {
    site: Option<Site>,
    sent: Micros,
}

#[derive(Clone, Debug)]
struct TrackedRequest {
    class: usize,
    deadline: Micros,
    last: Option<Attempt>,
    may_have_run: Option<MayHaveRun>,
    answered: bool,
}

/// The guard of one node. See the module's documentation.
#[derive(Clone, Debug)]
pub struct Guard {
    classes: Vec<ClassSettings>,
    drain_grace: Micros,
    phase: NodePhase,
    requests: BTreeMap<RequestId, TrackedRequest>,
    sites: BTreeMap<EndpointId, Site>,
    /// Since when each engine that drains is known to.
    draining: BTreeMap<EndpointId, Micros>,
}

impl Guard {
    /// A node that starts.
    pub fn new(settings: &Settings) -> Guard {
        Guard {
            classes: settings.classes.clone(),
            drain_grace: settings.drain_grace,
            phase: NodePhase::Starting,
            requests: BTreeMap::new(),
            sites: BTreeMap::new(),
            draining: BTreeMap::new(),
        }
    }

    /// The node's phase.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// The node goes on to a phase; to the one it is in is no change.
    ///
    /// # Errors
    /// When that lies behind it.
    pub fn enter(&mut self, phase: NodePhase) -> Result<(), Violation> {
        if phase < self.phase {
            return violation(Rule::NodePhase, "a phase that is over begins again");
        }
        if phase == NodePhase::Stopped && self.requests.values().any(|r| !r.answered) {
            return violation(Rule::NodePhase, "the node ends before its requests");
        }
        self.phase = phase;
        Ok(())
    }

    /// A list of engines was told.
    pub fn listed(&mut self, now: Micros, kind: ListKind, entries: &[Endpoint]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            self.sites.retain(|id, _| named.contains(id));
            self.draining.retain(|id, _| named.contains(id));
        }
        for entry in entries {
            match entry.state {
                EndpointState::Ready => {
                    self.draining.remove(&entry.id);
                }
                EndpointState::Draining => {
                    self.draining.entry(entry.id).or_insert(now);
                }
                EndpointState::Removed => {
                    self.draining.remove(&entry.id);
                    self.sites.remove(&entry.id);
                    continue;
                }
            }
            self.sites.insert(
                entry.id,
                Site {
                    zone: entry.zone,
                    cell: entry.rack,
                },
            );
        }
    }

    /// A request is taken; its client waits until `deadline`.
    ///
    /// # Errors
    /// When one with this number is open, or the node has ended.
    pub fn take(&mut self, id: RequestId, class: usize, deadline: Micros) -> Result<(), Violation> {
        if self.phase == NodePhase::Stopped {
            return violation(Rule::NodePhase, "a request is taken after the end");
        }
        let request = TrackedRequest {
            class,
            deadline,
            last: None,
            may_have_run: None,
            answered: false,
        };
        match self.requests.insert(id, request) {
            None => Ok(()),
            Some(_) => violation(
                Rule::OneAnswer,
                "a request is taken under the number of an open one",
            ),
        }
    }

    /// An attempt is about to be sent. Without a violation it is out from now on.
    ///
    /// # Errors
    /// When it may not be sent.
    pub fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        (server, reads): (EndpointId, bool),
    ) -> Result<AttemptReason, Violation> {
        let site = self.sites.get(&server).copied();
        let Some(request) = self.requests.get(&id) else {
            return Err(Violation {
                rule: Rule::NothingAfterAnswer,
                reason: "the request is not open",
            });
        };
        self.check_send(now, request, (server, site), reads)?;
        let reason = match request.last.map(|last| last.outcome) {
            None => AttemptReason::First,
            Some(Some(Outcome::Prefilled)) => AttemptReason::NextStage,
            Some(Some(outcome)) => AttemptReason::Retry(outcome),
            Some(None) => AttemptReason::Retry(Outcome::Cancelled),
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.last = Some(Attempt {
                number,
                reads,
                sent: now,
                site,
                outcome: None,
            });
        }
        Ok(reason)
    }

    fn check_send(
        &self,
        now: Micros,
        request: &TrackedRequest,
        (server, site): (EndpointId, Option<Site>),
        reads: bool,
    ) -> Result<(), Violation> {
        if request.answered {
            return violation(Rule::NothingAfterAnswer, "the request has its answer");
        }
        if now > request.deadline {
            return violation(Rule::NothingAfterAnswer, "the client's time is over");
        }
        if request.last.is_some_and(|last| last.outcome.is_none()) {
            return violation(Rule::OneAttempt, "the attempt before is out");
        }
        let told = self.draining.get(&server);
        if told.is_some_and(|told| now > told.saturating_add(self.drain_grace)) {
            return violation(
                Rule::NothingToDraining,
                "the engine drains, and the grace is over",
            );
        }
        match request.may_have_run.filter(|_| !reads) {
            Some(ran) => self.check_repeat(now, request, ran, site),
            None => Ok(()),
        }
    }

    fn check_repeat(
        &self,
        now: Micros,
        request: &TrackedRequest,
        ran: MayHaveRun,
        to: Option<Site>,
    ) -> Result<(), Violation> {
        let Some(class) = self.classes.get(request.class) else {
            return Ok(());
        };
        match class.idempotency {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => {
                return violation(Rule::NoEffectTwice, "an attempt may have run")
            }
            Idempotency::WithKey => {}
        }
        if now >= ran.sent.saturating_add(class.deduplication_window) {
            return violation(Rule::NoEffectTwice, "the window of repeats is over");
        }
        let same = |field: fn(Site) -> u16| matches!((ran.site, to), (Some(a), Some(b)) if field(a) == field(b));
        let inside = match class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => same(|site| u16::from(site.zone)),
            DeduplicationScope::Rack => same(|site| site.cell),
        };
        match inside {
            true => Ok(()),
            false => violation(
                Rule::NoEffectTwice,
                "the engine is not in the group that drops repeats",
            ),
        }
    }

    /// An attempt ended.
    pub fn ended(&mut self, id: RequestId, number: u16, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(last) = request.last.as_mut().filter(|last| last.number == number) else {
            return;
        };
        last.outcome = Some(outcome);
        if !last.reads && outcome.may_have_run() && request.may_have_run.is_none() {
            request.may_have_run = Some(MayHaveRun {
                site: last.site,
                sent: last.sent,
            });
        }
    }

    /// A request is about to get its final answer. Without a violation it has it from now on.
    ///
    /// # Errors
    /// When this answer may not be given.
    pub fn answer(&mut self, id: RequestId, kind: AnswerKind) -> Result<(), Violation> {
        let Some(request) = self.requests.get_mut(&id) else {
            return violation(Rule::OneAnswer, "the request is not open");
        };
        if request.answered {
            return violation(Rule::OneAnswer, "the request has its answer");
        }
        if kind == AnswerKind::Rejected {
            let class = self.classes.get(request.class);
            let harmless = class.is_none_or(|class| match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::WithKey => {
                    class.deduplication_scope == DeduplicationScope::All
                        || request.may_have_run.is_none()
                }
                Idempotency::NonIdempotent => request.may_have_run.is_none(),
            });
            let write_out = request
                .last
                .is_some_and(|last| !last.reads && last.outcome.is_none());
            let safe = class.is_none_or(|class| class.idempotency == Idempotency::Idempotent);
            if !harmless || (write_out && !safe) {
                return violation(Rule::HarmlessRefusal, "an attempt may have run");
            }
        }
        request.answered = true;
        Ok(())
    }

    /// A request is over: it is answered and has nothing out.
    ///
    /// # Errors
    /// When it is not.
    pub fn forget(&mut self, id: RequestId) -> Result<(), Violation> {
        match self.requests.remove(&id) {
            Some(request) if !request.answered => {
                violation(Rule::OneAnswer, "forgotten without an answer")
            }
            Some(_) => Ok(()),
            None => violation(Rule::OneAnswer, "forgotten twice"),
        }
    }
}
