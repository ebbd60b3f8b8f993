//! A small store that speaks etcd's v3 API, written from its public description: revisions, ranges, transactions,
//! watches with progress and fragments, leases, compaction; and faults by script.

use crate::engine::{Host, Kill};
use event_listener::Event as Changed;
use futures_lite::{AsyncRead, AsyncWrite, Stream, StreamExt};
use hyper::body::Incoming;
use hyper_util::service::TowerToHyperService;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::{event::EventType, Event, KeyValue};
use ivyward_runtime::io::{Io, Tasks};
use ivyward_runtime::{Conn, Connection, Micros, Peer, RuntimeExt, RuntimeRef};
use pb::auth_server::{Auth, AuthServer};
use pb::kv_server::{Kv, KvServer};
use pb::lease_server::{Lease, LeaseServer};
use pb::watch_server::{Watch, WatchServer};
use prost::Message;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tonic::{Request, Response, Status};

/// Events in one response before it is cut into fragments.
const FRAGMENT: usize = 100;

/// What is wrong with a store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Calls get no answer.
    pub hang: bool,
    /// Watches tell nothing new, and do not end.
    pub mute_watches: bool,
    /// Name and password that are asked for.
    pub login: Option<(String, String)>,
    /// A token is taken for this span after it was given; 0 for ever.
    pub token_life: Micros,
    /// What watches tell by each door comes so much later than it happened, so that clients' sights differ.
    pub lag: Vec<Micros>,
    /// What happened within this span is told in one response; 0 for at once.
    pub batch: Micros,
    /// Doors that answer each list as it stood at this revision: members that lag behind. 0 for now.
    pub behind: Vec<i64>,
    /// Bytes a second that connections carry each way; 0 for as many as there are.
    pub rate: u64,
    /// Nothing goes out any more on connections that are open, and they stay so: a link that is open on one side.
    pub half_open: bool,
}

struct Granted {
    ttl: i64,
    ends: Micros,
}

/// What the store holds. Survives the death of its process where the script wants that.
struct Data {
    cluster: u64,
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// All changes since the compaction, in order; bounded by what tests write.
    history: Vec<Event>,
    leases: BTreeMap<i64, Granted>,
    next_lease: i64,
    faults: StoreFaults,
    /// Raised to end all watches with a reason.
    cancel_watches: u64,
    /// The token that was given last, and when it ends.
    token: (u64, Micros),
    renewals: u64,
}

/// What a store held at some time.
#[derive(Clone)]
pub struct StoreCopy {
    cluster: u64,
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: Vec<Event>,
    /// Ids and spans in seconds.
    leases: Vec<(i64, i64)>,
    next_lease: i64,
}

impl StoreCopy {
    /// Writes it to a file, as messages of the API's own.
    ///
    /// # Errors
    /// What the system says.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        let header = |revision| {
            Some(pb::ResponseHeader {
                cluster_id: self.cluster,
                revision,
                ..Default::default()
            })
        };
        let kvs: Vec<KeyValue> = self.keys.values().cloned().collect();
        let keys = pb::RangeResponse {
            header: header(self.revision),
            kvs,
            ..Default::default()
        };
        let history = pb::WatchResponse {
            header: header(self.next_lease),
            compact_revision: self.compacted,
            events: self.history.clone(),
            ..Default::default()
        };
        let mut bytes = keys.encode_length_delimited_to_vec();
        bytes.extend(history.encode_length_delimited_to_vec());
        for (id, ttl) in &self.leases {
            bytes.extend(
                pb::LeaseGrantRequest { id: *id, ttl: *ttl }.encode_length_delimited_to_vec(),
            );
        }
        std::fs::write(path, bytes)
    }
    /// Reads one from a file.
    ///
    /// # Errors
    /// What the system says, or that it is no such file.
    pub fn load(path: &Path) -> std::io::Result<StoreCopy> {
        let bytes = std::fs::read(path)?;
        let mut rest = &bytes[..];
        let keys = pb::RangeResponse::decode_length_delimited(&mut rest)?;
        let history = pb::WatchResponse::decode_length_delimited(&mut rest)?;
        let mut leases = Vec::new();
        while !rest.is_empty() {
            let lease = pb::LeaseGrantRequest::decode_length_delimited(&mut rest)?;
            leases.push((lease.id, lease.ttl));
        }
        let header = keys.header.unwrap_or_default();
        Ok(StoreCopy {
            cluster: header.cluster_id,
            revision: header.revision,
            compacted: history.compact_revision,
            keys: keys
                .kvs
                .into_iter()
                .map(|kv| (kv.key.clone(), kv))
                .collect(),
            history: history.events,
            leases,
            next_lease: history.header.unwrap_or_default().revision,
        })
    }
    /// The same without the history: a watch from an older revision finds it compacted away.
    pub fn without_history(mut self) -> StoreCopy {
        (self.compacted, self.history) = (self.revision, Vec::new());
        self
    }
}

impl Data {
    fn new(cluster: u64) -> Data {
        Data {
            cluster,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7_000,
            faults: StoreFaults::default(),
            cancel_watches: 0,
            token: (0, 0),
            renewals: 0,
        }
    }
    fn header(&self) -> Option<pb::ResponseHeader> {
        Some(pb::ResponseHeader {
            cluster_id: self.cluster,
            member_id: 1,
            revision: self.revision,
            raft_term: 2,
        })
    }
    fn inside(key: &[u8], from: &[u8], end: &[u8]) -> bool {
        match end {
            [] => key == from,
            // A single zero byte stands for no end.
            [0] => key >= from,
            end => key >= from && key < end,
        }
    }
    /// The keys as they stood at a revision.
    fn at(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        if revision == 0 || revision == self.revision {
            return self.keys.clone();
        }
        // Backwards from now: whatever changed later is set to what it was before, as the history kept it.
        let mut keys = self.keys.clone();
        for event in self.history.iter().rev() {
            let Some(kv) = event.kv.as_ref().filter(|kv| kv.mod_revision > revision) else {
                continue;
            };
            match &event.prev_kv {
                Some(before) => drop(keys.insert(kv.key.clone(), before.clone())),
                None => drop(keys.remove(&kv.key)),
            }
        }
        keys
    }
    fn range(&self, ask: &pb::RangeRequest) -> Result<pb::RangeResponse, Status> {
        if ask.revision > self.revision {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision is a future revision",
            ));
        }
        if ask.revision > 0 && ask.revision < self.compacted {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ));
        }
        if ask.key.is_empty() {
            return Err(Status::invalid_argument("etcdserver: key is not provided"));
        }
        let at = self.at(ask.revision);
        let all: Vec<&KeyValue> = at
            .values()
            .filter(|kv| Data::inside(&kv.key, &ask.key, &ask.range_end))
            .collect();
        let count = all.len() as i64;
        let limit = if ask.limit > 0 {
            ask.limit as usize
        } else {
            usize::MAX
        };
        let value = |kv: &KeyValue| match ask.keys_only {
            true => KeyValue {
                value: vec![],
                ..kv.clone()
            },
            false => kv.clone(),
        };
        let kvs = if ask.count_only {
            vec![]
        } else {
            all.into_iter().take(limit).map(value).collect()
        };
        let more = !ask.count_only && count as u64 > limit as u64;
        Ok(pb::RangeResponse {
            header: self.header(),
            kvs,
            more,
            count,
        })
    }
    fn put(&mut self, ask: &pb::PutRequest, revision: i64) -> Result<pb::PutResponse, Status> {
        if ask.key.is_empty() {
            return Err(Status::invalid_argument("etcdserver: key is not provided"));
        }
        if ask.lease != 0 && !self.leases.contains_key(&ask.lease) {
            return Err(Status::not_found("etcdserver: requested lease not found"));
        }
        let before = self.keys.get(&ask.key).cloned();
        if before.is_none() && (ask.ignore_value || ask.ignore_lease) {
            return Err(Status::invalid_argument("etcdserver: key not found"));
        }
        let old = before.as_ref();
        let kv = KeyValue {
            key: ask.key.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |kv| kv.version + 1),
            value: old
                .filter(|_| ask.ignore_value)
                .map_or(ask.value.clone(), |kv| kv.value.clone()),
            lease: old
                .filter(|_| ask.ignore_lease)
                .map_or(ask.lease, |kv| kv.lease),
        };
        self.keys.insert(ask.key.clone(), kv.clone());
        self.history.push(Event {
            r#type: EventType::Put.into(),
            kv: Some(kv),
            prev_kv: before.clone(),
        });
        Ok(pb::PutResponse {
            header: None,
            prev_kv: before.filter(|_| ask.prev_kv),
        })
    }
    fn delete(&mut self, ask: &pb::DeleteRangeRequest, revision: i64) -> pb::DeleteRangeResponse {
        let gone: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|k| Data::inside(k, &ask.key, &ask.range_end))
            .cloned()
            .collect();
        let mut prev_kvs = Vec::new();
        for key in &gone {
            let before = self.keys.remove(key);
            let kv = KeyValue {
                key: key.clone(),
                mod_revision: revision,
                ..KeyValue::default()
            };
            self.history.push(Event {
                r#type: EventType::Delete.into(),
                kv: Some(kv),
                prev_kv: before.clone(),
            });
            prev_kvs.extend(before.filter(|_| ask.prev_kv));
        }
        pb::DeleteRangeResponse {
            header: None,
            deleted: gone.len() as i64,
            prev_kvs,
        }
    }
    fn holds(&self, compare: &pb::Compare) -> bool {
        use pb::compare::{CompareResult, TargetUnion};
        let none = KeyValue::default();
        let one = |kv: &KeyValue| {
            let order = match &compare.target_union {
                Some(TargetUnion::Version(v)) => kv.version.cmp(v),
                Some(TargetUnion::CreateRevision(v)) => kv.create_revision.cmp(v),
                Some(TargetUnion::ModRevision(v)) => kv.mod_revision.cmp(v),
                Some(TargetUnion::Value(v)) => kv.value.cmp(v),
                Some(TargetUnion::Lease(v)) => kv.lease.cmp(v),
                None => return false,
            };
            match compare.result() {
                CompareResult::Equal => order.is_eq(),
                CompareResult::Greater => order.is_gt(),
                CompareResult::Less => order.is_lt(),
                CompareResult::NotEqual => order.is_ne(),
            }
        };
        if compare.range_end.is_empty() {
            return one(self.keys.get(&compare.key).unwrap_or(&none));
        }
        let inside = |kv: &&KeyValue| Data::inside(&kv.key, &compare.key, &compare.range_end);
        self.keys.values().filter(inside).all(one)
    }
    fn txn(&mut self, ask: &pb::TxnRequest, revision: i64) -> Result<pb::TxnResponse, Status> {
        use pb::request_op::Request as Op;
        use pb::response_op::Response as Done;
        let succeeded = ask.compare.iter().all(|c| self.holds(c));
        let mut responses = Vec::new();
        for op in if succeeded {
            &ask.success
        } else {
            &ask.failure
        } {
            let done = match &op.request {
                Some(Op::RequestRange(range)) => Done::ResponseRange(self.range(range)?),
                Some(Op::RequestPut(put)) => Done::ResponsePut(self.put(put, revision)?),
                Some(Op::RequestDeleteRange(delete)) => {
                    Done::ResponseDeleteRange(self.delete(delete, revision))
                }
                Some(Op::RequestTxn(txn)) => Done::ResponseTxn(self.txn(txn, revision)?),
                None => continue,
            };
            responses.push(pb::ResponseOp {
                response: Some(done),
            });
        }
        Ok(pb::TxnResponse {
            header: None,
            succeeded,
            responses,
        })
    }
    /// Ends leases whose time is over; their keys go in one revision each.
    fn expire(&mut self, now: Micros) -> bool {
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        over.iter().for_each(|id| self.revoke(*id));
        !over.is_empty()
    }
    fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .keys
            .values()
            .filter(|kv| kv.lease == id)
            .map(|kv| kv.key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(
                &pb::DeleteRangeRequest {
                    key,
                    ..Default::default()
                },
                self.revision,
            );
        }
    }
}

struct Inner {
    data: Mutex<Data>,
    changed: Changed,
    witness: Mutex<Option<Observer>>,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn change<T>(&self, change: impl FnOnce(&mut Data) -> T) -> T {
        let done = change(&mut self.lock());
        self.changed.notify(usize::MAX);
        done
    }
}

/// What a store showed through one of its doors.
pub enum Shown<'a> {
    /// A whole list, or a page of one.
    List(&'a [KeyValue]),
    /// Changes, by a watch.
    Events(&'a [Event]),
}

/// Told of all that a store shows, as it is handed to the socket: evidence that is not a node's own word.
pub type Observer = Arc<dyn Fn(usize, Shown<'_>) + Send + Sync>;

/// A store that a script holds: it can die, and come back with what it held or empty.
pub struct Store {
    inner: Arc<Inner>,
    host: Arc<dyn Host>,
    doors: Vec<SocketAddr>,
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
    /// The same at an address; port 0 for a free one.
    ///
    /// # Errors
    /// When the port cannot be taken.
    pub fn start_at(
        host: &Arc<dyn Host>,
        cluster: u64,
        address: SocketAddr,
    ) -> std::io::Result<Store> {
        let inner = Arc::new(Inner {
            data: Mutex::new(Data::new(cluster)),
            changed: Changed::new(),
            witness: Mutex::default(),
        });
        let mut store = Store {
            inner,
            host: host.clone(),
            doors: vec![address],
            kill: None,
            clock: Mutex::default(),
            starts: 0,
        };
        store.restart()?;
        Ok(store)
    }
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.doors[0]
    }
    /// Where it listens, a door for each client whose sight is told apart.
    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.doors
    }
    /// Opens further doors, so that there are so many, at its next start.
    ///
    /// # Errors
    /// When a port cannot be taken.
    pub fn open_endpoints(&mut self, count: usize) -> std::io::Result<()> {
        self.doors
            .resize(count.max(1), SocketAddr::from(([127, 0, 0, 1], 0)));
        self.restart()
    }
    /// Who is told of all that it shows.
    pub fn set_observer(&self, witness: Observer) {
        *self
            .inner
            .witness
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(witness);
    }
    /// Kills its process. What it holds stays.
    pub fn crash(&mut self) {
        if let Some(kill) = self.kill.take() {
            kill();
        }
    }
    /// Starts its process again at the old address.
    ///
    /// # Errors
    /// When the port cannot be taken.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.crash();
        self.starts += 1;
        let (runtime, kill) = self.host.process(self.starts);
        for (no, door) in self.doors.iter_mut().enumerate() {
            let mut listener = runtime.listen(*door)?;
            *door = listener.address();
            let (inner, serving) = (self.inner.clone(), runtime.clone());
            runtime.run(async move {
                loop {
                    let Ok((conn, _)) = listener.accept().await else {
                        continue;
                    };
                    let node = Serving {
                        inner: inner.clone(),
                        runtime: serving.clone(),
                        door: no,
                    };
                    let tasks = Tasks(serving.clone());
                    let conn = Link::over(conn, &inner, &serving);
                    serving.run(async move {
                        let service = TowerToHyperService::new(node);
                        // Errors concern this client alone.
                        let _ = hyper::server::conn::http2::Builder::new(tasks)
                            .auto_date_header(false)
                            .serve_connection(Io(conn), service)
                            .await;
                    });
                }
            });
        }
        let (inner, clock) = (self.inner.clone(), runtime.clone());
        // A restart gives every lease its whole time again, as etcd does.
        let now = runtime.now();
        self.inner
            .lock()
            .leases
            .values_mut()
            .for_each(|l| l.ends = now + l.ttl as u64 * 1_000_000);
        runtime.clone().run(async move {
            loop {
                clock.sleep(50_000).await;
                if inner.lock().expire(clock.now()) {
                    inner.changed.notify(usize::MAX);
                }
            }
        });
        self.kill = Some(kill);
        *self.clock.lock().unwrap_or_else(PoisonError::into_inner) = Some(runtime);
        Ok(())
    }
    /// Forgets everything, as a store that was restored empty: another cluster, revisions from 1 on.
    pub fn forget(&self) {
        self.inner.change(|data| {
            // Ids of leases are never given twice, whatever was forgotten.
            let next_lease = data.next_lease;
            *data = Data {
                next_lease,
                ..Data::new(data.cluster + 1)
            };
        });
    }
    /// What it holds now.
    pub fn copy(&self) -> StoreCopy {
        let data = self.inner.lock();
        StoreCopy {
            cluster: data.cluster,
            revision: data.revision,
            compacted: data.compacted,
            keys: data.keys.clone(),
            history: data.history.clone(),
            leases: data.leases.iter().map(|(id, l)| (*id, l.ttl)).collect(),
            next_lease: data.next_lease,
        }
    }
    /// Holds what a copy holds, under its old name: revisions may go back. Leases have their whole time again, and
    /// watches end.
    pub fn restore(&self, copy: StoreCopy) {
        let now = self
            .clock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
            .map_or(0, |w| w.now());
        self.inner.change(|data| {
            let ends = |ttl: i64| now + ttl as u64 * 1_000_000;
            let leases = copy.leases.iter().map(|(id, ttl)| {
                (
                    *id,
                    Granted {
                        ttl: *ttl,
                        ends: ends(*ttl),
                    },
                )
            });
            *data = Data {
                cluster: copy.cluster,
                revision: copy.revision,
                compacted: copy.compacted,
                keys: copy.keys,
                history: copy.history,
                leases: leases.collect(),
                next_lease: copy.next_lease.max(data.next_lease),
                faults: data.faults.clone(),
                cancel_watches: data.cancel_watches + 1,
                token: data.token,
                renewals: data.renewals,
            };
        });
    }
    /// Changes what is wrong with it.
    pub fn fault(&self, change: impl FnOnce(&mut StoreFaults)) {
        self.inner.change(|data| change(&mut data.faults));
    }
    /// Writes a key directly; the revision.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        self.inner.change(|data| {
            data.revision += 1;
            let ask = pb::PutRequest {
                key: key.into(),
                value: value.into(),
                ..Default::default()
            };
            // A key without a lease is always taken.
            let _ = data.put(&ask, data.revision);
            data.revision
        })
    }
    /// Writes a key directly under the lease that it has; the revision.
    pub fn put_leased(&self, key: &str, value: &str) -> i64 {
        self.inner.change(|data| {
            data.revision += 1;
            let (key, value) = (key.into(), value.into());
            let ask = pb::PutRequest {
                key,
                value,
                ignore_lease: true,
                ..Default::default()
            };
            // A key that is not there has no lease: nothing is written.
            let _ = data.put(&ask, data.revision);
            data.revision
        })
    }
    /// Deletes a key directly; the revision.
    pub fn delete(&self, key: &str) -> i64 {
        self.inner.change(|data| {
            data.revision += 1;
            data.delete(
                &pb::DeleteRangeRequest {
                    key: key.into(),
                    ..Default::default()
                },
                data.revision,
            );
            data.revision
        })
    }
    /// Drops the history up to now.
    pub fn compact(&self) {
        self.inner.change(|data| compact(data, data.revision));
    }
    /// Ends all watches with a reason.
    pub fn cancel_watches(&self) {
        self.inner.change(|data| data.cancel_watches += 1);
    }
    /// Its revision.
    pub fn revision(&self) -> i64 {
        self.inner.lock().revision
    }
    /// How often leases were renewed.
    pub fn renewals(&self) -> u64 {
        self.inner.lock().renewals
    }
    /// A key's value.
    pub fn value(&self, key: &str) -> Option<String> {
        let data = self.inner.lock();
        data.keys
            .get(key.as_bytes())
            .map(|kv| String::from_utf8_lossy(&kv.value).into_owned())
    }
    /// Keys that it holds.
    pub fn keys(&self) -> Vec<String> {
        self.inner
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

fn compact(data: &mut Data, revision: i64) {
    data.compacted = data.compacted.max(revision);
    data.history
        .retain(|e| e.kv.as_ref().is_some_and(|kv| kv.mod_revision > revision));
}

/// Serves one process's calls.
#[derive(Clone)]
struct Serving {
    inner: Arc<Inner>,
    runtime: RuntimeRef,
    door: usize,
}

type Reply = http::Response<tonic::body::Body>;

/// By the service that a call names.
impl tonic::codegen::Service<http::Request<Incoming>> for Serving {
    type Response = Reply;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Self::Error>> + Send>>;
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, request: http::Request<Incoming>) -> Self::Future {
        let service = request
            .uri()
            .path()
            .split('/')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        let me = self.clone();
        Box::pin(async move {
            let hangs = me.inner.lock().faults.hang;
            if hangs {
                std::future::pending::<()>().await;
            }
            let refused = me.login(&service, request.headers());
            if let Err(status) = refused {
                return Ok(status.into_http());
            }
            match service.as_str() {
                "etcdserverpb.KV" => KvServer::new(me).call(request).await,
                "etcdserverpb.Watch" => WatchServer::new(me).call(request).await,
                "etcdserverpb.Lease" => LeaseServer::new(me).call(request).await,
                "etcdserverpb.Auth" => AuthServer::new(me).call(request).await,
                _ => Ok(Status::unimplemented("unknown service").into_http()),
            }
        })
    }
}

impl Serving {
    fn show(&self, shown: Shown<'_>) {
        if self.inner.lock().faults.half_open {
            // It does not arrive.
            return;
        }
        let witness = self
            .inner
            .witness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some(witness) = witness {
            witness(self.door, shown);
        }
    }
    fn login(&self, service: &str, headers: &http::HeaderMap) -> Result<(), Status> {
        let data = self.inner.lock();
        let (wanted, (number, ends)) = (data.faults.login.is_some(), data.token);
        // The API's own name, and the one that its HTTP gateway passes on.
        let given = headers
            .get("token")
            .or_else(|| headers.get("authorization"));
        let given = given.and_then(|t| t.to_str().ok());
        let known = number > 0
            && given == Some(&format!("token.{number}")[..])
            && self.runtime.now() < ends;
        match !wanted || service == "etcdserverpb.Auth" || known {
            true => Ok(()),
            false => Err(Status::unauthenticated("etcdserver: invalid auth token")),
        }
    }
    /// Makes a change at the next revision, which counts only if something changed.
    fn write<T>(
        &self,
        change: impl FnOnce(&mut Data, i64) -> Result<T, Status>,
    ) -> Result<(T, Option<pb::ResponseHeader>), Status> {
        self.inner.change(|data| {
            let (next, before) = (data.revision + 1, data.history.len());
            let done = change(data, next)?;
            if data.history.len() > before {
                data.revision = next;
            }
            Ok((done, data.header()))
        })
    }
}

#[tonic::async_trait]
impl Kv for Serving {
    async fn range(
        &self,
        ask: Request<pb::RangeRequest>,
    ) -> Result<Response<pb::RangeResponse>, Status> {
        let reply = {
            let data = self.inner.lock();
            let behind = data.faults.behind.get(self.door).copied().unwrap_or(0);
            match ask.get_ref().revision {
                0 if behind > 0 => {
                    let asked = pb::RangeRequest {
                        revision: behind,
                        ..ask.get_ref().clone()
                    };
                    let mut reply = data.range(&asked)?;
                    reply.header.iter_mut().for_each(|h| h.revision = behind);
                    reply
                }
                _ => data.range(ask.get_ref())?,
            }
        };
        self.show(Shown::List(&reply.kvs));
        Ok(Response::new(reply))
    }
    async fn put(&self, ask: Request<pb::PutRequest>) -> Result<Response<pb::PutResponse>, Status> {
        let (done, header) = self.write(|data, at| data.put(ask.get_ref(), at))?;
        Ok(Response::new(pb::PutResponse { header, ..done }))
    }
    async fn delete_range(
        &self,
        ask: Request<pb::DeleteRangeRequest>,
    ) -> Result<Response<pb::DeleteRangeResponse>, Status> {
        let (done, header) = self.write(|data, at| Ok(data.delete(ask.get_ref(), at)))?;
        Ok(Response::new(pb::DeleteRangeResponse { header, ..done }))
    }
    async fn txn(&self, ask: Request<pb::TxnRequest>) -> Result<Response<pb::TxnResponse>, Status> {
        let (done, header) = self.write(|data, at| data.txn(ask.get_ref(), at))?;
        Ok(Response::new(pb::TxnResponse { header, ..done }))
    }
    async fn compact(
        &self,
        ask: Request<pb::CompactionRequest>,
    ) -> Result<Response<pb::CompactionResponse>, Status> {
        let revision = ask.get_ref().revision;
        self.inner.change(|data| {
            if revision > data.revision {
                return Err(Status::out_of_range(
                    "etcdserver: mvcc: required revision is a future revision",
                ));
            }
            if revision <= data.compacted {
                return Err(Status::out_of_range(
                    "etcdserver: mvcc: required revision has been compacted",
                ));
            }
            compact(data, revision);
            Ok(Response::new(pb::CompactionResponse {
                header: data.header(),
            }))
        })
    }
}

type Out<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl Watch for Serving {
    type WatchStream = Out<pb::WatchResponse>;
    async fn watch(
        &self,
        ask: Request<tonic::Streaming<pb::WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (tell, told) = async_channel::bounded(64);
        let (me, mut asks) = (self.clone(), ask.into_inner());
        self.runtime.run(async move {
            let mut next_id = 0;
            while let Some(Ok(ask)) = asks.next().await {
                use pb::watch_request::RequestUnion;
                match ask.request_union {
                    Some(RequestUnion::CreateRequest(create)) => {
                        let id = next_id;
                        next_id += 1;
                        let (one, tell) = (me.clone(), tell.clone());
                        me.runtime
                            .run(async move { one.follow(create, id, tell).await });
                    }
                    Some(RequestUnion::ProgressRequest(_)) => {
                        let header = me.inner.lock().header();
                        let progress = pb::WatchResponse {
                            header,
                            watch_id: -1,
                            ..Default::default()
                        };
                        let _ = tell.send(Ok(progress)).await;
                    }
                    // One watch a stream is all that is needed here: its end is the stream's.
                    Some(RequestUnion::CancelRequest(_)) | None => break,
                }
            }
        });
        Ok(Response::new(told.boxed()))
    }
}

impl Serving {
    async fn follow(
        self,
        create: pb::WatchCreateRequest,
        watch_id: i64,
        tell: async_channel::Sender<Result<pb::WatchResponse, Status>>,
    ) {
        let (mut next, cancels, cluster, first) = {
            let data = self.inner.lock();
            let next = if create.start_revision > 0 {
                create.start_revision
            } else {
                data.revision + 1
            };
            (next, data.cancel_watches, data.cluster, data.header())
        };
        let say = |response: pb::WatchResponse| {
            tell.send(Ok(pb::WatchResponse {
                watch_id,
                ..response
            }))
        };
        if say(pb::WatchResponse {
            header: first,
            created: true,
            ..Default::default()
        })
        .await
        .is_err()
        {
            return;
        }
        loop {
            let listener = self.inner.changed.listen();
            let (header, events, over) = {
                let data = self.inner.lock();
                let header = data.header();
                if data.cluster != cluster || data.cancel_watches != cancels {
                    let cancel_reason = "etcdserver: no leader".to_string();
                    let end = pb::WatchResponse {
                        header,
                        canceled: true,
                        cancel_reason,
                        ..Default::default()
                    };
                    (header, vec![], Some(end))
                } else if next <= data.compacted {
                    let end = pb::WatchResponse {
                        header,
                        canceled: true,
                        compact_revision: data.compacted,
                        cancel_reason: "etcdserver: mvcc: required revision has been compacted"
                            .into(),
                        ..Default::default()
                    };
                    (header, vec![], Some(end))
                } else if data.faults.mute_watches {
                    (header, vec![], None)
                } else {
                    let wanted = |e: &&Event| {
                        let kv = e.kv.as_ref();
                        let filter = match e.r#type() {
                            EventType::Put => pb::watch_create_request::FilterType::Noput,
                            EventType::Delete => pb::watch_create_request::FilterType::Nodelete,
                        };
                        kv.is_some_and(|kv| {
                            kv.mod_revision >= next
                                && Data::inside(&kv.key, &create.key, &create.range_end)
                        }) && !create.filters.contains(&filter.into())
                    };
                    let show = |e: &Event| Event {
                        prev_kv: e.prev_kv.clone().filter(|_| create.prev_kv),
                        ..e.clone()
                    };
                    let events: Vec<Event> = data.history.iter().filter(wanted).map(show).collect();
                    next = data.revision + 1;
                    (header, events, None)
                }
            };
            if let Some(end) = over {
                let _ = say(end).await;
                return;
            }
            if !events.is_empty() {
                let wait = {
                    let faults = &self.inner.lock().faults;
                    faults.lag.get(self.door).copied().unwrap_or(0)
                };
                if wait > 0 {
                    self.runtime.sleep(wait).await;
                }
            }
            let parts = if create.fragment {
                FRAGMENT
            } else {
                usize::MAX
            };
            let count = events.len();
            for (i, part) in events.chunks(parts).enumerate() {
                let fragment = (i + 1).saturating_mul(parts) < count;
                // Before it leaves: nobody is told later than this says.
                self.show(Shown::Events(part));
                let part = pb::WatchResponse {
                    header,
                    fragment,
                    events: part.to_vec(),
                    ..Default::default()
                };
                if say(part).await.is_err() {
                    return;
                }
            }
            let ended = futures_lite::future::or(
                async {
                    listener.await;
                    false
                },
                async {
                    // The client left.
                    while !tell.is_closed() {
                        self.runtime.sleep(100_000).await;
                    }
                    true
                },
            );
            if ended.await {
                return;
            }
            let batch = self.inner.lock().faults.batch;
            if batch > 0 {
                // What comes meanwhile is told with it.
                self.runtime.sleep(batch).await;
            }
        }
    }
}

/// A connection that may be slow, or open on one side only: then what it should carry out waits, up to [`MOST_STUCK`].
struct Link {
    conn: Conn,
    inner: Arc<Inner>,
    runtime: RuntimeRef,
    /// Nothing is written before this time.
    free: Micros,
    timer: Option<ivyward_runtime::BoxFuture<()>>,
    stuck: usize,
}

const MOST_STUCK: usize = 1 << 20;

impl Link {
    fn over(conn: Conn, inner: &Arc<Inner>, runtime: &RuntimeRef) -> Conn {
        let (inner, runtime) = (inner.clone(), runtime.clone());
        Box::new(Link {
            conn,
            inner,
            runtime,
            free: 0,
            timer: None,
            stuck: 0,
        })
    }
}

impl Connection for Link {
    fn reset_on_close(&mut self) {
        self.conn.reset_on_close();
    }
    fn peer(&self) -> Arc<dyn Peer> {
        self.conn.peer()
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.conn).poll_read(cx, buf)
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let (rate, half_open) = {
            let faults = &self.inner.lock().faults;
            (faults.rate, faults.half_open)
        };
        // Once a byte was lost on the way, nothing after it arrives either.
        if half_open || self.stuck > 0 {
            self.stuck += buf.len();
            return if self.stuck > MOST_STUCK {
                Poll::Pending
            } else {
                Poll::Ready(Ok(buf.len()))
            };
        }
        if rate == 0 {
            return Pin::new(&mut self.conn).poll_write(cx, buf);
        }
        let now = self.runtime.now();
        if self.free > now {
            let (runtime, free) = (self.runtime.clone(), self.free);
            let timer = self.timer.get_or_insert_with(|| runtime.sleep_until(free));
            std::task::ready!(timer.as_mut().poll(cx));
        }
        self.timer = None;
        // A tenth of a second's bytes at once.
        let part = buf.len().min((rate / 10).max(1) as usize);
        let put = std::task::ready!(Pin::new(&mut self.conn).poll_write(cx, &buf[..part]))?;
        self.free = self.runtime.now() + put as u64 * 1_000_000 / rate;
        Poll::Ready(Ok(put))
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}

#[tonic::async_trait]
impl Lease for Serving {
    type LeaseKeepAliveStream = Out<pb::LeaseKeepAliveResponse>;
    async fn lease_grant(
        &self,
        ask: Request<pb::LeaseGrantRequest>,
    ) -> Result<Response<pb::LeaseGrantResponse>, Status> {
        let (ttl, wanted) = (ask.get_ref().ttl, ask.get_ref().id);
        if ttl <= 0 {
            return Err(Status::out_of_range("etcdserver: too large lease TTL"));
        }
        let now = self.runtime.now();
        self.inner.change(|data| {
            data.next_lease += 1;
            let id = if wanted != 0 { wanted } else { data.next_lease };
            if data.leases.contains_key(&id) {
                return Err(Status::failed_precondition(
                    "etcdserver: lease already exists",
                ));
            }
            data.leases.insert(
                id,
                Granted {
                    ttl,
                    ends: now + ttl as u64 * 1_000_000,
                },
            );
            Ok(Response::new(pb::LeaseGrantResponse {
                header: data.header(),
                id,
                ttl,
                error: String::new(),
            }))
        })
    }
    async fn lease_revoke(
        &self,
        ask: Request<pb::LeaseRevokeRequest>,
    ) -> Result<Response<pb::LeaseRevokeResponse>, Status> {
        let id = ask.get_ref().id;
        self.inner.change(|data| {
            if !data.leases.contains_key(&id) {
                return Err(Status::not_found("etcdserver: requested lease not found"));
            }
            data.revoke(id);
            Ok(Response::new(pb::LeaseRevokeResponse {
                header: data.header(),
            }))
        })
    }
    async fn lease_keep_alive(
        &self,
        ask: Request<tonic::Streaming<pb::LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let me = self.clone();
        let answers = ask.into_inner().map(move |ask| {
            let (id, now) = (ask?.id, me.runtime.now());
            let mut data = me.inner.lock();
            let header = data.header();
            data.renewals += 1;
            // 0 where the lease is over.
            let ttl = data.leases.get_mut(&id).map_or(0, |lease| {
                lease.ends = now + lease.ttl as u64 * 1_000_000;
                lease.ttl
            });
            Ok(pb::LeaseKeepAliveResponse { header, id, ttl })
        });
        Ok(Response::new(answers.boxed()))
    }
    async fn lease_time_to_live(
        &self,
        ask: Request<pb::LeaseTimeToLiveRequest>,
    ) -> Result<Response<pb::LeaseTimeToLiveResponse>, Status> {
        let (id, now, data) = (ask.get_ref().id, self.runtime.now(), self.inner.lock());
        let found = data.leases.get(&id);
        let of = |kv: &&KeyValue| ask.get_ref().keys && kv.lease == id;
        Ok(Response::new(pb::LeaseTimeToLiveResponse {
            header: data.header(),
            id,
            ttl: found.map_or(-1, |l| (l.ends.saturating_sub(now) / 1_000_000) as i64),
            granted_ttl: found.map_or(0, |l| l.ttl),
            keys: data
                .keys
                .values()
                .filter(of)
                .map(|kv| kv.key.clone())
                .collect(),
        }))
    }
}

#[tonic::async_trait]
impl Auth for Serving {
    async fn authenticate(
        &self,
        ask: Request<pb::AuthenticateRequest>,
    ) -> Result<Response<pb::AuthenticateResponse>, Status> {
        let mut data = self.inner.lock();
        let given = Some((ask.get_ref().name.clone(), ask.get_ref().password.clone()));
        match data.faults.login {
            Some(_) if data.faults.login == given => {
                let life = if data.faults.token_life > 0 {
                    data.faults.token_life
                } else {
                    Micros::MAX
                };
                data.token = (data.token.0 + 1, self.runtime.now().saturating_add(life));
                let token = format!("token.{}", data.token.0);
                Ok(Response::new(pb::AuthenticateResponse {
                    header: data.header(),
                    token,
                }))
            }
            Some(_) => Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            )),
            None => Err(Status::failed_precondition(
                "etcdserver: authentication is not enabled",
            )),
        }
    }
}
