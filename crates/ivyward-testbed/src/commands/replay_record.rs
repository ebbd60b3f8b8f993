//! `replay-record`: replays a node's recording into a new router and compares the actions.

use super::CommandResult;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct ReplayRecord {
    /// Path of the recording.
    file: PathBuf,
}

impl ReplayRecord {
    pub fn run(self) -> CommandResult {
        let file =
            File::open(&self.file).map_err(|error| format!("{}: {error}", self.file.display()))?;
        let summary = ivyward::recording::replay(BufReader::new(file))?;
        let truncated = match summary.truncated {
            true => "; the recording ends inside an entry",
            false => "",
        };
        println!(
            "{} events, {} actions, all as recorded{truncated}",
            summary.events, summary.actions
        );
        Ok(ExitCode::SUCCESS)
    }
}
