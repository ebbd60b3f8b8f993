//! Unit tests of the allocation of addresses.

use super::{allocate, process_address};
use ivyward_runtime::{DatagramSocket, Runtime, SmolRuntime};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Guards against daemons that do not start because another socket of the machine has taken their port meanwhile.
#[test]
fn addresses_of_nodes_are_taken_by_no_other_socket() {
    let runtime = SmolRuntime::start(1, 1);
    let allocated: BTreeSet<_> = (0..100).map(|_| allocate()).collect();
    assert_eq!(allocated.len(), 100);
    let other = |address: &SocketAddr| SocketAddr::from(([127, 0, 0, 1], address.port()));
    // Where this fails, a socket of another process has the port, which is as good.
    let _others: Vec<Box<dyn DatagramSocket>> = allocated
        .iter()
        .filter_map(|address| runtime.bind_datagram(other(address)).ok())
        .collect();
    for address in &allocated {
        assert!(address.ip().is_loopback());
        runtime.bind_datagram(*address).unwrap();
    }
}

#[test]
fn addresses_of_processes_differ() {
    let addresses: BTreeSet<_> = [1, 0x100, 0x1_0000, 0x3f_ffff].map(process_address).into();
    assert_eq!(addresses.len(), 4);
}
