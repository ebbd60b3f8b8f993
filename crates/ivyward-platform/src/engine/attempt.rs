//! One attempt at an engine, from its connection to its one outcome.

use super::endpoint::{CallError, HttpEngineClient};
use super::events::Events;
use super::pool::EngineConnection;
use crate::buffered_connection::{read_response_body, read_response_head, ResponseHeadError};
use crate::call::{PlatformCall, Progress};
use crate::config::LIMITS;
use futures_lite::future::{or, poll_fn};
use ivyward::core::connection_reuse::{self, AttemptTraits, DeliveryCheck};
use ivyward::core::interface::{LoadReport, Micros, Outcome};
use ivyward::engines::{AttemptRequest, AttemptResult, CancelReason, StallDetector, WaitResult};
use ivyward::runtime::{before, BoxFuture};
use ivyward_http1::{head, Answer, Body, Step};
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Poll;

/// How long the rest of an answer that is known already, or the engine's end of an attempt that is given up, is waited for.
/// Some round trips and an engine's own pause: a matter of networks and machines, not of a deployment's deadlines.
const ABANDON_TIMEOUT: Micros = 50_000;

/// The same for one that does not take new connections either: a round trip, should it be reachable all the same.
const UNREACHABLE_TIMEOUT: Micros = 10_000;

/// Why an attempt has no response head.
#[derive(Debug, thiserror::Error)]
enum AwaitError {
    /// The engine takes no new connection while its response is overdue.
    #[error("the engine cannot be reached any more")]
    Unreachable,
    /// The connection ended, or brought no response head.
    #[error(transparent)]
    Head(#[from] ResponseHeadError),
}

/// One attempt at one engine.
pub(super) struct Attempt<'a> {
    pub(super) link: &'a Arc<HttpEngineClient>,
    pub(super) job: &'a AttemptRequest,
    pub(super) call: &'a PlatformCall,
}

impl Attempt<'_> {
    pub(super) async fn run(&self) -> AttemptResult {
        let (link, job, runtime) = (self.link, self.job, &self.link.engines.runtime);
        let gone = || AttemptResult::new(Outcome::NotSent, "called off before it was sent");
        if self.call.is_disconnected() {
            return gone();
        }
        if job.deadline <= runtime.now() {
            return AttemptResult::new(Outcome::NotSent, "no time left");
        }
        let mut timer = runtime.sleep_until(job.send_deadline);
        let release_within = job.context.settings().rules.release_within;
        let carried = AttemptTraits {
            repeatable: job.prefill_only || self.call.again,
            repeats_effect: self.call.repeats_effect(),
            state_deadline: job.kv_state.as_ref().map(|_| release_within),
            last_answer: link.last_answer.load(Ordering::Relaxed),
        };
        let reuse = connection_reuse::reuse_policy(runtime.now(), &carried);
        let mut connection = match job
            .until_cancelled(&mut timer, link.connect(job.send_deadline, reuse, 0))
            .await
        {
            WaitResult::Completed(Ok(connection)) => connection,
            // Of an engine that was not asked nothing is known.
            WaitResult::Completed(Err(why @ CallError::Local(_))) => {
                return AttemptResult::new(Outcome::NotSent, why.to_string())
            }
            WaitResult::Completed(Err(why)) => {
                return AttemptResult::new(Outcome::ConnectFailed, why.to_string())
            }
            WaitResult::TimedOut => {
                link.note_failure();
                return AttemptResult::new(Outcome::ConnectFailed, "no connection in time");
            }
            WaitResult::Cancelled(_) => return gone(),
        };
        // Told during the dial: nothing new goes to an engine that drains or is gone.
        if link.closing.load(Ordering::Relaxed) {
            return AttemptResult::new(Outcome::NotSent, "the engine drains or is gone");
        }
        let Some(prompt) = self.call.prompt() else {
            return gone();
        };
        let left = (job.deadline.saturating_sub(runtime.now()) / 1_000)
            .max(1)
            .to_string();
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
        headers.extend(
            self.call
                .idempotency_key
                .as_deref()
                .map(|key| ("Idempotency-Key", key)),
        );
        head::write(
            &mut request,
            &format!("{} {} HTTP/1.1", self.call.method, self.call.target),
            &headers,
        );
        let written = self.while_wanted(self.write(&mut connection, &request, &prompt.bytes));
        match job.until_cancelled(&mut timer, written).await {
            WaitResult::Completed(None) => return gone(),
            WaitResult::Completed(Some(Ok(()))) => {}
            // Its last byte never left, so it never ran; the connection is closed with the rest of it.
            WaitResult::Completed(Some(Err(e))) => {
                link.note_end(connection.idle, true);
                // A kept connection that its engine had left says nothing of the engine.
                let outcome = if connection.idle.is_some() {
                    Outcome::NotSent
                } else {
                    Outcome::ConnectFailed
                };
                return AttemptResult::new(outcome, e.to_string());
            }
            WaitResult::TimedOut => {
                return AttemptResult::new(
                    Outcome::ConnectFailed,
                    "the engine does not take the request",
                )
            }
            WaitResult::Cancelled(_) => return gone(),
        }
        drop(prompt);
        self.call.mark(Progress::Sent(job.attempt));
        timer = runtime.sleep_until(job.deadline);
        let check = carried.state_deadline.filter(|_| connection.idle.is_some());
        let check = check.map(|within| connection_reuse::delivery_check(runtime.now(), within));
        let answer = match job
            .wait(&mut timer, self.answer_or_cut(&mut connection, check))
            .await
        {
            WaitResult::Completed(Ok(answer)) => {
                link.note_end(connection.idle, false);
                link.note_answer();
                answer
            }
            WaitResult::Completed(Err(AwaitError::Unreachable)) => {
                link.note_failure();
                let text = "the engine cannot be reached any more";
                return self
                    .abandon_by(connection, UNREACHABLE_TIMEOUT, Outcome::TimedOut, text)
                    .await;
            }
            WaitResult::Completed(Err(AwaitError::Head(error))) => match error {
                ResponseHeadError::Closed | ResponseHeadError::Io(_) => {
                    link.note_end(connection.idle, true);
                    return AttemptResult::new(Outcome::Reset, error.to_string());
                }
                ResponseHeadError::Invalid(_) | ResponseHeadError::TooManyInterimResponses => {
                    return self
                        .abandon(connection, Outcome::Error, error.to_string())
                        .await
                }
            },
            WaitResult::TimedOut => {
                return self
                    .abandon(connection, Outcome::TimedOut, "no answer in time")
                    .await
            }
            WaitResult::Cancelled(_) => {
                return self
                    .abandon(connection, Outcome::Cancelled, "called off")
                    .await
            }
        };
        let report = link.report(answer.head.text("x-server-load"));
        let never_ran = answer.head.text("x-not-processed") == Some("1");
        let mut end = match (answer.status, job.prefill_only) {
            (200, false) => return self.stream(connection, answer, report, timer).await,
            (202, true) => return self.read(connection, answer, report, timer).await,
            (503 | 504, _) if never_ran => AttemptResult::new(
                Outcome::Rejected,
                format!("turned away with {}", answer.status),
            ),
            (410, _) if never_ran => AttemptResult::new(Outcome::KvCacheMiss, "no state to fetch"),
            (status, _) => AttemptResult::new(Outcome::Error, format!("status {status}")),
        };
        end.report = report;
        let soon = runtime.now().saturating_add(ABANDON_TIMEOUT);
        if let Some(Some(_)) = before(
            runtime,
            soon,
            read_response_body(&mut connection, &answer, &LIMITS),
        )
        .await
        {
            link.keep_idle(connection, answer.head.keeps());
        }
        end
    }

    /// Waits for the answer's head. Guards against a write that left into a cut which had just begun: it has not arrived, and
    /// the state that it was to fetch would wait for as long as the write.
    async fn answer_or_cut(
        &self,
        connection: &mut EngineConnection,
        check: Option<DeliveryCheck>,
    ) -> Result<Answer, AwaitError> {
        let runtime = &self.link.engines.runtime;
        let mut head = pin!(read_response_head(connection, &LIMITS));
        let Some(check) = check else {
            return Ok(head.await?);
        };
        if let Some(head) = before(runtime, check.connect_at, head.as_mut()).await {
            return Ok(head?);
        }
        let reachable = async {
            self.link
                .is_reachable(check.reachable_by)
                .await
                .then_some(())
        };
        let first = or(async { Some(head.as_mut().await) }, async {
            match reachable.await {
                Some(()) => std::future::pending().await,
                None => None,
            }
        });
        Ok(first.await.ok_or(AwaitError::Unreachable)??)
    }

    /// Goes on with what is to be sent only while the client waits for it. Guards against an attempt that begins after its
    /// client has gone, where a node is busy, a connection comes up late or a body leaves slowly: whether calls may be
    /// called off or not, what has not left yet stays here.
    async fn while_wanted<T>(&self, sending: impl Future<Output = T>) -> Option<T> {
        let mut sending = pin!(sending);
        poll_fn(|cx| match self.call.is_disconnected() {
            true => Poll::Ready(None),
            false => sending.as_mut().poll(cx).map(Some),
        })
        .await
    }

    /// Gives up what its engine may still be at. Guards against an attempt that reaches another engine before this one's
    /// end reaches the first: for so long there would be two. The engine's own end says that it knows. One that is cut off
    /// or stands still says nothing, and is waited for no longer than for the rest of an answer.
    async fn abandon(
        &self,
        connection: EngineConnection,
        outcome: Outcome,
        text: impl Into<String>,
    ) -> AttemptResult {
        self.abandon_by(connection, ABANDON_TIMEOUT, outcome, text)
            .await
    }

    async fn abandon_by(
        &self,
        mut connection: EngineConnection,
        timeout: Micros,
        outcome: Outcome,
        text: impl Into<String>,
    ) -> AttemptResult {
        let runtime = &self.link.engines.runtime;
        let known = runtime.now().saturating_add(timeout);
        let ended = async {
            connection.close_write().await;
            while connection.fill().await.is_ok_and(|n| n > 0) {
                let n = connection.unread().len();
                connection.consume(n);
            }
        };
        before(runtime, known, ended).await;
        AttemptResult::new(outcome, text)
    }

    /// Writes the request. Of one that may not be sent again, the last byte is held back for two round trips: a connection
    /// that ends at the first bytes of a request, as kept ones do, or under a busy engine, has then shown it, and nothing
    /// can have run.
    async fn write(
        &self,
        connection: &mut EngineConnection,
        head: &[u8],
        body: &[u8],
    ) -> std::io::Result<()> {
        connection.under_way = true;
        if self.job.prefill_only || self.call.again || body.is_empty() {
            return connection.write(head, body).await;
        }
        let runtime = &self.link.engines.runtime;
        let (most, last) = body.split_at(body.len() - 1);
        connection.write(head, most).await?;
        let shown = runtime.now().saturating_add(2 * connection.round_trip);
        match before(runtime, shown, connection.fill()).await {
            // Silence is what an engine that takes the request says.
            None => connection.write(last, &[]).await,
            Some(Ok(n)) if n > 0 => connection.write(last, &[]).await,
            Some(Ok(_)) => Err(std::io::ErrorKind::UnexpectedEof.into()),
            Some(Err(e)) => Err(e),
        }
    }

    async fn read(
        &self,
        mut connection: EngineConnection,
        answer: Answer,
        report: LoadReport,
        mut timer: BoxFuture<()>,
    ) -> AttemptResult {
        let text = match self
            .job
            .wait(
                &mut timer,
                read_response_body(&mut connection, &answer, &LIMITS),
            )
            .await
        {
            WaitResult::Completed(text) => text,
            WaitResult::TimedOut => {
                return self
                    .abandon(
                        connection,
                        Outcome::TimedOut,
                        "the end of a read did not come",
                    )
                    .await
            }
            WaitResult::Cancelled(_) => {
                return self
                    .abandon(connection, Outcome::Cancelled, "called off")
                    .await
            }
        };
        let Some(text) = text else {
            return self
                .abandon(connection, Outcome::Error, "the answer to a read is spoilt")
                .await;
        };
        self.link.keep_idle(connection, answer.head.keeps());
        let said: serde_json::Value = serde_json::from_slice(&text).unwrap_or_default();
        let kept = said["cached_tokens"]
            .as_u64()
            .unwrap_or(0)
            .min(u64::from(u32::MAX)) as u32;
        AttemptResult {
            cached_tokens: kept,
            report,
            ..AttemptResult::new(Outcome::Prefilled, "read")
        }
    }

    /// Passes a stream's events on as they come whole.
    async fn stream(
        &self,
        mut connection: EngineConnection,
        answer: Answer,
        report: LoadReport,
        mut timer: BoxFuture<()>,
    ) -> AttemptResult {
        let runtime = &self.link.engines.runtime;
        let mut body = Body::new(answer.framing, &LIMITS);
        let mut events = Events {
            pending: Vec::new(),
            kept: 0,
            report: None,
            done: false,
        };
        // Set with the first event: from then on the attempt's own time no longer counts.
        let mut stall: Option<StallDetector> = None;
        loop {
            let step = match connection.read_body_step(&mut body, &mut events.pending) {
                Ok(step) => step,
                Err(e) => {
                    return self
                        .abandon(connection, Outcome::Error, e.to_string())
                        .await
                }
            };
            match step {
                Step::Data(_) => {
                    let whole = match events.whole() {
                        Ok(whole) => whole,
                        Err(text) => return self.abandon(connection, Outcome::Error, text).await,
                    };
                    if whole.is_empty() {
                        continue;
                    }
                    if self.call.outlet.push(&whole).is_err() {
                        return AttemptResult::new(Outcome::Cancelled, "given up");
                    }
                    if stall.is_none() {
                        self.job.notify_first_token();
                        self.call.drop_prompt();
                    }
                    if self.job.wait_for_capacity(&self.call.outlet).await.is_err() {
                        return AttemptResult::new(Outcome::Cancelled, "given up");
                    }
                    let span = self.job.context.settings().stream_stall;
                    stall
                        .get_or_insert_with(|| StallDetector::new(runtime, span))
                        .last_progress = runtime.now();
                }
                Step::Done => {
                    if stall.is_none() || !events.done || !events.pending.is_empty() {
                        return self
                            .abandon(connection, Outcome::Error, "a stream that is not whole")
                            .await;
                    }
                    self.link.keep_idle(connection, answer.head.keeps());
                    let report = events
                        .report
                        .as_deref()
                        .map_or(report, |t| self.link.report(Some(t)));
                    return AttemptResult {
                        cached_tokens: events.kept,
                        report,
                        ..AttemptResult::new(Outcome::Served, "served")
                    };
                }
                Step::More => {
                    let timer = stall.as_mut().map_or(&mut timer, |s| &mut s.timer);
                    match (
                        self.job.wait(timer, connection.fill()).await,
                        stall.as_mut(),
                    ) {
                        (WaitResult::Completed(Ok(0)), _) => {
                            return AttemptResult::new(Outcome::Reset, "the stream ended early")
                        }
                        (WaitResult::Completed(Ok(_)), _) => {}
                        (WaitResult::Completed(Err(e)), _) => {
                            return AttemptResult::new(Outcome::Reset, e.to_string())
                        }
                        // A stream that has begun is not called off.
                        (WaitResult::Cancelled(CancelReason::ByRouter), Some(_)) => {}
                        (WaitResult::Cancelled(_), _) => {
                            return self
                                .abandon(connection, Outcome::Cancelled, "called off")
                                .await
                        }
                        (WaitResult::TimedOut, Some(stall)) => {
                            if stall.is_stalled(runtime) {
                                return AttemptResult::new(Outcome::Reset, "no event for too long");
                            }
                        }
                        (WaitResult::TimedOut, None) => {
                            return self
                                .abandon(connection, Outcome::TimedOut, "no event in time")
                                .await
                        }
                    }
                }
            }
        }
    }
}
