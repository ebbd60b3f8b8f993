//! Tells whether an error of a socket call was caused by this machine, or by the connection or its peer.

use std::io;

// Values of errno on Linux. `io::ErrorKind` has no stable kinds for them.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EAGAIN: i32 = 11;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;

/// The side that caused an error of a socket call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// This machine lacked a file descriptor, port, memory or route at that moment. The error says nothing about the
    /// peer, and the next call may succeed.
    Local,
    /// The connection or the peer failed.
    Remote,
}

impl ErrorOrigin {
    /// Classifies an error of `accept`, `socket` or `connect`.
    pub fn of(error: &io::Error) -> ErrorOrigin {
        match error.raw_os_error() {
            Some(
                ENOMEM | ENFILE | EMFILE | EAGAIN | EADDRNOTAVAIL | ENETDOWN | ENETUNREACH
                | ENOBUFS,
            ) => ErrorOrigin::Local,
            _ => ErrorOrigin::Remote,
        }
    }
}

#[cfg(test)]
mod tests;
