//! Where states are handed over, by one node's decisions in synthetic time.

use clap::Parser;
use ivyward_testbed::kv_transfer::{simulate, KvTransferCounts, KvTransferFlags};

#[derive(Parser)]
struct Flags {
    #[command(flatten)]
    flags: KvTransferFlags,
}

fn played(args: &[&str]) -> KvTransferCounts {
    let few = ["handover", "--engines=200", "--nodes=60", "--requests=1500"];
    simulate(Flags::parse_from(few.iter().chain(args)).flags)
}

#[test]
fn each_request_is_counted_once_and_a_run_is_the_same_each_time() {
    let seen = played(&[]);
    let sum = seen.in_rack + seen.in_zone + seen.between_zones + seen.in_place + seen.not_sent;
    assert_eq!((seen.requests, sum), (1_100, 1_100), "{seen:?}");
    assert_eq!(played(&[]), seen);
}

#[test]
fn in_one_rack_nothing_leaves_it() {
    let seen = played(&["--rack=1000", "--zones=1"]);
    assert_eq!((seen.in_zone, seen.between_zones), (0, 0), "{seen:?}");
}
