//! Engines that answer some requests twice, the second time some milliseconds late.
#[path = "../stand-ins-2/lib.rs"]
mod stand_ins;

use stand_ins::*;
use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The share of streams that come twice, and how late the second one is, in milliseconds.
const SPOILT: f64 = 0.05;
const LATE_MS: (f64, f64) = (4.0, 15.0);
const PLAY: Duration = Duration::from_secs(80);
/// Requests a second at the node: what the whole deployment carries.
const RATE: f64 = 20.0;

fn main() {
    let record = Record::create();
    let random = Mutex::new(Random::new(std::process::id() as u64));
    let spoils = trouble();
    let plan = FleetPlan {
        readers: 5,
        writers: 6,
        read_time: ms(60),
        first_token: ms(40),
        events: 8,
        between_events: ms(40),
    };
    let fleet = Fleet::start(&record, plan, move |arrival| {
        let mut random = random.lock().unwrap();
        let late = random.between(LATE_MS.0, LATE_MS.1);
        // Only streams come twice: answers of writers that have the request's state.
        if spoils && arrival.kind == Kind::Writer && random.unit() < SPOILT {
            return Conduct::AnswerTwice(Duration::from_micros((late * 1000.0) as u64));
        }
        Conduct::Normal
    });
    let discovery = Discovery::start(&record, "a", 41, fleet.entries());
    let mut node = Node::start(&record, "n0", &Settings::default(), discovery.addr);
    let clients = Clients::new(node.addr, &fleet);
    let mut random = Random::new(7);
    let until = Instant::now() + PLAY;
    let mut number = 0u64;
    let mut unsafe_ids = BTreeSet::new();
    while Instant::now() < until {
        number += 1;
        let class = if random.unit() < 0.18 {
            "send-batch"
        } else {
            "draft"
        };
        let id = format!("{:08x}{number:08x}", random.next() >> 32);
        if class == "send-batch" {
            unsafe_ids.insert(id.clone());
        }
        clients.start(Ask {
            id,
            class,
            session: format!("{:016x}", random.next()),
            prefix: format!("{:016x}", 1 + random.next() % 3),
            timeout_ms: 7500,
            prompt_tokens: random.between(200.0, 1500.0) as usize,
        });
        let gap = -(1.0 - random.unit()).ln() / RATE;
        thread::sleep(Duration::from_secs_f64(gap.min(1.0)));
    }
    clients.wait(ms(15_000));
    let mut broken = Vec::new();
    if !node.runs() {
        broken.push("the node has ended".into());
    }
    node.kill();
    let endings = clients.endings.lock().unwrap().clone();
    let mut served = 0;
    for ending in &endings {
        let made_for = ending.made_for();
        served += usize::from(ending.status == 200 && ending.whole);
        if made_for.iter().any(|id| *id != ending.id) {
            broken.push(format!(
                "{}: answered 200 with what was made for {made_for:?}",
                ending.id
            ));
        }
    }
    let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
    for run in fleet.runs.lock().unwrap().iter() {
        runs.entry(run.id.clone()).or_default().push(run.engine);
    }
    for (id, engines) in &runs {
        if engines.len() > 1 && unsafe_ids.contains(id) {
            broken.push(format!(
                "{id} (send-batch, must never run twice) ran at {engines:?}"
            ));
        }
    }
    for ending in endings.iter().filter(|e| unsafe_ids.contains(&e.id)) {
        if matches!(ending.status, 429 | 503) && runs.contains_key(&ending.id) {
            broken.push(format!(
                "{} (send-batch) was refused with {} and ran",
                ending.id, ending.status
            ));
        }
    }
    record.say(format!(
        "{} requests, {served} served whole, {} runs",
        endings.len(),
        runs.len()
    ));
    finish(&record, &broken);
}
