//! Simulation runs: the rules hold under faults drawn from seeds, and a seed gives the same run each time.

use ivyward_testbed::simulation::{plan, run, run_seeds, shrink, Fault, ScheduledFault, Size};

#[test]
fn no_seed_violates_a_rule() {
    let size = Size::default();
    let tally = run_seeds(1, 200, 4, &size, &|_| {});
    assert_eq!(tally.failures, Default::default());
    assert_eq!(tally.runs, 200);
    // Each kind of fault was injected, and calls ended with each outcome.
    assert_eq!(tally.faults.len(), 15, "{:?}", tally.faults);
    for outcome in ["served", "refused", "failed", "left", "unreachable"] {
        assert!(
            tally.client_outcomes.get(outcome).is_some_and(|n| *n > 0),
            "{outcome}: {:?}",
            tally.client_outcomes
        );
    }
}

/// Nodes that are peers of each other, with faults on the links between them: their views and replica counts are checked
/// along with the rules.
#[test]
fn no_seed_with_peers_violates_a_rule() {
    let size = Size {
        peers: true,
        nodes: 4,
        ..Size::default()
    };
    let tally = run_seeds(1, 200, 4, &size, &|_| {});
    assert_eq!(tally.failures, Default::default());
    assert_eq!(tally.faults.len(), 17, "{:?}", tally.faults);
}

/// Seeds that found a defect: the seed, the defect, and the fault plan that the seed gave at that time.
const REGRESSIONS: &[(u64, &str, &str)] = &[
    (
        15,
        "a decode slot reserved during a prefill that was rejected was taken for used by the decode attempt",
        r#"[{"at":427763,"len":454807,"fault":"store_lags"},
    {"at":456850,"len":488948,"fault":{"die":{"engine":3,"word":true}}},
    {"at":1195941,"len":95645,"fault":{"cut":{"engine":5,"node":0,"back":false}}},
    {"at":1257530,"len":253864,"fault":"store_compacts"},
    {"at":1499664,"len":226063,"fault":{"ill":{"engine":7,"share":0.2519879187235751}}},
    {"at":1625366,"len":91110,"fault":"store_dies"},
    {"at":1625366,"len":823115,"fault":{"ill":{"engine":0,"share":0.26879503081854916}}},
    {"at":1671228,"len":431473,"fault":{"die":{"engine":4,"word":true}}}]"#,
    ),
    (
        37,
        "a reservation continued after its request had ended",
        r#"[{"at":1101303,"len":563374,"fault":{"hang":{"engine":5}}}]"#,
    ),
    (
        103,
        "a decode slot whose reservation arrived after the decode attempt was taken for used by it",
        r#"[{"at":1952539,"len":85986,"fault":{"cut":{"engine":5,"node":1,"back":false}}},
    {"at":1952539,"len":65020,"fault":{"cut":{"engine":1,"node":0,"back":true}}}]"#,
    ),
    (
        949,
        "a release overtook its reservation",
        r#"[{"at":1966791,"len":751586,"fault":{"die":{"engine":5,"word":true}}},
    {"at":1966791,"len":846844,"fault":{"slow":{"engine":2,"by":5.444049325676639}}}]"#,
    ),
    (
        631,
        "the rule checker forgot the first of two intervals in which a machine was down",
        r#"[
    {"at":234251,"len":1564144,"fault":{"die":{"engine":1,"word":false}}},
    {"at":1094742,"len":413629,"fault":{"die":{"engine":1,"word":false}}}]"#,
    ),
    (
        1769,
        "a drain whose record had no start time was taken for an outdated record",
        r#"[{"at":552836,"len":141088,"fault":"store_compacts"},{"at":552836,"len":686258,"fault":"pieces"},
    {"at":971218,"len":523102,"fault":{"ill":{"engine":0,"share":0.22693215636667174}}},
    {"at":995231,"len":97113,"fault":{"cut":{"engine":6,"node":0,"back":false}}},
    {"at":1058897,"len":32754,"fault":{"slow":{"engine":0,"by":9.843042966879464}}},
    {"at":1494424,"len":73886,"fault":{"die":{"engine":4,"word":true}}},
    {"at":1926881,"len":874233,"fault":{"drain":{"engine":7}}},
    {"at":1988153,"len":880340,"fault":{"drain":{"engine":4}}}]"#,
    ),
];

#[test]
fn seeds_that_found_a_defect_pass() {
    let size = Size::default();
    for (seed, what, plan) in REGRESSIONS {
        let plan: Vec<ScheduledFault> = serde_json::from_str(plan).unwrap();
        assert_eq!(
            run(*seed, &size, &plan).failures,
            Vec::<String>::new(),
            "seed {seed}: {what}"
        );
    }
}

/// Guards against anything in a run that does not follow from the seed: hash order, addresses, real time, other threads.
#[test]
fn a_seed_gives_the_same_run_alone_and_in_parallel() {
    let size = Size::default();
    let alone: Vec<_> = (1..=6)
        .map(|seed| run(seed, &size, &plan(seed, &size)))
        .collect();
    let in_parallel: Vec<_> = std::thread::scope(|scope| {
        let start =
            |seed| scope.spawn(move || run(seed, &Size::default(), &plan(seed, &Size::default())));
        let all: Vec<_> = (1..=6).map(start).collect();
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    assert_eq!(alone, in_parallel);
    assert!(alone.windows(2).all(|w| w[0].digest != w[1].digest));
}

/// The check can fail, and a plan that makes it fail is shrunk to the necessary faults: here, one that outlasts the run.
#[test]
fn a_run_that_does_not_end_is_reported_and_shrunk() {
    let size = Size {
        requests: 5,
        faults: 0,
        ..Size::default()
    };
    let fine = ScheduledFault {
        at: 200_000,
        len: 50_000,
        fault: Fault::Drain { engine: 2 },
    };
    let endless = ScheduledFault {
        at: 300_000,
        len: 500_000_000,
        fault: Fault::Fragmentation,
    };
    let faults = [fine, endless, fine];
    let result = run(3, &size, &faults);
    assert!(
        result.failures[0].contains("it was not done by"),
        "{:?}",
        result.failures
    );
    assert_eq!(shrink(3, &size, &faults), [endless]);
}
