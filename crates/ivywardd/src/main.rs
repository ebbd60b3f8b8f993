//! The ivyward daemon: sets up flags, logs, signals and sockets and runs a node of the library.
//!
//! - `flags`: the command line and the environment variables of the gRPC node.
//! - `grpc_node`: a node that speaks gRPC to clients and engines.
//! - `platform`: a node on the platform (`ivywardd platform`), set up by a configuration file.
//! - `signals`: SIGTERM, SIGINT and SIGHUP.
//! - `logging`: logs on standard error.
//! - `error`: errors that end the daemon.

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
            "settings are valid: {} engines, {} classes",
            start.flags.engines.len(),
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
