//! Watches the engines' registration records in etcd. The watcher lists the records, watches their changes, and passes both to
//! [`ivyward_core::membership`], which decides on the endpoint list of the node.
//!
//! - `watch`: a single watch, from its start to its end.
//! - `delivery`: decodes records, updates the node's endpoint list and writes the snapshot file.

mod delivery;
mod watch;

use crate::membership::registration::DEFAULT_ENGINE_PREFIX;
use crate::membership::snapshot;
use crate::node::Node;
use crate::settings::SettingsError;
use delivery::Relist;
use futures_lite::future::or;
use ivyward_core::interface::{EndpointId, Micros};
use ivyward_core::membership::{Membership, MembershipSettings, WatchEvent};
use ivyward_core::start_time::StartTimes;
use ivyward_core::update_interval::{UpdateInterval, UpdateIntervalSettings};
use ivyward_etcd::Client;
pub use ivyward_etcd::EtcdOptions;
use ivyward_runtime::{metered, RuntimeExt, RuntimeRef};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::{info, warn};
use watch::WatchEnd;

/// Options of the endpoint watcher. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct WatcherOptions {
    /// Addresses of the etcd endpoints. One is used at a time; after a failure the next one is.
    pub endpoints: Vec<SocketAddr>,
    /// Prefix of the keys of the registration records. Must not be empty.
    pub prefix: String,
    /// Options of the etcd client.
    pub etcd: EtcdOptions,
    /// While engines are known, an empty list takes effect only once the store has returned nothing but empty lists for this
    /// long, since the store may have been restored empty.
    pub empty_grace: Micros,
    /// A progress notification is requested on a watch that received nothing for this long. If nothing arrives for as long
    /// again, the watch has failed.
    pub silence_timeout: Micros,
    /// A list with a lower revision than one seen before takes effect only once the store has returned nothing but such lists
    /// for this long. The store was then restored from an older backup.
    pub behind_grace: Micros,
    /// File for snapshots of the endpoint list. It is read at the start, so that the node has engines while the store cannot be
    /// reached. `None` reads and writes no snapshots.
    pub snapshot: Option<PathBuf>,
    /// The initial and the maximum pause after a failure. The pause doubles with each further failure and has jitter.
    pub backoff: (Micros, Micros),
}

impl Default for WatcherOptions {
    fn default() -> WatcherOptions {
        WatcherOptions {
            endpoints: Vec::new(),
            prefix: DEFAULT_ENGINE_PREFIX.into(),
            etcd: EtcdOptions::default(),
            empty_grace: 10_000_000,
            behind_grace: 10_000_000,
            silence_timeout: 2_000_000,
            snapshot: None,
            backoff: (20_000, 2_000_000),
        }
    }
}

impl WatcherOptions {
    /// Validates the options.
    ///
    /// # Errors
    /// Returns the first invalid option with its flag, value and reason.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.prefix.is_empty() {
            return Err(SettingsError::new(
                "--etcd-prefix",
                "(empty)",
                "an empty prefix would include every key of the store",
            ));
        }
        for (flag, duration) in [
            ("--etcd-silence", self.silence_timeout),
            ("--etcd-empty-grace", self.empty_grace),
            ("--etcd-behind-grace", self.behind_grace),
        ] {
            if !(1_000..=3_600_000_000).contains(&duration) {
                return Err(SettingsError::new(
                    flag,
                    format!("{duration}us"),
                    "must be from 1ms to an hour",
                ));
            }
        }
        let mut seen = BTreeSet::new();
        match self.endpoints.iter().find(|e| !seen.insert(**e)) {
            Some(duplicate) => Err(SettingsError::new(
                "--etcd-endpoint",
                duplicate,
                "is given twice",
            )),
            None => Ok(()),
        }
    }
}

/// Keeps the endpoint list of a node up to date with the store.
struct EndpointWatcher<'a> {
    node: &'a Node,
    runtime: RuntimeRef,
    options: WatcherOptions,
    client: Client,
    membership: Membership,
    start_times: StartTimes,
    update_interval: UpdateInterval,
    /// Whether the list changed after the snapshot was last written.
    snapshot_outdated: bool,
    /// Earliest time of the next snapshot write.
    next_snapshot_at: Micros,
    /// Engines whose invalid record was logged, with the revision of that record.
    logged_invalid_records: BTreeMap<EndpointId, i64>,
    /// Pause after the next failure, before jitter.
    pause: Micros,
}

impl Node {
    /// Keeps the node's endpoint list up to date with the store until the node stops. While the store cannot be reached, the
    /// last known list remains in use.
    pub async fn watch_endpoints(&self, options: WatcherOptions) {
        let runtime = metered(&self.context.runtime, &self.context.metrics.list_traffic);
        let mut watcher = EndpointWatcher {
            client: Client::new(&runtime, options.endpoints.clone(), options.etcd.clone()),
            membership: Membership::new(MembershipSettings {
                empty_grace: options.empty_grace,
                behind_grace: options.behind_grace,
            }),
            start_times: StartTimes::new(),
            update_interval: UpdateInterval::new(UpdateIntervalSettings::for_drain_grace(
                self.settings().router.drain_grace,
            )),
            snapshot_outdated: false,
            next_snapshot_at: 0,
            logged_invalid_records: BTreeMap::new(),
            pause: options.backoff.0,
            node: self,
            runtime,
            options,
        };
        or(watcher.run(), self.closed()).await;
    }
}

impl EndpointWatcher<'_> {
    async fn run(&mut self) {
        self.load_snapshot().await;
        loop {
            self.node.metrics().list_stale.set(1);
            if let Some(relist) = self.list().await {
                self.wait_to_relist(relist).await;
                continue;
            }
            self.node.metrics().list_stale.set(0);
            match self.watch().await {
                WatchEnd::Gap(reason) => {
                    info!(why = %reason, "endpoint watch interrupted, listing again");
                    self.node.metrics().list_gaps.add(1);
                    self.handle(WatchEvent::Gap).await;
                    self.back_off().await;
                }
                WatchEnd::Relist(relist) => self.runtime.sleep_until(relist.time()).await,
            }
        }
    }

    async fn load_snapshot(&mut self) {
        let Some(path) = self.options.snapshot.clone() else {
            return;
        };
        match snapshot::read(&path) {
            Ok(Some(members)) => {
                info!(engines = members.len(), file = %path.display(), "endpoint snapshot loaded");
                self.handle(WatchEvent::Snapshot(members)).await;
            }
            Ok(None) => {}
            Err(error) => {
                warn!(file = %path.display(), %error, "endpoint snapshot ignored");
            }
        }
    }

    /// Reads and applies the complete list. Returns when to read it again if it could not be read or was not accepted.
    async fn list(&mut self) -> Option<Relist> {
        let listed = self.client.list(self.options.prefix.as_bytes()).await;
        match listed {
            Ok(list) => {
                let (members, unreadable) = self.read_records(&list.kvs);
                self.handle(WatchEvent::List {
                    cluster: list.cluster,
                    revision: list.revision,
                    members,
                    unreadable,
                })
                .await
            }
            Err(error) => {
                warn!(%error, "endpoint list read failed, keeping the last one");
                Some(Relist::NextEndpoint)
            }
        }
    }

    async fn wait_to_relist(&mut self, relist: Relist) {
        match relist {
            Relist::NextEndpoint => {
                self.client.fail_over();
                self.back_off().await;
            }
            Relist::At(at) => {
                let latest = self
                    .runtime
                    .now()
                    .saturating_add(self.options.silence_timeout);
                self.runtime.sleep_until(at.min(latest)).await;
            }
        }
    }

    /// Waits after a failure, for a random time between half the pause and the whole pause. The pause doubles with each
    /// failure, up to the maximum.
    async fn back_off(&mut self) {
        let pause = (self.pause as f64 * (0.5 + 0.5 * self.runtime.random_f64())) as Micros;
        self.pause = (self.pause * 2).min(self.options.backoff.1);
        self.runtime.sleep(pause).await;
    }
}
