//! Fault plans for a cluster of processes: consecutive episodes, drawn from a seed or read from a file.

use crate::cluster::links::LinkFault;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// The limits on a plan's nodes, its episodes and the seconds of an episode.
const LIMITS: (usize, usize, u64) = (300, 1_000, 600);

/// A fault plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed that the plan was drawn from. It also seeds the random choices of links and load.
    pub seed: u64,
    /// The number of node processes.
    pub nodes: usize,
    /// The episodes. Each begins when all views agree after the previous one.
    pub episodes: Vec<Episode>,
}

/// A fault and its duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Episode {
    /// The fault.
    pub fault: ClusterFault,
    /// The fault's duration, in milliseconds.
    pub lasts_ms: u64,
}

/// A fault of nodes or links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClusterFault {
    /// Processes are killed, and started again with the same names at the end.
    Kill(Vec<usize>),
    /// Processes are terminated one after the other, and each is started again before the next.
    #[serde(rename = "roll")]
    RollingRestart(Vec<usize>),
    /// Processes are paused, and resumed at the end.
    #[serde(rename = "stop")]
    Pause(Vec<usize>),
    /// The links between groups are cut in both directions.
    #[serde(rename = "split")]
    Partition(Vec<Vec<usize>>),
    /// No message from these nodes reaches another node, but messages to them arrive.
    #[serde(rename = "mute")]
    OutboundCut(Vec<usize>),
    /// No message reaches these nodes, but messages from them arrive.
    #[serde(rename = "deaf")]
    InboundCut(Vec<usize>),
    /// One directed link is cut.
    #[serde(rename = "link")]
    LinkCut(usize, usize),
    /// All links between nodes have a fault.
    #[serde(rename = "everywhere")]
    AllLinks(LinkFault),
    /// All links to and from a node have a fault.
    #[serde(rename = "around")]
    NodeLinks(usize, LinkFault),
    /// A directed link is cut and restored repeatedly, with the given number of milliseconds for each state.
    #[serde(rename = "flap")]
    LinkFlap(usize, usize, u64),
    /// The links between the store and these nodes are cut in both directions.
    #[serde(rename = "no_store")]
    StoreCut(Vec<usize>),
}

/// Why a plan is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The text is not JSON of a plan.
    #[error("the plan cannot be read: {0}")]
    Malformed(String),
    /// The plan exceeds a limit, or names a node that it does not have.
    #[error("{0}")]
    Bounds(String),
}

impl Plan {
    /// Parses a plan from JSON and checks it.
    ///
    /// # Errors
    /// [`PlanError`] if the text is malformed or the plan exceeds a limit.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan =
            serde_json::from_str(text).map_err(|e| PlanError::Malformed(e.to_string()))?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks the plan against the limits and its own number of nodes.
    ///
    /// # Errors
    /// [`PlanError::Bounds`] for the first violation.
    pub fn check(&self) -> Result<(), PlanError> {
        let bad = |what: String| Err(PlanError::Bounds(what));
        let (nodes, episodes, seconds) = LIMITS;
        if !(2..=nodes).contains(&self.nodes) {
            return bad(format!("{} nodes; must be 2 to {nodes}", self.nodes));
        }
        if self.episodes.len() > episodes {
            return bad(format!(
                "{} episodes; {episodes} at most",
                self.episodes.len()
            ));
        }
        for (i, episode) in self.episodes.iter().enumerate() {
            if episode.lasts_ms > seconds * 1_000 {
                return bad(format!(
                    "episode {i} lasts {} ms; {seconds} s at most",
                    episode.lasts_ms
                ));
            }
            if let Some(node) = episode.fault.nodes().into_iter().find(|n| *n >= self.nodes) {
                return bad(format!(
                    "episode {i} names node {node}; they are 0 to {}",
                    self.nodes - 1
                ));
            }
            if let ClusterFault::AllLinks(f) | ClusterFault::NodeLinks(_, f) = &episode.fault {
                if !(0.0..=1.0).contains(&f.lose) || !(0.0..=1.0).contains(&f.repeat) {
                    return bad(format!(
                        "episode {i}: lose and repeat are parts from 0 to 1"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Draws a plan with the given number of episodes. Every kind of fault is drawn once, in random order, before any is drawn
    /// again.
    pub fn draw(seed: u64, nodes: usize, episodes: usize) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut kinds: Vec<usize> = Vec::new();
        let mut drawn = Vec::new();
        while drawn.len() < episodes {
            if kinds.is_empty() {
                kinds = (0..KIND_COUNT).collect();
                kinds.shuffle(&mut random);
            }
            let Some(kind) = kinds.pop() else { break };
            drawn.push(episode(kind, nodes, &mut random));
        }
        Plan {
            seed,
            nodes,
            episodes: drawn,
        }
    }
}

const KIND_COUNT: usize = 12;

fn sample(random: &mut SmallRng, nodes: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(random);
    all.truncate(count.clamp(1, nodes));
    all
}

fn episode(kind: usize, nodes: usize, random: &mut SmallRng) -> Episode {
    // The last fifth of the processes are never paused or ended, because clients call them during the whole run.
    let affected = nodes - (nodes / 5).max(1);
    let one = |random: &mut SmallRng| random.random_range(0..affected);
    let mut ms = |from: u64, to: u64| random.random_range(from..=to);
    let (short, long) = (ms(500, 1_800), ms(4_000, 8_000));
    let groups = |random: &mut SmallRng, count: usize| {
        let all = sample(random, nodes, nodes);
        (0..count)
            .map(|g| all.iter().copied().skip(g).step_by(count).collect())
            .collect::<Vec<Vec<usize>>>()
    };
    let (fault, lasts_ms) = match kind {
        0 => (ClusterFault::Kill(vec![one(random)]), long),
        1 => (
            ClusterFault::Kill(sample(random, affected, nodes * 7 / 10)),
            long,
        ),
        2 => (
            ClusterFault::RollingRestart(sample(random, affected, affected.min(8))),
            0,
        ),
        3 => (ClusterFault::Pause(vec![one(random)]), short),
        4 => (
            ClusterFault::Pause(sample(random, affected, nodes / 2)),
            long,
        ),
        5 => (ClusterFault::Partition(groups(random, 2)), long),
        6 => (ClusterFault::Partition(groups(random, 3.min(nodes))), long),
        7 => (ClusterFault::OutboundCut(vec![one(random)]), long),
        8 => (ClusterFault::InboundCut(vec![one(random)]), long),
        9 => {
            let pair = sample(random, nodes, 2);
            (ClusterFault::LinkCut(pair[0], pair[1]), long)
        }
        10 => {
            let fault = LinkFault {
                lose: 0.2,
                repeat: 0.2,
                jitter_ms: 20,
                ..LinkFault::default()
            };
            (ClusterFault::AllLinks(fault), long)
        }
        _ => (
            ClusterFault::NodeLinks(
                one(random),
                LinkFault {
                    lose: 0.6,
                    ..LinkFault::default()
                },
            ),
            long,
        ),
    };
    Episode { fault, lasts_ms }
}

impl ClusterFault {
    /// Returns the nodes that the fault names.
    pub fn nodes(&self) -> Vec<usize> {
        match self {
            ClusterFault::Kill(n)
            | ClusterFault::RollingRestart(n)
            | ClusterFault::Pause(n)
            | ClusterFault::OutboundCut(n)
            | ClusterFault::InboundCut(n) => n.clone(),
            ClusterFault::StoreCut(n) => n.clone(),
            ClusterFault::Partition(groups) => groups.concat(),
            ClusterFault::LinkCut(a, b) | ClusterFault::LinkFlap(a, b, _) => vec![*a, *b],
            ClusterFault::AllLinks(_) => vec![],
            ClusterFault::NodeLinks(node, _) => vec![*node],
        }
    }
    /// Returns the nodes whose processes the fault pauses or ends.
    pub fn affected_processes(&self) -> Vec<usize> {
        match self {
            ClusterFault::Kill(n) | ClusterFault::RollingRestart(n) | ClusterFault::Pause(n) => {
                n.clone()
            }
            _ => vec![],
        }
    }
    /// Returns whether no node except those that are killed may be declared dead during the fault, because it silences no node
    /// for long, or because other nodes still receive messages from the node that is cut off.
    pub fn forbids_false_deaths(&self, lasts_ms: u64) -> bool {
        match self {
            ClusterFault::Pause(_) => lasts_ms < 2_000,
            ClusterFault::Partition(_) | ClusterFault::OutboundCut(_) => false,
            // A node that receives no messages may declare the other nodes dead, although they are not.
            ClusterFault::InboundCut(_) => false,
            _ => true,
        }
    }
}

#[cfg(test)]
mod tests;
