//! Run-time checks of the node's invariants: every send, retry, final answer and change of the node's phase passes a
//! guard before it takes effect.
//!
//! The guard is independent of the decisions. It keeps a state machine for each open request and one for the node, and
//! returns which step would break a rule; the caller counts the violation and skips the step. No I/O, no clock.

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
    NoSendAfterAnswer,
    /// A request has one attempt in flight at a time.
    OneAttempt,
    /// A request that may have run is not run again, unless its engines drop repeats.
    NoDuplicateExecution,
    /// A rejection promises that trying again is harmless.
    HarmlessRejection,
    /// No new request goes to a draining engine after the drain grace.
    NoSendToDraining,
    /// The node starts, serves, stops and has stopped, in this order.
    NodePhase,
}

impl Rule {
    /// All rules with the names that metrics and logs use, in the order of their declaration.
    pub const ALL: [(Rule, &'static str); 7] = [
        (Rule::OneAnswer, "one_answer"),
        (Rule::NoSendAfterAnswer, "nothing_after_answer"),
        (Rule::OneAttempt, "one_attempt"),
        (Rule::NoDuplicateExecution, "no_effect_twice"),
        (Rule::HarmlessRejection, "harmless_refusal"),
        (Rule::NoSendToDraining, "nothing_to_draining"),
        (Rule::NodePhase, "node_phase"),
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        Rule::ALL[self as usize].1
    }
}

/// A step that was skipped, because it would break a rule.
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
    /// The previous stage (prefill) succeeded.
    NextStage,
    /// The previous attempt ended with this outcome.
    Retry(Outcome),
}

/// A request's final answer, as far as the rules distinguish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Its stream was complete.
    Served,
    /// Rejected: trying again is harmless.
    Rejected,
    /// Failed: nothing is promised.
    Failed,
    /// Its client disconnected and gets no answer.
    ClientDisconnected,
}

/// The phase of the node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// It has no endpoint list yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes the requests that it accepted.
    Stopping,
    /// It has ended.
    Stopped,
}

/// The endpoint of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// It only prefills the prompt, which has no effect that must not happen twice.
    pub prefill_only: bool,
}

/// Where an endpoint is.
#[derive(Clone, Copy, Debug)]
struct Location {
    zone: u8,
    rack: u16,
}

/// The latest attempt of a request.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u16,
    prefill_only: bool,
    sent: Micros,
    location: Option<Location>,
    /// How it ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

/// An attempt that may have run: where and when it was sent.
#[derive(Clone, Copy, Debug)]
struct MayHaveRun {
    location: Option<Location>,
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
    locations: BTreeMap<EndpointId, Location>,
    /// Since when each draining endpoint is known to drain.
    draining: BTreeMap<EndpointId, Micros>,
}

impl Guard {
    /// The guard of a node that starts.
    pub fn new(settings: &Settings) -> Guard {
        Guard {
            classes: settings.classes.clone(),
            drain_grace: settings.drain_grace,
            phase: NodePhase::Starting,
            requests: BTreeMap::new(),
            locations: BTreeMap::new(),
            draining: BTreeMap::new(),
        }
    }

    /// The node's phase.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// The node enters a phase; entering the current one is no change.
    ///
    /// # Errors
    /// When the phase is over, or requests are still open at the end.
    pub fn enter_phase(&mut self, phase: NodePhase) -> Result<(), Violation> {
        if phase < self.phase {
            return violation(Rule::NodePhase, "a phase that is over begins again");
        }
        if phase == NodePhase::Stopped && self.requests.values().any(|r| !r.answered) {
            return violation(Rule::NodePhase, "the node ends before its requests");
        }
        self.phase = phase;
        Ok(())
    }

    /// The endpoint list changed.
    pub fn update_endpoints(&mut self, now: Micros, kind: ListKind, endpoints: &[Endpoint]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: BTreeSet<EndpointId> =
                endpoints.iter().map(|endpoint| endpoint.id).collect();
            self.locations.retain(|id, _| named.contains(id));
            self.draining.retain(|id, _| named.contains(id));
        }
        for endpoint in endpoints {
            match endpoint.state {
                EndpointState::Ready => {
                    self.draining.remove(&endpoint.id);
                }
                EndpointState::Draining => {
                    self.draining.entry(endpoint.id).or_insert(now);
                }
                EndpointState::Removed => {
                    self.draining.remove(&endpoint.id);
                    self.locations.remove(&endpoint.id);
                    continue;
                }
            }
            self.locations.insert(
                endpoint.id,
                Location {
                    zone: endpoint.zone,
                    rack: endpoint.rack,
                },
            );
        }
    }

    /// A request is accepted; its client waits until `deadline`.
    ///
    /// # Errors
    /// When a request with this id is open, or the node has stopped.
    pub fn accept(
        &mut self,
        id: RequestId,
        class: usize,
        deadline: Micros,
    ) -> Result<(), Violation> {
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

    /// An attempt is about to be sent. Without a violation it counts as in flight from now on.
    ///
    /// # Errors
    /// When it may not be sent.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        target: AttemptTarget,
    ) -> Result<AttemptReason, Violation> {
        let location = self.locations.get(&target.endpoint).copied();
        let Some(request) = self.requests.get(&id) else {
            return Err(Violation {
                rule: Rule::NoSendAfterAnswer,
                reason: "the request is not open",
            });
        };
        self.check_send(now, request, target)?;
        let reason = match request.last.map(|last| last.outcome) {
            None => AttemptReason::First,
            Some(Some(Outcome::Prefilled)) => AttemptReason::NextStage,
            Some(Some(outcome)) => AttemptReason::Retry(outcome),
            Some(None) => AttemptReason::Retry(Outcome::Cancelled),
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.last = Some(Attempt {
                number,
                prefill_only: target.prefill_only,
                sent: now,
                location,
                outcome: None,
            });
        }
        Ok(reason)
    }

    fn check_send(
        &self,
        now: Micros,
        request: &TrackedRequest,
        target: AttemptTarget,
    ) -> Result<(), Violation> {
        if request.answered {
            return violation(Rule::NoSendAfterAnswer, "the request has its answer");
        }
        if now > request.deadline {
            return violation(Rule::NoSendAfterAnswer, "the client's time is over");
        }
        if request.last.is_some_and(|last| last.outcome.is_none()) {
            return violation(Rule::OneAttempt, "the attempt before is out");
        }
        let draining_since = self.draining.get(&target.endpoint);
        if draining_since.is_some_and(|since| now > since.saturating_add(self.drain_grace)) {
            return violation(
                Rule::NoSendToDraining,
                "the engine drains, and the grace is over",
            );
        }
        match request.may_have_run.filter(|_| !target.prefill_only) {
            Some(ran) => {
                let to = self.locations.get(&target.endpoint).copied();
                self.check_repeat(now, request, ran, to)
            }
            None => Ok(()),
        }
    }

    fn check_repeat(
        &self,
        now: Micros,
        request: &TrackedRequest,
        ran: MayHaveRun,
        to: Option<Location>,
    ) -> Result<(), Violation> {
        let Some(class) = self.classes.get(request.class) else {
            return Ok(());
        };
        match class.idempotency {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => {
                return violation(Rule::NoDuplicateExecution, "an attempt may have run")
            }
            Idempotency::WithKey => {}
        }
        if now >= ran.sent.saturating_add(class.deduplication_window) {
            return violation(Rule::NoDuplicateExecution, "the window of repeats is over");
        }
        let same = |field: fn(Location) -> u16| matches!((ran.location, to), (Some(a), Some(b)) if field(a) == field(b));
        let inside = match class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => same(|location| u16::from(location.zone)),
            DeduplicationScope::Rack => same(|location| location.rack),
        };
        match inside {
            true => Ok(()),
            false => violation(
                Rule::NoDuplicateExecution,
                "the engine is not in the group that drops repeats",
            ),
        }
    }

    /// An attempt ended.
    pub fn end_attempt(&mut self, id: RequestId, number: u16, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(last) = request.last.as_mut().filter(|last| last.number == number) else {
            return;
        };
        last.outcome = Some(outcome);
        if !last.prefill_only && outcome.may_have_run() && request.may_have_run.is_none() {
            request.may_have_run = Some(MayHaveRun {
                location: last.location,
                sent: last.sent,
            });
        }
    }

    /// A request is about to get its final answer. Without a violation it counts as answered from now on.
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
            let decode_in_flight = request
                .last
                .is_some_and(|last| !last.prefill_only && last.outcome.is_none());
            let idempotent = class.is_none_or(|class| class.idempotency == Idempotency::Idempotent);
            if !harmless || (decode_in_flight && !idempotent) {
                return violation(Rule::HarmlessRejection, "an attempt may have run");
            }
        }
        request.answered = true;
        Ok(())
    }

    /// A request is over: it is answered and has no attempt in flight.
    ///
    /// # Errors
    /// When it is not answered.
    pub fn remove(&mut self, id: RequestId) -> Result<(), Violation> {
        match self.requests.remove(&id) {
            Some(request) if !request.answered => {
                violation(Rule::OneAnswer, "forgotten without an answer")
            }
            Some(_) => Ok(()),
            None => violation(Rule::OneAnswer, "forgotten twice"),
        }
    }
}
