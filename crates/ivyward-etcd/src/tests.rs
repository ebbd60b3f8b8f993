//! Tests of the parts of `lib` that nobody outside sees.

use super::*;

#[test]
fn the_end_of_a_prefix_is_the_next_key_that_does_not_begin_with_it() {
    assert_eq!(prefix_end(b"a/"), b"a0");
    assert_eq!(prefix_end(&[b'a', 0xff, 0xff]), b"b");
    assert_eq!(prefix_end(&[0xff]), [0]);
    assert_eq!(prefix_end(b""), [0]);
}
