//! A request whose id comes again does not run twice, although its client has left meanwhile.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const MS: Micros = 1_000;
/// Prefill and decode take this long each.
const PROCESSING_TIME: Micros = 50 * MS;
/// The times after which the clients leave: before, between and during the attempts.
const LEAVE_AFTER: std::ops::Range<Micros> = 2 * MS..130 * MS;
const LEAVE_STEP: usize = 3_000;

/// Sends a request, leaves after `leave_after`, and sends it again after `pause`. Returns the status of the second one.
async fn send_leave_and_send_again(
    cluster: &Cluster,
    id: &str,
    class: &str,
    behind: usize,
    leave_after: Micros,
    pause: Micros,
) -> u16 {
    let mut conn = cluster.connect().await;
    let bytes = [request(id, class, 4_800), vec![b'x'; behind]].concat();
    conn.write_all(&bytes).await.unwrap();
    cluster.client.sleep(leave_after).await;
    drop(conn);
    cluster.client.sleep(pause).await;
    cluster.send_request(id, class).await.status
}

fn decodes(cluster: &Cluster, id: &str) -> usize {
    cluster.attempts(id).iter().filter(|r| is_decode(r)).count()
}

fn setup(may_cancel: bool) -> ClusterSetup {
    let mut setup = ClusterSetup::new(|_| EngineBehavior::Delayed(PROCESSING_TIME));
    setup.config = setup.config.replace(
        "\"may_cancel\":true",
        &format!("\"may_cancel\":{may_cancel}"),
    );
    setup
}

/// Guards against an effect that happens twice: an id was forgotten as soon as its client had left, while its decode ran on.
#[test]
fn a_non_idempotent_request_that_comes_again_after_its_client_left_runs_once() {
    for may_cancel in [true, false] {
        for (behind, pause) in [(0, 0), (40_000, 0), (0, 300 * MS)] {
            setup(may_cancel).run(move |cluster| async move {
                let (mut ran_before, mut ran_after) = (0, 0);
                for leave_after in LEAVE_AFTER.step_by(LEAVE_STEP) {
                    let id = format!("u{leave_after}");
                    let status = send_leave_and_send_again(
                        &cluster,
                        &id,
                        "send",
                        behind,
                        leave_after,
                        pause,
                    )
                    .await;
                    cluster.client.sleep(1_000 * MS).await;
                    let runs = decodes(&cluster, &id);
                    assert!(runs <= 1, "left after {leave_after} us: {runs} runs");
                    match status {
                        200 => ran_after += 1,
                        409 => ran_before += 1,
                        _ => panic!("left after {leave_after} us: status {status}"),
                    }
                    // A refusal would promise that the request may be sent once more.
                    assert!(status == 200 || runs == 1 || pause == 0, "{leave_after}");
                }
                assert!(ran_before > 0 && (ran_after > 0 || pause == 0));
            });
        }
    }
}

/// Guards against an id that is forgotten once the engine has ended the stream, although its client left before.
#[test]
fn a_non_idempotent_request_whose_client_left_during_its_response_runs_once() {
    let event = format!("data: {{\"x\":\"{}\"}}\n\n", "y".repeat(100_000));
    let rest = format!(
        "{:x}\r\n{event}\r\n{:x}\r\n{SERVED_EVENTS}\r\n0\r\n\r\n",
        event.len(),
        SERVED_EVENTS.len()
    );
    let setup = ClusterSetup::new(move |received| match is_decode(received) {
        true => EngineBehavior::RespondAfterFirstEvent(rest.clone().into_bytes()),
        false => EngineBehavior::Normal,
    });
    setup.run(|cluster| async move {
        let mut conn = cluster.connect().await;
        conn.write_all(&request("one", "send", 4_800))
            .await
            .unwrap();
        let mut begin = [0; 1_000];
        conn.read_exact(&mut begin).await.unwrap();
        cluster.client.sleep(1_000 * MS).await;
        drop(conn);
        cluster.client.sleep(1_000 * MS).await;
        assert_eq!(cluster.send_request("one", "send").await.status, 409);
        assert_eq!(decodes(&cluster, "one"), 1);
    });
}

/// Guards against an id that is forgotten once its response was delivered.
#[test]
fn a_non_idempotent_request_that_comes_again_after_its_response_runs_once() {
    setup(true).run(|cluster| async move {
        assert_eq!(cluster.send_request("one", "send").await.status, 200);
        assert_eq!(cluster.send_request("one", "send").await.status, 409);
        assert_eq!(decodes(&cluster, "one"), 1);
    });
}

/// A request that is known not to have run is accepted again, and so is an idempotent one once its attempts have ended.
#[test]
fn a_request_that_never_ran_or_is_idempotent_is_accepted_again() {
    let is_rejecting = Arc::new(AtomicBool::new(true));
    let rejects = is_rejecting.clone();
    let setup = ClusterSetup::new(move |received| match is_decode(received) {
        true if rejects.load(Ordering::SeqCst) => respond_with(REJECTED_UNPROCESSED),
        _ => EngineBehavior::Normal,
    });
    setup.run(move |cluster| async move {
        let first = cluster.send_request("one", "send").await.status;
        assert!(matches!(first, 429 | 503), "{first}");
        assert!(decodes(&cluster, "one") > 0);
        is_rejecting.store(false, Ordering::SeqCst);
        cluster.client.sleep(20_000 * MS).await;
        assert_eq!(cluster.send_request("one", "send").await.status, 200);
        for _ in 0..3 {
            assert_eq!(cluster.send_request("two", "draft").await.status, 200);
        }
    });
}
