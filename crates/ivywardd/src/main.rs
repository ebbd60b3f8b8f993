//! The ivyward daemon: flags, logs, signals and sockets around the library.
//!
//! - `flags`: the command line and the environment.
//! - `grpc_node`: a node that speaks gRPC; `platform`: a node on the platform, by its configuration file.
//! - `signals`: SIGTERM, SIGINT and SIGHUP; `logging`: logs on standard error; `error`: why the daemon ends.

mod error;
mod flags;
mod grpc_node;
mod logging;
mod platform;
mod signals;

use flags::FlagsError;
use std::process::ExitCode;

fn main() -> ExitCode {
    let subcommand = std::env::args_os().nth(1);
    if subcommand.is_some_and(|first| first == platform::COMMAND) {
        return platform::main(std::env::args_os().skip(1));
    }
    let start = match flags::read(std::env::args_os()) {
        Ok(start) => start,
        Err(FlagsError::Page(page)) => {
            print!("{page}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("ivywardd: {error}");
            return ExitCode::FAILURE;
        }
    };
    if start.flags.check {
        println!(
            "the settings hold: {} engines, {} classes",
            start.flags.servers.len(),
            start.settings.classes.len()
        );
        return ExitCode::SUCCESS;
    }
    match grpc_node::run(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivywardd: {error}");
            ExitCode::FAILURE
        }
    }
}
