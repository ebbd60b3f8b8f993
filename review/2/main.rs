//! Case 2: one answer that never ends and comes in small pieces holds up the whole node; other requests get no answer in time.

#[path = "../standin/lib.rs"]
mod lib;

use lib::*;
use std::io::{BufRead, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const END_MS: u64 = 30_000;
const SPOILT_AT_MS: u64 = 4_000;
/// The spoilt answer comes in chunks of so many bytes.
const PIECE: usize = 2;
/// Half of the class's give-up time of 7.5 s, the least that a client waits.
const TIMEOUT_MS: u64 = 3_750;
/// An answer that is later than this after the client's time is a lost request: 0.5 s, and the 50 ms that every limit is longer.
const LATE_MS: f64 = 550.0;

#[derive(Default)]
struct Count {
    requests: AtomicU64,
    served: AtomicU64,
    /// Waits of the requests that got their answer later than allowed, or none.
    lost: Mutex<Vec<(String, f64)>>,
    longest: Mutex<f64>,
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("record file")));
    let folder = temp_folder("2");
    let fleet: Arc<Fleet> = Arc::default();
    let reader = Behaviour { read_ms: 30, ..Behaviour::default() };
    let writer = Behaviour { first_ms: 30, events: 10, between_ms: 20, ..Behaviour::default() };
    let engines: Vec<Engine> = [("s-r1", "prefill"), ("s-r2", "prefill"), ("s-w1", "decode"), ("s-w2", "decode")]
        .into_iter()
        .map(|(name, kind)| {
            let behaviour = if kind == "prefill" { reader.clone() } else { writer.clone() };
            Engine::start(name, kind, behaviour, &fleet, &record)
        })
        .collect();
    let discovery = Discovery::start("discovery", &engines.iter().collect::<Vec<_>>(), &record);
    let mut node = Node::start(&folder, discovery.address, &record);
    let count: Arc<Count> = Arc::default();
    let until = now_ms() + END_MS as f64;
    let clients: Vec<_> = (0..8u64)
        .map(|number| {
            let (record, count, address) = (record.clone(), count.clone(), node.address);
            thread::spawn(move || run_client(number, address, until, &count, &record))
        })
        .collect();
    sleep_ms(SPOILT_AT_MS);
    if trouble() {
        *fleet.endless.lock().unwrap() = Some(PIECE);
    }
    for client in clients {
        let _ = client.join();
    }
    let ended = node.has_ended();
    drop(node);
    remove_folder(&folder);
    // The request whose answer was spoilt is not judged.
    let spoilt = fleet.spoilt.lock().unwrap().clone();
    let mut lost = count.lost.lock().unwrap();
    lost.retain(|(id, _)| *id != spoilt);
    let summary = format!(
        "requests {}, served {}, of the others without a final answer by 0.5 s after their time {}, longest wait for an answer {:.0} ms",
        count.requests.load(Ordering::SeqCst),
        count.served.load(Ordering::SeqCst),
        lost.len(),
        count.longest.lock().unwrap()
    );
    record.line(format!("result: {summary}"));
    println!("{summary}");
    if ended || count.served.load(Ordering::SeqCst) < 50 {
        cannot_run("the node ended, or served too little");
    }
    std::process::exit(i32::from(!lost.is_empty()));
}

/// Sends one request after the other, each with an id of its own, and takes the time to the first byte of the answer.
fn run_client(number: u64, address: std::net::SocketAddr, until: f64, count: &Count, record: &Record) {
    let mut sent = 0;
    let mut connection: Option<Connection> = None;
    while now_ms() < until {
        let Some(mut open) = connection.take().or_else(|| Connection::open(address).ok()) else { return };
        sent += 1;
        let id = format!("{:08x}{sent:08x}", 0xd0000000 + number);
        if open.out.write_all(&request(&id, "draft", TIMEOUT_MS, 300, 20)).is_err() {
            continue;
        }
        count.requests.fetch_add(1, Ordering::SeqCst);
        let began = now_ms();
        record.line(format!("client {number}: sent {id}, waits {TIMEOUT_MS} ms"));
        let _ = open.input.fill_buf();
        let waited = now_ms() - began;
        let answer = read_message(&mut open.input).ok().flatten();
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(format!("client {number}: {id}: {status} (0: none), its first byte after {waited:.0} ms"));
        let mut longest = count.longest.lock().unwrap();
        *longest = longest.max(waited);
        drop(longest);
        // A connection that ends sooner is not judged: the client may send the request again.
        if waited > TIMEOUT_MS as f64 + LATE_MS {
            record.line(format!("client {number}: RULE BROKEN: {id} had no final answer after {waited:.0} ms"));
            count.lost.lock().unwrap().push((id.clone(), waited));
        }
        if let Some(answer) = answer.filter(|answer| answer.complete) {
            if answer.status() == 200 {
                count.served.fetch_add(1, Ordering::SeqCst);
            }
            connection = Some(open);
        }
        sleep_ms(100);
    }
}
