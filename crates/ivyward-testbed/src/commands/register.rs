//! `register` and `drain`: an engine's record in etcd.

use super::CommandResult;
use ivyward_testbed::registration;
use std::net::SocketAddr;

/// Where the store is.
#[derive(clap::Args)]
struct StoreFlags {
    /// An endpoint of the store; may be given several times.
    #[arg(
        long = "etcd-endpoint",
        env = "IVYWARD_ETCD_ENDPOINTS",
        value_delimiter = ';',
        required = true
    )]
    endpoints: Vec<SocketAddr>,
    /// Engines' records stand below it.
    #[arg(long = "etcd-prefix", env = "IVYWARD_ETCD_PREFIX", default_value = ivyward::registration::DEFAULT_ENGINE_PREFIX)]
    prefix: String,
}

#[derive(clap::Args)]
pub struct Register {
    #[command(flatten)]
    store: StoreFlags,
    /// The engine's id.
    #[arg(long)]
    id: u64,
    /// Where it listens.
    #[arg(long)]
    address: SocketAddr,
    /// prefill, decode or mixed.
    #[arg(long, value_parser = ["prefill", "decode", "mixed"])]
    role: String,
    /// Its zone.
    #[arg(long, default_value_t = 0)]
    zone: u8,
    /// Its rack.
    #[arg(long = "rack", alias = "cell", default_value_t = 0)]
    rack: u16,
    /// Its size relative to others of its machine type.
    #[arg(long, default_value_t = 1.0)]
    weight: f64,
    /// Seconds that the record outlives whoever keeps it.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(i64).range(1..=3_600))]
    lease: i64,
    /// Writes the record without a lease and returns.
    #[arg(long)]
    once: bool,
}

impl Register {
    pub fn run(self) -> CommandResult {
        let record = serde_json::json!({
            "version": ivyward::registration::VERSION, "id": self.id, "role": self.role,
            "address": self.address.to_string(), "zone": self.zone, "cell": self.rack,
            "weight": self.weight, "state": "ready",
        });
        let lease = (!self.once).then_some(self.lease);
        let StoreFlags { endpoints, prefix } = self.store;
        Ok(registration::register(&endpoints, &prefix, record, lease)?)
    }
}

#[derive(clap::Args)]
pub struct Drain {
    /// The engine's id.
    id: u64,
    #[command(flatten)]
    store: StoreFlags,
}

impl Drain {
    pub fn run(self) -> CommandResult {
        let StoreFlags { endpoints, prefix } = self.store;
        Ok(registration::drain(&endpoints, &prefix, self.id)?)
    }
}
