//! Opening a connection to an engine.

use ivyward_core::connect_backoff;
use ivyward_core::interface::Micros;
use ivyward_runtime::{before, Conn, ErrorOrigin, RuntimeRef};
use std::io;
use std::net::SocketAddr;

/// A connection that came up.
pub struct Connected {
    /// The connection.
    pub conn: Conn,
    /// How long its last try took: about one round trip.
    pub duration: Micros,
}

/// Why no connection came up.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// This machine could not open one, which says nothing about the engine.
    #[error("this machine could not open a connection: {0}")]
    Local(io::Error),
    /// The engine's side refused it, or it broke.
    #[error("{0}")]
    Remote(io::Error),
    /// It did not come up in time.
    #[error("no connection in time")]
    TimedOut,
}

/// Opens a connection by `until`. Guards against a moment without ports, buffers, descriptors or routes on this machine:
/// counted as failures of the engines, it would eject the whole fleet at once.
///
/// # Errors
/// [`ConnectFailure`], which says whose failure it was.
pub async fn connect(
    runtime: &RuntimeRef,
    address: SocketAddr,
    until: Micros,
) -> Result<Connected, ConnectFailure> {
    loop {
        let began = runtime.now();
        let error = match before(runtime, until, runtime.connect(address)).await {
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
