//! Unit tests of the parsers of `process`.

use super::*;

#[test]
fn a_view_is_parsed_and_malformed_text_is_rejected() {
    let text = "self id=0a start=5 zone=0 address=127.0.0.1:1 count=2 joined=true\n\
                peer id=0b start=6 zone=0 address=127.0.0.1:2 state=unheard certain=false\n";
    let view = View::read(text).unwrap();
    assert_eq!((view.count, view.joined, view.start), (2, true, 5));
    let row = PeerRow {
        state: "unheard".into(),
        start: 6,
        certain: false,
    };
    assert_eq!(view.peers.get(&0x0b), Some(&row));
    assert_eq!(View::read(""), None);
    assert_eq!(View::read("not found\n"), None);
    assert_eq!(field(r#"{"a":"1","run":"ff"}"#, "run"), Some("ff"));
}
