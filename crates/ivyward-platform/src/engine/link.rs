//! One engine: its idle connections, and the calls that carry no prompt.

use super::attempt::Attempt;
use super::pool::{EngineConnection, EnginePool};
use super::report::report;
use crate::call::{lock, PlatformCall, Progress};
use crate::config::LIMITS;
use crate::wire::{answer, rest, Wire};
use futures_lite::future::or;
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::{EndpointId, LoadReport, Micros, Outcome};
use ivyward::core::release::ReleaseTarget;
use ivyward::engines::connect::{connect, ConnectFailure, Connected};
use ivyward::engines::{
    AttemptRequest, AttemptResult, EngineClient, ReservationStatus, ReserveRequest,
};
use ivyward::runtime::{before, BoxFuture};
use ivyward::{Engine, NodeContext};
use ivyward_http1::head;
use std::any::Any;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A round trip is taken for no less and no more than this: what a clock and a busy machine show is not the way.
const ROUND_TRIP_BOUNDS: (Micros, Micros) = (200, 3_000);

/// Why a call without a prompt has no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection could be opened for want of something on this machine (a descriptor, a port, a buffer, a route), which
    /// says nothing of the engine.
    #[error("this machine could not open a connection: {0}")]
    Local(String),
    /// No connection, or none that lasted, or no answer in time.
    #[error("{0}")]
    Unanswered(String),
}

/// One engine as this node reaches it.
pub(crate) struct EngineLink {
    pub(crate) id: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) engines: Arc<EnginePool>,
    /// Connections without a request, the one idle longest first.
    pub(super) idle: Mutex<VecDeque<(EngineConnection, Micros)>>,
    pub(super) closing: AtomicBool,
    /// When it answered anything last; 0 for never.
    pub(super) last_answer: AtomicU64,
    /// When a call to it last ended without an answer or a connection; 0 for never.
    pub(super) last_failure: AtomicU64,
}

impl EngineLink {
    /// A link to an engine that is new or has moved, known to the pool for as long as somebody holds it.
    pub(super) fn new(engine: &Engine, engines: &Arc<EnginePool>) -> Arc<EngineLink> {
        let link = Arc::new(EngineLink {
            id: engine.endpoint.id,
            address: engine.address,
            engines: engines.clone(),
            idle: Mutex::default(),
            closing: AtomicBool::new(false),
            last_answer: AtomicU64::new(0),
            last_failure: AtomicU64::new(0),
        });
        lock(&engines.links).push(Arc::downgrade(&link));
        link
    }
    pub(crate) fn leaving(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }
    /// What is known of it as one that may take a release.
    pub(crate) fn taker(&self) -> ReleaseTarget {
        ReleaseTarget {
            id: self.id,
            last_response: self.last_answer.load(Ordering::Relaxed),
            last_failure: self.last_failure.load(Ordering::Relaxed),
            has_idle_connection: !lock(&self.idle).is_empty(),
            is_draining: self.leaving(),
        }
    }
    pub(super) fn note_answer(&self) {
        let silent =
            self.last_failure.load(Ordering::Relaxed) > self.last_answer.load(Ordering::Relaxed);
        self.last_answer
            .store(self.engines.runtime.now(), Ordering::Relaxed);
        if silent {
            self.engines.releases.heard();
        }
    }
    pub(super) fn note_failure(&self) {
        self.last_failure
            .store(self.engines.runtime.now(), Ordering::Relaxed);
    }

    /// An idle connection that may be used, or a new one.
    pub(super) async fn connect(
        &self,
        until: Micros,
        reuse: ReusePolicy,
        spare: usize,
    ) -> Result<EngineConnection, CallError> {
        let runtime = &self.engines.runtime;
        let idle = match reuse {
            ReusePolicy::Any => self.take_idle(true),
            ReusePolicy::ProvenSafe => self.take_idle(false),
            ReusePolicy::Never => None,
        };
        if let Some(wire) = idle {
            return Ok(wire);
        }
        let no_descriptor = || CallError::Local("no descriptor is left".into());
        let permit = self.engines.permit(spare).ok_or_else(no_descriptor)?;
        let until = until.min(runtime.now().saturating_add(self.engines.dial_timeout));
        let failed = match connect(runtime, self.address, until).await {
            Ok(Connected { conn, took }) => {
                return Ok(EngineConnection {
                    wire: Wire::new(conn),
                    idle: None,
                    round_trip: took.clamp(ROUND_TRIP_BOUNDS.0, ROUND_TRIP_BOUNDS.1),
                    under_way: false,
                    _permit: permit,
                });
            }
            Err(ConnectFailure::Local(error)) => return Err(CallError::Local(error.to_string())),
            Err(failure) => format!("cannot connect to {}: {failure}", self.address),
        };
        self.note_failure();
        Err(CallError::Unanswered(failed))
    }

    /// Whether a new connection comes up by a time; it is kept for the next request. Where this machine cannot open one,
    /// nothing is known, and the engine is taken for reachable.
    pub(super) async fn is_reachable(&self, until: Micros) -> bool {
        let Some(permit) = self.engines.permit(0) else {
            return true;
        };
        match connect(&self.engines.runtime, self.address, until).await {
            Ok(Connected { conn, took }) => {
                let wire = EngineConnection {
                    wire: Wire::new(conn),
                    idle: None,
                    round_trip: took.clamp(ROUND_TRIP_BOUNDS.0, ROUND_TRIP_BOUNDS.1),
                    under_way: false,
                    _permit: permit,
                };
                self.keep_idle(wire, true);
                true
            }
            Err(failure) => matches!(failure, ConnectFailure::Local(_)),
        }
    }

    /// The youngest of the idle connections that may be used. One that its engine closed, or that brought more than its
    /// answer, serves no further.
    fn take_idle(&self, again: bool) -> Option<EngineConnection> {
        let (now, mut idle, kept_connections) = (
            self.engines.runtime.now(),
            lock(&self.idle),
            lock(&self.engines.kept_connections),
        );
        for at in (0..idle.len()).rev() {
            let age = now.saturating_sub(idle[at].1);
            if age >= self.engines.keep || !kept_connections.allows_reuse(now, age, again) {
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
    pub(super) fn note_end(&self, idle: Option<Micros>, ended: bool) {
        lock(&self.engines.kept_connections).record_use(self.engines.runtime.now(), idle, ended);
    }

    /// Keeps a connection whose answer was whole.
    pub(super) fn keep_idle(&self, mut wire: EngineConnection, keeps: bool) {
        wire.under_way = false;
        if keeps && !self.closing.load(Ordering::Relaxed) && wire.quiet() {
            lock(&self.idle).push_back((wire, self.engines.runtime.now()));
        }
    }

    /// A call without a body: its status and the load report of its head or body.
    pub(crate) async fn short(
        &self,
        method: &str,
        target: &str,
        until: Micros,
    ) -> Result<(u16, LoadReport), CallError> {
        let mut wire = self
            .connect(until, ReusePolicy::Any, self.engines.spare)
            .await?;
        let ended = |text: String| CallError::Unanswered(text);
        let asked = async {
            self.ask(&mut wire, method, target)
                .await
                .map_err(|e| ended(e.to_string()))?;
            let answer = answer(&mut wire, &LIMITS)
                .await
                .map_err(|_| ended("no answer".into()))?;
            self.note_answer();
            let rest = rest(&mut wire, &answer, &LIMITS).await;
            Ok((answer, rest))
        };
        let Some(asked) = before(&self.engines.runtime, until, asked).await else {
            self.note_failure();
            return Err(ended(format!("no answer from {} in time", self.address)));
        };
        let (answer, rest) = asked?;
        let mut report = self.report(answer.head.text("x-server-load"));
        if let Some(text) = rest.as_deref().filter(|_| report.len == 0) {
            report = self.report(std::str::from_utf8(text).ok());
        }
        self.keep_idle(wire, rest.is_some() && answer.head.keeps());
        Ok((answer.status, report))
    }

    async fn ask(
        &self,
        wire: &mut EngineConnection,
        method: &str,
        target: &str,
    ) -> std::io::Result<()> {
        wire.under_way = true;
        let mut request = Vec::new();
        let host = self.address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Length", "0")];
        head::write(
            &mut request,
            &format!("{method} {target} HTTP/1.1"),
            &headers,
        );
        wire.write(&request, &[]).await
    }

    pub(super) fn report(&self, text: Option<&str>) -> LoadReport {
        text.map_or(LoadReport::default(), |text| {
            report(text, &self.engines.fields)
        })
    }
}

impl EngineClient for EngineLink {
    fn id(&self) -> EndpointId {
        self.id
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
    fn set_draining(&self, closing: bool) {
        self.closing.store(closing, Ordering::Relaxed);
        if closing {
            self.close();
        }
    }
    fn close(&self) {
        lock(&self.idle).clear();
    }
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync> {
        self
    }
    fn run_attempt(self: Arc<Self>, job: AttemptRequest) -> BoxFuture<AttemptResult> {
        Box::pin(async move {
            let Some(call) = job.call.as_any().downcast_ref::<PlatformCall>() else {
                return AttemptResult::new(Outcome::NotSent, "a request of another protocol");
            };
            // A connection that is not kept is closed when this returns, so that nothing follows beside the attempt.
            let end = Attempt {
                link: &self,
                job: &job,
                call,
            }
            .run()
            .await;
            if !job.prefill_only {
                call.note_outcome(end.outcome);
            }
            call.mark(Progress::Ended(job.attempt));
            end
        })
    }
    fn reserve(self: Arc<Self>, job: ReserveRequest) -> BoxFuture<ReservationStatus> {
        Box::pin(async move {
            let Some(call) = job.call.as_any().downcast_ref::<PlatformCall>() else {
                return ReservationStatus::Denied;
            };
            // A hold is known to an engine only beside its read, so it leaves behind the read's last byte.
            let read = or(call.sent(job.attempt), async {
                job.until_finished().await;
                false
            });
            if !read.await {
                return ReservationStatus::Denied;
            }
            let runtime = &self.engines.runtime;
            let until = runtime.now().saturating_add(self.engines.hold_wait);
            let mut left = false;
            let asked = async {
                let Ok(mut wire) = self.connect(until, ReusePolicy::Any, 0).await else {
                    return ReservationStatus::Denied;
                };
                // Told during the dial: nothing new goes to an engine that drains or is gone.
                if self.closing.load(Ordering::Relaxed) || job.is_finished() || call.left() {
                    return ReservationStatus::Denied;
                }
                left = true;
                let target = format!("/v1/holds/{}", call.id);
                if self.ask(&mut wire, "POST", &target).await.is_err() {
                    return ReservationStatus::Unknown;
                }
                let Ok(answer) = answer(&mut wire, &LIMITS).await else {
                    return ReservationStatus::Unknown;
                };
                self.note_answer();
                let whole = rest(&mut wire, &answer, &LIMITS).await.is_some();
                self.keep_idle(wire, whole && answer.head.keeps());
                match answer.status {
                    200 => ReservationStatus::Granted,
                    404 | 409 => ReservationStatus::Denied,
                    _ => ReservationStatus::Unknown,
                }
            };
            let ended = or(before(runtime, until, asked), async {
                job.until_finished().await;
                None
            });
            let ended = ended.await;
            ended.unwrap_or(if left {
                ReservationStatus::Unknown
            } else {
                ReservationStatus::Denied
            })
        })
    }
    fn health_check(self: Arc<Self>, shared: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)> {
        Box::pin(async move {
            let until = shared
                .runtime()
                .now()
                .saturating_add(2 * self.engines.dial_timeout);
            let path = if self.engines.fields.is_empty() {
                "/healthz"
            } else {
                "/load"
            };
            let answer = self.short("GET", path, until).await;
            let alive = answer
                .as_ref()
                .is_ok_and(|(status, _)| *status == 200 || *status == 503);
            (
                alive,
                answer.map_or(LoadReport::default(), |(_, report)| report),
            )
        })
    }
}
