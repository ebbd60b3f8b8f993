//! A fake discovery service: serves the list of engines to nodes that long-poll it.

use crate::platform::exchange::read_request;
use crate::platform::observe::{Observation, ObservationLog};
use futures_lite::AsyncWriteExt;
use ivyward_runtime::{Conn, Micros, RuntimeExt, RuntimeRef};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How often a waiting long poll checks for a change, and how long accepting pauses after an error.
const POLL_INTERVAL: Micros = 2_000;

/// One engine in the list.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Engine id.
    pub id: String,
    /// Address as `IP:PORT`.
    #[serde(rename = "addr")]
    pub address: String,
    /// Zone name.
    pub zone: String,
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Rack number.
    #[serde(rename = "cell")]
    pub rack: u16,
    /// `up` or `draining`.
    pub state: &'static str,
    /// Routing weight, over 0.
    pub weight: f64,
    /// Time of the last start in Unix milliseconds; 0 if the engine started long ago.
    pub started_ms: u64,
}

#[derive(Serialize)]
struct ListResponse<'a> {
    version: u64,
    full: bool,
    servers: &'a [Entry],
}

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<Entry>,
    /// Whether calls are left unanswered.
    silent: bool,
    /// Incremented to reset the watches that are open.
    resets: u64,
}

enum PollState {
    Answer,
    Reset,
    Wait,
}

/// The list of a platform's engines. Clones share one list.
#[derive(Clone, Default)]
pub struct Discovery(Arc<Mutex<State>>);

impl Discovery {
    /// Creates a list with version 1.
    pub fn new(entries: Vec<Entry>) -> Discovery {
        Discovery(Arc::new(Mutex::new(State {
            version: 1,
            entries,
            ..State::default()
        })))
    }
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Changes the entry at index `engine` and increments the version.
    pub fn update_engine(&self, engine: usize, change: impl FnOnce(&mut Entry)) {
        let mut state = self.lock();
        state.version += 1;
        if let Some(entry) = state.entries.get_mut(engine) {
            change(entry);
        }
    }
    /// Returns the full list as JSON, as a node may have stored it.
    pub fn list_json(&self) -> String {
        let state = self.lock();
        let list = ListResponse {
            version: state.version,
            full: true,
            servers: &state.entries,
        };
        serde_json::to_string(&list).unwrap_or_default()
    }
    /// Sets whether calls are left unanswered.
    pub fn set_unresponsive(&self, silent: bool) {
        self.lock().silent = silent;
    }
    /// Resets all open watches.
    pub fn reset_watches(&self) {
        self.lock().resets += 1;
    }

    /// Serves the list to one node on a free port of 127.0.0.1. Returns the address.
    ///
    /// # Errors
    /// Returns the operating system's error if no port can be bound.
    pub fn serve(
        &self,
        runtime: &RuntimeRef,
        log: &ObservationLog,
        node: usize,
    ) -> std::io::Result<SocketAddr> {
        let mut listener = runtime.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.address();
        let (discovery, runtime, log) = (self.clone(), runtime.clone(), log.clone());
        let accepting = runtime.clone();
        accepting.run(async move {
            loop {
                let Ok((conn, _)) = listener.accept().await else {
                    runtime.sleep(POLL_INTERVAL).await;
                    continue;
                };
                let (discovery, of, log) = (discovery.clone(), runtime.clone(), log.clone());
                runtime.run(async move { discovery.serve_connection(&of, conn, &log, node).await });
            }
        });
        Ok(address)
    }

    async fn serve_connection(
        &self,
        runtime: &RuntimeRef,
        mut conn: Conn,
        log: &ObservationLog,
        node: usize,
    ) {
        let resets_at_start = self.lock().resets;
        let mut bytes = Vec::new();
        while let Some((request, _)) = read_request(&mut conn, &mut bytes).await {
            let query = |name: &str| {
                let at = request.target.find(&format!("{name}="))? + name.len() + 1;
                request.target[at..].split('&').next()?.parse::<u64>().ok()
            };
            let from = query("from");
            let until = runtime.now() + query("hold_ms").unwrap_or(0) * 1_000;
            loop {
                match self.poll_state(from, runtime.now() >= until, resets_at_start) {
                    PollState::Answer => break,
                    PollState::Reset => return conn.reset_on_close(),
                    PollState::Wait => runtime.sleep(POLL_INTERVAL).await,
                }
            }
            let (text, draining) = self.response(from);
            let message = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.write_all(message.as_bytes()).await.is_err() {
                return;
            }
            for engine in draining {
                log.add(runtime.now(), Observation::DrainNotified { node, engine });
            }
        }
    }

    /// Returns whether a long poll that waits for a version after `from` is answered now, is reset or waits on.
    fn poll_state(&self, from: Option<u64>, waited: bool, resets: u64) -> PollState {
        let state = self.lock();
        if state.resets != resets {
            return PollState::Reset;
        }
        let changed = from.is_none_or(|from| from < state.version);
        match (changed || waited) && !state.silent {
            true => PollState::Answer,
            false => PollState::Wait,
        }
    }

    /// Returns the response body of a call, and the engines that the body lists as draining.
    fn response(&self, from: Option<u64>) -> (String, Vec<usize>) {
        let state = self.lock();
        if from == Some(state.version) {
            return (
                format!(
                    r#"{{"version":{},"full":false,"servers":[]}}"#,
                    state.version
                ),
                Vec::new(),
            );
        }
        let list = ListResponse {
            version: state.version,
            full: true,
            servers: &state.entries,
        };
        let drain = |(i, entry): (usize, &Entry)| (entry.state == "draining").then_some(i);
        let draining = state.entries.iter().enumerate().filter_map(drain).collect();
        (serde_json::to_string(&list).unwrap_or_default(), draining)
    }
}
