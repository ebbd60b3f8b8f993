//! The constructors of [`Channel`] and the task that drives a connection.

use crate::activity::Activity;
use crate::channel::{Channel, NO_FAILED_CHECK};
use crate::frame_observer::{FrameObserver, ObservedConnection};
use crate::keepalive::{IdleChecks, Keepalive};
use crate::options::Options;
use bytes::Bytes;
use futures_lite::future::or;
use h2::client::{Connection, SendRequest};
use ivyward_runtime::io::Io;
use ivyward_runtime::{Conn, RuntimeExt, RuntimeRef};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

type Http2Connection = Connection<Io<ObservedConnection>, Bytes>;

impl Channel {
    /// Starts HTTP/2 on a connection. A task of the runtime drives the connection's frames and pings until it closes.
    ///
    /// # Errors
    /// The error of h2 when the connection preface cannot be written.
    pub async fn begin(
        runtime: &RuntimeRef,
        conn: Conn,
        options: Options,
    ) -> Result<Channel, h2::Error> {
        Channel::begin_with_idle_checks(runtime, conn, options, None).await
    }

    /// Like [`Channel::begin`], but `idle_checks` decides when the connection is checked while no call is in flight.
    ///
    /// # Errors
    /// The error of h2 when the connection preface cannot be written.
    pub async fn begin_with_idle_checks(
        runtime: &RuntimeRef,
        conn: Conn,
        options: Options,
        idle_checks: Option<Arc<dyn IdleChecks>>,
    ) -> Result<Channel, h2::Error> {
        let observer = Arc::new(FrameObserver::default());
        let observed = ObservedConnection::new(conn, observer.clone(), runtime.clone());
        let (send, mut connection) = http2_handshake(observed, &options).await?;
        let (close, close_requested) = async_channel::bounded::<()>(1);
        let activity = Arc::new(Activity::default());
        let task = ConnectionTask {
            pings: connection.ping_pong(),
            connection,
            close_requested,
            keepalive: Keepalive {
                runtime: runtime.clone(),
                options,
                observer: observer.clone(),
                activity: activity.clone(),
                idle_checks,
            },
            observer: observer.clone(),
        };
        runtime.run(task.run());
        Ok(Channel {
            send,
            observer,
            close,
            activity,
            received_at_failed_check: Arc::new(AtomicU64::new(NO_FAILED_CHECK)),
            options,
            runtime: runtime.clone(),
        })
    }
}

async fn http2_handshake(
    conn: ObservedConnection,
    options: &Options,
) -> Result<(SendRequest<Bytes>, Http2Connection), h2::Error> {
    h2::client::Builder::new()
        .initial_window_size(options.stream_window)
        .initial_connection_window_size(options.connection_window())
        .data_frame_budget(options.frame_budget())
        .enable_push(false)
        .handshake(Io::new(conn))
        .await
}

/// Drives a connection until the connection breaks, a close is requested, or a ping is not answered.
struct ConnectionTask {
    connection: Http2Connection,
    pings: Option<h2::PingPong>,
    close_requested: async_channel::Receiver<()>,
    keepalive: Keepalive,
    observer: Arc<FrameObserver>,
}

impl ConnectionTask {
    async fn run(self) {
        let ConnectionTask {
            connection,
            pings,
            close_requested,
            keepalive,
            observer,
        } = self;
        let frames = async {
            // h2 also reports an error of the connection to each of its calls.
            let _ = connection.await;
        };
        let close = async {
            let _ = close_requested.recv().await;
        };
        let pinging = async {
            match pings {
                Some(pings) if keepalive.options.ping_interval > 0 => keepalive.run(pings).await,
                Some(pings) => keepalive.run_on_request(pings).await,
                None => std::future::pending().await,
            }
        };
        // The `frames` future owns the socket, so dropping it closes the socket.
        or(frames, or(close, pinging)).await;
        observer.close();
    }
}
