//! Fault plans for load runs: the start, duration and severity of each fault, drawn from a seed or read from a scenario
//! file.

use ivyward::core::interface::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Kinds of faults. Their serialized names are those of scenario files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Engines crash and restart with empty caches.
    Crash,
    /// Engines accept work and never answer; their sockets stay open.
    Hang,
    /// Engines work more slowly by a factor.
    Slow,
    /// Engines pause for a moment, repeatedly.
    Pauses,
    /// Clients send more requests than usual.
    Burst,
    /// Many new sessions share one long prefix that no engine has cached.
    HotKey,
    /// Some prompts are many times as long as usual.
    HeavyTail,
    /// Nodes receive changes to the list of engines with a longer delay.
    DiscoveryStale,
    /// A node is killed, and started again at the end.
    BalancerCrash,
    /// Links between engines are slow.
    OriginSlow,
    /// Clients disconnect before their answer.
    GiveUp,
    /// Clients retry without a limit.
    RetryAbuse,
    /// Engines do their work, and the answer is lost or reset.
    AnswerLost,
    /// Engines become slower, then crash.
    Ageing,
    /// Engines drain, stop and restart with empty caches.
    Drain,
    /// Engines refuse streams, reject calls, and send malformed answers.
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
    /// Returns the kind's name in scenario files.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
    /// Returns the kind with a name.
    ///
    /// # Errors
    /// An error message that lists the names.
    pub fn named(name: &str) -> Result<FaultKind, String> {
        let names = || ALL.map(FaultKind::name).join(", ");
        ALL.into_iter()
            .find(|fault| fault.name() == name)
            .ok_or_else(|| {
                format!(
                    "unknown kind of fault {name:?}; expected one of {}",
                    names()
                )
            })
    }
}

/// A fault with its time, duration and severity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins, in microseconds from the start of the run.
    pub at: Micros,
    /// The fault's duration, in microseconds.
    pub len: Micros,
    /// The fault's severity, from 0 to 1.
    pub size: f64,
}

/// A fault plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// The time during which requests arrive, in microseconds.
    pub length: Micros,
    /// The faults, in the order of their start times.
    #[serde(rename = "spells")]
    pub faults: Vec<ScheduledFault>,
}

/// Why a scenario file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file is not valid JSON of a scenario.
    #[error("the scenario file is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The scenario has a length of 0.
    #[error("the scenario file's length is 0")]
    Empty,
}

#[derive(Deserialize)]
struct ScenarioFile {
    length: Micros,
    #[serde(default, rename = "troubles")]
    faults: Vec<ScenarioFault>,
}

#[derive(Deserialize)]
struct ScenarioFault {
    kind: String,
    at: Micros,
    len: Micros,
    #[serde(default)]
    size: f64,
}

impl Plan {
    /// Draws a plan with one fault of each of `kinds`, or of all kinds if `kinds` is empty. Faults overlap: each begins in the
    /// first two thirds of the run and lasts from a tenth to a third of it.
    pub fn draw(seed: u64, length: Micros, kinds: &[FaultKind]) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let kinds = if kinds.is_empty() { &ALL } else { kinds };
        let fault = |kind: &FaultKind| {
            let at = (length as f64 * random.random_range(0.05..0.65)) as Micros;
            let len = (length as f64 * random.random_range(0.10..0.33)) as Micros;
            ScheduledFault {
                kind: *kind,
                at,
                len,
                size: random.random_range(0.2..1.0),
            }
        };
        let mut faults: Vec<ScheduledFault> = kinds.iter().map(fault).collect();
        faults.sort_by_key(|s| s.at);
        Plan {
            seed,
            length,
            faults,
        }
    }

    /// Reads a plan from a scenario file and scales its times to another length. The second value names the file's kinds of
    /// faults that are not known here.
    ///
    /// # Errors
    /// [`ScenarioFileError`] if the text is not a scenario.
    pub fn from_scenario_file(
        text: &str,
        seed: u64,
        length: Micros,
    ) -> Result<(Plan, Vec<String>), ScenarioFileError> {
        let scenario: ScenarioFile = serde_json::from_str(text)?;
        if scenario.length == 0 {
            return Err(ScenarioFileError::Empty);
        }
        let scale =
            |duration: Micros| (duration as f64 / scenario.length as f64 * length as f64) as Micros;
        let (mut faults, mut unknown) = (Vec::new(), Vec::new());
        for fault in &scenario.faults {
            match FaultKind::named(&fault.kind) {
                // In the file, a size is a probability, a factor or a duration, depending on the kind. It is mapped to a
                // severity, relative to what a test machine can handle.
                Ok(kind) => {
                    let size = (fault.size / (1.0 + fault.size)).clamp(0.2, 1.0);
                    faults.push(ScheduledFault {
                        kind,
                        at: scale(fault.at),
                        len: scale(fault.len),
                        size,
                    });
                }
                Err(_) => unknown.push(fault.kind.clone()),
            }
        }
        faults.sort_by_key(|s| s.at);
        Ok((
            Plan {
                seed,
                length,
                faults,
            },
            unknown,
        ))
    }

    /// Returns the fault of a kind that is in progress at a time, in microseconds from the start of the run.
    pub fn active_fault(&self, kind: FaultKind, at: Micros) -> Option<&ScheduledFault> {
        self.faults
            .iter()
            .find(|s| s.kind == kind && (s.at..s.at + s.len).contains(&at))
    }
}

#[cfg(test)]
mod tests;
