//! The addresses that the daemons of clusters bind for datagrams.
//!
//! A daemon binds its address again after each restart, and its flags name it before the first start, so it has to stay free
//! in between. The system assigns ports for 127.0.0.1 from its own range to all other sockets of the machine. Therefore, the
//! addresses are in a part of the loopback network that belongs to this process alone, with ports outside that range.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port. Linux assigns ports from 32,768 on by itself.
const FIRST_PORT: u16 = 10_000;
/// The last port.
const LAST_PORT: u16 = 32_000;
/// Set in the second octet, so that no address is in 127.0.0.0/16, where other sockets are bound.
const OCTET_FLAG: u8 = 0x40;

/// Returns an address that no other process and no earlier call in this process returns.
///
/// # Panics
/// Panics if this process has used up its ports.
pub(super) fn allocate() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port <= LAST_PORT, "all ports of this process are used up");
    SocketAddr::from((process_address(std::process::id()), port))
}

/// Returns the loopback address of a process. Linux limits process ids to 22 bits.
fn process_address(process_id: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process_id.to_be_bytes();
    Ipv4Addr::new(127, OCTET_FLAG | high, middle, low)
}

#[cfg(test)]
mod tests;
