//! Requests on one client connection, one after the other.

use super::request_reader::ReadError;
use super::response::{error_body, Delivery, ShortResponse};
use super::Server;
use crate::buffered_connection::BufferedConnection;
use futures_lite::future::or;
use ivyward::core::interface::Micros;
use ivyward::runtime::before;
use ivyward::CloseReason;

/// A request that has begun is received completely within this span, or is answered with an error. The platform requires
/// that within 3 s of connecting, whatever the deployment's deadlines.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// A connection without a request is kept for this span after a response.
const KEEP_ALIVE_TIMEOUT: Micros = 30_000_000;
/// What is still received after an error is discarded for this span and up to so many bytes, so that no reset overtakes the
/// error.
const LINGER_TIMEOUT: Micros = 1_500_000;
const LINGER_BYTES: usize = 64 << 20;

/// An error for a client, and whether the connection closes after it.
pub(super) struct RequestError {
    pub(super) status: u16,
    pub(super) text: String,
    pub(super) closes: bool,
}

impl RequestError {
    /// An error after which the next request can be read.
    pub(super) fn new(status: u16, text: impl Into<String>) -> RequestError {
        RequestError {
            status,
            text: text.into(),
            closes: false,
        }
    }

    /// An error after which the connection closes.
    pub(super) fn closing(status: u16, text: impl Into<String>) -> RequestError {
        RequestError {
            status,
            text: text.into(),
            closes: true,
        }
    }
}

impl Server {
    /// Serves a client's connection until it ends; why it ended.
    pub(super) async fn serve_connection(
        &self,
        mut connection: BufferedConnection,
        id: u64,
        close_requested: async_channel::Receiver<()>,
    ) -> CloseReason {
        let mut idle_timeout = REQUEST_TIMEOUT;
        loop {
            let next_request = self
                .wait_for_request(&mut connection, id, idle_timeout, &close_requested)
                .await;
            if let Err(reason) = next_request {
                return reason;
            }
            idle_timeout = KEEP_ALIVE_TIMEOUT;
            self.table.set_busy(id);
            if let Err(reason) = self.serve_request(&mut connection).await {
                return reason;
            }
        }
    }

    /// Waits for the first bytes of a request.
    async fn wait_for_request(
        &self,
        connection: &mut BufferedConnection,
        id: u64,
        timeout: Micros,
        close_requested: &async_channel::Receiver<()>,
    ) -> Result<(), CloseReason> {
        let now = self.runtime.now();
        let until = now.saturating_add(timeout);
        if !connection.unread().is_empty() {
            return Ok(());
        }
        self.table.set_idle(id, now);
        let received = async { Some(connection.fill().await) };
        let close = async {
            // Ends when the table's entry is dropped.
            let _ = close_requested.recv().await;
            None
        };
        let received = before(&self.runtime, until, or(received, close)).await;
        match received.flatten() {
            Some(Ok(count)) if count > 0 => Ok(()),
            Some(_) => Err(CloseReason::ClientDisconnected),
            None => Err(self.unless_stopping(CloseReason::Idle)),
        }
    }

    /// Reads one request and responds to it; the reason if the connection ends with it.
    async fn serve_request(&self, connection: &mut BufferedConnection) -> Result<(), CloseReason> {
        let until = self.runtime.now().saturating_add(REQUEST_TIMEOUT);
        let error = match self.receive(connection, until).await {
            Err(ReadError::Closed) => return Err(CloseReason::ClientDisconnected),
            Err(ReadError::Invalid(error)) => error,
            Ok((request, prompt)) => {
                let keep_alive = request.head.keeps();
                match self.handle_request(connection, request, prompt).await {
                    Ok(delivery) => {
                        return self.after_response(connection, delivery, keep_alive).await
                    }
                    Err(error) => RequestError {
                        closes: error.closes || !keep_alive,
                        ..error
                    },
                }
            }
        };
        self.respond_with_error(connection, &error).await
    }

    /// Whether the connection goes on after a response.
    async fn after_response(
        &self,
        connection: &mut BufferedConnection,
        delivery: Delivery,
        keep_alive: bool,
    ) -> Result<(), CloseReason> {
        if connection.discarded_bytes() > 0 {
            self.linger(connection).await;
            return Err(CloseReason::Pipelined);
        }
        match delivery {
            Delivery::Complete if keep_alive && !self.is_stopping() => Ok(()),
            Delivery::Complete => Err(self.unless_stopping(CloseReason::CloseRequested)),
            Delivery::Broken => Err(CloseReason::ResponseBroken),
        }
    }

    async fn respond_with_error(
        &self,
        connection: &mut BufferedConnection,
        error: &RequestError,
    ) -> Result<(), CloseReason> {
        let closes = error.closes || self.is_stopping();
        let response = ShortResponse {
            status: error.status,
            headers: &[],
            body: &error_body(&error.text),
            closes,
        };
        if self.respond(connection, &response).await == Delivery::Broken {
            return Err(CloseReason::ClientDisconnected);
        }
        if closes {
            self.linger(connection).await;
            return Err(self.unless_stopping(CloseReason::InvalidRequest));
        }
        Ok(())
    }

    fn unless_stopping(&self, reason: CloseReason) -> CloseReason {
        match self.is_stopping() {
            true => CloseReason::Stopping,
            false => reason,
        }
    }

    /// Closes our sending side, and discards what is still received.
    async fn linger(&self, connection: &mut BufferedConnection) {
        connection.close_write().await;
        let until = self.runtime.now().saturating_add(LINGER_TIMEOUT);
        let discard = async {
            let mut bytes_left = LINGER_BYTES;
            connection.consume(connection.unread().len());
            while let Ok(received) = connection.fill().await {
                connection.consume(received);
                bytes_left = bytes_left.saturating_sub(received);
                if received == 0 || bytes_left == 0 {
                    break;
                }
            }
        };
        before(&self.runtime, until, discard).await;
    }
}
