//! Bad clients, some hundreds, send two requests at once, read what they get, and come again.
#[path = "../stand-ins-2/lib.rs"]
mod stand_ins;

use stand_ins::*;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// The limits in the node's configuration file, from the ranges of DAYS.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// The bad clients, in groups of a process each.
const GROUPS: usize = 3;
const CLIENTS: usize = 150;
/// What each of them sends at once: two requests with so many prompt tokens.
const AT_ONCE: usize = 2;
const TOKENS: [usize; AT_ONCE] = [4_100, 16_000];
const PLAY: Duration = Duration::from_secs(30);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() == 4 && args[1] == "bad-clients" {
        let addr = args[2].parse().unwrap_or_else(|_| cannot_run("address"));
        return bad_clients(addr, args[3].parse().unwrap_or(0));
    }
    let record = Record::create();
    let plan = FleetPlan {
        readers: 5,
        writers: 6,
        read_time: ms(700),
        first_token: ms(60),
        events: 8,
        between_events: ms(40),
    };
    let fleet = Fleet::start(&record, plan);
    let discovery = Discovery::start(&record, "a", 41, fleet.entries());
    let settings = Settings {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        ..Settings::default()
    };
    let mut node = Node::start(&record, "n0", &settings, discovery.addr);
    let clients = Clients::new(node.addr, &fleet);
    let program = std::env::current_exe().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut groups = Vec::new();
    if trouble() {
        for group in 0..GROUPS {
            fleet.ids.lock().unwrap().insert(group_id(group));
            let mut command = Command::new(&program);
            command.args(["bad-clients", &node.addr.to_string(), &group.to_string()]);
            let started = command.spawn();
            let started = started.unwrap_or_else(|e| cannot_run(&e.to_string()));
            note_process(&started);
            groups.push(started);
        }
        record.line(format!("{} bad clients begin", GROUPS * CLIENTS));
    }
    let limit_kb = MEMORY_MB * 1024;
    let mut broken = Vec::new();
    let (mut top, mut random, mut number) = (0, Random::new(5), 0u64);
    let until = Instant::now() + PLAY;
    let mut next_report = Instant::now();
    while Instant::now() < until && broken.is_empty() {
        number += 1;
        clients.start(Ask {
            id: format!("{:08x}{number:08x}", random.next() >> 32),
            class: "draft",
            session: format!("{:016x}", random.next()),
            prefix: format!("{:016x}", 1 + random.next() % 5),
            timeout_ms: 7500,
            prompt_tokens: 300,
        });
        for _ in 0..10 {
            thread::sleep(ms(20));
            let now = node.memory_kb();
            top = top.max(now);
            if now > limit_kb {
                // What the platform does.
                record.say(format!("the node has {now} kB, over {limit_kb} kB: killed"));
                node.kill();
                broken.push(format!(
                    "the node went over memory_mb = {MEMORY_MB} and was killed"
                ));
                break;
            }
        }
        if Instant::now() > next_report {
            record.line(format!("the node has {} kB", node.memory_kb()));
            next_report = Instant::now() + ms(1000);
        }
        if broken.is_empty() && !node.runs() {
            broken.push("the node has ended".into());
        }
    }
    for mut group in groups {
        end_process(&mut group);
    }
    clients.wait(ms(9000));
    node.kill();
    let endings = clients.endings.lock().unwrap().clone();
    let unanswered = endings.iter().filter(|e| e.status == 0 || !e.whole).count();
    record.say(format!(
        "the most that the node had: {top} kB; usual clients: {} requests, {unanswered} without a whole answer",
        endings.len()
    ));
    finish(&record, &broken);
}

fn group_id(group: usize) -> String {
    format!("bad{group:05x}")
}

/// The bad clients of one group: each sends its requests at full speed, reads what it gets, and comes again.
fn bad_clients(addr: SocketAddr, group: usize) {
    let until = Instant::now() + PLAY;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            thread::spawn(move || {
                let mut round = 0;
                while Instant::now() < until {
                    round += 1;
                    let _ = send_and_read(addr, group, client, round);
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}

fn send_and_read(
    addr: SocketAddr,
    group: usize,
    client: usize,
    round: usize,
) -> std::io::Result<()> {
    let asks = (0..AT_ONCE).map(|n| Ask {
        id: format!(
            "{}{:08x}",
            group_id(group),
            (round * CLIENTS + client) * AT_ONCE + n
        ),
        class: "draft",
        session: format!("{group}-{client}"),
        prefix: format!("{}", client % 9),
        timeout_ms: 7500,
        prompt_tokens: TOKENS[n],
    });
    let bytes: Vec<u8> = asks.flat_map(|ask| ask.bytes()).collect();
    let mut http = Http::connect(addr)?;
    http.stream.set_read_timeout(Some(ms(8000)))?;
    let mut writing = http.stream.try_clone()?;
    let written = thread::spawn(move || std::io::Write::write_all(&mut writing, &bytes));
    for _ in 0..AT_ONCE {
        if http.message()?.is_none() {
            break;
        }
    }
    drop(http);
    let _ = written.join();
    Ok(())
}
