//! Status lines of responses.

use super::reason_phrase;

/// Covers every status that the server sends.
#[test]
fn reason_phrases_match_rfc_9110() {
    let phrases = [
        (200, "OK"),
        (400, "Bad Request"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (409, "Conflict"),
        (413, "Content Too Large"),
        (429, "Too Many Requests"),
        (431, "Request Header Fields Too Large"),
        (502, "Bad Gateway"),
        (503, "Service Unavailable"),
        (504, "Gateway Timeout"),
    ];
    for (status, phrase) in phrases {
        assert_eq!(reason_phrase(status), phrase, "{status}");
    }
}
