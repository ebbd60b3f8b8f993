//! The daemon's platform form: one thread, one listener, everything else from the platform's configuration file.

use crate::error::DaemonError;
use crate::logging::{self, LogFormat};
use crate::signals::{SignalListener, SignalRequest};
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
/// A configuration that cannot be read at SIGHUP is tried so often, with this pause in microseconds.
const RELOAD_ATTEMPTS: u32 = 15;
const RELOAD_PAUSE: u64 = 200_000;
/// Time in microseconds for the last responses to reach their clients.
const LAST_RESPONSES: u64 = 20_000;

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
        Err(error) => {
            eprintln!("ivywardd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &Flags) -> Result<(), DaemonError> {
    // Before anything else: a signal without its handler ends the program.
    let mut signals = SignalListener::install()?;
    logging::init(&flags.log, LogFormat::Text { colours: false })?;
    let config = Config::read(&flags.config)?;
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
        let mut service = Service::start(runtime.clone(), config).await?;
        // Scripts wait for this line.
        println!("listening on {}", service.address());
        serve_until_stopped(&mut signals, flags, &service, &runtime).await;
        service.stop().await;
        runtime.sleep(LAST_RESPONSES).await;
        Ok::<(), DaemonError>(())
    })?;
    smol.stop();
    Ok(())
}

/// Serves until SIGTERM or SIGINT. Guards against a configuration that cannot be read and holds up a shutdown: a signal
/// interrupts the reload that the one before it began.
async fn serve_until_stopped(
    signals: &mut SignalListener,
    flags: &Flags,
    service: &Service,
    runtime: &RuntimeRef,
) {
    let mut reload_requested = false;
    loop {
        let reloading = async {
            if reload_requested {
                reload(flags, service, runtime).await;
            }
            std::future::pending().await
        };
        match or(signals.next(runtime), reloading).await {
            SignalRequest::Reload => reload_requested = true,
            SignalRequest::Stop => return,
        }
    }
}

/// Reads the configuration again. One that cannot be read changes nothing; it may be half written, so it is retried.
async fn reload(flags: &Flags, service: &Service, runtime: &RuntimeRef) {
    for attempt in 0..RELOAD_ATTEMPTS {
        match Config::read(&flags.config) {
            Ok(config) => {
                service.reload(&config);
                info!("configuration reloaded");
                return;
            }
            Err(error) if attempt == 0 => {
                error!(%error, "configuration reload failed, will retry");
            }
            Err(_) => {}
        }
        runtime.sleep(RELOAD_PAUSE).await;
    }
    error!("configuration reload failed, keeping the current one");
}
