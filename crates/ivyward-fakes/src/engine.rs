//! An engine on a loopback socket: simple service times, slots, a queue and memory, over real HTTP/2.

use crate::event_log::{AttemptKey, CallKind, EventLog, ObservedEvent, RetentionEnd};
use crate::faults::{Faults, ResponseFault};
use crate::text;
use async_lock::Semaphore;
use bytes::{Buf, Bytes, BytesMut};
use event_listener::Event;
use futures_lite::future::{or, poll_fn};
use futures_lite::{AsyncRead, AsyncWrite};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Response};
use ivyward_grpc::{encode, parse_timeout, Channel, Decoder, Options, TIMEOUT_HEADER};
use ivyward_proto::engine as pb;
use ivyward_runtime::io::Io;
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt, RuntimeRef, SmolRuntime};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Writes answers.
    Decode,
    /// Both.
    Mixed,
}

/// An engine's make. Times are microseconds.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its id.
    pub id: u64,
    /// What it does.
    pub role: Role,
    /// Its rack.
    pub rack: u16,
    /// Calls at work at once.
    pub slots: usize,
    /// Calls that may wait.
    pub queue_limit: usize,
    /// Prompt tokens a second that it reads, when warm and well.
    pub prefill_rate: f64,
    /// State tokens a second that it fetches from its own rack; from another a third of it.
    pub kv_fetch_rate: f64,
    /// Time from one token to the next.
    pub token_interval: Micros,
    /// Tokens of kept states; past it the oldest are lost.
    pub kv_capacity: u64,
    /// A state or place that nobody fetches or releases is let go after this.
    pub retention: Micros,
    /// The part of its capacity with which it starts, and the time to warm.
    pub warm_up: (f64, Micros),
    /// Pushed over when sent more than this multiple of its present capacity within this span; 0 for never.
    pub overload: (f64, Micros),
    /// Calls a second that it does when warm: the measure for falling over.
    pub capacity: f64,
    /// HTTP/2 streams that it takes at once on a connection.
    pub max_streams: u32,
}

impl EngineSpec {
    /// One whose times are long beside the pauses of a busy machine, and far enough apart, so that what is learned from
    /// them leads to the same choices in each run: a prompt of 60 tokens takes 150 ms to be read, and 200 ms to be fetched.
    pub fn steady(id: u64, role: Role) -> EngineSpec {
        EngineSpec {
            prefill_rate: 400.0,
            kv_fetch_rate: 300.0,
            token_interval: 3_000,
            ..EngineSpec::small(id, role)
        }
    }

    /// A small engine with quick answers.
    pub fn small(id: u64, role: Role) -> EngineSpec {
        EngineSpec {
            id,
            role,
            rack: 0,
            slots: 64,
            queue_limit: 64,
            prefill_rate: 2e6,
            kv_fetch_rate: 2e7,
            token_interval: 1_000,
            kv_capacity: 4_000_000,
            retention: 2_000_000,
            warm_up: (0.3, 1_000_000),
            overload: (0.0, 1_000_000),
            capacity: 200.0,
            max_streams: 1_000,
        }
    }
}

struct Held {
    tokens: u64,
    at: Micros,
    place: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    random: u64,
    held: BTreeMap<(AttemptKey, bool), Held>,
    /// Openings and sessions that were read here; forgotten all together when memory is full.
    known: BTreeMap<u64, u64>,
    /// Keys of idempotent requests that ran here, with their times.
    ran: BTreeMap<String, Micros>,
    arrivals: std::collections::VecDeque<Micros>,
    tokens: u64,
    draining: bool,
    goaways: u64,
    fallen: bool,
}

/// An engine's inside, for as long as its process lives.
struct Inner {
    spec: EngineSpec,
    runtime: RuntimeRef,
    log: EventLog,
    started: Micros,
    cold: bool,
    state: Mutex<State>,
    changed: Event,
    slots: Semaphore,
    /// Calls at work or waiting.
    inside: AtomicUsize,
    close_all: Event,
}

/// One call's place among those inside.
struct Inside<'a>(&'a AtomicUsize);

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Tells the log that a call ended, however that came.
struct Open<'a> {
    inner: &'a Inner,
    key: AttemptKey,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.inner.log.add(ObservedEvent::AttemptEnded {
            engine: self.inner.spec.id,
            key: self.key,
        });
    }
}

/// Kills a process.
pub type Kill = Box<dyn FnOnce() + Send>;

/// The processes of engines: who gives an engine its world and takes it away.
pub trait Host: Send + Sync {
    /// A new process's world, and what kills it.
    fn process(&self, seed: u64) -> (RuntimeRef, Kill);
}

/// Each process has a thread of its own here.
pub struct ThreadPerProcess;

impl Host for ThreadPerProcess {
    fn process(&self, seed: u64) -> (RuntimeRef, Kill) {
        let runtime = SmolRuntime::start(1, seed);
        (runtime.clone(), Box::new(move || runtime.stop()))
    }
}

/// All processes share one world and cannot be killed: for large fleets that are only to be there.
pub struct SharedRuntime(pub RuntimeRef);

impl Host for SharedRuntime {
    fn process(&self, _: u64) -> (RuntimeRef, Kill) {
        (self.0.clone(), Box::new(|| {}))
    }
}

/// An engine that a script holds: it can die and come back under its id and address.
pub struct Engine {
    spec: EngineSpec,
    log: EventLog,
    host: Arc<dyn Host>,
    address: SocketAddr,
    running: Option<(Arc<Inner>, Kill)>,
    starts: u64,
}

impl Engine {
    /// Starts an engine, warm, on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be taken.
    pub fn start(
        host: &Arc<dyn Host>,
        log: &EventLog,
        spec: EngineSpec,
    ) -> std::io::Result<Engine> {
        Engine::start_at(host, log, spec, SocketAddr::from(([127, 0, 0, 1], 0)))
    }
    /// Starts an engine, warm, at an address; port 0 for a free one.
    ///
    /// # Errors
    /// When the port cannot be taken.
    pub fn start_at(
        host: &Arc<dyn Host>,
        log: &EventLog,
        spec: EngineSpec,
        address: SocketAddr,
    ) -> std::io::Result<Engine> {
        let mut engine = Engine {
            spec,
            log: log.clone(),
            host: host.clone(),
            address,
            running: None,
            starts: 0,
        };
        engine.restart(false)?;
        Ok(engine)
    }
    /// Its make.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// Whether its process runs. One that was pushed over does not, whatever its sockets do.
    pub fn is_running(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|(inner, _)| !inner.lock().fallen)
    }
    /// Kills its process: sockets are reset, everything kept is lost.
    pub fn crash(&mut self) {
        if let Some((inner, kill)) = self.running.take() {
            kill();
            inner.lose_all();
            self.log.add(ObservedEvent::EngineStopped {
                engine: self.spec.id,
                overloaded: false,
            });
        }
    }
    /// Starts its process again, cold or warm, at the old address.
    ///
    /// # Errors
    /// When the port cannot be taken.
    pub fn restart(&mut self, cold: bool) -> std::io::Result<()> {
        self.crash();
        self.starts += 1;
        let (runtime, kill) = self
            .host
            .process(self.spec.id.wrapping_mul(1_000).wrapping_add(self.starts));
        let listener = runtime.listen(self.address)?;
        self.address = listener.address();
        let inner = Arc::new(Inner {
            slots: Semaphore::new(self.spec.slots),
            spec: self.spec.clone(),
            started: runtime.now(),
            runtime: runtime.clone(),
            log: self.log.clone(),
            cold,
            state: Mutex::new(State {
                random: self.spec.id ^ self.starts << 32,
                ..State::default()
            }),
            changed: Event::new(),
            inside: AtomicUsize::new(0),
            close_all: Event::new(),
        });
        self.log.add(ObservedEvent::EngineStarted {
            engine: self.spec.id,
            cold,
            capacity: self.spec.capacity,
        });
        let accepting = inner.clone();
        runtime.run(async move { accepting.accept(listener).await });
        let expiring = inner.clone();
        runtime.run(async move { expiring.expire().await });
        self.running = Some((inner, kill));
        Ok(())
    }
    /// Changes what is wrong with it.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        let Some((inner, _)) = &self.running else {
            return;
        };
        let (before, now) = {
            let mut state = inner.lock();
            let before = state.faults.hang;
            change(&mut state.faults);
            (before, state.faults.hang)
        };
        if before != now {
            self.log.add(ObservedEvent::EnginePaused {
                engine: self.spec.id,
                paused: now,
            });
        }
        inner.changed.notify(usize::MAX);
    }
    /// Runs a task in its process, which ends with it: a registration, for one.
    pub fn spawn_in_process(
        &self,
        task: impl FnOnce(RuntimeRef) -> ivyward_runtime::BoxFuture<()>,
    ) {
        if let Some((inner, _)) = &self.running {
            inner.runtime.spawn(task(inner.runtime.clone()));
        }
    }
    /// It takes nothing new from now on, or takes work again.
    pub fn set_draining(&self, on: bool) {
        if let Some((inner, _)) = &self.running {
            inner.lock().draining = on;
        }
    }
    /// Resets all its connections.
    pub fn drop_connections(&self) {
        if let Some((inner, _)) = &self.running {
            inner.close_all.notify(usize::MAX);
        }
    }
    /// Answer tokens that left it since its last start.
    pub fn tokens_sent(&self) -> u64 {
        self.running
            .as_ref()
            .map_or(0, |(inner, _)| inner.lock().tokens)
    }
    /// Tells all callers by GOAWAY that it takes no more streams on their connections.
    pub fn send_goaway(&self) {
        if let Some((inner, _)) = &self.running {
            inner.lock().goaways += 1;
            inner.changed.notify(usize::MAX);
        }
    }
    /// States and places that it keeps for requests.
    pub fn retained_count(&self) -> usize {
        self.running
            .as_ref()
            .map_or(0, |(inner, _)| inner.lock().held.len())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}

/// gRPC's status of a call whose time was over.
const DEADLINE_EXCEEDED: u32 = 4;

/// How long a call's caller waits, as its headers say; one that cannot be read says nothing.
fn stated_timeout(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(TIMEOUT_HEADER)?.to_str().ok()?;
    parse_timeout(text).ok()
}

fn status(code: u32, text: &'static str) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", HeaderValue::from(code));
    trailers.insert("grpc-message", HeaderValue::from_static(text));
    trailers
}

fn away(reason: pb::turned_away::Reason) -> pb::TurnedAway {
    pb::TurnedAway {
        reason: reason.into(),
    }
}

/// A call's answer on its way out. Shared with the one who looks whether its caller left.
#[derive(Clone)]
struct Out(Arc<Mutex<SendStream<Bytes>>>);

impl Out {
    fn lock(&self) -> MutexGuard<'_, SendStream<Bytes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    async fn send(&self, mut bytes: Bytes) -> Result<(), h2::Error> {
        while !bytes.is_empty() {
            let room = poll_fn(|cx| {
                let mut stream = self.lock();
                stream.reserve_capacity(bytes.len());
                match stream.capacity() {
                    0 => stream.poll_capacity(cx),
                    room => Poll::Ready(Some(Ok(room))),
                }
            });
            let room = room.await.unwrap_or_else(|| Err(Reason::CANCEL.into()))?;
            let part = bytes.split_to(room.min(bytes.len()));
            self.lock().send_data(part, false)?;
        }
        Ok(())
    }
    /// Returns when the caller left.
    async fn left(&self) {
        let _ = poll_fn(|cx| self.lock().poll_reset(cx)).await;
    }
    fn end(&self, trailers: HeaderMap) {
        // The caller may have left.
        let _ = self.lock().send_trailers(trailers);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn chance(&self, share: f64) -> bool {
        let mut state = self.lock();
        state.random = state
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((state.random >> 33) as f64 / (1u64 << 31) as f64) < share
    }
    fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }
    fn lose_all(&self) {
        let lost: Vec<(AttemptKey, bool)> =
            std::mem::take(&mut self.lock().held).into_keys().collect();
        for (key, place) in lost {
            self.log.add(ObservedEvent::Released {
                engine: self.spec.id,
                key,
                is_decode_slot: place,
                how: RetentionEnd::Lost,
            });
        }
    }
    /// The part of its capacity that it has now.
    fn share(&self) -> f64 {
        let (start, warm) = self.spec.warm_up;
        let age = self.runtime.now().saturating_sub(self.started);
        if !self.cold || age >= warm {
            return 1.0;
        }
        start + (1.0 - start) * age as f64 / warm.max(1) as f64
    }
    async fn work(&self, span: f64) {
        let span = span * self.faults().slowness() / self.share();
        if span >= 1.0 {
            self.runtime.sleep(span as Micros).await;
        }
        self.going().await;
    }
    /// Waits while it hangs.
    async fn going(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.lock().faults.hang {
                return;
            }
            listener.await;
        }
    }

    async fn accept(self: Arc<Self>, mut listener: Box<dyn ivyward_runtime::Listener>) {
        // Also while it hangs: the system accepts for a process that does not.
        loop {
            let Ok((conn, _)) = listener.accept().await else {
                continue;
            };
            if self.lock().fallen {
                continue;
            }
            let me = self.clone();
            self.runtime.run(async move { me.connection(conn).await });
        }
    }

    async fn connection(self: Arc<Self>, mut conn: Conn) {
        // What dies here dies as a process does.
        conn.reset_on_close();
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(self.spec.max_streams)
            .initial_connection_window_size(4 << 20);
        let muted = Muted {
            conn,
            inner: self.clone(),
            waiting: BytesMut::new(),
        };
        let Ok(mut h2) = builder.handshake::<_, Bytes>(Io(muted)).await else {
            return;
        };
        let mut goaways = self.lock().goaways;
        // One listener for the whole life, so that no close is missed.
        let mut closing = self.close_all.listen();
        loop {
            let changed = self.changed.listen();
            if self.lock().goaways != goaways {
                // Only those that were open then.
                goaways = self.lock().goaways;
                h2.graceful_shutdown();
            }
            let next = async { Some(h2.accept().await) };
            let close = async {
                (&mut closing).await;
                Some(None)
            };
            let again = async {
                changed.await;
                None
            };
            match or(next, or(close, again)).await {
                // What waited while it hung goes out with the next poll.
                None => {}
                Some(Some(Ok((request, respond)))) => {
                    let me = self.clone();
                    self.runtime
                        .run(async move { me.call(request, respond).await });
                }
                Some(Some(Err(_)) | None) => return,
            }
        }
    }

    async fn call(
        self: Arc<Self>,
        request: http::Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) {
        let path = request.uri().path().to_owned();
        let timeout = stated_timeout(request.headers());
        let mut body = request.into_body();
        let mut decoder = Decoder::new(16 << 20);
        while let Some(Ok(chunk)) = body.data().await {
            decoder.push(&chunk);
            let _ = body.flow_control().release_capacity(chunk.len());
        }
        let method = path.rsplit('/').next();
        if matches!(method, Some("Fetch" | "Probe")) {
            self.going().await;
        }
        match method {
            Some("Read") => {
                self.taken(
                    decoder.pop::<pb::ReadRequest>().ok().flatten(),
                    timeout,
                    respond,
                )
                .await
            }
            Some("Write") => {
                self.taken(
                    decoder.pop::<pb::WriteRequest>().ok().flatten(),
                    timeout,
                    respond,
                )
                .await
            }
            Some("Hold") => {
                self.hold(decoder.pop().ok().flatten(), timeout, respond)
                    .await
            }
            Some("Release") => self.release(decoder.pop().ok().flatten(), respond),
            Some("Fetch") => self.fetched(decoder.pop().ok().flatten(), respond),
            Some("Probe") => {
                let load = Some(self.load());
                answer(
                    respond,
                    &pb::ProbeReply {
                        engine: self.spec.id,
                        load,
                    },
                );
            }
            _ => refuse(respond, status(12, "no such method")),
        }
    }

    /// Waits while the engine hangs; `false` when the call was reset meanwhile.
    async fn going_on(&self, respond: &mut SendResponse<Bytes>) -> bool {
        let going = async {
            self.going().await;
            true
        };
        let left = async {
            let _ = poll_fn(|cx| respond.poll_reset(cx)).await;
            false
        };
        or(going, left).await
    }

    /// A read or a write, with what may go wrong before it is begun.
    async fn taken<A: Work>(
        &self,
        ask: Option<A>,
        timeout: Option<Micros>,
        mut respond: SendResponse<Bytes>,
    ) {
        let Some((ask, header)) = ask.and_then(|a| a.header().cloned().map(|h| (a, h))) else {
            return refuse(respond, status(3, "the request is malformed"));
        };
        let Some(key) = key(header.key) else {
            return refuse(respond, status(3, "no attempt key"));
        };
        if header.engine != self.spec.id {
            return refuse(respond, status(9, "another engine is meant"));
        }
        let (engine, call) = (self.spec.id, header.call_id);
        self.log.add(ObservedEvent::AttemptArrived {
            engine,
            key,
            call,
            kind: A::KIND,
            timeout,
        });
        // What its caller no longer waits for is dropped, wherever it stands.
        let due = timeout.map_or(Micros::MAX, |span| self.runtime.now().saturating_add(span));
        let _open = Open { inner: self, key };
        if self.pushed() {
            return;
        }
        if !self.going_on(&mut respond).await {
            return;
        }
        if self.runtime.now() >= due {
            return refuse(
                respond,
                status(DEADLINE_EXCEEDED, "its time was over before it was begun"),
            );
        }
        let faults = self.faults();
        if self.chance(faults.refuse_stream) {
            return respond.send_reset(Reason::REFUSED_STREAM);
        }
        if self.chance(faults.stall) {
            // Until the caller gives up.
            let _ = poll_fn(|cx| respond.poll_reset(cx)).await;
            return;
        }
        let room =
            self.inside.fetch_add(1, Ordering::SeqCst) < self.spec.slots + self.spec.queue_limit;
        let _inside = Inside(&self.inside);
        if self.lock().draining {
            return self.turn_away::<A>(respond, pb::turned_away::Reason::Draining);
        }
        if !room || self.chance(faults.reject) {
            return self.turn_away::<A>(respond, pb::turned_away::Reason::Full);
        }
        let twist = faults
            .response_fault
            .filter(|_| self.chance(faults.malformed));
        let fate = Fate {
            lose: self.chance(faults.lose_answer),
            reset: self.chance(faults.reset),
            twist,
        };
        // The work ends when its caller leaves.
        let response = Response::builder()
            .header("content-type", "application/grpc")
            .body(());
        let Ok(response) = response else { return };
        let Ok(stream) = respond.send_response(response, false) else {
            return;
        };
        let out = Out(Arc::new(Mutex::new(stream)));
        let work = async { Some(ask.run(self, key, &header, &fate, &out).await) };
        let left = async {
            out.left().await;
            None
        };
        let over = async {
            self.runtime.sleep_until(due).await;
            Some(Ok(status(DEADLINE_EXCEEDED, "its time is over")))
        };
        let done = or(work, or(left, over)).await;
        match done {
            None => {}
            Some(Ok(trailers)) => out.end(trailers),
            Some(Err(Stopped::Reset)) => out.lock().send_reset(Reason::INTERNAL_ERROR),
            Some(Err(Stopped::Lost)) => out.left().await,
        }
    }

    /// Counts a call against what a cold engine stands; too many and it falls over.
    fn pushed(&self) -> bool {
        let (multiple, window) = self.spec.overload;
        let now = self.runtime.now();
        let mut state = self.lock();
        if state.fallen {
            return true;
        }
        if multiple <= 0.0 || !self.cold || now.saturating_sub(self.started) > self.spec.warm_up.1 {
            return false;
        }
        state.arrivals.push_back(now);
        while state
            .arrivals
            .front()
            .is_some_and(|t| now.saturating_sub(*t) > window)
        {
            state.arrivals.pop_front();
        }
        let most = multiple * self.share() * self.spec.capacity * window as f64 / 1e6;
        // A little slack for chance, as the rule allows.
        if (state.arrivals.len() as f64) <= most + 2.0 {
            return false;
        }
        state.fallen = true;
        drop(state);
        self.log.add(ObservedEvent::EngineStopped {
            engine: self.spec.id,
            overloaded: true,
        });
        self.close_all.notify(usize::MAX);
        true
    }

    fn turn_away<A: Work>(&self, respond: SendResponse<Bytes>, reason: pb::turned_away::Reason) {
        answer_bytes(respond, A::away(self.spec.id, away(reason)));
    }

    fn load(&self) -> pb::Load {
        let inside = self.inside.load(Ordering::SeqCst) as f32;
        let (slots, held) = (
            self.spec.slots as f32,
            self.lock().held.values().map(|h| h.tokens).sum::<u64>(),
        );
        pb::Load {
            outstanding: Some(inside),
            backlog: Some((inside - slots).max(0.0)),
            utilization: Some((inside / slots).min(1.0)),
            recent_ms: Some(0.0),
            memory_share: Some((held as f32 / self.spec.kv_capacity as f32).min(1.0)),
            waiting_ktokens: Some(0.0),
        }
    }

    fn keep(&self, key: AttemptKey, tokens: u64, place: bool) {
        let mut lost = Vec::new();
        {
            let mut state = self.lock();
            while state.held.values().map(|h| h.tokens).sum::<u64>() + tokens
                > self.spec.kv_capacity
            {
                let oldest = state.held.iter().min_by_key(|(_, h)| h.at).map(|(k, _)| *k);
                let Some(oldest) = oldest else { break };
                state.held.remove(&oldest);
                lost.push(oldest);
            }
            state.held.insert(
                (key, place),
                Held {
                    tokens,
                    at: self.runtime.now(),
                    place,
                },
            );
        }
        for (key, place) in lost {
            self.log.add(ObservedEvent::Released {
                engine: self.spec.id,
                key,
                is_decode_slot: place,
                how: RetentionEnd::Lost,
            });
        }
        self.log.add(ObservedEvent::Retained {
            engine: self.spec.id,
            key,
            is_decode_slot: place,
        });
    }

    fn let_go(&self, key: AttemptKey, place: bool, how: RetentionEnd) -> Option<u64> {
        let held = self.lock().held.remove(&(key, place))?;
        self.log.add(ObservedEvent::Released {
            engine: self.spec.id,
            key,
            is_decode_slot: place,
            how,
        });
        Some(held.tokens)
    }

    async fn expire(self: Arc<Self>) {
        loop {
            self.runtime.sleep(self.spec.retention / 8 + 1).await;
            let now = self.runtime.now();
            let old = |h: &Held| now.saturating_sub(h.at) >= self.spec.retention;
            let gone: Vec<(AttemptKey, bool)> = self
                .lock()
                .held
                .iter()
                .filter(|(_, h)| old(h))
                .map(|((k, _), h)| (*k, h.place))
                .collect();
            for (key, place) in gone {
                self.let_go(key, place, RetentionEnd::Expired);
            }
        }
    }

    async fn hold(
        &self,
        ask: Option<pb::HoldRequest>,
        timeout: Option<Micros>,
        mut respond: SendResponse<Bytes>,
    ) {
        let header = ask.as_ref().and_then(|a| a.header.clone());
        let (Some(ask), Some(header)) = (ask, header) else {
            return refuse(respond, status(3, "malformed"));
        };
        let Some(key) = key(header.key) else {
            return refuse(respond, status(3, "no attempt key"));
        };
        let (engine, call) = (self.spec.id, header.call_id);
        self.log.add(ObservedEvent::AttemptArrived {
            engine,
            key,
            call,
            kind: CallKind::Reserve,
            timeout,
        });
        // It crossed the socket; while the engine hangs nothing is done for it, nor after a reset.
        if !self.going_on(&mut respond).await {
            return self.log.add(ObservedEvent::AttemptEnded {
                engine: self.spec.id,
                key,
            });
        }
        let held = !self.lock().draining && self.inside.load(Ordering::SeqCst) < self.spec.slots;
        if held {
            self.keep(key, u64::from(ask.prompt_tokens), true);
        }
        self.log.add(ObservedEvent::AttemptEnded {
            engine: self.spec.id,
            key,
        });
        answer(
            respond,
            &pb::HoldReply {
                engine: self.spec.id,
                held,
            },
        );
    }

    /// Acts at once also while it hangs: what counts for the rule is that the release crossed the socket.
    fn release(&self, ask: Option<pb::ReleaseRequest>, respond: SendResponse<Bytes>) {
        let key = ask.and_then(|a| key(a.key));
        let released = key.is_some_and(|key| {
            let gone = [true, false].map(|place| self.let_go(key, place, RetentionEnd::Released));
            gone.iter().any(Option::is_some)
        });
        answer(respond, &pb::ReleaseReply { released });
    }

    fn fetched(&self, ask: Option<pb::FetchRequest>, respond: SendResponse<Bytes>) {
        let lose = self.lock().faults.drop_states;
        let how = if lose {
            RetentionEnd::Lost
        } else {
            RetentionEnd::Used
        };
        let tokens = ask
            .and_then(|a| key(a.key))
            .and_then(|key| self.let_go(key, false, how));
        let found = tokens.filter(|_| !lose);
        // A slow link shows at the one who fetches: it is told how long by the tokens.
        let tokens = found.map_or(0, |t| (t as f64 * self.faults().link_slowness()) as u32);
        answer(
            respond,
            &pb::FetchReply {
                found: found.is_some(),
                tokens,
            },
        );
    }

    /// Fetches a state from another engine over a connection of its own.
    async fn fetch(&self, state: &pb::StateRef) -> Option<u64> {
        let address: SocketAddr = state.address.parse().ok()?;
        let until = self.runtime.now() + 1_000_000;
        let body = encode(&pb::FetchRequest {
            key: state.key,
            engine: state.engine,
            by: self.spec.id,
        });
        let fetch = async {
            let conn = self.runtime.connect(address).await.ok()?;
            let channel = Channel::begin(&self.runtime, conn, Options::default())
                .await
                .ok()?;
            let mut call = channel
                .call("/ivyward.engine.v1.Engine/Fetch", body, HeaderMap::new())
                .await
                .ok()?;
            let reply = call.next::<pb::FetchReply>().await.ok()??;
            channel.close();
            reply.found.then_some(u64::from(reply.tokens))
        };
        timeout_at(&self.runtime, until, fetch).await?
    }

    /// Prompt tokens that it knows already, and remembers the prompt.
    fn known(&self, opening: (u64, u32), session: u64, prompt: usize) -> u32 {
        let mut state = self.lock();
        if state.known.values().sum::<u64>() > self.spec.kv_capacity {
            state.known.clear();
        }
        let of = |state: &State, key: u64| state.known.get(&key).copied().unwrap_or(0);
        let kept = of(&state, session)
            .min(prompt as u64)
            .max(of(&state, opening.0).min(u64::from(opening.1)));
        for (key, tokens) in [(opening.0, u64::from(opening.1)), (session, prompt as u64)] {
            if key != 0 {
                state.known.insert(key, tokens);
            }
        }
        kept as u32
    }
}

/// A connection of an engine that may hang: it still reads, so that what crosses the socket is seen, but nothing goes
/// out until the engine goes on. At most [`MOST_MUTED`] bytes wait.
struct Muted {
    conn: Conn,
    inner: Arc<Inner>,
    waiting: BytesMut,
}

const MOST_MUTED: usize = 1 << 20;

impl Muted {
    fn hangs(&self) -> bool {
        self.inner.lock().faults.hang
    }
    /// Writes what waits.
    fn poll_out(&mut self, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.waiting.is_empty() && !self.hangs() {
            let put = ready!(Pin::new(&mut self.conn).poll_write(cx, &self.waiting))?;
            self.waiting.advance(put);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Muted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        // An error shows when h2 writes next.
        let _ = self.poll_out(cx);
        Pin::new(&mut self.conn).poll_read(cx, buf)
    }
}

impl AsyncWrite for Muted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.hangs() || !self.waiting.is_empty() {
            if self.waiting.len() < MOST_MUTED {
                self.waiting.extend_from_slice(buf);
                let _ = self.poll_out(cx);
                return Poll::Ready(Ok(buf.len()));
            }
            ready!(self.poll_out(cx))?;
            return Poll::Pending;
        }
        Pin::new(&mut self.conn).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.hangs() {
            return Poll::Ready(Ok(()));
        }
        ready!(self.poll_out(cx))?;
        Pin::new(&mut self.conn).poll_flush(cx)
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}

/// What becomes of a call that was begun.
struct Fate {
    lose: bool,
    reset: bool,
    twist: Option<ResponseFault>,
}

enum Stopped {
    Reset,
    Lost,
}

impl From<h2::Error> for Stopped {
    fn from(_: h2::Error) -> Stopped {
        // The caller left; there is nobody to tell.
        Stopped::Lost
    }
}

fn key(key: Option<pb::AttemptKey>) -> Option<AttemptKey> {
    key.map(|k| AttemptKey {
        node: k.node,
        request: k.request,
        attempt: k.attempt,
    })
}

/// Answers a call with one message.
fn answer(respond: SendResponse<Bytes>, message: &impl Message) {
    answer_bytes(respond, encode(message));
}

fn answer_bytes(mut respond: SendResponse<Bytes>, bytes: Bytes) {
    let response = Response::builder()
        .header("content-type", "application/grpc")
        .body(());
    let Ok(response) = response else { return };
    if let Ok(mut stream) = respond.send_response(response, false) {
        // The caller may have left. Small enough for h2 to hold.
        let _ = stream.send_data(bytes, false);
        let _ = stream.send_trailers(status(0, ""));
    }
}

/// Answers a call with a status alone.
fn refuse(mut respond: SendResponse<Bytes>, trailers: HeaderMap) {
    let mut response = Response::new(());
    *response.headers_mut() = trailers;
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    let _ = respond.send_response(response, true);
}

/// A call that takes time: a read or a write.
trait Work: Sized + Send {
    const KIND: CallKind;
    fn header(&self) -> Option<&pb::Header>;
    fn away(engine: u64, away: pb::TurnedAway) -> Bytes;
    fn run(
        self,
        engine: &Inner,
        key: AttemptKey,
        header: &pb::Header,
        fate: &Fate,
        out: &Out,
    ) -> impl std::future::Future<Output = Result<HeaderMap, Stopped>> + Send;
}

impl Work for pb::ReadRequest {
    const KIND: CallKind = CallKind::Prefill;
    fn header(&self) -> Option<&pb::Header> {
        self.header.as_ref()
    }
    fn away(engine: u64, away: pb::TurnedAway) -> Bytes {
        encode(&pb::ReadReply {
            engine,
            load: None,
            result: Some(pb::read_reply::Result::TurnedAway(away)),
        })
    }
    async fn run(
        self,
        engine: &Inner,
        key: AttemptKey,
        _: &pb::Header,
        fate: &Fate,
        out: &Out,
    ) -> Result<HeaderMap, Stopped> {
        let _slot = engine.slots.acquire().await;
        let kept_tokens = engine.known(
            (self.opening, self.opening_tokens),
            self.session,
            self.prompt.len(),
        );
        let new = self.prompt.len() as f64 - f64::from(kept_tokens);
        engine.work(new * 1e6 / engine.spec.prefill_rate).await;
        engine.keep(key, self.prompt.len() as u64, false);
        if fate.reset {
            return Err(Stopped::Reset);
        }
        if fate.lose {
            return Err(Stopped::Lost);
        }
        let done = pb::read_reply::Result::Done(pb::ReadDone { kept_tokens });
        let mut reply = pb::ReadReply {
            engine: engine.spec.id,
            load: Some(engine.load()),
            result: Some(done),
        };
        match fate.twist {
            Some(ResponseFault::WrongId) => reply.engine ^= 1,
            Some(ResponseFault::Malformed) => {
                out.send(Bytes::from_static(&[0, 0, 0, 0, 3, 0xff, 0xff, 0xff]))
                    .await?;
                return Ok(status(0, ""));
            }
            Some(ResponseFault::Oversized) => {
                out.send(Bytes::from_static(&[0, 0x7f, 0xff, 0xff, 0xff]))
                    .await?
            }
            Some(ResponseFault::StatusExhausted) => return Ok(status(8, "slow down")),
            Some(ResponseFault::MissingFinalMessage) => return Ok(status(0, "")),
            _ => {}
        }
        out.send(encode(&reply)).await?;
        Ok(status(0, ""))
    }
}

impl Work for pb::WriteRequest {
    const KIND: CallKind = CallKind::Decode;
    fn header(&self) -> Option<&pb::Header> {
        self.header.as_ref()
    }
    fn away(engine: u64, away: pb::TurnedAway) -> Bytes {
        encode(&pb::WriteEvent {
            engine,
            event: Some(pb::write_event::Event::TurnedAway(away)),
        })
    }
    async fn run(
        self,
        engine: &Inner,
        key: AttemptKey,
        header: &pb::Header,
        fate: &Fate,
        out: &Out,
    ) -> Result<HeaderMap, Stopped> {
        use pb::write_event::Event;
        let id = engine.spec.id;
        let say = |event| {
            encode(&pb::WriteEvent {
                engine: id,
                event: Some(event),
            })
        };
        if let Some(state) = self.state.as_ref().and_then(|s| s.key) {
            let place = AttemptKey {
                node: state.node,
                request: state.request,
                attempt: state.attempt,
            };
            engine.let_go(place, true, RetentionEnd::Used);
        }
        let _slot = engine.slots.acquire().await;
        let mut kept_tokens = 0;
        if let Some(state) = &self.state {
            let Some(tokens) = engine.fetch(state).await else {
                out.send(Self::away(id, away(pb::turned_away::Reason::StateLost)))
                    .await?;
                return Ok(status(0, ""));
            };
            engine
                .work(tokens as f64 * 1e6 / engine.spec.kv_fetch_rate)
                .await;
            engine.known(
                (self.opening, self.opening_tokens),
                self.session,
                self.prompt.len(),
            );
        } else {
            kept_tokens = engine.known(
                (self.opening, self.opening_tokens),
                self.session,
                self.prompt.len(),
            );
            let new = self.prompt.len() as f64 - f64::from(kept_tokens);
            // Read between the steps of its answers: slower than a reader.
            engine
                .work(2.0 * new * 1e6 / engine.spec.prefill_rate)
                .await;
        }
        let repeat = !header.idempotency_key.is_empty() && {
            let (mut state, now) = (engine.lock(), engine.runtime.now());
            state
                .ran
                .retain(|_, at| now.saturating_sub(*at) < 60_000_000);
            state
                .ran
                .insert(header.idempotency_key.clone(), now)
                .is_some()
        };
        if !repeat {
            engine.log.add(ObservedEvent::AttemptRan {
                engine: id,
                key,
                call: header.call_id,
            });
        }
        if fate.lose {
            return Err(Stopped::Lost);
        }
        if fate.reset {
            return Err(Stopped::Reset);
        }
        let digest = text::digest(&self.prompt);
        let length = text::length(digest, self.max_output_tokens);
        let run = |first_index: u32, index: u32| {
            Event::Tokens(pb::WriteTokens {
                first_index,
                ids: vec![text::token(digest, index)],
            })
        };
        for index in 0..length {
            let span = engine.spec.token_interval as f64 * engine.faults().slowness();
            if span >= 1.0 {
                engine.runtime.sleep(span as Micros).await;
                engine.going().await;
            }
            match (fate.twist, index) {
                (Some(ResponseFault::WrongId), 0) => {
                    out.send(encode(&pb::WriteEvent {
                        engine: id ^ 1,
                        event: Some(run(0, 0)),
                    }))
                    .await?;
                }
                (Some(ResponseFault::Malformed), 0) => {
                    out.send(Bytes::from_static(&[0, 0, 0, 0, 3, 0xff, 0xff, 0xff]))
                        .await?;
                }
                (Some(ResponseFault::Oversized), 0) => {
                    out.send(Bytes::from_static(&[0, 0x7f, 0xff, 0xff, 0xff]))
                        .await?
                }
                (Some(ResponseFault::OutOfOrder), 0) => out.send(say(run(1, 1))).await?,
                (Some(ResponseFault::DuplicateToken), 1) => out.send(say(run(0, 0))).await?,
                (Some(ResponseFault::StreamReset), 2) => return Err(Stopped::Reset),
                (Some(ResponseFault::StreamStalled), 2) => return Err(Stopped::Lost),
                (Some(ResponseFault::StatusExhausted), 0) => return Ok(status(8, "slow down")),
                (Some(ResponseFault::MissingFinalMessage), 2) => return Ok(status(0, "")),
                _ => {}
            }
            out.send(say(run(index, index))).await?;
            engine.lock().tokens += 1;
        }
        let done = pb::WriteDone {
            tokens: length,
            kept_tokens,
            load: Some(engine.load()),
        };
        out.send(say(Event::Done(done))).await?;
        if fate.twist == Some(ResponseFault::TokensAfterEnd) {
            out.send(say(run(length, 0))).await?;
        }
        Ok(status(0, ""))
    }
}
