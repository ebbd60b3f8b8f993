//! A day: when which trouble begins, how long it lasts and how hard it is; drawn from a seed or read from a day file.

use ivyward::core::interface::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Kinds of trouble, by the names that day files use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Engines die and come back cold.
    Crash,
    /// Engines take work and answer none; their sockets stay open.
    Hang,
    /// Engines work several times as slowly.
    Slow,
    /// Engines stand still for a moment, again and again.
    Pauses,
    /// More requests than usual.
    Burst,
    /// Many new sessions begin with one long opening that was not seen before.
    HotKey,
    /// Some prompts are many times as long.
    HeavyTail,
    /// The list of engines is further behind.
    DiscoveryStale,
    /// A node is killed and comes back.
    BalancerCrash,
    /// Links between engines are slow.
    OriginSlow,
    /// Clients leave early.
    GiveUp,
    /// Clients repeat without end.
    RetryAbuse,
    /// Work is done and its answer lost, or reset.
    AnswerLost,
    /// Engines grow slower, then crash.
    Ageing,
    /// Engines drain, end and come back cold.
    Drain,
    /// Engines refuse streams, turn away, and answer wrongly.
    Malformed,
}

/// All kinds.
pub const ALL: [FaultKind; 16] = [
    FaultKind::Crash,
    FaultKind::Hang,
    FaultKind::Slow,
    FaultKind::Pauses,
    FaultKind::Burst,
    FaultKind::HotKey,
    FaultKind::HeavyTail,
    FaultKind::DiscoveryStale,
    FaultKind::BalancerCrash,
    FaultKind::OriginSlow,
    FaultKind::GiveUp,
    FaultKind::RetryAbuse,
    FaultKind::AnswerLost,
    FaultKind::Ageing,
    FaultKind::Drain,
    FaultKind::Malformed,
];

impl FaultKind {
    /// Its name.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
    /// The kind of a name.
    ///
    /// # Errors
    /// A line that lists the names.
    pub fn named(name: &str) -> Result<FaultKind, String> {
        let names = || ALL.map(FaultKind::name).join(", ");
        ALL.into_iter()
            .find(|t| t.name() == name)
            .ok_or_else(|| format!("{name:?} is none of {}", names()))
    }
}

/// One trouble of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Its kind.
    pub kind: FaultKind,
    /// Microseconds from the day's start.
    pub at: Micros,
    /// How long it lasts.
    pub len: Micros,
    /// How hard it is, from 0 to 1.
    pub size: f64,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// How long requests arrive, in microseconds.
    pub length: Micros,
    /// Its troubles, in the order of their starts.
    #[serde(rename = "spells")]
    pub faults: Vec<ScheduledFault>,
}

/// Why a day file cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// It is no JSON of a day.
    #[error("the day file cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It has a length of nothing.
    #[error("the day file's length is 0")]
    Empty,
}

#[derive(Deserialize)]
struct ScenarioFile {
    length: Micros,
    #[serde(default)]
    troubles: Vec<DayTrouble>,
}

#[derive(Deserialize)]
struct DayTrouble {
    kind: String,
    at: Micros,
    len: Micros,
    #[serde(default)]
    size: f64,
}

impl Plan {
    /// Draws a day with these kinds of trouble, or all of them. Spells overlap: each begins in the first two thirds and
    /// lasts from a tenth to a third of the day.
    pub fn draw(seed: u64, length: Micros, kinds: &[FaultKind]) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let kinds = if kinds.is_empty() { &ALL } else { kinds };
        let spell = |kind: &FaultKind| {
            let at = (length as f64 * random.random_range(0.05..0.65)) as Micros;
            let len = (length as f64 * random.random_range(0.10..0.33)) as Micros;
            ScheduledFault {
                kind: *kind,
                at,
                len,
                size: random.random_range(0.2..1.0),
            }
        };
        let mut spells: Vec<ScheduledFault> = kinds.iter().map(spell).collect();
        spells.sort_by_key(|s| s.at);
        Plan {
            seed,
            length,
            faults: spells,
        }
    }

    /// Takes the kinds, times and sizes of trouble from a day file, scaled to another length. Kinds that are not known
    /// here are named in the second value.
    ///
    /// # Errors
    /// [`ScenarioFileError`] when the text is no day.
    pub fn from_scenario_file(
        text: &str,
        seed: u64,
        length: Micros,
    ) -> Result<(Plan, Vec<String>), ScenarioFileError> {
        let day: ScenarioFile = serde_json::from_str(text)?;
        if day.length == 0 {
            return Err(ScenarioFileError::Empty);
        }
        let scale = |span: Micros| (span as f64 / day.length as f64 * length as f64) as Micros;
        let (mut spells, mut unknown) = (Vec::new(), Vec::new());
        for t in &day.troubles {
            match FaultKind::named(&t.kind) {
                // Sizes mean shares, multiples or spans by kind; here each is a part of what this machine stands.
                Ok(kind) => {
                    let size = (t.size / (1.0 + t.size)).clamp(0.2, 1.0);
                    spells.push(ScheduledFault {
                        kind,
                        at: scale(t.at),
                        len: scale(t.len),
                        size,
                    });
                }
                Err(_) => unknown.push(t.kind.clone()),
            }
        }
        spells.sort_by_key(|s| s.at);
        Ok((
            Plan {
                seed,
                length,
                faults: spells,
            },
            unknown,
        ))
    }

    /// Whether a kind of trouble is on at a time.
    pub fn active_fault(&self, kind: FaultKind, at: Micros) -> Option<&ScheduledFault> {
        self.faults
            .iter()
            .find(|s| s.kind == kind && (s.at..s.at + s.len).contains(&at))
    }
}

#[cfg(test)]
mod tests;
