//! The ivyward daemon: flags, logs, signals and sockets around the library.

mod flags;
mod platform;
mod signals;

use flags::{Start, Stop};
use ivyward::core::interface::ListKind;
use ivyward::runtime::{Runtime, RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward::Node;
use signals::{Request, Requests};
use std::io::{BufWriter, Write};
use std::process::ExitCode;
use tracing::{error, info, warn};
use tracing_subscriber::EnvFilter;

fn main() -> ExitCode {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|first| first == platform::COMMAND)
    {
        return platform::main(std::env::args_os().skip(1));
    }
    let start = match flags::read(std::env::args_os()) {
        Ok(start) => start,
        Err(Stop::Page(page)) => {
            print!("{page}");
            return ExitCode::SUCCESS;
        }
        Err(Stop::Bad(line)) => {
            eprintln!("ivywardd: {line}");
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
    match run(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("ivywardd: {line}");
            ExitCode::FAILURE
        }
    }
}

/// Sets up the logs on standard error: what `--log` asks for, as text, with or without colours, or as JSON.
fn logs(log: &str, format: &str, colours: bool) -> Result<(), String> {
    let filter = EnvFilter::try_new(log).map_err(|e| format!("--log {log}: {e}"))?;
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let set = match format {
        "json" => logs.json().try_init(),
        _ if colours => logs.try_init(),
        _ => logs.with_ansi(false).try_init(),
    };
    set.map_err(|e| format!("logs cannot be set up: {e}"))
}

fn run(mut start: Start) -> Result<(), String> {
    logs(&start.flags.log, &start.flags.log_format, true)?;
    let mut requests = Requests::listen()?;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = if start.flags.threads == 0 {
        cores
    } else {
        start.flags.threads
    };
    let own = u64::from(std::process::id()) << 32 ^ clock();
    let seed = start.flags.seed.unwrap_or(own);
    start.settings.seed = seed;
    // Guards against nodes that are given one seed taking one name for their runs: engines could not tell them apart.
    let smol = SmolRuntime::start(threads, own);
    let runtime: RuntimeRef = smol.clone();
    let record = match &start.flags.record {
        None => None,
        Some(path) => {
            let file = std::fs::File::create(path)
                .map_err(|e| format!("--record {}: {e}", path.display()))?;
            Some(Box::new(BufWriter::with_capacity(64 << 10, file)) as Box<dyn Write + Send>)
        }
    };
    let recording = record.is_some();
    let node =
        Node::start(runtime.clone(), start.settings.clone(), record).map_err(|e| e.to_string())?;
    let flags = &start.flags;
    match flags.etcd_endpoints.is_empty() {
        true => smol.block_on(node.update_endpoints(ListKind::Full, flags.servers.clone())),
        false => {
            let (node, follow) = (node.clone(), flags.follow());
            runtime.run(async move { node.follow(follow).await });
        }
    }
    if let Some(options) = flags.peers() {
        node.peers(options).map_err(|e| e.to_string())?;
    }
    let door = runtime
        .listen(flags.listen)
        .map_err(|e| format!("--listen {}: {e}", flags.listen))?;
    let address = door.address();
    if let Some(at) = flags.admin {
        let admin = runtime
            .listen(at)
            .map_err(|e| format!("--admin {at}: {e}"))?;
        info!(address = %admin.address(), "health and metrics");
        let node = node.clone();
        runtime.run(async move { node.serve_admin(admin).await });
    }
    let serving = node.clone();
    runtime.run(async move { serving.serve(door).await });
    // Scripts wait for this line.
    println!("listening on {address}");
    let run = format!("{:x}", node.incarnation());
    info!(%address, engines = flags.servers.len(), threads, seed, run, "taking requests");
    smol.block_on(async {
        loop {
            let tick = async {
                runtime.sleep(1_000_000).await;
                None
            };
            match futures_lite::future::or(async { Some(requests.next(&runtime).await) }, tick)
                .await
            {
                // What was recorded is in the file a second later, also when the process is killed.
                None if recording => node.flush_recording().await,
                None => {}
                Some(Request::Reload) if flags.etcd_endpoints.is_empty() => reload(&node).await,
                Some(Request::Reload) => {
                    info!("engines come from the store; there is nothing to read again")
                }
                Some(Request::Stop) => break,
            }
        }
        info!(
            open = node.open_requests(),
            within_us = flags.stop_within,
            "stopping"
        );
        node.stop(flags.stop_within).await;
    });
    info!("stopped");
    smol.stop();
    Ok(())
}

fn clock() -> u64 {
    let runtime = SmolRuntime::start(1, 0);
    runtime.unix_micros()
}

/// Reads the flags again and takes over the engines.
async fn reload(node: &Node) {
    match flags::read(std::env::args_os()) {
        Ok(start) => {
            info!(
                engines = start.flags.servers.len(),
                "engines read again; other settings need a restart"
            );
            node.update_endpoints(ListKind::Full, start.flags.servers)
                .await;
        }
        Err(Stop::Bad(line)) => {
            error!("the settings do not hold and nothing was taken over: {line}")
        }
        Err(Stop::Page(_)) => warn!("no configuration changes"),
    }
}
