//! Options of the peers, and the checks on them.

use crate::settings::SettingsError;
use ivyward_core::interface::Micros;
use ivyward_core::peers::PeerSettings;
use ivyward_etcd::EtcdOptions;
use std::net::SocketAddr;

/// Shortest secret, in bytes.
const MIN_KEY_LENGTH: usize = 16;
/// Most addresses of others.
const MAX_PEERS: usize = 64;
/// Spans allowed for `--peer-death-after`.
const DEATH_TIMEOUTS: std::ops::RangeInclusive<Micros> = 500_000..=600_000_000;
/// Seconds allowed for `--peer-lease`.
const LEASES: std::ops::RangeInclusive<i64> = 2..=3_600;

/// How a node gets to know others. Field names stand for flags: `listen` is `--peer-listen`.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// The address that receives datagrams; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The address by which others reach it; the listening one by default.
    pub announce: Option<SocketAddr>,
    /// Addresses of some others.
    pub seed_peers: Vec<SocketAddr>,
    /// The node's name, the same after a restart; the announced address by default.
    pub name: Option<String>,
    /// The secret from which the datagrams' key is derived. Without one only loopback addresses are accepted.
    pub key: Option<String>,
    /// The store in which nodes write their records, if there is one.
    pub store: Option<PeerStore>,
    /// Timeouts and bounds of the gossip.
    pub gossip: PeerSettings,
}

/// The store in which nodes write their records.
#[derive(Clone, Debug)]
pub struct PeerStore {
    /// The store's endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Records stand below this prefix, each under its node's name as a number.
    pub prefix: String,
    /// Seconds that a record outlives its node.
    pub lease_seconds: i64,
    /// Options of the store's client.
    pub etcd: EtcdOptions,
}

impl PeerOptions {
    /// Listens at an address, with nobody to ask.
    pub fn new(listen: SocketAddr) -> PeerOptions {
        PeerOptions {
            listen,
            announce: None,
            seed_peers: Vec::new(),
            name: None,
            key: None,
            store: None,
            gossip: PeerSettings::default(),
        }
    }

    /// Checks the options.
    ///
    /// # Errors
    /// The first option that could not work.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_key()?;
        self.check_death_timeout()?;
        self.check_addresses()?;
        self.check_lease()
    }

    fn check_key(&self) -> Result<(), SettingsError> {
        if let Some(key) = &self.key {
            return if key.len() < MIN_KEY_LENGTH {
                let value = format!("({} bytes)", key.len());
                invalid("IVYWARD_PEER_KEY", value, "at least 16 bytes are needed")
            } else {
                Ok(())
            };
        }
        let announce = self.announce.map(|a| ("--peer-announce", a));
        let peers = self.seed_peers.iter().map(|p| ("--peer", *p));
        let mut all = [("--peer-listen", self.listen)]
            .into_iter()
            .chain(announce)
            .chain(peers);
        match all.find(|(_, address)| !address.ip().is_loopback()) {
            Some((flag, address)) => invalid(
                flag,
                address,
                "beyond this machine a key is needed: set IVYWARD_PEER_KEY at all nodes",
            ),
            None => Ok(()),
        }
    }

    fn check_death_timeout(&self) -> Result<(), SettingsError> {
        let death_timeout = self.gossip.death_timeout;
        if DEATH_TIMEOUTS.contains(&death_timeout) {
            return Ok(());
        }
        invalid(
            "--peer-death-after",
            format!("{}ms", death_timeout / 1_000),
            "from 500ms to 10m: probes need a few tries",
        )
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let unreachable = "nobody can be reached there";
        if let Some(announce) = self.announce.filter(is_unreachable) {
            return invalid("--peer-announce", announce, unreachable);
        }
        if self.announce.is_none() && self.listen.ip().is_unspecified() {
            return invalid(
                "--peer-listen",
                self.listen,
                "with it --peer-announce says where others reach this node",
            );
        }
        if let Some(peer) = self.seed_peers.iter().find(|peer| is_unreachable(peer)) {
            return invalid("--peer", peer, unreachable);
        }
        if self.seed_peers.len() > MAX_PEERS {
            return invalid(
                "--peer",
                self.seed_peers.len(),
                "64 at most; a few that are up are enough",
            );
        }
        Ok(())
    }

    fn check_lease(&self) -> Result<(), SettingsError> {
        match &self.store {
            Some(store) if !LEASES.contains(&store.lease_seconds) => invalid(
                "--peer-lease",
                store.lease_seconds,
                "from 2 to 3600 seconds",
            ),
            _ => Ok(()),
        }
    }
}

fn is_unreachable(address: &SocketAddr) -> bool {
    address.port() == 0 || address.ip().is_unspecified()
}

fn invalid(flag: &str, value: impl ToString, reason: &str) -> Result<(), SettingsError> {
    Err(SettingsError::new(flag, value.to_string(), reason))
}
