//! Unit tests of fault plans.

use super::*;

#[test]
fn a_scenario_file_is_scaled_to_the_new_length() {
    let text = r#"{"length": 40000000, "x": 1, "troubles": [
        {"kind": "hang", "at": 20000000, "len": 4000000, "size": 0.5, "steps": []},
        {"kind": "meteor", "at": 1, "len": 1}, {"kind": "crash", "at": 0, "len": 10}]}"#;
    let (plan, unknown) = Plan::from_scenario_file(text, 1, 10_000_000).unwrap();
    let kinds: Vec<FaultKind> = plan.faults.iter().map(|s| s.kind).collect();
    assert_eq!(
        (kinds, unknown),
        (
            vec![FaultKind::Crash, FaultKind::Hang],
            vec!["meteor".to_string()]
        )
    );
    assert_eq!(
        (plan.faults[1].at, plan.faults[1].len),
        (5_000_000, 1_000_000)
    );
    assert!(Plan::from_scenario_file("{}", 1, 1).is_err());
    assert!(matches!(
        Plan::from_scenario_file(r#"{"length": 0}"#, 1, 1),
        Err(ScenarioFileError::Empty)
    ));
}

#[test]
fn the_same_seed_draws_the_same_plan() {
    assert_eq!(Plan::draw(7, 1_000_000, &[]), Plan::draw(7, 1_000_000, &[]));
    assert_ne!(Plan::draw(7, 1_000_000, &[]), Plan::draw(8, 1_000_000, &[]));
}
