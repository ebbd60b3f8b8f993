//! What happens to a cluster: drawn from a seed or read from a file, an episode after the other.

use crate::cluster::links::LinkFault;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Most nodes, episodes and seconds of one.
const MOST: (usize, usize, u64) = (300, 1_000, 600);

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// What it was drawn from; feeds the lots of links and load as well.
    pub seed: u64,
    /// Node processes.
    pub nodes: usize,
    /// Their episodes. Each begins when all views agree after the one before.
    pub episodes: Vec<Episode>,
}

/// A fault, and for how long it lasts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Episode {
    /// What is wrong.
    pub fault: ClusterFault,
    /// Milliseconds until it is mended.
    pub lasts_ms: u64,
}

/// What is wrong with nodes or links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClusterFault {
    /// Processes are killed, and started again under their names at the end.
    Kill(Vec<usize>),
    /// Processes are asked to end, one after the other, each started again before the next.
    #[serde(rename = "roll")]
    RollingRestart(Vec<usize>),
    /// Processes are stopped, and go on at the end.
    #[serde(rename = "stop")]
    Pause(Vec<usize>),
    /// The links between groups are cut in both directions.
    #[serde(rename = "split")]
    Partition(Vec<Vec<usize>>),
    /// What these nodes send reaches nobody, while all reaches them.
    #[serde(rename = "mute")]
    OutboundCut(Vec<usize>),
    /// Nothing reaches these nodes, while what they send does.
    #[serde(rename = "deaf")]
    InboundCut(Vec<usize>),
    /// One directed link is cut.
    #[serde(rename = "link")]
    LinkCut(usize, usize),
    /// All links between nodes are so.
    #[serde(rename = "everywhere")]
    AllLinks(LinkFault),
    /// All links to and from a node are so.
    #[serde(rename = "around")]
    NodeLinks(usize, LinkFault),
    /// A link goes and comes, each for so many milliseconds.
    #[serde(rename = "flap")]
    LinkFlap(usize, usize, u64),
    /// The store cannot be reached by these.
    #[serde(rename = "no_store")]
    StoreCut(Vec<usize>),
}

/// Why a plan cannot be played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// It is no plan.
    #[error("the plan cannot be read: {0}")]
    Malformed(String),
    /// Out of bounds.
    #[error("{0}")]
    Bounds(String),
}

impl Plan {
    /// Reads one from JSON and checks it.
    ///
    /// # Errors
    /// [`PlanError`].
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan =
            serde_json::from_str(text).map_err(|e| PlanError::Malformed(e.to_string()))?;
        plan.check()?;
        Ok(plan)
    }

    /// Looks for what cannot be played.
    ///
    /// # Errors
    /// [`PlanError::Bounds`], with the first thing found.
    pub fn check(&self) -> Result<(), PlanError> {
        let bad = |what: String| Err(PlanError::Bounds(what));
        let (nodes, episodes, seconds) = MOST;
        if !(2..=nodes).contains(&self.nodes) {
            return bad(format!("{} nodes; 2 to {nodes} are played", self.nodes));
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

    /// Draws one: so many episodes, of all kinds in turn, in an order by lot.
    pub fn draw(seed: u64, nodes: usize, episodes: usize) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut kinds: Vec<usize> = Vec::new();
        let mut drawn = Vec::new();
        while drawn.len() < episodes {
            if kinds.is_empty() {
                kinds = (0..KINDS).collect();
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

const KINDS: usize = 12;

fn some(random: &mut SmallRng, nodes: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(random);
    all.truncate(count.clamp(1, nodes));
    all
}

fn episode(kind: usize, nodes: usize, random: &mut SmallRng) -> Episode {
    // The processes of the last fifth are left alone: clients call them all along.
    let ours = nodes - (nodes / 5).max(1);
    let one = |random: &mut SmallRng| random.random_range(0..ours);
    let mut ms = |from: u64, to: u64| random.random_range(from..=to);
    let (short, long) = (ms(500, 1_800), ms(4_000, 8_000));
    let groups = |random: &mut SmallRng, count: usize| {
        let all = some(random, nodes, nodes);
        (0..count)
            .map(|g| all.iter().copied().skip(g).step_by(count).collect())
            .collect::<Vec<Vec<usize>>>()
    };
    let (fault, lasts_ms) = match kind {
        0 => (ClusterFault::Kill(vec![one(random)]), long),
        1 => (ClusterFault::Kill(some(random, ours, nodes * 7 / 10)), long),
        2 => (
            ClusterFault::RollingRestart(some(random, ours, ours.min(8))),
            0,
        ),
        3 => (ClusterFault::Pause(vec![one(random)]), short),
        4 => (ClusterFault::Pause(some(random, ours, nodes / 2)), long),
        5 => (ClusterFault::Partition(groups(random, 2)), long),
        6 => (ClusterFault::Partition(groups(random, 3.min(nodes))), long),
        7 => (ClusterFault::OutboundCut(vec![one(random)]), long),
        8 => (ClusterFault::InboundCut(vec![one(random)]), long),
        9 => {
            let pair = some(random, nodes, 2);
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
    /// Nodes that it names.
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
    /// Nodes whose processes it stops or ends.
    pub fn affected_processes(&self) -> Vec<usize> {
        match self {
            ClusterFault::Kill(n) | ClusterFault::RollingRestart(n) | ClusterFault::Pause(n) => {
                n.clone()
            }
            _ => vec![],
        }
    }
    /// Whether nobody may be taken for dead during it but those that are killed: no silence that it makes is long, or
    /// others hear who is cut off.
    pub fn forbids_false_deaths(&self, lasts_ms: u64) -> bool {
        match self {
            ClusterFault::Pause(_) => lasts_ms < 2_000,
            ClusterFault::Partition(_) | ClusterFault::OutboundCut(_) => false,
            // Whoever hears nobody may come to take others for dead, who do not take it so.
            ClusterFault::InboundCut(_) => false,
            _ => true,
        }
    }
}

#[cfg(test)]
mod tests;
