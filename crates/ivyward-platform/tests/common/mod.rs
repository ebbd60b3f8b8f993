//! The platform's other parties in the virtual world: engines, discovery and clients, and what crossed their sockets.
#![allow(dead_code)] // Each test file uses its part.

use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;
use ivyward::runtime::{before, Conn, RuntimeExt, RuntimeRef};
use ivyward_fakes::platform::exchange::read_request as whole;
pub use ivyward_fakes::platform::exchange::{read_answer as got, Got};
use ivyward_platform::{Config, Service};
use ivyward_sim::{Host, HostId, Net, Sim};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

pub const DAY: Micros = 600_000_000;
pub const SERVED: &str = concat!(
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n",
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":7}}}\n\n",
    "data: [DONE]\n\n: X-Server-Load: TEXT inflight=1, queue=0, util=0.5\n\n"
);
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What an engine does with a request that came whole.
#[derive(Clone, Debug)]
pub enum Play {
    /// Reads or answers as an engine does.
    Usual,
    /// Says these bytes, and keeps the connection.
    Say(Vec<u8>),
    /// Says the first event, then these bytes, and keeps the connection.
    AfterFirst(Vec<u8>),
    /// Says these bytes and closes.
    SayAndClose(Vec<u8>),
    /// Serves after this span.
    Late(Micros),
    Silent,
}

pub fn say(text: &str) -> Play {
    Play::Say(text.as_bytes().to_vec())
}

/// Something that came whole to an engine.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Micros,
    pub engine: usize,
    pub connection: usize,
    pub method: String,
    pub target: String,
    pub id: String,
    pub idempotency_key: String,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub struct Book {
    /// A hold beside no read is answered late and with 204, as engines do.
    pub holds_need_reads: bool,
    pub seen: Vec<Seen>,
    /// When those were answered, by their place in `seen`.
    pub answered: std::collections::BTreeMap<usize, Micros>,
    /// When connections ended at the engine's side: engine, connection, time.
    pub closed: Vec<(usize, usize, Micros)>,
    pub connections: usize,
    /// Requests of which a writer has begun to stream.
    pub streamed: std::collections::BTreeSet<String>,
    /// Kept connections now, and most ever.
    pub standing: usize,
    pub most_standing: usize,
}

/// What an engine says that turns a request away.
pub const AWAY: &str = "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

pub fn reads(seen: &Seen) -> bool {
    seen.engine < 2 && seen.method == "POST" && !seen.id.is_empty()
}

pub fn writes(seen: &Seen) -> bool {
    seen.engine >= 2 && seen.method == "POST" && !seen.id.is_empty()
}

impl Book {
    /// Whether a read for this request is out at an engine.
    fn reading(&self, id: &str) -> bool {
        let out = |(i, seen): (usize, &Seen)| {
            let closed = self.closed.iter().any(|c| c.1 == seen.connection);
            seen.id == id && reads(seen) && !closed && !self.answered.contains_key(&i)
        };
        self.seen.iter().enumerate().any(out)
    }

    /// The longest time in which something may have been held for a request with no attempt at an engine, until `end`: from
    /// the last attempt that was over, of those after a read that was not turned away, to the next one or to a release. A
    /// write that streams lets go of all.
    pub fn held_longest(&self, id: &str, end: Micros) -> Micros {
        let target = format!("/v1/holds/{id}");
        let (mut spans, mut releases): (Vec<(Micros, Micros, bool)>, Vec<Micros>) =
            (Vec::new(), Vec::new());
        for (i, seen) in self.seen.iter().enumerate() {
            if seen.id == id {
                let closed = self
                    .closed
                    .iter()
                    .find(|c| c.1 == seen.connection)
                    .map(|c| c.2);
                let over = self.answered.get(&i).copied().or(closed).unwrap_or(end);
                spans.push((seen.at, over, seen.engine < 2));
            } else if seen.target == target {
                match seen.method.as_str() {
                    "DELETE" => releases.push(seen.at),
                    // A hold counts like the end of an attempt.
                    _ => spans.push((seen.at, seen.at, true)),
                }
            }
        }
        spans.sort_unstable();
        let mut longest = 0;
        for (i, (_, over, reads)) in spans.iter().enumerate() {
            let streamed = !reads && self.streamed.contains(id);
            let held = spans[..=i].iter().any(|s| s.2) && !streamed;
            let out = spans
                .iter()
                .any(|(at, until, _)| at <= over && until > over);
            if held && !out {
                let next = spans
                    .iter()
                    .map(|s| s.0)
                    .filter(|at| at > over)
                    .min()
                    .unwrap_or(end);
                let release = releases
                    .iter()
                    .copied()
                    .filter(|at| at >= over)
                    .min()
                    .unwrap_or(end);
                longest = longest.max(next.min(release).saturating_sub(*over));
            }
        }
        longest
    }
}

type Script = Arc<dyn Fn(&Seen) -> Play + Send + Sync>;

/// The whole scene: engine 0 and 1 read, engine 2 and 3 write.
pub struct Rig {
    pub sim: Sim,
    pub runtime: RuntimeRef,
    pub client: Arc<Host>,
    pub book: Arc<Mutex<Book>>,
    pub list: Arc<Mutex<(u64, String)>>,
    pub faults: Arc<Mutex<Faults>>,
    pub config: String,
    pub engines: Vec<Arc<Host>>,
    pub discovery: SocketAddr,
    pub node: Arc<Host>,
}

pub fn entry(i: usize, state: &str) -> String {
    let kind = if i < 2 { "prefill" } else { "decode" };
    let addr = address(i);
    format!(
        r#"{{"id":"s-{i}","addr":"{addr}","zone":"a","kind":"{kind}","cell":1,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, i as u8 + 1], 8080))
}

pub fn list(states: &[&str]) -> String {
    let entries: Vec<String> = states
        .iter()
        .enumerate()
        .map(|(i, s)| entry(i, s))
        .collect();
    entries.join(",")
}

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

impl Rig {
    pub fn new(script: impl Fn(&Seen) -> Play + Send + Sync + 'static) -> Rig {
        Rig::with(1024, script)
    }

    pub fn with(sockets: usize, script: impl Fn(&Seen) -> Play + Send + Sync + 'static) -> Rig {
        let sim = Sim::new(
            7,
            Net {
                latency: 200,
                jitter: 50,
                ..Net::default()
            },
        );
        let (node, client, told) = (sim.host(1), sim.host(2), sim.host(3));
        let book = Arc::new(Mutex::new(Book::default()));
        let script: Script = Arc::new(script);
        let engines: Vec<Arc<Host>> = (0..4).map(|i| sim.host(10 + i as u64)).collect();
        for (i, host) in engines.iter().enumerate() {
            engine(host, i, &book, &script);
        }
        let whole = list(&["up"; 4]);
        let list = Arc::new(Mutex::new((1, whole)));
        let discovery = SocketAddr::from(([127, 0, 2, 1], 8500));
        let faults = Arc::default();
        discover(&told, discovery, &list, &faults);
        let config = config(discovery, sockets);
        Rig {
            sim,
            runtime: node.runtime(),
            client,
            book,
            list,
            faults,
            config,
            engines,
            discovery,
            node,
        }
    }

    pub fn config(&self) -> Config {
        Config::parse("test", self.config.as_bytes()).unwrap()
    }

    /// Plays a scene on the client's host, beside a node that serves.
    pub fn play<F: std::future::Future<Output = ()> + Send + 'static>(
        &self,
        scene: impl FnOnce(Scene) -> F + Send + 'static,
    ) {
        let (runtime, config, client) =
            (self.runtime.clone(), self.config(), self.client.runtime());
        let (book, list, faults) = (self.book.clone(), self.list.clone(), self.faults.clone());
        let (sim, hosts) = (
            self.sim.clone(),
            self.engines.iter().map(|e| e.id()).collect(),
        );
        let hosts = (self.node.id(), hosts);
        let played = self.sim.run(&self.node, DAY, async move {
            let service = Service::start(runtime.clone(), config).await.unwrap();
            let address = service.address();
            while !healthy(&client, address).await {
                client.sleep(10_000).await;
            }
            let node = service.node().clone();
            scene(Scene {
                sim,
                hosts,
                service,
                runtime,
                client,
                address,
                book,
                list,
                faults,
            })
            .await;
            assert_eq!(
                node.metrics().all_violations(),
                0,
                "invariants that did not hold; the log names them"
            );
        });
        played.unwrap();
    }
}

pub struct Scene {
    pub sim: Sim,
    /// The node's host and the engines'.
    pub hosts: (HostId, Vec<HostId>),
    pub service: Service,
    pub runtime: RuntimeRef,
    pub client: RuntimeRef,
    pub address: SocketAddr,
    pub book: Arc<Mutex<Book>>,
    pub list: Arc<Mutex<(u64, String)>>,
    pub faults: Arc<Mutex<Faults>>,
}

impl Scene {
    /// Cuts engines off from the node, or mends that.
    pub fn cut(&self, engines: &[usize], on: bool) {
        for engine in engines {
            self.sim.cut(self.hosts.0, self.hosts.1[*engine], on);
            self.sim.cut(self.hosts.1[*engine], self.hosts.0, on);
        }
    }
    pub fn seen(&self) -> Vec<Seen> {
        self.book.lock().unwrap().seen.clone()
    }
    /// What engines got of a request: its sends, without holds and releases.
    pub fn sends(&self, id: &str) -> Vec<Seen> {
        self.seen().into_iter().filter(|s| s.id == id).collect()
    }
    /// Releases of a request.
    pub fn releases(&self, id: &str) -> Vec<Seen> {
        let target = format!("/v1/holds/{id}");
        self.seen()
            .into_iter()
            .filter(|s| s.method == "DELETE" && s.target == target)
            .collect()
    }
    /// Gives the list another text.
    pub fn relist(&self, text: String) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, text);
    }
    pub async fn connect(&self) -> Conn {
        self.client.connect(self.address).await.unwrap()
    }
    /// One request on a connection of its own.
    pub async fn ask(&self, id: &str, class: &str) -> Got {
        let mut conn = self.connect().await;
        conn.write_all(&request(id, class, 4_800)).await.unwrap();
        got(&self.client, &mut conn).await
    }
}

async fn healthy(runtime: &RuntimeRef, address: SocketAddr) -> bool {
    let Ok(mut conn) = runtime.connect(address).await else {
        return false;
    };
    conn.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    got(runtime, &mut conn).await.status == 200
}

pub const BODY: &str = r#"{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"}]}"#;

pub fn request(id: &str, class: &str, timeout_ms: u64) -> Vec<u8> {
    let length = BODY.len();
    format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: acme\r\nX-Route-Key: k{id}\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-Attrs: prefix=5c0f,prompt_len=40,prefix_len=4,max_out=80\r\nContent-Length: {length}\r\n\r\n{BODY}"
    )
    .into_bytes()
}

fn engine(host: &Arc<Host>, me: usize, book: &Arc<Mutex<Book>>, script: &Script) {
    let runtime = host.runtime();
    let mut listener = runtime.listen(address(me)).unwrap();
    let (book, script) = (book.clone(), script.clone());
    runtime.clone().run(async move {
        while let Ok((conn, _)) = listener.accept().await {
            let (book, script, runtime) = (book.clone(), script.clone(), runtime.clone());
            let connection = {
                let mut book = book.lock().unwrap();
                book.connections += 1;
                book.standing += 1;
                book.most_standing = book.most_standing.max(book.standing);
                book.connections
            };
            runtime.clone().run(async move {
                serve(&runtime, conn, (me, connection), &book, &script).await;
                let mut book = book.lock().unwrap();
                book.standing -= 1;
                book.closed.push((me, connection, runtime.now()));
            });
        }
    });
}

async fn serve(
    runtime: &RuntimeRef,
    mut conn: Conn,
    (me, connection): (usize, usize),
    book: &Mutex<Book>,
    script: &Script,
) {
    let mut bytes = Vec::new();
    while let Some((request, body)) = whole(&mut conn, &mut bytes).await {
        let text = |name: &str| request.head.text(name).unwrap_or("").to_owned();
        let seen = Seen {
            at: runtime.now(),
            engine: me,
            connection,
            method: request.method.clone(),
            target: request.target.clone(),
            id: text("x-request-id"),
            idempotency_key: text("idempotency-key"),
            timeout_ms: text("x-timeout-ms").parse().unwrap_or(0),
            body,
        };
        let place = {
            let mut book = book.lock().unwrap();
            book.seen.push(seen.clone());
            book.seen.len() - 1
        };
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let usual = match (request.method.as_str(), me < 2) {
            ("DELETE", _) => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
            ("POST", _) if request.target.starts_with("/v1/holds/") => {
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            (_, true) => "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}"
                .to_owned(),
            (_, false) => format!("{STREAM}{}0\r\n\r\n", chunk(SERVED)),
        };
        let play = script(&seen);
        // A hold is known beside a read that is out; else its engine waits, and cannot say.
        if request.target.starts_with("/v1/holds/")
            && seen.method == "POST"
            && matches!(play, Play::Usual)
        {
            let id = request.target.trim_start_matches("/v1/holds/");
            let unknown = {
                let book = book.lock().unwrap();
                book.holds_need_reads && !book.reading(id)
            };
            if unknown {
                runtime.sleep(300_000).await;
                if conn
                    .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                    .await
                    .is_err()
                {
                    return;
                }
                continue;
            }
        }
        let (said, closes) = match play {
            Play::Usual => (usual.into_bytes(), false),
            Play::Say(bytes) => (bytes, false),
            Play::SayAndClose(bytes) => (bytes, true),
            Play::AfterFirst(bytes) => {
                let first = SERVED.split_inclusive("\n\n").next().unwrap();
                let opening = format!("{STREAM}{}", chunk(first));
                if conn.write_all(opening.as_bytes()).await.is_err() {
                    return;
                }
                runtime.sleep(300_000).await;
                (bytes, false)
            }
            Play::Late(span) => {
                runtime.sleep(span).await;
                (usual.into_bytes(), false)
            }
            Play::Silent => (Vec::new(), false),
        };
        if !said.is_empty() {
            let mut book = book.lock().unwrap();
            book.answered.insert(place, runtime.now());
            if me >= 2 && !seen.id.is_empty() && said.starts_with(b"HTTP/1.1 200") {
                book.streamed.insert(seen.id.clone());
            }
        }
        if conn.write_all(&said).await.is_err() || closes {
            return;
        }
    }
}

/// What discovery does with a call.
#[derive(Clone, Debug)]
pub enum Told {
    Usual,
    /// Nothing comes, and the connection stays.
    Silent,
    /// The connection ends, orderly or not.
    Close,
    Reset,
    /// So many bytes of the answer, then nothing.
    Part(usize),
    /// The same, then the connection ends.
    Cut(usize),
    /// This body in place of the list.
    Body(String),
    Status(u16),
    /// The answer comes so much later.
    Late(Micros),
    /// The answer comes in pieces of so many bytes, with a pause before each.
    Slow(usize, Micros),
}

/// What goes wrong at discovery.
#[derive(Default)]
pub struct Faults {
    /// For the next calls, one each.
    pub next: std::collections::VecDeque<Told>,
    /// For all calls after those.
    pub always: Option<Told>,
    /// Connections with a lower number have fallen silent for good, in the midst of whatever they were at.
    pub silent_below: usize,
    pub connections: usize,
    pub calls: usize,
    /// What was asked for, in order.
    pub targets: Vec<String>,
}

impl Faults {
    /// All watches that are open now fall silent.
    pub fn silence(&mut self) {
        self.silent_below = self.connections + 1;
    }
}

/// Discovery: a list that changes is told at once to whoever watches.
pub fn discover(
    host: &Arc<Host>,
    at: SocketAddr,
    list: &Arc<Mutex<(u64, String)>>,
    faults: &Arc<Mutex<Faults>>,
) {
    let runtime = host.runtime();
    let mut listener = runtime.listen(at).unwrap();
    let (list, faults) = (list.clone(), faults.clone());
    runtime.clone().run(async move {
        while let Ok((conn, _)) = listener.accept().await {
            let me = {
                let mut faults = faults.lock().unwrap();
                faults.connections += 1;
                faults.connections
            };
            let (list, runtime, faults) = (list.clone(), runtime.clone(), faults.clone());
            runtime
                .clone()
                .run(async move { tell(&runtime, conn, me, &list, &faults).await });
        }
    });
}

async fn tell(
    runtime: &RuntimeRef,
    mut conn: Conn,
    me: usize,
    list: &Mutex<(u64, String)>,
    faults: &Mutex<Faults>,
) {
    let mut bytes = Vec::new();
    while let Some((request, _)) = whole(&mut conn, &mut bytes).await {
        let query = |name: &str| {
            let at = request.target.find(&format!("{name}="))? + name.len() + 1;
            let digits = request.target[at..].split('&').next()?;
            digits.parse::<u64>().ok()
        };
        let silent = || me < faults.lock().unwrap().silent_below;
        let does = {
            let mut faults = faults.lock().unwrap();
            faults.calls += 1;
            faults.targets.push(request.target.clone());
            let does = faults.next.pop_front();
            does.or(faults.always.clone()).unwrap_or(Told::Usual)
        };
        let from = query("from");
        let until = runtime.now() + query("hold_ms").unwrap_or(0) * 1_000;
        let waits = matches!(does, Told::Usual | Told::Slow(..) | Told::Late(_));
        while waits && from == Some(list.lock().unwrap().0) && runtime.now() < until && !silent() {
            runtime.sleep(1_000).await;
        }
        if silent() {
            return std::future::pending().await;
        }
        let (version, servers) = list.lock().unwrap().clone();
        let text = match &does {
            Told::Body(text) => text.clone(),
            _ if from == Some(version) => {
                format!(r#"{{"version":{version},"full":false,"servers":[]}}"#)
            }
            _ => format!(r#"{{"version":{version},"full":true,"servers":[{servers}]}}"#),
        };
        let status = if let Told::Status(status) = does {
            status
        } else {
            200
        };
        let answer = format!(
            "HTTP/1.1 {status} So\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        let answer = answer.as_bytes();
        let sent = match does {
            Told::Silent => 0,
            Told::Part(n) | Told::Cut(n) => n.min(answer.len()),
            Told::Close | Told::Reset => 0,
            _ => answer.len(),
        };
        if let Told::Late(span) = does {
            runtime.sleep(span).await;
        }
        let (piece, pause) = if let Told::Slow(piece, pause) = does {
            (piece, pause)
        } else {
            (usize::MAX, 0)
        };
        for piece in answer[..sent].chunks(piece.min(sent.max(1))) {
            if pause > 0 {
                runtime.sleep(pause).await;
            }
            if conn.write_all(piece).await.is_err() {
                return;
            }
        }
        match does {
            Told::Silent | Told::Part(_) => return std::future::pending().await,
            Told::Close | Told::Cut(_) => return,
            Told::Reset => return conn.reset_on_close(),
            _ => {}
        }
    }
}

/// Waits for something to hold, for a virtual minute at most.
pub async fn until(runtime: &RuntimeRef, what: &str, holds: impl Fn() -> bool) {
    let waited = before(runtime, runtime.now() + 60_000_000, async {
        while !holds() {
            runtime.sleep(1_000).await;
        }
    });
    assert!(waited.await.is_some(), "{what}");
}
