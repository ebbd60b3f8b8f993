//! Checks the five rules from the events that engines, clients and the test script observed. What a node itself reports is
//! not used as evidence.
//!
//! Time in which the whole process did not run is not part of any duration that is compared with a limit.

mod stalls;

use crate::event_log::{
    AttemptKey, CallIdempotency, CallKind, ClientOutcome, KeyScope, LoggedEvent, ObservedEvent,
    RetentionEnd,
};
use ivyward_runtime::Micros;
use stalls::Stalls;
use std::collections::BTreeMap;

/// The limits that the rules state, and the tolerances of the checker. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Longest time on this machine between an action of a node and its observation by an engine.
    pub delivery_allowance: Micros,
    /// For rule 3 only: longest time between a notification of a node and the observation by an engine of what the node does
    /// after it.
    pub notification_allowance: Micros,
    /// Rule 3: how long after the notification of a drain a node may still send calls to the engine.
    pub drain_grace: Micros,
    /// Rule 4: a cold engine may be sent at most this multiple of its current capacity within the window. 0 disables the
    /// check.
    pub overload_multiple: f64,
    /// Rule 4: the window over which calls are counted.
    pub overload_window: Micros,
    /// Rule 4: share of the capacity with which a cold engine starts.
    pub initial_capacity: f64,
    /// Rule 4: time until a cold engine is warm.
    pub warm_up_duration: Micros,
    /// Rule 5: longest time for which an engine may reserve a KV state or decode slot of a request without a running
    /// attempt.
    pub release_within: Micros,
    /// Rack and zone of each engine, for requests whose key has the scope of a rack or zone.
    pub locations: BTreeMap<u64, (u16, u8)>,
}

/// The result of checking one rule.
#[derive(Clone, Debug, Default)]
pub struct RuleResult {
    /// Number of checks.
    pub checked: u64,
    /// Descriptions of the first 20 violations.
    pub violations: Vec<String>,
    /// Number of violations.
    pub violation_count: u64,
}

/// How long a release may take to arrive after its machine is reachable again.
const UNREACHABLE_TOLERANCE: Micros = 1_000_000;
/// How far the deadline stated to an engine may exceed the client's deadline.
const DEADLINE_SLACK: Micros = 150_000;
/// Maximum number of violations that are described for each rule. Further ones are only counted.
const MAX_DESCRIPTIONS: usize = 20;

impl RuleResult {
    fn check(&mut self, passed: bool, text: impl FnOnce() -> String) {
        self.checked += 1;
        if !passed {
            self.violation_count += 1;
            if self.violations.len() < MAX_DESCRIPTIONS {
                self.violations.push(text());
            }
        }
    }
}

/// The results of all checks.
#[derive(Clone, Debug, Default)]
pub struct RuleReport {
    /// Results of the five rules, in the order of [`RULES`].
    pub rules: [RuleResult; 5],
    /// Result of the check that no two attempts of a call run at the same time.
    pub overlap: RuleResult,
    /// Result of the check that no deadline stated to an engine exceeds its client's.
    pub deadlines: RuleResult,
    /// Longest observed overlap of two attempts of a call, in microseconds.
    pub longest_overlap: Micros,
    /// Number of calls by outcome, as clients observed it.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Number of reservations that engines released after their retention time.
    pub expired: u64,
    /// Number of calls that timed out although no rule is violated: their node was killed, or the process did not run.
    pub excused_timeouts: u64,
    /// Total time in microseconds in which the process did not run.
    pub stalled: Micros,
}

/// Names of the rules, as printed in reports.
pub const RULES: [&str; 5] = [
    "no request lost",
    "no effect twice",
    "drains kept",
    "cold not pushed",
    "nothing pinned",
];

impl RuleReport {
    /// Returns the number of rules without violations. Exceeded deadlines count against the first rule, overlapping attempts
    /// against the second.
    pub fn rules_passed(&self) -> usize {
        let related = [
            self.deadlines.violation_count,
            self.overlap.violation_count,
            0,
            0,
            0,
        ];
        self.rules
            .iter()
            .zip(related)
            .filter(|(rule, related)| rule.violation_count + related == 0)
            .count()
    }
    /// Returns descriptions of the violations found, at most 20 for each check.
    pub fn violations(&self) -> Vec<String> {
        let rules = self
            .rules
            .iter()
            .zip(RULES)
            .flat_map(|(r, name)| r.violations.iter().map(move |b| (name, b)));
        let overlap = self
            .overlap
            .violations
            .iter()
            .map(|b| ("attempts side by side", b));
        let deadlines = self
            .deadlines
            .violations
            .iter()
            .map(|b| ("deadline told to an engine", b));
        rules
            .chain(overlap)
            .chain(deadlines)
            .map(|(name, b)| format!("{name}: {b}"))
            .collect()
    }
}

struct AttemptRecord {
    engine: u64,
    kind: CallKind,
    arrived: Micros,
    ended: Option<Micros>,
    call: u64,
}

struct CallRecord {
    at: Micros,
    until: Micros,
    operation: u64,
    node: usize,
    idempotency: CallIdempotency,
    outcome: Option<(Micros, ClientOutcome)>,
}

/// Checks a completed run. `end` is the time by which all pending calls and attempts had the time to end.
pub fn check(log: &[LoggedEvent], limits: &RuleLimits, end: Micros) -> RuleReport {
    check_log(log, limits, end, None)
}

/// Checks a run that is still in progress. What can still be completed correctly, such as a call whose client is waiting or
/// an attempt that has not ended, is not a violation yet.
pub fn check_so_far(log: &[LoggedEvent], limits: &RuleLimits, now: Micros) -> RuleReport {
    check_log(log, limits, now, Some(now))
}

fn check_log(
    log: &[LoggedEvent],
    limits: &RuleLimits,
    end: Micros,
    now: Option<Micros>,
) -> RuleReport {
    let (mut recorded, mut out) = (
        RecordedEvents {
            now,
            stalls: Stalls::of(log),
            ..RecordedEvents::default()
        },
        RuleReport::default(),
    );
    out.stalled = recorded.stalls.within(0, Micros::MAX);
    for logged in log {
        recorded.record(logged);
        recorded.check_drains(logged, limits, &mut out);
        recorded.check_cold_engine(logged, limits, &mut out);
        recorded.check_deadline(logged, limits, &mut out);
    }
    recorded
        .calls
        .keys()
        .for_each(|call| recorded.check_answered(*call, limits, &mut out));
    recorded
        .operations
        .keys()
        .for_each(|operation| recorded.check_repeats(*operation, limits, &mut out));
    recorded
        .reservations
        .iter()
        .for_each(|reservation| recorded.check_reservation(reservation, limits, end, &mut out));
    recorded
        .by_call
        .values()
        .for_each(|keys| recorded.check_overlaps(keys, limits, &mut out));
    out
}

/// Checks the rules during a run: after each event it checks what the event may have violated. Violations that arise from
/// the passage of time alone (an unanswered call, a reservation that is not released) are found by [`check_so_far`].
pub struct RuleChecker {
    recorded: RecordedEvents,
    limits: RuleLimits,
}

impl RuleChecker {
    /// Creates a checker that has recorded no events.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        RuleChecker {
            recorded: RecordedEvents::default(),
            limits,
        }
    }
    /// Records an event. Returns a description of the first violation that it caused, if any.
    pub fn step(&mut self, logged: &LoggedEvent) -> Option<String> {
        let (limits, mut out) = (&self.limits, RuleReport::default());
        self.recorded.now = Some(logged.at);
        self.recorded.record(logged);
        let recorded = &self.recorded;
        recorded.check_drains(logged, limits, &mut out);
        recorded.check_cold_engine(logged, limits, &mut out);
        recorded.check_deadline(logged, limits, &mut out);
        let mut check_call = |call: u64| {
            if let Some(known) = recorded.calls.get(&call) {
                recorded.check_answered(call, limits, &mut out);
                recorded.check_repeats(known.operation, limits, &mut out);
            }
            if let Some(keys) = recorded.by_call.get(&call) {
                recorded.check_overlaps(keys, limits, &mut out);
            }
        };
        match logged.event {
            ObservedEvent::AttemptArrived { call, .. }
            | ObservedEvent::AttemptRan { call, .. }
            | ObservedEvent::CallEnded { call, .. } => check_call(call),
            ObservedEvent::AttemptEnded { key, .. } => recorded
                .attempts
                .get(&key)
                .into_iter()
                .for_each(|t| check_call(t.call)),
            ObservedEvent::Released {
                engine,
                key,
                is_decode_slot,
                ..
            } => {
                let this = |k: &&Reservation| (k.0, k.1, k.2) == (engine, key, is_decode_slot);
                if let Some(reservation) = recorded.reservations.iter().rev().find(this) {
                    recorded.check_reservation(reservation, limits, logged.at, &mut out);
                }
            }
            _ => {}
        }
        out.violations().into_iter().next()
    }
}

/// A reservation: engine, attempt, whether it is a decode slot, when it began, and when and how it ended.
type Reservation = (
    u64,
    AttemptKey,
    bool,
    Micros,
    Option<(Micros, RetentionEnd)>,
);

#[derive(Default)]
struct RecordedEvents {
    calls: BTreeMap<u64, CallRecord>,
    attempts: BTreeMap<AttemptKey, AttemptRecord>,
    by_call: BTreeMap<u64, Vec<AttemptKey>>,
    /// Attempts that had an effect, by call: time, engine and attempt.
    ran: BTreeMap<u64, Vec<(Micros, u64, AttemptKey)>>,
    /// Calls to reserve a decode slot, by client call: time and engine.
    reserve_calls: BTreeMap<u64, Vec<(Micros, u64)>>,
    /// Client calls by operation.
    operations: BTreeMap<u64, Vec<u64>>,
    /// Completed periods in which an engine was down.
    down: BTreeMap<u64, Vec<(Micros, Micros)>>,
    /// Since when an engine is down.
    open_down: BTreeMap<u64, Micros>,
    /// When an engine last started, whether it was cold, and its capacity when warm.
    up: BTreeMap<u64, (Micros, bool, f64)>,
    arrivals: BTreeMap<u64, Vec<Micros>>,
    /// When a node was notified that an engine takes no new attempts, by node run and engine.
    drain_notified_at: BTreeMap<(u64, u64), Micros>,
    killed_nodes: Vec<(usize, u64, Micros)>,
    /// The current time if the run is in progress; `None` if it is complete.
    now: Option<Micros>,
    /// Periods in which the process did not run.
    stalls: Stalls,
    /// Periods in which each engine's machine was unreachable.
    unreachable: BTreeMap<u64, Vec<(Micros, Micros)>>,
    open_unreachable: BTreeMap<u64, Micros>,
    /// All reservations, completed and open.
    reservations: Vec<Reservation>,
    /// Indexes of the open reservations in the list above.
    open_reservations: BTreeMap<(u64, AttemptKey, bool), usize>,
}

impl RecordedEvents {
    fn record(&mut self, logged: &LoggedEvent) {
        let LoggedEvent { at, event } = *logged;
        match event {
            ObservedEvent::AttemptArrived {
                engine,
                key,
                call,
                kind,
                ..
            } => {
                self.arrivals.entry(engine).or_default().push(at);
                if kind == CallKind::Reserve {
                    self.reserve_calls
                        .entry(call)
                        .or_default()
                        .push((at, engine));
                } else {
                    self.attempts.insert(
                        key,
                        AttemptRecord {
                            engine,
                            kind,
                            arrived: at,
                            ended: None,
                            call,
                        },
                    );
                    self.by_call.entry(call).or_default().push(key);
                }
            }
            ObservedEvent::AttemptEnded { engine, key } => {
                if let Some(t) = self.attempts.get_mut(&key).filter(|t| t.engine == engine) {
                    t.ended.get_or_insert(at);
                }
            }
            ObservedEvent::AttemptRan { engine, key, call } => {
                self.ran.entry(call).or_default().push((at, engine, key))
            }
            ObservedEvent::Retained {
                engine,
                key,
                is_decode_slot,
            } => {
                self.open_reservations
                    .insert((engine, key, is_decode_slot), self.reservations.len());
                self.reservations
                    .push((engine, key, is_decode_slot, at, None));
            }
            ObservedEvent::Released {
                engine,
                key,
                is_decode_slot,
                how,
            } => {
                if let Some(i) = self
                    .open_reservations
                    .remove(&(engine, key, is_decode_slot))
                {
                    self.reservations[i].4 = Some((at, how));
                }
            }
            ObservedEvent::EngineStarted {
                engine,
                cold,
                capacity,
            } => {
                if let Some(from) = self.open_down.remove(&engine) {
                    self.down.entry(engine).or_default().push((from, at));
                }
                self.up.insert(engine, (at, cold, capacity));
            }
            ObservedEvent::EngineStopped { engine, .. } => {
                self.open_down.entry(engine).or_insert(at);
                for t in self.attempts.values_mut().filter(|t| t.engine == engine) {
                    t.ended.get_or_insert(at);
                }
            }
            ObservedEvent::CallStarted {
                call,
                operation,
                node,
                idempotency,
                until,
            } => {
                self.calls.insert(
                    call,
                    CallRecord {
                        at,
                        until,
                        operation,
                        node,
                        idempotency,
                        outcome: None,
                    },
                );
                self.operations.entry(operation).or_default().push(call);
            }
            ObservedEvent::CallEnded { call, outcome } => {
                if let Some(c) = self.calls.get_mut(&call) {
                    c.outcome = Some((at, outcome));
                }
            }
            // If a machine is reported unreachable twice in a row, the first report counts.
            ObservedEvent::EngineUnreachable {
                engine,
                unreachable: true,
            } => {
                self.open_unreachable.entry(engine).or_insert(at);
            }
            ObservedEvent::EngineUnreachable {
                engine,
                unreachable: false,
            } => {
                let period = self.open_unreachable.remove(&engine).map(|from| (from, at));
                self.unreachable.entry(engine).or_default().extend(period);
            }
            ObservedEvent::NodeKilled { node, run } => self.killed_nodes.push((node, run, at)),
            // A repeated notification does not restart the drain grace period.
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: false,
            } => {
                self.drain_notified_at.entry((node, engine)).or_insert(at);
            }
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: true,
            } => drop(self.drain_notified_at.remove(&(node, engine))),
            ObservedEvent::FirstTokenReceived { .. }
            | ObservedEvent::EnginePaused { .. }
            | ObservedEvent::ProcessStalled { .. } => {}
        }
    }

    /// Returns whether an engine was down at some time between `from` and `to`, so that it may have missed events. A period
    /// without observations lasts for `delivery_allowance` after the engine's restart.
    fn may_have_missed(
        &self,
        engine: u64,
        from: Micros,
        to: Micros,
        delivery_allowance: Micros,
    ) -> bool {
        self.down
            .get(&engine)
            .into_iter()
            .flatten()
            .any(|(a, b)| *a <= to && b.saturating_add(delivery_allowance) >= from)
            || self.open_down.get(&engine).is_some_and(|a| *a <= to)
    }

    fn node_killed(&self, node: usize, from: Micros, to: Micros) -> bool {
        self.killed_nodes
            .iter()
            .any(|(n, _, at)| *n == node && *at >= from && *at <= to)
    }

    /// Returns whether `at` is more than `allowed` after `since`.
    fn is_later(&self, at: Micros, since: Micros, allowed: Micros) -> bool {
        self.stalls.running_time(since, at) > allowed
    }

    fn check_answered(&self, id: u64, limits: &RuleLimits, out: &mut RuleReport) {
        let call = &self.calls[&id];
        let name = match call.outcome.map(|h| h.1) {
            None => "nothing",
            Some(ClientOutcome::Served) => "served",
            Some(ClientOutcome::Rejected) => "refused",
            Some(ClientOutcome::Failed) => "failed",
            Some(ClientOutcome::Unreachable) => "unreachable",
            Some(ClientOutcome::Disconnected) => "left",
            Some(ClientOutcome::TimedOut) => "gave up",
            Some(ClientOutcome::Wrong) => "wrong",
        };
        *out.outcomes.entry(name).or_default() += 1;
        let Some((at, how)) = call.outcome else {
            if self
                .now
                .is_some_and(|now| now <= call.until.saturating_add(limits.delivery_allowance))
            {
                return;
            }
            out.rules[0].check(false, || format!("call {id:x} received no response"));
            return;
        };
        // The client has to retry calls that were pending on a killed node. The client may have sent its call before it
        // noticed that the node was killed.
        let since = call.at.saturating_sub(limits.delivery_allowance);
        let killed = self.node_killed(
            call.node,
            since,
            at.saturating_add(limits.delivery_allowance),
        );
        let is_excused = how == ClientOutcome::TimedOut
            && (killed || self.stalled_at_deadline(call, at, limits));
        out.excused_timeouts += u64::from(is_excused);
        let answered = matches!(
            how,
            ClientOutcome::Served
                | ClientOutcome::Rejected
                | ClientOutcome::Failed
                | ClientOutcome::Disconnected
        ) || how == ClientOutcome::Unreachable && killed
            || is_excused;
        out.rules[0].check(answered, || {
            let wait = (call.until - call.at) / 1000;
            format!(
                "call {id:x} ended as {name} after {} ms of its {wait} ms",
                (at - call.at) / 1000
            )
        });
        // After the call has ended, no attempt is sent for it and no decode slot is reserved.
        for (arrived, engine) in self.reserve_calls.get(&id).into_iter().flatten() {
            let late = self.is_later(*arrived, at, limits.delivery_allowance);
            out.rules[0].check(
                !late || self.may_have_missed(*engine, at, *arrived, limits.delivery_allowance),
                || {
                    format!(
                        "a reservation for call {id:x} arrived {} ms after the call ended",
                        (arrived - at) / 1000
                    )
                },
            );
        }
        for key in self.by_call.get(&id).into_iter().flatten() {
            let t = &self.attempts[key];
            let late = self.is_later(t.arrived, at, limits.delivery_allowance);
            out.rules[0].check(
                !late || self.may_have_missed(t.engine, at, t.arrived, limits.delivery_allowance),
                || {
                    format!(
                        "attempt {} of call {id:x} arrived {} ms after the call ended",
                        key.attempt,
                        (t.arrived - at) / 1000
                    )
                },
            );
        }
    }

    /// Returns whether the process did not run when the final answer of a call was due.
    fn stalled_at_deadline(&self, call: &CallRecord, ended: Micros, limits: &RuleLimits) -> bool {
        let due = call.until.saturating_sub(limits.delivery_allowance);
        self.stalls.within(due, ended) > 0
    }

    fn check_repeats(&self, operation: u64, limits: &RuleLimits, out: &mut RuleReport) {
        let calls = &self.operations[&operation];
        let idempotency = self.calls[&calls[0]].idempotency;
        let mut ran: Vec<(Micros, u64, AttemptKey)> = calls
            .iter()
            .flat_map(|c| self.ran.get(c).into_iter().flatten())
            .copied()
            .collect();
        ran.sort();
        let rejected_calls = calls
            .iter()
            .filter(|c| matches!(self.calls[c].outcome, Some((_, ClientOutcome::Rejected))));
        match idempotency {
            CallIdempotency::Idempotent => out.rules[1].check(true, String::new),
            CallIdempotency::NonIdempotent => {
                out.rules[1].check(ran.len() <= 1, || {
                    format!(
                        "non-idempotent request {operation:x} ran {} times",
                        ran.len()
                    )
                });
                // A rejection promises that the request had no effect.
                for call in rejected_calls {
                    let had_effect = self.ran.contains_key(call);
                    out.rules[1].check(!had_effect, || {
                        format!("non-idempotent call {call:x} ran although it was rejected")
                    });
                }
            }
            CallIdempotency::WithKey(window, scope) => {
                let location = |e: u64| limits.locations.get(&e).copied().unwrap_or_default();
                let same = |a: u64, b: u64| match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => location(a).1 == location(b).1,
                    KeyScope::Rack => location(a).0 == location(b).0,
                };
                // Once an attempt of a call may have run, later attempts stay in its scope and deduplication window.
                for call in calls {
                    let Some(first) = self.ran.get(call).and_then(|r| r.first()) else {
                        continue;
                    };
                    let keys = self.by_call.get(call).into_iter().flatten();
                    for key in keys.filter(|k| k.attempt > first.2.attempt) {
                        let t = &self.attempts[key];
                        if t.kind == CallKind::Decode {
                            let sent = self.attempts.get(&first.2).map_or(first.0, |t| t.arrived);
                            let in_scope_and_window = same(t.engine, first.1)
                                && t.arrived.saturating_sub(sent)
                                    <= window.saturating_add(limits.delivery_allowance);
                            out.rules[1].check(in_scope_and_window, || {
                                format!("keyed call {call:x} was repeated outside its key's scope or window")
                            });
                        }
                    }
                    let rejected =
                        matches!(self.calls[call].outcome, Some((_, ClientOutcome::Rejected)));
                    out.rules[1].check(!rejected || scope == KeyScope::All, || {
                        format!("keyed call {call:x} ran although it was rejected, which its key's scope does not allow")
                    });
                }
            }
        }
    }

    fn check_drains(&self, logged: &LoggedEvent, limits: &RuleLimits, out: &mut RuleReport) {
        match logged.event {
            // Counts a check even if no call follows the notification.
            ObservedEvent::NodeNotified { ready: false, .. } => {
                out.rules[2].check(true, String::new)
            }
            ObservedEvent::AttemptArrived { engine, key, .. } => {
                let Some(since) = self.drain_notified_at.get(&(key.node, engine)) else {
                    return;
                };
                let allowed = limits
                    .drain_grace
                    .saturating_add(limits.notification_allowance);
                let late = self.is_later(logged.at, *since, allowed);
                let may_have_missed =
                    self.may_have_missed(engine, *since, logged.at, limits.delivery_allowance);
                out.rules[2].check(!late || may_have_missed, || {
                    let after = (logged.at - since) / 1000;
                    format!("engine {engine:x} received a call {after} ms after the node was notified of the drain")
                });
            }
            _ => {}
        }
    }

    fn check_cold_engine(&self, logged: &LoggedEvent, limits: &RuleLimits, out: &mut RuleReport) {
        let at = logged.at;
        match logged.event {
            ObservedEvent::EngineStopped {
                engine,
                overloaded: true,
            } => out.rules[3].check(false, || {
                format!(
                    "engine {engine:x} crashed from overload at {} ms",
                    at / 1000
                )
            }),
            ObservedEvent::AttemptArrived { engine, .. } => {
                let Some((up, true, capacity)) = self.up.get(&engine) else {
                    return;
                };
                if at >= up.saturating_add(limits.warm_up_duration) {
                    return;
                }
                let from = (*up).max(at.saturating_sub(limits.overload_window));
                let here = self.arrivals.get(&engine).into_iter().flatten();
                let received = here.rev().take_while(|t| **t >= from).count();
                let age = (at - up) as f64 / limits.warm_up_duration.max(1) as f64;
                let share = limits.initial_capacity + (1.0 - limits.initial_capacity) * age;
                let limit =
                    limits.overload_multiple * share * capacity * limits.overload_window as f64
                        / 1e6
                        + 2.0;
                out.rules[3].check(
                    limits.overload_multiple <= 0.0 || received as f64 <= limit,
                    || format!("cold engine {engine:x} received {received} calls in a window that allows {limit:.0}"),
                );
            }
            _ => {}
        }
    }

    /// Checks that the timeout stated to an engine does not exceed the client's remaining time by more than the tolerance.
    fn check_deadline(&self, logged: &LoggedEvent, limits: &RuleLimits, out: &mut RuleReport) {
        let ObservedEvent::AttemptArrived {
            call,
            timeout: Some(timeout),
            engine,
            key,
            ..
        } = logged.event
        else {
            return;
        };
        let Some(known) = self.calls.get(&call) else {
            return;
        };
        let remaining = known.until.saturating_sub(logged.at);
        // On a busy machine a call may take longer to arrive, and the timeout was stated when it was sent.
        let slack = DEADLINE_SLACK.max(limits.delivery_allowance);
        // The call was sent at most this time ago.
        let excess = timeout.saturating_sub(remaining);
        let sent_after = logged.at.saturating_sub(excess);
        let stalled = self.stalls.within(sent_after, logged.at);
        out.deadlines.check(excess <= slack.saturating_add(stalled), || {
            let attempt = key.attempt;
            format!("attempt {attempt} of call {call:x} stated a timeout of {timeout} us to engine {engine:x}, but {remaining} us remain")
        });
    }

    /// Returns until when an engine's machine was unreachable if it was between `from` and `to`; `end` if it still is.
    fn unreachable_until(
        &self,
        engine: u64,
        from: Micros,
        to: Micros,
        end: Micros,
    ) -> Option<Micros> {
        let is_open = self.open_unreachable.get(&engine).is_some_and(|a| *a <= to);
        let periods = self.unreachable.get(&engine).into_iter().flatten();
        let ended = periods
            .filter(|(a, b)| *a <= to && b.saturating_add(UNREACHABLE_TOLERANCE) >= from)
            .map(|(_, b)| b.saturating_add(UNREACHABLE_TOLERANCE))
            .max();
        if is_open {
            Some(end)
        } else {
            ended
        }
    }

    /// Returns when an attempt ended. If its engine was unreachable then, its answer may have arrived only when the machine
    /// was reachable again.
    fn end_at_node(&self, attempt: &AttemptRecord, end: Micros) -> Micros {
        let ended = attempt.ended.unwrap_or(end);
        let answered = self.unreachable_until(attempt.engine, ended, ended, end);
        answered.unwrap_or(ended).max(ended)
    }

    fn check_reservation(
        &self,
        reservation: &Reservation,
        limits: &RuleLimits,
        end: Micros,
        out: &mut RuleReport,
    ) {
        let (engine, key, is_decode_slot, from, to) = reservation;
        let how = to.map(|t| t.1);
        if how == Some(RetentionEnd::Expired) {
            out.expired += 1;
        }
        // A killed node releases nothing; the engine releases the reservation after its retention time.
        if self.killed_nodes.iter().any(|k| k.1 == key.node) {
            return;
        }
        let to = to.map_or(end, |t| t.0);
        // The periods in which an attempt of the request was running, and the longest time for which the reservation existed
        // while none was.
        let (first, last) = (
            AttemptKey { attempt: 0, ..*key },
            AttemptKey {
                attempt: u32::MAX,
                ..*key
            },
        );
        let attempts = self.attempts.range(first..=last);
        let mut busy: Vec<_> = attempts
            .map(|(_, t)| (t.arrived, self.end_at_node(t, end)))
            .collect();
        busy.sort_unstable();
        let (mut free, mut longest) = (*from, 0);
        for (a, b) in busy.into_iter().chain([(to, to)]) {
            longest = longest.max(self.stalls.running_time(free, a.min(to)));
            free = free.max(b);
        }
        let may_have_missed = self.may_have_missed(
            *engine,
            *from,
            to,
            limits.delivery_allowance + limits.release_within,
        );
        let allowed = limits
            .release_within
            .saturating_add(limits.delivery_allowance);
        // Only the engine of a reservation can release it, and no release reaches an unreachable machine. An attempt that was
        // sent to any other unreachable machine has not arrived, and does not stop the time.
        let excused = may_have_missed || self.unreachable_until(*engine, *from, to, end).is_some();
        out.rules[4].check(longest <= allowed || excused, || {
            let what = if *is_decode_slot { "a decode slot" } else { "a KV state" };
            format!(
                "engine {engine:x} reserved {what} for request {} for {} ms without a running attempt ({how:?}): {}",
                key.request,
                longest / 1000,
                self.attempt_timeline(key, *from)
            )
        });
    }

    /// Describes a request's attempts as engines observed them. Times are in milliseconds after `zero`.
    fn attempt_timeline(&self, key: &AttemptKey, zero: Micros) -> String {
        let ms = |at: Micros| (at as f64 - zero as f64) / 1e3;
        let attempts = self
            .attempts
            .iter()
            .filter(|(k, _)| (k.node, k.request) == (key.node, key.request));
        let describe = |(k, t): (&AttemptKey, &AttemptRecord)| {
            let ended = t.ended.map_or("open".into(), |at| format!("{:.1}", ms(at)));
            format!(
                "#{} {:?} at {:x} from {:.1} to {ended}",
                k.attempt,
                t.kind,
                t.engine,
                ms(t.arrived)
            )
        };
        attempts.map(describe).collect::<Vec<_>>().join(", ")
    }

    fn check_overlaps(&self, keys: &[AttemptKey], limits: &RuleLimits, out: &mut RuleReport) {
        let mut attempts: Vec<(&AttemptKey, &AttemptRecord)> =
            keys.iter().map(|k| (k, &self.attempts[k])).collect();
        attempts.sort_by_key(|(k, _)| k.attempt);
        for pair in attempts.windows(2) {
            let ((_, a), (_, b)) = (pair[0], pair[1]);
            let ended = a.ended.or(self.now).unwrap_or(Micros::MAX);
            let overlap = self.stalls.running_time(b.arrived, ended);
            let may_have_missed = self.may_have_missed(
                a.engine,
                a.arrived,
                b.arrived.saturating_add(limits.delivery_allowance),
                limits.delivery_allowance,
            );
            if !may_have_missed && ended != Micros::MAX {
                out.longest_overlap = out.longest_overlap.max(overlap);
            }
            out.overlap.check(
                overlap <= limits.delivery_allowance || may_have_missed,
                || {
                    format!(
                        "call {:x} had attempts at engines {:x} and {:x} at the same time",
                        a.call, a.engine, b.engine
                    )
                },
            );
        }
    }
}
