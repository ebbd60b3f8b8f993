//! Tests of [`TokenBuffer`].

use super::*;

#[test]
fn first_final_status_counts_and_later_tokens_are_rejected() {
    let buffer = TokenBuffer::new(4);
    let mut cx = Context::from_waker(Waker::noop());
    assert_eq!(buffer.push(&[1, 2]), Ok(2));
    assert!(buffer.finish(FinalStatus::Served));
    assert!(!buffer.finish(FinalStatus::Failed(FailureReason::Deadline)));
    assert_eq!(buffer.push(&[3]), Err(AlreadyFinished));
    let run = ResponsePart::Tokens(TokenRun {
        first_index: 0,
        ids: vec![1, 2],
    });
    assert_eq!(buffer.poll_part(&mut cx), Poll::Ready(run));
    assert!(!buffer.is_delivered());
    assert_eq!(
        buffer.poll_part(&mut cx),
        Poll::Ready(ResponsePart::End(FinalStatus::Served))
    );
    assert!(buffer.is_delivered());
}

#[test]
fn slow_client_blocks_the_writer_at_the_bound() {
    let buffer = TokenBuffer::new(4);
    let mut cx = Context::from_waker(Waker::noop());
    for ids in [[1, 2], [3, 4]] {
        assert!(buffer.poll_capacity(&mut cx).is_ready());
        buffer.push(&ids).unwrap();
    }
    assert!(buffer.poll_capacity(&mut cx).is_pending());
    assert!(buffer.poll_part(&mut cx).is_ready());
    assert!(buffer.poll_capacity(&mut cx).is_ready());
    buffer.push(&[5]).unwrap();
    let run = ResponsePart::Tokens(TokenRun {
        first_index: 4,
        ids: vec![5],
    });
    assert_eq!(buffer.poll_part(&mut cx), Poll::Ready(run));
}

#[test]
fn failure_discards_unread_tokens() {
    let buffer: TokenBuffer<u8> = TokenBuffer::new(4);
    let mut cx = Context::from_waker(Waker::noop());
    buffer.push(b"late").unwrap();
    assert!(buffer.finish(FinalStatus::Failed(FailureReason::Deadline)));
    assert_eq!(buffer.push(b"later"), Err(AlreadyFinished));
    assert_eq!(
        buffer.poll_items(&mut cx),
        Poll::Ready(Err(FinalStatus::Failed(FailureReason::Deadline)))
    );
    assert!(buffer.is_delivered());
}
