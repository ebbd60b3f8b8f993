//! Measures the overhead of a node: in one run, streams read directly from an engine are compared with the same streams
//! through a node. Also measures the CPU time of a routing decision by the size of the fleet.

use crate::local_cluster::{io, settings, LocalClusterError};
use hdrhistogram::Histogram;
use ivyward::core::interface::{Endpoint, EndpointId, EndpointState, ListKind};
use ivyward::{Engine as Listed, Node, NodeSettings};
use ivyward_fakes::engine::{SharedRuntime, ThreadPerProcess};
use ivyward_fakes::{text, Engine, EngineSpec, EventLog, Host, Role};
use ivyward_grpc::{encode, CallError, Channel, Options};
use ivyward_proto::engine as pb;
use ivyward_proto::front::{GenerateRequest, Tokens};
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef, SmolRuntime};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of streams on one client connection.
const STREAMS_PER_CONNECTION: usize = 100;

/// Measurements at one number of concurrent streams.
#[derive(Clone, Debug)]
pub struct StreamMeasurement {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Tokens per second directly from the engine and through the node, each the median of the rounds.
    pub tokens: (f64, f64),
    /// Completed streams per second, directly and through the node, each the median of the rounds.
    pub ended: (f64, f64),
    /// Time to the first token in microseconds with paced output, as p50 and p99: first directly, then through the node.
    pub first: [(u64, u64); 2],
}

/// CPU time of a decision at one fleet size, in microseconds per request.
#[derive(Clone, Debug)]
pub struct DecisionCost {
    /// Number of engines in the fleet.
    pub fleet: usize,
    /// Time of the router.
    pub module: f64,
    /// Time of the rest of the driver.
    pub driver: f64,
}

fn relay_settings() -> NodeSettings {
    let mut settings = settings();
    for class in &mut settings.classes {
        // No request may be rejected or time out, since only the node's own work is measured.
        (class.settings.ttft_objective, class.settings.deadline) = (3_600_000_000, 3_600_000_000);
    }
    settings.router.overload_multiple = 0.0;
    // A thousand streams at full speed keep one core busy for longer than the default dial timeout.
    (settings.dial_timeout, settings.router.drain_grace) = (10_000_000, 10_000_000);
    (
        settings.ping_interval,
        settings.idle_checks_per_second,
        settings.stream_idle_timeout,
    ) = (0, 0, 60_000_000);
    settings
}

/// A mixed engine and a node in front of it, each with its own thread.
struct RelayPair {
    runtime: Arc<SmolRuntime>,
    engine: Engine,
    node_runtime: Arc<SmolRuntime>,
    node_address: SocketAddr,
}

impl RelayPair {
    fn start(token_gap: Micros) -> Result<RelayPair, LocalClusterError> {
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
        let listener = node_ref
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
            .map_err(io("opening a listener"))?;
        let address = listener.address();
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
        node_runtime.run(async move { node.serve(listener).await });
        Ok(RelayPair {
            runtime,
            engine,
            node_runtime,
            node_address: address,
        })
    }

    /// Runs `count` concurrent streams, distributed over the connections, directly or through the node. Returns the total
    /// time and each stream's time to the first token.
    fn run_streams(
        &self,
        through_node: bool,
        count: usize,
        tokens: u32,
        spread: Micros,
    ) -> Result<(Micros, Vec<Micros>), LocalClusterError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let to = if through_node {
            self.node_address
        } else {
            self.engine.address()
        };
        let firsts: Arc<Mutex<Vec<Micros>>> = Arc::default();
        self.runtime.clone().block_on(async {
            let mut channels = Vec::new();
            for _ in 0..count.div_ceil(STREAMS_PER_CONNECTION) {
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
                    let first =
                        run_stream(&runtime, &channel, through_node, i as u32, tokens).await;
                    firsts
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .extend(first);
                    drop(done);
                });
            }
            drop(done);
            // Nothing is sent on the channel: `recv` returns an error when the last stream drops its sender.
            let _ = wait.recv().await;
            let took = runtime.now() - began;
            channels.iter().for_each(Channel::close);
            let firsts =
                std::mem::take(&mut *firsts.lock().unwrap_or_else(PoisonError::into_inner));
            match firsts.len() == count {
                true => Ok((took, firsts)),
                false => {
                    let message = format!(
                        "{} of {count} streams failed or were incomplete",
                        count - firsts.len()
                    );
                    Err(io("relaying")(std::io::Error::other(message)))
                }
            }
        })
    }
}

/// Runs one stream to its end. Returns the time to its first token, or `None` if the stream failed or was incomplete.
async fn run_stream(
    runtime: &RuntimeRef,
    channel: &Channel,
    through_node: bool,
    i: u32,
    tokens: u32,
) -> Option<Micros> {
    let prompt: Vec<u32> = (0..32).map(|t| t ^ (i << 8)).collect();
    let expected = text::length(text::digest(&prompt), tokens);
    let (path, body) = match through_node {
        true => {
            let request = GenerateRequest {
                prompt,
                max_output_tokens: tokens,
                ..GenerateRequest::default()
            };
            ("/ivyward.front.v1.Front/Generate", encode(&request))
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
            let request = pb::WriteRequest {
                header,
                prompt,
                max_output_tokens: tokens,
                ..pb::WriteRequest::default()
            };
            ("/ivyward.engine.v1.Engine/Write", encode(&request))
        }
    };
    let began = runtime.now();
    let report = |e: CallError| eprintln!("ivyward-testbed: stream failed: {e}");
    let mut call = channel
        .call(path, body, http::HeaderMap::new())
        .await
        .map_err(report)
        .ok()?;
    let (mut first, mut got) = (None, 0);
    loop {
        let more = match through_node {
            true => call
                .next::<Tokens>()
                .await
                .map_err(report)
                .ok()?
                .map(|run| run.ids.len()),
            false => call
                .next::<pb::WriteEvent>()
                .await
                .map_err(report)
                .ok()?
                .map(|event| match event.event {
                    Some(pb::write_event::Event::Tokens(run)) => run.ids.len(),
                    _ => 0,
                }),
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

fn median_and_p99(values: &[Micros]) -> (u64, u64) {
    // The bounds are constant and valid.
    let Ok(mut h) = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3) else {
        return (0, 0);
    };
    values.iter().for_each(|v| h.saturating_record((*v).max(1)));
    (h.value_at_percentile(50.0), h.value_at_percentile(99.0))
}

/// Measures each of these numbers of concurrent streams.
///
/// # Errors
/// Returns an error if the engine or the node cannot be started, or if a stream fails or is incomplete.
pub fn measure_streams(
    counts: &[usize],
    rounds: usize,
) -> Result<Vec<StreamMeasurement>, LocalClusterError> {
    let mut rows = Vec::new();
    for &streams in counts {
        // The total is 400,000 tokens at each number of streams, within 128 to 40,000 tokens per stream.
        let tokens = (400_000 / streams).clamp(128, 40_000) as u32;
        let fast = RelayPair::start(0)?;
        let (mut speeds, mut ended) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
        for round in 0..=rounds {
            for (i, through_node) in [false, true].into_iter().enumerate() {
                let before = fast.engine.tokens_sent();
                // Streams start 200 us apart, because the router treats simultaneous arrivals as overload.
                let (took, _) =
                    fast.run_streams(through_node, streams, tokens, streams as Micros * 200)?;
                let sent = fast.engine.tokens_sent() - before;
                // The first round opens connections and is a warm-up.
                if round > 0 {
                    speeds[i].push(sent as f64 * 1e6 / took as f64);
                    ended[i].push(streams as f64 * 1e6 / took as f64);
                }
            }
        }
        // Time to the first token with output paced as on real engines: the calls are spread over one token interval, and
        // the other streams run meanwhile.
        let paced = RelayPair::start(50_000)?;
        let mut firsts = [Vec::new(), Vec::new()];
        for round in 0..=rounds.max(40 / streams) {
            for (i, through_node) in [false, true].into_iter().enumerate() {
                let (_, first) = paced.run_streams(through_node, streams, 4, 50_000)?;
                if round > 0 {
                    firsts[i].extend(first);
                }
            }
        }
        let [direct, through] = speeds.map(median);
        let [ended_direct, ended_through] = ended.map(median);
        rows.push(StreamMeasurement {
            streams,
            tokens: (direct, through),
            ended: (ended_direct, ended_through),
            first: [median_and_p99(&firsts[0]), median_and_p99(&firsts[1])],
        });
        fast.node_runtime.stop();
        paced.node_runtime.stop();
    }
    Ok(rows)
}

/// Measures the time of the router and of the driver per request at each of these fleet sizes. A quarter of the engines are
/// prefill engines, a quarter mixed and the rest decode engines; 16 requests run concurrently.
///
/// # Errors
/// Returns an error if an engine or the node cannot be started.
pub fn measure_decision_costs(
    fleets: &[usize],
    requests: usize,
) -> Result<Vec<DecisionCost>, LocalClusterError> {
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
                        let prompt = |n: u32| {
                            (0..n)
                                .map(|t| t ^ ((lane * 7_919 + i) as u32) << 8)
                                .collect()
                        };
                        let request = GenerateRequest {
                            prompt: prompt(200),
                            max_output_tokens: 8,
                            session: format!("s{lane}-{}", i / 3),
                            shared_opening_tokens: 100,
                            ..GenerateRequest::default()
                        };
                        node.generate(request, None).collect().await;
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
        out.push(DecisionCost {
            fleet,
            module,
            driver: (all - module).max(0.0),
        });
        node_runtime.stop();
        runtime.stop();
    }
    Ok(out)
}

/// Formats the results as Markdown tables for the documentation.
pub fn format_tables(rows: &[StreamMeasurement], costs: &[DecisionCost]) -> String {
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
