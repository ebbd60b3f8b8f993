//! Clients: requests in, final answers out.

use crate::call::{lock, Budget, PlatformCall, Prompt, Share, IDEMPOTENCY_KEY};
use crate::config::{Bounds, LIMITS, MOST_BODY};
use crate::wire::Wire;
use event_listener::Event;
use futures_lite::future::{or, poll_fn, poll_once};
use ivyward::core::interface::{Arrival, Effect, Micros};
use ivyward::world::{before, Conn, Listener, WorldExt, WorldRef};
use ivyward::{Failure, Final, Node, Refusal};
use ivyward_http1::{body, head, Body, Request, Step};
use ivyward_settings::Told;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tracing::debug;
use xxhash_rust::xxh3::xxh3_64;

/// A connection that brings no whole request for this span is answered with an error: the platform's 3 s and some air.
const WHOLE: Micros = 2_000_000;
/// A connection without a request is kept for this span after an answer.
const KEEP: Micros = 30_000_000;
/// A client that takes no byte of its answer for this span has gone away.
const TAKES: Micros = 5_000_000;
/// What still comes after an error is read and dropped for this span and up to so many bytes, so that no reset
/// overtakes the error.
const DRAIN: Micros = 1_500_000;
const MOST_DRAIN: usize = 64 << 20;
/// Bytes that may wait behind an open request. More are read all the same, for the client's end may follow them, and
/// dropped: then the connection ends with the answer. After so many of those there is a pause before each piece, so that
/// no client takes up the node.
const MOST_BEHIND: usize = 16 << 10;
const MOST_DROPPED: usize = 4 << 20;
const FLOOD_PAUSE: Micros = 500;
/// Longest request id.
const MOST_ID: usize = 128;

/// A connection as the table knows it.
struct ClientConn {
    /// Since when it has no request; `None` while it has one.
    idle: Option<Micros>,
    /// It has never brought a request.
    silent: bool,
    /// Dropped to close it.
    _kick: async_channel::Sender<()>,
}

pub(crate) struct Door {
    node: Node,
    world: WorldRef,
    told: Told,
    bounds: Bounds,
    budget: Arc<Budget>,
    /// Connections, at most `bounds.clients`.
    table: Mutex<BTreeMap<u64, ClientConn>>,
    next: AtomicU64,
    /// Those that were told to close and have not yet: each still holds its descriptor.
    closing: AtomicUsize,
    closed: Event,
    /// Ids of open requests; no more than there are connections.
    open: Mutex<BTreeSet<String>>,
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
}

/// An error for a client, and whether the connection can go on after it.
struct Bad {
    status: u16,
    text: String,
    closes: bool,
}

impl Bad {
    fn new(status: u16, text: impl Into<String>) -> Bad {
        Bad { status, text: text.into(), closes: false }
    }
    fn closing(status: u16, text: impl Into<String>) -> Bad {
        Bad { status, text: text.into(), closes: true }
    }
}

/// What one wait on a connection brought.
enum Came {
    /// A request with its body.
    Whole(Box<Request>, Prompt),
    /// Something that is answered with an error.
    Bad(Bad),
    /// The connection is over.
    Over,
}

impl Door {
    pub(crate) fn new(node: Node, world: WorldRef, told: Told, bounds: Bounds) -> Arc<Door> {
        Arc::new(Door {
            node,
            world,
            told,
            budget: Budget::new(bounds.prompts),
            bounds,
            table: Mutex::default(),
            next: AtomicU64::new(1),
            closing: AtomicUsize::new(0),
            closed: Event::new(),
            open: Mutex::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        })
    }
    pub(crate) fn connections(&self) -> usize {
        lock(&self.table).len()
    }
    pub(crate) fn prompt_bytes(&self) -> usize {
        self.budget.held()
    }
    /// Closes connections that have no request.
    pub(crate) fn close_idle(&self) {
        let mut table = lock(&self.table);
        let before = table.len();
        table.retain(|_, client| client.idle.is_none());
        self.closing.fetch_add(before - table.len(), Ordering::SeqCst);
    }
    fn stops(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Takes connections until the sender of `stop` is dropped, and then those that the system has taken by itself.
    pub(crate) async fn serve(
        self: Arc<Self>,
        mut listener: Box<dyn Listener>,
        stop: async_channel::Receiver<()>,
    ) {
        let stopped = async {
            // Ends when the sender is dropped.
            let _ = stop.recv().await;
        };
        or(self.accept(&mut *listener), stopped).await;
        // Guards against clients that connected just then, or while evicted ones closed: with the listener they would be
        // reset, a request behind them or not.
        while let Some(Ok((conn, _))) = poll_once(listener.accept()).await {
            self.clone().admit(conn);
        }
    }

    async fn accept(self: &Arc<Self>, listener: &mut dyn Listener) {
        loop {
            match listener.accept().await {
                Ok((conn, _)) => {
                    self.clone().admit(conn);
                    self.room().await;
                }
                Err(e) => {
                    // One connection's error, or no descriptor: those that close make room.
                    debug!(error = %e, "a connection is not taken");
                    self.world.sleep(5_000).await;
                }
            }
        }
    }

    /// Waits until what was told to close has closed. Guards against a crowd that connects faster than others go: each
    /// would hold a descriptor beyond the bound, and discovery and engines found none.
    async fn room(&self) {
        loop {
            let closed = self.closed.listen();
            if self.closing.load(Ordering::SeqCst) == 0 {
                return;
            }
            closed.await;
        }
    }

    /// One less of those that were told to close.
    fn closed(&self) {
        self.closing.fetch_sub(1, Ordering::SeqCst);
        self.closed.notify(usize::MAX);
    }

    /// At the bound a connection without a request goes: the silent ones first, then the one idle longest. `false` where
    /// all have one.
    fn evict(&self, table: &mut BTreeMap<u64, ClientConn>) -> bool {
        let idle = table.iter().filter(|(_, c)| c.idle.is_some());
        let Some(oldest) = idle.min_by_key(|(_, c)| (!c.silent, c.idle)).map(|(id, _)| *id) else {
            return false;
        };
        table.remove(&oldest);
        self.closing.fetch_add(1, Ordering::SeqCst);
        true
    }

    fn admit(self: Arc<Self>, conn: Conn) {
        let (kick, kicked) = async_channel::bounded(1);
        let me = self.next.fetch_add(1, Ordering::Relaxed);
        let now = self.world.now();
        {
            let mut table = lock(&self.table);
            if table.len() >= self.bounds.clients && !self.evict(&mut table) {
                return;
            }
            table.insert(me, ClientConn { idle: Some(now), silent: true, _kick: kick });
        }
        let world = self.world.clone();
        world.run(async move {
            let _stands = Stands { door: &self, me };
            self.client(Wire::new(conn), me, kicked).await;
        });
    }

    /// Takes note that a connection has no request any more, or has one.
    fn idle(&self, me: u64, idle: Option<Micros>) {
        let mut table = lock(&self.table);
        if let Some(client) = table.get_mut(&me) {
            client.idle = idle;
            client.silent &= idle.is_some();
        } else if idle.is_none() {
            // Guards against a request that comes in the moment in which its connection was told to close: it is served, and
            // nobody waits for that connection's end; another one goes in its place.
            let (kick, _) = async_channel::bounded(1);
            if table.len() >= self.bounds.clients {
                self.evict(&mut table);
            }
            table.insert(me, ClientConn { idle: None, silent: false, _kick: kick });
            self.closed();
        }
    }

    async fn client(&self, mut wire: Wire, me: u64, kicked: async_channel::Receiver<()>) {
        let mut first = true;
        loop {
            let now = self.world.now();
            let by = now.saturating_add(if first { WHOLE } else { KEEP });
            first = false;
            if wire.bytes().is_empty() {
                self.idle(me, Some(now));
                let kick = async {
                    // Ends when the entry is dropped.
                    let _ = kicked.recv().await;
                    None
                };
                let came = before(&self.world, by, or(async { Some(wire.fill().await) }, kick)).await;
                match came.flatten() {
                    Some(Ok(n)) if n > 0 => {}
                    _ => return,
                }
            }
            self.idle(me, None);
            let by = self.world.now().saturating_add(WHOLE);
            let bad = match self.request(&mut wire, by).await {
                Came::Over => return,
                Came::Bad(bad) => Some(bad),
                Came::Whole(request, prompt) => {
                    let keeps = request.head.keeps();
                    match self.serve_one(&mut wire, *request, prompt).await {
                        Ok(_) if wire.dropped() > 0 => return self.drain(wire).await,
                        Ok(true) if keeps && !self.stops() => None,
                        Ok(_) => return,
                        Err(bad) => Some(Bad { closes: bad.closes || !keeps, ..bad }),
                    }
                }
            };
            if let Some(bad) = bad {
                let closes = bad.closes || self.stops();
                if !self.say(&mut wire, bad.status, &[], &error(&bad.text), closes).await {
                    return;
                }
                if closes {
                    return self.drain(wire).await;
                }
            }
        }
    }

    /// Ends our sending, and reads away what still comes.
    async fn drain(&self, mut wire: Wire) {
        wire.end_sending().await;
        let until = self.world.now().saturating_add(DRAIN);
        let all = async {
            let mut left = MOST_DRAIN;
            wire.used(wire.bytes().len());
            while let Ok(n) = wire.fill().await {
                wire.used(n);
                left = left.saturating_sub(n);
                if n == 0 || left == 0 {
                    break;
                }
            }
        };
        before(&self.world, until, all).await;
    }

    /// Waits for a whole request.
    async fn request(&self, wire: &mut Wire, by: Micros) -> Came {
        match before(&self.world, by, self.whole(wire)).await {
            Some(came) => came,
            None => Came::Bad(Bad::closing(408, "the request did not come whole in time")),
        }
    }

    async fn whole(&self, wire: &mut Wire) -> Came {
        let (request, used) = loop {
            match Request::read(wire.bytes(), &LIMITS) {
                Ok(Some(read)) => break read,
                Ok(None) => {}
                Err(fault) => {
                    let status = match fault {
                        ivyward_http1::Fault::TooLarge => 413,
                        ivyward_http1::Fault::TooLong => 431,
                        _ => 400,
                    };
                    return Came::Bad(Bad::closing(status, fault.to_string()));
                }
            }
            match wire.fill().await {
                Ok(n) if n > 0 => {}
                _ => return Came::Over,
            }
        };
        wire.used(used);
        if request.head.text("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
            && wire.write(b"HTTP/1.1 100 Continue\r\n\r\n", &[]).await.is_err()
        {
            return Came::Over;
        }
        let mut body = Body::new(request.framing, &LIMITS);
        let mut share = Share::new(&self.budget);
        // A length alone costs nothing: only what came is counted and held.
        let mut bytes = Vec::new();
        loop {
            let before = bytes.len();
            let step = match wire.take(&mut body, &mut bytes) {
                Ok(step) => step,
                Err(e) => return Came::Bad(Bad::closing(400, e.to_string())),
            };
            if bytes.len() > before && !share.grow(bytes.len() - before) {
                return Came::Bad(Bad::closing(503, "the node holds as many prompts as it can"));
            }
            match step {
                Step::Done => return Came::Whole(Box::new(request), Prompt { bytes, _share: share }),
                _ if bytes.len() > MOST_BODY => {
                    return Came::Bad(Bad::closing(413, "the body is too long"));
                }
                Step::More => match wire.fill().await {
                    Ok(n) if n > 0 => {}
                    _ => return Came::Over,
                },
                Step::Data(_) => {}
            }
        }
    }

    /// Writes a short answer; whether it left.
    async fn say(
        &self,
        wire: &mut Wire,
        status: u16,
        more: &[(&str, &str)],
        text: &str,
        closes: bool,
    ) -> bool {
        let length = text.len().to_string();
        let mut headers = vec![("Content-Type", "application/json"), ("Content-Length", length.as_str())];
        headers.extend_from_slice(more);
        if closes {
            headers.push(("Connection", "close"));
        }
        let mut out = Vec::new();
        head::write(&mut out, &format!("HTTP/1.1 {status} {}", reason(status)), &headers);
        out.extend_from_slice(text.as_bytes());
        wire.write_slowly(&self.world, TAKES, &out).await.is_ok()
    }

    /// Answers one request. Whether its connection may go on; an error is said by the caller.
    async fn serve_one(&self, wire: &mut Wire, request: Request, prompt: Prompt) -> Result<bool, Bad> {
        let path = request.target.split('?').next().unwrap_or("");
        if path == "/healthz" {
            let serves = self.ready.load(Ordering::SeqCst) && !self.stops();
            return Ok(self.say(wire, if serves { 200 } else { 503 }, &[], "{}", self.stops()).await);
        }
        if path != "/v1/chat/completions" {
            return Err(Bad::new(404, "POST /v1/chat/completions and GET /healthz are served"));
        }
        if request.method != "POST" {
            return Err(Bad::new(405, "POST is taken"));
        }
        let (id, arrival) = self.arrival(&request, prompt.bytes.len())?;
        if serde_json::from_slice::<serde::de::IgnoredAny>(&prompt.bytes).is_err() {
            return Err(Bad::new(400, "the body is no JSON"));
        }
        let _mine = Mine::new(self, &id).ok_or_else(|| Bad::new(409, "a request with this id is open"))?;
        let bound = self.bounds.outlet;
        // Guards against work for a client that left while its request waited to be read.
        if wire.ended(MOST_BEHIND) {
            return Ok(false);
        }
        let again = self.told.module.classes[arrival.class].effect == Effect::Safe;
        let call = Arc::new(PlatformCall::new(&id, &request, again, prompt, wire.peer(), bound));
        let first_by = self.world.now().saturating_add(arrival.patience);
        let first_by = first_by.saturating_sub(self.node.settings().answer_margin);
        let taken = match self.node.take(arrival, first_by, call.clone()) {
            Ok(number) => Leaves { node: &self.node, number, call: &call },
            Err(why) => {
                let retry_after = Some(self.node.settings().rules.max_retry_after);
                return Ok(self.refuse(wire, retry_after, why).await);
            }
        };
        Ok(self.answer(wire, &taken).await)
    }

    async fn refuse(&self, wire: &mut Wire, retry_after: Option<Micros>, why: Refusal) -> bool {
        let status = if why == Refusal::Shed { 429 } else { 503 };
        let seconds = retry_after.filter(|r| *r > 0).map(|r| format!("{:.3}", r as f64 / 1e6));
        let headers: Vec<(&str, &str)> = seconds.iter().map(|s| ("Retry-After", s.as_str())).collect();
        self.say(wire, status, &headers, &error("refused"), self.stops()).await
    }

    /// Waits for the next part of the answer, or for the client's leaving.
    async fn part(&self, wire: &mut Wire, call: &PlatformCall) -> Option<Result<Vec<u8>, Final>> {
        let next = async { Some(poll_fn(|cx| call.outlet.poll_items(cx)).await.map(|(_, data)| data)) };
        or(next, async {
            loop {
                // Guards against a client whose leaving hides behind a flood: what it sent is read away to its end.
                if wire.dropped() >= MOST_DROPPED {
                    self.world.sleep(FLOOD_PAUSE).await;
                }
                match wire.fill().await {
                    Ok(n) if n > 0 => wire.keep(MOST_BEHIND),
                    _ => return None,
                }
            }
        })
        .await
    }

    /// Passes the answer on. Whether the connection may go on.
    async fn answer(&self, wire: &mut Wire, taken: &Leaves<'_>) -> bool {
        let mut begun = false;
        loop {
            let Some(part) = self.part(wire, taken.call).await else { return false };
            let mut out = Vec::new();
            match part {
                Ok(data) => {
                    if !begun {
                        begun = true;
                        let mut headers =
                            vec![("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")];
                        if self.stops() {
                            headers.push(("Connection", "close"));
                        }
                        head::write(&mut out, "HTTP/1.1 200 OK", &headers);
                    }
                    body::chunk(&mut out, &data);
                }
                Err(Final::Served) if begun => out.extend_from_slice(body::LAST),
                // Without the last chunk the client knows that the stream broke.
                Err(_) if begun => return false,
                Err(Final::Refused { retry_after, why }) => return self.refuse(wire, retry_after, why).await,
                Err(end) => {
                    let (status, text) = match end {
                        Final::Failed(Failure::Deadline) => (504, "the time was over"),
                        _ => (502, "no engine answered"),
                    };
                    return self.say(wire, status, &[], &error(text), self.stops()).await;
                }
            }
            let last = out.ends_with(body::LAST) && taken.call.outlet.told();
            if wire.write_slowly(&self.world, TAKES, &out).await.is_err() {
                return false;
            }
            if last {
                return true;
            }
        }
    }

    /// What a request's headers say, checked.
    fn arrival(&self, request: &Request, length: usize) -> Result<(String, Arrival), Bad> {
        let bad = |text: String| Bad::new(400, text);
        let head = &request.head;
        let need = |name: &str| head.text(name).ok_or_else(|| bad(format!("{name} is missing")));
        let id = need("x-request-id")?;
        if id.is_empty() || id.len() > MOST_ID || !id.bytes().all(|b| b.is_ascii_graphic() && b != b'/') {
            return Err(bad(format!("x-request-id must be 1 to {MOST_ID} visible letters")));
        }
        let place = |what: &str, names: &[String], name: &str| {
            ivyward_settings::place(names, name).ok_or_else(|| bad(format!("{what} {name:?} is not known")))
        };
        // Its engines would take a repeat for something new.
        if head.get(IDEMPOTENCY_KEY).is_some() && head.text(IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
            return Err(bad(format!("{IDEMPOTENCY_KEY} must be visible letters")));
        }
        let class = place("class", &self.told.classes, need("x-priority-class")?)?;
        let tenant = match self.told.tenants.is_empty() {
            true => 0,
            false => place("tenant", &self.told.tenants, need("x-tenant-id")?)?,
        };
        let timeout = need("x-timeout-ms")?;
        let patience = timeout.parse::<u64>().ok().filter(|ms| *ms > 0 && !timeout.starts_with('+'));
        let patience = patience.ok_or_else(|| bad(format!("x-timeout-ms {timeout:?} must be over 0")))?;
        // Nobody waits longer than the class's clients do.
        let longest = self.told.module.classes[class].deadline;
        let patience = patience.saturating_mul(1_000).min(longest);
        // A token is four characters, so a body holds no more tokens than bytes.
        let most = length as f64;
        let attrs = head.text("x-attrs").unwrap_or("");
        let attr = |name: &str| attrs.split(',').find_map(|a| a.trim().strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str, most: f64| match attr(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(n) if (0.0..=most).contains(&n) => Ok(Some(n)),
                _ => Err(bad(format!("x-attrs: {name}={text} must be from 0 to {most}"))),
            },
        };
        let prompt_tokens = number("prompt_len", most)?.unwrap_or(most / 4.0);
        let key =
            |text: Option<&str>| text.filter(|t| !t.is_empty()).map_or(0, |t| xxh3_64(t.as_bytes()).max(1));
        let arrival = Arrival {
            class,
            tenant,
            session: key(head.text("x-route-key")),
            prefix: key(attr("prefix")),
            patience,
            prompt_tokens,
            prefix_tokens: number("prefix_len", most)?.unwrap_or(0.0).min(prompt_tokens),
            max_output: number("max_out", 1e7)?.unwrap_or(0.0),
            repeat: head.text("x-retried") == Some("1"),
            resumed: head.text("x-retried") == Some("again"),
            ..Arrival::default()
        };
        Ok((id.to_owned(), arrival))
    }
}

/// A client's connection, for as long as its task runs.
struct Stands<'a> {
    door: &'a Door,
    me: u64,
}

impl Drop for Stands<'_> {
    fn drop(&mut self) {
        if lock(&self.door.table).remove(&self.me).is_none() {
            self.door.closed();
        }
    }
}

/// An id among those of open requests.
struct Mine<'a>(&'a Door, String);

impl<'a> Mine<'a> {
    fn new(door: &'a Door, id: &str) -> Option<Mine<'a>> {
        lock(&door.open).insert(id.to_owned()).then(|| Mine(door, id.to_owned()))
    }
}

impl Drop for Mine<'_> {
    fn drop(&mut self) {
        lock(&self.0.open).remove(&self.1);
    }
}

/// A request in hand: dropped before its end was taken, its client has left.
struct Leaves<'a> {
    node: &'a Node,
    number: u64,
    call: &'a PlatformCall,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        if !self.call.outlet.told() {
            self.call.leave();
            self.node.gone(self.number);
        }
    }
}

/// An error's body. What a client sent may stand in the text, so it is written as JSON writes it.
fn error(text: &str) -> String {
    serde_json::json!({"error": {"message": text}}).to_string()
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
