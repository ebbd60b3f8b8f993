//! How far KV state is transferred, according to the decisions of one node in simulated time.

use clap::Parser;
use ivyward_testbed::kv_transfer::{play, KvTransferFlags, KvTransfers};

#[derive(Parser)]
struct Flags {
    #[command(flatten)]
    flags: KvTransferFlags,
}

fn run(args: &[&str]) -> KvTransfers {
    let few = ["handover", "--engines=200", "--nodes=60", "--requests=1500"];
    play(Flags::parse_from(few.iter().chain(args)).flags)
}

#[test]
fn each_request_is_counted_once_and_runs_are_deterministic() {
    let transfers = run(&[]);
    let sum = transfers.in_rack
        + transfers.in_zone
        + transfers.between_zones
        + transfers.in_place
        + transfers.not_sent;
    assert_eq!((transfers.requests, sum), (1_100, 1_100), "{transfers:?}");
    assert_eq!(run(&[]), transfers);
}

#[test]
fn with_a_single_rack_no_transfer_leaves_it() {
    let transfers = run(&["--rack=1000", "--zones=1"]);
    assert_eq!(
        (transfers.in_zone, transfers.between_zones),
        (0, 0),
        "{transfers:?}"
    );
}
