//! A fake engine on a loopback socket: a simple model of service times, slots, a queue and KV memory, over real HTTP/2.

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

/// Which requests an engine processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefill: reads prompts.
    Prefill,
    /// Decode: generates answers.
    Decode,
    /// Prefill and decode.
    Mixed,
}

/// Configuration of a fake engine. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Engine id.
    pub id: u64,
    /// Which requests the engine processes.
    pub role: Role,
    /// Rack number.
    pub rack: u16,
    /// Maximum number of calls processed at the same time.
    pub slots: usize,
    /// Maximum number of calls that wait for a slot. Further calls are rejected as full.
    pub queue_limit: usize,
    /// Prompt tokens per second that prefill reads on a warm engine without faults.
    pub prefill_rate: f64,
    /// Tokens of KV state per second that the engine fetches from another engine, regardless of racks.
    pub kv_fetch_rate: f64,
    /// Time between two tokens of an answer.
    pub token_interval: Micros,
    /// Maximum number of tokens in reserved KV states and decode slots. Above it the oldest reservations are lost. Also the
    /// limit above which the cached prefixes are cleared.
    pub kv_capacity: u64,
    /// How long a KV state or decode slot stays reserved if nobody fetches or releases it.
    pub retention: Micros,
    /// Share of the capacity with which a cold engine starts, and the time until it is warm.
    pub warm_up: (f64, Micros),
    /// A cold engine crashes if it is sent more than this multiple of its current capacity within this window; a multiple of
    /// 0 disables this.
    pub overload: (f64, Micros),
    /// Calls per second that a warm engine completes; the basis for detecting that a cold engine is overloaded.
    pub capacity: f64,
    /// Maximum number of concurrent HTTP/2 streams on a connection.
    pub max_streams: u32,
}

impl EngineSpec {
    /// Returns an engine with service times that are long compared with the scheduling delays of a busy machine, and that
    /// differ clearly from each other. What a node learns from them then leads to the same choices in each run: a prompt of
    /// 60 tokens takes 150 ms to read and 200 ms to fetch.
    pub fn steady(id: u64, role: Role) -> EngineSpec {
        EngineSpec {
            prefill_rate: 400.0,
            kv_fetch_rate: 300.0,
            token_interval: 3_000,
            ..EngineSpec::small(id, role)
        }
    }

    /// Returns a small engine with short service times.
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

struct Reservation {
    tokens: u64,
    at: Micros,
    is_decode_slot: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    random: u64,
    reservations: BTreeMap<(AttemptKey, bool), Reservation>,
    /// Tokens of the prompt openings and sessions that are cached here, by key. Cleared as a whole when the limit is
    /// exceeded.
    cached_prefixes: BTreeMap<u64, u64>,
    /// Idempotency keys of the requests that ran here in the last 60 s, with the times at which they ran.
    executed_keys: BTreeMap<String, Micros>,
    arrivals: std::collections::VecDeque<Micros>,
    tokens: u64,
    draining: bool,
    goaway_count: u64,
    /// The process crashed from overload.
    is_down: bool,
}

/// State of an engine's process. A restart creates a new one.
struct Inner {
    spec: EngineSpec,
    runtime: RuntimeRef,
    log: EventLog,
    started: Micros,
    cold: bool,
    state: Mutex<State>,
    changed: Event,
    slots: Semaphore,
    /// Number of calls that are processed or wait for a slot.
    in_flight: AtomicUsize,
    close_all: Event,
}

/// Counts a call as in flight until dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Logs the end of an attempt when dropped, whatever ended it.
struct AttemptGuard<'a> {
    inner: &'a Inner,
    key: AttemptKey,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.inner.log.add(ObservedEvent::AttemptEnded {
            engine: self.inner.spec.id,
            key: self.key,
        });
    }
}

/// A function that kills a process.
pub type Kill = Box<dyn FnOnce() + Send>;

/// Creates the processes of fakes. Each process has a runtime and can be killed.
pub trait Host: Send + Sync {
    /// Returns the runtime of a new process, and the function that kills the process.
    fn process(&self, seed: u64) -> (RuntimeRef, Kill);
}

/// A host that runs each process on a thread of its own.
pub struct ThreadPerProcess;

impl Host for ThreadPerProcess {
    fn process(&self, seed: u64) -> (RuntimeRef, Kill) {
        let runtime = SmolRuntime::start(1, seed);
        (runtime.clone(), Box::new(move || runtime.stop()))
    }
}

/// A host whose processes share one runtime and cannot be killed. Meant for large fleets in which no process fails.
pub struct SharedRuntime(pub RuntimeRef);

impl Host for SharedRuntime {
    fn process(&self, _: u64) -> (RuntimeRef, Kill) {
        (self.0.clone(), Box::new(|| {}))
    }
}

/// An engine controlled by a script: it can crash, and restart with its id and address.
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
    /// Returns the operating system's error if no port can be bound.
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
    /// Returns the operating system's error if the port cannot be bound.
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
    /// Returns the engine's configuration.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }
    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// Whether the process runs. An engine that crashed from overload does not run, even if its listener is still open.
    pub fn is_running(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|(inner, _)| !inner.lock().is_down)
    }
    /// Kills the process: connections are reset and all reservations are lost.
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
    /// Restarts the process at the same address, cold or warm.
    ///
    /// # Errors
    /// Returns the operating system's error if the port cannot be bound.
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
            in_flight: AtomicUsize::new(0),
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
    /// Changes the engine's faults. Does nothing if the engine does not run.
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
    /// Runs a task, such as the engine's registration, in the engine's process. The task ends with the process.
    pub fn spawn_in_process(
        &self,
        task: impl FnOnce(RuntimeRef) -> ivyward_runtime::BoxFuture<()>,
    ) {
        if let Some((inner, _)) = &self.running {
            inner.runtime.spawn(task(inner.runtime.clone()));
        }
    }
    /// Sets whether the engine drains. A draining engine rejects new attempts and reservations.
    pub fn set_draining(&self, on: bool) {
        if let Some((inner, _)) = &self.running {
            inner.lock().draining = on;
        }
    }
    /// Resets all connections of the engine.
    pub fn drop_connections(&self) {
        if let Some((inner, _)) = &self.running {
            inner.close_all.notify(usize::MAX);
        }
    }
    /// Returns the number of answer tokens sent since the last start.
    pub fn tokens_sent(&self) -> u64 {
        self.running
            .as_ref()
            .map_or(0, |(inner, _)| inner.lock().tokens)
    }
    /// Sends GOAWAY on all open connections, after which they accept no new streams.
    pub fn send_goaway(&self) {
        if let Some((inner, _)) = &self.running {
            inner.lock().goaway_count += 1;
            inner.changed.notify(usize::MAX);
        }
    }
    /// Returns the number of KV states and decode slots that are reserved for requests.
    pub fn retained_count(&self) -> usize {
        self.running
            .as_ref()
            .map_or(0, |(inner, _)| inner.lock().reservations.len())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}

/// The gRPC status code of a call whose deadline has passed.
const DEADLINE_EXCEEDED: u32 = 4;

/// Returns how long the caller waits, as stated in the call's headers, or `None` if the header is missing or malformed.
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

fn turned_away(reason: pb::turned_away::Reason) -> pb::TurnedAway {
    pb::TurnedAway {
        reason: reason.into(),
    }
}

/// The response body of a call. Shared with the task that waits for the caller to reset the stream.
#[derive(Clone)]
struct ResponseBody(Arc<Mutex<SendStream<Bytes>>>);

impl ResponseBody {
    fn lock(&self) -> MutexGuard<'_, SendStream<Bytes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    async fn send(&self, mut bytes: Bytes) -> Result<(), h2::Error> {
        while !bytes.is_empty() {
            let capacity = poll_fn(|cx| {
                let mut stream = self.lock();
                stream.reserve_capacity(bytes.len());
                match stream.capacity() {
                    0 => stream.poll_capacity(cx),
                    capacity => Poll::Ready(Some(Ok(capacity))),
                }
            });
            let capacity = capacity
                .await
                .unwrap_or_else(|| Err(Reason::CANCEL.into()))?;
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            self.lock().send_data(chunk, false)?;
        }
        Ok(())
    }
    /// Returns once the caller has reset the stream.
    async fn wait_for_reset(&self) {
        let _ = poll_fn(|cx| self.lock().poll_reset(cx)).await;
    }
    fn end(&self, trailers: HeaderMap) {
        // Fails if the caller has reset the stream.
        let _ = self.lock().send_trailers(trailers);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn draw(&self, probability: f64) -> bool {
        let mut state = self.lock();
        state.random = state
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((state.random >> 33) as f64 / (1u64 << 31) as f64) < probability
    }
    fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }
    fn lose_all(&self) {
        let lost: Vec<(AttemptKey, bool)> = std::mem::take(&mut self.lock().reservations)
            .into_keys()
            .collect();
        for (key, is_decode_slot) in lost {
            self.log.add(ObservedEvent::Released {
                engine: self.spec.id,
                key,
                is_decode_slot,
                how: RetentionEnd::Lost,
            });
        }
    }
    /// Returns the share of the capacity that the engine has now. It rises linearly during warm-up.
    fn capacity_share(&self) -> f64 {
        let (start, warm) = self.spec.warm_up;
        let age = self.runtime.now().saturating_sub(self.started);
        if !self.cold || age >= warm {
            return 1.0;
        }
        start + (1.0 - start) * age as f64 / warm.max(1) as f64
    }
    async fn process(&self, duration: f64) {
        let duration = duration * self.faults().slowdown_factor() / self.capacity_share();
        if duration >= 1.0 {
            self.runtime.sleep(duration as Micros).await;
        }
        self.wait_while_hung().await;
    }
    /// Waits while the engine hangs.
    async fn wait_while_hung(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.lock().faults.hang {
                return;
            }
            listener.await;
        }
    }

    async fn accept(self: Arc<Self>, mut listener: Box<dyn ivyward_runtime::Listener>) {
        // Accepts connections also while the engine hangs, because the operating system accepts them for a hung process.
        loop {
            let Ok((conn, _)) = listener.accept().await else {
                continue;
            };
            if self.lock().is_down {
                continue;
            }
            let inner = self.clone();
            self.runtime
                .run(async move { inner.connection(conn).await });
        }
    }

    async fn connection(self: Arc<Self>, mut conn: Conn) {
        // A crashed process resets its connections.
        conn.reset_on_close();
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(self.spec.max_streams)
            .initial_connection_window_size(4 << 20);
        let conn = StallableConnection {
            conn,
            inner: self.clone(),
            pending_output: BytesMut::new(),
        };
        let Ok(mut h2) = builder.handshake::<_, Bytes>(Io::new(conn)).await else {
            return;
        };
        let mut goaway_count = self.lock().goaway_count;
        // Created once for the whole connection, so that no notification is missed between two iterations.
        let mut closing = self.close_all.listen();
        loop {
            let changed = self.changed.listen();
            if self.lock().goaway_count != goaway_count {
                // Only connections that were open at the time of the call send GOAWAY.
                goaway_count = self.lock().goaway_count;
                h2.graceful_shutdown();
            }
            let next = async { Some(h2.accept().await) };
            let close = async {
                (&mut closing).await;
                Some(None)
            };
            let recheck = async {
                changed.await;
                None
            };
            match or(next, or(close, recheck)).await {
                // The next poll sends the output that was pending while the engine hung.
                None => {}
                Some(Some(Ok((request, respond)))) => {
                    let inner = self.clone();
                    self.runtime
                        .run(async move { inner.call(request, respond).await });
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
            self.wait_while_hung().await;
        }
        match method {
            Some("Read") => {
                self.handle_attempt(
                    decoder.pop::<pb::ReadRequest>().ok().flatten(),
                    timeout,
                    respond,
                )
                .await
            }
            Some("Write") => {
                self.handle_attempt(
                    decoder.pop::<pb::WriteRequest>().ok().flatten(),
                    timeout,
                    respond,
                )
                .await
            }
            Some("Hold") => {
                self.handle_reserve(decoder.pop().ok().flatten(), timeout, respond)
                    .await
            }
            Some("Release") => self.handle_release(decoder.pop().ok().flatten(), respond),
            Some("Fetch") => self.handle_fetch(decoder.pop().ok().flatten(), respond),
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
            _ => respond_status(respond, status(12, "no such method")),
        }
    }

    /// Waits while the engine hangs. Returns `false` if the call was reset meanwhile.
    async fn wait_while_hung_or_reset(&self, respond: &mut SendResponse<Bytes>) -> bool {
        let resumed = async {
            self.wait_while_hung().await;
            true
        };
        let reset = async {
            let _ = poll_fn(|cx| respond.poll_reset(cx)).await;
            false
        };
        or(resumed, reset).await
    }

    /// Handles a prefill or decode attempt: applies the faults and checks that precede it, then runs it.
    async fn handle_attempt<A: AttemptRequest>(
        &self,
        request: Option<A>,
        timeout: Option<Micros>,
        mut respond: SendResponse<Bytes>,
    ) {
        let Some((request, header)) = request.and_then(|a| a.header().cloned().map(|h| (a, h)))
        else {
            return respond_status(respond, status(3, "the request is malformed"));
        };
        let Some(key) = key(header.key) else {
            return respond_status(respond, status(3, "no attempt key"));
        };
        if header.engine != self.spec.id {
            return respond_status(respond, status(9, "another engine is meant"));
        }
        let (engine, call) = (self.spec.id, header.call_id);
        self.log.add(ObservedEvent::AttemptArrived {
            engine,
            key,
            call,
            kind: A::KIND,
            timeout,
        });
        // An attempt is dropped at its deadline, whether it is waiting or running.
        let deadline = timeout.map_or(Micros::MAX, |timeout| {
            self.runtime.now().saturating_add(timeout)
        });
        let _guard = AttemptGuard { inner: self, key };
        if self.is_overloaded() {
            return;
        }
        if !self.wait_while_hung_or_reset(&mut respond).await {
            return;
        }
        if self.runtime.now() >= deadline {
            return respond_status(
                respond,
                status(DEADLINE_EXCEEDED, "its time was over before it was begun"),
            );
        }
        let faults = self.faults();
        if self.draw(faults.refuse_stream) {
            return respond.send_reset(Reason::REFUSED_STREAM);
        }
        if self.draw(faults.stall) {
            // Waits until the caller resets the stream.
            let _ = poll_fn(|cx| respond.poll_reset(cx)).await;
            return;
        }
        let has_capacity =
            self.in_flight.fetch_add(1, Ordering::SeqCst) < self.spec.slots + self.spec.queue_limit;
        let _in_flight = InFlightGuard(&self.in_flight);
        if self.lock().draining {
            return self.reject_attempt::<A>(respond, pb::turned_away::Reason::Draining);
        }
        if !has_capacity || self.draw(faults.reject) {
            return self.reject_attempt::<A>(respond, pb::turned_away::Reason::Full);
        }
        let response_fault = faults
            .response_fault
            .filter(|_| self.draw(faults.malformed));
        let faults = AttemptFaults {
            lose_response: self.draw(faults.lose_answer),
            reset: self.draw(faults.reset),
            response_fault,
        };
        // The attempt ends when its caller resets the stream.
        let response = Response::builder()
            .header("content-type", "application/grpc")
            .body(());
        let Ok(response) = response else { return };
        let Ok(stream) = respond.send_response(response, false) else {
            return;
        };
        let out = ResponseBody(Arc::new(Mutex::new(stream)));
        let work = async { Some(request.run(self, key, &header, &faults, &out).await) };
        let reset = async {
            out.wait_for_reset().await;
            None
        };
        let timed_out = async {
            self.runtime.sleep_until(deadline).await;
            Some(Ok(status(DEADLINE_EXCEEDED, "its time is over")))
        };
        let end = or(work, or(reset, timed_out)).await;
        match end {
            None => {}
            Some(Ok(trailers)) => out.end(trailers),
            Some(Err(Abort::Reset)) => out.lock().send_reset(Reason::INTERNAL_ERROR),
            Some(Err(Abort::NoResponse)) => out.wait_for_reset().await,
        }
    }

    /// Counts an arrival and returns whether the engine is down from overload. A cold engine crashes if more calls arrive
    /// within the window than its current capacity allows.
    fn is_overloaded(&self) -> bool {
        let (multiple, window) = self.spec.overload;
        let now = self.runtime.now();
        let mut state = self.lock();
        if state.is_down {
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
        let limit = multiple * self.capacity_share() * self.spec.capacity * window as f64 / 1e6;
        // Two calls of slack for chance, as the rule allows.
        if (state.arrivals.len() as f64) <= limit + 2.0 {
            return false;
        }
        state.is_down = true;
        drop(state);
        self.log.add(ObservedEvent::EngineStopped {
            engine: self.spec.id,
            overloaded: true,
        });
        self.close_all.notify(usize::MAX);
        true
    }

    fn reject_attempt<A: AttemptRequest>(
        &self,
        respond: SendResponse<Bytes>,
        reason: pb::turned_away::Reason,
    ) {
        answer_bytes(respond, A::rejection(self.spec.id, turned_away(reason)));
    }

    fn load(&self) -> pb::Load {
        let in_flight = self.in_flight.load(Ordering::SeqCst) as f32;
        let (slots, reserved_tokens) = (
            self.spec.slots as f32,
            self.lock()
                .reservations
                .values()
                .map(|h| h.tokens)
                .sum::<u64>(),
        );
        pb::Load {
            outstanding: Some(in_flight),
            backlog: Some((in_flight - slots).max(0.0)),
            utilization: Some((in_flight / slots).min(1.0)),
            recent_ms: Some(0.0),
            memory_share: Some((reserved_tokens as f32 / self.spec.kv_capacity as f32).min(1.0)),
            waiting_ktokens: Some(0.0),
        }
    }

    fn reserve(&self, key: AttemptKey, tokens: u64, is_decode_slot: bool) {
        let mut lost = Vec::new();
        {
            let mut state = self.lock();
            while state.reservations.values().map(|h| h.tokens).sum::<u64>() + tokens
                > self.spec.kv_capacity
            {
                let oldest = state
                    .reservations
                    .iter()
                    .min_by_key(|(_, h)| h.at)
                    .map(|(k, _)| *k);
                let Some(oldest) = oldest else { break };
                state.reservations.remove(&oldest);
                lost.push(oldest);
            }
            state.reservations.insert(
                (key, is_decode_slot),
                Reservation {
                    tokens,
                    at: self.runtime.now(),
                    is_decode_slot,
                },
            );
        }
        for (key, is_decode_slot) in lost {
            self.log.add(ObservedEvent::Released {
                engine: self.spec.id,
                key,
                is_decode_slot,
                how: RetentionEnd::Lost,
            });
        }
        self.log.add(ObservedEvent::Retained {
            engine: self.spec.id,
            key,
            is_decode_slot,
        });
    }

    fn release_reservation(
        &self,
        key: AttemptKey,
        is_decode_slot: bool,
        how: RetentionEnd,
    ) -> Option<u64> {
        let reservation = self.lock().reservations.remove(&(key, is_decode_slot))?;
        self.log.add(ObservedEvent::Released {
            engine: self.spec.id,
            key,
            is_decode_slot,
            how,
        });
        Some(reservation.tokens)
    }

    async fn expire(self: Arc<Self>) {
        loop {
            self.runtime.sleep(self.spec.retention / 8 + 1).await;
            let now = self.runtime.now();
            let old = |h: &Reservation| now.saturating_sub(h.at) >= self.spec.retention;
            let expired: Vec<(AttemptKey, bool)> = self
                .lock()
                .reservations
                .iter()
                .filter(|(_, h)| old(h))
                .map(|((k, _), h)| (*k, h.is_decode_slot))
                .collect();
            for (key, is_decode_slot) in expired {
                self.release_reservation(key, is_decode_slot, RetentionEnd::Expired);
            }
        }
    }

    async fn handle_reserve(
        &self,
        request: Option<pb::HoldRequest>,
        timeout: Option<Micros>,
        mut respond: SendResponse<Bytes>,
    ) {
        let header = request.as_ref().and_then(|a| a.header.clone());
        let (Some(request), Some(header)) = (request, header) else {
            return respond_status(respond, status(3, "malformed"));
        };
        let Some(key) = key(header.key) else {
            return respond_status(respond, status(3, "no attempt key"));
        };
        let (engine, call) = (self.spec.id, header.call_id);
        self.log.add(ObservedEvent::AttemptArrived {
            engine,
            key,
            call,
            kind: CallKind::Reserve,
            timeout,
        });
        // The call is logged because it crossed the socket. It is not processed while the engine hangs, nor after a reset.
        if !self.wait_while_hung_or_reset(&mut respond).await {
            return self.log.add(ObservedEvent::AttemptEnded {
                engine: self.spec.id,
                key,
            });
        }
        let held = !self.lock().draining && self.in_flight.load(Ordering::SeqCst) < self.spec.slots;
        if held {
            self.reserve(key, u64::from(request.prompt_tokens), true);
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

    /// Releases at once, also while the engine hangs: the rule counts a release once it has crossed the socket.
    fn handle_release(&self, request: Option<pb::ReleaseRequest>, respond: SendResponse<Bytes>) {
        let key = request.and_then(|a| key(a.key));
        let released = key.is_some_and(|key| {
            let removed = [true, false].map(|is_decode_slot| {
                self.release_reservation(key, is_decode_slot, RetentionEnd::Released)
            });
            removed.iter().any(Option::is_some)
        });
        answer(respond, &pb::ReleaseReply { released });
    }

    fn handle_fetch(&self, request: Option<pb::FetchRequest>, respond: SendResponse<Bytes>) {
        let lose_state = self.lock().faults.drop_states;
        let how = if lose_state {
            RetentionEnd::Lost
        } else {
            RetentionEnd::Used
        };
        let tokens = request
            .and_then(|a| key(a.key))
            .and_then(|key| self.release_reservation(key, false, how));
        let found = tokens.filter(|_| !lose_state);
        // The fetching engine computes the transfer time from the number of tokens, so a slow link is simulated by a higher
        // number.
        let tokens = found.map_or(0, |t| {
            (t as f64 * self.faults().fetch_slowdown_factor()) as u32
        });
        answer(
            respond,
            &pb::FetchReply {
                found: found.is_some(),
                tokens,
            },
        );
    }

    /// Fetches a KV state from another engine over a new connection. Returns its size in tokens, or `None` on failure or
    /// after 1 s.
    async fn fetch_state(&self, state: &pb::StateRef) -> Option<u64> {
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

    /// Returns the number of prompt tokens that are already cached, and caches the prompt.
    fn record_prompt(&self, opening: (u64, u32), session: u64, prompt: usize) -> u32 {
        let mut state = self.lock();
        if state.cached_prefixes.values().sum::<u64>() > self.spec.kv_capacity {
            state.cached_prefixes.clear();
        }
        let length_of =
            |state: &State, key: u64| state.cached_prefixes.get(&key).copied().unwrap_or(0);
        let cached = length_of(&state, session)
            .min(prompt as u64)
            .max(length_of(&state, opening.0).min(u64::from(opening.1)));
        for (key, tokens) in [(opening.0, u64::from(opening.1)), (session, prompt as u64)] {
            if key != 0 {
                state.cached_prefixes.insert(key, tokens);
            }
        }
        cached as u32
    }
}

/// A connection of an engine that may hang. While the engine hangs the connection still reads, so that what crosses the
/// socket is observed, but its output stays pending. Up to [`MAX_PENDING_OUTPUT`] bytes are buffered.
struct StallableConnection {
    conn: Conn,
    inner: Arc<Inner>,
    pending_output: BytesMut,
}

/// Pending output, in bytes, above which a connection of a hung engine accepts no more writes.
const MAX_PENDING_OUTPUT: usize = 1 << 20;

impl StallableConnection {
    fn is_hung(&self) -> bool {
        self.inner.lock().faults.hang
    }
    /// Writes the pending output, unless the engine hangs.
    fn poll_pending_output(&mut self, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.pending_output.is_empty() && !self.is_hung() {
            let written = ready!(Pin::new(&mut self.conn).poll_write(cx, &self.pending_output))?;
            self.pending_output.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for StallableConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        // A write error is returned again when h2 writes next.
        let _ = self.poll_pending_output(cx);
        Pin::new(&mut self.conn).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallableConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.is_hung() || !self.pending_output.is_empty() {
            if self.pending_output.len() < MAX_PENDING_OUTPUT {
                self.pending_output.extend_from_slice(buf);
                let _ = self.poll_pending_output(cx);
                return Poll::Ready(Ok(buf.len()));
            }
            ready!(self.poll_pending_output(cx))?;
            return Poll::Pending;
        }
        Pin::new(&mut self.conn).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.is_hung() {
            return Poll::Ready(Ok(()));
        }
        ready!(self.poll_pending_output(cx))?;
        Pin::new(&mut self.conn).poll_flush(cx)
    }
    /// Ends the output, and waits until the client has closed the connection, too. Closing it before would discard output that the
    /// client has not received.
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(Pin::new(&mut self.conn).poll_close(cx))?;
        let mut input = [0; 1_024];
        while ready!(Pin::new(&mut self.conn).poll_read(cx, &mut input))? > 0 {}
        Poll::Ready(Ok(()))
    }
}

/// Faults that apply to one attempt, drawn before the attempt starts.
struct AttemptFaults {
    lose_response: bool,
    reset: bool,
    response_fault: Option<ResponseFault>,
}

/// How an attempt ends without a complete response.
enum Abort {
    Reset,
    NoResponse,
}

impl From<h2::Error> for Abort {
    fn from(_: h2::Error) -> Abort {
        // The caller has reset the stream, so no response can be sent.
        Abort::NoResponse
    }
}

fn key(key: Option<pb::AttemptKey>) -> Option<AttemptKey> {
    key.map(|k| AttemptKey {
        node: k.node,
        request: k.request,
        attempt: k.attempt,
    })
}

/// Responds with one message and status OK.
fn answer(respond: SendResponse<Bytes>, message: &impl Message) {
    answer_bytes(respond, encode(message));
}

fn answer_bytes(mut respond: SendResponse<Bytes>, bytes: Bytes) {
    let response = Response::builder()
        .header("content-type", "application/grpc")
        .body(());
    let Ok(response) = response else { return };
    if let Ok(mut stream) = respond.send_response(response, false) {
        // Sending fails if the caller has reset the stream. The message is small enough for h2 to buffer it whole.
        let _ = stream.send_data(bytes, false);
        let _ = stream.send_trailers(status(0, ""));
    }
}

/// Responds with a status and no message.
fn respond_status(mut respond: SendResponse<Bytes>, trailers: HeaderMap) {
    let mut response = Response::new(());
    *response.headers_mut() = trailers;
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    let _ = respond.send_response(response, true);
}

/// A call that takes a slot: a prefill or a decode.
trait AttemptRequest: Sized + Send {
    const KIND: CallKind;
    fn header(&self) -> Option<&pb::Header>;
    fn rejection(engine: u64, reason: pb::TurnedAway) -> Bytes;
    fn run(
        self,
        engine: &Inner,
        key: AttemptKey,
        header: &pb::Header,
        faults: &AttemptFaults,
        out: &ResponseBody,
    ) -> impl std::future::Future<Output = Result<HeaderMap, Abort>> + Send;
}

impl AttemptRequest for pb::ReadRequest {
    const KIND: CallKind = CallKind::Prefill;
    fn header(&self) -> Option<&pb::Header> {
        self.header.as_ref()
    }
    fn rejection(engine: u64, reason: pb::TurnedAway) -> Bytes {
        encode(&pb::ReadReply {
            engine,
            load: None,
            result: Some(pb::read_reply::Result::TurnedAway(reason)),
        })
    }
    async fn run(
        self,
        engine: &Inner,
        key: AttemptKey,
        _: &pb::Header,
        faults: &AttemptFaults,
        out: &ResponseBody,
    ) -> Result<HeaderMap, Abort> {
        let _slot = engine.slots.acquire().await;
        let kept_tokens = engine.record_prompt(
            (self.opening, self.opening_tokens),
            self.session,
            self.prompt.len(),
        );
        let new = self.prompt.len() as f64 - f64::from(kept_tokens);
        engine.process(new * 1e6 / engine.spec.prefill_rate).await;
        engine.reserve(key, self.prompt.len() as u64, false);
        if faults.reset {
            return Err(Abort::Reset);
        }
        if faults.lose_response {
            return Err(Abort::NoResponse);
        }
        let done = pb::read_reply::Result::Done(pb::ReadDone { kept_tokens });
        let mut reply = pb::ReadReply {
            engine: engine.spec.id,
            load: Some(engine.load()),
            result: Some(done),
        };
        match faults.response_fault {
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

impl AttemptRequest for pb::WriteRequest {
    const KIND: CallKind = CallKind::Decode;
    fn header(&self) -> Option<&pb::Header> {
        self.header.as_ref()
    }
    fn rejection(engine: u64, reason: pb::TurnedAway) -> Bytes {
        encode(&pb::WriteEvent {
            engine,
            event: Some(pb::write_event::Event::TurnedAway(reason)),
        })
    }
    async fn run(
        self,
        engine: &Inner,
        key: AttemptKey,
        header: &pb::Header,
        faults: &AttemptFaults,
        out: &ResponseBody,
    ) -> Result<HeaderMap, Abort> {
        use pb::write_event::Event;
        let id = engine.spec.id;
        let encode_event = |event| {
            encode(&pb::WriteEvent {
                engine: id,
                event: Some(event),
            })
        };
        if let Some(state) = self.state.as_ref().and_then(|s| s.key) {
            let slot_key = AttemptKey {
                node: state.node,
                request: state.request,
                attempt: state.attempt,
            };
            engine.release_reservation(slot_key, true, RetentionEnd::Used);
        }
        let _slot = engine.slots.acquire().await;
        let mut kept_tokens = 0;
        if let Some(state) = &self.state {
            let Some(tokens) = engine.fetch_state(state).await else {
                out.send(Self::rejection(
                    id,
                    turned_away(pb::turned_away::Reason::StateLost),
                ))
                .await?;
                return Ok(status(0, ""));
            };
            engine
                .process(tokens as f64 * 1e6 / engine.spec.kv_fetch_rate)
                .await;
            engine.record_prompt(
                (self.opening, self.opening_tokens),
                self.session,
                self.prompt.len(),
            );
        } else {
            kept_tokens = engine.record_prompt(
                (self.opening, self.opening_tokens),
                self.session,
                self.prompt.len(),
            );
            let new = self.prompt.len() as f64 - f64::from(kept_tokens);
            // A decode engine reads the prompt between the decode steps of other requests, at half the prefill rate.
            engine
                .process(2.0 * new * 1e6 / engine.spec.prefill_rate)
                .await;
        }
        let repeat = !header.idempotency_key.is_empty() && {
            let (mut state, now) = (engine.lock(), engine.runtime.now());
            state
                .executed_keys
                .retain(|_, at| now.saturating_sub(*at) < 60_000_000);
            state
                .executed_keys
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
        if faults.lose_response {
            return Err(Abort::NoResponse);
        }
        if faults.reset {
            return Err(Abort::Reset);
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
            let span = engine.spec.token_interval as f64 * engine.faults().slowdown_factor();
            if span >= 1.0 {
                engine.runtime.sleep(span as Micros).await;
                engine.wait_while_hung().await;
            }
            match (faults.response_fault, index) {
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
                (Some(ResponseFault::OutOfOrder), 0) => out.send(encode_event(run(1, 1))).await?,
                (Some(ResponseFault::DuplicateToken), 1) => {
                    out.send(encode_event(run(0, 0))).await?
                }
                (Some(ResponseFault::StreamReset), 2) => return Err(Abort::Reset),
                (Some(ResponseFault::StreamStalled), 2) => return Err(Abort::NoResponse),
                (Some(ResponseFault::StatusExhausted), 0) => return Ok(status(8, "slow down")),
                (Some(ResponseFault::MissingFinalMessage), 2) => return Ok(status(0, "")),
                _ => {}
            }
            out.send(encode_event(run(index, index))).await?;
            engine.lock().tokens += 1;
        }
        let done = pb::WriteDone {
            tokens: length,
            kept_tokens,
            load: Some(engine.load()),
        };
        out.send(encode_event(Event::Done(done))).await?;
        if faults.response_fault == Some(ResponseFault::TokensAfterEnd) {
            out.send(encode_event(run(length, 0))).await?;
        }
        Ok(status(0, ""))
    }
}
