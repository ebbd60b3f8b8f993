//! A fake engine for prefill or decode, with faults that can be injected into its process.

use crate::platform::exchange::read_request;
use crate::platform::observe::{Observation, ObservationLog};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_http1::RequestHead;
use ivyward_runtime::{Conn, Micros, RuntimeExt, RuntimeRef};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How often connections check for a crash, so that it affects all of an engine's connections almost at once. Processing
/// checks for a hang at least every 20 intervals.
const FAULT_POLL_INTERVAL: Micros = 2_000;
/// Delay of the response to a reservation for a request that has no prefill in progress.
const UNKNOWN_RESERVATION_DELAY: Micros = 300_000;
/// Number of content events in a response stream.
const EVENTS: usize = 4;

/// Faults of an engine's process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFaults {
    /// The process does not run: new connections are refused and open ones are reset.
    pub down: bool,
    /// The process stands still. The system accepts its connections and their bytes; the process reads them when it continues.
    pub hung: bool,
    /// New requests are rejected with status 503.
    pub rejects_requests: bool,
    /// Factor by which all processing takes longer; 1 for normal speed.
    pub slowdown: f64,
    /// Percentage of response streams that break in the middle.
    pub broken_stream_percent: u64,
}

struct State {
    faults: EngineFaults,
    /// Number of crashes so far. A crash ends all connections that were accepted before it.
    run: u64,
}

/// The KV state of a request.
#[derive(Clone, Copy)]
struct KvState {
    /// Index of the engine that stores it.
    engine: usize,
    /// Whether a decode attempt waits for it. A release has no effect on such a state.
    is_awaited: bool,
}

/// What the engines of a platform store and reserve, and what they are working on.
#[derive(Default)]
struct PlatformState {
    /// The idempotency keys seen by decode engines.
    keys: BTreeSet<String>,
    /// The KV state of each request.
    kv_states: BTreeMap<String, KvState>,
    /// The requests for which a decode engine reserves a slot, with the index of the engine.
    slots: BTreeMap<String, usize>,
    /// The requests whose prefill is in progress.
    prefills: BTreeSet<String>,
}

/// State shared by all engines of one platform.
#[derive(Default)]
pub struct Platform {
    attempts: AtomicU64,
    state: Mutex<PlatformState>,
}

impl Platform {
    /// Releases what is reserved for a request, unless a decode attempt waits for its KV state. Returns whether nothing is
    /// reserved any more.
    fn release(&self, id: &str) -> bool {
        let mut state = lock(&self.state);
        if state.kv_states.get(id).is_some_and(|kv| kv.is_awaited) {
            return false;
        }
        state.kv_states.remove(id);
        state.slots.remove(id);
        true
    }

    /// Removes what was reserved for a request because a decode attempt uses it. Returns whether there was anything.
    fn use_up(&self, id: &str) -> bool {
        let mut state = lock(&self.state);
        let had_slot = state.slots.remove(id).is_some();
        state.kv_states.remove(id).is_some() || had_slot
    }

    /// Sets whether a decode attempt waits for the KV state of a request. Returns whether there is such a state.
    fn set_awaited(&self, id: &str, is_awaited: bool) -> bool {
        let mut state = lock(&self.state);
        let kv_state = state.kv_states.get_mut(id);
        kv_state.map(|kv| kv.is_awaited = is_awaited).is_some()
    }

    /// Reserves a decode slot at an engine if a prefill of the request is in progress. Returns whether it did.
    fn reserve_slot(&self, id: &str, engine: usize) -> bool {
        let mut state = lock(&self.state);
        let prefills = state.prefills.contains(id);
        if prefills {
            state.slots.insert(id.into(), engine);
        }
        prefills
    }

    /// Removes everything that an engine stored or reserved.
    fn engine_ended(&self, engine: usize) {
        let mut state = lock(&self.state);
        state.kv_states.retain(|_, kv| kv.engine != engine);
        state.slots.retain(|_, at| *at != engine);
    }
}

/// One engine. Clones share one state.
#[derive(Clone)]
pub struct PlatformEngine {
    runtime: RuntimeRef,
    log: ObservationLog,
    index: usize,
    is_prefill: bool,
    platform: Arc<Platform>,
    state: Arc<Mutex<State>>,
    /// Duration of a prefill, or of a decode up to the first event, at normal speed.
    service_time: Micros,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformEngine {
    /// Starts an engine on a free port of 127.0.0.1. Returns the engine and its address. The tuple holds the engine's index,
    /// whether it runs prefill, and the duration of a prefill or of a decode up to the first event.
    ///
    /// # Errors
    /// Returns the operating system's error if no port can be bound.
    pub fn start(
        runtime: &RuntimeRef,
        log: &ObservationLog,
        platform: &Arc<Platform>,
        (index, is_prefill, service_time): (usize, bool, Micros),
    ) -> std::io::Result<(PlatformEngine, SocketAddr)> {
        let listener = runtime.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.address();
        let faults = EngineFaults {
            slowdown: 1.0,
            ..EngineFaults::default()
        };
        let state = State { faults, run: 0 };
        let engine = PlatformEngine {
            runtime: runtime.clone(),
            log: log.clone(),
            index,
            is_prefill,
            platform: platform.clone(),
            state: Arc::new(Mutex::new(state)),
            service_time,
        };
        let (accepting, mut listener) = (engine.clone(), listener);
        runtime.run(async move {
            loop {
                match listener.accept().await {
                    Ok((conn, _)) => accepting.admit(conn),
                    Err(_) => accepting.runtime.sleep(FAULT_POLL_INTERVAL).await,
                }
            }
        });
        Ok((engine, address))
    }

    /// Whether the engine runs prefill; otherwise it runs decode.
    pub fn is_prefill(&self) -> bool {
        self.is_prefill
    }

    /// Changes the engine's faults. A process that goes down loses the KV states that it reserved.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = lock(&self.state);
        let was_down = state.faults.down;
        change(&mut state.faults);
        if state.faults.down && !was_down {
            state.run += 1;
            drop(state);
            self.platform.engine_ended(self.index);
            self.log.add(
                self.runtime.now(),
                Observation::EngineEnded { engine: self.index },
            );
        }
    }

    fn faults(&self) -> EngineFaults {
        lock(&self.state).faults
    }

    fn admit(&self, mut conn: Conn) {
        if self.faults().down {
            conn.reset_on_close();
            return;
        }
        let engine = self.clone();
        let run = lock(&self.state).run;
        self.runtime.run(async move {
            let crashed = async {
                while lock(&engine.state).run == run {
                    engine.runtime.sleep(FAULT_POLL_INTERVAL).await;
                }
                true
            };
            let served = async {
                engine.serve(&mut conn).await;
                false
            };
            if or(served, crashed).await {
                conn.reset_on_close();
            }
            drop(conn);
        });
    }

    /// Waits for processing that takes `duration` at normal speed. Does not return while the process hangs.
    async fn process(&self, duration: Micros) {
        let until = self.runtime.now() + (duration as f64 * self.faults().slowdown) as Micros;
        while self.runtime.now() < until || self.faults().hung {
            let left = until
                .saturating_sub(self.runtime.now())
                .max(FAULT_POLL_INTERVAL);
            self.runtime.sleep(left.min(20 * FAULT_POLL_INTERVAL)).await;
        }
    }

    async fn serve(&self, conn: &mut Conn) {
        let mut bytes = Vec::new();
        while let Some((request, _)) = read_request(conn, &mut bytes).await {
            let received = self.runtime.now();
            // A connection that ended while the process stood still takes its unread bytes with it.
            if while_open(conn, self.wait_while_hung()).await.is_none() {
                return;
            }
            let reservation = request.target.strip_prefix("/v1/holds/").map(str::to_owned);
            let keep_open = match (request.method.as_str(), reservation) {
                ("DELETE", Some(id)) => self.release(conn, &id).await,
                ("POST", Some(id)) => self.reserve(conn, &id).await,
                ("POST", None) => self.attempt(conn, &request, received).await,
                _ => {
                    self.process(0).await;
                    write_text(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").await
                }
            };
            if !keep_open {
                return;
            }
        }
    }

    async fn wait_while_hung(&self) {
        while self.faults().hung {
            self.runtime.sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    async fn release(&self, conn: &mut Conn, id: &str) -> bool {
        if self.platform.release(id) {
            self.log.add(
                self.runtime.now(),
                Observation::StateReleased { id: id.into() },
            );
        }
        self.process(0).await;
        write_text(conn, "HTTP/1.1 204 No Content\r\n\r\n").await
    }

    async fn reserve(&self, conn: &mut Conn, id: &str) -> bool {
        if self.platform.reserve_slot(id, self.index) {
            self.log.add(
                self.runtime.now(),
                Observation::StateReserved { id: id.into() },
            );
            self.process(0).await;
            return write_text(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        }
        self.process(UNKNOWN_RESERVATION_DELAY).await;
        write_text(conn, "HTTP/1.1 204 No Content\r\n\r\n").await
    }

    async fn attempt(&self, conn: &mut Conn, request: &RequestHead, received: Micros) -> bool {
        let text = |name: &str| request.headers.text(name).unwrap_or("").to_owned();
        let (id, key) = (text("x-request-id"), text("idempotency-key"));
        let timeout = text("x-timeout-ms").parse::<u64>().unwrap_or(0) * 1_000;
        let attempt = self.platform.attempts.fetch_add(1, Ordering::SeqCst);
        let rejected = self.faults().rejects_requests;
        let awaited = match rejected || self.is_prefill {
            true => None,
            false => AwaitedState::new(&self.platform, &id),
        };
        let lacks_state = !rejected && !self.is_prefill && awaited.is_none();
        let runs = !rejected && !lacks_state;
        let is_repeat = runs
            && !self.is_prefill
            && !key.is_empty()
            && !lock(&self.platform.state).keys.insert(key);
        let dropped = is_repeat || !runs;
        let arrived = Observation::AttemptArrived {
            id: id.clone(),
            engine: self.index,
            attempt,
            is_prefill: self.is_prefill,
            received,
            timeout,
            dropped,
        };
        self.log.add(self.runtime.now(), arrived);
        let _guard = AttemptGuard {
            engine: self,
            attempt,
        };
        if rejected {
            return write_text(
                conn,
                "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            )
            .await;
        }
        if lacks_state {
            let gone = "HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            return write_text(conn, gone).await;
        }
        let run = async {
            match self.is_prefill {
                true => self.run_prefill(&id).await,
                false => true,
            }
        };
        // The node cancels an attempt by closing its connection.
        if !matches!(while_open(conn, run).await, Some(true)) {
            return false;
        }
        match self.is_prefill {
            true => {
                let answer =
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}";
                write_text(conn, answer).await
            }
            false => self.run_decode(conn, &id).await,
        }
    }

    async fn run_prefill(&self, id: &str) -> bool {
        let _running = RunningPrefill::new(&self.platform, id);
        self.process(self.service_time).await;
        let kv_state = KvState {
            engine: self.index,
            is_awaited: false,
        };
        lock(&self.platform.state)
            .kv_states
            .insert(id.into(), kv_state);
        self.log.add(
            self.runtime.now(),
            Observation::StateReserved { id: id.into() },
        );
        true
    }

    async fn run_decode(&self, conn: &mut Conn, id: &str) -> bool {
        let first_token = self.process(self.service_time);
        if while_open(conn, first_token).await.is_none() {
            return false;
        }
        if self.platform.use_up(id) {
            self.log.add(
                self.runtime.now(),
                Observation::StateReleased { id: id.into() },
            );
        }
        let breaks = self.runtime.random() % 100 < self.faults().broken_stream_percent;
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if !write_text(conn, head).await {
            return false;
        }
        for n in 0..EVENTS {
            let stop = if n + 1 == EVENTS { "\"stop\"" } else { "null" };
            let event =
                format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"a{n}\"}},\"finish_reason\":{stop}}}]}}\n\n");
            let written = write_text(conn, &chunk(&event)).await;
            if written && breaks && n == 1 {
                self.log.add(
                    self.runtime.now(),
                    Observation::StreamBroken { id: id.into() },
                );
            }
            if !written || (breaks && n == 1) {
                return false;
            }
            self.process(self.service_time / 4).await;
        }
        let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
        write_text(
            conn,
            &format!("{}{}0\r\n\r\n", chunk(usage), chunk("data: [DONE]\n\n")),
        )
        .await
    }
}

/// Counts a request's prefill as in progress until it is dropped.
struct RunningPrefill<'a> {
    platform: &'a Platform,
    id: &'a str,
}

impl<'a> RunningPrefill<'a> {
    fn new(platform: &'a Platform, id: &'a str) -> RunningPrefill<'a> {
        lock(&platform.state).prefills.insert(id.into());
        RunningPrefill { platform, id }
    }
}

impl Drop for RunningPrefill<'_> {
    fn drop(&mut self) {
        lock(&self.platform.state).prefills.remove(self.id);
    }
}

/// Marks a request's KV state as awaited by a decode attempt until it is dropped, at the end of the attempt or when the
/// engine's process ends.
struct AwaitedState<'a> {
    platform: &'a Platform,
    id: &'a str,
}

impl<'a> AwaitedState<'a> {
    /// Returns `None` if the request has no KV state.
    fn new(platform: &'a Platform, id: &'a str) -> Option<AwaitedState<'a>> {
        platform
            .set_awaited(id, true)
            .then_some(AwaitedState { platform, id })
    }
}

impl Drop for AwaitedState<'_> {
    fn drop(&mut self) {
        self.platform.set_awaited(self.id, false);
    }
}

/// Logs the end of an attempt when dropped.
struct AttemptGuard<'a> {
    engine: &'a PlatformEngine,
    attempt: u64,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.engine.log.add(
            self.engine.runtime.now(),
            Observation::AttemptEnded {
                attempt: self.attempt,
            },
        );
    }
}

/// Runs `work` until it completes, or returns `None` once the peer closes its sending side.
async fn while_open<T>(conn: &mut Conn, work: impl std::future::Future<Output = T>) -> Option<T> {
    or(async { Some(work.await) }, async {
        // A client sends no bytes after a request until it is answered, so a read returns only at the end of the stream.
        let _ = conn.read(&mut [0]).await;
        None
    })
    .await
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn write_text(conn: &mut Conn, text: &str) -> bool {
    conn.write_all(text.as_bytes()).await.is_ok()
}
