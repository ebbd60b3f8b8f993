//! The client of one engine: opens connections, and sends the requests that carry no prompt.

use super::connection::EngineConnection;
use super::load_report;
use super::pool::{EnginePool, PooledEndpoint};
use crate::buffered_connection::{read_response_body, read_response_head, ResponseHeadError};
use crate::config::LIMITS;
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::{LoadReport, Micros};
use ivyward::engines::connect::{connect, ConnectFailure, Connected};
use ivyward::memory_budget::BudgetShare;
use ivyward::runtime::timeout_at;
use ivyward::Engine;
use ivyward_http1::head;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a request without a prompt got no response.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The limit on open connections, which bounds the node's file descriptors, is reached.
    #[error("cannot open a connection: the limit on open connections is reached")]
    NoDescriptor,
    /// This machine has no free port, buffer or route for a connection. The engine may still be reachable.
    #[error("cannot open a connection for want of local resources: {0}")]
    NoLocalResources(std::io::Error),
    /// Connecting to the engine failed.
    #[error("cannot connect to {address}: {failure}")]
    Connect {
        /// The engine's address.
        address: SocketAddr,
        /// Why the connection attempt failed.
        failure: ConnectFailure,
    },
    /// The request could not be written.
    #[error("cannot write the request: {0}")]
    Write(std::io::Error),
    /// No response head was received on the connection.
    #[error("no response: {0}")]
    NoResponse(#[source] ResponseHeadError),
    /// The engine at this address did not respond before the deadline of the call.
    #[error("no response from {0} before the deadline")]
    TimedOut(SocketAddr),
}

impl CallError {
    /// Returns whether the call failed on this machine, which does not indicate a failure of the engine.
    pub(super) fn is_local(&self) -> bool {
        matches!(
            self,
            CallError::NoDescriptor | CallError::NoLocalResources(_)
        )
    }
}

/// The response to a request without a prompt.
#[derive(Debug)]
pub(super) struct CallResponse {
    pub(super) status: u16,
    /// The load report in the `X-Server-Load` header, or else in the body.
    pub(super) report: LoadReport,
}

/// The client of one engine, used by the driver as an [`ivyward::engines::EngineClient`].
#[derive(Clone)]
pub(super) struct HttpEngineClient {
    pub(super) endpoint: Arc<PooledEndpoint>,
    pub(super) pool: Arc<EnginePool>,
}

impl HttpEngineClient {
    /// Creates the client of an engine that is new in the list or has a new address.
    pub(super) fn new(engine: &Engine, pool: &Arc<EnginePool>) -> HttpEngineClient {
        HttpEngineClient {
            endpoint: pool.add(engine),
            pool: pool.clone(),
        }
    }

    /// Records that the engine responded. If its last call had failed, pending releases may be sent to it again.
    pub(super) fn record_response(&self) {
        if self.endpoint.record_response(self.pool.runtime.now()) {
            self.pool.releases.endpoint_recovered();
        }
    }

    /// Records that connecting to the engine failed, or that a call ended without a response.
    pub(super) fn record_failure(&self) {
        self.endpoint.record_failure(self.pool.runtime.now());
    }

    /// Returns an idle connection if `reuse` allows it, or else opens one by `until` or within the connect timeout.
    /// `reserve` is the number of connections that the caller may open beyond the limit.
    pub(super) async fn connect(
        &self,
        until: Micros,
        reuse: ReusePolicy,
        reserve: usize,
    ) -> Result<EngineConnection, CallError> {
        let idle = match reuse {
            ReusePolicy::Any => self.pool.take_idle(&self.endpoint, true),
            ReusePolicy::ProvenSafe => self.pool.take_idle(&self.endpoint, false),
            ReusePolicy::Never => None,
        };
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let timeout = self.pool.connect_timeout;
        let until = until.min(self.pool.runtime.now().saturating_add(timeout));
        let opened = self.open_connection(until, reserve).await;
        if opened.as_ref().is_err_and(|error| !error.is_local()) {
            self.record_failure();
        }
        opened
    }

    /// Opens a new connection; fails at `until`.
    async fn open_connection(
        &self,
        until: Micros,
        reserve: usize,
    ) -> Result<EngineConnection, CallError> {
        let permit = self.pool.permit(reserve).ok_or(CallError::NoDescriptor)?;
        let address = self.endpoint.address;
        match connect(&self.pool.runtime, address, until).await {
            Ok(Connected { conn, duration }) => {
                let memory = BudgetShare::new(&self.pool.response_memory);
                let read_size = self.pool.read_size;
                Ok(EngineConnection::new(
                    conn, duration, permit, memory, read_size,
                ))
            }
            Err(ConnectFailure::Local(error)) => Err(CallError::NoLocalResources(error)),
            Err(failure) => Err(CallError::Connect { address, failure }),
        }
    }

    /// Returns whether a new connection can be opened by `until`, and adds the connection to the pool. If this machine lacks
    /// the resources to open one, the engine counts as reachable, since nothing indicates that it is not.
    pub(super) async fn is_reachable(&self, until: Micros) -> bool {
        match self.open_connection(until, 0).await {
            Ok(connection) => {
                self.return_connection(connection, true);
                true
            }
            Err(error) => error.is_local(),
        }
    }

    /// Returns a connection to the pool. `keep_alive`: the response was received completely and does not ask for a close.
    pub(super) fn return_connection(&self, connection: EngineConnection, keep_alive: bool) {
        self.pool
            .return_connection(&self.endpoint, connection, keep_alive);
    }

    /// Sends a request without a body, and reads its response. The connection may be one of those reserved for releases and
    /// health checks.
    pub(super) async fn call(
        &self,
        method: &str,
        target: &str,
        reuse: ReusePolicy,
        until: Micros,
    ) -> Result<CallResponse, CallError> {
        let reserve = self.pool.release_connections;
        let mut connection = self.connect(until, reuse, reserve).await?;
        let exchange = async {
            self.write_empty_request(&mut connection, method, target)
                .await
                .map_err(CallError::Write)?;
            let head = read_response_head(&mut connection, &LIMITS)
                .await
                .map_err(CallError::NoResponse)?;
            self.record_response();
            let body = read_response_body(&mut connection, &head, &LIMITS).await;
            Ok((head, body))
        };
        let Some(exchange) = timeout_at(&self.pool.runtime, until, exchange).await else {
            self.record_failure();
            return Err(CallError::TimedOut(self.endpoint.address));
        };
        let (head, body) = exchange?;
        let mut report = self.load_report(head.headers.text("x-server-load"));
        if let Some(body) = body.as_deref().filter(|_| report.len == 0) {
            report = self.load_report(std::str::from_utf8(body).ok());
        }
        self.return_connection(connection, body.is_some() && head.headers.is_keep_alive());
        Ok(CallResponse {
            status: head.status,
            report,
        })
    }

    /// Writes a request without a body.
    pub(super) async fn write_empty_request(
        &self,
        connection: &mut EngineConnection,
        method: &str,
        target: &str,
    ) -> std::io::Result<()> {
        connection.has_pending_request = true;
        let mut request = Vec::new();
        let host = self.endpoint.address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Length", "0")];
        head::write(
            &mut request,
            &format!("{method} {target} HTTP/1.1"),
            &headers,
        );
        connection.write(&[&request]).await
    }

    /// Parses a load report; an absent or malformed one yields an empty report.
    pub(super) fn load_report(&self, text: Option<&str>) -> LoadReport {
        text.map_or(LoadReport::default(), |text| {
            load_report::parse(text, &self.pool.report_fields)
        })
    }
}
