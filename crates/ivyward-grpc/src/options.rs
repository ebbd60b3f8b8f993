//! Settings of a connection.

use ivyward_runtime::Micros;

/// How a connection behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Flow-control window of each stream, in bytes: what a peer may send ahead of the reader.
    pub stream_window: u32,
    /// Number of full stream windows that the connection's window holds, so that slow readers do not stall other
    /// streams.
    pub streams: u32,
    /// Largest accepted message, in bytes.
    pub max_message_size: usize,
    /// A ping is sent after this span without received bytes, with or without calls in flight; 0 for never.
    /// Connections begun with [`Channel::begin_with_idle_checks`](crate::Channel::begin_with_idle_checks) are pinged
    /// by this rule only while calls are in flight.
    pub ping_interval: Micros,
    /// A connection on which a ping stays unanswered for this span is closed.
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
/// What h2 charges against its budget for buffering a small frame, in bytes.
const FRAME_COST: usize = 256;
/// Smallest window of a connection, in bytes.
const MIN_CONNECTION_WINDOW: u32 = 1 << 16;
/// Largest window that HTTP/2 allows, in bytes.
const MAX_CONNECTION_WINDOW: u32 = (1 << 31) - 1;

impl Options {
    /// The connection's flow-control window, in bytes.
    pub(crate) fn connection_window(&self) -> u32 {
        self.stream_window
            .saturating_mul(self.streams)
            .clamp(MIN_CONNECTION_WINDOW, MAX_CONNECTION_WINDOW)
    }

    /// The budget for h2's guard against floods of small frames.
    ///
    /// Guards against that guard itself: token streams consist of small frames only, and h2's default budget would
    /// close the connection, with every stream on it, as soon as some readers are slow. This budget covers all
    /// windows full of the smallest frames; the windows then bound the memory.
    pub(crate) fn frame_budget(&self) -> usize {
        let frames = self.stream_window as usize / MIN_FRAME_SIZE + 1;
        (self.streams as usize)
            .saturating_mul(frames)
            .saturating_mul(FRAME_COST)
    }
}
