//! What gRPC clients make a node hold of their requests is bounded, whatever they do on their connections.

mod http2_client;
mod virtual_cluster;

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::SendStream;
use ivyward::NodeSettings;
use ivyward_core::interface::ListKind;
use ivyward_grpc::encode;
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{timeout_at, RuntimeExt, RuntimeRef};
use ivyward_testbed::local_cluster::settings;
use std::net::SocketAddr;
use virtual_cluster::{prompt, request, virtual_cluster, HOUR};

/// The limit on the bytes of requests.
const MAX_REQUEST_BYTES: usize = 200_000;
const CALLS: u64 = 60;
/// The tokens of a long prompt. Each has two bytes at least on the wire.
const LONG_PROMPT: u32 = 10_000;
/// How much of its message a client sends that stops half way, in bytes.
const SENT_BYTES: usize = 15_000;
/// How long a refusal may take, in microseconds.
const WAIT: u64 = 1_000_000;

/// A call that was begun on a connection.
struct OpenCall {
    response: ResponseFuture,
    upload: SendStream<Bytes>,
}

/// Begins a call with `headers` additional header lines, and sends a part of its message.
async fn begin_call(client: &mut SendRequest<Bytes>, headers: usize, part: Bytes) -> OpenCall {
    let mut head = http2_client::call_head();
    for number in 0..headers {
        head = head.header(format!("a{number}"), "b");
    }
    let mut ready = client.clone().ready().await.unwrap();
    let (response, mut upload) = ready.send_request(head.body(()).unwrap(), false).unwrap();
    if !part.is_empty() {
        upload.send_data(part, false).unwrap();
    }
    OpenCall { response, upload }
}

/// Returns the outcome of a call; `None` if there is none after `WAIT`.
async fn outcome_in_time(runtime: &RuntimeRef, call: OpenCall) -> Option<String> {
    let until = runtime.now() + WAIT;
    let outcome = timeout_at(runtime, until, http2_client::outcome(call.response)).await?;
    drop(call.upload);
    Some(outcome.expect("the connection is open"))
}

/// Sends a whole call on a connection of its own, and returns its outcome.
async fn outcome_of_whole_call(runtime: &RuntimeRef, address: SocketAddr) -> Option<String> {
    let mut client = http2_client::connect(runtime, address).await;
    let mut call = begin_call(&mut client, 0, Bytes::new()).await;
    let message = encode(&request(1_000, &prompt(1, 60), 1_000));
    call.upload.send_data(message, true).unwrap();
    http2_client::outcome(call.response).await
}

/// Begins `CALLS` calls on one connection, each with this many header lines and a part of a message. Returns how many were
/// refused, and the outcome of another client's call beside them.
fn refused_of_incomplete_calls(headers: usize, sent_bytes: usize) -> (usize, Option<String>) {
    let cluster = virtual_cluster();
    let (node, address, ..) = cluster.node_with(NodeSettings {
        max_request_bytes: MAX_REQUEST_BYTES,
        seed: 7,
        ..settings()
    });
    let (listed, runtime) = (cluster.listed(), cluster.runtime.clone());
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        let mut client = http2_client::connect(&runtime, address).await;
        let mut calls = Vec::new();
        for number in 1..=CALLS {
            let message = encode(&long_request(number));
            let part = message.slice(..sent_bytes);
            calls.push(begin_call(&mut client, headers, part).await);
        }
        runtime.sleep(WAIT).await;
        let whole = outcome_of_whole_call(&runtime, address).await;
        let mut refused = 0;
        for call in calls {
            match outcome_in_time(&runtime, call).await.as_deref() {
                None => {}
                Some("refused") => refused += 1,
                other => panic!("{other:?}"),
            }
        }
        (refused, whole)
    });
    result.unwrap()
}

fn long_request(number: u64) -> GenerateRequest {
    let words: Vec<u32> = (0..LONG_PROMPT).map(|word| 1_000 + word % 1_000).collect();
    request(number, &words, number as u32)
}

/// Guards against clients that make the node hold any number of half messages.
#[test]
fn calls_that_stop_halfway_are_refused_beyond_the_limit_on_memory() {
    let (refused, whole) = refused_of_incomplete_calls(0, SENT_BYTES);
    let held = CALLS as usize - refused;
    assert!(
        held * SENT_BYTES <= MAX_REQUEST_BYTES,
        "{held} calls are held"
    );
    assert!(held > 0);
    assert_eq!(whole.as_deref(), Some("served"));
}

/// Guards against heads of very many short fields, which take more memory than their bytes.
#[test]
fn heads_of_many_fields_are_refused_beyond_the_limit_on_memory() {
    const FIELDS: usize = 300;
    let (refused, whole) = refused_of_incomplete_calls(FIELDS, 0);
    let held = CALLS as usize - refused;
    // A field of the parsed head takes 50 bytes at least.
    assert!(
        held * FIELDS * 50 <= MAX_REQUEST_BYTES,
        "{held} calls are held"
    );
    assert_eq!(whole.as_deref(), Some("served"));
}

/// Guards against prompts of open requests that are bounded by the number of requests alone.
#[test]
fn prompts_of_open_requests_are_refused_beyond_the_limit_on_memory() {
    let cluster = virtual_cluster();
    let (node, ..) = cluster.node_with(NodeSettings {
        max_request_bytes: MAX_REQUEST_BYTES,
        seed: 7,
        ..settings()
    });
    let listed = cluster.listed();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        let held: Vec<_> = (1..=CALLS)
            .map(|number| node.generate(long_request(number), Some(2_000_000)))
            .collect();
        let rejected = node.metrics().rejected.get() as usize;
        drop(held);
        rejected
    });
    let held = CALLS as usize - result.unwrap();
    assert!(held * LONG_PROMPT as usize * size_of::<u32>() <= MAX_REQUEST_BYTES);
    assert!(held > 0);
}
