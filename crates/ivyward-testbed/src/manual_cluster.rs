//! A fleet to try a daemon with: engines and a store on addresses of one's choice, faults by a line, and one request.

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

/// What goes wrong by hand, in a line that names what to do.
#[derive(Debug, thiserror::Error)]
pub enum ManualClusterError {
    /// A port cannot be taken.
    #[error("--listen {address}: {error}")]
    Listen {
        /// Which.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
    /// A line on standard input that says nothing.
    #[error("{line:?}: {reason}; one of: drain, ready, hang, go, slow N, ill SHARE, lose SHARE, full SHARE, die, up, show")]
    Command {
        /// The line.
        line: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The door cannot be reached, or said no.
    #[error("{0}")]
    Request(String),
}

/// What an engine is told by a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineCommand {
    /// It takes nothing new, or does again.
    Drain(bool),
    /// It hangs, or goes on.
    Hang(bool),
    /// It works so many times as slowly.
    Slow(f64),
    /// It resets, loses answers or turns away this part of calls.
    FailCalls(f64),
    /// It loses this part of its answers.
    LoseAnswers(f64),
    /// It turns away this part of calls as full.
    RejectAsFull(f64),
    /// Its process dies: all connections are reset, all states are lost.
    Crash,
    /// It comes back, cold.
    Restart,
    /// What it holds.
    Show,
}

/// Reads a line.
///
/// # Errors
/// When it is no order; the message names all of them.
pub fn parse_command(line: &str) -> Result<EngineCommand, ManualClusterError> {
    let bad = |reason: &str| ManualClusterError::Command {
        line: line.trim().into(),
        reason: reason.into(),
    };
    let words: Vec<&str> = line.split_whitespace().collect();
    let number = |most: f64| {
        let text = words.get(1).ok_or_else(|| bad("a number is missing"))?;
        let value: f64 = text.parse().map_err(|_| bad("not a number"))?;
        match (0.0..=most).contains(&value) {
            true => Ok(value),
            false => Err(bad(&format!("must be from 0 to {most}"))),
        }
    };
    let order = match words.first().copied() {
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
    let takes = if matches!(
        order,
        EngineCommand::Slow(_)
            | EngineCommand::FailCalls(_)
            | EngineCommand::LoseAnswers(_)
            | EngineCommand::RejectAsFull(_)
    ) {
        2
    } else {
        1
    };
    match words.len() == takes {
        true => Ok(order),
        false => Err(bad("too many words")),
    }
}

/// Does what an engine is told; a line of what came of it.
pub fn apply_command(engine: &mut Engine, order: EngineCommand) -> String {
    let id = engine.spec().id;
    match order {
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
                return format!("engine {id} cannot come up at {}: {e}", engine.address());
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

/// A fleet that runs until its holder drops it.
pub struct Fleet {
    engines: Vec<Mutex<Engine>>,
    store: Option<Store>,
    /// The log's clock.
    runtime: Arc<SmolRuntime>,
}

/// Specs of so many racks of one prefill, one mixed and two decode engines, at the pace of small models: 20,000 prompt
/// tokens and 50 answer tokens a second.
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
    /// Starts engines from a port on (0 for free ones), and a store with their records if its address is given.
    ///
    /// # Errors
    /// When a port cannot be taken.
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

    /// The daemon's flags for it, a line each.
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

    /// Follows a line: an order, after the engine's id where there are several.
    ///
    /// # Errors
    /// When it is none.
    pub fn apply_command(&self, line: &str) -> Result<String, ManualClusterError> {
        let (id, rest) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
        let bad = |reason: String| ManualClusterError::Command {
            line: line.trim().into(),
            reason,
        };
        let (engine, text) = match (&self.engines[..], id.parse::<u64>()) {
            ([one], Err(_)) => (one, line),
            (all, Ok(id)) => {
                let this = |e: &&Mutex<Engine>| {
                    e.lock().unwrap_or_else(PoisonError::into_inner).spec().id == id
                };
                (
                    all.iter()
                        .find(this)
                        .ok_or_else(|| bad(format!("there is no engine {id}")))?,
                    rest,
                )
            }
            (_, Err(_)) => return Err(bad("the engine's id comes first".into())),
        };
        let order = parse_command(text)?;
        Ok(apply_command(
            &mut engine.lock().unwrap_or_else(PoisonError::into_inner),
            order,
        ))
    }

    /// Follows lines from standard input; when that ends, it goes on until the process is ended.
    pub fn run_commands_from_stdin(&self) -> ! {
        for line in std::io::stdin().lock().lines() {
            let Ok(line) = line else { break };
            if line.trim().is_empty() {
                continue;
            }
            match self.apply_command(&line) {
                Ok(said) => println!("{said}"),
                Err(e) => eprintln!("ivyward-testbed: {e}"),
            }
        }
        loop {
            std::thread::park();
        }
    }
}

/// The engines register themselves, under leases of so many seconds.
pub fn keep_engines_registered(fleet: &Fleet, endpoints: &[SocketAddr], seconds: i64) {
    for engine in &fleet.engines {
        let engine = engine.lock().unwrap_or_else(PoisonError::into_inner);
        let told = |kept| {
            if let ivyward_etcd::LeaseEvent::Failed(e) = kept {
                eprintln!("ivyward-testbed: {e}; tried again");
            }
        };
        registration::keep_registered(
            &engine,
            endpoints.to_vec(),
            seconds,
            fleet.runtime.unix_micros() / 1_000,
            told,
        );
    }
}

/// Sends one request to a door, writes tokens as they come, and tells its end in words; whether it was served.
///
/// # Errors
/// When the door cannot be reached or does not speak gRPC.
pub fn send_request(
    door: SocketAddr,
    request: GenerateRequest,
    client_timeout: std::time::Duration,
    out: &mut impl Write,
) -> Result<(bool, String), ManualClusterError> {
    let runtime = SmolRuntime::start(1, 1);
    let as_ref: RuntimeRef = runtime.clone();
    runtime.block_on(async {
        let error = |what: &str, e: &dyn std::fmt::Display| ManualClusterError::Request(format!("{door}: {what}: {e}"));
        let began = runtime.now();
        let conn = as_ref.connect(door).await.map_err(|e| error("cannot connect", &e))?;
        let channel = Channel::begin(&as_ref, conn, Options::default())
            .await
            .map_err(|e| error("no HTTP/2 spoken", &e))?;
        let headers = deadline(client_timeout.as_micros() as u64);
        let mut call = channel
            .call(GENERATE, encode(&request), headers)
            .await
            .map_err(|e| error("the call broke", &e))?;
        let ms = || (runtime.now() - began) as f64 / 1e3;
        let (mut tokens, mut first) = (0, None);
        let end = loop {
            let next = async { Some(call.next::<Tokens>().await) };
            let late = async {
                runtime.sleep_until(began + client_timeout.as_micros() as u64).await;
                None
            };
            match or(next, late).await {
                None => break (false, format!("given up after {:.1} ms", ms())),
                Some(Ok(Some(run))) => {
                    first.get_or_insert(ms());
                    tokens += run.ids.len();
                    let text: Vec<String> = run.ids.iter().map(u32::to_string).collect();
                    // Whoever reads may have left; the answer goes on all the same.
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
                    let Cause::Status(status) = &e.cause else { break (false, format!("broken: {e}")) };
                    let (outcome, back) = final_metadata(&status.metadata);
                    let outcome = outcome.unwrap_or("ended");
                    let again = match back {
                        Some(ms) if ms >= 0 => format!("; come back in {ms} ms"),
                        _ => String::new(),
                    };
                    break (false, format!("{outcome} after {:.1} ms and {tokens} tokens: {e}{again}", ms()));
                }
            }
        };
        if tokens > 0 {
            let _ = writeln!(out);
        }
        Ok(end)
    })
}
