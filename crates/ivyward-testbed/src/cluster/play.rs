//! Plays a plan on a rig under a load, and reports what came of it.

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

/// Views that do not agree so long after a fault ended will not.
const MOST_HEALING: Micros = 120_000_000;
/// A client's patience, its least pause between two calls, and how many calls a second all of them make at most: what this
/// machine's lateness adds to the way is to stay under what the auditor allows.
const PATIENCE: Micros = 5_000_000;
const PAUSE: Micros = 100_000;
const CALLS_S: u64 = 200;

/// What came of one episode.
#[derive(Clone, Debug, Serialize)]
pub struct EpisodeReport {
    /// What was wrong.
    pub fault: ClusterFault,
    /// For so long.
    pub lasted_ms: u64,
    /// Milliseconds from its end until all views agreed.
    #[serde(rename = "agreed_ms")]
    pub converged_ms: u64,
    /// Milliseconds until all survivors knew of a kill, where there was one.
    #[serde(rename = "known_ms")]
    pub detected_ms: Option<u64>,
    /// Somebody was taken for dead whose process was there, and the fault was one that is to be borne.
    pub false_deaths: usize,
    /// Counts below the number of processes that were there, in words.
    pub miscounts: Vec<String>,
}

/// What came of a plan.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The plan.
    pub plan: Plan,
    /// Its episodes.
    #[serde(rename = "came")]
    pub episodes: Vec<EpisodeReport>,
    /// Milliseconds until all knew each other at the start.
    pub joined_ms: u64,
    /// Datagrams and bytes that a node sent a second, on the mean of the whole run.
    pub datagrams_s: f64,
    /// See `datagrams_s`.
    pub bytes_s: f64,
    /// Datagrams from nobody, and those that went to their source.
    #[serde(rename = "astray")]
    pub misdirected_datagrams: (u64, u64),
    /// Calls that were made, and those that were served.
    pub calls: (u64, u64),
    /// Of the five rules, those that were kept, and what broke the others.
    #[serde(rename = "rules_kept")]
    pub rules_satisfied: usize,
    /// See `rules_kept`.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// What must not be, in words.
    pub fn failures(&self) -> Vec<String> {
        let mut wrong = self.violations.clone();
        for (i, came) in self.episodes.iter().enumerate() {
            wrong.extend(came.miscounts.iter().map(|m| format!("episode {i}: {m}")));
            if came.false_deaths > 0 {
                wrong.push(format!(
                    "episode {i}: {} false deaths under {:?}",
                    came.false_deaths, came.fault
                ));
            }
        }
        if self.misdirected_datagrams.1 > 0 {
            wrong.push(format!(
                "{} datagrams were answers to their source",
                self.misdirected_datagrams.1
            ));
        }
        wrong
    }
}

/// A load on nodes whose processes the plan leaves alone.
struct Load {
    over: Arc<AtomicBool>,
    made: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
    at_work: Arc<()>,
}

impl Load {
    fn begin(cluster: &Cluster, nodes: impl Iterator<Item = usize>) -> Load {
        let load = Load {
            over: Arc::default(),
            made: Arc::default(),
            served: Arc::default(),
            at_work: Arc::new(()),
        };
        let runtime: RuntimeRef = cluster.runtime().clone();
        let nodes: Vec<usize> = nodes.collect();
        let pause = PAUSE.max(1_000_000 * nodes.len() as Micros / CALLS_S);
        for node in nodes {
            let Some(door) = cluster.process(node).map(|p| p.client_address) else {
                continue;
            };
            let (runtime, log) = (runtime.clone(), cluster.log().clone());
            let (over, made, served) = (load.over.clone(), load.made.clone(), load.served.clone());
            let place = load.at_work.clone();
            runtime.clone().run(async move {
                // Not all in one moment.
                runtime
                    .sleep((runtime.random_f64() * 20.0 * pause as f64) as Micros)
                    .await;
                let mut client: Option<Client> = None;
                while !over.load(Ordering::SeqCst) {
                    if client.as_ref().is_none_or(|c| !c.is_usable()) {
                        client = Client::connect(&runtime, &log, door).await.ok();
                    }
                    if let Some(client) = &client {
                        let call = made.fetch_add(1, Ordering::SeqCst) + 1;
                        let end = client.send(&ask(node, call)).await;
                        served.fetch_add(
                            u64::from(end.outcome == ClientOutcome::Served),
                            Ordering::SeqCst,
                        );
                    }
                    runtime.sleep(pause).await;
                }
                drop(place);
            });
        }
        load
    }
    fn end(&self, cluster: &Cluster) {
        self.over.store(true, Ordering::SeqCst);
        while Arc::strong_count(&self.at_work) > 1 {
            cluster.sleep(10_000);
        }
    }
}

fn ask(node: usize, call: u64) -> ClientRequest {
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
            client_timeout: PATIENCE,
            ..ClientBehavior::default()
        },
    }
}

/// Plays a plan to its end.
///
/// # Errors
/// When views do not come to agree, or a process does not start.
pub fn run_plan(
    cluster: &mut Cluster,
    plan: &Plan,
    mut told: impl FnMut(&EpisodeReport),
) -> Result<Report, ClusterError> {
    let began = cluster.runtime().now();
    let joined = cluster.wait_until_agreed(MOST_HEALING)?;
    let touched: BTreeSet<usize> = plan
        .episodes
        .iter()
        .flat_map(|e| e.fault.affected_processes())
        .collect();
    let load = Load::begin(cluster, (0..plan.nodes).filter(|n| !touched.contains(n)));
    let mut came = Vec::new();
    for episode in &plan.episodes {
        let one = one(cluster, &episode.fault, episode.lasts_ms)?;
        told(&one);
        came.push(one);
    }
    load.end(cluster);
    // What engines keep for a while is let go by then, or pinned.
    cluster.sleep(1_000_000);
    let seconds = (cluster.runtime().now() - began) as f64 / 1e6;
    let (datagrams, bytes) = cluster.links().total_traffic();
    let a_node = seconds * plan.nodes as f64;
    let audit = cluster.audit();
    Ok(Report {
        plan: plan.clone(),
        episodes: came,
        joined_ms: joined / 1_000,
        datagrams_s: datagrams as f64 / a_node,
        bytes_s: bytes as f64 / a_node,
        misdirected_datagrams: cluster.links().misdirected_datagrams(),
        calls: (
            load.made.load(Ordering::SeqCst),
            load.served.load(Ordering::SeqCst),
        ),
        rules_satisfied: audit.rules_passed(),
        violations: audit.violations(),
    })
}

/// Deaths that nodes logged of those whose processes are there.
fn deaths(cluster: &Cluster, of: &BTreeSet<usize>) -> usize {
    let running = cluster.running();
    let named = |n: &usize| format!("{:016x}", id(*n));
    let names: Vec<String> = of.iter().map(named).collect();
    let said = |node: &usize| {
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
    running.iter().map(said).sum()
}

fn one(
    cluster: &mut Cluster,
    fault: &ClusterFault,
    lasts_ms: u64,
) -> Result<EpisodeReport, ClusterError> {
    let all: Vec<usize> = (0..cluster.size.nodes).collect();
    let hit: BTreeSet<usize> = fault.affected_processes().into_iter().collect();
    let spared: BTreeSet<usize> = match fault {
        // Those that only stop for a moment are to be borne as well.
        ClusterFault::Pause(_) => all.iter().copied().collect(),
        _ => all.iter().copied().filter(|n| !hit.contains(n)).collect(),
    };
    let before = deaths(cluster, &spared);
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
            known_ms = Some(cluster.wait_until_agreed(MOST_HEALING)? / 1_000);
        }
        ClusterFault::RollingRestart(nodes) => {
            for n in nodes {
                if !cluster.terminate_node(*n) {
                    miscounts.push(format!("node {n} did not end well"));
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
            let mute = matches!(fault, ClusterFault::OutboundCut(_));
            for (n, other) in nodes.iter().flat_map(|n| all.iter().map(move |o| (*n, *o))) {
                let (from, to) = if mute { (n, other) } else { (other, n) };
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
    let (mut on, mut turned) = (true, began);
    while cluster.runtime().now() < began + lasts_ms * 1_000 {
        let now = cluster.runtime().now();
        if let ClusterFault::LinkFlap(from, to, each) = fault {
            if now >= turned + each * 1_000 {
                (on, turned) = (!on, now);
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
        // Counts hold at every moment, not only where all is well.
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
    let agreed = cluster.wait_until_agreed(MOST_HEALING)?;
    let views = cluster.views();
    miscounts.extend(cluster.miscounts(&views));
    miscounts.dedup();
    miscounts.truncate(8);
    let false_deaths = match fault.forbids_false_deaths(lasts_ms) {
        true => deaths(cluster, &spared).saturating_sub(before),
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
