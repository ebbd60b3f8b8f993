//! Parsing of load reports.

use super::*;

#[test]
fn a_report_with_a_missing_or_malformed_value_is_empty() {
    let fields: Vec<String> = ["utilization", "backlog", "x0"].map(str::to_owned).to_vec();
    let values = |text: &str| parse(text, &fields).values[..parse(text, &fields).len].to_vec();
    assert_eq!(
        values("TEXT utilization=0.5, backlog=3, x0=0.25"),
        [0.5, 3.0, 0.25]
    );
    assert_eq!(
        values("TEXT x0=1, queue=7,util=0.61, more=9"),
        [0.61, 7.0, 1.0],
        "the names used on the wire"
    );
    for malformed in [
        "",
        "TEXT",
        "TEXT utilization=0.5, backlog=3",
        "TEXT utilization=NaN, backlog=3, x0=1",
        "\u{1}=",
    ] {
        assert!(values(malformed).is_empty(), "{malformed:?}");
    }
}
