//! `engine`, `store`, `fleet` and `request`: parts of a cluster by hand.

use super::{exit_code, CommandResult};
use ivyward_fakes::{EngineSpec, Role};
use ivyward_proto::front::GenerateRequest;
use ivyward_testbed::manual_cluster;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Tokens of KV state a second that an engine fetches.
const FETCH_RATE: f64 = 200_000.0;

#[derive(clap::Args)]
pub struct Engine {
    /// Its id.
    #[arg(long)]
    id: u64,
    /// prefill, decode or mixed.
    #[arg(long, value_parser = ["prefill", "decode", "mixed"])]
    role: String,
    /// Where it listens; port 0 for a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Its rack.
    #[arg(long = "rack", alias = "cell", default_value_t = 0)]
    rack: u16,
    /// Prompt tokens a second that it prefills.
    #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u32).range(1..))]
    read_rate: u32,
    /// Milliseconds from one output token to the next.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    token_gap_ms: u32,
    /// Calls at work at once.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    slots: u32,
    /// Tokens of KV state that it retains.
    #[arg(long, default_value_t = 4_000_000, value_parser = clap::value_parser!(u64).range(1..))]
    memory: u64,
    /// A line of standard input to begin with; may be given several times.
    #[arg(long = "order")]
    orders: Vec<String>,
    /// An endpoint of a store in which it registers itself; may be given several times.
    #[arg(long = "register-in")]
    register_in: Vec<SocketAddr>,
    /// Seconds that its record outlives it.
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
        follow(&fleet)
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
    /// Where it listens; port 0 for a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

impl Store {
    pub fn run(self) -> CommandResult {
        follow(&start(Vec::new(), self.listen, Some(self.listen))?)
    }
}

#[derive(clap::Args)]
pub struct Fleet {
    /// Racks of one prefill, one mixed and two decode engines.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=64))]
    racks: u16,
    /// Where the first engine listens; the others at the ports after it. Port 0 for free ones.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Runs a store here that lists them.
    #[arg(long)]
    store: Option<SocketAddr>,
}

impl Fleet {
    pub fn run(self) -> CommandResult {
        let specs = manual_cluster::rack_specs(self.racks);
        follow(&start(specs, self.listen, self.store)?)
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

/// Prints the daemon's flags, and carries out lines of standard input until the process is ended.
fn follow(fleet: &manual_cluster::Fleet) -> CommandResult {
    for flag in fleet.flags() {
        println!("{flag}");
    }
    // Whoever reads a file or a pipe needs them while this goes on.
    std::io::stdout().flush()?;
    fleet.run_commands_from_stdin()
}

#[derive(clap::Args)]
pub struct Request {
    /// The daemon's address for clients.
    address: SocketAddr,
    /// Most output tokens.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    tokens: u32,
    /// Prompt tokens.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    prompt: u32,
    /// Its class; the daemon's first without one.
    #[arg(long, default_value = "")]
    class: String,
    /// Its session.
    #[arg(long, default_value = "")]
    session: String,
    /// Milliseconds until the client gives up.
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
