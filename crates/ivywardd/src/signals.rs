//! The signals that stop the daemon or make it reload its configuration.
//!
//! The handler of each signal sets a flag, which cannot fail, and then writes to a pipe that wakes the daemon. The pipe can
//! fail: the write may find the buffer full, and the read may be interrupted. Therefore only the flags say which signal
//! arrived, and they are also polled at a fixed interval.

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

/// Interval at which the flags are polled if no wakeup arrives, in microseconds.
const POLL_INTERVAL: u64 = 250_000;
/// Delay before a failed wait is retried, in microseconds.
const RETRY_DELAY: u64 = 10_000;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
}

/// Receives SIGTERM, SIGINT and SIGHUP. While a listener exists, these signals do not terminate the process by themselves.
pub struct SignalListener {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wakeups: Signals,
}

impl SignalListener {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// When the operating system rejects a handler, or the pipe cannot be created.
    pub fn install() -> Result<SignalListener, DaemonError> {
        SignalListener::install_handlers().map_err(DaemonError::Signals)
    }

    fn install_handlers() -> io::Result<SignalListener> {
        let (stop, reload) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        // Handlers of one signal run in the order of their registration, so the flag is set before the wakeup is sent.
        signal_hook::flag::register(SIGTERM, stop.clone())?;
        signal_hook::flag::register(SIGINT, stop.clone())?;
        signal_hook::flag::register(SIGHUP, reload.clone())?;
        let wakeups = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(SignalListener {
            stop,
            reload,
            wakeups,
        })
    }

    /// Waits for the next request. An interrupted wait is not mistaken for SIGTERM, and a signal is not lost if its wakeup
    /// fails, because the result depends on the flags only.
    pub async fn next(&mut self, runtime: &RuntimeRef) -> SignalRequest {
        loop {
            if self.stop.swap(false, Ordering::SeqCst) {
                return SignalRequest::Stop;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return SignalRequest::Reload;
            }
            let poll = async {
                runtime.sleep(POLL_INTERVAL).await;
                Some(Ok(()))
            };
            let woken = or(
                async { self.wakeups.next().await.map(|w| w.map(drop)) },
                poll,
            )
            .await;
            if let Some(Err(error)) = woken {
                if error.kind() != io::ErrorKind::Interrupted {
                    warn!(%error, "signal wait failed, will retry");
                    runtime.sleep(RETRY_DELAY).await;
                }
            } else if woken.is_none() {
                // The stream of wakeups has ended; the flags are still polled.
                runtime.sleep(POLL_INTERVAL).await;
            }
        }
    }
}
