//! Peers that send without pause do not hold up the node's only thread. On real sockets, because the simulation's network
//! delivers nothing while a task runs.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::runtime::{timeout_at, Conn, Micros, RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward_fakes::platform::exchange::{read_request, read_response};
use ivyward_platform::{Config, Service};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a client waits: half of the time after which requests of its class are given up.
const CLIENT_TIMEOUT: Micros = 3_750_000;
/// A response later than this after the client's timeout counts as lost.
const LATE: Micros = 550_000;

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const FIRST_EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
const PREFILLED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
const BODY: &str = r#"{"model":"draft","messages":[]}"#;
/// The id of the request whose response never ends.
const ENDLESS: &str = "00000000000000ee";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn listed(id: usize, kind: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"id":"s-{id}","addr":"{address}","zone":"a","kind":"{kind}","cell":1,"state":"up","weight":1.0,"started_ms":0}}"#
    )
}

fn config(prefill: SocketAddr, decode: SocketAddr) -> Config {
    let entries = [listed(0, "prefill", prefill), listed(1, "decode", decode)].join(",");
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"5","limits":{{"memory_mb":64,"sockets":160}},
        "known":{{"version":1,"full":true,"servers":[{entries}]}},
        "settings":{{"balancers":1,"zone":0,"failure_domains":["a"],"host_types":["prefill","decode"],
        "family_info":{{"kind_role":["read","write"],"local_read":false,"early_pairing":false,"let_go_by_us":300000,
          "memory_tokens":[250000,150000],"aim_us_per_1000_prompt_tokens":[40000.0,40000.0],"token_aim_us":[60000.0,60000.0],
          "transfer_price":0.05}},
        "classes":[{{"name":"draft","semantics":"retryable","target_us":1500000,"deadline_us":7500000,"importance":2.0}}],
        "parties":[{{"name":"acme","quota_per_s":100.0}}],
        "guarantees":{{"drain_grace_us":1000000,"fall_multiple":2.5,"fall_us":3000000,"start_capacity":0.4,
          "warm_after_us":10000000}},
        "limits":{{"try_limit":5,"retry_after":true,"max_retry_after_us":2000000,"dial_timeout_us":250000}}}}}}"#
    );
    Config::parse("test", text.as_bytes()).unwrap()
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: draft\r\nX-Tenant-Id: acme\r\n\
         X-Timeout-Ms: {}\r\nX-Attrs: prompt_len=20,prefix_len=0,max_out=20\r\nContent-Length: {}\r\n\r\n{BODY}",
        CLIENT_TIMEOUT / 1_000,
        BODY.len()
    )
    .into_bytes()
}

/// What a decode engine sends without end in response to [`ENDLESS`].
struct EndlessResponse {
    begin: String,
    repeated: String,
}

/// Starts an engine that responds to prefills and decodes at once.
fn start_engine(
    runtime: &RuntimeRef,
    endless: Option<EndlessResponse>,
    endless_began: &async_channel::Sender<()>,
) -> SocketAddr {
    let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.address();
    let (inner, began) = (runtime.clone(), endless_began.clone());
    let endless = Arc::new(endless);
    runtime.run(async move {
        while let Ok((conn, _)) = listener.accept().await {
            let (endless, began) = (endless.clone(), began.clone());
            inner.run(async move { serve_engine(conn, endless.as_ref().as_ref(), &began).await });
        }
    });
    address
}

async fn serve_engine(
    mut conn: Conn,
    endless: Option<&EndlessResponse>,
    endless_began: &async_channel::Sender<()>,
) {
    let mut bytes = Vec::new();
    while let Some((request, _)) = read_request(&mut conn, &mut bytes).await {
        let id = request.headers.text("x-request-id").unwrap_or("");
        let response = match endless {
            None => PREFILLED.to_owned(),
            Some(endless) if id == ENDLESS => {
                let _ = endless_began.send(()).await;
                let mut written = conn.write_all(endless.begin.as_bytes()).await;
                while written.is_ok() {
                    written = conn.write_all(endless.repeated.as_bytes()).await;
                }
                return;
            }
            Some(_) => {
                let events = chunk(&format!("{FIRST_EVENT}data: [DONE]\n\n"));
                format!("{STREAM_HEAD}{events}0\r\n\r\n")
            }
        };
        if conn.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn send(clients: &RuntimeRef, address: SocketAddr, id: &str) -> Conn {
    let mut conn = clients.connect(address).await.unwrap();
    conn.write_all(&request(id)).await.unwrap();
    conn
}

/// Sends one request whose decode engine responds without end, and checks that requests beside it are answered in time.
fn other_requests_are_served_beside(endless: EndlessResponse) {
    let node = SmolRuntime::start(1, 1);
    let others: RuntimeRef = SmolRuntime::start(2, 2);
    node.block_on(async {
        let (began, wait_until_began) = async_channel::bounded(1);
        let prefill = start_engine(&others, None, &began);
        let decode = start_engine(&others, Some(endless), &began);
        let service = Service::start(node.clone(), config(prefill, decode))
            .await
            .unwrap();
        let address = service.address();
        let mut endless = send(&others, address, ENDLESS).await;
        let responded = async {
            let response = read_response(&others, &mut endless).await;
            panic!("the stream did not begin: {response:?}");
        };
        or(async { wait_until_began.recv().await.unwrap() }, responded).await;
        for number in 0..20 {
            let mut conn = send(&others, address, &format!("{number:016x}")).await;
            let until = others.now() + CLIENT_TIMEOUT + LATE;
            let response = timeout_at(&others, until, read_response(&others, &mut conn)).await;
            let response = response.expect("no response in time");
            assert_eq!(
                (response.status, response.complete),
                (200, true),
                "{number}"
            );
        }
    });
}

/// Guards against work that grows with the square of an event's length: all its bytes were searched again for each chunk.
#[test]
fn an_endless_event_in_chunks_of_one_byte_does_not_hold_up_other_requests() {
    other_requests_are_served_beside(EndlessResponse {
        begin: format!("{STREAM_HEAD}{}{}", chunk(FIRST_EVENT), chunk("data: {")),
        repeated: chunk("x").repeat(1_000),
    });
}

/// Guards against the same work before the first event of a stream, where the attempt has not been answered yet.
#[test]
fn an_endless_first_event_does_not_hold_up_other_requests() {
    other_requests_are_served_beside(EndlessResponse {
        begin: format!("{STREAM_HEAD}{}", chunk("data: {")),
        repeated: chunk("x").repeat(1_000),
    });
}

/// Guards against a client that keeps the thread by requests behind each other: the node went on while there was one to read.
#[test]
fn requests_behind_each_other_without_end_do_not_hold_up_other_clients() {
    const MAX_REQUESTS: usize = 400_000;
    const BATCH: usize = 1_000;
    let node = SmolRuntime::start(1, 1);
    let others: RuntimeRef = SmolRuntime::start(2, 2);
    node.block_on(async {
        let (began, _wait) = async_channel::bounded(1);
        let engine = start_engine(&others, None, &began);
        let service = Service::start(node.clone(), config(engine, engine))
            .await
            .unwrap();
        let address = service.address();
        let (flooding, wait_until_flooding) = async_channel::bounded(1);
        let (answered, wait_until_answered) = async_channel::bounded::<()>(1);
        let (ended, wait_for_end) = async_channel::bounded(1);
        let conn = others.connect(address).await.unwrap();
        let (mut responses, mut requests) = futures_lite::io::split(conn);
        // Responses are read meanwhile, so that the node never waits to write one.
        others.run(async move {
            let mut buffer = [0; 64 << 10];
            while responses
                .read(&mut buffer)
                .await
                .is_ok_and(|length| length > 0)
            {}
        });
        others.run(async move {
            let flood = async {
                let batch = b"GET /x HTTP/1.1\r\n\r\n".repeat(BATCH);
                for _ in 0..MAX_REQUESTS / BATCH {
                    requests.write_all(&batch).await.unwrap();
                    let _ = flooding.try_send(());
                }
                "the flood"
            };
            let other_client = async {
                wait_until_answered.recv().await.unwrap();
                "the other client"
            };
            ended.send(or(flood, other_client).await).await.unwrap();
        });
        wait_until_flooding.recv().await.unwrap();
        let mut conn = others.connect(address).await.unwrap();
        conn.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        assert_eq!(read_response(&others, &mut conn).await.status, 200);
        // Not received any more if the flood has ended before.
        let _ = answered.send(()).await;
        assert_eq!(wait_for_end.recv().await.unwrap(), "the other client");
    });
}
