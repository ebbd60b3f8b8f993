//! Tests of the parser and the encoder of the `grpc-timeout` header.

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
fn encoded_value_is_never_longer_than_the_timeout() {
    for timeout in [
        0,
        1,
        999,
        99_999_999,
        100_000_001,
        123_456_789_012,
        360_000_000_000_123,
        u64::MAX,
    ] {
        let text = encode_timeout(timeout);
        let parsed = parse_timeout(&text).unwrap();
        assert!(text.len() <= 9 && parsed <= timeout, "{timeout} as {text}");
        // Each unit is at most a thousand times the one before, so that a rounded value has at least five digits.
        assert!(
            timeout > 3_600_000_000 * 99_999_999 || timeout - parsed <= timeout / 100_000,
            "{timeout} as {text}"
        );
    }
}
