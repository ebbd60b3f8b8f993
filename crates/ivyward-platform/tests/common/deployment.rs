//! The deployment of the tests: the configuration file, the list of engines, and requests.

use std::net::SocketAddr;

/// Returns the entry of an engine in the list, as JSON. Engines 0 and 1 prefill, the others decode.
pub fn list_entry(engine: usize, state: &str) -> String {
    let kind = if engine < 2 { "prefill" } else { "decode" };
    let addr = address(engine);
    format!(
        r#"{{"id":"s-{engine}","addr":"{addr}","zone":"a","kind":"{kind}","cell":1,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// Returns the address on which an engine listens.
pub fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, engine as u8 + 1], 8080))
}

/// Returns the entries of a list, as JSON. `states` holds the state of engine 0, engine 1 and so on.
pub fn list(states: &[&str]) -> String {
    let entries: Vec<String> = states
        .iter()
        .enumerate()
        .map(|(engine, state)| list_entry(engine, state))
        .collect();
    entries.join(",")
}

/// Returns a configuration file with one idempotent class (`draft`) and one non-idempotent class (`send`).
pub fn config(discovery: SocketAddr, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.9:8080","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
        "settings":{{"balancers":1,"zone":0,"failure_domains":["a"],"host_types":["prefill","decode"],
        "family_info":{{"kind_role":["read","write"],"local_read":false,"early_pairing":true,"let_go_by_us":300000,
          "memory_tokens":[250000,150000],"aim_us_per_1000_prompt_tokens":[40000.0,40000.0],"token_aim_us":[60000.0,60000.0],
          "transfer_price":0.05,"report_x0":"share_of_memory_that_is_held"}},
        "classes":[{{"name":"draft","semantics":"retryable","target_us":1500000,"deadline_us":7500000,"importance":2.0,
            "late_share":0.1,"key_ttl_us":5000000,"group":"all","streamed":true}},
          {{"name":"send","semantics":"fragile","target_us":1500000,"deadline_us":7500000,"importance":5.0,"late_share":0.1,
            "key_ttl_us":5000000,"group":"all","streamed":true}}],
        "parties":[{{"name":"acme","quota_per_s":100.0}}],
        "guarantees":{{"drain_grace_us":1000000,"fall_multiple":2.5,"fall_us":3000000,"start_capacity":0.4,"warm_after_us":10000000}},
        "limits":{{"may_cancel":true,"probes":true,"second_copies":true,"try_limit":5,"retry_after":true,
          "max_retry_after_us":2000000,"keepalive_us":15000000,"dial_timeout_us":250000,"max_open":20000}},
        "report":{{"source":"answers","fields":["utilization","backlog"]}},"discovery":"automatic"}}}}"#
    )
}

/// The body of a client's request.
pub const BODY: &str = r#"{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"}]}"#;

/// Returns a client's request, with headers and body.
pub fn request(id: &str, class: &str, timeout_ms: u64) -> Vec<u8> {
    let length = BODY.len();
    format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: acme\r\nX-Route-Key: k{id}\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-Attrs: prefix=5c0f,prompt_len=40,prefix_len=4,max_out=80\r\nContent-Length: {length}\r\n\r\n{BODY}"
    )
    .into_bytes()
}
