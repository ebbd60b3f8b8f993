//! One attempt: a call to one engine, from the module's `Send` to its one outcome.
//!
//! What proves that an attempt never ran is decided here, in [`never_ran`] and [`turned_away`]; what follows from
//! it is the module's.

use crate::engines::connection_pool::{ChannelError, GrpcEngineClient};
use crate::engines::{AttemptRequest, AttemptResult, CancelReason, StallDetector, WaitResult};
use crate::response::TokenBuffer;
use futures_lite::future::{or, poll_fn};
use ivyward_core::interface::{LoadReport, Micros, Outcome, ReportField};
use ivyward_core::mutations::{self, Mutation};
use ivyward_grpc::{encode, Call, CallError, Cause};
use ivyward_proto::engine as pb;
use prost::Message;
use std::future::Future;
use std::ops::Deref;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

/// What an attempt asks of its engine.
pub(crate) enum Ask {
    Read(pb::ReadRequest),
    Write(pb::WriteRequest),
}

impl Ask {
    fn most_tokens(&self) -> u32 {
        match self {
            Ask::Write(write) => write.max_output_tokens,
            Ask::Read(_) => 0,
        }
    }
}

/// An attempt in gRPC's terms.
pub(crate) struct Work {
    pub(crate) job: AttemptRequest,
    pub(crate) link: Arc<GrpcEngineClient>,
    pub(crate) ask: Ask,
    pub(crate) buffer: Arc<TokenBuffer>,
}

impl Deref for Work {
    type Target = AttemptRequest;
    fn deref(&self) -> &AttemptRequest {
        &self.job
    }
}

impl Work {
    /// When the engine's answer is of no use any more. A write may take as long as its client waits for the end, and has
    /// no bound where the client stated none.
    fn deadline(&self) -> Option<Micros> {
        match self.ask {
            Ask::Read(_) => Some(self.job.deadline),
            Ask::Write(_) => self.job.stream_deadline,
        }
    }
}

/// Goes on with what leads to a call, unless the request has its final answer first. Guards against an attempt that begins
/// after its client left, where a connection comes up late and attempts may not be called off.
async fn unless_over<T>(job: &Work, next: impl Future<Output = T>) -> Option<T> {
    let mut next = pin!(next);
    poll_fn(|cx| match job.buffer.poll_finished(cx) {
        Poll::Ready(()) => Poll::Ready(None),
        Poll::Pending => next.as_mut().poll(cx).map(Some),
    })
    .await
}

/// Waits for what comes next, or the driver's word.
async fn heeding<T>(job: &Work, next: impl Future<Output = T>) -> WaitResult<T> {
    or(async { WaitResult::Completed(next.await) }, async {
        WaitResult::Cancelled(job.cancelled().await)
    })
    .await
}

/// What a failed call counts as. Proofs that it never ran: it did not leave the socket (a failed connection),
/// REFUSED_STREAM, or a GOAWAY below its stream (turned away). Everything else may have run: a break or reset after
/// its bytes left, a status (which may come from anything between), bytes that are no message.
fn never_ran(error: &CallError, left: bool) -> Outcome {
    match (&error.cause, error.never_ran) {
        (_, true) if left => Outcome::Rejected,
        (_, true) => Outcome::ConnectFailed,
        (Cause::Reset(_), false) if mutations::is_active(Mutation::ResetAsProof) => {
            Outcome::Rejected
        }
        (Cause::Status(_), false) if mutations::is_active(Mutation::StatusAsProof) => {
            Outcome::Rejected
        }
        (Cause::Broken(_) | Cause::Reset(_) | Cause::Late, false) => Outcome::Reset,
        (Cause::Status(_) | Cause::Frame(_), false) => Outcome::Error,
    }
}

/// What an engine's own word that it did nothing counts as.
fn turned_away(away: &pb::TurnedAway) -> AttemptResult {
    match away.reason() {
        pb::turned_away::Reason::StateLost => {
            AttemptResult::new(Outcome::KvCacheMiss, "no state to fetch")
        }
        pb::turned_away::Reason::Full => AttemptResult::new(Outcome::Rejected, "turned away: full"),
        pb::turned_away::Reason::Draining => {
            AttemptResult::new(Outcome::Rejected, "turned away: draining")
        }
        // A reason of a later version: that nothing was run holds all the same.
        pb::turned_away::Reason::Unspecified => {
            AttemptResult::new(Outcome::Rejected, "turned away")
        }
    }
}

/// The values of a load report in the order that the module was told.
pub(crate) fn report(load: Option<&pb::Load>, fields: &[ReportField]) -> LoadReport {
    let Some(load) = load else {
        return LoadReport::default();
    };
    let mut report = LoadReport {
        len: fields.len().min(4),
        ..LoadReport::default()
    };
    for (value, field) in report.values.iter_mut().zip(fields) {
        let told = match field {
            ReportField::Outstanding => load.outstanding,
            ReportField::Backlog => load.backlog,
            ReportField::Utilization => load.utilization,
            ReportField::RecentMs => load.recent_ms,
            ReportField::MemoryShare => load.memory_share,
            ReportField::WaitingKTokens => load.waiting_ktokens,
            ReportField::Other => None,
        };
        // A missing value, or one that is no number, makes the report worthless rather than wrong.
        let Some(told) = told.filter(|v| v.is_finite()) else {
            return LoadReport::default();
        };
        *value = told;
    }
    report
}

/// Runs an attempt to its one outcome.
pub(crate) async fn run(work: Work) -> AttemptResult {
    let end = attempt(&work).await;
    work.link.call_ended();
    end
}

async fn attempt(job: &Work) -> AttemptResult {
    let runtime = &job.context.runtime;
    if job.deadline <= runtime.now() {
        return AttemptResult::new(Outcome::NotSent, "no time left");
    }
    let send_deadline = job.deadline.min(job.send_deadline);
    let channel = match unless_over(job, heeding(job, job.link.channel(send_deadline))).await {
        Some(WaitResult::Completed(Ok(channel))) => channel,
        Some(WaitResult::Completed(Err(
            e @ (ChannelError::Failed(..) | ChannelError::Late(_)),
        ))) => {
            return AttemptResult::new(Outcome::ConnectFailed, e.to_string());
        }
        _ => return AttemptResult::new(Outcome::NotSent, "called off before it was sent"),
    };
    // Told during the dial: nothing new goes to an engine that drains or is gone.
    if job.link.is_draining() && !mutations::is_active(Mutation::ClosingIgnored) {
        return AttemptResult::new(Outcome::NotSent, "the engine drains or is gone");
    }
    let (path, body) = match &job.ask {
        Ask::Read(read) => ("/ivyward.engine.v1.Engine/Read", encode(read)),
        Ask::Write(write) => ("/ivyward.engine.v1.Engine/Write", encode(write)),
    };
    let deadline = job.deadline();
    let mut call = match unless_over(job, channel.call_before(path, body.clone(), deadline)).await {
        Some(Ok(call)) => call,
        Some(Err(CallError {
            cause: Cause::Late, ..
        })) => return AttemptResult::new(Outcome::NotSent, "no time left"),
        Some(Err(e)) => return AttemptResult::new(Outcome::ConnectFailed, e.to_string()),
        None => return AttemptResult::new(Outcome::NotSent, "the client left before it was sent"),
    };
    let mut end = match job.ask {
        Ask::Read(_) => read(job, &mut call).await,
        Ask::Write(_) => write(job, &mut call).await,
    };
    if mutations::is_active(Mutation::SentTwice)
        && matches!((&job.ask, end.outcome), (Ask::Write(_), Outcome::Reset))
    {
        if let Ok(again) = channel.call_before(path, body, deadline).await {
            call = again;
            end = write(job, &mut call).await;
        }
    }
    // The outcome is told only when the stream is over or its reset is written, so that the next attempt never runs
    // beside this one.
    let left = call.abandon(job.context.settings.reset_wait).await;
    match end.outcome {
        Outcome::TimedOut | Outcome::Cancelled if !left => {
            AttemptResult::new(Outcome::NotSent, "given up before it left")
        }
        _ => end,
    }
}

/// The first message, or the end of an attempt without one.
async fn first<M: Message + Default>(job: &Work, call: &mut Call) -> Result<M, AttemptResult> {
    let mut timer = job.context.runtime.sleep_until(job.deadline);
    // Guards against an attempt that begins after its client left: what is still leaving comes to its engine in parts.
    let next = poll_fn(|cx| {
        if !call.uploaded() && job.buffer.poll_finished(cx).is_ready() {
            return Poll::Ready(None);
        }
        call.poll_message::<M>(cx).map(Some)
    });
    let woken = match job.wait(&mut timer, next).await {
        WaitResult::Completed(Some(next)) => WaitResult::Completed(next),
        WaitResult::Completed(None) => WaitResult::Cancelled(CancelReason::RequestFinished),
        WaitResult::Cancelled(stop) => WaitResult::Cancelled(stop),
        WaitResult::TimedOut => WaitResult::TimedOut,
    };
    match woken {
        WaitResult::Cancelled(_) => Err(AttemptResult::new(Outcome::Cancelled, "called off")),
        WaitResult::TimedOut => Err(AttemptResult::new(Outcome::TimedOut, "no answer in time")),
        WaitResult::Completed(Err(e)) => Err(AttemptResult::new(
            never_ran(&e, call.left()),
            e.to_string(),
        )),
        WaitResult::Completed(Ok(None)) => Err(AttemptResult::new(
            Outcome::Error,
            "the engine's answer is empty",
        )),
        WaitResult::Completed(Ok(Some(message))) => Ok(message),
    }
}

fn same_engine(job: &Work, got: u64) -> Result<(), AttemptResult> {
    match job.link.id.0 == got {
        true => Ok(()),
        false => Err(AttemptResult::new(
            Outcome::Error,
            format!("engine {:x} answered as engine {got:x}", job.link.id.0),
        )),
    }
}

async fn read(job: &Work, call: &mut Call) -> AttemptResult {
    let reply = match first::<pb::ReadReply>(job, call).await {
        Ok(reply) => reply,
        Err(end) => return end,
    };
    if let Err(end) = same_engine(job, reply.engine) {
        return end;
    }
    let mut end = match reply.result {
        Some(pb::read_reply::Result::Done(done)) => AttemptResult {
            cached_tokens: done.kept_tokens,
            ..AttemptResult::new(Outcome::Prefilled, "read")
        },
        Some(pb::read_reply::Result::TurnedAway(away)) => turned_away(&away),
        None => AttemptResult::new(Outcome::Error, "a read's reply says nothing"),
    };
    end.report = report(
        reply.load.as_ref(),
        &job.context.router_settings.report_fields,
    );
    end
}

async fn write(job: &Work, call: &mut Call) -> AttemptResult {
    let event = match first::<pb::WriteEvent>(job, call).await {
        Ok(event) => event,
        Err(end) => return end,
    };
    if let (Ok(()), Some(pb::write_event::Event::TurnedAway(away))) =
        (same_engine(job, event.engine), &event.event)
    {
        return turned_away(away);
    }
    stream(job, call, event).await.unwrap_or_else(|end| end)
}

/// Passes a stream on until its end.
async fn stream(
    job: &Work,
    call: &mut Call,
    first: pb::WriteEvent,
) -> Result<AttemptResult, AttemptResult> {
    let runtime = &job.context.runtime;
    let most = job.ask.most_tokens();
    let bad = |text: String| AttemptResult::new(Outcome::Error, text);
    let (mut expected, mut event, mut told) = (0u32, Some(first), false);
    let mut stall = StallDetector::new(runtime, job.context.settings.stream_stall);
    loop {
        let taken = match event.take() {
            Some(event) => event,
            None => match job
                .wait(&mut stall.timer, call.next::<pb::WriteEvent>())
                .await
            {
                WaitResult::Cancelled(CancelReason::RequestFinished) => {
                    return Err(AttemptResult::new(Outcome::Cancelled, "given up"))
                }
                // A stream that has begun is not called off.
                WaitResult::Cancelled(CancelReason::ByRouter) => continue,
                WaitResult::TimedOut if stall.is_stalled(runtime) => {
                    return Err(AttemptResult::new(Outcome::Reset, "no token for too long"))
                }
                WaitResult::TimedOut => continue,
                WaitResult::Completed(Err(e)) => {
                    return Err(AttemptResult::new(streaming(&e), e.to_string()))
                }
                WaitResult::Completed(Ok(None)) => {
                    return Err(bad("a stream ended without its last word".into()))
                }
                WaitResult::Completed(Ok(Some(event))) => event,
            },
        };
        same_engine(job, taken.engine)?;
        match taken.event {
            Some(pb::write_event::Event::Tokens(run)) => {
                if run.first_index != expected {
                    return Err(bad(format!(
                        "token {} came where token {expected} was due",
                        run.first_index
                    )));
                }
                let bound = job.buffer.bound();
                if run.ids.is_empty() || run.ids.len() > bound {
                    return Err(bad(format!(
                        "a run of {} tokens; 1 to {bound} are taken",
                        run.ids.len()
                    )));
                }
                expected = expected.saturating_add(run.ids.len() as u32);
                if expected > most {
                    return Err(bad(format!(
                        "more than the {most} tokens that were asked for"
                    )));
                }
                let waiting = job
                    .buffer
                    .push(&run.ids)
                    .map_err(|crate::response::StreamEnd| {
                        AttemptResult::new(Outcome::Cancelled, "given up")
                    })?;
                job.context.metrics.buffered_most.most(waiting as u64);
                if !told {
                    told = true;
                    job.notify_first_token();
                }
                // A slow client holds up its own stream alone: its engine is read on when there is room.
                job.wait_for_capacity(&job.buffer).await.map_err(
                    |crate::response::StreamEnd| AttemptResult::new(Outcome::Cancelled, "given up"),
                )?;
                stall.last_progress = runtime.now();
            }
            Some(pb::write_event::Event::Done(done)) => {
                if done.tokens != expected {
                    return Err(bad(format!(
                        "the engine counts {} tokens, {expected} came",
                        done.tokens
                    )));
                }
                if !told {
                    job.notify_first_token();
                }
                let report = report(
                    done.load.as_ref(),
                    &job.context.router_settings.report_fields,
                );
                return Ok(AttemptResult {
                    cached_tokens: done.kept_tokens,
                    report,
                    ..AttemptResult::new(Outcome::Served, "served")
                });
            }
            Some(pb::write_event::Event::TurnedAway(_)) => {
                return Err(bad("turned away after the stream had begun".into()));
            }
            None => return Err(bad("an engine's message says nothing".into())),
        }
    }
}

/// Once a stream has begun, nothing proves that it never ran.
fn streaming(error: &CallError) -> Outcome {
    match error.cause {
        Cause::Broken(_) | Cause::Reset(_) | Cause::Late => Outcome::Reset,
        Cause::Status(_) | Cause::Frame(_) => Outcome::Error,
    }
}
