//! Scale runs: measure what each role of a deployment uses. Stub nodes and engines exchange all the control traffic of
//! real ones but serve no requests; real daemons beside them serve requests.
//!
//! - [`size`]: the size of a run and its upper limits.
//! - [`usage`]: resource use of a process, from /proc and from its own counters.
//! - [`message`]: messages between a run and its stub processes.
//! - [`stub`]: the program that runs in a stub process.
//! - [`stub_process`]: the run's handle of a stub process.
//! - [`cluster`]: starts and controls all processes of a run.
//! - [`load`]: sends requests at a constant rate.
//! - [`run`]: the parts of a run and their results.
//! - [`sweep`]: varies one quantity and measures at several sizes.
//! - [`command`]: flags and text reports of the `scale` subcommand.
//! - [`fit`]: least-squares lines and their prediction errors.

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

/// Why a scale run failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The run would exceed one of its upper limits.
    #[error("{bound}: this run would need {wanted}; at most {max} are allowed")]
    Bound {
        /// Name of the limit.
        bound: &'static str,
        /// How much the run would need.
        wanted: u64,
        /// The limit.
        max: u64,
    },
    /// The value of a flag is invalid.
    #[error("--{flag} {value}: {reason}")]
    Flag {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// The invalid value.
        value: u64,
        /// Why the value is invalid.
        reason: &'static str,
    },
    /// An operation of the operating system failed.
    #[error("{doing}: {error}")]
    Io {
        /// The operation that failed.
        doing: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A stub process or a daemon ended, failed or gave an unexpected reply.
    #[error("{0}")]
    Process(String),
}

impl ScaleError {
    pub(crate) fn io(doing: impl Into<String>) -> impl FnOnce(std::io::Error) -> ScaleError {
        let doing = doing.into();
        move |error| ScaleError::Io { doing, error }
    }
}
