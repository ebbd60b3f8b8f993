//! Options of peer discovery and their validation.

use crate::settings::SettingsError;
use ivyward_core::interface::Micros;
use ivyward_core::peers::PeerSettings;
use ivyward_etcd::EtcdOptions;
use std::net::SocketAddr;

/// Minimum length of the secret in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum number of seed peers.
const MAX_SEED_PEERS: usize = 64;
/// Allowed values of `--peer-death-after`.
const DEATH_TIMEOUT_RANGE: std::ops::RangeInclusive<Micros> = 500_000..=600_000_000;
/// Allowed values of `--peer-lease`, in seconds.
const LEASE_SECONDS_RANGE: std::ops::RangeInclusive<i64> = 2..=3_600;

/// Options of peer discovery.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Address that receives datagrams (`--peer-listen`). Port 0 binds a free port.
    pub listen: SocketAddr,
    /// Address at which other nodes reach this one (`--peer-announce`). The bound address by default; required if `listen`
    /// has an unspecified IP address.
    pub announce: Option<SocketAddr>,
    /// Addresses of some other nodes, from which the rest is learned (`--peer`). At most 64.
    pub seed_peers: Vec<SocketAddr>,
    /// Name of the node, which must be the same after a restart (`--peer-name`). The announced address by default.
    pub name: Option<String>,
    /// Secret from which the key that authenticates datagrams is derived; the same on all nodes, at least 16 bytes
    /// (`IVYWARD_PEER_KEY`). Without a secret, only loopback addresses are accepted.
    pub key: Option<String>,
    /// Store for the node records. `None` writes and reads no records.
    pub store: Option<PeerStore>,
    /// Timeouts and limits of the gossip protocol.
    pub gossip: PeerSettings,
}

/// The etcd store in which nodes register themselves.
#[derive(Clone, Debug)]
pub struct PeerStore {
    /// Addresses of the etcd endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Prefix of the keys of node records (`--peer-prefix`). A key ends in the node's id as 16 hexadecimal digits.
    pub prefix: String,
    /// Time to live of a record's lease in seconds, from 2 to 3600 (`--peer-lease`). A record remains for at most this long
    /// after its node has stopped.
    pub lease_seconds: i64,
    /// Options of the etcd client.
    pub etcd: EtcdOptions,
}

impl PeerOptions {
    /// Options with default values that listen at an address: no seed peers, no secret, no store.
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

    /// Validates the options.
    ///
    /// # Errors
    /// Returns the first invalid option with its flag, value and reason.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_key()?;
        self.check_death_timeout()?;
        self.check_addresses()?;
        self.check_lease()
    }

    fn check_key(&self) -> Result<(), SettingsError> {
        if let Some(key) = &self.key {
            return if key.len() < MIN_KEY_BYTES {
                let value = format!("({} bytes)", key.len());
                invalid("IVYWARD_PEER_KEY", value, "must have at least 16 bytes")
            } else {
                Ok(())
            };
        }
        let announce = self.announce.map(|a| ("--peer-announce", a));
        let peers = self.seed_peers.iter().map(|p| ("--peer", *p));
        let mut addresses = [("--peer-listen", self.listen)]
            .into_iter()
            .chain(announce)
            .chain(peers);
        match addresses.find(|(_, address)| !address.ip().is_loopback()) {
            Some((flag, address)) => invalid(
                flag,
                address,
                "addresses other than loopback need a key: set IVYWARD_PEER_KEY on all nodes",
            ),
            None => Ok(()),
        }
    }

    fn check_death_timeout(&self) -> Result<(), SettingsError> {
        let death_timeout = self.gossip.death_timeout;
        if DEATH_TIMEOUT_RANGE.contains(&death_timeout) {
            return Ok(());
        }
        invalid(
            "--peer-death-after",
            format!("{}ms", death_timeout / 1_000),
            "must be from 500ms to 10m, since a probe needs time for several attempts",
        )
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let unreachable = "an address without an IP address or a port cannot be reached";
        if let Some(announce) = self.announce.filter(is_unreachable) {
            return invalid("--peer-announce", announce, unreachable);
        }
        if self.announce.is_none() && self.listen.ip().is_unspecified() {
            return invalid(
                "--peer-listen",
                self.listen,
                "an unspecified address needs --peer-announce, the address at which other nodes reach this one",
            );
        }
        if let Some(peer) = self.seed_peers.iter().find(|peer| is_unreachable(peer)) {
            return invalid("--peer", peer, unreachable);
        }
        if self.seed_peers.len() > MAX_SEED_PEERS {
            return invalid(
                "--peer",
                self.seed_peers.len(),
                "64 at most; one that is running is enough",
            );
        }
        Ok(())
    }

    fn check_lease(&self) -> Result<(), SettingsError> {
        match &self.store {
            Some(store) if !LEASE_SECONDS_RANGE.contains(&store.lease_seconds) => invalid(
                "--peer-lease",
                store.lease_seconds,
                "must be from 2 to 3600 seconds",
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
