//! The platform's five rules under many faults, checked against the requests and responses that engines and clients
//! received.

mod common;
use common::*;
use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;
use ivyward::runtime::{timeout_at, RuntimeExt, RuntimeRef};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const DRAIN_GRACE: Micros = 1_000_000;
const RELEASE_WITHIN: Micros = 300_000;
/// The tolerance of 50 ms that the platform adds to every time limit.
const TOLERANCE: Micros = 50_000;

fn hash(text: &str, salt: u64) -> u64 {
    let mix = |h: u64, b: u64| (h ^ b).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
    text.bytes().fold(mix(0xcbf2_9ce4_8422_2325, salt), |h, b| {
        mix(h, u64::from(b))
    })
}

/// Returns the number of the fault that an engine shows for a request, drawn from the request's id and the engine's number.
fn fault(received: &EngineRequest) -> u64 {
    if received.id.is_empty() {
        return 99;
    }
    hash(&received.id, received.engine as u64) % 24
}

fn script(received: &EngineRequest) -> EngineBehavior {
    match fault(received) {
        0 => respond_with("\u{1}\u{2} noise\r\n\r\n"),
        1 => respond_with("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
        2 => EngineBehavior::RespondAndClose(Vec::new()),
        3 | 4 => respond_with(REJECTED_UNPROCESSED),
        5 => EngineBehavior::Silent,
        6 if received.engine >= 2 => EngineBehavior::RespondAfterFirstEvent(b"zz\r\n".to_vec()),
        7 => EngineBehavior::Delayed(400_000),
        _ => EngineBehavior::Normal,
    }
}

/// Returns whether the engine rejects the request without processing it.
fn is_rejected(received: &EngineRequest) -> bool {
    matches!(fault(received), 3 | 4)
}

/// One request as its client saw it.
struct ClientRecord {
    id: String,
    class: &'static str,
    sent: Micros,
    timeout: Micros,
    /// `None` if the client disconnected before its response.
    response: Option<Response>,
    /// When the client received its response or disconnected.
    ended: Micros,
}

impl ClientRecord {
    fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }

    fn is_rejected(&self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

/// Counts the relevant events of a run, so that the test can verify that the run exercised the rules.
#[derive(Debug, Default)]
struct Counts {
    retried: usize,
    released: usize,
    rejected: usize,
    broken: usize,
}

/// Runs one client, which sends a request and waits for its response or disconnects.
async fn run_client(client: RuntimeRef, address: SocketAddr, n: u64) -> ClientRecord {
    let id = format!("q{n}");
    let class = if n % 3 == 0 { "send" } else { "draft" };
    let timeout = 600_000 + hash(&id, 7) % 4_000_000;
    let disconnects = n % 11 == 5;
    client.sleep(n * 25_000).await;
    let mut conn = client.connect(address).await.unwrap();
    let sent = client.now();
    conn.write_all(&request(&id, class, timeout / 1_000))
        .await
        .unwrap();
    let response = match disconnects {
        true => timeout_at(&client, sent + 150_000, read_response(&client, &mut conn)).await,
        false => Some(read_response(&client, &mut conn).await),
    };
    drop(conn);
    ClientRecord {
        id,
        class,
        sent,
        timeout,
        response,
        ended: client.now(),
    }
}

/// Rule 1: the client receives one final response in time, and no attempt begins after it.
fn check_final_response(record: &ClientRecord, attempts: &[&EngineRequest]) {
    let id = &record.id;
    if let Some(response) = &record.response {
        assert_ne!(response.status, 0, "{id}: no response");
        if response.status != 200 {
            let took = response.ended_at - record.sent;
            assert!(
                took <= record.timeout + TOLERANCE,
                "{id}: response after {took} us, timeout {} us",
                record.timeout
            );
        }
    }
    for attempt in attempts {
        assert!(
            attempt.at <= record.ended + 1_000,
            "{id}: an attempt began after the response or the disconnect"
        );
    }
}

/// Rule 2: a non-idempotent request runs at most once, and is rejected only if it did not run.
fn check_effects(record: &ClientRecord, decodes: &[&EngineRequest]) {
    let id = &record.id;
    let may_have_run = decodes.iter().filter(|d| !is_rejected(d)).count();
    if record.class == "send" {
        assert!(may_have_run <= 1, "{id}: may have run {may_have_run} times");
        if record.is_rejected() {
            assert_eq!(may_have_run, 0, "{id}: rejected, but may have run");
        }
    }
}

/// A request has at most one attempt at a time: the connection of an attempt without a response is closed before the next
/// attempt arrives.
fn check_one_attempt_at_a_time(id: &str, attempts: &[&EngineRequest], log: &RequestLog) {
    for pair in attempts.windows(2).filter(|pair| fault(pair[0]) == 5) {
        let closed_at = log.closed_at(pair[0].connection);
        assert!(
            closed_at.is_some_and(|at| at <= pair[1].at),
            "{id}: two attempts at the same time"
        );
    }
}

/// Rule 5: an unused prefill is released. Returns whether there was one.
fn check_release(record: &ClientRecord, attempts: &[&EngineRequest], log: &RequestLog) -> bool {
    let id = &record.id;
    let streamed = attempts
        .iter()
        .any(|a| a.engine >= 2 && matches!(fault(a), 6..));
    let prefilled = attempts
        .iter()
        .any(|a| a.engine < 2 && !is_rejected(a) && !matches!(fault(a), 0 | 1));
    if !prefilled || streamed {
        return false;
    }
    let last_attempt = attempts.iter().map(|a| a.at).max().unwrap_or(0);
    let last = last_attempt.max(record.ended);
    let path_end = format!("/{id}");
    let releases = log
        .requests
        .iter()
        .filter(|request| request.method == "DELETE" && request.target.ends_with(&path_end));
    let at = releases.map(|request| request.at).max();
    assert!(
        at.is_some_and(|at| at <= last + RELEASE_WITHIN + TOLERANCE + RELEASE_WITHIN),
        "{id}: not released: {at:?} after {last}"
    );
    true
}

/// Rule 3: no request is sent to engines 1 and 3 while they drain, once the grace period has ended.
fn check_drains(log: &RequestLog, draining_since: Micros, draining_until: Micros) {
    let forbidden = draining_since + DRAIN_GRACE + TOLERANCE..draining_until;
    let requests = log.requests.iter();
    for request in requests.filter(|r| matches!(r.engine, 1 | 3) && r.method == "POST") {
        assert!(
            !forbidden.contains(&request.at),
            "{} sent to a draining engine, {} us after it began to drain",
            request.id,
            request.at - draining_since
        );
    }
}

/// Checks the rules that apply to single requests.
fn check_requests(records: &[ClientRecord], log: &RequestLog) -> Counts {
    let mut attempts_by_id: BTreeMap<&str, Vec<&EngineRequest>> = BTreeMap::new();
    for request in log.requests.iter().filter(|r| !r.id.is_empty()) {
        attempts_by_id.entry(&request.id).or_default().push(request);
    }
    let mut counts = Counts::default();
    for record in records {
        let attempts = attempts_by_id
            .get(record.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        let decodes: Vec<&EngineRequest> =
            attempts.iter().copied().filter(|a| a.engine >= 2).collect();
        check_final_response(record, attempts);
        check_effects(record, &decodes);
        check_one_attempt_at_a_time(&record.id, attempts, log);
        let is_broken = record
            .response
            .as_ref()
            .is_some_and(|response| response.status == 200 && !response.complete);
        counts.broken += usize::from(is_broken);
        counts.rejected += usize::from(record.is_rejected());
        counts.retried += usize::from(decodes.len() > 1);
        counts.released += usize::from(check_release(record, attempts, log));
    }
    counts
}

#[test]
fn the_rules_hold_under_many_faults() {
    let setup = ClusterSetup::new(script);
    setup.run(|cluster| async move {
        let (sender, receiver) = async_channel::unbounded();
        let begun = cluster.runtime.now();
        for n in 0..400u64 {
            let (client, address, sender) =
                (cluster.client.clone(), cluster.address, sender.clone());
            cluster.client.run(async move {
                let record = run_client(client, address, n).await;
                let _ = sender.send(record).await;
            });
        }
        drop(sender);
        cluster.runtime.sleep(3_000_000).await;
        cluster.update_list(list(&["up", "draining", "up", "draining"]));
        let draining_since = cluster.runtime.now();
        cluster.runtime.sleep(3_000_000).await;
        cluster.update_list(list(&["up"; 4]));
        let draining_until = cluster.runtime.now();
        let mut records = Vec::new();
        while let Ok(record) = receiver.recv().await {
            records.push(record);
        }
        cluster.runtime.sleep(3_000_000).await;
        assert_eq!(records.len(), 400);
        let log = cluster.log.lock().unwrap();
        let counts = check_requests(&records, &log);
        check_drains(&log, draining_since, draining_until);
        // The run exercised retries, releases and broken streams often enough.
        assert!(
            counts.retried > 20 && counts.released > 20 && counts.broken > 5,
            "{counts:?}"
        );
        assert!(
            log.requests.iter().any(|r| r.at > begun && r.engine == 1),
            "engine 1 was never used"
        );
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// Rule 4: within an overload window of 3 s a cold engine receives at most its warm-up share of the requests that a warm
/// engine received, times the configured multiple (here 1), even if no other decode engine is available.
#[test]
fn a_cold_engine_is_not_overloaded() {
    const WINDOW: Micros = 3_000_000;
    let mut setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.config = setup
        .config
        .replace("\"fall_multiple\":2.5", "\"fall_multiple\":1.0");
    setup.run(|cluster| async move {
        let (client, address) = (cluster.client.clone(), cluster.address);
        cluster.update_list(list(&["up", "up", "up", "removed"]));
        cluster.client.run(async move {
            for n in 0..1_200u64 {
                let (client, inner) = (client.clone(), client.clone());
                inner.run(async move {
                    let mut conn = client.connect(address).await.unwrap();
                    conn.write_all(&request(&format!("c{n}"), "draft", 4_800))
                        .await
                        .unwrap();
                    read_response(&client, &mut conn).await;
                });
                inner.sleep(10_000).await;
            }
        });
        cluster.runtime.sleep(5_000_000).await;
        let started = cluster.runtime.unix_micros() / 1_000;
        let cold =
            list_entry(3, "up").replace("\"started_ms\":0", &format!("\"started_ms\":{started}"));
        cluster.update_list(format!("{},{cold}", list(&["up", "up", "draining"])));
        let listed_at = cluster.runtime.now();
        cluster.runtime.sleep(6_000_000).await;
        let log = cluster.log.lock().unwrap();
        let requests_to = |engine: usize, from: Micros| {
            let window = from..from + WINDOW;
            let requests = log
                .requests
                .iter()
                .filter(|s| s.engine == engine && !s.id.is_empty());
            requests.filter(|s| window.contains(&s.at)).count() as f64
        };
        // The requests that the only decode engine, which is warm, received in the window before the cold engine was listed.
        let warm = requests_to(2, listed_at - WINDOW);
        assert!(warm > 250.0, "{warm}");
        // The share rises linearly from 0.4 at the start to 1 after 10 s: to 0.58 at 3 s and 0.76 at 6 s.
        for (from, share) in [
            (listed_at, 0.4 + 0.6 * 0.3),
            (listed_at + WINDOW, 0.4 + 0.6 * 0.6),
        ] {
            let sent = requests_to(3, from);
            assert!(sent > 0.0, "the cold engine was not used");
            assert!(
                sent <= share * warm,
                "cold engine: {sent} requests, warm engine: {warm}, share {share}"
            );
        }
    });
}
