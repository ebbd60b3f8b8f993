//! Situations that seeds are to bring about.

use super::fault::Fault;
use super::plan::ScheduledFault;
use super::{BEGIN, LEASE};
use ivyward::core::interface::Micros;
use ivyward_fakes::event_log::{ClientOutcome, LoggedEvent};
use ivyward_fakes::ObservedEvent;
use std::collections::{BTreeMap, BTreeSet};

/// Coincidences that seeds are to bring about, each looked for in what was seen.
pub const COINCIDENCES: [&str; 9] = [
    "a drain notice within a millisecond of a retry by the same node",
    "an engine listed again within 50 ms of its removal",
    "a late list, a cut way and an impatient client in one second",
    "a node killed while a state is kept for it",
    "a first token within 5 ms of the client's leaving",
    "an engine dead while its record says that it drains",
    "history compacted while the store's watches begin anew",
    "two faults in one instant",
    "a lease that ends while its engine cannot reach the store",
];

/// Which of [`CATALOGUE`] came about in a run, and how often.
pub(super) fn coincidences(
    log: &[LoggedEvent],
    plan: &[ScheduledFault],
    engines: &[u64],
) -> BTreeMap<&'static str, u64> {
    let near = |a: Micros, b: Micros, span: Micros| a.abs_diff(b) <= span;
    let (mut told, mut retries, mut back) = (Vec::new(), Vec::new(), Vec::new());
    let (mut began, mut left) = (BTreeMap::new(), Vec::new());
    let (mut kept, mut dead, mut draining) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    let mut counts = [0u64; 9];
    for LoggedEvent { at, event: what } in log {
        match *what {
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: false,
            } => {
                told.push((*at, node, engine));
                draining.insert(engine);
            }
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: true,
            } => {
                back.push((*at, node, engine));
                draining.remove(&engine);
            }
            ObservedEvent::AttemptArrived { key, .. } if key.attempt >= 2 => {
                retries.push((*at, key.node))
            }
            ObservedEvent::Retained { key, .. } => drop(kept.insert(key)),
            ObservedEvent::Released { key, .. } => drop(kept.remove(&key)),
            ObservedEvent::NodeKilled { run, .. } => {
                counts[3] += u64::from(kept.iter().any(|k| k.node == run))
            }
            ObservedEvent::FirstTokenReceived { call } => drop(began.insert(call, *at)),
            ObservedEvent::CallEnded {
                call,
                outcome: ClientOutcome::Disconnected | ClientOutcome::TimedOut,
            } => {
                left.push(*at);
                counts[4] += u64::from(began.get(&call).is_some_and(|b| near(*b, *at, 5_000)));
            }
            ObservedEvent::EngineStopped { engine, .. } => {
                dead.insert(engine);
                counts[5] += u64::from(draining.contains(&engine));
            }
            ObservedEvent::EngineStarted { engine, .. } => drop(dead.remove(&engine)),
            _ => {}
        }
    }
    counts[0] = told
        .iter()
        .filter(|t| retries.iter().any(|r| r.1 == t.1 && near(r.0, t.0, 1_000)))
        .count() as u64;
    let soon = |t: &&(Micros, u64, u64)| {
        back.iter()
            .any(|b| (b.1, b.2) == (t.1, t.2) && b.0 > t.0 && near(b.0, t.0, 50_000))
    };
    counts[1] = told.iter().filter(soon).count() as u64;
    let of = |f: &dyn Fn(&Fault) -> bool| {
        plan.iter()
            .filter(|t| f(&t.fault))
            .map(|t| t.at)
            .collect::<Vec<_>>()
    };
    let lags = of(&|f| matches!(f, Fault::StoreLags));
    let cuts = of(&|f| matches!(f, Fault::Cut { .. }));
    // Plans count from the scene's begin, which is the clock's first second.
    let one_second = |l: &&Micros| {
        cuts.iter().any(|c| near(**l, *c, 1_000_000))
            && left.iter().any(|x| near(**l + BEGIN, *x, 1_000_000))
    };
    counts[2] = lags.iter().filter(one_second).count() as u64;
    let (dies, compacts) = (
        of(&|f| matches!(f, Fault::StoreCrash)),
        of(&|f| matches!(f, Fault::StoreCompacts)),
    );
    counts[6] = compacts
        .iter()
        .filter(|c| dies.iter().any(|d| near(**c, *d, 600_000)))
        .count() as u64;
    // An engine is told to be gone within its lease, or a little later, of a cut that outlasts it.
    for t in plan.iter().filter(|t| t.len > LEASE as Micros * 1_000_000) {
        let Fault::StoreCut { engine } = t.fault else {
            continue;
        };
        let id = engines[engine];
        let ends = t.at + BEGIN + 500_000..t.at + BEGIN + t.len + 100_000;
        counts[8] += u64::from(
            told.iter()
                .any(|told| told.2 == id && ends.contains(&told.0)),
        );
    }
    counts[7] = plan.windows(2).filter(|w| w[0].at == w[1].at).count() as u64;
    COINCIDENCES
        .into_iter()
        .zip(counts)
        .filter(|(_, n)| *n > 0)
        .collect()
}
