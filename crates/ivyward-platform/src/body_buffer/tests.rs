//! Bodies in pieces, and the capacity that is counted for them.

use super::*;

#[test]
fn a_body_in_pieces_is_returned_whole_and_its_capacity_is_announced() {
    let body: Vec<u8> = (0..20_000u32).map(|n| n as u8).collect();
    for framing in [Framing::Length(body.len() as u64), Framing::Chunked] {
        for piece in [1, 700, BLOCK_SIZE, 3 * BLOCK_SIZE + 1, body.len()] {
            let mut buffer = BodyBuffer::new(framing);
            for data in body.chunks(piece) {
                let announced = buffer.capacity + buffer.missing(data.len());
                buffer.append(data);
                assert_eq!(buffer.capacity, announced, "{framing:?}, {piece}");
            }
            assert!(buffer.capacity < body.len() + BLOCK_SIZE);
            assert!(
                buffer.parts().collect::<Vec<_>>().concat() == body,
                "{framing:?}, {piece}"
            );
        }
    }
}
