//! Runs a node on the platform (`ivywardd platform`): one thread and one listener, set up by the platform's configuration
//! file.

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

/// The subcommand that runs a platform node. It must be the first argument.
pub const COMMAND: &str = "platform";
/// Maximum number of times that a reload reads the configuration; the file may be incomplete while it is being written.
const RELOAD_ATTEMPTS: u32 = 15;
/// Delay between two attempts of a reload, in microseconds.
const RELOAD_RETRY_DELAY: u64 = 200_000;
/// Time between the stop of the service and the end of the process, in microseconds, in which the last responses are
/// written to their clients.
const FINAL_WRITE_WINDOW: u64 = 20_000;

/// A router node on the platform, which speaks HTTP/1.1 to clients, engines and discovery.
#[derive(Parser, Debug)]
#[command(name = "ivywardd platform", version, max_term_width = 110)]
struct Flags {
    /// The platform's configuration file: addresses, limits, settings and the last known list of engines.
    #[arg(long, env = "BALANCER_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// Filter of the log on standard error, in the syntax of RUST_LOG.
    #[arg(long, env = "IVYWARD_LOG", default_value = "info,ivyward::module=info")]
    log: String,
    /// Checks the configuration, prints the result and exits without starting the node.
    #[arg(long)]
    check: bool,
}

/// Runs a platform node until SIGTERM or SIGINT. `args` begin with the subcommand.
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
    // Installed first, because a signal that arrives before its handler is installed terminates the process.
    let mut signals = SignalListener::install()?;
    logging::init(&flags.log, LogFormat::Text { colours: false })?;
    let config = Config::read(&flags.config)?;
    if flags.check {
        println!(
            "configuration is valid: {} classes, {:?}",
            config.deployment.classes.len(),
            config.bounds
        );
        return Ok(());
    }
    let smol = SmolRuntime::start(1, config.node.seed);
    let runtime: RuntimeRef = smol.clone();
    smol.block_on(async {
        let service = Service::start(runtime.clone(), config).await?;
        // Scripts and tests wait for this line and read the address from it.
        println!("listening on {}", service.address());
        let mut handler = SignalHandler {
            signals: &mut signals,
            flags,
            service: &service,
            runtime: &runtime,
            reload_requested: false,
        };
        handler.until_stop_signal().await;
        or(service.stop(), handler.while_stopping()).await;
        runtime.sleep(FINAL_WRITE_WINDOW).await;
        Ok::<(), DaemonError>(())
    })?;
    smol.stop();
    Ok(())
}

/// Applies signals to a running service.
struct SignalHandler<'a> {
    signals: &'a mut SignalListener,
    flags: &'a Flags,
    service: &'a Service,
    runtime: &'a RuntimeRef,
    /// SIGHUP was received, and the configuration has not been applied since.
    reload_requested: bool,
}

impl SignalHandler<'_> {
    /// Reloads the configuration at SIGHUP until SIGTERM or SIGINT. A signal interrupts the reload that an earlier SIGHUP
    /// started, so that retries for an unreadable configuration do not delay the shutdown.
    async fn until_stop_signal(&mut self) {
        loop {
            let requested = &mut self.reload_requested;
            let reloading = async {
                if *requested {
                    reload(self.flags, self.service, self.runtime).await;
                    *requested = false;
                }
                std::future::pending().await
            };
            match or(self.signals.next(self.runtime), reloading).await {
                SignalRequest::Reload => self.reload_requested = true,
                SignalRequest::Stop => return,
            }
        }
    }

    /// Reloads the configuration at SIGHUP, also one that the stop signal interrupted: a stopping node still sends to engines,
    /// and follows discovery to learn of drains. Further stop signals change nothing. Never returns.
    async fn while_stopping(&mut self) {
        loop {
            self.until_stop_signal().await;
        }
    }
}

/// Reads the configuration again and applies it. A file that cannot be read may be half written, so it is read again a few
/// times; if all attempts fail, the current configuration stays.
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
        runtime.sleep(RELOAD_RETRY_DELAY).await;
    }
    error!("configuration reload failed, keeping the current one");
}
