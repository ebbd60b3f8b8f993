//! Case 3: requests that a client sends at once on one connection are read, and the connection is closed without an answer.

#[path = "../standin/lib.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

/// Clients, one after the other; each sends so many requests at once.
const CLIENTS: u64 = 10;
const REQUESTS: u64 = 4;
/// The prompt of a request, in tokens of four characters: send-batch adds 2,600 to 4,000 tokens a turn.
const TOKENS: usize = 3_000;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("record file")));
    let folder = temp_folder("3");
    let fleet: Arc<Fleet> = Arc::default();
    let reader = Behaviour { read_ms: 100, ..Behaviour::default() };
    let writer = Behaviour { first_ms: 50, events: 10, between_ms: 20, ..Behaviour::default() };
    let engines: Vec<Engine> = [("s-r1", "prefill"), ("s-r2", "prefill"), ("s-w1", "decode"), ("s-w2", "decode")]
        .into_iter()
        .map(|(name, kind)| {
            let behaviour = if kind == "prefill" { reader.clone() } else { writer.clone() };
            Engine::start(name, kind, behaviour, &fleet, &record)
        })
        .collect();
    let discovery = Discovery::start("discovery", &engines.iter().collect::<Vec<_>>(), &record);
    let mut node = Node::start(&folder, discovery.address, "automatic", &record);
    let (mut answered, mut lost, mut reset) = (0, 0, 0);
    for client in 0..CLIENTS {
        let result = run_client(client, node.address, &record);
        answered += result.answered;
        lost += result.lost;
        reset += result.reset;
    }
    let ended = node.has_ended();
    drop(node);
    remove_folder(&folder);
    let sent = CLIENTS * REQUESTS;
    let summary = format!(
        "requests sent whole {sent}, answered {answered}, read and closed without an answer {lost}, not judged (reset) {reset}"
    );
    record.line(format!("result: {summary}"));
    println!("{summary}");
    if ended || answered == 0 {
        cannot_run("the node ended, or answered nothing");
    }
    std::process::exit(i32::from(lost > 0));
}

#[derive(Default)]
struct Outcome {
    answered: u64,
    lost: u64,
    reset: u64,
}

fn run_client(client: u64, address: std::net::SocketAddr, record: &Record) -> Outcome {
    let mut outcome = Outcome::default();
    let mut connection = Connection::open(address).unwrap_or_else(|e| cannot_run(&format!("connect: {e}")));
    let ids: Vec<String> = (0..REQUESTS).map(|n| format!("{:08x}{:08x}", 0xc0de0000 + client, n)).collect();
    let bytes = |id: &str| request(id, "send-batch", 12_000, TOKENS, 20);
    if trouble() {
        let all: Vec<u8> = ids.iter().flat_map(|id| bytes(id)).collect();
        connection.out.write_all(&all).unwrap_or_else(|e| cannot_run(&format!("write: {e}")));
        record.line(format!("client {client}: sent {REQUESTS} requests at once, {} bytes: {ids:?}", all.len()));
        // The last byte has been written. Before the first answer ends, the node has time to read all of it.
        sleep_ms(50);
        record.line(format!("client {client}: bytes that wait unread at the node: {:?}", unread_at_node(&connection)));
    }
    for (number, id) in ids.iter().enumerate() {
        if !trouble() {
            connection.out.write_all(&bytes(id)).unwrap_or_else(|e| cannot_run(&format!("write: {e}")));
            record.line(format!("client {client}: sent {id}"));
        }
        match read_message(&mut connection.input) {
            Ok(Some(answer)) => {
                record.line(format!(
                    "client {client}: {id}: answer {} ({}), Connection: {:?}, names {:?}",
                    answer.status(),
                    if answer.complete { "whole" } else { "cut" },
                    answer.header("connection"),
                    named_in(&answer.body)
                ));
                outcome.answered += 1;
                if answer.header("connection").eq_ignore_ascii_case("close") {
                    record.line(format!("client {client}: the node announced the close; the rest is not judged"));
                    return outcome;
                }
            }
            // The node ended the connection in good order: no byte of what was sent had stayed unread.
            Ok(None) => {
                let unanswered = &ids[number..];
                record.line(format!("client {client}: RULE BROKEN: the node closed the connection, no answer to {unanswered:?}"));
                outcome.lost += unanswered.len() as u64;
                return outcome;
            }
            // A reset: bytes may have stayed unread, and the client may send them again.
            Err(error) => {
                record.line(format!("client {client}: connection failed: {error}; {:?} not judged", &ids[number..]));
                outcome.reset += (ids.len() - number) as u64;
                return outcome;
            }
        }
    }
    outcome
}

/// Returns how many bytes wait unread in the node's socket of this connection, from the system's table of sockets.
fn unread_at_node(connection: &Connection) -> Option<u64> {
    let (node, client) = (connection.out.peer_addr().ok()?, connection.out.local_addr().ok()?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let port = |port: u16| format!(":{port:04X}");
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ours = fields.get(1)?.ends_with(&port(node.port())) && fields.get(2)?.ends_with(&port(client.port()));
        let unread = fields.get(4)?.split_once(':')?.1;
        ours.then(|| u64::from_str_radix(unread, 16).ok())?
    })
}
