//! Tests of parsing and encoding the `grpc-timeout` header.

use super::*;

#[test]
fn only_values_that_the_protocol_allows_are_parsed() {
    for (text, micros) in [
        ("1H", 3_600_000_000),
        ("2M", 120_000_000),
        ("3S", 3_000_000),
        ("4m", 4_000),
    ] {
        assert_eq!(parse_timeout(text), Ok(micros), "{text}");
    }
    assert_eq!(parse_timeout("99999999n"), Ok(99_999));
    for text in [
        "",
        "S",
        "1",
        "123456789S",
        "-1S",
        "+1S",
        "1s",
        "1.5S",
        "1 S",
    ] {
        assert!(parse_timeout(text).is_err(), "{text:?}");
    }
}

#[test]
fn encoded_timeouts_are_never_longer_than_the_span() {
    for span in [
        0,
        1,
        999,
        99_999_999,
        100_000_001,
        123_456_789_012,
        360_000_000_000_123,
        u64::MAX,
    ] {
        let text = encode_timeout(span);
        let parsed = parse_timeout(&text).unwrap();
        assert!(text.len() <= 9 && parsed <= span, "{span} as {text}");
        // The next unit is at most a thousand times as large, so that five digits at least are left.
        assert!(
            span > 3_600_000_000 * 99_999_999 || span - parsed <= span / 100_000,
            "{span} as {text}"
        );
    }
}
