//! Stand-ins for the cases of the second review: clients, engines and discovery as PROTOCOL.md describes them, and the node
//! as a separate process. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ends the case with 2: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

/// The record of a case: record.txt in its folder, and a short account on standard output.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create() -> Arc<Record> {
        let folder = std::env::var("CASE").unwrap_or_else(|_| ".".into());
        let file = File::create(PathBuf::from(folder).join("record.txt"))
            .unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }
    pub fn at(&self, when: Instant) -> f64 {
        when.saturating_duration_since(self.start).as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.4} {}\n",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Whether the disruption is played. `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
}

// ---------------------------------------------------------------- HTTP

/// A connection with what was read of it and not used yet.
pub struct Http {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

impl Http {
    pub fn new(stream: TcpStream) -> Http {
        let _ = stream.set_nodelay(true);
        Http {
            stream,
            buffer: Vec::new(),
        }
    }
    pub fn connect(to: SocketAddr) -> io::Result<Http> {
        Ok(Http::new(TcpStream::connect_timeout(&to, ms(2000))?))
    }
    /// Reads more bytes; 0 at the end of the stream.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16384];
        loop {
            match self.stream.read(&mut chunk) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Ok(n) => {
                    self.buffer.extend_from_slice(&chunk[..n]);
                    return Ok(n);
                }
                Err(e) => return Err(e),
            }
        }
    }
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }
    /// Reads a head; `None` if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().into(), value.trim().into()));
            }
        }
    }
    /// Reads the body of a message by its framing. `whole` stays false if the connection ends before it does.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if !chunked {
            let length = message
                .header("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0usize);
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
            message.body.extend(self.buffer.drain(..length));
            message.whole = true;
            return Ok(());
        }
        loop {
            let Some(line) = self.line()? else {
                return Ok(());
            };
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    message.body.append(&mut self.buffer);
                    return Ok(());
                }
            }
            message.body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
        }
    }
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message)?;
        Ok(Some(message))
    }
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Whether the peer has closed its side. Bytes that wait count as open.
pub fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

// ---------------------------------------------------------------- engines

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Reader,
    Writer,
}

#[derive(Clone)]
pub struct EngineInfo {
    pub number: usize,
    pub kind: Kind,
    pub addr: SocketAddr,
}

impl EngineInfo {
    pub fn name(&self) -> String {
        format!("s-{}", self.number)
    }
}

/// A request that an engine has received to its last byte.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub engine: usize,
    pub kind: Kind,
    pub id: String,
    pub at: Instant,
    pub timeout_ms: u64,
    /// The count of requests with a prompt that this engine got, this one included.
    pub count: u64,
}

/// A run of a request at a writer: the effect.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub engine: usize,
    pub at: Instant,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub engines: Vec<EngineInfo>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub runs: Mutex<Vec<Run>>,
    /// The reader at which the state of a request waits.
    states: Mutex<HashMap<String, usize>>,
    /// The ids that clients have sent. Another id at an engine voids the run.
    pub ids: Mutex<BTreeSet<String>>,
    pub read_time: Duration,
    pub first_token: Duration,
    pub events: usize,
    pub between_events: Duration,
}

pub struct FleetPlan {
    pub readers: usize,
    pub writers: usize,
    pub read_time: Duration,
    pub first_token: Duration,
    pub events: usize,
    pub between_events: Duration,
}

impl Fleet {
    pub fn start(record: &Arc<Record>, plan: FleetPlan) -> Arc<Fleet> {
        let mut engines = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..plan.readers + plan.writers {
            let listener =
                TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
            let kind = if number < plan.readers {
                Kind::Reader
            } else {
                Kind::Writer
            };
            engines.push(EngineInfo {
                number,
                kind,
                addr: listener.local_addr().unwrap(),
            });
            listeners.push(listener);
        }
        let fleet = Arc::new(Fleet {
            record: record.clone(),
            engines,
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            states: Mutex::default(),
            ids: Mutex::default(),
            read_time: plan.read_time,
            first_token: plan.first_token,
            events: plan.events,
            between_events: plan.between_events,
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let fleet = fleet.clone();
            let count = Arc::new(AtomicU64::new(0));
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (fleet, count) = (fleet.clone(), count.clone());
                    thread::spawn(move || {
                        let _ = fleet.serve(number, stream, &count);
                    });
                }
            });
        }
        fleet
    }

    fn serve(&self, number: usize, stream: TcpStream, count: &AtomicU64) -> io::Result<()> {
        let kind = self.engines[number].kind;
        let mut http = Http::new(stream);
        while let Some(request) = http.message()? {
            if !request.whole {
                return Ok(());
            }
            if let Some(id) = request.target().strip_prefix("/v1/holds/") {
                let answer: &[u8] = if request.method() == "DELETE" {
                    self.states.lock().unwrap().remove(id);
                    self.record.line(format!("engine s-{number} DELETE {id}"));
                    b"HTTP/1.1 204 No Content\r\n\r\n"
                } else {
                    b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
                };
                http.send(answer)?;
                continue;
            }
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.method() != "POST" || !self.knows(&id) {
                let status = if id.is_empty() {
                    "404 Not Found"
                } else {
                    "400 Bad Request"
                };
                self.record.line(format!(
                    "engine s-{number} got {} with id {id:?}: {status}",
                    request.start
                ));
                let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                http.send(answer.as_bytes())?;
                continue;
            }
            let arrival = Arrival {
                engine: number,
                kind,
                id: id.clone(),
                at: Instant::now(),
                timeout_ms: request
                    .header("x-timeout-ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0),
                count: count.fetch_add(1, Ordering::SeqCst) + 1,
            };
            self.arrivals.lock().unwrap().push(arrival.clone());
            self.record.line(format!(
                "engine s-{number} ({kind:?}) received {id}, {} ms left",
                arrival.timeout_ms
            ));
            if !self.answer(number, &id, &http.stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Whether clients have sent this id, or any id with its first eight characters.
    fn knows(&self, id: &str) -> bool {
        let ids = self.ids.lock().unwrap();
        ids.contains(id) || id.get(..8).is_some_and(|group| ids.contains(group))
    }

    /// Works on a request and answers it. Returns false if the connection ended meanwhile, which stops the work.
    fn answer(&self, number: usize, id: &str, stream: &TcpStream) -> io::Result<bool> {
        let wait = |time: Duration| {
            let until = Instant::now() + time;
            loop {
                if has_closed(stream) {
                    return false;
                }
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return true;
                }
                thread::sleep(left.min(ms(5)));
            }
        };
        let put = |text: &str| (&mut &*stream).write_all(text.as_bytes());
        if self.engines[number].kind == Kind::Reader {
            if !wait(self.read_time) {
                self.record.line(format!(
                    "engine s-{number} stopped reading {id}: connection ended"
                ));
                return Ok(false);
            }
            self.states.lock().unwrap().insert(id.into(), number);
            put("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}")?;
            self.record.line(format!("engine s-{number} has read {id}"));
            return Ok(true);
        }
        if self.states.lock().unwrap().remove(id).is_none() {
            put("HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")?;
            self.record
                .line(format!("engine s-{number} has no state to fetch for {id}"));
            return Ok(true);
        }
        if !wait(self.first_token) {
            self.record.line(format!(
                "engine s-{number} dropped {id} before its first token: connection ended"
            ));
            return Ok(false);
        }
        self.runs.lock().unwrap().push(Run {
            id: id.into(),
            engine: number,
            at: Instant::now(),
        });
        self.record.line(format!("engine s-{number} RUNS {id}"));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        for n in 0..self.events {
            if n > 0 && !wait(self.between_events) {
                return Ok(false);
            }
            let event = format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id} {n} \"}},\"finish_reason\":null}}]}}\n\n"
            );
            let text = chunk(&event);
            put(&if n == 0 {
                format!("{head}{text}")
            } else {
                text
            })?;
        }
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":40,\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":4}}}}}}\n\ndata: [DONE]\n\n",
            self.events
        );
        let report = ": X-Server-Load: TEXT inflight=1, queue=0, util=0.5\n\n";
        put(&format!("{}{}0\r\n\r\n", chunk(&usage), chunk(report)))?;
        self.record
            .line(format!("engine s-{number} ended its answer to {id}"));
        Ok(true)
    }

    /// The entry of an engine in discovery's list.
    pub fn entry(&self, number: usize, state: &str) -> String {
        let engine = &self.engines[number];
        let kind = if engine.kind == Kind::Reader {
            "prefill"
        } else {
            "decode"
        };
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"a\",\"kind\":\"{kind}\",\"cell\":{},\"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}",
            engine.name(), engine.addr, number % 2
        )
    }

    /// The whole list with every engine up.
    pub fn entries(&self) -> BTreeMap<usize, String> {
        self.engines
            .iter()
            .map(|e| (e.number, self.entry(e.number, "up")))
            .collect()
    }
}

// ---------------------------------------------------------------- discovery

struct ListState {
    version: u64,
    /// The entry of each engine, with the version at which it last changed.
    entries: BTreeMap<usize, (u64, String)>,
}

/// Discovery: answers with the list that it has.
pub struct Discovery {
    pub name: &'static str,
    pub addr: SocketAddr,
    state: Mutex<ListState>,
    changed: Condvar,
    record: Arc<Record>,
    /// How long each answer takes once there is something to answer, in milliseconds.
    pub slow_ms: AtomicU64,
}

impl Discovery {
    pub fn start(
        record: &Arc<Record>,
        name: &'static str,
        version: u64,
        entries: BTreeMap<usize, String>,
    ) -> Arc<Discovery> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let discovery = Arc::new(Discovery {
            name,
            addr: listener.local_addr().unwrap(),
            state: Mutex::new(ListState {
                version,
                entries: entries
                    .into_iter()
                    .map(|(n, e)| (n, (version, e)))
                    .collect(),
            }),
            changed: Condvar::new(),
            record: record.clone(),
            slow_ms: AtomicU64::new(0),
        });
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut http = Http::new(stream);
        while let Some(call) = http.message()? {
            let query = |name: &str| -> Option<u64> {
                let query = call.target().split_once('?')?.1;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let from = query("from");
            let mut state = self.state.lock().unwrap();
            if let Some(from) = from {
                let until = Instant::now() + ms(query("hold_ms").unwrap_or(0).min(60_000));
                // Waits until something newer than `from` exists.
                while state.version <= from {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || has_closed(&http.stream) {
                        break;
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left.min(ms(50)))
                        .unwrap()
                        .0;
                }
            }
            drop(state);
            // A slow answer has what is current when it is written.
            let until = Instant::now() + ms(self.slow_ms.load(Ordering::SeqCst));
            while Instant::now() < until {
                if has_closed(&http.stream) {
                    self.record.line(format!(
                        "discovery {}: {} was given up before its answer",
                        self.name, call.start
                    ));
                    return Ok(());
                }
                thread::sleep(ms(5));
            }
            let state = self.state.lock().unwrap();
            let (full, version) = (from.is_none(), state.version);
            let servers: Vec<String> = state
                .entries
                .values()
                .filter(|(changed, _)| full || *changed > from.unwrap_or(0))
                .map(|(_, entry)| entry.clone())
                .collect();
            drop(state);
            let body = format!(
                "{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}",
                servers.join(",")
            );
            http.send(
                format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                    .as_bytes(),
            )?;
            if full || !servers.is_empty() {
                self.record.line(format!(
                    "discovery {} wrote version {version}, full={full}: {}",
                    self.name,
                    servers.join(" ")
                ));
            }
        }
        Ok(())
    }

    /// Changes one entry, as one new version.
    pub fn change(&self, engine: usize, entry: String) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.entries.insert(engine, (version, entry));
        self.changed.notify_all();
        version
    }
}

// ---------------------------------------------------------------- node

/// The figures of a deployment's settings.
#[derive(Clone)]
pub struct Settings {
    pub drain_grace_us: u64,
    pub let_go_us: u64,
    pub deadline_us: u64,
    pub second_semantics: &'static str,
    pub nodes: usize,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Default for Settings {
    /// Like nimto-ktm: drains 1 s, what is held 300 ms, a class that may be repeated and one that may not.
    fn default() -> Settings {
        Settings {
            drain_grace_us: 1_000_000,
            let_go_us: 300_000,
            deadline_us: 7_500_000,
            second_semantics: "fragile",
            nodes: 1,
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

impl Settings {
    fn json(&self) -> String {
        let class = |name: &str, semantics: &str, importance: f64| {
            format!(
                "{{\"name\":\"{name}\",\"semantics\":\"{semantics}\",\"target_us\":1500000,\"deadline_us\":{},\"importance\":{importance},\"late_share\":0.1,\"key_ttl_us\":5000000,\"group\":\"all\",\"streamed\":true}}",
                self.deadline_us
            )
        };
        format!(
            "{{\"balancers\":{},\"zone\":0,\"me\":0,\"failure_domains\":[\"a\"],\"host_types\":[\"prefill\",\"decode\"],\"family\":\"twostage\",\
             \"family_info\":{{\"kind_role\":[\"read\",\"write\"],\"local_read\":false,\"early_pairing\":false,\"resume\":false,\"let_go_by_us\":{},\
             \"memory_tokens\":[250000,150000],\"aim_us_per_1000_prompt_tokens\":[40000.0,120000.0],\"token_aim_us\":[60000.0,80000.0],\"transfer_price\":0.05,\
             \"report_x0\":\"share_of_memory_that_is_held\"}},\
             \"classes\":[{},{}],\
             \"parties\":[{{\"name\":\"acme\",\"quota_per_s\":1000.0,\"share\":1.0}}],\
             \"guarantees\":{{\"answer_slack_us\":8000,\"ask_every_us\":10000000,\"drain_grace_us\":{},\"fall_multiple\":2.5,\"fall_us\":3000000,\"start_capacity\":0.33,\"warm_after_us\":13000000}},\
             \"limits\":{{\"may_cancel\":true,\"probes\":false,\"peers\":false,\"second_copies\":false,\"try_limit\":5,\"retry_after\":true,\"max_retry_after_us\":500000,\
             \"keepalive_us\":15000000,\"dial_timeout_us\":250000,\"max_open\":20000,\"streams_per_conn\":1}},\
             \"report\":{{\"source\":\"answers\",\"fields\":[\"utilization\",\"backlog\"]}},\"discovery\":\"automatic\",\"tiers\":[\"model\"],\"layer\":0,\"weight_source\":\"nominal\",\"worth_by\":\"work\"}}",
            self.nodes,
            self.let_go_us,
            class("draft", "retryable", 2.0),
            class("send-batch", self.second_semantics, 5.0),
            self.drain_grace_us,
        )
    }
}

fn process_file(child: &Child) -> PathBuf {
    let folder = std::env::var("WORK").unwrap_or_else(|_| cannot_run("WORK is not set"));
    PathBuf::from(folder).join(format!("pid.{}", child.id()))
}

/// Notes a started process: play.sh ends those whose notes are still there when the case is over.
pub fn note_process(child: &Child) {
    let _ = std::fs::write(process_file(child), "");
}

/// Ends a started process and takes its note away.
pub fn end_process(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(process_file(child));
}

/// A node, started with the command `run` of the deploy file.
pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub config: PathBuf,
    name: String,
    settings: Settings,
    known: String,
}

/// Returns a loopback port that was free a moment ago.
fn free_port() -> u16 {
    let probe = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    probe.local_addr().unwrap().port()
}

impl Node {
    pub fn start(record: &Record, name: &str, settings: &Settings, discovery: SocketAddr) -> Node {
        let folder =
            PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| cannot_run("WORK is not set")));
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set"));
        let addr = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let config = folder.join(format!("{name}.json"));
        let known = "{\"version\":0,\"full\":true,\"servers\":[]}".to_owned();
        write_config(&config, name, addr, discovery, settings, &known);
        let log = File::create(folder.join(format!("{name}.log")))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let tmp = folder.join(format!("{name}.tmp"));
        let _ = std::fs::create_dir(&tmp);
        // The platform's limit on file descriptors holds for the node alone.
        let run = format!("ulimit -S -n {}; {run}", settings.sockets);
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&run)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", addr.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{run}: {e}")));
        let mut node = Node {
            child,
            addr,
            config,
            name: name.into(),
            settings: settings.clone(),
            known,
        };
        note_process(&node.child);
        record.line(format!("node {name} started, process {}", node.child.id()));
        let until = Instant::now() + ms(15_000);
        while !node.is_ready() {
            if Instant::now() > until || node.child.try_wait().ok().flatten().is_some() {
                node.kill();
                cannot_run("the node is not ready");
            }
            thread::sleep(ms(20));
        }
        record.line(format!("node {name} is ready"));
        node
    }
    fn is_ready(&self) -> bool {
        let asked = || -> io::Result<u16> {
            let mut http = Http::connect(self.addr)?;
            http.stream.set_read_timeout(Some(ms(1000)))?;
            http.send(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n")?;
            Ok(http.message()?.map_or(0, |answer| answer.status()))
        };
        asked().is_ok_and(|status| status == 200)
    }
    /// Sends a signal to the node's process.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("/bin/kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        let sent = sent.or_else(|_| {
            let text = format!("kill -{name} {}", self.child.id());
            Command::new("/bin/sh").arg("-c").arg(text).status()
        });
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("a signal could not be sent");
        }
    }
    /// Writes a new configuration with another address of discovery, and sends SIGHUP.
    pub fn move_discovery(&self, discovery: SocketAddr) {
        write_config(
            &self.config,
            &self.name,
            self.addr,
            discovery,
            &self.settings,
            &self.known,
        );
        self.signal("HUP");
    }
    /// The memory of the node in kB, without the program's own files.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let field = |name: &str| -> u64 {
            let line = status.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
                .unwrap_or(0)
        };
        field("VmRSS:").saturating_sub(field("RssFile:"))
    }
    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
    pub fn kill(&mut self) {
        end_process(&mut self.child);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn write_config(
    path: &PathBuf,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    settings: &Settings,
    known: &str,
) {
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
        settings.memory_mb,
        settings.sockets,
        settings.json()
    );
    let next = path.with_extension("next");
    let written = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, path));
    written.unwrap_or_else(|e| cannot_run(&e.to_string()));
}

// ---------------------------------------------------------------- clients

/// What a client asks for.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub session: String,
    pub prefix: String,
    pub timeout_ms: u64,
    pub prompt_tokens: usize,
}

impl Ask {
    pub fn bytes(&self) -> Vec<u8> {
        // A token is four characters.
        let text = "word".repeat(self.prompt_tokens);
        let body = format!(
            "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":80,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
        );
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: acme\r\nX-Route-Key: {}\r\nX-Timeout-Ms: {}\r\n\
             X-Attrs: prefix={},prompt_len={},prefix_len={},max_out=80\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id, self.class, self.session, self.timeout_ms, self.prefix, self.prompt_tokens, self.prompt_tokens / 2, body.len()
        )
        .into_bytes()
    }
}

/// How a request ended, as its client saw it.
#[derive(Clone, Debug)]
pub struct Ending {
    pub id: String,
    /// 0 if the connection ended, or nothing came, before a whole head.
    pub status: u16,
    /// The answer came to its end.
    pub whole: bool,
    pub body: String,
    pub sent: Instant,
    pub ended: Instant,
    pub error: Option<String>,
}

impl Ending {
    pub fn took(&self) -> Duration {
        self.ended - self.sent
    }
    /// The ids in the words of the answer: each event begins with the id of the request that its engine made it for.
    pub fn made_for(&self) -> BTreeSet<String> {
        self.body
            .split("\"content\":\"")
            .skip(1)
            .filter_map(|rest| rest.split(' ').next().map(str::to_owned))
            .collect()
    }
    pub fn summary(&self) -> String {
        format!(
            "client: {} status {} whole={} after {:.3} s, answer made for {:?}{}",
            self.id,
            self.status,
            self.whole,
            self.took().as_secs_f64(),
            self.made_for(),
            self.error
                .as_ref()
                .map_or(String::new(), |e| format!(", {e}"))
        )
    }
}

/// Clients of one node: they keep connections, and open more when every one is busy.
pub struct Clients {
    node: SocketAddr,
    fleet: Arc<Fleet>,
    idle: Mutex<Vec<Http>>,
    pub endings: Mutex<Vec<Ending>>,
    pub open: AtomicU64,
}

impl Clients {
    pub fn new(node: SocketAddr, fleet: &Arc<Fleet>) -> Arc<Clients> {
        Arc::new(Clients {
            node,
            fleet: fleet.clone(),
            idle: Mutex::default(),
            endings: Mutex::default(),
            open: AtomicU64::new(0),
        })
    }
    /// Sends a request in a thread of its own.
    pub fn start(self: &Arc<Self>, ask: Ask) {
        let clients = self.clone();
        self.open.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            clients.run(ask);
            clients.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
    /// Waits until all started requests have ended, or so long.
    pub fn wait(&self, time: Duration) {
        let until = Instant::now() + time;
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(ms(10));
        }
    }
    /// Sends a request and waits for its end.
    pub fn run(&self, ask: Ask) -> Ending {
        self.fleet.ids.lock().unwrap().insert(ask.id.clone());
        let sent = Instant::now();
        let kept = self.idle.lock().unwrap().pop();
        let was_kept = kept.is_some();
        let mut ending = self.exchange(kept, &ask, sent);
        // A close that crossed the request on a kept connection: the request goes once more on a new one.
        if was_kept && ending.status == 0 && ending.took() < ms(1000) {
            self.fleet.record.line(format!(
                "client: {} goes once more on a new connection",
                ask.id
            ));
            ending = self.exchange(None, &ask, sent);
        }
        self.fleet.record.line(ending.summary());
        self.endings.lock().unwrap().push(ending.clone());
        ending
    }
    fn exchange(&self, kept: Option<Http>, ask: &Ask, sent: Instant) -> Ending {
        let mut message = Message::default();
        let mut status = 0;
        let result = (|| -> io::Result<Http> {
            let mut http = match kept {
                Some(http) => http,
                None => Http::connect(self.node)?,
            };
            http.stream
                .set_read_timeout(Some(ms(ask.timeout_ms + 6000)))?;
            http.send(&ask.bytes())?;
            self.fleet
                .record
                .line(format!("client: sent {} ({})", ask.id, ask.class));
            message = http.head()?.ok_or_else(|| {
                io::Error::new(io::ErrorKind::UnexpectedEof, "closed with no answer")
            })?;
            status = message.status();
            http.body(&mut message)?;
            Ok(http)
        })();
        let closes = message
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let error = result.as_ref().err().map(|e| e.to_string());
        if let Ok(http) = result {
            if message.whole && !closes && http.buffer.is_empty() {
                self.idle.lock().unwrap().push(http);
            }
        }
        Ending {
            id: ask.id.clone(),
            status,
            whole: message.whole,
            body: String::from_utf8_lossy(&message.body).into_owned(),
            sent,
            ended: Instant::now(),
            error,
        }
    }
}

/// Ends the case: 1 if the rule was broken, else 0.
pub fn finish(record: &Record, broken: &[String]) -> ! {
    for line in broken.iter().take(40) {
        record.say(format!("BROKEN {line}"));
    }
    let code = i32::from(!broken.is_empty());
    record.say(format!("{} broken, exit {code}", broken.len()));
    std::process::exit(code);
}
