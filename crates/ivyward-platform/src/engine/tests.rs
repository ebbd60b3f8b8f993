//! Tests of the parts of `engine` that nobody outside sees.

use super::*;
use ivyward_sim::{Net, Sim};

#[test]
fn releases_have_connections_to_spare() {
    let world = Sim::new(1, Net::default()).host(1).world();
    const SPARE: usize = 12;
    let let_go = ReleaseSettings { within: 300_000, most_asks: SPARE, most_owed: 10 };
    let engines = Engines::new(&world, 1, 1, 2, &[], let_go);
    let taken: Vec<Place> = (0..2).map(|_| engines.place(0).expect("within the bound")).collect();
    assert!(engines.place(0).is_none());
    let spared: Vec<Place> = (0..SPARE).map(|_| engines.place(SPARE).expect("to spare")).collect();
    assert!(engines.place(SPARE).is_none());
    drop(spared);
    drop(taken);
    assert_eq!(engines.connections(), 0);
}

#[test]
fn reports_are_read_whole_or_not_at_all() {
    let fields: Vec<String> = ["utilization", "backlog", "x0"].map(str::to_owned).to_vec();
    let values = |text: &str| report(text, &fields).values[..report(text, &fields).len].to_vec();
    assert_eq!(values("TEXT utilization=0.5, backlog=3, x0=0.25"), [0.5, 3.0, 0.25]);
    assert_eq!(values("TEXT x0=1, queue=7,util=0.61, more=9"), [0.61, 7.0, 1.0], "as the wire calls them");
    for bad in
        ["", "TEXT", "TEXT utilization=0.5, backlog=3", "TEXT utilization=NaN, backlog=3, x0=1", "\u{1}="]
    {
        assert!(values(bad).is_empty(), "{bad:?}");
    }
}
