//! Tests of the messages that clients receive for invalid requests.

use super::*;

#[test]
fn text_names_the_field_and_the_bad_value() {
    let texts = [
        (
            InvalidRequest::UnknownName {
                field: "class",
                name: "mystery".into(),
                known: vec!["quick".into(), "slow".into()],
            },
            "class \"mystery\" is none of: quick, slow",
        ),
        (
            InvalidRequest::PromptLength { length: 0, max: 9 },
            "a prompt of 0 tokens; 1 to 9 are taken",
        ),
        (
            InvalidRequest::MaxOutput { value: 10, max: 9 },
            "max_output_tokens 10 must be from 1 to 9",
        ),
        (
            InvalidRequest::PrefixLength {
                prefix: 4,
                length: 3,
            },
            "shared_opening_tokens 4 is over the prompt's 3",
        ),
        (
            InvalidRequest::MissingIdempotencyKey {
                class: "send".into(),
            },
            "class \"send\" needs an idempotency_key",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
