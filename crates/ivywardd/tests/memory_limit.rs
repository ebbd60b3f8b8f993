//! A platform node stays within its memory limit, whatever hundreds of clients do on their connections. The limit is the
//! smallest of the platform's, beside the most file descriptors. Processes on loopback, because the memory is that of a process.

mod common;

use common::{ProcessGuard, TempFile};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_fakes::platform::exchange::{read_request, read_response};
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt, RuntimeRef, SmolRuntime};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

const MS: Micros = 1_000;
/// The limit on the node's memory, in units of 1,000,000 bytes.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1_024;
const BAD_CLIENTS: usize = 450;
/// How long the clients of one test send requests.
const DURATION: Micros = 4_000 * MS;
/// The pause of a slow client between two pieces.
const PAUSE: Micros = 50 * MS;
const SAMPLE_INTERVAL: Micros = 20 * MS;
/// The timeout that clients state.
const CLIENT_TIMEOUT: Micros = 5_000 * MS;
/// Usual clients wait longer, because a busy machine may delay them, too.
const MAX_WAIT: Micros = 30_000 * MS;
const PREFILL_TIME: Micros = 300 * MS;
const LONG_BODY: usize = 240_000;
/// The length of the response to a request of a slow reader.
const LONG_RESPONSE: usize = 800_000;
const EVENT_LENGTH: usize = 400;
/// The names of the sessions of requests with a long response, and with responses of long events, begin with these.
const LONG: &str = "long";
const LONG_EVENTS: &str = "events";
const LONG_EVENT_LENGTH: usize = 100_000;

/// What the clients of a test do on each of their connections.
#[derive(Clone, Copy, Debug)]
enum BadClient {
    /// Sends two requests at once, and reads the responses.
    SendsTwoAtOnce,
    /// Writes a long body in pieces.
    WritesSlowly,
    /// Stops before the end of a long body.
    StopsHalfway,
    /// Sends short header lines, and no end of the head.
    SendsManyHeaders,
    /// Sends a head that is as long as one may be, and then the body in pieces.
    SendsLongHeads,
    /// Reads a long response in small pieces.
    ReadsSlowly,
    /// Reads a long response in small pieces, and sends more heads behind its request.
    ReadsSlowlyAndSends,
    /// Reads nothing of a response with long events.
    ReadsNoLongEvents,
}

/// Tests run one after the other, so that the clients of one do not slow down those of another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn head(id: &str, session: &str, length: usize, extra: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: draft\r\nX-Route-Key: {session}\r\n\
         X-Timeout-Ms: {}\r\n{extra}Content-Length: {length}\r\n\r\n",
        CLIENT_TIMEOUT / MS
    )
}

fn body(length: usize) -> Vec<u8> {
    let (begin, end) = ("{\"messages\":[{\"content\":\"", "\"}]}");
    let text = "x".repeat(length - begin.len() - end.len());
    format!("{begin}{text}{end}").into_bytes()
}

fn request(id: &str, session: &str, length: usize) -> Vec<u8> {
    [head(id, session, length, "").into_bytes(), body(length)].concat()
}

fn chunk(event: &str) -> Vec<u8> {
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

/// Returns a stream of `count` events.
fn stream(count: usize, event_length: usize) -> Vec<u8> {
    let event = chunk(&format!(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
        "x".repeat(event_length)
    ));
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let end = [chunk("data: [DONE]\n\n"), b"0\r\n\r\n".to_vec()].concat();
    [head, event.repeat(count), end].concat()
}

/// The responses of decode engines.
struct Streams {
    short: Vec<u8>,
    long: Vec<u8>,
    long_events: Vec<u8>,
}

impl Streams {
    fn new() -> Streams {
        Streams {
            short: stream(4, EVENT_LENGTH),
            long: stream(LONG_RESPONSE / EVENT_LENGTH, EVENT_LENGTH),
            long_events: stream(LONG_RESPONSE / LONG_EVENT_LENGTH, LONG_EVENT_LENGTH),
        }
    }

    fn of(&self, id: &str) -> &[u8] {
        if id.starts_with(LONG_EVENTS) {
            &self.long_events
        } else if id.starts_with(LONG) {
            &self.long
        } else {
            &self.short
        }
    }
}

/// Starts an engine. A decode engine responds with one of `streams`, a prefill engine after some time.
fn start_engine(runtime: &RuntimeRef, streams: Option<Streams>) -> SocketAddr {
    let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.address();
    let (runtime, streams) = (runtime.clone(), Arc::new(streams));
    runtime.clone().run(async move {
        while let Ok((conn, _)) = listener.accept().await {
            let (engine, streams) = (runtime.clone(), streams.clone());
            runtime
                .run(async move { serve_engine(&engine, conn, streams.as_ref().as_ref()).await });
        }
    });
    address
}

async fn serve_engine(runtime: &RuntimeRef, mut conn: Conn, streams: Option<&Streams>) {
    let mut bytes = Vec::new();
    while let Some((request, _)) = read_request(&mut conn, &mut bytes).await {
        let response: &[u8] = match streams {
            _ if request.method == "DELETE" => b"HTTP/1.1 204 N\r\n\r\n",
            Some(streams) => streams.of(request.headers.text("x-request-id").unwrap_or("")),
            None => {
                runtime.sleep(PREFILL_TIME).await;
                b"HTTP/1.1 202 A\r\nContent-Length: 2\r\n\r\n{}"
            }
        };
        if conn.write_all(response).await.is_err() {
            return;
        }
    }
}

fn config(prefill: SocketAddr, decode: SocketAddr) -> String {
    let entry = |id: usize, kind: &str, address: SocketAddr| {
        format!(
            r#"{{"id":"s-{id}","addr":"{address}","zone":"a","kind":"{kind}","cell":0,"state":"up","weight":1.0,"started_ms":0}}"#
        )
    };
    let entries: Vec<String> = (0..8)
        .map(|id| match id % 2 {
            0 => entry(id, "prefill", prefill),
            _ => entry(id, "decode", decode),
        })
        .collect();
    common::config("127.0.0.1:0")
        .replace("\"memory_mb\":64", &format!("\"memory_mb\":{MEMORY_MB}"))
        .replace("\"sockets\":256", &format!("\"sockets\":{SOCKETS}"))
        .replace(
            r#"{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"prefill","cell":0,
          "state":"up","weight":1.0,"started_ms":0}"#,
            &entries.join(","),
        )
}

/// Returns the memory of a process without that of the files it maps, in bytes.
fn anonymous_memory(process: &ProcessGuard) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).unwrap();
    let kilobytes = |name: &str| -> usize {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    (kilobytes("VmRSS:") - kilobytes("RssFile:")) * 1_024
}

/// Writes `bytes` in pieces, with a pause after each.
async fn write_slowly(runtime: &RuntimeRef, conn: &mut Conn, bytes: &[u8], piece: usize) {
    for piece in bytes.chunks(piece) {
        if conn.write_all(piece).await.is_err() {
            return;
        }
        runtime.sleep(PAUSE).await;
    }
}

/// Reads small pieces with pauses, until the connection ends.
async fn read_slowly(runtime: &RuntimeRef, conn: &mut Conn) {
    let mut piece = [0; 200];
    while conn.read(&mut piece).await.is_ok_and(|length| length > 0) {
        runtime.sleep(PAUSE).await;
    }
}

async fn read_to_end(conn: &mut Conn) {
    let mut buffer = [0; 4_096];
    while conn.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

impl BadClient {
    /// Does what this client does on one new connection.
    async fn use_connection(self, runtime: &RuntimeRef, conn: &mut Conn, id: &str) {
        match self {
            BadClient::SendsTwoAtOnce => {
                let requests = [
                    request(&format!("{id}a"), id, 16_500),
                    request(&format!("{id}b"), id, 64_000),
                ];
                let _ = conn.write_all(&requests.concat()).await;
                read_to_end(conn).await;
            }
            BadClient::WritesSlowly => {
                write_slowly(runtime, conn, &request(id, id, LONG_BODY), 8_000).await;
                read_to_end(conn).await;
            }
            BadClient::StopsHalfway => {
                let bytes = request(id, id, LONG_BODY);
                let _ = conn.write_all(&bytes[..bytes.len() * 5 / 6]).await;
                read_to_end(conn).await;
            }
            BadClient::SendsManyHeaders => {
                let lines = format!("GET / HTTP/1.1\r\n{}", "a:b\r\n".repeat(3_200));
                let _ = conn.write_all(lines.as_bytes()).await;
                read_to_end(conn).await;
            }
            BadClient::SendsLongHeads => {
                let lines: String = (0..50)
                    .map(|n| format!("h{n}: {}\r\n", "y".repeat(300)))
                    .collect();
                let bytes = [
                    head(id, id, LONG_BODY, &lines).into_bytes(),
                    body(LONG_BODY),
                ];
                write_slowly(runtime, conn, &bytes.concat(), 8_000).await;
                read_to_end(conn).await;
            }
            BadClient::ReadsSlowly => {
                let _ = conn
                    .write_all(&request(&format!("{LONG}{id}"), id, 4_000))
                    .await;
                read_slowly(runtime, conn).await;
            }
            BadClient::ReadsSlowlyAndSends => {
                let lines = format!("GET / HTTP/1.1\r\n{}", "a:b\r\n".repeat(3_200));
                let bytes = [
                    request(&format!("{LONG}{id}"), id, 4_000),
                    lines.into_bytes(),
                ];
                let _ = conn.write_all(&bytes.concat()).await;
                read_slowly(runtime, conn).await;
            }
            BadClient::ReadsNoLongEvents => {
                let _ = conn
                    .write_all(&request(&format!("{LONG_EVENTS}{id}"), id, 4_000))
                    .await;
                runtime.sleep(CLIENT_TIMEOUT).await;
            }
        }
    }
}

/// How the requests of the usual clients ended.
#[derive(Default, Debug)]
struct Answers {
    whole: AtomicUsize,
    rejected: AtomicUsize,
    /// Failed at the deadline, as on a busy machine.
    failed: AtomicUsize,
    /// Without a status, or without the end of the response.
    none: AtomicUsize,
}

/// What was seen in one run.
#[derive(Debug)]
struct Observed {
    /// The most memory that the node had, in bytes.
    peak: usize,
    answers: Arc<Answers>,
}

/// Sends requests one after the other until `ended`.
async fn run_usual_client(
    runtime: RuntimeRef,
    node: SocketAddr,
    client: usize,
    ended: Arc<AtomicBool>,
    answers: Arc<Answers>,
) {
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("usual-{client}-{number}");
        let mut conn = runtime.connect(node).await.unwrap();
        let _ = conn.write_all(&request(&id, &id, 1_200)).await;
        let until = runtime.now() + MAX_WAIT;
        let response = timeout_at(&runtime, until, read_response(&runtime, &mut conn)).await;
        let counter = match response.map(|response| (response.status, response.complete)) {
            Some((200, true)) => &answers.whole,
            Some((429 | 503, _)) => &answers.rejected,
            Some((502 | 504, _)) => &answers.failed,
            _ => &answers.none,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

/// Runs a node under bad clients, one kind after the other in turns, beside three usual clients.
fn run(kinds: &'static [BadClient]) -> Observed {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let others = SmolRuntime::start(2, 1);
    let runtime: RuntimeRef = others.clone();
    let (prefill, decode) = (
        start_engine(&runtime, None),
        start_engine(&runtime, Some(Streams::new())),
    );
    let file = TempFile::new(&format!("memory-{:?}", kinds[0]), &config(prefill, decode));
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivywardd"));
    command
        .env_clear()
        .arg("platform")
        .env("BALANCER_CONFIG", &file.0);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut process = ProcessGuard(command.spawn().unwrap());
    let mut line = String::new();
    let mut output = BufReader::new(process.0.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    let address = line
        .trim()
        .strip_prefix("listening on ")
        .expect("its address");
    let node: SocketAddr = address.parse().unwrap();
    let (ended, answers) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Answers::default()),
    );
    let usual: Vec<async_channel::Receiver<()>> = (0..3)
        .map(|client| {
            let (done, wait) = async_channel::bounded::<()>(1);
            let task = run_usual_client(
                runtime.clone(),
                node,
                client,
                ended.clone(),
                answers.clone(),
            );
            runtime.run(async move {
                let _done = done;
                task.await;
            });
            wait
        })
        .collect();
    for client in 0..BAD_CLIENTS {
        let (runtime, kind) = (runtime.clone(), kinds[client % kinds.len()]);
        runtime.clone().run(async move {
            for round in 0.. {
                let Ok(mut conn) = runtime.connect(node).await else {
                    return;
                };
                let id = format!("bad-{client}-{round}");
                kind.use_connection(&runtime, &mut conn, &id).await;
                runtime.sleep(20 * MS).await;
            }
        });
    }
    let until = runtime.now() + DURATION;
    let mut peak = 0;
    while runtime.now() < until {
        peak = peak.max(anonymous_memory(&process));
        others.block_on(runtime.sleep(SAMPLE_INTERVAL));
    }
    ended.store(true, Ordering::SeqCst);
    for wait in usual {
        // Returns an error when the client has ended.
        let _ = others.block_on(wait.recv());
    }
    assert!(
        process.0.try_wait().unwrap().is_none(),
        "the node has ended"
    );
    others.stop();
    let observed = Observed { peak, answers };
    eprintln!("{kinds:?}: {observed:?}");
    observed
}

/// Checks that a node stays within its memory limit, and that each request of the usual clients gets its final answer.
fn stays_within_the_limit(kinds: &'static [BadClient]) {
    let Observed { peak, answers } = run(kinds);
    assert!(
        peak < MEMORY_MB * 1_000_000,
        "{kinds:?}: the node had {peak} bytes"
    );
    assert_eq!(
        answers.none.load(Ordering::SeqCst),
        0,
        "{kinds:?}: {answers:?}"
    );
    assert!(
        answers.whole.load(Ordering::SeqCst) > 0,
        "{kinds:?}: {answers:?}"
    );
}

/// Guards against buffers of bytes behind open requests that are in no limit.
#[test]
fn requests_sent_two_at_once_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::SendsTwoAtOnce]);
}

/// Guards against buffers that are counted by the bytes in them and not by their capacity.
#[test]
fn slow_writers_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::WritesSlowly]);
}

/// Guards against prompts that are held for clients which do not finish them.
#[test]
fn clients_that_stop_halfway_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::StopsHalfway]);
}

/// Guards against heads that take more memory than their bytes.
#[test]
fn heads_of_many_lines_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::SendsManyHeaders]);
}

/// Guards against parsed heads that are held until the end of their requests and are in no limit.
#[test]
fn long_heads_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::SendsLongHeads]);
}

/// Guards against responses that wait for their clients in several buffers each.
#[test]
fn slow_readers_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::ReadsSlowly]);
}

/// Guards against limits on each kind of memory that together exceed the node's.
#[test]
fn slow_readers_that_send_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::ReadsSlowlyAndSends]);
}

/// Guards against events that exceed the buffer of a response and are in no limit.
#[test]
fn long_events_that_are_not_read_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[BadClient::ReadsNoLongEvents]);
}

/// Guards against kinds of clients that exceed the limit together only.
#[test]
fn slow_writers_beside_slow_readers_do_not_exhaust_the_memory() {
    stays_within_the_limit(&[
        BadClient::SendsTwoAtOnce,
        BadClient::ReadsSlowlyAndSends,
        BadClient::SendsLongHeads,
        BadClient::ReadsNoLongEvents,
    ]);
}
