//! `replay-record`: a recording against a fresh router.

use super::CommandResult;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct ReplayRecord {
    /// The recording.
    file: PathBuf,
}

impl ReplayRecord {
    pub fn run(self) -> CommandResult {
        let file =
            File::open(&self.file).map_err(|error| format!("{}: {error}", self.file.display()))?;
        let summary = ivyward::recording::replay(BufReader::new(file))?;
        let cut = match summary.truncated {
            true => "; the recording ends inside an entry",
            false => "",
        };
        println!(
            "{} events, {} actions, all as recorded{cut}",
            summary.events, summary.actions
        );
        Ok(ExitCode::SUCCESS)
    }
}
