//! Tests of the ends of prefix ranges.

use super::*;

#[test]
fn prefix_end_is_the_first_key_after_all_keys_of_the_prefix() {
    assert_eq!(prefix_end(b"a/"), b"a0");
    assert_eq!(prefix_end(&[b'a', 0xff, 0xff]), b"b");
    assert_eq!(prefix_end(&[0xff]), [0]);
    assert_eq!(prefix_end(b""), [0]);
}
