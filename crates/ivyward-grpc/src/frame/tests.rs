//! Tests of the parts of `frame` that nobody outside sees.

use super::*;

#[test]
fn messages_come_out_whole_whatever_the_chunks() {
    let bytes = [
        encode(&"first".to_string()),
        encode(&String::new()),
        encode(&"third".to_string()),
    ]
    .concat();
    for size in 1..bytes.len() {
        let (mut decoder, mut got) = (Decoder::new(100), Vec::new());
        for chunk in bytes.chunks(size) {
            decoder.push(chunk);
            while let Some(text) = decoder.pop::<String>().unwrap() {
                got.push(text);
            }
        }
        assert_eq!(got, ["first", "", "third"], "chunks of {size}");
        assert!(decoder.is_empty());
    }
}

#[test]
fn what_was_not_agreed_on_is_an_error() {
    let mut decoder = Decoder::new(8);
    decoder.push(&encode(&"longer than eight".to_string()));
    assert!(matches!(
        decoder.pop::<String>(),
        Err(FrameError::TooLarge { got: 19, most: 8 })
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
