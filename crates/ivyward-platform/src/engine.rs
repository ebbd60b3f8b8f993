//! Engines over HTTP/1.1: connections, attempts, holds and releases.
//!
//! What proves that an attempt never ran is decided here, by the platform's table; what follows from it is the module's.
//! Nothing is ever sent again at this level.

use crate::call::{lock, PlatformCall, Progress};
use crate::config::{LIMITS, MOST_BODY};
use crate::release::Releases;
use crate::wire::{answer, rest, NoHead, Wire};
use futures_lite::future::{or, poll_fn};
use ivyward::core::interface::{Micros, Outcome, Report, ServerId};
use ivyward::core::keep::Keep;
use ivyward::core::release::{ReleaseSettings, Taker};
use ivyward::engines::{End, Held, HoldJob, Job, Link, LinkRef, Protocol, ReleaseJob, Stall, Stop, Woken};
use ivyward::world::{before, BoxFuture, WorldRef};
use ivyward::{Engine, Shared};
use ivyward_http1::{head, Answer, Body, Step};
use std::any::Any;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::Poll;

/// Part of the engines' idle time after which a connection is left: a request that crosses their close ends as a reset.
const KEEP_PART: f64 = 0.6;
/// Where no idle time is told.
const KEEP: Micros = 5_000_000;
/// Time for the rest of an answer that is known already, so that its connection can serve on.
const REST: Micros = 50_000;
/// A round trip is taken for no less and no more than this: what a clock and a busy machine show is not the way.
const ROUND_TRIP: (Micros, Micros) = (200, 3_000);

/// What all links of a node share.
pub(crate) struct Engines {
    world: WorldRef,
    keep: Micros,
    dial_timeout: Micros,
    /// Connections there are, and may be.
    connections: AtomicUsize,
    most: usize,
    /// Beside those, what only releases and probes may take.
    spare: usize,
    hold_wait: Micros,
    fields: Vec<String>,
    keeping: Mutex<Keep>,
    links: Mutex<Vec<Weak<EngineLink>>>,
    pub(crate) releases: Arc<Releases>,
}

impl Engines {
    pub(crate) fn new(
        world: &WorldRef,
        dial_timeout: Micros,
        keepalive: Micros,
        most: usize,
        fields: &[String],
        let_go: ReleaseSettings,
    ) -> Arc<Engines> {
        let spare = let_go.most_asks;
        let keep = if keepalive > 0 { (keepalive as f64 * KEEP_PART) as Micros } else { KEEP };
        Arc::new(Engines {
            world: world.clone(),
            keep,
            dial_timeout,
            connections: AtomicUsize::new(0),
            most,
            spare,
            hold_wait: let_go.hold_wait(),
            fields: fields.to_vec(),
            keeping: Mutex::default(),
            links: Mutex::default(),
            releases: Arc::new(Releases::new(let_go)),
        })
    }
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
    pub(crate) fn living(&self) -> Vec<Arc<EngineLink>> {
        lock(&self.links).iter().filter_map(Weak::upgrade).collect()
    }
    /// Closes what was idle too long, and forgets links that are gone.
    pub(crate) fn sweep(&self) {
        lock(&self.links).retain(|l| l.strong_count() > 0);
        let oldest = self.world.now().saturating_sub(self.keep);
        for link in self.living() {
            // One that its engine closed holds a descriptor for nothing.
            lock(&link.idle).retain_mut(|(wire, since)| *since > oldest && wire.quiet());
        }
    }
    /// Takes a descriptor for a connection: at the bound the one idle longest anywhere goes. Releases have some to spare,
    /// so that what is held is let go of also while every other connection is in use.
    fn place(self: &Arc<Self>, spare: usize) -> Option<Place> {
        let most = self.most + spare;
        if self.connections.load(Ordering::Relaxed) >= most {
            let oldest = |l: &Arc<EngineLink>| lock(&l.idle).front().map(|(_, since)| *since);
            let links = self.living();
            let link = links.iter().filter(|l| oldest(l).is_some()).min_by_key(|l| oldest(l));
            drop(link.and_then(|l| lock(&l.idle).pop_front()));
        }
        if self.connections.load(Ordering::Relaxed) >= most {
            return None;
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        Some(Place(self.clone()))
    }
}

/// A connection's place among all; given back when it is closed.
struct Place(Arc<Engines>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to an engine.
struct EngineWire {
    wire: Wire,
    /// How long it had been idle before its present request; `None` for a new one.
    idle: Option<Micros>,
    /// What a way there and back takes, by its connecting.
    round_trip: Micros,
    /// A request has begun to leave on it, and its answer has not come whole.
    under_way: bool,
    _place: Place,
}

impl Drop for EngineWire {
    /// Guards against what was given up and lands long after: bytes on their way when a cut begins are sent again by the
    /// system when it ends, after the last release of their request. A reset takes them back.
    fn drop(&mut self) {
        if self.under_way {
            self.wire.reset_on_close();
        }
    }
}

impl Deref for EngineWire {
    type Target = Wire;
    fn deref(&self) -> &Wire {
        &self.wire
    }
}

impl DerefMut for EngineWire {
    fn deref_mut(&mut self) -> &mut Wire {
        &mut self.wire
    }
}

/// The platform's engines, as the driver asks for them.
pub(crate) struct Platform(pub(crate) Arc<Engines>);

impl Protocol for Platform {
    fn link(&self, _: &Arc<Shared>, engine: &Engine) -> LinkRef {
        let link = Arc::new(EngineLink {
            id: engine.entry.id,
            address: engine.address,
            engines: self.0.clone(),
            idle: Mutex::default(),
            closing: AtomicBool::new(false),
            heard: AtomicU64::new(0),
            missed: AtomicU64::new(0),
        });
        lock(&self.0.links).push(Arc::downgrade(&link));
        link
    }
    fn one_by_one(&self) -> bool {
        false
    }
    fn release(&self, shared: &Arc<Shared>, job: ReleaseJob) {
        Releases::owe(&self.0, shared, job);
    }
    fn needed(&self, request: u64) -> bool {
        self.0.releases.needed(request)
    }
}

/// Why a short call has no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Short {
    /// That says nothing of the engine.
    #[error("no descriptor is left for a connection")]
    NoRoom,
    /// No connection, or none that lasted, or no answer in time.
    #[error("{0}")]
    Nothing(String),
}

pub(crate) struct EngineLink {
    pub(crate) id: ServerId,
    address: SocketAddr,
    engines: Arc<Engines>,
    /// Connections without a request, the one idle longest first.
    idle: Mutex<VecDeque<(EngineWire, Micros)>>,
    closing: AtomicBool,
    /// When it answered anything last, and when it was last without an answer or a connection.
    heard: AtomicU64,
    missed: AtomicU64,
}

impl EngineLink {
    pub(crate) fn leaving(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }
    /// What is known of it as one that may take a release.
    pub(crate) fn taker(&self) -> Taker {
        Taker {
            id: self.id,
            heard: self.heard.load(Ordering::Relaxed),
            missed: self.missed.load(Ordering::Relaxed),
            stands: !lock(&self.idle).is_empty(),
            leaving: self.leaving(),
        }
    }
    fn hear(&self) {
        let silent = self.missed.load(Ordering::Relaxed) > self.heard.load(Ordering::Relaxed);
        self.heard.store(self.engines.world.now(), Ordering::Relaxed);
        if silent {
            self.engines.releases.heard();
        }
    }
    fn miss(&self) {
        self.missed.store(self.engines.world.now(), Ordering::Relaxed);
    }

    /// A connection that stands and may be used, or a new one; `again` where the request may be sent again.
    async fn connect(&self, until: Micros, again: bool, spare: usize) -> Result<EngineWire, Short> {
        let world = &self.engines.world;
        if let Some(wire) = self.standing(again) {
            return Ok(wire);
        }
        let place = self.engines.place(spare).ok_or(Short::NoRoom)?;
        let until = until.min(world.now().saturating_add(self.engines.dial_timeout));
        let began = world.now();
        let failed = match before(world, until, world.connect(self.address)).await {
            Some(Ok(conn)) => {
                let round_trip = (world.now() - began).clamp(ROUND_TRIP.0, ROUND_TRIP.1);
                return Ok(EngineWire {
                    wire: Wire::new(conn),
                    idle: None,
                    round_trip,
                    under_way: false,
                    _place: place,
                });
            }
            // The process or the system has none left (EMFILE, ENFILE), whatever was counted.
            Some(Err(e)) if matches!(e.raw_os_error(), Some(23 | 24)) => return Err(Short::NoRoom),
            Some(Err(e)) => format!("cannot connect to {}: {e}", self.address),
            None => format!("no connection to {} in time", self.address),
        };
        self.miss();
        Err(Short::Nothing(failed))
    }

    /// The youngest of the idle connections that may be used. One that its engine closed, or that brought more than its
    /// answer, serves no further.
    fn standing(&self, again: bool) -> Option<EngineWire> {
        let (now, mut idle, keeping) =
            (self.engines.world.now(), lock(&self.idle), lock(&self.engines.keeping));
        for at in (0..idle.len()).rev() {
            let age = now.saturating_sub(idle[at].1);
            if age >= self.engines.keep || !keeping.may_use(now, age, again) {
                continue;
            }
            if let Some((mut wire, _)) = idle.remove(at) {
                if wire.quiet() {
                    wire.idle = Some(age);
                    return Some(wire);
                }
            }
        }
        None
    }

    /// Takes note of how a connection fared under a request.
    fn fared(&self, idle: Option<Micros>, ended: bool) {
        lock(&self.engines.keeping).seen(self.engines.world.now(), idle, ended);
    }

    /// Keeps a connection whose answer was whole.
    fn keep(&self, mut wire: EngineWire, keeps: bool) {
        wire.under_way = false;
        if keeps && !self.closing.load(Ordering::Relaxed) && wire.quiet() {
            lock(&self.idle).push_back((wire, self.engines.world.now()));
        }
    }

    /// A call without a body: its status and the load report of its head or body.
    pub(crate) async fn short(
        &self,
        method: &str,
        target: &str,
        until: Micros,
    ) -> Result<(u16, Report), Short> {
        let mut wire = self.connect(until, true, self.engines.spare).await?;
        let ended = |text: String| Short::Nothing(text);
        let asked = async {
            self.ask(&mut wire, method, target).await.map_err(|e| ended(e.to_string()))?;
            let answer = answer(&mut wire, &LIMITS).await.map_err(|_| ended("no answer".into()))?;
            self.hear();
            let rest = rest(&mut wire, &answer, &LIMITS).await;
            Ok((answer, rest))
        };
        let Some(asked) = before(&self.engines.world, until, asked).await else {
            self.miss();
            return Err(ended(format!("no answer from {} in time", self.address)));
        };
        let (answer, rest) = asked?;
        let mut report = self.report(answer.head.text("x-server-load"));
        if let Some(text) = rest.as_deref().filter(|_| report.len == 0) {
            report = self.report(std::str::from_utf8(text).ok());
        }
        self.keep(wire, rest.is_some() && answer.head.keeps());
        Ok((answer.status, report))
    }

    async fn ask(&self, wire: &mut EngineWire, method: &str, target: &str) -> std::io::Result<()> {
        wire.under_way = true;
        let mut request = Vec::new();
        let host = self.address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Length", "0")];
        head::write(&mut request, &format!("{method} {target} HTTP/1.1"), &headers);
        wire.write(&request, &[]).await
    }

    fn report(&self, text: Option<&str>) -> Report {
        text.map_or(Report::default(), |text| report(text, &self.engines.fields))
    }
}

/// The values of a load report such as `TEXT inflight=7, queue=2, util=0.61`, in the order of the settings' fields. A
/// report that cannot be read whole is none.
fn report(text: &str, fields: &[String]) -> Report {
    // What the settings call a field, and what the wire calls it.
    let spoken = |field: &str| match field {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        _ => "",
    };
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs: Vec<(&str, &str)> = text.split(',').filter_map(|p| p.trim().split_once('=')).collect();
    let mut report = Report { len: fields.len().min(4), ..Report::default() };
    for (value, field) in report.values.iter_mut().zip(fields) {
        let told = pairs.iter().find(|(k, _)| k.trim() == field || k.trim() == spoken(field));
        match told.and_then(|(_, v)| v.trim().parse::<f32>().ok()).filter(|v| v.is_finite()) {
            Some(told) => *value = told,
            None => return Report::default(),
        }
    }
    report
}

impl Link for EngineLink {
    fn id(&self) -> ServerId {
        self.id
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
    fn set_closing(&self, closing: bool) {
        self.closing.store(closing, Ordering::Relaxed);
        if closing {
            self.shut();
        }
    }
    fn shut(&self) {
        lock(&self.idle).clear();
    }
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync> {
        self
    }
    fn attempt(self: Arc<Self>, job: Job) -> BoxFuture<End> {
        Box::pin(async move {
            let Some(call) = job.call.as_any().downcast_ref::<PlatformCall>() else {
                return End::new(Outcome::NotSent, "a request of another protocol");
            };
            // A connection that is not kept is closed when this returns, so that nothing follows beside the attempt.
            let end = Attempt { link: &self, job: &job, call }.run().await;
            call.mark(Progress::Ended(job.attempt));
            end
        })
    }
    fn hold(self: Arc<Self>, job: HoldJob) -> BoxFuture<Held> {
        Box::pin(async move {
            let Some(call) = job.call.as_any().downcast_ref::<PlatformCall>() else { return Held::No };
            // A hold is known to an engine only beside its read, so it leaves behind the read's last byte.
            let read = or(call.sent(job.attempt), async {
                job.over().await;
                false
            });
            if !read.await {
                return Held::No;
            }
            let world = &self.engines.world;
            let until = world.now().saturating_add(self.engines.hold_wait);
            let mut left = false;
            let asked = async {
                let Ok(mut wire) = self.connect(until, true, 0).await else { return Held::No };
                // Told during the dial: nothing new goes to an engine that drains or is gone.
                if self.closing.load(Ordering::Relaxed) || job.is_over() || call.left() {
                    return Held::No;
                }
                left = true;
                let target = format!("/v1/holds/{}", call.id);
                if self.ask(&mut wire, "POST", &target).await.is_err() {
                    return Held::Unknown;
                }
                let Ok(answer) = answer(&mut wire, &LIMITS).await else { return Held::Unknown };
                self.hear();
                let whole = rest(&mut wire, &answer, &LIMITS).await.is_some();
                self.keep(wire, whole && answer.head.keeps());
                match answer.status {
                    200 => Held::Yes,
                    404 | 409 => Held::No,
                    _ => Held::Unknown,
                }
            };
            let ended = or(before(world, until, asked), async {
                job.over().await;
                None
            });
            let ended = ended.await;
            ended.unwrap_or(if left { Held::Unknown } else { Held::No })
        })
    }
    fn probe(self: Arc<Self>, shared: Arc<Shared>) -> BoxFuture<(bool, Report)> {
        Box::pin(async move {
            let until = shared.world().now().saturating_add(2 * self.engines.dial_timeout);
            let path = if self.engines.fields.is_empty() { "/healthz" } else { "/load" };
            let answer = self.short("GET", path, until).await;
            let alive = answer.as_ref().is_ok_and(|(status, _)| *status == 200 || *status == 503);
            (alive, answer.map_or(Report::default(), |(_, report)| report))
        })
    }
}

struct Attempt<'a> {
    link: &'a Arc<EngineLink>,
    job: &'a Job,
    call: &'a PlatformCall,
}

impl Attempt<'_> {
    async fn run(&self) -> End {
        let (link, job, world) = (self.link, self.job, &self.link.engines.world);
        let gone = || End::new(Outcome::NotSent, "called off before it was sent");
        if self.call.left() {
            return gone();
        }
        if job.until <= world.now() {
            return End::new(Outcome::NotSent, "no time left");
        }
        let mut timer = world.sleep_until(job.leave_by);
        let again = job.reads || self.call.again;
        let mut wire = match job.heed(&mut timer, link.connect(job.leave_by, again, 0)).await {
            Woken::Next(Ok(wire)) => wire,
            // Of an engine that was not asked nothing is known.
            Woken::Next(Err(why @ Short::NoRoom)) => return End::new(Outcome::NotSent, why.to_string()),
            Woken::Next(Err(why)) => return End::new(Outcome::ConnectFailed, why.to_string()),
            Woken::Late => {
                link.miss();
                return End::new(Outcome::ConnectFailed, "no connection in time");
            }
            Woken::Stopped(_) => return gone(),
        };
        // Told during the dial: nothing new goes to an engine that drains or is gone.
        if link.closing.load(Ordering::Relaxed) {
            return End::new(Outcome::NotSent, "the engine drains or is gone");
        }
        let Some(prompt) = self.call.prompt() else { return gone() };
        let left = (job.until.saturating_sub(world.now()) / 1_000).max(1).to_string();
        let (host, length) = (link.address.to_string(), prompt.bytes.len().to_string());
        let mut request = Vec::with_capacity(256);
        let mut headers = vec![
            ("Host", host.as_str()),
            ("X-Request-ID", &self.call.id),
            ("X-Timeout-Ms", &left),
            ("Content-Type", "application/json"),
            ("Content-Length", &length),
        ];
        // Guards against an effect twice: an engine drops the repeats of a request by this key alone.
        headers.extend(self.call.idempotency_key.as_deref().map(|key| ("Idempotency-Key", key)));
        head::write(&mut request, &format!("{} {} HTTP/1.1", self.call.method, self.call.target), &headers);
        let written = self.while_wanted(self.write(&mut wire, &request, &prompt.bytes));
        match job.heed(&mut timer, written).await {
            Woken::Next(None) => return gone(),
            Woken::Next(Some(Ok(()))) => {}
            // Its last byte never left, so it never ran; the connection is closed with the rest of it.
            Woken::Next(Some(Err(e))) => {
                link.fared(wire.idle, true);
                // A kept connection that its engine had left says nothing of the engine.
                let outcome = if wire.idle.is_some() { Outcome::NotSent } else { Outcome::ConnectFailed };
                return End::new(outcome, e.to_string());
            }
            Woken::Late => return End::new(Outcome::ConnectFailed, "the engine does not take the request"),
            Woken::Stopped(_) => return gone(),
        }
        drop(prompt);
        self.call.mark(Progress::Sent(job.attempt));
        timer = world.sleep_until(job.until);
        let answer = match job.wait(&mut timer, answer(&mut wire, &LIMITS)).await {
            Woken::Next(Ok(answer)) => {
                link.fared(wire.idle, false);
                link.hear();
                answer
            }
            Woken::Next(Err(NoHead::Broken(text))) => {
                link.fared(wire.idle, true);
                return End::new(Outcome::Reset, text);
            }
            Woken::Next(Err(NoHead::Bad(text))) => return self.part(wire, Outcome::Error, text).await,
            Woken::Late => return self.part(wire, Outcome::TimedOut, "no answer in time").await,
            Woken::Stopped(_) => return self.part(wire, Outcome::Cancelled, "called off").await,
        };
        let report = link.report(answer.head.text("x-server-load"));
        let never_ran = answer.head.text("x-not-processed") == Some("1");
        let mut end = match (answer.status, job.reads) {
            (200, false) => return self.stream(wire, answer, report, timer).await,
            (202, true) => return self.read(wire, answer, report, timer).await,
            (503 | 504, _) if never_ran => {
                End::new(Outcome::Full, format!("turned away with {}", answer.status))
            }
            (410, _) if never_ran => End::new(Outcome::StateLost, "no state to fetch"),
            (status, _) => End::new(Outcome::Error, format!("status {status}")),
        };
        end.report = report;
        let soon = world.now().saturating_add(REST);
        if let Some(Some(_)) = before(world, soon, rest(&mut wire, &answer, &LIMITS)).await {
            link.keep(wire, answer.head.keeps());
        }
        end
    }

    /// Goes on with what is to be sent only while the client waits for it. Guards against an attempt that begins after its
    /// client has gone, where a node is busy, a connection comes up late or a body leaves slowly: whether calls may be
    /// called off or not, what has not left yet stays here.
    async fn while_wanted<T>(&self, sending: impl Future<Output = T>) -> Option<T> {
        let mut sending = pin!(sending);
        poll_fn(|cx| match self.call.left() {
            true => Poll::Ready(None),
            false => sending.as_mut().poll(cx).map(Some),
        })
        .await
    }

    /// Gives up what its engine may still be at. Guards against an attempt that reaches another engine before this one's
    /// end reaches the first: for so long there would be two. The engine's own end says that it knows. One that is cut off
    /// or stands still says nothing, and is waited for no longer than for the rest of an answer.
    async fn part(&self, mut wire: EngineWire, outcome: Outcome, text: impl Into<String>) -> End {
        let world = &self.link.engines.world;
        let known = world.now().saturating_add(REST);
        let ended = async {
            wire.end_sending().await;
            while wire.fill().await.is_ok_and(|n| n > 0) {
                let n = wire.bytes().len();
                wire.used(n);
            }
        };
        before(world, known, ended).await;
        End::new(outcome, text)
    }

    /// Writes the request. Of one that may not be sent again, the last byte is held back for two round trips: a connection
    /// that ends at the first bytes of a request, as kept ones do, or under a busy engine, has then shown it, and nothing
    /// can have run.
    async fn write(&self, wire: &mut EngineWire, head: &[u8], body: &[u8]) -> std::io::Result<()> {
        wire.under_way = true;
        if self.job.reads || self.call.again || body.is_empty() {
            return wire.write(head, body).await;
        }
        let world = &self.link.engines.world;
        let (most, last) = body.split_at(body.len() - 1);
        wire.write(head, most).await?;
        let shown = world.now().saturating_add(2 * wire.round_trip);
        match before(world, shown, wire.fill()).await {
            // Silence is what an engine that takes the request says.
            None => wire.write(last, &[]).await,
            Some(Ok(n)) if n > 0 => wire.write(last, &[]).await,
            Some(Ok(_)) => Err(std::io::ErrorKind::UnexpectedEof.into()),
            Some(Err(e)) => Err(e),
        }
    }

    async fn read(
        &self,
        mut wire: EngineWire,
        answer: Answer,
        report: Report,
        mut timer: BoxFuture<()>,
    ) -> End {
        let text = match self.job.wait(&mut timer, rest(&mut wire, &answer, &LIMITS)).await {
            Woken::Next(text) => text,
            Woken::Late => return self.part(wire, Outcome::TimedOut, "the end of a read did not come").await,
            Woken::Stopped(_) => return self.part(wire, Outcome::Cancelled, "called off").await,
        };
        let Some(text) = text else {
            return self.part(wire, Outcome::Error, "the answer to a read is spoilt").await;
        };
        self.link.keep(wire, answer.head.keeps());
        let said: serde_json::Value = serde_json::from_slice(&text).unwrap_or_default();
        let kept = said["cached_tokens"].as_u64().unwrap_or(0).min(u64::from(u32::MAX)) as u32;
        End { kept, report, ..End::new(Outcome::Read, "read") }
    }

    /// Passes a stream's events on as they come whole.
    async fn stream(
        &self,
        mut wire: EngineWire,
        answer: Answer,
        report: Report,
        mut timer: BoxFuture<()>,
    ) -> End {
        let world = &self.link.engines.world;
        let mut body = Body::new(answer.framing, &LIMITS);
        let mut events = Events { pending: Vec::new(), kept: 0, report: None, done: false };
        // Set with the first event: from then on the attempt's own time no longer counts.
        let mut stall: Option<Stall> = None;
        loop {
            let step = match wire.take(&mut body, &mut events.pending) {
                Ok(step) => step,
                Err(e) => return self.part(wire, Outcome::Error, e.to_string()).await,
            };
            match step {
                Step::Data(_) => {
                    let whole = match events.whole() {
                        Ok(whole) => whole,
                        Err(text) => return self.part(wire, Outcome::Error, text).await,
                    };
                    if whole.is_empty() {
                        continue;
                    }
                    if self.call.outlet.push(&whole).is_err() {
                        return End::new(Outcome::Cancelled, "given up");
                    }
                    if stall.is_none() {
                        self.job.first();
                        self.call.drop_prompt();
                    }
                    if self.job.room(&self.call.outlet).await.is_err() {
                        return End::new(Outcome::Cancelled, "given up");
                    }
                    let span = self.job.shared.settings().stream_stall;
                    stall.get_or_insert_with(|| Stall::new(world, span)).last = world.now();
                }
                Step::Done => {
                    if stall.is_none() || !events.done || !events.pending.is_empty() {
                        return self.part(wire, Outcome::Error, "a stream that is not whole").await;
                    }
                    self.link.keep(wire, answer.head.keeps());
                    let report = events.report.as_deref().map_or(report, |t| self.link.report(Some(t)));
                    return End { kept: events.kept, report, ..End::new(Outcome::Served, "served") };
                }
                Step::More => {
                    let timer = stall.as_mut().map_or(&mut timer, |s| &mut s.timer);
                    match (self.job.wait(timer, wire.fill()).await, stall.as_mut()) {
                        (Woken::Next(Ok(0)), _) => return End::new(Outcome::Reset, "the stream ended early"),
                        (Woken::Next(Ok(_)), _) => {}
                        (Woken::Next(Err(e)), _) => return End::new(Outcome::Reset, e.to_string()),
                        // A stream that has begun is not called off.
                        (Woken::Stopped(Stop::CallOff), Some(_)) => {}
                        (Woken::Stopped(_), _) => {
                            return self.part(wire, Outcome::Cancelled, "called off").await
                        }
                        (Woken::Late, Some(stall)) => {
                            if stall.over(world) {
                                return End::new(Outcome::Reset, "no event for too long");
                            }
                        }
                        (Woken::Late, None) => {
                            return self.part(wire, Outcome::TimedOut, "no event in time").await
                        }
                    }
                }
            }
        }
    }
}

/// The events of a stream, as far as they have come.
struct Events {
    pending: Vec<u8>,
    kept: u32,
    report: Option<String>,
    /// The stream's own last word came.
    done: bool,
}

impl Events {
    /// Takes out what is whole. Noise is found here: a line that is no event's.
    fn whole(&mut self) -> Result<Vec<u8>, &'static str> {
        let end = self.pending.windows(2).rposition(|w| w == b"\n\n").map_or(0, |at| at + 2);
        if end == 0 && self.pending.len() > MOST_BODY {
            return Err("an event without end");
        }
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        for line in whole.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l)) {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.data(data.trim_ascii())?;
            } else if let Some(comment) = line.strip_prefix(b":") {
                let text = String::from_utf8_lossy(comment);
                if let Some((name, value)) = text.split_once(':') {
                    if name.trim().eq_ignore_ascii_case("x-server-load") {
                        self.report = Some(value.trim().to_owned());
                    }
                }
            } else if !line.is_empty() {
                return Err("noise in a stream");
            }
        }
        Ok(whole)
    }

    fn data(&mut self, data: &[u8]) -> Result<(), &'static str> {
        if data == b"[DONE]" {
            self.done = true;
        } else if !data.starts_with(b"{") || !data.ends_with(b"}") {
            return Err("noise in a stream");
        } else if data.windows(13).any(|w| w == b"cached_tokens") {
            let said: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
            let kept = said["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0);
            self.kept = kept.min(u64::from(u32::MAX)) as u32;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
