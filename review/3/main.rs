//! Case 3: a request that is half written when the node is told to end is taken later, and its stream is cut at SIGKILL.

#[path = "../standin/lib.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

const CLIENTS: u64 = 8;
const TERM_AT_MS: u64 = 1_500;
/// The clients begin to write their requests from this time after SIGTERM on, one every 40 ms.
const BEGIN_MS: f64 = 200.0;
/// A slow client pauses for so long in the middle of its request.
const PAUSE_MS: u64 = 600;
/// What comes later than this after SIGTERM and is under way at SIGKILL is lost: 0.7 s, and the 50 ms that every limit is longer.
const TAKEN_LATE_MS: f64 = 750.0;
/// SIGKILL comes no sooner than the longest deadline (12 s, counted as 3 s) plus 0.7 s after SIGTERM.
const KILL_MS: f64 = 3_800.0;

#[derive(Default)]
struct Count {
    answered: AtomicU64,
    lost: AtomicU64,
    not_judged: AtomicU64,
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("record file")));
    let folder = temp_folder("3");
    let fleet: Arc<Fleet> = Arc::default();
    let reader = Behaviour { read_ms: 100, ..Behaviour::default() };
    let writer = Behaviour { first_ms: 50, events: 5, between_ms: 60, ..Behaviour::default() };
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
    let term = now_ms() + TERM_AT_MS as f64;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, count, fleet, address) = (record.clone(), count.clone(), fleet.clone(), node.address);
            thread::spawn(move || run_client(number, address, term, &fleet, &count, &record))
        })
        .collect();
    sleep_until(term);
    // From now on answers have 100 events, one every 60 ms: the wanted time from one token to the next of class draft.
    for engine in &engines {
        engine.behaviour.lock().unwrap().events = 100;
    }
    if trouble() {
        node.signal(SIGTERM);
        record.line("platform: SIGTERM");
        while now_ms() < term + KILL_MS && !node.has_ended() {
            sleep_ms(5);
        }
        if node.has_ended() {
            record.line("node: ended by itself");
        } else {
            node.signal(SIGKILL);
            record.line(format!("platform: SIGKILL, {:.0} ms after SIGTERM", now_ms() - term));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(node);
    remove_folder(&folder);
    let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let summary = format!(
        "requests that came more than 0.7 s after the time of SIGTERM: answered {}, lost {}, not judged {}",
        get(&count.answered),
        get(&count.lost),
        get(&count.not_judged)
    );
    record.line(format!("result: {summary}"));
    println!("{summary}");
    if get(&count.answered) + get(&count.lost) + get(&count.not_judged) != CLIENTS {
        cannot_run("a client did not run");
    }
    std::process::exit(i32::from(get(&count.lost) > 0));
}

fn sleep_until(time: f64) {
    sleep_ms((time - now_ms()).max(0.0) as u64);
}

/// One request, written in two halves with a pause between them, on a connection that was opened before SIGTERM.
fn run_client(number: u64, address: std::net::SocketAddr, term: f64, fleet: &Fleet, count: &Count, record: &Record) {
    let mut open = Connection::open(address).unwrap_or_else(|e| cannot_run(&format!("connect: {e}")));
    // A first request, which is served well before SIGTERM.
    let _ = open.out.write_all(&request(&format!("{:016x}", 0xa0000000 + number), "draft", 7_500, 500, 20));
    let first = read_message(&mut open.input).ok().flatten();
    if !first.is_some_and(|answer| answer.status() == 200 && answer.complete) {
        record.line(format!("client {number}: its first request was not served"));
        return;
    }
    let id = format!("{:016x}", 0xf0000000 + number);
    let bytes = request(&id, "draft", 7_500, 1_000, 120);
    let half = bytes.len() / 2;
    sleep_until(term + BEGIN_MS + 40.0 * number as f64);
    let began = now_ms() - term;
    let written = open.out.write_all(&bytes[..half]).and_then(|()| {
        sleep_ms(PAUSE_MS);
        open.out.write_all(&bytes[half..])
    });
    let last = now_ms() - term;
    record.line(format!("client {number}: wrote {id} from {began:.0} to {last:.0} ms after the time of SIGTERM"));
    let answer = match written {
        Ok(()) => read_message(&mut open.input),
        Err(error) => Err(error),
    };
    let counter = match answer {
        Ok(Some(answer)) if answer.complete => {
            record.line(format!("client {number}: {id}: answer {}, whole", answer.status()));
            &count.answered
        }
        answer => {
            let status = answer.ok().flatten().map_or(0, |answer| answer.status());
            let now = now_ms() - term;
            // What was not forwarded may be unread, and the client may send it again.
            let forwarded = fleet.sends.lock().unwrap().iter().any(|(_, sent, _, _)| *sent == id);
            if forwarded && last > TAKEN_LATE_MS {
                record.line(format!("client {number}: RULE BROKEN: {id}: answer {status} (0: none) was cut off {now:.0} ms after SIGTERM"));
                &count.lost
            } else {
                record.line(format!("client {number}: {id}: forwarded: {forwarded}, not judged"));
                &count.not_judged
            }
        }
    };
    counter.fetch_add(1, Ordering::SeqCst);
}
