//! What the system's signals ask of the daemon.
//!
//! Each signal's handler sets a flag, which cannot fail, and then wakes the daemon through a pipe, which can: the write
//! may find no buffer, and the read may be interrupted. So the flags alone count, and they are also looked at regularly.

use async_signal::{Signal, Signals};
use futures_lite::future::or;
use futures_lite::StreamExt;
use ivyward::runtime::{RuntimeExt, RuntimeRef};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tracing::warn;

/// The flags are looked at so often (microseconds) where no wake-up came.
const LOOK_EVERY: u64 = 250_000;
/// A wait that failed is begun again after this span, in microseconds.
const RETRY_PAUSE: u64 = 10_000;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: end in order.
    Stop,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The signals that the daemon listens to. While this lives none of them ends the program by itself.
pub struct Requests {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_ups: Signals,
}

impl Requests {
    /// Takes the signals over from the system's own handling.
    ///
    /// # Errors
    /// One line, when the system refuses.
    pub fn listen() -> Result<Requests, String> {
        Requests::handlers().map_err(|e| format!("signals: {e}"))
    }

    fn handlers() -> io::Result<Requests> {
        let (stop, reload) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        // Handlers run in this order: a flag is set before its wake-up leaves.
        signal_hook::flag::register(SIGTERM, stop.clone())?;
        signal_hook::flag::register(SIGINT, stop.clone())?;
        signal_hook::flag::register(SIGHUP, reload.clone())?;
        let wake_ups = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(Requests {
            stop,
            reload,
            wake_ups,
        })
    }

    /// The next request. Guards against an interrupted wait that is taken for SIGTERM, and against a signal that is lost
    /// because its wake-up failed.
    pub async fn next(&mut self, runtime: &RuntimeRef) -> Request {
        loop {
            if self.stop.swap(false, Ordering::SeqCst) {
                return Request::Stop;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Request::Reload;
            }
            let look = async {
                runtime.sleep(LOOK_EVERY).await;
                Some(Ok(()))
            };
            let woken = or(
                async { self.wake_ups.next().await.map(|w| w.map(drop)) },
                look,
            )
            .await;
            if let Some(Err(error)) = woken {
                if error.kind() != io::ErrorKind::Interrupted {
                    warn!(%error, "waiting for signals failed and is begun again");
                    runtime.sleep(RETRY_PAUSE).await;
                }
            } else if woken.is_none() {
                // No wake-up will come any more: the flags are still looked at.
                runtime.sleep(LOOK_EVERY).await;
            }
        }
    }
}
