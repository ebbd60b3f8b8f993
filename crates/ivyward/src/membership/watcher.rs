//! Watches the engines' records through etcd: lists, watches, and passes on what [`ivyward_core::membership`] decides.
//!
//! - `watch`: one watch from its start to its end.
//! - `delivery`: from what the store said to the node's endpoint list and the snapshot file.

mod delivery;
mod watch;

use crate::membership::registration::PREFIX;
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

/// Which store is watched, and how. Times are microseconds.
#[derive(Clone, Debug)]
pub struct WatcherOptions {
    /// The store's endpoints; one is used at a time.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the engines' records; each stands under its engine's id.
    pub prefix: String,
    /// Options of the store's client.
    pub etcd: EtcdOptions,
    /// After engines were known, an empty list is believed once the store has returned nothing else for this span.
    pub empty_grace: Micros,
    /// A watch that was silent for this span is asked for its progress; silent for as long again, it counts as broken.
    pub silence: Micros,
    /// A store whose lists stay behind a revision seen before is believed once it has returned nothing else for this span: it
    /// was restored from an older backup.
    pub behind_grace: Micros,
    /// The file of the last list, for starts while the store is down.
    pub snapshot: Option<PathBuf>,
    /// The first and the longest pause after a failure; it doubles in between, with jitter.
    pub pauses: (Micros, Micros),
}

impl Default for WatcherOptions {
    fn default() -> WatcherOptions {
        WatcherOptions {
            endpoints: Vec::new(),
            prefix: PREFIX.into(),
            etcd: EtcdOptions::default(),
            empty_grace: 10_000_000,
            behind_grace: 10_000_000,
            silence: 2_000_000,
            snapshot: None,
            pauses: (20_000, 2_000_000),
        }
    }
}

impl WatcherOptions {
    /// Checks the options.
    ///
    /// # Errors
    /// The first option that cannot hold.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.prefix.is_empty() {
            return Err(SettingsError::new(
                "--etcd-prefix",
                "(empty)",
                "would take every key for an engine's record",
            ));
        }
        for (flag, span) in [
            ("--etcd-silence", self.silence),
            ("--etcd-empty-grace", self.empty_grace),
            ("--etcd-behind-grace", self.behind_grace),
        ] {
            if !(1_000..=3_600_000_000).contains(&span) {
                return Err(SettingsError::new(
                    flag,
                    format!("{span}us"),
                    "must be from 1ms to an hour",
                ));
            }
        }
        let mut seen = BTreeSet::new();
        match self.endpoints.iter().find(|e| !seen.insert(**e)) {
            Some(twice) => Err(SettingsError::new(
                "--etcd-endpoint",
                twice,
                "is given twice",
            )),
            None => Ok(()),
        }
    }
}

/// Keeps a node's endpoint list as the store has it.
struct EndpointWatcher<'a> {
    node: &'a Node,
    runtime: RuntimeRef,
    options: WatcherOptions,
    client: Client,
    membership: Membership,
    start_times: StartTimes,
    update_interval: UpdateInterval,
    /// Whether the list changed since the snapshot was written.
    snapshot_outdated: bool,
    /// When the snapshot may be written again.
    next_snapshot_at: Micros,
    /// Engines whose bad record was logged, with its revision.
    logged_bad_records: BTreeMap<EndpointId, i64>,
    pause: Micros,
}

impl Node {
    /// Follows the store's list of engines until the node stops. While the store cannot be reached the last list stands.
    pub async fn follow(&self, options: WatcherOptions) {
        let runtime = metered(&self.context.runtime, &self.context.metrics.list_traffic);
        let mut watcher = EndpointWatcher {
            client: Client::new(&runtime, options.endpoints.clone(), options.etcd.clone()),
            membership: Membership::new(MembershipSettings {
                empty_grace: options.empty_grace,
                behind_grace: options.behind_grace,
            }),
            start_times: StartTimes::new(),
            update_interval: UpdateInterval::new(UpdateIntervalSettings::for_drain_grace(
                self.settings().rules.drain_grace,
            )),
            snapshot_outdated: false,
            next_snapshot_at: 0,
            logged_bad_records: BTreeMap::new(),
            pause: options.pauses.0,
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
                WatchEnd::Gap(why) => {
                    info!(%why, "endpoint watch interrupted, listing again");
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

    /// Reads the complete list. When to read it again, if it was not taken.
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
                Some(Relist::Elsewhere)
            }
        }
    }

    async fn wait_to_relist(&mut self, relist: Relist) {
        match relist {
            Relist::Elsewhere => {
                self.client.leave_endpoint();
                self.back_off().await;
            }
            Relist::At(at) => {
                let latest = self.runtime.now().saturating_add(self.options.silence);
                self.runtime.sleep_until(at.min(latest)).await;
            }
        }
    }

    /// Pauses, longer from failure to failure; half of the pause is random.
    async fn back_off(&mut self) {
        let pause = (self.pause as f64 * (0.5 + 0.5 * self.runtime.unit())) as Micros;
        self.pause = (self.pause * 2).min(self.options.pauses.1);
        self.runtime.sleep(pause).await;
    }
}
