//! An engine that reads prompts or writes answers, and whose process can be troubled.

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

/// A trouble that begins or ends at once for all of an engine's connections.
const LOOK: Micros = 2_000;
/// A hold whose read is not known is answered after this span.
const UNKNOWN_HOLD: Micros = 300_000;
const EVENTS: usize = 4;

/// What is wrong with an engine's process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Troubles {
    /// It does not run: connections are refused and those that stood are reset.
    pub down: bool,
    /// It takes requests and does nothing.
    pub hangs: bool,
    /// It turns new requests away.
    pub turns_away: bool,
    /// Everything takes so many times as long.
    pub slower: f64,
    /// So many of 100 streams end in the middle.
    pub breaks_percent: u64,
}

struct State {
    troubles: Troubles,
    /// A crash ends all connections of the runs before it.
    run: u64,
}

/// Attempts and keys of all engines of one platform.
#[derive(Default)]
pub struct Platform {
    attempts: AtomicU64,
    keys: Mutex<BTreeSet<String>>,
    held: Mutex<BTreeMap<String, usize>>,
}

/// One engine. Clones are handles to the same one.
#[derive(Clone)]
pub struct PlatformEngine {
    runtime: RuntimeRef,
    log: ObservationLog,
    index: usize,
    reads: bool,
    platform: Arc<Platform>,
    state: Arc<Mutex<State>>,
    /// How long a read, or the way to the first event, takes.
    work: Micros,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformEngine {
    /// Starts one at a free port of loopback; its address.
    ///
    /// # Errors
    /// When it cannot listen.
    pub fn start(
        runtime: &RuntimeRef,
        log: &ObservationLog,
        platform: &Arc<Platform>,
        (index, reads, work): (usize, bool, Micros),
    ) -> std::io::Result<(PlatformEngine, SocketAddr)> {
        let listener = runtime.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.address();
        let troubles = Troubles {
            slower: 1.0,
            ..Troubles::default()
        };
        let state = State { troubles, run: 0 };
        let engine = PlatformEngine {
            runtime: runtime.clone(),
            log: log.clone(),
            index,
            reads,
            platform: platform.clone(),
            state: Arc::new(Mutex::new(state)),
            work,
        };
        let (accepting, mut listener) = (engine.clone(), listener);
        runtime.run(async move {
            loop {
                match listener.accept().await {
                    Ok((conn, _)) => accepting.admit(conn),
                    Err(_) => accepting.runtime.sleep(LOOK).await,
                }
            }
        });
        Ok((engine, address))
    }

    /// Whether it reads prompts.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// What is wrong with it from now on. A process that goes down loses what it held.
    pub fn set(&self, change: impl FnOnce(&mut Troubles)) {
        let mut state = lock(&self.state);
        let was_down = state.troubles.down;
        change(&mut state.troubles);
        if state.troubles.down && !was_down {
            state.run += 1;
            lock(&self.platform.held).retain(|_, at| *at != self.index);
            drop(state);
            self.log.add(
                self.runtime.now(),
                Observation::EngineEnded { engine: self.index },
            );
        }
    }

    fn troubles(&self) -> Troubles {
        lock(&self.state).troubles
    }

    fn admit(&self, mut conn: Conn) {
        if self.troubles().down {
            conn.reset_on_close();
            return;
        }
        let engine = self.clone();
        let run = lock(&self.state).run;
        self.runtime.run(async move {
            let crashed = async {
                while lock(&engine.state).run == run {
                    engine.runtime.sleep(LOOK).await;
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

    /// Waits for a span of its own work, which stands still while the process hangs.
    async fn work(&self, span: Micros) {
        let until = self.runtime.now() + (span as f64 * self.troubles().slower) as Micros;
        while self.runtime.now() < until || self.troubles().hangs {
            let left = until.saturating_sub(self.runtime.now()).max(LOOK);
            self.runtime.sleep(left.min(20 * LOOK)).await;
        }
    }

    async fn serve(&self, conn: &mut Conn) {
        let mut bytes = Vec::new();
        while let Some((request, _)) = read_request(conn, &mut bytes).await {
            let hold = request.target.strip_prefix("/v1/holds/").map(str::to_owned);
            let goes_on = match (request.method.as_str(), hold) {
                ("DELETE", Some(id)) => self.release(conn, &id).await,
                ("POST", Some(id)) => self.hold(conn, &id).await,
                ("POST", None) => self.attempt(conn, &request).await,
                _ => {
                    self.work(0).await;
                    say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").await
                }
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn release(&self, conn: &mut Conn, id: &str) -> bool {
        // A release counts when it came.
        if !self.troubles().hangs {
            lock(&self.platform.held).remove(id);
            self.log
                .add(self.runtime.now(), Observation::Freed { id: id.into() });
        }
        self.work(0).await;
        lock(&self.platform.held).remove(id);
        self.log
            .add(self.runtime.now(), Observation::Freed { id: id.into() });
        say(conn, "HTTP/1.1 204 No Content\r\n\r\n").await
    }

    async fn hold(&self, conn: &mut Conn, id: &str) -> bool {
        self.work(0).await;
        if lock(&self.platform.held).contains_key(id) {
            return say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        }
        self.runtime.sleep(UNKNOWN_HOLD).await;
        say(conn, "HTTP/1.1 204 No Content\r\n\r\n").await
    }

    async fn attempt(&self, conn: &mut Conn, request: &RequestHead) -> bool {
        let text = |name: &str| request.headers.text(name).unwrap_or("").to_owned();
        let (id, key) = (text("x-request-id"), text("idempotency-key"));
        let timeout = text("x-timeout-ms").parse::<u64>().unwrap_or(0) * 1_000;
        let attempt = self.platform.attempts.fetch_add(1, Ordering::SeqCst);
        let repeats = !self.reads && !key.is_empty() && !lock(&self.platform.keys).insert(key);
        let turned_away = self.troubles().turns_away;
        let dropped = repeats || turned_away;
        let arrived = Observation::Arrived {
            id: id.clone(),
            engine: self.index,
            attempt,
            reads: self.reads,
            timeout,
            dropped,
        };
        self.log.add(self.runtime.now(), arrived);
        let _over = Over {
            engine: self,
            attempt,
        };
        if turned_away {
            return say(
                conn,
                "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            )
            .await;
        }
        let run = async {
            match self.reads {
                true => self.read(&id).await,
                false => true,
            }
        };
        // The node gives an attempt up by closing its connection.
        if !matches!(while_open(conn, run).await, Some(true)) {
            return false;
        }
        match self.reads {
            true => {
                let answer =
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}";
                say(conn, answer).await
            }
            false => self.stream(conn, &id).await,
        }
    }

    async fn read(&self, id: &str) -> bool {
        self.work(self.work).await;
        lock(&self.platform.held).insert(id.into(), self.index);
        self.log
            .add(self.runtime.now(), Observation::Holds { id: id.into() });
        true
    }

    async fn stream(&self, conn: &mut Conn, id: &str) -> bool {
        let first = async {
            self.work(self.work).await;
            true
        };
        if while_open(conn, first).await.is_none() {
            return false;
        }
        if lock(&self.platform.held).remove(id).is_some() {
            self.log
                .add(self.runtime.now(), Observation::Freed { id: id.into() });
        }
        let breaks = self.runtime.random() % 100 < self.troubles().breaks_percent;
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if !say(conn, head).await {
            return false;
        }
        for n in 0..EVENTS {
            let stop = if n + 1 == EVENTS { "\"stop\"" } else { "null" };
            let event =
                format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"a{n}\"}},\"finish_reason\":{stop}}}]}}\n\n");
            let said = say(conn, &chunk(&event)).await;
            if said && breaks && n == 1 {
                self.log.add(
                    self.runtime.now(),
                    Observation::StreamBroke { id: id.into() },
                );
            }
            if !said || (breaks && n == 1) {
                return false;
            }
            self.work(self.work / 4).await;
        }
        let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
        say(
            conn,
            &format!("{}{}0\r\n\r\n", chunk(usage), chunk("data: [DONE]\n\n")),
        )
        .await
    }
}

/// An attempt that is over at its engine when this is dropped.
struct Over<'a> {
    engine: &'a PlatformEngine,
    attempt: u64,
}

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.engine.log.add(
            self.engine.runtime.now(),
            Observation::Ended {
                attempt: self.attempt,
            },
        );
    }
}

/// Goes on while the other side keeps its sending open.
async fn while_open<T>(conn: &mut Conn, work: impl std::future::Future<Output = T>) -> Option<T> {
    or(async { Some(work.await) }, async {
        // Nothing but the end may come behind a request that is not answered.
        let _ = conn.read(&mut [0]).await;
        None
    })
    .await
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn say(conn: &mut Conn, text: &str) -> bool {
    conn.write_all(text.as_bytes()).await.is_ok()
}
