//! The client: the connection to one endpoint at a time, failover, authentication and unary calls.

use crate::error::EtcdError;
use crate::rpc;
use http::{HeaderMap, HeaderValue};
use ivyward_grpc::{encode, Channel, Options};
use ivyward_runtime::{timeout_at, Micros, RuntimeRef};
use prost::Message;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// gRPC status code for a missing, invalid or expired token.
const UNAUTHENTICATED: u32 = 16;

/// Options of a client. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct EtcdOptions {
    /// Timeout for opening a connection to an endpoint.
    pub dial_timeout: Micros,
    /// Timeout for the response of a call. A write that times out may have been applied.
    pub call_timeout: Micros,
    /// Number of keys requested in one page of a list.
    pub page_size: i64,
    /// Maximum number of keys in a list. A longer list is an error, so that it cannot exhaust memory.
    pub max_keys: usize,
    /// User name and password. `None` sends no authentication token.
    pub credentials: Option<(String, String)>,
    /// Options of the gRPC connection.
    pub channel: Options,
}

impl Default for EtcdOptions {
    fn default() -> EtcdOptions {
        EtcdOptions {
            dial_timeout: 500_000,
            call_timeout: 2_000_000,
            page_size: 1_000,
            max_keys: 100_000,
            credentials: None,
            // Compared with connections to engines: watch responses are larger than tokens, and few calls share a connection.
            channel: Options {
                stream_window: 1 << 20,
                streams: 8,
                max_message_size: 16 << 20,
                ..Options::default()
            },
        }
    }
}

/// Whether a call may be retried after its connection failed or it timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    Idempotent,
    NonIdempotent,
}

#[derive(Default)]
struct Connection {
    /// Index of the endpoint that is in use or will be tried next.
    endpoint: usize,
    channel: Option<Channel>,
    /// The cached authentication token.
    token: Option<String>,
}

/// A client of an etcd cluster. Calls go to one endpoint until it fails, then to the next.
pub struct Client {
    runtime: RuntimeRef,
    endpoints: Vec<SocketAddr>,
    pub(crate) options: EtcdOptions,
    connection: Mutex<Connection>,
}

impl Client {
    /// Creates a client of the cluster at these endpoints. It connects on the first call.
    pub fn new(runtime: &RuntimeRef, endpoints: Vec<SocketAddr>, options: EtcdOptions) -> Client {
        Client {
            runtime: runtime.clone(),
            endpoints,
            options,
            connection: Mutex::default(),
        }
    }

    fn connection(&self) -> MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection to the endpoint in use; the next call goes to the next endpoint.
    pub fn fail_over(&self) {
        let mut connection = self.connection();
        if let Some(channel) = connection.channel.take() {
            channel.close();
        }
        connection.endpoint = (connection.endpoint + 1) % self.endpoints.len().max(1);
    }

    /// Returns a connection to the endpoint in use, or to the first of the others that can be reached.
    pub(crate) async fn channel(&self) -> Result<Channel, EtcdError> {
        let mut last_error = EtcdError::Unreachable(
            SocketAddr::from(([0, 0, 0, 0], 0)),
            "no endpoint is configured".into(),
        );
        for _ in 0..self.endpoints.len() {
            let (usable, endpoint) = {
                let connection = self.connection();
                (
                    connection.channel.clone().filter(Channel::is_usable),
                    connection.endpoint,
                )
            };
            if let Some(channel) = usable {
                return Ok(channel);
            }
            let address = self.endpoints[endpoint % self.endpoints.len()];
            match self.connect(address).await {
                Ok(channel) => {
                    self.connection().channel = Some(channel.clone());
                    return Ok(channel);
                }
                Err(error) => {
                    last_error = error;
                    self.fail_over();
                }
            }
        }
        Err(last_error)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, EtcdError> {
        let unreachable = |reason: String| EtcdError::Unreachable(address, reason);
        let dial = async {
            let conn = self
                .runtime
                .connect(address)
                .await
                .map_err(|e| unreachable(e.to_string()))?;
            Channel::begin(&self.runtime, conn, self.options.channel)
                .await
                .map_err(|e| unreachable(e.to_string()))
        };
        let deadline = self.runtime.now().saturating_add(self.options.dial_timeout);
        timeout_at(&self.runtime, deadline, dial)
            .await
            .unwrap_or_else(|| Err(unreachable("the connection was not open in time".into())))
    }

    /// Returns the headers of a call: the authentication token, if credentials are set.
    pub(crate) async fn headers(&self, channel: &Channel) -> Result<HeaderMap, EtcdError> {
        let mut headers = HeaderMap::new();
        let Some((name, password)) = &self.options.credentials else {
            return Ok(headers);
        };
        let cached = self.connection().token.clone();
        let token = match cached {
            Some(token) => token,
            None => self.authenticate(channel, name, password).await?,
        };
        let value = HeaderValue::from_str(&token).map_err(|_| {
            EtcdError::invalid("an authentication token that is not a valid header value")
        })?;
        headers.insert("token", value);
        Ok(headers)
    }

    /// Requests a token and caches it for later calls.
    async fn authenticate(
        &self,
        channel: &Channel,
        name: &str,
        password: &str,
    ) -> Result<String, EtcdError> {
        let request = rpc::AuthenticateRequest {
            name: name.to_owned(),
            password: password.to_owned(),
        };
        let path = "/etcdserverpb.Auth/Authenticate";
        let response: rpc::AuthenticateResponse = self
            .attempt(channel, path, &request, HeaderMap::new())
            .await?;
        self.connection().token = Some(response.token.clone());
        Ok(response.token)
    }

    /// Makes one attempt of a call on a connection.
    async fn attempt<M: Message + Default>(
        &self,
        channel: &Channel,
        path: &'static str,
        request: &impl Message,
        headers: HeaderMap,
    ) -> Result<M, EtcdError> {
        let deadline = self.runtime.now().saturating_add(self.options.call_timeout);
        let response = async {
            let mut call = channel.call(path, encode(request), headers).await?;
            call.next::<M>()
                .await?
                .ok_or_else(|| EtcdError::invalid("a unary call without a response message"))
        };
        timeout_at(&self.runtime, deadline, response)
            .await
            .unwrap_or(Err(EtcdError::Timeout))
    }

    /// Makes a call. An idempotent call whose connection fails or that times out is retried at the next endpoint.
    pub(crate) async fn call<M: Message + Default>(
        &self,
        path: &'static str,
        request: &impl Message,
        idempotency: Idempotency,
    ) -> Result<M, EtcdError> {
        let mut attempts = 0;
        let mut token_renewed = false;
        loop {
            attempts += 1;
            let channel = self.channel().await?;
            let result = match self.headers(&channel).await {
                Ok(headers) => self.attempt(&channel, path, request, headers).await,
                Err(e) => Err(e),
            };
            match result {
                Err(EtcdError::Status {
                    code: UNAUTHENTICATED,
                    ..
                }) if self.options.credentials.is_some() && !token_renewed => {
                    // The token expired, or the store restarted and does not know it. A new one is requested once.
                    token_renewed = true;
                    self.connection().token = None;
                }
                Err(error @ (EtcdError::Broken(_) | EtcdError::Timeout)) => {
                    self.fail_over();
                    let may_retry = idempotency == Idempotency::Idempotent
                        && attempts < self.endpoints.len() + 1;
                    if !may_retry {
                        return Err(error);
                    }
                }
                other => return other,
            }
        }
    }
}
