//! A small store that implements etcd's v3 API, written from the API's public description: revisions, ranges, transactions,
//! watches with progress and fragments, leases, compaction; and scripted faults.
//!
//! - `state`: keys, revisions and history; `transactions` and `leases` build on it.
//! - `watch`: the watch service.
//! - `server`: dispatch by service, authentication and the key-value service.
//! - `connection`: connections that are slow or half-open.
//! - `snapshot`: copies of a store, in memory and in files.

mod connection;
mod leases;
mod server;
mod snapshot;
mod state;
mod transactions;
mod watch;

pub use snapshot::StoreSnapshot;

use crate::engine::{Host, Kill};
use connection::FaultyConnection;
use event_listener::Event as ChangeEvent;
use hyper_util::service::TowerToHyperService;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::{Event, KeyValue};
use ivyward_runtime::io::{HyperExecutor, Io};
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};
use leases::GrantedLease;
use server::StoreService;
use state::{SharedState, StoreState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Faults of a store. All are off by default.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Calls never return.
    pub hang: bool,
    /// Watches stay open without delivering events.
    pub suppress_watch_events: bool,
    /// User name and password that clients must authenticate with.
    pub login: Option<(String, String)>,
    /// How long a token is valid after it was issued, in microseconds; 0 means that it does not expire.
    pub token_ttl: Micros,
    /// Delay of watch events per endpoint, in microseconds, so that clients' views differ.
    pub watch_delays: Vec<Micros>,
    /// Events within this interval, in microseconds, are sent in one response; 0 sends each at once.
    pub batch_interval: Micros,
    /// Revision as of which each endpoint answers range requests, like a member that lags behind; 0 means the current one.
    pub stale_revisions: Vec<i64>,
    /// Bytes per second that a connection sends; 0 means no limit.
    pub bytes_per_second: u64,
    /// Connections stay open but no longer deliver anything to the client, as if half-open.
    pub half_open: bool,
}

/// Data that a store sends through one of its endpoints.
pub enum StoreOutput<'a> {
    /// The key-value pairs in the response to a range request: a complete list, or one page of it.
    List(&'a [KeyValue]),
    /// Events sent by a watch.
    Events(&'a [Event]),
}

/// Called with the endpoint's index and all key-value data that the store sends, before the data is written to the socket.
/// The calls are evidence that does not depend on what a node reports.
pub type Observer = Arc<dyn Fn(usize, StoreOutput<'_>) + Send + Sync>;

/// A store controlled by a script: it can crash, and restart with its contents or empty.
pub struct Store {
    shared: Arc<SharedState>,
    host: Arc<dyn Host>,
    endpoints: Vec<SocketAddr>,
    kill: Option<Kill>,
    clock: Mutex<Option<RuntimeRef>>,
    starts: u64,
}

impl Store {
    /// Starts an empty store on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be taken.
    pub fn start(host: &Arc<dyn Host>, cluster: u64) -> std::io::Result<Store> {
        Store::start_at(host, cluster, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an empty store at an address; port 0 for a free one.
    ///
    /// # Errors
    /// When the port cannot be taken.
    pub fn start_at(
        host: &Arc<dyn Host>,
        cluster: u64,
        address: SocketAddr,
    ) -> std::io::Result<Store> {
        let shared = Arc::new(SharedState {
            state: Mutex::new(StoreState::new(cluster)),
            changed: ChangeEvent::new(),
            observer: Mutex::default(),
        });
        let mut store = Store {
            shared,
            host: host.clone(),
            endpoints: vec![address],
            kill: None,
            clock: Mutex::default(),
            starts: 0,
        };
        store.restart()?;
        Ok(store)
    }

    /// Returns the address of the first endpoint.
    pub fn address(&self) -> SocketAddr {
        self.endpoints[0]
    }

    /// Returns the addresses of all endpoints: one for each client whose view is observed separately.
    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    /// Sets the number of endpoints and restarts the store.
    ///
    /// # Errors
    /// When a port cannot be taken.
    pub fn open_endpoints(&mut self, count: usize) -> std::io::Result<()> {
        self.endpoints
            .resize(count.max(1), SocketAddr::from(([127, 0, 0, 1], 0)));
        self.restart()
    }

    /// Sets the observer of everything the store sends.
    pub fn set_observer(&self, observer: Observer) {
        *self
            .shared
            .observer
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(observer);
    }

    /// Kills the process. The contents are preserved.
    pub fn crash(&mut self) {
        if let Some(kill) = self.kill.take() {
            kill();
        }
    }

    /// Starts the process again at the same addresses.
    ///
    /// # Errors
    /// When the port cannot be taken.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.crash();
        self.starts += 1;
        let (runtime, kill) = self.host.process(self.starts);
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let mut listener = runtime.listen(*endpoint)?;
            *endpoint = listener.address();
            let (shared, serving) = (self.shared.clone(), runtime.clone());
            runtime.run(async move {
                loop {
                    let Ok((conn, _)) = listener.accept().await else {
                        continue;
                    };
                    let service = StoreService {
                        shared: shared.clone(),
                        runtime: serving.clone(),
                        endpoint: index,
                    };
                    let tasks = HyperExecutor(serving.clone());
                    let conn = FaultyConnection::wrap(conn, &shared, &serving);
                    serving.run(async move {
                        let service = TowerToHyperService::new(service);
                        // A connection error concerns this client alone.
                        let _ = hyper::server::conn::http2::Builder::new(tasks)
                            .auto_date_header(false)
                            .serve_connection(Io::new(conn), service)
                            .await;
                    });
                }
            });
        }
        let (shared, clock) = (self.shared.clone(), runtime.clone());
        // A restart renews every lease, as etcd does.
        let now = runtime.now();
        self.shared
            .lock()
            .leases
            .values_mut()
            .for_each(|l| l.expires_at = now + l.ttl as u64 * 1_000_000);
        runtime.clone().run(async move {
            loop {
                clock.sleep(50_000).await;
                if shared.lock().expire(clock.now()) {
                    shared.changed.notify(usize::MAX);
                }
            }
        });
        self.kill = Some(kill);
        *self.clock.lock().unwrap_or_else(PoisonError::into_inner) = Some(runtime);
        Ok(())
    }

    /// Discards the contents, like a store that was restored empty: the cluster id changes and revisions start at 1.
    pub fn reset_empty(&self) {
        self.shared.change(|state| {
            // Lease ids are never reused.
            let next_lease = state.next_lease;
            *state = StoreState {
                next_lease,
                ..StoreState::new(state.cluster + 1)
            };
        });
    }

    /// Returns a snapshot of the current contents.
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.shared.lock();
        StoreSnapshot {
            cluster: state.cluster,
            revision: state.revision,
            compacted: state.compacted,
            keys: state.keys.clone(),
            history: state.history.clone(),
            leases: state.leases.iter().map(|(id, l)| (*id, l.ttl)).collect(),
            next_lease: state.next_lease,
        }
    }

    /// Restores a snapshot under its own cluster id: revisions may go back. All leases are renewed, and open watches are
    /// cancelled.
    pub fn restore(&self, copy: StoreSnapshot) {
        let now = self
            .clock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
            .map_or(0, |clock| clock.now());
        self.shared.change(|state| {
            let expires_at = |ttl: i64| now + ttl as u64 * 1_000_000;
            let leases = copy.leases.iter().map(|(id, ttl)| {
                (
                    *id,
                    GrantedLease {
                        ttl: *ttl,
                        expires_at: expires_at(*ttl),
                    },
                )
            });
            *state = StoreState {
                cluster: copy.cluster,
                revision: copy.revision,
                compacted: copy.compacted,
                keys: copy.keys,
                history: copy.history,
                leases: leases.collect(),
                next_lease: copy.next_lease.max(state.next_lease),
                faults: state.faults.clone(),
                cancel_watches: state.cancel_watches + 1,
                token: state.token,
                renewals: state.renewals,
            };
        });
    }

    /// Changes the store's faults.
    pub fn fault(&self, change: impl FnOnce(&mut StoreFaults)) {
        self.shared.change(|state| change(&mut state.faults));
    }

    /// Writes a key without a lease. Returns the new revision.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        self.shared.change(|state| {
            state.revision += 1;
            let request = pb::PutRequest {
                key: key.into(),
                value: value.into(),
                ..Default::default()
            };
            // A put without a lease cannot fail.
            let _ = state.put(&request, state.revision);
            state.revision
        })
    }

    /// Writes an existing key without changing its lease. Writes nothing if the key does not exist. Returns the new
    /// revision.
    pub fn put_keeping_lease(&self, key: &str, value: &str) -> i64 {
        self.shared.change(|state| {
            state.revision += 1;
            let (key, value) = (key.into(), value.into());
            let request = pb::PutRequest {
                key,
                value,
                ignore_lease: true,
                ..Default::default()
            };
            // Fails, and writes nothing, when the key does not exist.
            let _ = state.put(&request, state.revision);
            state.revision
        })
    }

    /// Deletes a key. Returns the new revision.
    pub fn delete(&self, key: &str) -> i64 {
        self.shared.change(|state| {
            state.revision += 1;
            state.delete(
                &pb::DeleteRangeRequest {
                    key: key.into(),
                    ..Default::default()
                },
                state.revision,
            );
            state.revision
        })
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        self.shared.change(|state| state.compact(state.revision));
    }

    /// Cancels all open watches.
    pub fn cancel_watches(&self) {
        self.shared.change(|state| state.cancel_watches += 1);
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.shared.lock().revision
    }

    /// Returns the number of lease renewals so far, including those of expired leases.
    pub fn renewals(&self) -> u64 {
        self.shared.lock().renewals
    }

    /// Returns the value of a key, or `None` if the key does not exist.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.lock();
        state
            .keys
            .get(key.as_bytes())
            .map(|kv| String::from_utf8_lossy(&kv.value).into_owned())
    }

    /// Returns all keys in order.
    pub fn keys(&self) -> Vec<String> {
        self.shared
            .lock()
            .keys
            .keys()
            .map(|k| String::from_utf8_lossy(k).into_owned())
            .collect()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.crash();
    }
}
