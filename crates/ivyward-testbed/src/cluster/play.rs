//! Runs a fault plan on a cluster of processes under load, and reports the results.

use crate::cluster::links::{End, LinkFault};
use crate::cluster::plan::{ClusterFault, Plan};
use crate::cluster::{id, Cluster, ClusterError};
use ivyward_fakes::event_log::{CallIdempotency, ClientOutcome};
use ivyward_fakes::{Client, ClientBehavior, ClientRequest};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{Micros, Runtime, RuntimeExt, RuntimeRef};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// The timeout for the nodes' views to agree after a fault.
const AGREEMENT_TIMEOUT: Micros = 120_000_000;
/// The client timeout, the shortest pause between two calls of a client, and the limit on calls per second of all clients.
/// The limit keeps the delays of a busy machine below the tolerance of the rule checker.
const CLIENT_TIMEOUT: Micros = 5_000_000;
const MIN_PAUSE: Micros = 100_000;
const MAX_CALLS_PER_SECOND: u64 = 200;

/// The result of one episode.
#[derive(Clone, Debug, Serialize)]
pub struct EpisodeReport {
    /// The fault of the episode.
    pub fault: ClusterFault,
    /// The fault's duration, in milliseconds.
    pub lasted_ms: u64,
    /// The time from the end of the fault until all views agreed, in milliseconds.
    #[serde(rename = "agreed_ms")]
    pub converged_ms: u64,
    /// The time until all running nodes had detected a kill, in milliseconds, if the fault killed processes.
    #[serde(rename = "known_ms")]
    pub detected_ms: Option<u64>,
    /// The number of times a node declared another one dead whose process existed, under a fault that must not cause that.
    pub false_deaths: usize,
    /// Descriptions of node counts that were below the number of existing processes.
    pub miscounts: Vec<String>,
}

/// The result of a plan.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The plan that was run.
    pub plan: Plan,
    /// The results of the episodes.
    #[serde(rename = "episode")]
    pub episodes: Vec<EpisodeReport>,
    /// The time from the start until all views agreed, in milliseconds.
    pub joined_ms: u64,
    /// Datagrams that a node sent per second, on average stop_requested the run and the nodes.
    pub datagrams_s: f64,
    /// Bytes that a node sent per second, on average stop_requested the run and the nodes.
    pub bytes_s: f64,
    /// The number of datagrams from a source outside the cluster, and of those that a node sent to its own relay.
    #[serde(rename = "astray")]
    pub misdirected_datagrams: (u64, u64),
    /// The number of calls that clients made, and of those that were served.
    pub calls: (u64, u64),
    /// The number of the five rules that were not violated.
    #[serde(rename = "rules_kept")]
    pub rules_satisfied: usize,
    /// Descriptions of the violations of the other rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// Returns descriptions of everything that makes the run a failure.
    pub fn failures(&self) -> Vec<String> {
        let mut failures = self.violations.clone();
        for (i, episode) in self.episodes.iter().enumerate() {
            failures.extend(
                episode
                    .miscounts
                    .iter()
                    .map(|m| format!("episode {i}: {m}")),
            );
            if episode.false_deaths > 0 {
                failures.push(format!(
                    "episode {i}: {} false deaths under {:?}",
                    episode.false_deaths, episode.fault
                ));
            }
        }
        if self.misdirected_datagrams.1 > 0 {
            failures.push(format!(
                "{} datagrams were answers to their source",
                self.misdirected_datagrams.1
            ));
        }
        failures
    }
}

/// A load on the nodes whose processes the plan does not pause or end.
struct Load {
    stop_requested: Arc<AtomicBool>,
    made: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
    active_clients: Arc<()>,
}

impl Load {
    fn start(cluster: &Cluster, nodes: impl Iterator<Item = usize>) -> Load {
        let load = Load {
            stop_requested: Arc::default(),
            made: Arc::default(),
            served: Arc::default(),
            active_clients: Arc::new(()),
        };
        let runtime: RuntimeRef = cluster.runtime().clone();
        let nodes: Vec<usize> = nodes.collect();
        let pause = MIN_PAUSE.max(1_000_000 * nodes.len() as Micros / MAX_CALLS_PER_SECOND);
        for node in nodes {
            let Some(address) = cluster.process(node).map(|p| p.client_address) else {
                continue;
            };
            let (runtime, log) = (runtime.clone(), cluster.log().clone());
            let (stop_requested, made, served) = (
                load.stop_requested.clone(),
                load.made.clone(),
                load.served.clone(),
            );
            let guard = load.active_clients.clone();
            runtime.clone().run(async move {
                // Spreads the clients' first calls.
                runtime
                    .sleep((runtime.random_f64() * 20.0 * pause as f64) as Micros)
                    .await;
                let mut client: Option<Client> = None;
                while !stop_requested.load(Ordering::SeqCst) {
                    if client.as_ref().is_none_or(|c| !c.is_usable()) {
                        client = Client::connect(&runtime, &log, address).await.ok();
                    }
                    if let Some(client) = &client {
                        let call = made.fetch_add(1, Ordering::SeqCst) + 1;
                        let end = client.send(&request(node, call)).await;
                        served.fetch_add(
                            u64::from(end.outcome == ClientOutcome::Served),
                            Ordering::SeqCst,
                        );
                    }
                    runtime.sleep(pause).await;
                }
                drop(guard);
            });
        }
        load
    }
    fn stop(&self, cluster: &Cluster) {
        self.stop_requested.store(true, Ordering::SeqCst);
        while Arc::strong_count(&self.active_clients) > 1 {
            cluster.sleep(10_000);
        }
    }
}

fn request(node: usize, call: u64) -> ClientRequest {
    ClientRequest {
        request: GenerateRequest {
            prompt: (0..80).map(|t| t ^ ((call as u32) << 8)).collect(),
            max_output_tokens: 6,
            session: format!("s{}", call / 3),
            call_id: call,
            ..GenerateRequest::default()
        },
        operation: call,
        idempotency: CallIdempotency::Idempotent,
        node,
        behavior: ClientBehavior {
            client_timeout: CLIENT_TIMEOUT,
            ..ClientBehavior::default()
        },
    }
}

/// Runs a plan to its end, and calls `on_episode` after each episode.
///
/// # Errors
/// [`ClusterError`] if the views do not agree in time, or a process does not start.
pub fn run_plan(
    cluster: &mut Cluster,
    plan: &Plan,
    mut on_episode: impl FnMut(&EpisodeReport),
) -> Result<Report, ClusterError> {
    let began = cluster.runtime().now();
    let joined = cluster.wait_until_agreed(AGREEMENT_TIMEOUT)?;
    let touched: BTreeSet<usize> = plan
        .episodes
        .iter()
        .flat_map(|e| e.fault.affected_processes())
        .collect();
    let load = Load::start(cluster, (0..plan.nodes).filter(|n| !touched.contains(n)));
    let mut episodes = Vec::new();
    for episode in &plan.episodes {
        let report = run_episode(cluster, &episode.fault, episode.lasts_ms)?;
        on_episode(&report);
        episodes.push(report);
    }
    load.stop(cluster);
    // By then engines have released every reservation that is ever released.
    cluster.sleep(1_000_000);
    let seconds = (cluster.runtime().now() - began) as f64 / 1e6;
    let (datagrams, bytes) = cluster.links().total_traffic();
    let node_seconds = seconds * plan.nodes as f64;
    let audit = cluster.audit();
    Ok(Report {
        plan: plan.clone(),
        episodes,
        joined_ms: joined / 1_000,
        datagrams_s: datagrams as f64 / node_seconds,
        bytes_s: bytes as f64 / node_seconds,
        misdirected_datagrams: cluster.links().misdirected_datagrams(),
        calls: (
            load.made.load(Ordering::SeqCst),
            load.served.load(Ordering::SeqCst),
        ),
        rules_satisfied: audit.rules_passed(),
        violations: audit.violations(),
    })
}

/// Returns how often running nodes logged the death of one of the given nodes.
fn deaths(cluster: &Cluster, of: &BTreeSet<usize>) -> usize {
    let running = cluster.running();
    let named = |n: &usize| format!("{:016x}", id(*n));
    let names: Vec<String> = of.iter().map(named).collect();
    let logged_deaths = |node: &usize| {
        let process = cluster.process(*node);
        let of_one = |name: &String| {
            process.map_or(0, |p| {
                p.count_log_lines(&[
                    "peer state changed",
                    &format!("\"peer\":\"{name}\""),
                    "\"is\":\"dead\"",
                ])
            })
        };
        names.iter().map(of_one).sum::<usize>()
    };
    running.iter().map(logged_deaths).sum()
}

fn run_episode(
    cluster: &mut Cluster,
    fault: &ClusterFault,
    lasts_ms: u64,
) -> Result<EpisodeReport, ClusterError> {
    let all: Vec<usize> = (0..cluster.size.nodes).collect();
    let hit: BTreeSet<usize> = fault.affected_processes().into_iter().collect();
    let surviving: BTreeSet<usize> = match fault {
        // Nodes that are only paused must not be declared dead either.
        ClusterFault::Pause(_) => all.iter().copied().collect(),
        _ => all.iter().copied().filter(|n| !hit.contains(n)).collect(),
    };
    let before = deaths(cluster, &surviving);
    let links = cluster.links().clone();
    let node = |n: usize| End::Node(n);
    let cut = LinkFault {
        cut: true,
        ..LinkFault::default()
    };
    let mut known_ms = None;
    let mut miscounts = Vec::new();
    match fault {
        ClusterFault::Kill(nodes) => {
            nodes.iter().for_each(|n| cluster.kill_node(*n));
            known_ms = Some(cluster.wait_until_agreed(AGREEMENT_TIMEOUT)? / 1_000);
        }
        ClusterFault::RollingRestart(nodes) => {
            for n in nodes {
                if !cluster.terminate_node(*n) {
                    miscounts.push(format!("node {n} did not exit with success"));
                }
                cluster.start_node(*n)?;
            }
        }
        ClusterFault::Pause(nodes) => nodes.iter().for_each(|n| cluster.set_paused(*n, true)),
        ClusterFault::Partition(groups) => {
            for (i, some) in groups.iter().enumerate() {
                groups[i + 1..]
                    .iter()
                    .for_each(|others| links.set_partition(some, others));
            }
        }
        ClusterFault::OutboundCut(nodes) | ClusterFault::InboundCut(nodes) => {
            let outbound = matches!(fault, ClusterFault::OutboundCut(_));
            for (n, other) in nodes.iter().flat_map(|n| all.iter().map(move |o| (*n, *o))) {
                let (from, to) = if outbound { (n, other) } else { (other, n) };
                links.set(node(from), node(to), cut);
            }
        }
        ClusterFault::LinkCut(from, to) | ClusterFault::LinkFlap(from, to, _) => {
            links.set(node(*from), node(*to), cut)
        }
        ClusterFault::AllLinks(fault) => links.set_between_all_nodes(*fault),
        ClusterFault::NodeLinks(n, fault) => {
            for other in &all {
                links.set(node(*n), node(*other), *fault);
                links.set(node(*other), node(*n), *fault);
            }
        }
        ClusterFault::StoreCut(nodes) => {
            for n in nodes {
                links.set(node(*n), End::Store, cut);
                links.set(End::Store, node(*n), cut);
            }
        }
    }
    let began = cluster.runtime().now();
    let (mut on, mut changed_at) = (true, began);
    while cluster.runtime().now() < began + lasts_ms * 1_000 {
        let now = cluster.runtime().now();
        if let ClusterFault::LinkFlap(from, to, each) = fault {
            if now >= changed_at + each * 1_000 {
                (on, changed_at) = (!on, now);
                links.set(
                    node(*from),
                    node(*to),
                    LinkFault {
                        cut: on,
                        ..LinkFault::default()
                    },
                );
            }
        }
        // The counts must be right at every moment, including during the fault.
        let views = cluster.views();
        miscounts.extend(cluster.miscounts(&views));
        cluster.sleep(20_000);
    }
    links.clear_faults();
    for n in &hit {
        match fault {
            ClusterFault::Kill(_) => cluster.start_node(*n)?,
            ClusterFault::Pause(_) => cluster.set_paused(*n, false),
            _ => {}
        }
    }
    let agreed = cluster.wait_until_agreed(AGREEMENT_TIMEOUT)?;
    let views = cluster.views();
    miscounts.extend(cluster.miscounts(&views));
    miscounts.dedup();
    miscounts.truncate(8);
    let false_deaths = match fault.forbids_false_deaths(lasts_ms) {
        true => deaths(cluster, &surviving).saturating_sub(before),
        false => 0,
    };
    Ok(EpisodeReport {
        fault: fault.clone(),
        lasted_ms: lasts_ms,
        converged_ms: agreed / 1_000,
        detected_ms: known_ms,
        false_deaths,
        miscounts,
    })
}
