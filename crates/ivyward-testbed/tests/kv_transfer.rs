//! The counts of KV transfers that one node's decisions cause, in virtual time.

use clap::Parser;
use ivyward_testbed::kv_transfer::{simulate, KvTransferCounts, KvTransferFlags};

#[derive(Parser)]
struct Flags {
    #[command(flatten)]
    flags: KvTransferFlags,
}

fn simulated(args: &[&str]) -> KvTransferCounts {
    let small_fleet = ["handover", "--engines=200", "--nodes=60", "--requests=1500"];
    simulate(Flags::parse_from(small_fleet.iter().chain(args)).flags)
}

#[test]
fn each_request_is_counted_once_and_runs_are_repeatable() {
    let counts = simulated(&[]);
    let sum =
        counts.in_rack + counts.in_zone + counts.between_zones + counts.in_place + counts.not_sent;
    assert_eq!((counts.requests, sum), (1_100, 1_100), "{counts:?}");
    assert_eq!(simulated(&[]), counts);
}

#[test]
fn with_a_single_rack_no_transfer_leaves_the_rack() {
    let counts = simulated(&["--rack=1000", "--zones=1"]);
    assert_eq!((counts.in_zone, counts.between_zones), (0, 0), "{counts:?}");
}
