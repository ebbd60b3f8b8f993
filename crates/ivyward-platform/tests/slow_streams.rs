//! Streams whose engines write slowly: one that makes progress is forwarded whole, one that makes none is cut.

mod common;
use common::*;
use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;

const MS: Micros = 1_000;
/// The platform requires the client's connection to end within this time after an engine's last byte.
const MAX_SILENCE: Micros = 5_000 * MS;
/// An event that never ends is cut after this time, however many bytes of it arrive.
const MAX_ENDLESS: Micros = 35_000 * MS;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the rest of a stream: one event of `length` bytes, in one chunk or in chunks of `chunk_length` bytes, and the end.
fn rest_of_stream(length: usize, chunk_length: usize) -> Vec<u8> {
    let event = format!("data: {{\"x\":\"{}\"}}\n\n", "y".repeat(length));
    let chunks: String = event
        .as_bytes()
        .chunks(chunk_length)
        .map(|part| chunk(std::str::from_utf8(part).unwrap()))
        .collect();
    let end = chunk("data: [DONE]\n\n");
    format!("{chunks}{end}0\r\n\r\n").into_bytes()
}

/// Sends one request, whose decode engine writes `bytes` in pieces after the first event. Returns the response, and when it began.
fn run(bytes: Vec<u8>, piece: usize, pause: Micros, check: fn(&Response, Micros)) {
    let setup = ClusterSetup::new(move |received| match is_decode(received) {
        true => EngineBehavior::RespondSlowly {
            bytes: bytes.clone(),
            piece,
            pause,
        },
        false => EngineBehavior::Normal,
    });
    setup.run(move |cluster| async move {
        let mut conn = cluster.connect().await;
        let begun = cluster.client.now();
        conn.write_all(&request("one", "send", 4_800))
            .await
            .unwrap();
        let response = read_response(&cluster.client, &mut conn).await;
        assert_eq!(response.status, 200);
        check(&response, begun);
    });
}

fn is_whole(response: &Response, _: Micros) {
    assert!(response.complete, "cut after {} bytes", response.body.len());
}

/// Guards against a stream that is cut while its engine writes one event slowly: only complete events counted as progress.
#[test]
fn an_event_that_is_written_slowly_is_forwarded_whole() {
    // 400 bytes over 10 s and more, in one chunk and in a chunk for each byte.
    run(rest_of_stream(400, 1_000), 4, 100 * MS, is_whole);
    run(rest_of_stream(400, 1), 30, 50 * MS, is_whole);
    // 60 kB over 8 s.
    run(rest_of_stream(60_000, 8_000), 4_000, 500 * MS, is_whole);
    // Pieces that arrive just before the stall timeout.
    run(rest_of_stream(40, 100), 12, 4_400 * MS, is_whole);
}

/// Guards against a stream that stays open without progress: its engine stops in the middle of an event, or writes one that does
/// not end.
#[test]
fn an_event_that_does_not_end_is_cut() {
    let stops = rest_of_stream(400, 1_000)[..200].to_vec();
    run(stops, 200, 100 * MS, |response, begun| {
        assert!(!response.complete);
        let silent = response.ended_at - begun;
        assert!(silent < MAX_SILENCE + 300 * MS, "cut after {silent} us");
    });
    let endless = rest_of_stream(100_000, 200_000);
    run(endless, 4, 100 * MS, |response, begun| {
        assert!(!response.complete);
        let open = response.ended_at - begun;
        assert!(open < MAX_ENDLESS, "cut after {open} us");
    });
}

/// Guards against noise that is taken for an event that is written slowly. It is cut as soon as it cannot be an event.
#[test]
fn noise_that_is_written_slowly_is_cut_in_time() {
    let noise = chunk(&"~".repeat(1_000)).into_bytes();
    let endless_chunk_size = [b"5;".to_vec(), vec![b'x'; 1_000]].concat();
    for bytes in [noise, endless_chunk_size] {
        run(bytes, 4, 100 * MS, |response, begun| {
            assert!(!response.complete);
            let open = response.ended_at - begun;
            assert!(open < MAX_SILENCE, "cut after {open} us");
        });
    }
}

/// Guards against an answer after its time: engines read a large request so slowly that no attempt is sent whole.
#[test]
fn a_large_request_that_engines_read_slowly_is_answered_in_time() {
    const TIMEOUT: Micros = 1_500 * MS;
    for class in ["draft", "send"] {
        for bytes_per_second in [2_000, 20_000, 120_000] {
            ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
                let body = format!(r#"{{"messages":["{}"]}}"#, "x".repeat(240_000));
                let text = String::from_utf8(request("large", class, TIMEOUT / MS)).unwrap();
                let text = text.replace(BODY, &body).replace(
                    &format!("Content-Length: {}", BODY.len()),
                    &format!("Content-Length: {}", body.len()),
                );
                cluster.sim.update_network(|net| net.bytes_per_second = 0);
                let mut conn = cluster.connect().await;
                conn.write_all(text.as_bytes()).await.unwrap();
                let sent_at = cluster.client.now();
                let slow = bytes_per_second;
                cluster
                    .sim
                    .update_network(|net| net.bytes_per_second = slow);
                let response = read_response(&cluster.client, &mut conn).await;
                let waited = response.ended_at - sent_at;
                assert!(
                    response.status >= 400,
                    "{class}, {slow}: {}",
                    response.status
                );
                // The response itself crosses the slow network.
                assert!(waited < TIMEOUT + 200 * MS, "{class}, {slow}: {waited} us");
                assert!(cluster.attempts("large").iter().all(|r| !is_decode(r)));
            });
        }
    }
}
