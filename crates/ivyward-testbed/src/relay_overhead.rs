//! What a node adds: streams straight from an engine against the same through a node, in one run; and what a decision
//! costs by the size of the fleet.

use crate::local_cluster::{io, settings, LocalClusterError};
use hdrhistogram::Histogram;
use ivyward::core::interface::{Endpoint, EndpointId, EndpointState, ListKind};
use ivyward::{Engine as Listed, Node, NodeSettings};
use ivyward_fakes::engine::{SharedRuntime, ThreadPerProcess};
use ivyward_fakes::{text, Engine, EngineSpec, EventLog, Host, Role};
use ivyward_grpc::{encode, CallError, Channel, Options};
use ivyward_proto::engine as pb;
use ivyward_proto::front::{GenerateRequest, Tokens};
use ivyward_runtime::{Micros as Us, RuntimeExt, RuntimeRef, SmolRuntime};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Calls on one client connection.
const PER_CONNECTION: usize = 100;

/// What was measured at one number of streams.
#[derive(Clone, Debug)]
pub struct Row {
    /// Streams at once.
    pub streams: usize,
    /// Tokens a second straight from the engine, and through the node: medians of the rounds.
    pub tokens: (f64, f64),
    /// Streams a second, in the same way.
    pub ended: (f64, f64),
    /// First-token times in microseconds, paced: p50 and p99, straight and through the node.
    pub first: [(u64, u64); 2],
}

/// What a decision costs at one size of the fleet, in microseconds a request.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Engines.
    pub fleet: usize,
    /// The module's time.
    pub module: f64,
    /// The rest of the driver's.
    pub driver: f64,
}

fn relay_settings() -> NodeSettings {
    let mut settings = settings();
    for class in &mut settings.classes {
        // Nothing is to be shed or timed out: the node's own work is measured.
        (class.settings.ttft_objective, class.settings.deadline) = (3_600_000_000, 3_600_000_000);
    }
    settings.router.overload_multiple = 0.0;
    // A thousand streams at full speed keep one core busy for longer than a dial may take.
    (settings.dial_timeout, settings.router.drain_grace) = (10_000_000, 10_000_000);
    (
        settings.ping_interval,
        settings.idle_checks_per_second,
        settings.stream_idle_timeout,
    ) = (0, 0, 60_000_000);
    settings
}

/// One engine that reads and writes, and one node in front of it, each with a thread of its own.
struct Pair {
    runtime: Arc<SmolRuntime>,
    engine: Engine,
    node_runtime: Arc<SmolRuntime>,
    door: SocketAddr,
}

impl Pair {
    fn start(token_gap: Us) -> Result<Pair, LocalClusterError> {
        let runtime = SmolRuntime::start(1, 1);
        let as_ref: RuntimeRef = runtime.clone();
        let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
        let spec = EngineSpec {
            token_interval: token_gap,
            slots: 4_096,
            queue_limit: 4_096,
            prefill_rate: 1e12,
            ..EngineSpec::small(1, Role::Mixed)
        };
        let engine = Engine::start(&host, &EventLog::new(&as_ref), spec)
            .map_err(io("starting an engine"))?;
        let node_runtime = SmolRuntime::start(1, 2);
        let node_ref: RuntimeRef = node_runtime.clone();
        let settings = NodeSettings {
            max_connections_per_engine: 64,
            ..relay_settings()
        };
        let node = Node::start(node_ref.clone(), settings, None)?;
        let door = node_ref
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
            .map_err(io("opening a door"))?;
        let address = door.address();
        let entry = Endpoint {
            id: EndpointId(1),
            machine_type: 2,
            state: EndpointState::Ready,
            weight: 1.0,
            ..Endpoint::default()
        };
        let listed = vec![Listed {
            endpoint: entry,
            address: engine.address(),
        }];
        runtime.block_on(node.update_endpoints(ListKind::Full, listed));
        node_runtime.run(async move { node.serve(door).await });
        Ok(Pair {
            runtime,
            engine,
            node_runtime,
            door: address,
        })
    }

    /// Runs streams at once, each in its turn on one of a few connections, straight or through the node. Returns the
    /// time they took and each one's first-token time.
    fn streams(
        &self,
        node: bool,
        count: usize,
        tokens: u32,
        spread: Us,
    ) -> Result<(Us, Vec<Us>), LocalClusterError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let to = if node {
            self.door
        } else {
            self.engine.address()
        };
        let firsts: Arc<Mutex<Vec<Us>>> = Arc::default();
        self.runtime.clone().block_on(async {
            let mut channels = Vec::new();
            for _ in 0..count.div_ceil(PER_CONNECTION) {
                let conn = runtime.connect(to).await.map_err(io("connecting"))?;
                let channel = Channel::begin(&runtime, conn, Options::default()).await;
                channels.push(channel.map_err(|e| io("connecting")(std::io::Error::other(e)))?);
            }
            let began = runtime.now();
            let (done, wait) = async_channel::bounded::<()>(1);
            for i in 0..count {
                let (channel, firsts, done) = (
                    channels[i % channels.len()].clone(),
                    firsts.clone(),
                    done.clone(),
                );
                let runtime = runtime.clone();
                let at = began + spread * i as u64 / count as u64;
                runtime.clone().run(async move {
                    runtime.sleep_until(at).await;
                    let first = one(&runtime, &channel, node, i as u32, tokens).await;
                    firsts
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .extend(first);
                    drop(done);
                });
            }
            drop(done);
            // Ends with an error when the last stream is over.
            let _ = wait.recv().await;
            let took = runtime.now() - began;
            channels.iter().for_each(Channel::close);
            let firsts =
                std::mem::take(&mut *firsts.lock().unwrap_or_else(PoisonError::into_inner));
            match firsts.len() == count {
                true => Ok((took, firsts)),
                false => {
                    let lost = format!(
                        "{} of {count} streams did not end well",
                        count - firsts.len()
                    );
                    Err(io("relaying")(std::io::Error::other(lost)))
                }
            }
        })
    }
}

/// One stream to its end: the time to its first token, if all of it came.
async fn one(
    runtime: &RuntimeRef,
    channel: &Channel,
    node: bool,
    i: u32,
    tokens: u32,
) -> Option<Us> {
    let prompt: Vec<u32> = (0..32).map(|t| t ^ (i << 8)).collect();
    let expected = text::length(text::digest(&prompt), tokens);
    let (path, body) = match node {
        true => {
            let ask = GenerateRequest {
                prompt,
                max_output_tokens: tokens,
                ..GenerateRequest::default()
            };
            ("/ivyward.front.v1.Front/Generate", encode(&ask))
        }
        false => {
            let key = Some(pb::AttemptKey {
                node: 0,
                request: u64::from(i),
                attempt: 0,
            });
            let header = Some(pb::Header {
                key,
                engine: 1,
                ..pb::Header::default()
            });
            let ask = pb::WriteRequest {
                header,
                prompt,
                max_output_tokens: tokens,
                ..pb::WriteRequest::default()
            };
            ("/ivyward.engine.v1.Engine/Write", encode(&ask))
        }
    };
    let began = runtime.now();
    let told = |e: CallError| eprintln!("ivyward-testbed: a stream broke: {e}");
    let mut call = channel
        .call(path, body, http::HeaderMap::new())
        .await
        .map_err(told)
        .ok()?;
    let (mut first, mut got) = (None, 0);
    loop {
        let more = match node {
            true => call
                .next::<Tokens>()
                .await
                .map_err(told)
                .ok()?
                .map(|run| run.ids.len()),
            false => {
                call.next::<pb::WriteEvent>()
                    .await
                    .map_err(told)
                    .ok()?
                    .map(|event| match event.event {
                        Some(pb::write_event::Event::Tokens(run)) => run.ids.len(),
                        _ => 0,
                    })
            }
        };
        match more {
            Some(run) => {
                first.get_or_insert_with(|| runtime.now() - began);
                got += run;
            }
            None => return first.filter(|_| got == expected as usize),
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn ends(values: &[Us]) -> (u64, u64) {
    // The bounds are fixed and right.
    let Ok(mut h) = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3) else {
        return (0, 0);
    };
    values.iter().for_each(|v| h.saturating_record((*v).max(1)));
    (h.value_at_percentile(50.0), h.value_at_percentile(99.0))
}

/// Measures at these numbers of streams.
///
/// # Errors
/// When the scene cannot be set up, or a stream does not end well.
pub fn rows(counts: &[usize], rounds: usize) -> Result<Vec<Row>, LocalClusterError> {
    let mut rows = Vec::new();
    for &streams in counts {
        // As many tokens in all at each number of streams, as far as that makes sense.
        let tokens = (400_000 / streams).clamp(128, 40_000) as u32;
        let fast = Pair::start(0)?;
        let (mut speeds, mut ended) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
        for round in 0..=rounds {
            for (i, node) in [false, true].into_iter().enumerate() {
                let before = fast.engine.tokens_sent();
                // Not all in one moment: the module takes that for overload.
                let (took, _) = fast.streams(node, streams, tokens, streams as Us * 200)?;
                let came = fast.engine.tokens_sent() - before;
                // The first round opens connections and warms up.
                if round > 0 {
                    speeds[i].push(came as f64 * 1e6 / took as f64);
                    ended[i].push(streams as f64 * 1e6 / took as f64);
                }
            }
        }
        // Paced as engines are: the first token's time, with calls spread over one gap and the other streams running.
        let paced = Pair::start(50_000)?;
        let mut firsts = [Vec::new(), Vec::new()];
        for round in 0..=rounds.max(40 / streams) {
            for (i, node) in [false, true].into_iter().enumerate() {
                let (_, first) = paced.streams(node, streams, 4, 50_000)?;
                if round > 0 {
                    firsts[i].extend(first);
                }
            }
        }
        let [direct, through] = speeds.map(median);
        let [ended_direct, ended_through] = ended.map(median);
        rows.push(Row {
            streams,
            tokens: (direct, through),
            ended: (ended_direct, ended_through),
            first: [ends(&firsts[0]), ends(&firsts[1])],
        });
        fast.node_runtime.stop();
        paced.node_runtime.stop();
    }
    Ok(rows)
}

/// Measures the module's and the driver's time a request, at these sizes of the fleet: a quarter each of readers and
/// mixed engines, the rest writers, 16 requests at a time.
///
/// # Errors
/// When the scene cannot be set up.
pub fn costs(fleets: &[usize], requests: usize) -> Result<Vec<Cost>, LocalClusterError> {
    let mut out = Vec::new();
    for &fleet in fleets {
        let runtime = SmolRuntime::start(2, 1);
        let as_ref: RuntimeRef = runtime.clone();
        let host: Arc<dyn Host> = Arc::new(SharedRuntime(as_ref.clone()));
        let log = EventLog::new(&as_ref);
        let mut engines = Vec::new();
        for i in 0..fleet {
            let role = [Role::Prefill, Role::Mixed, Role::Decode, Role::Decode][i % 4];
            let spec = EngineSpec {
                rack: (i / 16) as u16,
                token_interval: 100,
                ..EngineSpec::small(i as u64 + 1, role)
            };
            engines.push(Engine::start(&host, &log, spec).map_err(io("starting an engine"))?);
        }
        let node_runtime = SmolRuntime::start(1, 2);
        let node_ref: RuntimeRef = node_runtime.clone();
        let node = Node::start(node_ref, relay_settings(), None)?;
        let listed = engines.iter().enumerate().map(|(i, engine)| {
            let entry = Endpoint {
                id: EndpointId(i as u64 + 1),
                machine_type: [0, 2, 1, 1][i % 4],
                rack: (i / 16) as u16,
                state: EndpointState::Ready,
                weight: 1.0,
                ..Endpoint::default()
            };
            Listed {
                endpoint: entry,
                address: engine.address(),
            }
        });
        runtime.block_on(node.update_endpoints(ListKind::Full, listed.collect()));
        let before = (
            node.metrics().router_us.get(),
            node.metrics().driver_us.get(),
        );
        let lanes = 16;
        runtime.block_on(async {
            let (done, wait) = async_channel::bounded::<()>(1);
            for lane in 0..lanes {
                let (node, done) = (node.clone(), done.clone());
                runtime.run(async move {
                    for i in 0..requests / lanes {
                        let words = |n: u32| {
                            (0..n)
                                .map(|t| t ^ ((lane * 7_919 + i) as u32) << 8)
                                .collect()
                        };
                        let ask = GenerateRequest {
                            prompt: words(200),
                            max_output_tokens: 8,
                            session: format!("s{lane}-{}", i / 3),
                            shared_opening_tokens: 100,
                            ..GenerateRequest::default()
                        };
                        node.generate(ask, None).collect().await;
                    }
                    drop(done);
                });
            }
            drop(done);
            let _ = wait.recv().await;
        });
        let m = node.metrics();
        let per = |now: u64, then: u64| (now - then) as f64 / m.requests.get().max(1) as f64;
        let (module, all) = (
            per(m.router_us.get(), before.0),
            per(m.driver_us.get(), before.1),
        );
        out.push(Cost {
            fleet,
            module,
            driver: (all - module).max(0.0),
        });
        node_runtime.stop();
        runtime.stop();
    }
    Ok(out)
}

/// The tables, as they are kept in docs.
pub fn text(rows: &[Row], costs: &[Cost]) -> String {
    let mut out = String::new();
    let ms = |us: u64| us as f64 / 1e3;
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "| streams | tokens/s straight | through the node | ratio | streams/s straight | through | first token straight p50/p99 ms | through p50/p99 ms | added p50/p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for r in rows {
        let [d, n] = r.first;
        let _ = writeln!(
            out,
            "| {} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.2} / {:.2} | {:.2} / {:.2} | {:.2} / {:.2} |",
            r.streams,
            r.tokens.0,
            r.tokens.1,
            r.tokens.1 / r.tokens.0,
            r.ended.0,
            r.ended.1,
            ms(d.0),
            ms(d.1),
            ms(n.0),
            ms(n.1),
            ms(n.0) - ms(d.0),
            ms(n.1) - ms(d.1)
        );
    }
    let _ = writeln!(
        out,
        "\n| engines | module, us a request | rest of the driver, us | driver over module |\n| --- | --- | --- | --- |"
    );
    for c in costs {
        let _ = writeln!(
            out,
            "| {} | {:.1} | {:.1} | {:.2} |",
            c.fleet,
            c.module,
            c.driver,
            c.driver / c.module
        );
    }
    out
}
