//! The client: its connection to one endpoint at a time, failover, authentication and single calls.

use crate::error::EtcdError;
use crate::rpc;
use http::{HeaderMap, HeaderValue};
use ivyward_grpc::{encode, Channel, Options};
use ivyward_runtime::{before, Micros, RuntimeRef};
use prost::Message;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// gRPC's code for a token that is not, or no longer, valid.
const UNAUTHENTICATED: u32 = 16;

/// How a client behaves. Times are microseconds.
#[derive(Clone, Debug)]
pub struct EtcdOptions {
    /// Timeout of opening a connection.
    pub dial_timeout: Micros,
    /// Timeout of a call's response.
    pub call_timeout: Micros,
    /// Keys requested in one page of a list.
    pub page: i64,
    /// Largest number of keys in a list. A longer list is an error, so that it cannot exhaust memory.
    pub max_keys: usize,
    /// User name and password.
    pub login: Option<(String, String)>,
    /// Options of the gRPC connection.
    pub channel: Options,
}

impl Default for EtcdOptions {
    fn default() -> EtcdOptions {
        EtcdOptions {
            dial_timeout: 500_000,
            call_timeout: 2_000_000,
            page: 1_000,
            max_keys: 100_000,
            login: None,
            // Watch responses are larger than tokens, and few calls share the connection.
            channel: Options {
                stream_window: 1 << 20,
                streams: 8,
                max_message_size: 16 << 20,
                ..Options::default()
            },
        }
    }
}

/// Whether a call may be repeated after it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    Idempotent,
    NonIdempotent,
}

#[derive(Default)]
struct Connection {
    /// Index of the endpoint that is in use, or tried next.
    endpoint: usize,
    channel: Option<Channel>,
    token: Option<String>,
}

/// A client of one store. Calls go to one endpoint until it fails, then to the next.
pub struct Client {
    runtime: RuntimeRef,
    endpoints: Vec<SocketAddr>,
    pub(crate) options: EtcdOptions,
    connection: Mutex<Connection>,
}

impl Client {
    /// A client of the store at these endpoints. It connects on the first call.
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
    pub fn leave_endpoint(&self) {
        let mut connection = self.connection();
        if let Some(channel) = connection.channel.take() {
            channel.close();
        }
        connection.endpoint = (connection.endpoint + 1) % self.endpoints.len().max(1);
    }

    /// A connection to the endpoint in use, or to the first of the others that can be reached.
    pub(crate) async fn channel(&self) -> Result<Channel, EtcdError> {
        let mut last_error = EtcdError::Unreachable(
            SocketAddr::from(([0, 0, 0, 0], 0)),
            "no endpoint is given".into(),
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
                    self.leave_endpoint();
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
        before(&self.runtime, deadline, dial)
            .await
            .unwrap_or_else(|| Err(unreachable("not open in time".into())))
    }

    /// The headers of a call: the authentication token, if a login is set.
    pub(crate) async fn headers(&self, channel: &Channel) -> Result<HeaderMap, EtcdError> {
        let mut headers = HeaderMap::new();
        let Some((name, password)) = &self.options.login else {
            return Ok(headers);
        };
        let cached = self.connection().token.clone();
        let token = match cached {
            Some(token) => token,
            None => self.authenticate(channel, name, password).await?,
        };
        let value = HeaderValue::from_str(&token)
            .map_err(|_| EtcdError::invalid("a token that is no text"))?;
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

    /// One attempt of a call.
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
                .ok_or_else(|| EtcdError::invalid("an empty answer"))
        };
        before(&self.runtime, deadline, response)
            .await
            .unwrap_or(Err(EtcdError::Timeout))
    }

    /// Makes a call. An idempotent one that breaks is retried at the next endpoint.
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
                }) if self.options.login.is_some() && !token_renewed => {
                    // The token expired, or the store lost it.
                    token_renewed = true;
                    self.connection().token = None;
                }
                Err(error @ (EtcdError::Broken(_) | EtcdError::Timeout)) => {
                    self.leave_endpoint();
                    let retry = idempotency == Idempotency::Idempotent
                        && attempts < self.endpoints.len() + 1;
                    if !retry {
                        return Err(error);
                    }
                }
                other => return other,
            }
        }
    }
}
