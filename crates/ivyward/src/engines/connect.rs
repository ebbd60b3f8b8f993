//! Opening a connection to an engine.

use ivyward_core::connect_backoff;
use ivyward_core::interface::Micros;
use ivyward_runtime::{timeout_at, Conn, ErrorOrigin, RuntimeRef};
use std::io;
use std::net::SocketAddr;

/// An established connection.
pub struct Connected {
    /// The socket, on which nothing was sent yet.
    pub conn: Conn,
    /// Duration of the successful connection attempt in microseconds: about one round trip.
    pub duration: Micros,
}

/// Why no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// This machine could not open a connection, which says nothing about the engine.
    #[error("this machine could not open a connection: {0}")]
    Local(io::Error),
    /// The engine's host refused the connection, or the connection broke.
    #[error("{0}")]
    Remote(io::Error),
    /// The connection was not established in time.
    #[error("no connection in time")]
    TimedOut,
}

/// Opens a connection by `until`. Retries after errors of this machine.
///
/// This machine may briefly lack ports, buffers, descriptors or routes. If these errors counted as failures of the engines,
/// outlier detection would eject all engines at once.
///
/// # Errors
/// [`ConnectFailure`], which says whether this machine or the engine's side failed.
pub async fn connect(
    runtime: &RuntimeRef,
    address: SocketAddr,
    until: Micros,
) -> Result<Connected, ConnectFailure> {
    loop {
        let began = runtime.now();
        let error = match timeout_at(runtime, until, runtime.connect(address)).await {
            Some(Ok(conn)) => {
                return Ok(Connected {
                    conn,
                    duration: runtime.now() - began,
                })
            }
            Some(Err(error)) => error,
            None => return Err(ConnectFailure::TimedOut),
        };
        if ErrorOrigin::of(&error) == ErrorOrigin::Remote {
            return Err(ConnectFailure::Remote(error));
        }
        match connect_backoff::retry_at(runtime.now(), until) {
            Some(at) => runtime.sleep_until(at).await,
            None => return Err(ConnectFailure::Local(error)),
        }
    }
}
