//! Where an error of a socket call comes from: this machine, or the connection and its other side.

use std::io;

// errno of Linux, which std has no kinds for.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EAGAIN: i32 = 11;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;

/// Whose failure an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// This machine had no descriptor, port, memory or route at the moment. It says nothing of the other side, and the
    /// next call may go well.
    Local,
    /// The connection, or its other side.
    Remote,
}

impl ErrorOrigin {
    /// Classes an error of `accept`, `socket` or `connect`.
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
