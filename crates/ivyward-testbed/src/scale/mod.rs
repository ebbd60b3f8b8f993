//! A scale run: hollow nodes and engines, which speak all control traffic of real ones without requests, beside real
//! daemons with requests through them; and what each role uses meanwhile.
//!
//! - [`size`]: how large a run is, and the bounds that it is held to.
//! - [`usage`]: what a process uses, by /proc and by its own counters.
//! - [`message`]: what a run says to its hollow processes.
//! - [`stub`]: the hollow processes themselves.
//! - [`stub_process`]: a hollow process, as the run holds it.
//! - [`cluster`]: all processes of a run.
//! - [`load`]: requests at a steady rate.
//! - [`run`]: the parts of a run and what came of them.
//! - [`sweep`]: one quantity varied alone.
//! - [`command`]: flags and reports.
//! - [`fit`]: slopes by least squares, and how well they predict.

pub mod cluster;
pub mod command;
pub mod fit;
pub mod load;
pub mod message;
pub mod run;
pub mod size;
pub mod stub;
pub mod stub_process;
pub mod sweep;
pub mod usage;

/// Why a run does not come about.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// It would be larger than a run may be.
    #[error("{bound}: this run would take {wanted}, at most {most} are allowed")]
    Bound {
        /// The bound's name.
        bound: &'static str,
        /// What the run would take.
        wanted: u64,
        /// What it may.
        most: u64,
    },
    /// A value that cannot be.
    #[error("--{flag} {value}: {reason}")]
    Flag {
        /// Which.
        flag: &'static str,
        /// Its value.
        value: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The system said no.
    #[error("{doing}: {error}")]
    Io {
        /// What was being done.
        doing: String,
        /// What it said.
        error: std::io::Error,
    },
    /// A hollow process or a daemon did something else than was asked of it.
    #[error("{0}")]
    Process(String),
}

impl ScaleError {
    pub(crate) fn io(doing: impl Into<String>) -> impl FnOnce(std::io::Error) -> ScaleError {
        let doing = doing.into();
        move |error| ScaleError::Io { doing, error }
    }
}
