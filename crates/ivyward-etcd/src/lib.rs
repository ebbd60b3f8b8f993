//! A client of etcd's v3 API on an ivyward world.
//!
//! - [`Client`]: endpoints with failover; key-value, lease and auth calls.
//! - [`Client::list`]: all keys of a prefix, in pages at one revision.
//! - [`Client::keep`]: a key under a lease that is kept alive, which is what a registration is.
//! - [`Watcher`]: what happened after a revision, or that something was missed.

mod keep;
mod watch;

pub use ivyward_proto::etcd::{etcdserverpb as rpc, mvccpb};
pub use keep::Kept;
pub use watch::{Notice, Watcher};

use http::{HeaderMap, HeaderValue};
use ivyward_grpc::{encode, CallError, Cause, Channel, Options};
use ivyward_runtime::{before, Micros, RuntimeRef};
use prost::Message;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// gRPC's code for a token that is not, or no longer, valid.
const UNAUTHENTICATED: u32 = 16;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EtcdError {
    /// No endpoint could be reached; the last one's reason.
    #[error("no endpoint of the store answers; the last, {0}: {1}")]
    Unreachable(SocketAddr, String),
    /// The store answered with a status.
    #[error("the store answered with status {code}: {message}")]
    Status {
        /// gRPC's code.
        code: u32,
        /// etcd's text, such as `etcdserver: mvcc: required revision has been compacted`.
        message: String,
    },
    /// The call broke; a write may have been done.
    #[error("the call to the store broke: {0}")]
    Broken(String),
    /// No answer in time; a write may have been done.
    #[error("no answer of the store in time")]
    Late,
    /// The answer is not what was asked for.
    #[error("the store's answer makes no sense: {0}")]
    Nonsense(String),
}

/// How a client behaves. Times are microseconds.
#[derive(Clone, Debug)]
pub struct EtcdOptions {
    /// For a connection.
    pub dial_timeout: Micros,
    /// For a call's answer.
    pub call_timeout: Micros,
    /// Keys asked for at once.
    pub page: i64,
    /// Most keys of a list; a longer one is an error, not memory.
    pub most_keys: usize,
    /// User name and password.
    pub login: Option<(String, String)>,
    /// The connection's own.
    pub wire: Options,
}

impl Default for EtcdOptions {
    fn default() -> EtcdOptions {
        EtcdOptions {
            dial_timeout: 500_000,
            call_timeout: 2_000_000,
            page: 1_000,
            most_keys: 100_000,
            login: None,
            // Watch responses are larger than tokens, and few calls share the connection.
            wire: Options {
                stream_window: 1 << 20,
                streams: 8,
                max_message_size: 16 << 20,
                ..Options::default()
            },
        }
    }
}

/// All keys of a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Which store.
    pub cluster: u64,
    /// The revision of all of it; a watch goes on from the next.
    pub revision: i64,
    /// The keys, in their order.
    pub kvs: Vec<mvccpb::KeyValue>,
}

#[derive(Default)]
struct Current {
    /// Which endpoint is used, or tried next.
    endpoint: usize,
    channel: Option<Channel>,
    token: Option<String>,
}

/// A client of one store. Calls go to one endpoint until it fails, then to the next.
pub struct Client {
    runtime: RuntimeRef,
    endpoints: Vec<SocketAddr>,
    options: EtcdOptions,
    current: Mutex<Current>,
}

/// The end of the range of all keys that begin with a prefix, as etcd counts: the prefix with its last byte that is not
/// 0xff raised by one; a single zero byte, which stands for no end, where there is none.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

impl Client {
    /// A client of the store at these endpoints; connects when first asked.
    pub fn new(runtime: &RuntimeRef, endpoints: Vec<SocketAddr>, options: EtcdOptions) -> Client {
        Client {
            runtime: runtime.clone(),
            endpoints,
            options,
            current: Mutex::default(),
        }
    }
    fn current(&self) -> MutexGuard<'_, Current> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves the endpoint in use: the next call goes to another one.
    pub fn leave_endpoint(&self) {
        let mut current = self.current();
        if let Some(channel) = current.channel.take() {
            channel.close();
        }
        current.endpoint = (current.endpoint + 1) % self.endpoints.len().max(1);
    }

    /// A connection to the endpoint in use, or to the first of the others that can be reached.
    async fn channel(&self) -> Result<Channel, EtcdError> {
        let nobody = EtcdError::Unreachable(
            SocketAddr::from(([0, 0, 0, 0], 0)),
            "no endpoint is given".into(),
        );
        let mut last = nobody;
        for _ in 0..self.endpoints.len() {
            let (ready, endpoint) = {
                let current = self.current();
                (
                    current.channel.clone().filter(Channel::usable),
                    current.endpoint,
                )
            };
            if let Some(channel) = ready {
                return Ok(channel);
            }
            let address = self.endpoints[endpoint % self.endpoints.len()];
            let dial = async {
                let conn = self
                    .runtime
                    .connect(address)
                    .await
                    .map_err(|e| e.to_string())?;
                Channel::begin(&self.runtime, conn, self.options.wire)
                    .await
                    .map_err(|e| e.to_string())
            };
            let until = self.runtime.now().saturating_add(self.options.dial_timeout);
            match before(&self.runtime, until, dial).await {
                Some(Ok(channel)) => {
                    self.current().channel = Some(channel.clone());
                    return Ok(channel);
                }
                other => {
                    let text = other
                        .and_then(Result::err)
                        .unwrap_or_else(|| "not open in time".into());
                    last = EtcdError::Unreachable(address, text);
                    self.leave_endpoint();
                }
            }
        }
        Err(last)
    }

    async fn headers(&self, channel: &Channel) -> Result<HeaderMap, EtcdError> {
        let mut headers = HeaderMap::new();
        let Some((name, password)) = &self.options.login else {
            return Ok(headers);
        };
        let known = self.current().token.clone();
        let token = match known {
            Some(token) => token,
            None => {
                let ask = rpc::AuthenticateRequest {
                    name: name.clone(),
                    password: password.clone(),
                };
                let path = "/etcdserverpb.Auth/Authenticate";
                let reply: rpc::AuthenticateResponse =
                    self.once(channel, path, &ask, HeaderMap::new()).await?;
                self.current().token = Some(reply.token.clone());
                reply.token
            }
        };
        let value = HeaderValue::from_str(&token);
        headers.insert(
            "token",
            value.map_err(|_| EtcdError::Nonsense("a token that is no text".into()))?,
        );
        Ok(headers)
    }

    async fn once<M: Message + Default>(
        &self,
        channel: &Channel,
        path: &'static str,
        ask: &impl Message,
        headers: HeaderMap,
    ) -> Result<M, EtcdError> {
        let until = self.runtime.now().saturating_add(self.options.call_timeout);
        let call = async {
            let mut call = channel
                .call(path, encode(ask), headers)
                .await
                .map_err(told)?;
            call.next::<M>()
                .await
                .map_err(told)?
                .ok_or_else(|| EtcdError::Nonsense("an empty answer".into()))
        };
        before(&self.runtime, until, call)
            .await
            .unwrap_or(Err(EtcdError::Late))
    }

    /// One call. `again` says that it may be done twice: then a break is followed by a try at the next endpoint.
    async fn call<M: Message + Default>(
        &self,
        path: &'static str,
        ask: &impl Message,
        again: bool,
    ) -> Result<M, EtcdError> {
        let mut tries = 0;
        let mut logged_in_again = false;
        loop {
            tries += 1;
            let channel = self.channel().await?;
            let asked = match self.headers(&channel).await {
                Ok(headers) => self.once(&channel, path, ask, headers).await,
                Err(e) => Err(e),
            };
            match asked {
                Err(EtcdError::Status {
                    code: UNAUTHENTICATED,
                    ..
                }) if self.options.login.is_some() && !logged_in_again => {
                    // The token ran out, or the store forgot it.
                    logged_in_again = true;
                    self.current().token = None;
                }
                Err(EtcdError::Broken(_) | EtcdError::Late)
                    if again && tries < self.endpoints.len() + 1 =>
                {
                    self.leave_endpoint();
                }
                Err(e @ (EtcdError::Broken(_) | EtcdError::Late)) => {
                    self.leave_endpoint();
                    return Err(e);
                }
                other => return other,
            }
        }
    }

    /// A range, as etcd's own request.
    ///
    /// # Errors
    /// [`EtcdError`].
    pub async fn range(&self, ask: &rpc::RangeRequest) -> Result<rpc::RangeResponse, EtcdError> {
        self.call("/etcdserverpb.KV/Range", ask, true).await
    }

    /// All keys of a prefix, in pages at the revision of the first.
    ///
    /// # Errors
    /// [`EtcdError`]; among them a revision that was compacted away between two pages: list again.
    pub async fn list(&self, prefix: &[u8]) -> Result<List, EtcdError> {
        let mut list = List::default();
        let (mut key, end) = (prefix.to_vec(), prefix_end(prefix));
        loop {
            let ask = rpc::RangeRequest {
                key,
                range_end: end.clone(),
                limit: self.options.page,
                revision: list.revision,
                ..rpc::RangeRequest::default()
            };
            let page = self.range(&ask).await?;
            let header = page
                .header
                .ok_or_else(|| EtcdError::Nonsense("a range without a header".into()))?;
            if list.revision == 0 {
                (list.cluster, list.revision) = (header.cluster_id, header.revision);
            } else if header.cluster_id != list.cluster {
                return Err(EtcdError::Nonsense(
                    "another store answered in the middle of a list".into(),
                ));
            }
            if list.kvs.len() + page.kvs.len() > self.options.most_keys {
                return Err(EtcdError::Nonsense(format!(
                    "over {} keys below the prefix",
                    self.options.most_keys
                )));
            }
            let last = page.kvs.last().map(|kv| kv.key.clone());
            list.kvs.extend(page.kvs);
            match last {
                Some(last) if page.more => key = [&last[..], &[0]].concat(),
                _ => return Ok(list),
            }
        }
    }

    /// Writes a key; `lease` 0 for none.
    ///
    /// # Errors
    /// [`EtcdError`]; after `Broken` or `Late` it may have been written.
    pub async fn put(&self, key: &[u8], value: &[u8], lease: i64) -> Result<i64, EtcdError> {
        let ask = rpc::PutRequest {
            key: key.into(),
            value: value.into(),
            lease,
            ..rpc::PutRequest::default()
        };
        let reply: rpc::PutResponse = self.call("/etcdserverpb.KV/Put", &ask, false).await?;
        Ok(reply.header.map_or(0, |h| h.revision))
    }

    /// Deletes a key; tells how many there were.
    ///
    /// # Errors
    /// [`EtcdError`]; after `Broken` or `Late` it may have been deleted.
    pub async fn delete(&self, key: &[u8]) -> Result<i64, EtcdError> {
        let ask = rpc::DeleteRangeRequest {
            key: key.into(),
            ..rpc::DeleteRangeRequest::default()
        };
        let reply: rpc::DeleteRangeResponse = self
            .call("/etcdserverpb.KV/DeleteRange", &ask, false)
            .await?;
        Ok(reply.deleted)
    }

    /// Several operations at once, on conditions.
    ///
    /// # Errors
    /// [`EtcdError`]; after `Broken` or `Late` it may have been done.
    pub async fn txn(&self, ask: &rpc::TxnRequest) -> Result<rpc::TxnResponse, EtcdError> {
        self.call("/etcdserverpb.KV/Txn", ask, false).await
    }

    /// Takes out a lease of so many seconds; its id.
    ///
    /// # Errors
    /// [`EtcdError`].
    pub async fn grant(&self, seconds: i64) -> Result<i64, EtcdError> {
        let ask = rpc::LeaseGrantRequest {
            ttl: seconds,
            id: 0,
        };
        let reply: rpc::LeaseGrantResponse = self
            .call("/etcdserverpb.Lease/LeaseGrant", &ask, true)
            .await?;
        match reply.error.is_empty() {
            true => Ok(reply.id),
            false => Err(EtcdError::Status {
                code: 2,
                message: reply.error,
            }),
        }
    }

    /// Ends a lease, and with it the keys that hang on it.
    ///
    /// # Errors
    /// [`EtcdError`].
    pub async fn revoke(&self, lease: i64) -> Result<(), EtcdError> {
        let ask = rpc::LeaseRevokeRequest { id: lease };
        let _: rpc::LeaseRevokeResponse = self
            .call("/etcdserverpb.Lease/LeaseRevoke", &ask, true)
            .await?;
        Ok(())
    }

    /// Renews a lease once; the seconds that it has then. 0 means that it is over, and its keys are gone.
    ///
    /// # Errors
    /// [`EtcdError`].
    pub async fn renew(&self, lease: i64) -> Result<i64, EtcdError> {
        let ask = rpc::LeaseKeepAliveRequest { id: lease };
        let path = "/etcdserverpb.Lease/LeaseKeepAlive";
        let reply: rpc::LeaseKeepAliveResponse = self.call(path, &ask, true).await?;
        Ok(reply.ttl)
    }

    /// Watches all keys of a prefix from a revision on.
    ///
    /// # Errors
    /// [`EtcdError`] when the store cannot be reached; whether the revision is still there shows in the first notice.
    pub async fn watch(&self, prefix: &[u8], from: i64) -> Result<Watcher, EtcdError> {
        let channel = self.channel().await?;
        let headers = self.headers(&channel).await?;
        Watcher::begin(&channel, headers, prefix, from).await
    }
}

/// A failed call as an error of this package.
pub(crate) fn told(e: CallError) -> EtcdError {
    match e.cause {
        Cause::Status(status) => EtcdError::Status {
            code: status.code,
            message: status.message,
        },
        Cause::Frame(e) => EtcdError::Nonsense(e.to_string()),
        cause => EtcdError::Broken(cause.to_string()),
    }
}

#[cfg(test)]
mod tests;
