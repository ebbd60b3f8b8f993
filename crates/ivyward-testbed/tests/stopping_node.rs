//! What a stopping gRPC node does with calls that began before the stop.

mod http2_client;
mod virtual_cluster;

use bytes::Bytes;
use futures_lite::future::or;
use h2::client::SendRequest;
use ivyward_core::interface::ListKind;
use ivyward_grpc::encode;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use virtual_cluster::{prompt, request, virtual_cluster, HOUR};

/// How long open requests may last after the stop, in microseconds.
const STOP_TIMEOUT: u64 = 3_000_000;

/// Sends a call in two parts, the second one `pause` later. Returns the call's outcome from its trailers; `None` if the
/// connection ended without one.
async fn call_in_parts(
    runtime: &RuntimeRef,
    mut client: SendRequest<Bytes>,
    first_part: usize,
    pause: u64,
) -> Option<String> {
    let head = http2_client::call_head().body(()).unwrap();
    let (response, mut upload) = client.send_request(head, false).unwrap();
    let mut message = encode(&request(1, &prompt(1, 60), 1));
    let begin = message.split_to(first_part);
    upload.send_data(begin, false).unwrap();
    runtime.sleep(pause).await;
    upload.send_data(message, true).ok()?;
    http2_client::outcome(response).await
}

/// Guards against a call that a stopping node forwards although its message came after the stop.
#[test]
fn a_call_whose_message_comes_after_the_stop_is_rejected() {
    // Nothing, a part of the prefix, the prefix, and a part of the message come before the stop.
    for first_part in [0, 3, 5, 40] {
        let cluster = virtual_cluster();
        let (node, address, _) = cluster.node(7);
        let (listed, runtime, log) = (
            cluster.listed(),
            cluster.runtime.clone(),
            cluster.log.clone(),
        );
        let outcome = cluster.sim.run(&cluster.script, HOUR, async move {
            node.update_endpoints(ListKind::Full, listed).await;
            let client = http2_client::connect(&runtime, address).await;
            let call = call_in_parts(&runtime, client, first_part, 500_000);
            let stopping = async {
                runtime.sleep(100_000).await;
                node.stop(STOP_TIMEOUT).await;
                std::future::pending().await
            };
            let outcome = or(call, stopping).await;
            let attempts = log.all().into_iter();
            let attempts = attempts.filter(|logged| format!("{logged:?}").contains("Attempt"));
            (outcome, attempts.count())
        });
        let (outcome, attempts) = outcome.unwrap();
        assert_eq!(
            (outcome.as_deref(), attempts),
            (Some("refused"), 0),
            "{first_part}"
        );
    }
}
