//! Runs a node that speaks gRPC to clients and engines and is set up by flags.

use crate::error::DaemonError;
use crate::flags::{self, Flags, FlagsError, Start};
use crate::logging::{self, LogFormat};
use crate::signals::{SignalListener, SignalRequest};
use futures_lite::future::or;
use ivyward::core::interface::ListKind;
use ivyward::runtime::{Listener, Runtime, RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward::Node;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use tracing::{error, info, warn};

/// Size of the write buffer of a recording, in bytes.
const RECORDING_BUFFER_SIZE: usize = 64 << 10;
/// Interval at which a recording is flushed to its file, in microseconds.
const FLUSH_INTERVAL: u64 = 1_000_000;

/// Runs a node until SIGTERM or SIGINT, then lets open requests finish for at most `--stop-within`.
///
/// # Errors
/// When the node cannot be set up.
pub fn run(mut start: Start) -> Result<(), DaemonError> {
    logging::init(&start.flags.log, log_format(&start.flags))?;
    let mut signals = SignalListener::install()?;
    let threads = threads(&start.flags);
    // The runtime gets its own seed even if `--seed` is given. Nodes that are given the same seed would otherwise take the
    // same incarnation, and engines could not tell them apart.
    let process_seed = u64::from(std::process::id()) << 32 ^ unix_micros();
    let seed = start.flags.seed.unwrap_or(process_seed);
    start.settings.seed = seed;
    let smol = SmolRuntime::start(threads, process_seed);
    let runtime: RuntimeRef = smol.clone();
    let recording = start.flags.record.as_deref().map(create_recording);
    let recording = recording.transpose()?;
    let is_recording = recording.is_some();
    let node = Node::start(runtime.clone(), start.settings.clone(), recording)?;
    let flags = &start.flags;
    start_membership(&smol, &node, flags)?;
    let listener = listen(&runtime, "--listen", flags.listen)?;
    let address = listener.address();
    if let Some(admin_address) = flags.admin {
        let admin = listen(&runtime, "--admin", admin_address)?;
        info!(address = %admin.address(), "admin server started");
        let node = node.clone();
        runtime.run(async move { node.serve_admin(admin).await });
    }
    let serving = node.clone();
    runtime.run(async move { serving.serve(listener).await });
    // Scripts and tests wait for this line and read the address from it.
    println!("listening on {address}");
    let run = format!("{:x}", node.incarnation());
    info!(%address, engines = flags.engines.len(), threads, seed, run, "taking requests");
    smol.block_on(async {
        let until_stop_signal =
            serve_until_stopped(&mut signals, &node, &runtime, flags, is_recording);
        until_stop_signal.await;
        info!(
            open = node.open_requests(),
            within_us = flags.stop_timeout,
            "stopping"
        );
        // A stopping node still sends to engines, so it learns of a new list. Further stop signals change nothing.
        let while_stopping = async {
            loop {
                serve_until_stopped(&mut signals, &node, &runtime, flags, is_recording).await;
            }
        };
        or(node.stop(flags.stop_timeout), while_stopping).await;
    });
    info!("stopped");
    smol.stop();
    Ok(())
}

fn log_format(flags: &Flags) -> LogFormat {
    match flags.log_format.as_str() {
        "json" => LogFormat::Json,
        _ => LogFormat::Text { colours: true },
    }
}

fn threads(flags: &Flags) -> usize {
    match flags.threads {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        threads => threads,
    }
}

fn unix_micros() -> u64 {
    SmolRuntime::start(1, 0).unix_micros()
}

fn create_recording(path: &Path) -> Result<Box<dyn Write + Send>, DaemonError> {
    let file = File::create(path).map_err(|error| DaemonError::Record {
        path: path.into(),
        error,
    })?;
    Ok(Box::new(BufWriter::with_capacity(
        RECORDING_BUFFER_SIZE,
        file,
    )))
}

fn listen(
    runtime: &RuntimeRef,
    flag: &'static str,
    address: SocketAddr,
) -> Result<Box<dyn Listener>, DaemonError> {
    runtime
        .listen(address)
        .map_err(|error| DaemonError::Listen {
            flag,
            address,
            error,
        })
}

/// Passes the engines of `--server` to the node, or starts watching etcd for engines, and starts gossip if
/// `--peer-listen` is given.
fn start_membership(
    smol: &Arc<SmolRuntime>,
    node: &Node,
    flags: &Flags,
) -> Result<(), DaemonError> {
    if flags.etcd_endpoints.is_empty() {
        smol.block_on(node.update_endpoints(ListKind::Full, flags.engines.clone()));
    } else {
        let (node, options) = (node.clone(), flags.watcher());
        smol.run(async move { node.watch_endpoints(options).await });
    }
    if let Some(options) = flags.peers() {
        node.start_peers(options)?;
    }
    Ok(())
}

/// Serves until SIGTERM or SIGINT. SIGHUP reads the `--server` flags again, unless the engines come from etcd.
async fn serve_until_stopped(
    signals: &mut SignalListener,
    node: &Node,
    runtime: &RuntimeRef,
    flags: &Flags,
    is_recording: bool,
) {
    loop {
        let flush_due = async {
            runtime.sleep(FLUSH_INTERVAL).await;
            None
        };
        match or(async { Some(signals.next(runtime).await) }, flush_due).await {
            // Flushed every second, so that the file lacks at most the last second if the process is killed.
            None if is_recording => node.flush_recording().await,
            None => {}
            Some(SignalRequest::Reload) if flags.etcd_endpoints.is_empty() => reload(node).await,
            Some(SignalRequest::Reload) => {
                info!(
                    reason = "the endpoint list comes from etcd",
                    "no configuration changes"
                );
            }
            Some(SignalRequest::Stop) => return,
        }
    }
}

/// Reads the flags again, files of flags included, and passes their engines to the node. Invalid flags change nothing.
async fn reload(node: &Node) {
    match flags::read(std::env::args_os()) {
        Ok(start) => {
            let engines = start.flags.engines;
            info!(
                engines = engines.len(),
                "endpoint list reloaded; other settings need a restart"
            );
            node.update_endpoints(ListKind::Full, engines).await;
        }
        Err(FlagsError::Page(_)) => {
            warn!("no configuration changes: the flags ask for help or the version");
        }
        Err(error) => error!(%error, "configuration reload failed, keeping the current one"),
    }
}
