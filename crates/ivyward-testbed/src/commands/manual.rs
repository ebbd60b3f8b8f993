//! `engine`, `store`, `fleet` and `request`: start parts of a cluster by hand and send single requests.

use super::{exit_code, CommandResult};
use ivyward_fakes::{EngineSpec, Role};
use ivyward_proto::front::GenerateRequest;
use ivyward_testbed::manual_cluster;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Rate at which an engine fetches KV state, in tokens per second.
const FETCH_RATE: f64 = 200_000.0;

#[derive(clap::Args)]
pub struct Engine {
    /// Id of the engine, unique in the fleet.
    #[arg(long)]
    id: u64,
    /// Role of the engine: prefill, decode or mixed.
    #[arg(long, value_parser = ["prefill", "decode", "mixed"])]
    role: String,
    /// Address on which the engine listens; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Rack number of the engine.
    #[arg(long = "rack", alias = "cell", default_value_t = 0)]
    rack: u16,
    /// Prefill rate, in prompt tokens per second.
    #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u32).range(1..))]
    read_rate: u32,
    /// Interval between two output tokens, in milliseconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    token_gap_ms: u32,
    /// Number of calls that the engine works on at the same time.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    slots: u32,
    /// Capacity of the KV cache, in tokens.
    #[arg(long, default_value_t = 4_000_000, value_parser = clap::value_parser!(u64).range(1..))]
    memory: u64,
    /// Command to carry out at the start, in the form of a line of standard input. May be given several times.
    #[arg(long = "order")]
    orders: Vec<String>,
    /// Address of an etcd endpoint at which the engine registers itself. May be given several times. Without it the engine
    /// does not register.
    #[arg(long = "register-in")]
    register_in: Vec<SocketAddr>,
    /// Lease of the engine's record, in seconds; the record expires this long after the engine stops renewing it.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(i64).range(1..=3_600))]
    lease: i64,
}

impl Engine {
    pub fn run(self) -> CommandResult {
        let spec = self.spec();
        let fleet = start(vec![spec], self.listen, None)?;
        for order in &self.orders {
            fleet
                .apply_command(order)
                .map_err(|error| format!("--order {error}"))?;
        }
        if !self.register_in.is_empty() {
            manual_cluster::keep_engines_registered(&fleet, &self.register_in, self.lease);
        }
        print_flags_and_run(&fleet)
    }

    fn spec(&self) -> EngineSpec {
        let role = match self.role.as_str() {
            "prefill" => Role::Prefill,
            "decode" => Role::Decode,
            _ => Role::Mixed,
        };
        EngineSpec {
            id: self.id,
            role,
            rack: self.rack,
            slots: self.slots as usize,
            kv_capacity: self.memory,
            prefill_rate: f64::from(self.read_rate),
            kv_fetch_rate: FETCH_RATE,
            token_interval: u64::from(self.token_gap_ms) * 1_000,
            ..EngineSpec::small(self.id, role)
        }
    }
}

#[derive(clap::Args)]
pub struct Store {
    /// Address on which the store listens; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

impl Store {
    pub fn run(self) -> CommandResult {
        print_flags_and_run(&start(Vec::new(), self.listen, Some(self.listen))?)
    }
}

#[derive(clap::Args)]
pub struct Fleet {
    /// Number of racks, each with one prefill, one mixed and two decode engines.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=64))]
    racks: u16,
    /// Address on which the first engine listens; the other engines use the ports that follow. Port 0 selects free ports.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address on which to run an etcd store that lists the engines. Without it no store is started.
    #[arg(long)]
    store: Option<SocketAddr>,
}

impl Fleet {
    pub fn run(self) -> CommandResult {
        let specs = manual_cluster::rack_specs(self.racks);
        print_flags_and_run(&start(specs, self.listen, self.store)?)
    }
}

fn start(
    specs: Vec<EngineSpec>,
    listen: SocketAddr,
    store: Option<SocketAddr>,
) -> Result<manual_cluster::Fleet, Box<dyn std::error::Error>> {
    let fleet = manual_cluster::Fleet::start(specs, listen.ip(), listen.port(), store)?;
    Ok(fleet)
}

/// Prints the flags for the daemon, then carries out commands from standard input until the process is stopped.
fn print_flags_and_run(fleet: &manual_cluster::Fleet) -> CommandResult {
    for flag in fleet.flags() {
        println!("{flag}");
    }
    // Output to a file or a pipe is buffered: a reader needs the flags while this process still runs.
    std::io::stdout().flush()?;
    fleet.run_commands_from_stdin()
}

#[derive(clap::Args)]
pub struct Request {
    /// Address at which the daemon accepts client requests.
    address: SocketAddr,
    /// Maximum number of output tokens.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    tokens: u32,
    /// Length of the prompt, in tokens.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    prompt: u32,
    /// Class of the request; if empty, the daemon uses its first class.
    #[arg(long, default_value = "")]
    class: String,
    /// Session of the request; if empty, the request belongs to no session.
    #[arg(long, default_value = "")]
    session: String,
    /// Client timeout, in milliseconds.
    #[arg(long = "timeout-ms", alias = "patience-ms", default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    timeout_ms: u64,
}

impl Request {
    pub fn run(self) -> CommandResult {
        let request = GenerateRequest {
            prompt: (0..self.prompt).collect(),
            max_output_tokens: self.tokens,
            class: self.class,
            session: self.session,
            ..GenerateRequest::default()
        };
        let timeout = Duration::from_millis(self.timeout_ms);
        let mut out = std::io::stdout();
        let (served, line) =
            manual_cluster::send_request(self.address, request, timeout, &mut out)?;
        println!("{line}");
        Ok(exit_code(served))
    }
}
