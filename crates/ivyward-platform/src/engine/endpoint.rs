//! One engine as the node reaches it: connections, and the calls that carry no prompt.

use super::connection::EngineConnection;
use super::load_report;
use super::pool::{EnginePool, PooledEndpoint};
use crate::buffered_connection::{read_response_body, read_response_head, ResponseHeadError};
use crate::config::LIMITS;
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::{LoadReport, Micros};
use ivyward::engines::connect::{connect, ConnectFailure, Connected};
use ivyward::runtime::before;
use ivyward::Engine;
use ivyward_http1::head;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a call without a prompt has no response.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The node has no file descriptor left for a connection.
    #[error("this machine could not open a connection: no descriptor is left")]
    NoDescriptor,
    /// This machine lacks something for a connection (a port, a buffer, a route), which says nothing of the engine.
    #[error("this machine could not open a connection: {0}")]
    NoLocalResources(std::io::Error),
    /// The engine could not be connected to.
    #[error("cannot connect to {address}: {failure}")]
    Connect {
        /// Where.
        address: SocketAddr,
        /// Why not.
        failure: ConnectFailure,
    },
    /// The request could not be written.
    #[error("{0}")]
    Write(std::io::Error),
    /// The connection brought no response.
    #[error("no answer")]
    NoResponse(#[source] ResponseHeadError),
    /// No response came in time.
    #[error("no answer from {0} in time")]
    TimedOut(SocketAddr),
}

impl CallError {
    /// Whether the call failed on this machine, so that nothing is known of the engine.
    pub(super) fn is_local(&self) -> bool {
        matches!(
            self,
            CallError::NoDescriptor | CallError::NoLocalResources(_)
        )
    }
}

/// The response to a call without a prompt.
#[derive(Debug)]
pub(super) struct CallResponse {
    pub(super) status: u16,
    /// The load report of its head or body.
    pub(super) report: LoadReport,
}

/// The client of one engine, as the driver holds it.
#[derive(Clone)]
pub(super) struct HttpEngineClient {
    pub(super) endpoint: Arc<PooledEndpoint>,
    pub(super) pool: Arc<EnginePool>,
}

impl HttpEngineClient {
    /// The client of an engine that is new or has moved.
    pub(super) fn new(engine: &Engine, pool: &Arc<EnginePool>) -> HttpEngineClient {
        HttpEngineClient {
            endpoint: pool.add(engine),
            pool: pool.clone(),
        }
    }

    /// Records that the engine responded; after a silence, pending releases may be sent to it again.
    pub(super) fn record_response(&self) {
        if self.endpoint.record_response(self.pool.runtime.now()) {
            self.pool.releases.endpoint_recovered();
        }
    }

    /// Records that a call ended without a response or a connection.
    pub(super) fn record_failure(&self) {
        self.endpoint.record_failure(self.pool.runtime.now());
    }

    /// An idle connection that may be reused, or a new one.
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

    /// Opens a new connection by `until`.
    async fn open_connection(
        &self,
        until: Micros,
        reserve: usize,
    ) -> Result<EngineConnection, CallError> {
        let permit = self.pool.permit(reserve).ok_or(CallError::NoDescriptor)?;
        let address = self.endpoint.address;
        match connect(&self.pool.runtime, address, until).await {
            Ok(Connected { conn, duration }) => Ok(EngineConnection::new(conn, duration, permit)),
            Err(ConnectFailure::Local(error)) => Err(CallError::NoLocalResources(error)),
            Err(failure) => Err(CallError::Connect { address, failure }),
        }
    }

    /// Whether a new connection can be opened by `until`; it is kept for the next request. If this machine cannot open one,
    /// nothing is known, and the engine counts as reachable.
    pub(super) async fn is_reachable(&self, until: Micros) -> bool {
        match self.open_connection(until, 0).await {
            Ok(connection) => {
                self.keep_idle(connection, true);
                true
            }
            Err(error) => error.is_local(),
        }
    }

    /// Keeps a connection whose response was received completely, if it `can_be_kept`.
    pub(super) fn keep_idle(&self, connection: EngineConnection, can_be_kept: bool) {
        self.pool.keep_idle(&self.endpoint, connection, can_be_kept);
    }

    /// Sends a request without a body, and reads its response.
    pub(super) async fn call(
        &self,
        method: &str,
        target: &str,
        until: Micros,
    ) -> Result<CallResponse, CallError> {
        let reserve = self.pool.release_connections;
        let mut connection = self.connect(until, ReusePolicy::Any, reserve).await?;
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
        let Some(exchange) = before(&self.pool.runtime, until, exchange).await else {
            self.record_failure();
            return Err(CallError::TimedOut(self.endpoint.address));
        };
        let (head, body) = exchange?;
        let mut report = self.load_report(head.head.text("x-server-load"));
        if let Some(body) = body.as_deref().filter(|_| report.len == 0) {
            report = self.load_report(std::str::from_utf8(body).ok());
        }
        self.keep_idle(connection, body.is_some() && head.head.keeps());
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
        connection.write(&request, &[]).await
    }

    /// The load report in a text, if there is one.
    pub(super) fn load_report(&self, text: Option<&str>) -> LoadReport {
        text.map_or(LoadReport::default(), |text| {
            load_report::parse(text, &self.pool.report_fields)
        })
    }
}
