//! Run-time checks of a node's invariants: every attempt, retry, final answer and phase change of the node is checked by a
//! [`Guard`] before it takes effect.
//!
//! The guard shares no code with the router, so that a defect of the router does not disable the check. It has one state
//! machine for each open request and one for the node. If a step would break a rule, the guard returns a [`Violation`]; the
//! caller counts it and skips the step. The guard does no I/O and reads no clock.

use crate::interface::{
    ClassSettings, DeduplicationScope, Endpoint, EndpointId, EndpointState, Idempotency, ListKind,
    Micros, Outcome, RequestId, Settings,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// An invariant that every step is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets exactly one final answer.
    OneAnswer,
    /// No attempt is sent for a request that is answered or whose deadline has passed.
    NoSendAfterAnswer,
    /// A request has at most one attempt in flight.
    OneAttempt,
    /// A request that may have run is not run again, unless its engines drop repeats.
    NoDuplicateExecution,
    /// A request is rejected only if a retry by the client is harmless.
    HarmlessRejection,
    /// No new request is sent to a draining engine after [`Settings::drain_grace`].
    NoSendToDraining,
    /// The node passes the phases in the order of [`NodePhase`].
    NodePhase,
}

impl Rule {
    /// All rules with their names in metrics and logs, in the order of declaration.
    pub const ALL: [(Rule, &'static str); 7] = [
        (Rule::OneAnswer, "one_answer"),
        (Rule::NoSendAfterAnswer, "nothing_after_answer"),
        (Rule::OneAttempt, "one_attempt"),
        (Rule::NoDuplicateExecution, "no_effect_twice"),
        (Rule::HarmlessRejection, "harmless_refusal"),
        (Rule::NoSendToDraining, "nothing_to_draining"),
        (Rule::NodePhase, "node_phase"),
    ];

    /// Returns the rule's name in metrics and logs.
    pub fn name(self) -> &'static str {
        Rule::ALL[self as usize].1
    }
}

/// The reason why a step must not be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that the step would break.
    pub rule: Rule,
    /// How the step would break it, for the log.
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

/// Why an attempt is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// It is the first attempt of the request.
    First,
    /// The previous attempt prefilled the prompt; this one decodes.
    NextStage,
    /// The previous attempt failed with this outcome.
    Retry(Outcome),
}

/// The kinds of final answers that the rules distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The response was streamed completely.
    Served,
    /// The request was rejected; a retry is harmless.
    Rejected,
    /// The request failed; a retry is not known to be harmless.
    Failed,
    /// The client disconnected and gets no answer.
    ClientDisconnected,
}

/// The phases of a node's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// The node has no endpoint list yet.
    Starting,
    /// The node serves requests.
    Serving,
    /// The node shuts down and finishes the requests that it accepted.
    Stopping,
    /// The node has shut down and has no open requests.
    Stopped,
}

/// Where an attempt is sent, and for which stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Whether the attempt only prefills the prompt. A prefill has no side effect, so it may be repeated.
    pub prefill_only: bool,
}

/// The zone and rack of an endpoint, for the deduplication scopes.
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
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

/// The first attempt of a request that may have run: where and when it was sent.
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

/// Checks the invariants of one node. See the [module documentation](self).
#[derive(Clone, Debug)]
pub struct Guard {
    classes: Vec<ClassSettings>,
    drain_grace: Micros,
    phase: NodePhase,
    requests: BTreeMap<RequestId, TrackedRequest>,
    locations: BTreeMap<EndpointId, Location>,
    /// When each draining endpoint was first listed as draining.
    draining: BTreeMap<EndpointId, Micros>,
}

impl Guard {
    /// Returns the guard of a node that has just started, in [`NodePhase::Starting`].
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

    /// Returns the current phase of the node.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// Moves the node to a phase. Entering the current phase again changes nothing.
    ///
    /// # Errors
    /// Fails if the node is past this phase, or if it would be [`NodePhase::Stopped`] with unanswered requests.
    pub fn enter_phase(&mut self, phase: NodePhase) -> Result<(), Violation> {
        if phase < self.phase {
            return violation(Rule::NodePhase, "the node is past this phase");
        }
        if phase == NodePhase::Stopped && self.requests.values().any(|r| !r.answered) {
            return violation(Rule::NodePhase, "the node stops with unanswered requests");
        }
        self.phase = phase;
        Ok(())
    }

    /// Updates the locations and the draining endpoints from a changed endpoint list.
    pub fn update_endpoints(&mut self, now: Micros, kind: ListKind, endpoints: &[Endpoint]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<EndpointId> =
                endpoints.iter().map(|endpoint| endpoint.id).collect();
            self.locations.retain(|id, _| listed.contains(id));
            self.draining.retain(|id, _| listed.contains(id));
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

    /// Records that the node accepts a request. No attempt may be sent for it after `deadline`.
    ///
    /// # Errors
    /// Fails if a request with this id is open, or if the node has stopped.
    pub fn accept(
        &mut self,
        id: RequestId,
        class: usize,
        deadline: Micros,
    ) -> Result<(), Violation> {
        if self.phase == NodePhase::Stopped {
            return violation(
                Rule::NodePhase,
                "a request is accepted after the node stopped",
            );
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
                "a request is accepted with the id of an open one",
            ),
        }
    }

    /// Checks an attempt that is about to be sent, and records it as in flight. Returns why the attempt is started.
    ///
    /// # Errors
    /// Fails if the attempt must not be sent. Then nothing is recorded.
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
            return violation(Rule::NoSendAfterAnswer, "the request is already answered");
        }
        if now > request.deadline {
            return violation(Rule::NoSendAfterAnswer, "the request's deadline has passed");
        }
        if request.last.is_some_and(|last| last.outcome.is_none()) {
            return violation(Rule::OneAttempt, "the previous attempt is in flight");
        }
        let draining_since = self.draining.get(&target.endpoint);
        if draining_since.is_some_and(|since| now > since.saturating_add(self.drain_grace)) {
            return violation(
                Rule::NoSendToDraining,
                "the engine drains, and its drain grace is over",
            );
        }
        match request.may_have_run.filter(|_| !target.prefill_only) {
            Some(first_run) => {
                let to = self.locations.get(&target.endpoint).copied();
                self.check_repeat(now, request, first_run, to)
            }
            None => Ok(()),
        }
    }

    fn check_repeat(
        &self,
        now: Micros,
        request: &TrackedRequest,
        first_run: MayHaveRun,
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
        if now >= first_run.sent.saturating_add(class.deduplication_window) {
            return violation(
                Rule::NoDuplicateExecution,
                "the deduplication window is over",
            );
        }
        let same = |field: fn(Location) -> u16| matches!((first_run.location, to), (Some(a), Some(b)) if field(a) == field(b));
        let inside = match class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => same(|location| u16::from(location.zone)),
            DeduplicationScope::Rack => same(|location| location.rack),
        };
        match inside {
            true => Ok(()),
            false => violation(
                Rule::NoDuplicateExecution,
                "the engine is outside the deduplication scope",
            ),
        }
    }

    /// Records the outcome of an attempt. Attempts other than the latest one are ignored.
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

    /// Checks a final answer that is about to be given, and records the request as answered.
    ///
    /// # Errors
    /// Fails if this answer must not be given. Then the request stays unanswered.
    pub fn answer(&mut self, id: RequestId, kind: AnswerKind) -> Result<(), Violation> {
        let Some(request) = self.requests.get_mut(&id) else {
            return violation(Rule::OneAnswer, "the request is not open");
        };
        if request.answered {
            return violation(Rule::OneAnswer, "the request is already answered");
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

    /// Removes a request that is answered and has no attempt in flight.
    ///
    /// # Errors
    /// Fails if the request is unanswered or not open.
    pub fn remove(&mut self, id: RequestId) -> Result<(), Violation> {
        match self.requests.remove(&id) {
            Some(request) if !request.answered => {
                violation(Rule::OneAnswer, "the request is removed without an answer")
            }
            Some(_) => Ok(()),
            None => violation(Rule::OneAnswer, "the request is removed twice"),
        }
    }
}
