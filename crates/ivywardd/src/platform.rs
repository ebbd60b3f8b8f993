//! The daemon's platform form: one thread, one listener, everything else from the platform's configuration file.

use crate::signals::{Request, Requests};
use clap::Parser;
use futures_lite::future::or;
use ivyward::runtime::{RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward_platform::{Config, Service};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{error, info};

/// The first word on the command line that asks for this form.
pub const COMMAND: &str = "platform";
/// A file that cannot be read at SIGHUP is tried again so often, with this pause.
const RELOADS: u32 = 15;
const RELOAD_PAUSE: u64 = 200_000;

/// A node on the platform: HTTP/1.1 to clients, engines and discovery.
#[derive(Parser, Debug)]
#[command(name = "ivywardd platform", version, max_term_width = 110)]
struct Flags {
    /// The platform's configuration file: addresses, limits, settings and the list as last held.
    #[arg(long, env = "BALANCER_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// What is logged on standard error, as RUST_LOG is written.
    #[arg(long, env = "IVYWARD_LOG", default_value = "info,ivyward::module=info")]
    log: String,
    /// Only says whether the configuration holds.
    #[arg(long)]
    check: bool,
}

/// Runs a node until SIGTERM.
pub fn main(args: impl Iterator<Item = OsString>) -> ExitCode {
    match run(&Flags::parse_from(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("ivywardd: {line}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &Flags) -> Result<(), String> {
    // Before anything else: a signal without its handler ends the program.
    let mut requests = Requests::listen()?;
    crate::logs(&flags.log, "text", false)?;
    let config = Config::read(&flags.config).map_err(|e| e.to_string())?;
    if flags.check {
        println!(
            "the configuration holds: {} classes, {:?}",
            config.deployment.classes.len(),
            config.bounds
        );
        return Ok(());
    }
    let smol = SmolRuntime::start(1, config.node.seed);
    let runtime: RuntimeRef = smol.clone();
    smol.block_on(async {
        let mut service = Service::start(runtime.clone(), config)
            .await
            .map_err(|e| e.to_string())?;
        // Scripts wait for this line.
        println!("listening on {}", service.address());
        until_told_to_end(&mut requests, flags, &service, &runtime).await;
        service.stop().await;
        // The last answers are on their way to their clients.
        runtime.sleep(20_000).await;
        Ok::<(), String>(())
    })?;
    smol.stop();
    Ok(())
}

/// Serves until SIGTERM or SIGINT comes. Guards against a file that cannot be read holding up the word to end: a
/// signal goes before the reading of the one before it.
async fn until_told_to_end(
    requests: &mut Requests,
    flags: &Flags,
    service: &Service,
    runtime: &RuntimeRef,
) {
    let mut told_to_reload = false;
    loop {
        let reloading = async {
            if told_to_reload {
                reload(flags, service, runtime).await;
            }
            std::future::pending().await
        };
        match or(requests.next(runtime), reloading).await {
            Request::Reload => told_to_reload = true,
            Request::Stop => return,
        }
    }
}

/// Reads the file again. One that cannot be read changes nothing; it may be half written, so it is tried again.
async fn reload(flags: &Flags, service: &Service, runtime: &RuntimeRef) {
    for again in 0..RELOADS {
        match Config::read(&flags.config) {
            Ok(config) => {
                service.reload(&config);
                info!("the configuration was read again");
                return;
            }
            Err(e) if again == 0 => error!("nothing is taken over yet: {e}"),
            Err(_) => {}
        }
        runtime.sleep(RELOAD_PAUSE).await;
    }
    error!("the configuration could not be read; everything stays as it was");
}
