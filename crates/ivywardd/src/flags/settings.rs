//! The flags as settings of the node, and the checks on them.

use super::Flags;
use ivyward::core::interface::Settings;
use ivyward::core::peers::PeerSettings;
use ivyward::settings::DEFAULT_IDLE_CHECKS_PER_SECOND;
use ivyward::watcher::{EtcdOptions, WatcherOptions};
use ivyward::{NodeSettings, PeerOptions, PeerStore, SettingsError};

/// Longest `--stop-within`, in microseconds.
const MAX_STOP_WITHIN: u64 = 3_600_000_000;
/// Most `--threads`.
const MAX_THREADS: usize = 1_024;

impl Flags {
    /// Checks of idle connections: the default, or none where there are no pings.
    fn resting_checks(&self) -> u32 {
        let default = if self.ping_every == 0 {
            0
        } else {
            DEFAULT_IDLE_CHECKS_PER_SECOND
        };
        self.resting_checks.unwrap_or(default)
    }
    /// How to watch the endpoint list in etcd; not watched without etcd endpoints.
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
            silence_timeout: self.etcd_silence,
            snapshot: self.snapshot.clone(),
            ..WatcherOptions::default()
        }
    }

    /// How nodes know each other; `None` without `--peer-listen`.
    pub fn peers(&self) -> Option<PeerOptions> {
        let listen = self.peer_listen?;
        let store = self.peer_lease.map(|lease| PeerStore {
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
                death_timeout: self.peer_death_after,
                ..PeerSettings::default()
            },
            ..PeerOptions::new(listen)
        })
    }

    /// The node's settings, checked.
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
            initial_backoff: self.redial_first,
            max_backoff: self.redial_most,
            reset_timeout: self.reset_wait,
            stream_idle_timeout: self.stream_stall,
            release_retry_window: self.release_tries,
            max_buffered_tokens: self.stream_buffer,
            max_calls_per_connection: self.calls_per_connection,
            max_connections_per_engine: self.connections_per_engine,
            ping_interval: self.ping_every,
            ping_timeout: self.ping_timeout,
            idle_checks_per_second: self.resting_checks(),
            max_open_requests: self.most_open,
            max_client_connections: self.most_clients,
            max_prompt_tokens: self.most_prompt,
            max_output_tokens: self.most_output,
            max_pending_releases: self.most_releases,
        }
    }

    fn router_settings(&self) -> Settings {
        Settings {
            replica_count: self.nodes,
            zone: self.zone,
            memory_tokens: self.memory_tokens.clone(),
            over_quota_weight: self.over_share_worth,
            decode_may_prefill: self.decode_may_prefill,
            reserve_decode_slot: self.hold_ahead,
            transfer_price: self.transfer_price,
            cross_zone_price: self.cross_zone_price,
            release_within: self.release_within,
            drain_grace: self.drain_grace,
            overload_multiple: self.fall_multiple,
            overload_window: self.fall_window,
            initial_capacity: self.start_capacity,
            warm_up_duration: self.warm_after,
            max_attempts: self.max_attempts,
            may_cancel: self.may_cancel,
            health_checks: self.probes,
            max_retry_after: self.max_retry_after,
            report_fields: self.report.clone(),
            ..Settings::default()
        }
    }

    /// Engines come from exactly one source: each would take the other's for removed.
    fn check_sources(&self) -> Result<(), SettingsError> {
        let Some(first) = self.etcd_endpoints.first() else {
            if self.servers.is_empty() {
                return Err(SettingsError::new(
                    "--server",
                    "(none)",
                    "at least one engine or --etcd-endpoint is needed",
                ));
            }
            return Ok(());
        };
        if !self.servers.is_empty() {
            return Err(SettingsError::new(
                "--etcd-endpoint",
                first,
                "goes with no --server: the store lists them all",
            ));
        }
        Ok(())
    }

    fn check_engines(&self) -> Result<(), SettingsError> {
        let twice = |value: String| Err(SettingsError::new("--server", value, "is given twice"));
        for (index, engine) in self.servers.iter().enumerate() {
            let (id, address) = (engine.endpoint.id, engine.address);
            let before = &self.servers[..index];
            if before.iter().any(|other| other.endpoint.id == id) {
                return twice(format!("id={}", id.0));
            }
            if before.iter().any(|other| other.address == address) {
                return twice(format!("address={address}"));
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        if self.admin == Some(self.listen) && self.listen.port() != 0 {
            let reason = "is the same as --listen";
            return Err(SettingsError::new("--admin", self.listen, reason));
        }
        if self.stop_within > MAX_STOP_WITHIN {
            let value = format!("{}us", self.stop_within);
            return Err(SettingsError::new(
                "--stop-within",
                value,
                "an hour at most",
            ));
        }
        if self.threads > MAX_THREADS {
            return Err(SettingsError::new(
                "--threads",
                self.threads,
                "1024 at most",
            ));
        }
        Ok(())
    }
}
