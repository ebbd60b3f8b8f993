//! Serves the requests on one client connection, one after the other.

use super::request_reader::ReadError;
use super::response::{error_body, Delivery, ShortResponse};
use super::Server;
use crate::buffered_connection::BufferedConnection;
use futures_lite::future::{or, yield_now};
use ivyward::core::interface::Micros;
use ivyward::runtime::timeout_at;
use ivyward::CloseReason;

/// The timeout for receiving a request: 2 s, both for its first byte on a new connection and from there to its last byte.
/// The platform requires a response or a close within 3 s of connecting, regardless of the deployment's deadlines.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// The idle timeout of a connection after a response: 30 s.
const KEEP_ALIVE_TIMEOUT: Micros = 30_000_000;
/// After the last response, received bytes are discarded for up to 1.5 s and 64 MiB before the connection is closed. Closing
/// it with unread bytes would send a reset, which could reach the client before the response.
const LINGER_TIMEOUT: Micros = 1_500_000;
const LINGER_BYTES: usize = 64 << 20;

/// An error response, and whether the connection closes after it.
pub(super) struct RequestError {
    pub(super) status: u16,
    pub(super) text: String,
    pub(super) closes: bool,
}

impl RequestError {
    /// Creates an error after which the next request on the connection can be read.
    pub(super) fn new(status: u16, text: impl Into<String>) -> RequestError {
        RequestError {
            status,
            text: text.into(),
            closes: false,
        }
    }

    /// Creates an error after which the connection closes.
    pub(super) fn closing(status: u16, text: impl Into<String>) -> RequestError {
        RequestError {
            status,
            text: text.into(),
            closes: true,
        }
    }
}

impl Server {
    /// Serves a client connection until it closes, and returns why it closed.
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
            // A client that sends requests behind each other shares the thread with the others after each of them.
            yield_now().await;
            return Ok(());
        }
        self.table.set_idle(id, now);
        let received = async { Some(connection.fill().await) };
        let close = async {
            // Returns an error when the table's entry is dropped.
            let _ = close_requested.recv().await;
            None
        };
        let received = timeout_at(&self.runtime, until, or(received, close)).await;
        match received.flatten() {
            Some(Ok(count)) if count > 0 => Ok(()),
            Some(_) => Err(CloseReason::ClientDisconnected),
            None => Err(self.stopping_or(CloseReason::Idle)),
        }
    }

    /// Reads one request and responds to it. Returns the reason as an error if the connection closes after it.
    async fn serve_request(&self, connection: &mut BufferedConnection) -> Result<(), CloseReason> {
        let until = self.runtime.now().saturating_add(REQUEST_TIMEOUT);
        let error = match self.receive(connection, until).await {
            Err(ReadError::Closed) => return Err(CloseReason::ClientDisconnected),
            Err(ReadError::Invalid(error)) => error,
            Ok((request, prompt)) => {
                let keep_alive = request.headers.is_keep_alive();
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

    /// Returns an error with the reason if the connection closes after a response.
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
            Delivery::Complete if keep_alive && !self.closes_after_response(connection) => Ok(()),
            Delivery::Complete => Err(self.stopping_or(CloseReason::CloseRequested)),
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
        if error.closes || self.closes_after_response(connection) {
            self.linger(connection).await;
            return Err(self.stopping_or(CloseReason::InvalidRequest));
        }
        Ok(())
    }

    /// Returns whether the connection closes because the node is stopping. A request that was received behind the last one, also
    /// in part, gets its response first.
    fn closes_after_response(&self, connection: &BufferedConnection) -> bool {
        self.is_stopping() && connection.unread().is_empty()
    }

    /// Returns [`CloseReason::Stopping`] if the node is stopping, otherwise `reason`.
    fn stopping_or(&self, reason: CloseReason) -> CloseReason {
        match self.is_stopping() {
            true => CloseReason::Stopping,
            false => reason,
        }
    }

    /// Shuts down the sending side, and discards received bytes until the client closes or a limit is reached.
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
        timeout_at(&self.runtime, until, discard).await;
    }
}
