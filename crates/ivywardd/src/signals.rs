//! The signals that stop the daemon or make it reload.
//!
//! Each signal's handler sets a flag, which cannot fail, and then wakes the daemon through a pipe, which can: the write
//! may find no buffer, and the read may be interrupted. So the flags alone count, and they are also looked at regularly.

use crate::error::DaemonError;
use async_signal::{Signal, Signals};
use futures_lite::future::or;
use futures_lite::StreamExt;
use ivyward::runtime::{RuntimeExt, RuntimeRef};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tracing::warn;

/// The flags are polled this often, in microseconds, where no wake-up came.
const POLL_INTERVAL: u64 = 250_000;
/// A wait that failed is retried after this pause, in microseconds.
const RETRY_PAUSE: u64 = 10_000;

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The signals that the daemon listens to. While this lives none of them ends the program by itself.
pub struct SignalListener {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_ups: Signals,
}

impl SignalListener {
    /// Installs the handlers.
    ///
    /// # Errors
    /// When the system refuses one.
    pub fn install() -> Result<SignalListener, DaemonError> {
        SignalListener::handlers().map_err(DaemonError::Signals)
    }

    fn handlers() -> io::Result<SignalListener> {
        let (stop, reload) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        // Handlers run in this order: a flag is set before its wake-up leaves.
        signal_hook::flag::register(SIGTERM, stop.clone())?;
        signal_hook::flag::register(SIGINT, stop.clone())?;
        signal_hook::flag::register(SIGHUP, reload.clone())?;
        let wake_ups = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(SignalListener {
            stop,
            reload,
            wake_ups,
        })
    }

    /// The next request. Guards against an interrupted wait that is taken for SIGTERM, and against a signal that is lost
    /// because its wake-up failed.
    pub async fn next(&mut self, runtime: &RuntimeRef) -> SignalRequest {
        loop {
            if self.stop.swap(false, Ordering::SeqCst) {
                return SignalRequest::Stop;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return SignalRequest::Reload;
            }
            let look = async {
                runtime.sleep(POLL_INTERVAL).await;
                Some(Ok(()))
            };
            let woken = or(
                async { self.wake_ups.next().await.map(|w| w.map(drop)) },
                look,
            )
            .await;
            if let Some(Err(error)) = woken {
                if error.kind() != io::ErrorKind::Interrupted {
                    warn!(%error, "signal wait failed, will retry");
                    runtime.sleep(RETRY_PAUSE).await;
                }
            } else if woken.is_none() {
                // No wake-up will come any more: the flags are still looked at.
                runtime.sleep(POLL_INTERVAL).await;
            }
        }
    }
}
