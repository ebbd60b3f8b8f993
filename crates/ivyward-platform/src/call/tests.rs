//! Detection of a disconnected client.

use super::*;
use crate::body_buffer::BodyBuffer;
use crate::request_id::IdRegistry;
use ivyward::memory_budget::{BudgetShare, MemoryBudget};
use ivyward::runtime::RuntimeExt;
use ivyward_http1::Framing;
use ivyward_sim::{NetworkConfig, Sim};
use std::net::SocketAddr;

/// `is_disconnected` checks the socket itself, so that it detects a closed connection before any task has read from it.
#[test]
fn a_closed_connection_counts_as_disconnected_before_it_is_read() {
    let sim = Sim::new(1, NetworkConfig::default());
    let (node, client) = (sim.host(1), sim.host(2));
    let (runtime, client_runtime) = (node.runtime(), client.runtime());
    let address = SocketAddr::from(([127, 0, 0, 9], 80));
    let result = sim.run(&node, 60_000_000, async move {
        let mut listener = runtime.listen(address).unwrap();
        let client_side = client_runtime.connect(address).await.unwrap();
        let (server_side, _) = listener.accept().await.unwrap();
        let text = b"POST / HTTP/1.1\r\n\r\n";
        let limits = ivyward_http1::Limits {
            max_head_bytes: 1_000,
            max_headers: 4,
            max_body_bytes: 9,
            max_chunk_bytes: 9,
        };
        let (request, _) = RequestHead::parse(text, &limits).unwrap().unwrap();
        let prompt = Prompt {
            body: BodyBuffer::new(Framing::Length(0)),
            memory: BudgetShare::new(&MemoryBudget::unlimited()),
        };
        let id = IdRegistry::new(1).register("x").unwrap();
        let buffer = ResponseBuffer::new(1, &MemoryBudget::unlimited());
        let call = HttpCall::new(id, &request, true, prompt, server_side.peer(), buffer);
        assert!(!call.is_disconnected());
        drop(client_side);
        runtime.sleep(1_000).await;
        assert!(call.is_disconnected(), "the client closed its socket");
        drop(server_side);
    });
    result.unwrap();
}
