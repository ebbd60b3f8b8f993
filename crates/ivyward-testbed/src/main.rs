//! Command line of the testbed: runs fault scenarios, load and measurements on loopback sockets and in virtual time.

mod commands;

use clap::Parser;
use commands::Command;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "ivyward-testbed", version, about, max_term_width = 110)]
struct Flags {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    match Flags::parse().command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ivyward-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
