//! Fake engines and a store for trying out a daemon: on addresses of the operator's choice, with faults injected by commands
//! on standard input, and single requests.

use crate::local_cluster::{machine_type, ROLES};
use crate::registration;
use futures_lite::future::or;
use ivyward::registration::State;
use ivyward_fakes::client::{deadline, final_metadata, GENERATE};
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::{Engine, EngineSpec, EventLog, Host};
use ivyward_grpc::{encode, Cause, Channel, Options};
use ivyward_proto::front::{GenerateRequest, Tokens};
use ivyward_runtime::{Runtime, RuntimeRef, SmolRuntime};
use std::io::{BufRead, Write};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

/// An error of a manual cluster. Its message names the flag or the command that caused it.
#[derive(Debug, thiserror::Error)]
pub enum ManualClusterError {
    /// An address cannot be bound.
    #[error("--listen {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        error: std::io::Error,
    },
    /// A line on standard input is not a command.
    #[error("{line:?}: {reason}; one of: drain, ready, hang, go, slow N, ill SHARE, lose SHARE, full SHARE, die, up, show")]
    Command {
        /// The text of the line.
        line: String,
        /// Why the line is not a command.
        reason: String,
    },
    /// The node cannot be reached, or the call failed.
    #[error("{0}")]
    Request(String),
}

/// A command for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineCommand {
    /// Rejects new work, or accepts it again.
    Drain(bool),
    /// Hangs, or resumes.
    Hang(bool),
    /// Works more slowly by this factor, from 0 to 1000.
    Slow(f64),
    /// Resets calls, loses answers and rejects calls as full, each with this probability.
    FailCalls(f64),
    /// Loses answers with this probability.
    LoseAnswers(f64),
    /// Rejects calls as full with this probability.
    RejectAsFull(f64),
    /// Crashes: all connections are reset and all KV states are lost.
    Crash,
    /// Restarts with an empty cache.
    Restart,
    /// Reports the engine's state without a change.
    Show,
}

/// Parses a command.
///
/// # Errors
/// [`ManualClusterError::Command`] if the line is not a command. The message lists all commands.
pub fn parse_command(line: &str) -> Result<EngineCommand, ManualClusterError> {
    let bad = |reason: &str| ManualClusterError::Command {
        line: line.trim().into(),
        reason: reason.into(),
    };
    let fields: Vec<&str> = line.split_whitespace().collect();
    let number = |max: f64| {
        let text = fields.get(1).ok_or_else(|| bad("a number is missing"))?;
        let value: f64 = text.parse().map_err(|_| bad("not a number"))?;
        match (0.0..=max).contains(&value) {
            true => Ok(value),
            false => Err(bad(&format!("must be from 0 to {max}"))),
        }
    };
    let command = match fields.first().copied() {
        Some("drain") => EngineCommand::Drain(true),
        Some("ready") => EngineCommand::Drain(false),
        Some("hang") => EngineCommand::Hang(true),
        Some("go") => EngineCommand::Hang(false),
        Some("slow") => EngineCommand::Slow(number(1_000.0)?),
        Some("ill") => EngineCommand::FailCalls(number(1.0)?),
        Some("lose") => EngineCommand::LoseAnswers(number(1.0)?),
        Some("full") => EngineCommand::RejectAsFull(number(1.0)?),
        Some("die") => EngineCommand::Crash,
        Some("up") => EngineCommand::Restart,
        Some("show") => EngineCommand::Show,
        Some(_) => return Err(bad("not known")),
        None => return Err(bad("empty")),
    };
    let expected_fields = if matches!(
        command,
        EngineCommand::Slow(_)
            | EngineCommand::FailCalls(_)
            | EngineCommand::LoseAnswers(_)
            | EngineCommand::RejectAsFull(_)
    ) {
        2
    } else {
        1
    };
    match fields.len() == expected_fields {
        true => Ok(command),
        false => Err(bad("too many words")),
    }
}

/// Applies a command to an engine, and returns a line with the engine's state.
pub fn apply_command(engine: &mut Engine, command: EngineCommand) -> String {
    let id = engine.spec().id;
    match command {
        EngineCommand::Drain(on) => engine.set_draining(on),
        EngineCommand::Hang(on) => engine.fault(|f| f.hang = on),
        EngineCommand::Slow(by) => engine.fault(|f| f.slowdown = by),
        EngineCommand::FailCalls(share) => {
            engine.fault(|f| (f.reset, f.lose_answer, f.reject) = (share, share, share))
        }
        EngineCommand::LoseAnswers(share) => engine.fault(|f| f.lose_answer = share),
        EngineCommand::RejectAsFull(share) => engine.fault(|f| f.reject = share),
        EngineCommand::Crash => engine.crash(),
        EngineCommand::Restart => {
            if let Err(e) = engine.restart(true) {
                return format!(
                    "engine {id} cannot be restarted at {}: {e}",
                    engine.address()
                );
            }
        }
        EngineCommand::Show => {}
    }
    let state = if engine.is_running() { "up" } else { "down" };
    format!(
        "engine {id} is {state} and keeps {} states and places",
        engine.retained_count()
    )
}

/// Running engines with an optional store. They end on drop.
pub struct Fleet {
    engines: Vec<Mutex<Engine>>,
    store: Option<Store>,
    /// The runtime of the event log's clock.
    runtime: Arc<SmolRuntime>,
}

/// Returns the specifications of `count` racks, each of one prefill, one mixed and two decode engines, with the speed of
/// small models: 20,000 prompt tokens and 50 answer tokens per second.
pub fn rack_specs(count: u16) -> Vec<EngineSpec> {
    let specs = crate::local_cluster::fleet(count).into_iter();
    specs
        .map(|spec| EngineSpec {
            prefill_rate: 20_000.0,
            kv_fetch_rate: 200_000.0,
            token_interval: 20_000,
            ..spec
        })
        .collect()
}

impl Fleet {
    /// Starts engines on consecutive ports from `port`, or on free ports if `port` is 0, and a store with their records if its
    /// address is given.
    ///
    /// # Errors
    /// [`ManualClusterError::Listen`] if an address cannot be bound.
    pub fn start(
        specs: Vec<EngineSpec>,
        ip: IpAddr,
        port: u16,
        store: Option<SocketAddr>,
    ) -> Result<Fleet, ManualClusterError> {
        let runtime = SmolRuntime::start(1, 1);
        let as_ref: RuntimeRef = runtime.clone();
        let (log, host): (_, Arc<dyn Host>) = (EventLog::new(&as_ref), Arc::new(ThreadPerProcess));
        let mut engines = Vec::new();
        for (i, spec) in specs.into_iter().enumerate() {
            let port = if port == 0 {
                0
            } else {
                port.saturating_add(i as u16)
            };
            let address = SocketAddr::new(ip, port);
            let engine = Engine::start_at(&host, &log, spec, address);
            engines.push(Mutex::new(
                engine.map_err(|error| ManualClusterError::Listen { address, error })?,
            ));
        }
        let mut fleet = Fleet {
            engines,
            store: None,
            runtime,
        };
        if let Some(address) = store {
            let store = Store::start_at(&host, 1, address)
                .map_err(|error| ManualClusterError::Listen { address, error })?;
            for engine in &fleet.engines {
                let engine = engine.lock().unwrap_or_else(PoisonError::into_inner);
                let (key, record) = registration::record(&engine, State::Ready, 0);
                store.put(&key, &record);
            }
            fleet.store = Some(store);
        }
        Ok(fleet)
    }

    /// Returns the daemon's flags for these engines, one flag in each line.
    pub fn flags(&self) -> Vec<String> {
        if let Some(store) = &self.store {
            return vec![format!("--etcd-endpoint={}", store.address())];
        }
        let engines = self
            .engines
            .iter()
            .map(|e| e.lock().unwrap_or_else(PoisonError::into_inner));
        engines
            .map(|e| {
                let spec = e.spec();
                let (id, address, cell) = (spec.id, e.address(), spec.rack);
                format!(
                    "--server=id={id},address={address},role={},cell={cell}",
                    ROLES[usize::from(machine_type(spec.role))]
                )
            })
            .collect()
    }

    /// Parses a line and applies the command to an engine. With several engines, the engine's id precedes the command.
    ///
    /// # Errors
    /// [`ManualClusterError::Command`] if the line is not a command or names no engine.
    pub fn apply_command(&self, line: &str) -> Result<String, ManualClusterError> {
        let (id, rest) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
        let bad = |reason: String| ManualClusterError::Command {
            line: line.trim().into(),
            reason,
        };
        let (engine, text) = match (&self.engines[..], id.parse::<u64>()) {
            ([one], Err(_)) => (one, line),
            (all, Ok(id)) => {
                let has_id = |e: &&Mutex<Engine>| {
                    e.lock().unwrap_or_else(PoisonError::into_inner).spec().id == id
                };
                (
                    all.iter()
                        .find(has_id)
                        .ok_or_else(|| bad(format!("there is no engine {id}")))?,
                    rest,
                )
            }
            (_, Err(_)) => return Err(bad("the engine's id comes first".into())),
        };
        let command = parse_command(text)?;
        Ok(apply_command(
            &mut engine.lock().unwrap_or_else(PoisonError::into_inner),
            command,
        ))
    }

    /// Applies commands from standard input. After the end of the input, the engines continue until the process ends.
    pub fn run_commands_from_stdin(&self) -> ! {
        for line in std::io::stdin().lock().lines() {
            let Ok(line) = line else { break };
            if line.trim().is_empty() {
                continue;
            }
            match self.apply_command(&line) {
                Ok(reply) => println!("{reply}"),
                Err(e) => eprintln!("ivyward-testbed: {e}"),
            }
        }
        loop {
            std::thread::park();
        }
    }
}

/// Has the engines register themselves in etcd, under leases of `seconds` that they keep alive.
pub fn keep_engines_registered(fleet: &Fleet, endpoints: &[SocketAddr], seconds: i64) {
    for engine in &fleet.engines {
        let engine = engine.lock().unwrap_or_else(PoisonError::into_inner);
        let on_event = |event| {
            if let ivyward_etcd::LeaseEvent::Failed(e) = event {
                eprintln!("ivyward-testbed: {e}; retrying");
            }
        };
        registration::keep_registered(
            &engine,
            endpoints.to_vec(),
            seconds,
            fleet.runtime.unix_micros() / 1_000,
            on_event,
        );
    }
}

/// Sends one request to a node and writes the tokens to `out` as they arrive. Returns whether the request was served, and a
/// description of its outcome.
///
/// # Errors
/// [`ManualClusterError::Request`] if the node cannot be reached or does not speak gRPC.
pub fn send_request(
    address: SocketAddr,
    request: GenerateRequest,
    client_timeout: std::time::Duration,
    out: &mut impl Write,
) -> Result<(bool, String), ManualClusterError> {
    let runtime = SmolRuntime::start(1, 1);
    let as_ref: RuntimeRef = runtime.clone();
    runtime.block_on(async {
        let error = |what: &str, e: &dyn std::fmt::Display| ManualClusterError::Request(format!("{address}: {what}: {e}"));
        let began = runtime.now();
        let conn = as_ref.connect(address).await.map_err(|e| error("cannot connect", &e))?;
        let channel = Channel::begin(&as_ref, conn, Options::default())
            .await
            .map_err(|e| error("no HTTP/2 connection", &e))?;
        let headers = deadline(client_timeout.as_micros() as u64);
        let mut call = channel
            .call(GENERATE, encode(&request), headers)
            .await
            .map_err(|e| error("the call failed", &e))?;
        let ms = || (runtime.now() - began) as f64 / 1e3;
        let (mut tokens, mut first) = (0, None);
        let end = loop {
            let next = async { Some(call.next::<Tokens>().await) };
            let timeout = async {
                runtime.sleep_until(began + client_timeout.as_micros() as u64).await;
                None
            };
            match or(next, timeout).await {
                None => break (false, format!("timed out after {:.1} ms", ms())),
                Some(Ok(Some(batch))) => {
                    first.get_or_insert(ms());
                    tokens += batch.ids.len();
                    let text: Vec<String> = batch.ids.iter().map(u32::to_string).collect();
                    // The reader of the output may have closed it; the request continues.
                    let _ = write!(out, "{} ", text.join(" ")).and_then(|()| out.flush());
                }
                Some(Ok(None)) => {
                    let first = first.unwrap_or(ms());
                    break (
                        true,
                        format!(
                            "served: {tokens} tokens, the first after {first:.1} ms, all after {:.1} ms",
                            ms()
                        ),
                    );
                }
                Some(Err(e)) => {
                    let Cause::Status(status) = &e.cause else { break (false, format!("failed: {e}")) };
                    let (outcome, pushback) = final_metadata(&status.metadata);
                    let outcome = outcome.unwrap_or("ended");
                    let retry = match pushback {
                        Some(ms) if ms >= 0 => format!("; retry after {ms} ms"),
                        _ => String::new(),
                    };
                    break (false, format!("{outcome} after {:.1} ms and {tokens} tokens: {e}{retry}", ms()));
                }
            }
        };
        if tokens > 0 {
            let _ = writeln!(out);
        }
        Ok(end)
    })
}
