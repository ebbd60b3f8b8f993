//! A fake of an engine. A script determines how it responds to each request.

use super::deployment::address;
use super::read_request;
use super::request_log::{ClosedConnection, RequestLog};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::{timeout_at, Conn, RuntimeExt, RuntimeRef};
use ivyward_sim::Host;
use std::sync::{Arc, Mutex};

/// Engines with a lower number prefill, the others decode.
const FIRST_DECODE_ENGINE: usize = 2;
/// The pause between the first event and the rest of a response, and before the response to an unknown reservation: 300 ms.
const PAUSE: Micros = 300_000;

/// The events of a complete stream.
pub const SERVED_EVENTS: &str = concat!(
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n",
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":7}}}\n\n",
    "data: [DONE]\n\n: X-Server-Load: TEXT inflight=1, queue=0, util=0.5\n\n"
);
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const PREFILLED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}";
const KV_CACHE_MISS: &str = "HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const RESERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The response of an engine that rejects a request without processing it.
pub const REJECTED_UNPROCESSED: &str =
    "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// How an engine responds to a request that it received completely.
#[derive(Clone, Debug)]
pub enum EngineBehavior {
    /// Responds normally.
    Normal,
    /// Writes these bytes, and leaves the connection open.
    Respond(Vec<u8>),
    /// Writes the first event of a stream and then these bytes, and leaves the connection open.
    RespondAfterFirstEvent(Vec<u8>),
    /// Writes the first event of a stream and then these bytes in pieces of some bytes, with a pause before each of them.
    RespondSlowly {
        bytes: Vec<u8>,
        piece: usize,
        pause: Micros,
    },
    /// Writes these bytes, and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Responds normally after this delay.
    Delayed(Micros),
    /// Writes nothing, and leaves the connection open.
    Silent,
    /// The request does not arrive at the engine, which does not record it. The connection stays open and nothing more
    /// arrives on it.
    NotDelivered,
    /// The request arrives at the engine after this delay, unless its connection is closed before that. The engine responds
    /// normally.
    DeliveredLate(Micros),
}

/// Returns the behavior of writing this text and leaving the connection open.
pub fn respond_with(text: &str) -> EngineBehavior {
    EngineBehavior::Respond(text.as_bytes().to_vec())
}

/// A request that an engine received completely.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    pub at: Micros,
    pub engine: usize,
    pub connection: usize,
    pub method: String,
    pub target: String,
    pub id: String,
    pub idempotency_key: String,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
}

impl EngineRequest {
    /// Returns the id of the request for which this one reserves a slot; `None` if it is not a reservation.
    fn reservation(&self) -> Option<&str> {
        let id = self.target.strip_prefix("/v1/holds/")?;
        (self.method == "POST").then_some(id)
    }
}

fn is_prefill_engine(engine: usize) -> bool {
    engine < FIRST_DECODE_ENGINE
}

/// Returns whether this is an attempt at a prefill engine.
pub fn is_prefill(request: &EngineRequest) -> bool {
    is_prefill_engine(request.engine) && request.method == "POST" && !request.id.is_empty()
}

/// Returns whether this is an attempt at a decode engine.
pub fn is_decode(request: &EngineRequest) -> bool {
    !is_prefill_engine(request.engine) && request.method == "POST" && !request.id.is_empty()
}

/// Determines how engines respond to each request.
pub type Script = Arc<dyn Fn(&EngineRequest) -> EngineBehavior + Send + Sync>;

/// Starts an engine on a host, which records its requests in `log`.
pub fn start_engine(
    host: &Arc<Host>,
    engine: usize,
    log: &Arc<Mutex<RequestLog>>,
    script: &Script,
) {
    let runtime = host.runtime();
    let mut listener = runtime.listen(address(engine)).unwrap();
    let (log, script) = (log.clone(), script.clone());
    runtime.clone().run(async move {
        while let Ok((conn, _)) = listener.accept().await {
            let connection = log.lock().unwrap().connection_opened();
            let task = EngineConnection {
                runtime: runtime.clone(),
                engine,
                connection,
                log: log.clone(),
                script: script.clone(),
            };
            runtime.run(async move {
                task.serve(conn).await;
                let closed = ClosedConnection {
                    engine,
                    connection,
                    at: task.runtime.now(),
                };
                task.log.lock().unwrap().connection_closed(closed);
            });
        }
    });
}

/// The last bytes that an engine writes in response to a request, and whether it closes the connection after them.
struct Output {
    bytes: Vec<u8>,
    closes: bool,
}

impl Output {
    fn new(bytes: impl Into<Vec<u8>>) -> Output {
        Output {
            bytes: bytes.into(),
            closes: false,
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the normal response to a request.
fn normal_response(request: &EngineRequest) -> Output {
    if request.method == "DELETE" {
        Output::new(NO_CONTENT)
    } else if request.reservation().is_some() {
        Output::new(RESERVED)
    } else if is_prefill_engine(request.engine) {
        Output::new(PREFILLED)
    } else {
        Output::new(format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(SERVED_EVENTS)))
    }
}

/// Reads and discards what arrives on a connection until it is closed.
async fn discard(conn: &mut Conn) {
    let mut buffer = [0; 1024];
    while conn.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
}

/// One connection to an engine.
struct EngineConnection {
    runtime: RuntimeRef,
    engine: usize,
    connection: usize,
    log: Arc<Mutex<RequestLog>>,
    script: Script,
}

impl EngineConnection {
    async fn serve(&self, mut conn: Conn) {
        let mut bytes = Vec::new();
        while let Some((request, body)) = read_request(&mut conn, &mut bytes).await {
            let text = |name: &str| request.headers.text(name).unwrap_or("").to_owned();
            let mut request = EngineRequest {
                at: self.runtime.now(),
                engine: self.engine,
                connection: self.connection,
                method: request.method.clone(),
                target: request.target.clone(),
                id: text("x-request-id"),
                idempotency_key: text("idempotency-key"),
                timeout_ms: text("x-timeout-ms").parse().unwrap_or(0),
                body,
            };
            let behavior = (self.script)(&request);
            match behavior {
                EngineBehavior::NotDelivered => return discard(&mut conn).await,
                EngineBehavior::DeliveredLate(delay) => {
                    let until = self.runtime.now() + delay;
                    let closed = timeout_at(&self.runtime, until, discard(&mut conn)).await;
                    if closed.is_some() {
                        return;
                    }
                    request.at = self.runtime.now();
                }
                _ => {}
            }
            let index = self.log.lock().unwrap().add(&request);
            if is_decode(&request) && self.log.lock().unwrap().lacks_kv_state(&request.id) {
                if conn.write_all(KV_CACHE_MISS.as_bytes()).await.is_err() {
                    return;
                }
                let now = self.runtime.now();
                self.log.lock().unwrap().responded(index, now, false);
                continue;
            }
            if matches!(behavior, EngineBehavior::Normal) && self.is_unknown_reservation(&request) {
                // An engine accepts a reservation only while the prefill of the same request is in progress. Otherwise it
                // responds late, with 204, which does not state whether anything is reserved.
                self.runtime.sleep(PAUSE).await;
                if conn.write_all(NO_CONTENT.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let Ok(output) = self.respond(&mut conn, &request, behavior).await else {
                return;
            };
            if !output.bytes.is_empty() {
                let now = self.runtime.now();
                let mut log = self.log.lock().unwrap();
                log.responded(index, now, output.bytes.starts_with(b"HTTP/1.1 200"));
            }
            if conn.write_all(&output.bytes).await.is_err() || output.closes {
                return;
            }
        }
    }

    fn is_unknown_reservation(&self, request: &EngineRequest) -> bool {
        let Some(id) = request.reservation() else {
            return false;
        };
        let log = self.log.lock().unwrap();
        log.reservations_need_prefills && !log.has_pending_prefill(id)
    }

    /// Performs a behavior up to the last write, and returns what that write consists of.
    async fn respond(
        &self,
        conn: &mut Conn,
        request: &EngineRequest,
        behavior: EngineBehavior,
    ) -> std::io::Result<Output> {
        match behavior {
            EngineBehavior::Normal | EngineBehavior::DeliveredLate(_) => {
                Ok(normal_response(request))
            }
            EngineBehavior::Respond(bytes) => Ok(Output::new(bytes)),
            EngineBehavior::RespondAndClose(bytes) => Ok(Output {
                bytes,
                closes: true,
            }),
            EngineBehavior::RespondAfterFirstEvent(bytes) => {
                let first = SERVED_EVENTS.split_inclusive("\n\n").next().unwrap();
                let begin = format!("{STREAM_HEAD}{}", chunk(first));
                conn.write_all(begin.as_bytes()).await?;
                self.runtime.sleep(PAUSE).await;
                Ok(Output::new(bytes))
            }
            EngineBehavior::RespondSlowly {
                bytes,
                piece,
                pause,
            } => {
                let first = SERVED_EVENTS.split_inclusive("\n\n").next().unwrap();
                let begin = format!("{STREAM_HEAD}{}", chunk(first));
                conn.write_all(begin.as_bytes()).await?;
                for piece in bytes.chunks(piece) {
                    self.runtime.sleep(pause).await;
                    conn.write_all(piece).await?;
                }
                Ok(Output::new(Vec::new()))
            }
            EngineBehavior::Delayed(delay) => {
                self.runtime.sleep(delay).await;
                Ok(normal_response(request))
            }
            EngineBehavior::Silent | EngineBehavior::NotDelivered => Ok(Output::new(Vec::new())),
        }
    }
}
