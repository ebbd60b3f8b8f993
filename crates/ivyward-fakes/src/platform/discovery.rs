//! Discovery's agent of one node: the list, told to whoever watches.

use crate::platform::exchange::read_request;
use crate::platform::observe::{Observation, ObservationLog};
use futures_lite::AsyncWriteExt;
use ivyward_runtime::{Conn, Micros, RuntimeExt, RuntimeRef};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const LOOK: Micros = 2_000;

/// An engine as the list names it.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its rack.
    pub cell: u16,
    /// `up` or `draining`.
    pub state: &'static str,
    /// Its weight.
    pub weight: f64,
    /// Its last start in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

#[derive(Serialize)]
struct Answer<'a> {
    version: u64,
    full: bool,
    servers: &'a [Entry],
}

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<Entry>,
    /// It does not answer.
    silent: bool,
    /// Watches of before fall silent or are reset at each new number.
    resets: u64,
}

enum Look {
    Answer,
    Reset,
    Wait,
}

/// The list of a platform. Clones are handles to the same one.
#[derive(Clone, Default)]
pub struct Discovery(Arc<Mutex<State>>);

impl Discovery {
    /// A list with these engines.
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
    /// Changes an entry.
    pub fn update_engine(&self, engine: usize, change: impl FnOnce(&mut Entry)) {
        let mut state = self.lock();
        state.version += 1;
        if let Some(entry) = state.entries.get_mut(engine) {
            change(entry);
        }
    }
    /// The list's text, as a node may have held it.
    pub fn list_json(&self) -> String {
        let state = self.lock();
        let answer = Answer {
            version: state.version,
            full: true,
            servers: &state.entries,
        };
        serde_json::to_string(&answer).unwrap_or_default()
    }
    /// Whether it answers.
    pub fn set_unresponsive(&self, silent: bool) {
        self.lock().silent = silent;
    }
    /// Resets all watches.
    pub fn reset_watches(&self) {
        self.lock().resets += 1;
    }

    /// Answers one node at a free port of loopback; its address.
    ///
    /// # Errors
    /// When it cannot listen.
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
                    runtime.sleep(LOOK).await;
                    continue;
                };
                let (discovery, of, log) = (discovery.clone(), runtime.clone(), log.clone());
                runtime.run(async move { discovery.answer(&of, conn, &log, node).await });
            }
        });
        Ok(address)
    }

    async fn answer(
        &self,
        runtime: &RuntimeRef,
        mut conn: Conn,
        log: &ObservationLog,
        node: usize,
    ) {
        let began = self.lock().resets;
        let mut bytes = Vec::new();
        while let Some((request, _)) = read_request(&mut conn, &mut bytes).await {
            let query = |name: &str| {
                let at = request.target.find(&format!("{name}="))? + name.len() + 1;
                request.target[at..].split('&').next()?.parse::<u64>().ok()
            };
            let from = query("from");
            let until = runtime.now() + query("hold_ms").unwrap_or(0) * 1_000;
            loop {
                match self.look(from, runtime.now() >= until, began) {
                    Look::Answer => break,
                    Look::Reset => return conn.reset_on_close(),
                    Look::Wait => runtime.sleep(LOOK).await,
                }
            }
            let (text, draining) = self.news(from);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            for engine in draining {
                log.add(runtime.now(), Observation::DrainNotified { node, engine });
            }
        }
    }

    /// What a call that waits for news comes to now.
    fn look(&self, from: Option<u64>, waited: bool, resets: u64) -> Look {
        let state = self.lock();
        if state.resets != resets {
            return Look::Reset;
        }
        let news = from.is_none_or(|from| from < state.version);
        match (news || waited) && !state.silent {
            true => Look::Answer,
            false => Look::Wait,
        }
    }

    /// The answer to a call, and which engines drain by it.
    fn news(&self, from: Option<u64>) -> (String, Vec<usize>) {
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
        let answer = Answer {
            version: state.version,
            full: true,
            servers: &state.entries,
        };
        let drain = |(i, entry): (usize, &Entry)| (entry.state == "draining").then_some(i);
        let draining = state.entries.iter().enumerate().filter_map(drain).collect();
        (serde_json::to_string(&answer).unwrap_or_default(), draining)
    }
}
