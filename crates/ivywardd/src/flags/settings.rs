//! Converts the flags into the settings of the node, and checks those that depend on each other.

use super::Flags;
use ivyward::core::interface::Settings;
use ivyward::core::peers::PeerSettings;
use ivyward::settings::DEFAULT_IDLE_CHECKS_PER_SECOND;
use ivyward::watcher::{EtcdOptions, WatcherOptions};
use ivyward::{NodeSettings, PeerOptions, PeerStore, SettingsError};

/// Upper limit of `--stop-within` in microseconds: one hour.
const MAX_STOP_WITHIN: u64 = 3_600_000_000;
/// Upper limit of `--threads`.
const MAX_THREADS: usize = 1_024;

impl Flags {
    /// Returns the number of idle connections to ping per second. Without `--resting-checks` this is the default, or 0 if
    /// `--ping-every` disables all pings.
    fn idle_checks_per_second(&self) -> u32 {
        let default = if self.ping_interval == 0 {
            0
        } else {
            DEFAULT_IDLE_CHECKS_PER_SECOND
        };
        self.idle_checks_per_second.unwrap_or(default)
    }

    /// Returns the options for watching the endpoint list in etcd. They apply only if `--etcd-endpoint` is given.
    pub fn watcher(&self) -> WatcherOptions {
        let credentials = self.etcd_user.clone().zip(self.etcd_password.clone());
        WatcherOptions {
            endpoints: self.etcd_endpoints.clone(),
            prefix: self.etcd_prefix.clone(),
            etcd: EtcdOptions {
                credentials,
                ..EtcdOptions::default()
            },
            empty_grace: self.etcd_empty_grace,
            behind_grace: self.etcd_behind_grace,
            silence_timeout: self.etcd_silence_timeout,
            snapshot: self.snapshot.clone(),
            ..WatcherOptions::default()
        }
    }

    /// Returns the options of gossip between nodes, or `None` without `--peer-listen`.
    pub fn peers(&self) -> Option<PeerOptions> {
        let listen = self.peer_listen?;
        let store = self.peer_lease_seconds.map(|lease| PeerStore {
            endpoints: self.etcd_endpoints.clone(),
            prefix: self.peer_prefix.clone(),
            lease_seconds: lease,
            etcd: self.watcher().etcd,
        });
        Some(PeerOptions {
            announce: self.peer_announce,
            seed_peers: self.peers.clone(),
            name: self.peer_name.clone(),
            key: self.peer_key.clone(),
            store,
            gossip: PeerSettings {
                death_timeout: self.peer_death_timeout,
                ..PeerSettings::default()
            },
            ..PeerOptions::new(listen)
        })
    }

    /// Returns the settings of the node after checking all flags.
    pub(super) fn settings(&self) -> Result<NodeSettings, SettingsError> {
        let settings = self.node_settings();
        settings.check()?;
        self.check_sources()?;
        self.watcher().check()?;
        self.peers().map_or(Ok(()), |peers| peers.check())?;
        self.check_engines()?;
        self.check_limits()?;
        Ok(settings)
    }

    fn node_settings(&self) -> NodeSettings {
        NodeSettings {
            seed: self.seed.unwrap_or(0),
            classes: self.classes.clone(),
            tenants: self.tenants.clone(),
            router: self.router_settings(),
            answer_margin: self.answer_margin,
            dial_timeout: self.dial_timeout,
            initial_backoff: self.initial_backoff,
            max_backoff: self.max_backoff,
            reset_timeout: self.reset_timeout,
            stream_idle_timeout: self.stream_idle_timeout,
            release_retry_window: self.release_retry_window,
            max_buffered_tokens: self.max_buffered_tokens,
            max_calls_per_connection: self.max_calls_per_connection,
            max_connections_per_engine: self.max_connections_per_engine,
            ping_interval: self.ping_interval,
            ping_timeout: self.ping_timeout,
            idle_checks_per_second: self.idle_checks_per_second(),
            max_open_requests: self.max_open_requests,
            max_request_bytes: self.max_request_bytes,
            max_client_connections: self.max_client_connections,
            max_prompt_tokens: self.max_prompt_tokens,
            max_output_tokens: self.max_output_tokens,
            max_pending_releases: self.max_pending_releases,
        }
    }

    fn router_settings(&self) -> Settings {
        Settings {
            replica_count: self.nodes,
            zone: self.zone,
            memory_tokens: self.memory_tokens.clone(),
            over_quota_weight: self.over_quota_weight,
            decode_may_prefill: self.decode_may_prefill,
            reserve_decode_slot: self.reserve_decode_slot,
            transfer_price: self.transfer_price,
            cross_zone_price: self.cross_zone_price,
            release_within: self.release_within,
            drain_grace: self.drain_grace,
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
            initial_capacity: self.initial_capacity,
            warm_up_duration: self.warm_up_duration,
            max_attempts: self.max_attempts,
            may_cancel: self.may_cancel,
            health_checks: self.health_checks,
            max_retry_after: self.max_retry_after,
            report_fields: self.report.clone(),
            ..Settings::default()
        }
    }

    /// Checks that the engines come from either `--server` or etcd. With both, each list would remove the engines of the
    /// other, since a full list removes every engine that it does not contain.
    fn check_sources(&self) -> Result<(), SettingsError> {
        let Some(first) = self.etcd_endpoints.first() else {
            if self.engines.is_empty() {
                return Err(SettingsError::new(
                    "--server",
                    "(none)",
                    "at least one --server or --etcd-endpoint is required",
                ));
            }
            return Ok(());
        };
        if !self.engines.is_empty() {
            return Err(SettingsError::new(
                "--etcd-endpoint",
                first,
                "cannot be combined with --server: etcd lists all engines",
            ));
        }
        Ok(())
    }

    fn check_engines(&self) -> Result<(), SettingsError> {
        let duplicate =
            |value: String| Err(SettingsError::new("--server", value, "is given twice"));
        for (index, engine) in self.engines.iter().enumerate() {
            let (id, address) = (engine.endpoint.id, engine.address);
            let earlier = &self.engines[..index];
            if earlier.iter().any(|other| other.endpoint.id == id) {
                return duplicate(format!("id={}", id.0));
            }
            if earlier.iter().any(|other| other.address == address) {
                return duplicate(format!("address={address}"));
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        if self.admin == Some(self.listen) && self.listen.port() != 0 {
            let reason = "must differ from --listen";
            return Err(SettingsError::new("--admin", self.listen, reason));
        }
        if self.stop_timeout > MAX_STOP_WITHIN {
            let value = format!("{}us", self.stop_timeout);
            return Err(SettingsError::new(
                "--stop-within",
                value,
                "must be an hour at most",
            ));
        }
        if self.threads > MAX_THREADS {
            return Err(SettingsError::new(
                "--threads",
                self.threads,
                "must be 1024 at most",
            ));
        }
        Ok(())
    }
}
