//! The five rules, checked from what engines, clients and the script saw. A node's own word counts for nothing.

use crate::event_log::{
    AttemptKey, CallIdempotency, CallKind, ClientOutcome, KeyScope, LoggedEvent, ObservedEvent,
    RetentionEnd,
};
use ivyward_runtime::Micros;
use std::collections::BTreeMap;

/// The rules' figures, and what the auditor allows for things in flight. Times are microseconds.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// What may still be on its way on this machine: between a node's act and the engine's sight of it.
    pub delivery_allowance: Micros,
    /// The same for rule 3 alone: between what a node heard and the engine's sight of what it does since.
    pub notification_allowance: Micros,
    /// Rule 3.
    pub drain_grace: Micros,
    /// Rule 4: multiple and window; the cold engine's start share and time to warm.
    pub overload_multiple: f64,
    /// Rule 4's window.
    pub overload_window: Micros,
    /// The share with which an engine starts.
    pub initial_capacity: f64,
    /// The time to warm.
    pub warm_up_duration: Micros,
    /// Rule 5.
    pub release_within: Micros,
    /// Cell and zone of each engine, for keyed groups.
    pub locations: BTreeMap<u64, (u16, u8)>,
}

/// What was found for one rule.
#[derive(Clone, Debug, Default)]
pub struct RuleResult {
    /// How often it was checked.
    pub checked: u64,
    /// What broke it, the first few in words.
    pub violations: Vec<String>,
    /// How often it was broken.
    pub violation_count: u64,
}

/// What was sent to a machine that is gone without a word may be out for so long after it is there again.
const UNSEEN: Micros = 1_000_000;
/// How far the time told to an engine may lie past its client's end.
const DEADLINE_SLACK: Micros = 150_000;
/// Most breaks that are kept in words for each rule.
const WORDS: usize = 20;

impl RuleResult {
    fn check(&mut self, holds: bool, text: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.violation_count += 1;
            if self.violations.len() < WORDS {
                self.violations.push(text());
            }
        }
    }
}

/// What the auditor found.
#[derive(Clone, Debug, Default)]
pub struct RuleReport {
    /// The five rules, in their order.
    pub rules: [RuleResult; 5],
    /// No two attempts out at once.
    pub overlap: RuleResult,
    /// No engine is told a deadline past its client's.
    pub deadlines: RuleResult,
    /// The longest overlap seen, in microseconds.
    pub longest_overlap: Micros,
    /// Ends of calls as clients heard them.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// States let go by engines' own limit.
    pub expired: u64,
}

/// Names of the rules.
pub const RULES: [&str; 5] = [
    "no request lost",
    "no effect twice",
    "drains kept",
    "cold not pushed",
    "nothing pinned",
];

impl RuleReport {
    /// Rules that were kept; deadlines past the client's count against the first, attempts side by side against the
    /// second.
    pub fn rules_passed(&self) -> usize {
        let beside = [
            self.deadlines.violation_count,
            self.overlap.violation_count,
            0,
            0,
            0,
        ];
        self.rules
            .iter()
            .zip(beside)
            .filter(|(rule, beside)| rule.violation_count + beside == 0)
            .count()
    }
    /// All that was found broken, in words.
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

struct Try {
    engine: u64,
    kind: CallKind,
    arrived: Micros,
    ended: Option<Micros>,
    call: u64,
}

struct Call {
    at: Micros,
    until: Micros,
    operation: u64,
    node: usize,
    effect: CallIdempotency,
    heard: Option<(Micros, ClientOutcome)>,
}

/// Checks a whole run. `end` is when the run was over and all that was under way had its time to end.
pub fn check(log: &[LoggedEvent], limits: &RuleLimits, end: Micros) -> RuleReport {
    check_log(log, limits, end, None)
}

/// Checks a run that goes on: what may still come out right, a call whose client still waits or an attempt that has not
/// ended, is no break yet.
pub fn check_so_far(log: &[LoggedEvent], limits: &RuleLimits, now: Micros) -> RuleReport {
    check_log(log, limits, now, Some(now))
}

fn check_log(
    log: &[LoggedEvent],
    limits: &RuleLimits,
    end: Micros,
    goes_on: Option<Micros>,
) -> RuleReport {
    let (mut facts, mut out) = (
        Facts {
            goes_on,
            ..Facts::default()
        },
        RuleReport::default(),
    );
    for seen in log {
        facts.take(seen);
        facts.drains(seen, limits, &mut out);
        facts.cold(seen, limits, &mut out);
        facts.deadline(seen, limits, &mut out);
    }
    facts
        .calls
        .keys()
        .for_each(|call| facts.lost(*call, limits, &mut out));
    facts
        .operations
        .keys()
        .for_each(|operation| facts.twice(*operation, limits, &mut out));
    facts
        .kept
        .iter()
        .for_each(|kept| facts.pinned(kept, limits, end, &mut out));
    facts
        .by_call
        .values()
        .for_each(|keys| facts.overlaps(keys, limits, &mut out));
    out
}

/// The auditor beside a run: after each thing seen it checks what that may have broken. What breaks by time alone (a call
/// that nobody answers, a state that nobody lets go) is for [`check_so_far`].
pub struct RuleChecker {
    facts: Facts,
    limits: RuleLimits,
}

impl RuleChecker {
    /// An auditor that has seen nothing.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        RuleChecker {
            facts: Facts::default(),
            limits,
        }
    }
    /// Takes in one more thing seen. What it broke, in words.
    pub fn step(&mut self, seen: &LoggedEvent) -> Option<String> {
        let (limits, mut out) = (&self.limits, RuleReport::default());
        self.facts.goes_on = Some(seen.at);
        self.facts.take(seen);
        let facts = &self.facts;
        facts.drains(seen, limits, &mut out);
        facts.cold(seen, limits, &mut out);
        facts.deadline(seen, limits, &mut out);
        let mut of_call = |call: u64| {
            if let Some(known) = facts.calls.get(&call) {
                facts.lost(call, limits, &mut out);
                facts.twice(known.operation, limits, &mut out);
            }
            if let Some(keys) = facts.by_call.get(&call) {
                facts.overlaps(keys, limits, &mut out);
            }
        };
        match seen.event {
            ObservedEvent::AttemptArrived { call, .. }
            | ObservedEvent::AttemptRan { call, .. }
            | ObservedEvent::CallEnded { call, .. } => of_call(call),
            ObservedEvent::AttemptEnded { key, .. } => facts
                .tries
                .get(&key)
                .into_iter()
                .for_each(|t| of_call(t.call)),
            ObservedEvent::Released {
                engine,
                key,
                is_decode_slot: place,
                ..
            } => {
                let this = |k: &&KeptThing| (k.0, k.1, k.2) == (engine, key, place);
                if let Some(kept) = facts.kept.iter().rev().find(this) {
                    facts.pinned(kept, limits, seen.at, &mut out);
                }
            }
            _ => {}
        }
        out.violations().into_iter().next()
    }
}

/// Engine, key, whether a place, since when, and when and how it ended.
type KeptThing = (
    u64,
    AttemptKey,
    bool,
    Micros,
    Option<(Micros, RetentionEnd)>,
);

#[derive(Default)]
struct Facts {
    calls: BTreeMap<u64, Call>,
    tries: BTreeMap<AttemptKey, Try>,
    by_call: BTreeMap<u64, Vec<AttemptKey>>,
    /// Effects by call.
    ran: BTreeMap<u64, Vec<(Micros, u64, AttemptKey)>>,
    /// Holds by call.
    holds: BTreeMap<u64, Vec<(Micros, u64)>>,
    /// Calls by operation.
    operations: BTreeMap<u64, Vec<u64>>,
    /// Times at which an engine was down, and since when it is.
    down: BTreeMap<u64, Vec<(Micros, Micros)>>,
    open_down: BTreeMap<u64, Micros>,
    /// When an engine last came up, whether cold, and its capacity.
    up: BTreeMap<u64, (Micros, bool, f64)>,
    arrivals: BTreeMap<u64, Vec<Micros>>,
    /// Since when a node knows that an engine takes nothing new.
    told: BTreeMap<(u64, u64), Micros>,
    killed_nodes: Vec<(usize, u64, Micros)>,
    /// Now, where the run goes on.
    goes_on: Option<Micros>,
    /// Spans in which attempts may be out that no engine saw.
    dark: Vec<(Micros, Micros)>,
    open_dark: BTreeMap<u64, Micros>,
    /// Kept things: from, to and how; and which of them are.
    kept: Vec<KeptThing>,
    holding: BTreeMap<(u64, AttemptKey, bool), usize>,
}

impl Facts {
    fn take(&mut self, seen: &LoggedEvent) {
        let LoggedEvent { at, event: what } = *seen;
        match what {
            ObservedEvent::AttemptArrived {
                engine,
                key,
                call,
                kind,
                ..
            } => {
                self.arrivals.entry(engine).or_default().push(at);
                if kind == CallKind::Reserve {
                    self.holds.entry(call).or_default().push((at, engine));
                } else {
                    self.tries.insert(
                        key,
                        Try {
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
                if let Some(t) = self.tries.get_mut(&key).filter(|t| t.engine == engine) {
                    t.ended.get_or_insert(at);
                }
            }
            ObservedEvent::AttemptRan { engine, key, call } => {
                self.ran.entry(call).or_default().push((at, engine, key))
            }
            ObservedEvent::Retained {
                engine,
                key,
                is_decode_slot: place,
            } => {
                self.holding.insert((engine, key, place), self.kept.len());
                self.kept.push((engine, key, place, at, None));
            }
            ObservedEvent::Released {
                engine,
                key,
                is_decode_slot: place,
                how,
            } => {
                if let Some(i) = self.holding.remove(&(engine, key, place)) {
                    self.kept[i].4 = Some((at, how));
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
                for t in self.tries.values_mut().filter(|t| t.engine == engine) {
                    t.ended.get_or_insert(at);
                }
            }
            ObservedEvent::CallStarted {
                call,
                operation,
                node,
                idempotency: effect,
                until,
            } => {
                self.calls.insert(
                    call,
                    Call {
                        at,
                        until,
                        operation,
                        node,
                        effect,
                        heard: None,
                    },
                );
                self.operations.entry(operation).or_default().push(call);
            }
            ObservedEvent::CallEnded { call, outcome: how } => {
                if let Some(c) = self.calls.get_mut(&call) {
                    c.heard = Some((at, how));
                }
            }
            // A machine that goes dark once more while it is has been so all the time.
            ObservedEvent::EngineUnreachable {
                engine,
                unreachable: true,
            } => {
                self.open_dark.entry(engine).or_insert(at);
            }
            ObservedEvent::EngineUnreachable {
                engine,
                unreachable: false,
            } => {
                self.dark
                    .extend(self.open_dark.remove(&engine).map(|from| (from, at)));
            }
            ObservedEvent::NodeKilled { node, run } => self.killed_nodes.push((node, run, at)),
            // A notice that says the same again does not begin its time anew.
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: false,
            } => {
                self.told.entry((node, engine)).or_insert(at);
            }
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: true,
            } => drop(self.told.remove(&(node, engine))),
            ObservedEvent::FirstTokenReceived { .. } | ObservedEvent::EnginePaused { .. } => {}
        }
    }

    /// Whether an engine was down, and saw nothing, between two times.
    fn blind(&self, engine: u64, from: Micros, to: Micros, flight: Micros) -> bool {
        self.down
            .get(&engine)
            .into_iter()
            .flatten()
            .any(|(a, b)| *a <= to && b.saturating_add(flight) >= from)
            || self.open_down.get(&engine).is_some_and(|a| *a <= to)
    }

    fn node_killed(&self, node: usize, from: Micros, to: Micros) -> bool {
        self.killed_nodes
            .iter()
            .any(|(n, _, at)| *n == node && *at >= from && *at <= to)
    }

    fn lost(&self, id: u64, limits: &RuleLimits, out: &mut RuleReport) {
        let call = &self.calls[&id];
        let name = match call.heard.map(|h| h.1) {
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
        let Some((at, how)) = call.heard else {
            if self
                .goes_on
                .is_some_and(|now| now <= call.until.saturating_add(limits.delivery_allowance))
            {
                return;
            }
            out.rules[0].check(false, || format!("call {id:x} was never heard of again"));
            return;
        };
        // What a killed node held is the client's to try again.
        // It may be that the client did not know of it yet when it called.
        let since = call.at.saturating_sub(limits.delivery_allowance);
        let killed = self.node_killed(
            call.node,
            since,
            at.saturating_add(limits.delivery_allowance),
        );
        let answered = matches!(
            how,
            ClientOutcome::Served
                | ClientOutcome::Rejected
                | ClientOutcome::Failed
                | ClientOutcome::Disconnected
        ) || how == ClientOutcome::Unreachable && killed
            || how == ClientOutcome::TimedOut && killed;
        out.rules[0].check(answered, || {
            let wait = (call.until - call.at) / 1000;
            format!(
                "call {id:x} ended as {name} after {} ms of {wait}",
                (at - call.at) / 1000
            )
        });
        // Nothing is sent for it afterwards, a hold neither.
        for (came, engine) in self.holds.get(&id).into_iter().flatten() {
            let late = *came > at.saturating_add(limits.delivery_allowance);
            out.rules[0].check(
                !late || self.blind(*engine, at, *came, limits.delivery_allowance),
                || {
                    format!(
                        "a hold for call {id:x} came {} ms after its end",
                        (came - at) / 1000
                    )
                },
            );
        }
        for key in self.by_call.get(&id).into_iter().flatten() {
            let t = &self.tries[key];
            let late = t.arrived > at.saturating_add(limits.delivery_allowance);
            out.rules[0].check(
                !late || self.blind(t.engine, at, t.arrived, limits.delivery_allowance),
                || {
                    format!(
                        "attempt {} of call {id:x} came {} ms after its end",
                        key.attempt,
                        (t.arrived - at) / 1000
                    )
                },
            );
        }
    }

    fn twice(&self, operation: u64, limits: &RuleLimits, out: &mut RuleReport) {
        let calls = &self.operations[&operation];
        let effect = self.calls[&calls[0]].effect;
        let mut ran: Vec<(Micros, u64, AttemptKey)> = calls
            .iter()
            .flat_map(|c| self.ran.get(c).into_iter().flatten())
            .copied()
            .collect();
        ran.sort();
        let refused = calls
            .iter()
            .filter(|c| matches!(self.calls[c].heard, Some((_, ClientOutcome::Rejected))));
        match effect {
            CallIdempotency::Idempotent => out.rules[1].check(true, String::new),
            CallIdempotency::NonIdempotent => {
                out.rules[1].check(ran.len() <= 1, || {
                    format!("unsafe request {operation:x} ran {} times", ran.len())
                });
                // A refusal says that nothing was done.
                for call in refused {
                    let did = self.ran.contains_key(call);
                    out.rules[1]
                        .check(!did, || format!("unsafe call {call:x} ran and was refused"));
                }
            }
            CallIdempotency::WithKey(window, group) => {
                let place = |e: u64| limits.locations.get(&e).copied().unwrap_or_default();
                let same = |a: u64, b: u64| match group {
                    KeyScope::All => true,
                    KeyScope::Zone => place(a).1 == place(b).1,
                    KeyScope::Rack => place(a).0 == place(b).0,
                };
                // Attempts of one call after one that may have run stay in its group and window.
                for call in calls {
                    let Some(first) = self.ran.get(call).and_then(|r| r.first()) else {
                        continue;
                    };
                    let keys = self.by_call.get(call).into_iter().flatten();
                    for key in keys.filter(|k| k.attempt > first.2.attempt) {
                        let t = &self.tries[key];
                        if t.kind == CallKind::Decode {
                            let sent = self.tries.get(&first.2).map_or(first.0, |t| t.arrived);
                            let inside = same(t.engine, first.1)
                                && t.arrived.saturating_sub(sent)
                                    <= window.saturating_add(limits.delivery_allowance);
                            out.rules[1].check(inside, || {
                                format!("keyed call {call:x} left its group or window")
                            });
                        }
                    }
                    let said_no =
                        matches!(self.calls[call].heard, Some((_, ClientOutcome::Rejected)));
                    out.rules[1].check(!said_no || group == KeyScope::All, || {
                        format!("keyed call {call:x} ran and was refused, which its group does not allow")
                    });
                }
            }
        }
    }

    fn drains(&self, seen: &LoggedEvent, limits: &RuleLimits, out: &mut RuleReport) {
        match seen.event {
            // A notice after which nothing came is a rule kept, too.
            ObservedEvent::NodeNotified { ready: false, .. } => {
                out.rules[2].check(true, String::new)
            }
            ObservedEvent::AttemptArrived { engine, key, .. } => {
                let Some(since) = self.told.get(&(key.node, engine)) else {
                    return;
                };
                let by = since
                    .saturating_add(limits.drain_grace)
                    .saturating_add(limits.notification_allowance);
                let blind = self.blind(engine, *since, seen.at, limits.delivery_allowance);
                out.rules[2].check(seen.at <= by || blind, || {
                    let late = (seen.at - since) / 1000;
                    format!("engine {engine:x} got work {late} ms after its node was told")
                });
            }
            _ => {}
        }
    }

    fn cold(&self, seen: &LoggedEvent, limits: &RuleLimits, out: &mut RuleReport) {
        let at = seen.at;
        match seen.event {
            ObservedEvent::EngineStopped {
                engine,
                overloaded: true,
            } => out.rules[3].check(false, || {
                format!("engine {engine:x} was pushed over at {} ms", at / 1000)
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
                let got = here.rev().take_while(|t| **t >= from).count();
                let age = (at - up) as f64 / limits.warm_up_duration.max(1) as f64;
                let share = limits.initial_capacity + (1.0 - limits.initial_capacity) * age;
                let most =
                    limits.overload_multiple * share * capacity * limits.overload_window as f64
                        / 1e6
                        + 2.0;
                out.rules[3].check(
                    limits.overload_multiple <= 0.0 || got as f64 <= most,
                    || format!("cold engine {engine:x} got {got} calls in a window of {most:.0}"),
                );
            }
            _ => {}
        }
    }

    /// The time that a call tells its engine ends with the client's, give or take what is allowed.
    fn deadline(&self, seen: &LoggedEvent, limits: &RuleLimits, out: &mut RuleReport) {
        let ObservedEvent::AttemptArrived {
            call,
            timeout: Some(timeout),
            engine,
            key,
            ..
        } = seen.event
        else {
            return;
        };
        let Some(known) = self.calls.get(&call) else {
            return;
        };
        let left = known.until.saturating_sub(seen.at);
        // On a busy machine a call may be on its way for longer, and its time was told when it left.
        let slack = DEADLINE_SLACK.max(limits.delivery_allowance);
        out.deadlines.check(timeout <= left.saturating_add(slack), || {
            let attempt = key.attempt;
            format!("engine {engine:x} was told {timeout} us by attempt {attempt} of call {call:x}, {left} us are left")
        });
    }

    fn pinned(&self, kept: &KeptThing, limits: &RuleLimits, end: Micros, out: &mut RuleReport) {
        let (engine, key, place, from, to) = kept;
        let how = to.map(|t| t.1);
        if how == Some(RetentionEnd::Expired) {
            out.expired += 1;
        }
        // A dead node lets go of nothing; engines' own limit does.
        if self.killed_nodes.iter().any(|k| k.1 == key.node) {
            return;
        }
        let to = to.map_or(end, |t| t.0);
        // The request's spans with an attempt out, and the longest time in which it was kept while none was.
        let (first, last) = (
            AttemptKey { attempt: 0, ..*key },
            AttemptKey {
                attempt: u32::MAX,
                ..*key
            },
        );
        let tries = self.tries.range(first..=last);
        let mut busy: Vec<_> = tries
            .map(|(_, t)| (t.arrived, t.ended.unwrap_or(end)))
            .collect();
        busy.sort_unstable();
        let (mut free, mut longest) = (*from, 0);
        for (a, b) in busy.into_iter().chain([(to, to)]) {
            longest = longest.max(a.min(to).saturating_sub(free));
            free = free.max(b);
        }
        let blind = self.blind(
            *engine,
            *from,
            to,
            limits.delivery_allowance + limits.release_within,
        );
        let allowed = limits
            .release_within
            .saturating_add(limits.delivery_allowance);
        // An attempt at a machine that is gone without a word is out until its time is over, and no engine saw it.
        let unseen = self
            .dark
            .iter()
            .any(|(a, b)| *a <= to && b.saturating_add(UNSEEN) >= *from)
            || self.open_dark.values().any(|a| *a <= to);
        out.rules[4].check(longest <= allowed || blind || unseen, || {
            let what = if *place { "a place" } else { "a state" };
            format!(
                "engine {engine:x} kept {what} for request {} for {} ms with no attempt out ({how:?}): {}",
                key.request,
                longest / 1000,
                self.story(key, *from)
            )
        });
    }

    /// What the engines saw of a request's attempts, in milliseconds from a moment.
    fn story(&self, key: &AttemptKey, zero: Micros) -> String {
        let ms = |at: Micros| (at as f64 - zero as f64) / 1e3;
        let of = self
            .tries
            .iter()
            .filter(|(k, _)| (k.node, k.request) == (key.node, key.request));
        let one = |(k, t): (&AttemptKey, &Try)| {
            let ended = t.ended.map_or("open".into(), |at| format!("{:.1}", ms(at)));
            format!(
                "#{} {:?} at {:x} from {:.1} to {ended}",
                k.attempt,
                t.kind,
                t.engine,
                ms(t.arrived)
            )
        };
        of.map(one).collect::<Vec<_>>().join(", ")
    }

    fn overlaps(&self, keys: &[AttemptKey], limits: &RuleLimits, out: &mut RuleReport) {
        let mut tries: Vec<(&AttemptKey, &Try)> =
            keys.iter().map(|k| (k, &self.tries[k])).collect();
        tries.sort_by_key(|(k, _)| k.attempt);
        for pair in tries.windows(2) {
            let ((_, a), (_, b)) = (pair[0], pair[1]);
            let ended = a.ended.or(self.goes_on).unwrap_or(Micros::MAX);
            let over = ended.saturating_sub(b.arrived);
            let blind = self.blind(
                a.engine,
                a.arrived,
                b.arrived.saturating_add(limits.delivery_allowance),
                limits.delivery_allowance,
            );
            if !blind && ended != Micros::MAX {
                out.longest_overlap = out.longest_overlap.max(over);
            }
            out.overlap
                .check(over <= limits.delivery_allowance || blind, || {
                    format!(
                        "call {:x} was at engine {:x} and {:x} at once",
                        a.call, a.engine, b.engine
                    )
                });
        }
    }
}
