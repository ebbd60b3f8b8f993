//! `register` and `drain`: write an engine's record in etcd.

use super::CommandResult;
use ivyward_testbed::registration;
use std::net::SocketAddr;

/// Flags that say where the store is and where in it the records are.
#[derive(clap::Args)]
struct StoreFlags {
    /// Address of an etcd endpoint. May be given several times, or as a list separated by semicolons.
    #[arg(
        long = "etcd-endpoint",
        env = "IVYWARD_ETCD_ENDPOINTS",
        value_delimiter = ';',
        required = true
    )]
    endpoints: Vec<SocketAddr>,
    /// Key prefix of the engines' records.
    #[arg(long = "etcd-prefix", env = "IVYWARD_ETCD_PREFIX", default_value = ivyward::registration::DEFAULT_ENGINE_PREFIX)]
    prefix: String,
}

#[derive(clap::Args)]
pub struct Register {
    #[command(flatten)]
    store: StoreFlags,
    /// Id of the engine.
    #[arg(long)]
    id: u64,
    /// Address on which the engine listens.
    #[arg(long)]
    address: SocketAddr,
    /// Role of the engine: prefill, decode or mixed.
    #[arg(long, value_parser = ["prefill", "decode", "mixed"])]
    role: String,
    /// Zone number of the engine.
    #[arg(long, default_value_t = 0)]
    zone: u8,
    /// Rack number of the engine.
    #[arg(long = "rack", alias = "cell", default_value_t = 0)]
    rack: u16,
    /// Capacity of the engine relative to others of its machine type, where 1.0 is the normal capacity.
    #[arg(long, default_value_t = 1.0)]
    weight: f64,
    /// Lease of the record, in seconds; the record expires this long after this command stops renewing it.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(i64).range(1..=3_600))]
    lease: i64,
    /// Writes the record once, without a lease, and exits. The record then stays until it is deleted.
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
    /// Id of the engine to drain.
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
