//! Rare combinations of events that the simulated seeds should cover.

use super::fault::Fault;
use super::plan::ScheduledFault;
use super::{LEASE_SECONDS, START};
use ivyward::core::interface::Micros;
use ivyward_fakes::event_log::{ClientOutcome, LoggedEvent};
use ivyward_fakes::ObservedEvent;
use std::collections::{BTreeMap, BTreeSet};

/// The combinations of events that the seeds should cover. Each is searched for in the event log and the plan.
pub const COINCIDENCES: [&str; 9] = [
    "a drain notice within a millisecond of a retry by the same node",
    "an engine listed again within 50 ms of its removal",
    "a late list, a cut link and a disconnecting client within one second",
    "a node killed while an engine has a reservation for it",
    "a first token within 5 ms of the client's disconnect",
    "an engine that crashes while its record says that it drains",
    "history compacted while the store's watches are opened again",
    "two faults at the same time",
    "a lease that expires while its engine cannot reach the store",
];

/// Returns how often each of [`COINCIDENCES`] occurred in a run; those that did not occur are disconnects out.
pub(super) fn coincidences(
    log: &[LoggedEvent],
    plan: &[ScheduledFault],
    engines: &[u64],
) -> BTreeMap<&'static str, u64> {
    let near = |a: Micros, b: Micros, distance: Micros| a.abs_diff(b) <= distance;
    let (mut notices, mut retries, mut returns) = (Vec::new(), Vec::new(), Vec::new());
    let (mut first_tokens, mut disconnects) = (BTreeMap::new(), Vec::new());
    let (mut reserved, mut dead, mut draining) =
        (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    let mut counts = [0u64; 9];
    for LoggedEvent { at, event: what } in log {
        match *what {
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: false,
            } => {
                notices.push((*at, node, engine));
                draining.insert(engine);
            }
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: true,
            } => {
                returns.push((*at, node, engine));
                draining.remove(&engine);
            }
            ObservedEvent::AttemptArrived { key, .. } if key.attempt >= 2 => {
                retries.push((*at, key.node))
            }
            ObservedEvent::Retained { key, .. } => drop(reserved.insert(key)),
            ObservedEvent::Released { key, .. } => drop(reserved.remove(&key)),
            ObservedEvent::NodeKilled { run, .. } => {
                counts[3] += u64::from(reserved.iter().any(|k| k.node == run))
            }
            ObservedEvent::FirstTokenReceived { call } => drop(first_tokens.insert(call, *at)),
            ObservedEvent::CallEnded {
                call,
                outcome: ClientOutcome::Disconnected | ClientOutcome::TimedOut,
            } => {
                disconnects.push(*at);
                counts[4] += u64::from(
                    first_tokens
                        .get(&call)
                        .is_some_and(|b| near(*b, *at, 5_000)),
                );
            }
            ObservedEvent::EngineStopped { engine, .. } => {
                dead.insert(engine);
                counts[5] += u64::from(draining.contains(&engine));
            }
            ObservedEvent::EngineStarted { engine, .. } => drop(dead.remove(&engine)),
            _ => {}
        }
    }
    counts[0] = notices
        .iter()
        .filter(|t| retries.iter().any(|r| r.1 == t.1 && near(r.0, t.0, 1_000)))
        .count() as u64;
    let listed_again = |t: &&(Micros, u64, u64)| {
        returns
            .iter()
            .any(|b| (b.1, b.2) == (t.1, t.2) && b.0 > t.0 && near(b.0, t.0, 50_000))
    };
    counts[1] = notices.iter().filter(listed_again).count() as u64;
    let of = |f: &dyn Fn(&Fault) -> bool| {
        plan.iter()
            .filter(|t| f(&t.fault))
            .map(|t| t.at)
            .collect::<Vec<_>>()
    };
    let lags = of(&|f| matches!(f, Fault::StoreLags));
    let cuts = of(&|f| matches!(f, Fault::Cut { .. }));
    // Plans count from the start of the run, at which the virtual clock shows 1 s.
    let one_second = |l: &&Micros| {
        cuts.iter().any(|c| near(**l, *c, 1_000_000))
            && disconnects.iter().any(|x| near(**l + START, *x, 1_000_000))
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
    // A cut that lasts longer than the lease makes nodes receive the engine's removal from half a second after the cut's
    // start to shortly after its end.
    for t in plan
        .iter()
        .filter(|t| t.len > LEASE_SECONDS as Micros * 1_000_000)
    {
        let Fault::StoreCut { engine } = t.fault else {
            continue;
        };
        let id = engines[engine];
        let ends = t.at + START + 500_000..t.at + START + t.len + 100_000;
        counts[8] += u64::from(
            notices
                .iter()
                .any(|notice| notice.2 == id && ends.contains(&notice.0)),
        );
    }
    counts[7] = plan.windows(2).filter(|w| w[0].at == w[1].at).count() as u64;
    COINCIDENCES
        .into_iter()
        .zip(counts)
        .filter(|(_, n)| *n > 0)
        .collect()
}
