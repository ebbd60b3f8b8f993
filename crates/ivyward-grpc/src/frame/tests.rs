//! Tests of the decoder: messages split into chunks, and invalid messages.

use super::*;

#[test]
fn messages_are_decoded_from_chunks_of_any_size() {
    let bytes = [
        encode(&"first".to_string()),
        encode(&String::new()),
        encode(&"third".to_string()),
    ]
    .concat();
    for size in 1..bytes.len() {
        let (mut decoder, mut messages) = (Decoder::new(100), Vec::new());
        for chunk in bytes.chunks(size) {
            decoder.push(chunk);
            while let Some(text) = decoder.pop::<String>().unwrap() {
                messages.push(text);
            }
        }
        assert_eq!(messages, ["first", "", "third"], "chunks of {size}");
        assert!(decoder.is_empty());
    }
}

#[test]
fn oversized_compressed_and_malformed_messages_are_errors() {
    let mut decoder = Decoder::new(8);
    decoder.push(&encode(&"longer than eight".to_string()));
    assert!(matches!(
        decoder.pop::<String>(),
        Err(FrameError::TooLarge {
            length: 19,
            limit: 8
        })
    ));
    let mut decoder = Decoder::new(8);
    decoder.push(&[1, 0, 0, 0, 0]);
    assert_eq!(decoder.pop::<String>(), Err(FrameError::Compressed));
    let mut decoder = Decoder::new(8);
    decoder.push(&[0, 0, 0, 0, 2, 0xff, 0xff]);
    assert!(matches!(
        decoder.pop::<String>(),
        Err(FrameError::Malformed(_))
    ));
}
