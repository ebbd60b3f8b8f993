//! Settings of a connection, and the HTTP/2 limits that follow from them.

use ivyward_runtime::Micros;

/// Settings of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Flow-control window of each stream, in bytes: how much the server may send before the reader takes it.
    pub stream_window: u32,
    /// Number of full stream windows that fit into the connection's window. Should be at least the number of concurrent streams,
    /// so that slow readers do not stall the other streams.
    pub streams: u32,
    /// Maximum size of a received message, in bytes. A larger one ends its call with an error.
    pub max_message_size: usize,
    /// A ping is sent when no bytes were received for this interval, with or without calls in flight; in microseconds, 0 for
    /// never. Connections begun with [`Channel::begin_with_idle_checks`](crate::Channel::begin_with_idle_checks) are
    /// pinged by this rule only while calls are in flight.
    pub ping_interval: Micros,
    /// A connection is closed when nothing is received for this time after a ping, in microseconds.
    pub ping_timeout: Micros,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            stream_window: 16 << 10,
            streams: 100,
            max_message_size: 4 << 20,
            ping_interval: 1_000_000,
            ping_timeout: 1_000_000,
        }
    }
}

/// Size of the smallest frame of a token stream: a gRPC prefix and a message of a few bytes.
const MIN_FRAME_SIZE: usize = 12;
/// The amount by which a buffered small frame reduces h2's frame budget, in bytes.
const FRAME_COST: usize = 256;
/// Minimum flow-control window of a connection, in bytes.
const MIN_CONNECTION_WINDOW: u32 = 1 << 16;
/// Maximum flow-control window that HTTP/2 allows, in bytes.
const MAX_CONNECTION_WINDOW: u32 = (1 << 31) - 1;

impl Options {
    /// The connection's flow-control window, in bytes.
    pub(crate) fn connection_window(&self) -> u32 {
        self.stream_window
            .saturating_mul(self.streams)
            .clamp(MIN_CONNECTION_WINDOW, MAX_CONNECTION_WINDOW)
    }

    /// The budget for h2's protection against floods of small frames, in bytes.
    ///
    /// Token streams consist of small frames only. With h2's default budget, a few slow readers would be enough for h2 to close
    /// the connection with every stream on it. This budget is large enough for all windows to be full of the smallest frames;
    /// the windows then limit the memory.
    pub(crate) fn frame_budget(&self) -> usize {
        let frames = self.stream_window as usize / MIN_FRAME_SIZE + 1;
        (self.streams as usize)
            .saturating_mul(frames)
            .saturating_mul(FRAME_COST)
    }
}
