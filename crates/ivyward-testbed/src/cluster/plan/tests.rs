//! Unit tests of cluster fault plans.

use super::*;

#[test]
fn a_seed_draws_the_same_plan_and_the_plan_survives_json() {
    let plan = Plan::draw(7, 5, 30);
    assert_eq!(plan, Plan::draw(7, 5, 30));
    assert_ne!(plan, Plan::draw(8, 5, 30));
    assert_eq!(plan.check(), Ok(()));
    let text = serde_json::to_string(&plan).unwrap();
    assert_eq!(Plan::read(&text), Ok(plan));
}

#[test]
fn an_invalid_plan_is_rejected_with_the_reason() {
    let plan = |fault, lasts_ms| Plan {
        seed: 1,
        nodes: 3,
        episodes: vec![Episode { fault, lasts_ms }],
    };
    let bad = [
        (plan(ClusterFault::Pause(vec![3]), 1), "names node 3"),
        (plan(ClusterFault::Pause(vec![1]), 10_000_000), "at most"),
        (
            Plan {
                nodes: 1,
                ..plan(ClusterFault::Pause(vec![0]), 1)
            },
            "2 to 300",
        ),
        (
            plan(
                ClusterFault::NodeLinks(
                    1,
                    LinkFault {
                        lose: 1.5,
                        ..LinkFault::default()
                    },
                ),
                1,
            ),
            "parts from 0 to 1",
        ),
    ];
    for (plan, why) in bad {
        assert!(plan.check().unwrap_err().to_string().contains(why));
    }
    assert!(matches!(Plan::read("{"), Err(PlanError::Malformed(_))));
}
