//! One attempt: a call to one engine, from the module's `Send` to its one outcome.
//!
//! What proves that an attempt never ran is decided here, in [`never_ran`] and [`turned_away`]; what follows from
//! it is the module's.

use crate::answer::{Buffer, Over};
use crate::engines::link::{DialError, GrpcLink};
use crate::engines::{End, Job, Stall, Stop, Woken};
use futures_lite::future::{or, poll_fn};
use ivyward_core::interface::{LoadReport, Micros, Outcome, ReportField};
use ivyward_core::planted::{self, Defect};
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
    pub(crate) job: Job,
    pub(crate) link: Arc<GrpcLink>,
    pub(crate) ask: Ask,
    pub(crate) buffer: Arc<Buffer>,
}

impl Deref for Work {
    type Target = Job;
    fn deref(&self) -> &Job {
        &self.job
    }
}

impl Work {
    /// When the engine's answer is of no use any more. A write may take as long as its client waits for the end, and has
    /// no bound where the client stated none.
    fn deadline(&self) -> Option<Micros> {
        match self.ask {
            Ask::Read(_) => Some(self.job.until),
            Ask::Write(_) => self.job.end_by,
        }
    }
}

/// Goes on with what leads to a call, unless the request has its final answer first. Guards against an attempt that begins
/// after its client left, where a connection comes up late and attempts may not be called off.
async fn unless_over<T>(job: &Work, next: impl Future<Output = T>) -> Option<T> {
    let mut next = pin!(next);
    poll_fn(|cx| match job.buffer.poll_over(cx) {
        Poll::Ready(()) => Poll::Ready(None),
        Poll::Pending => next.as_mut().poll(cx).map(Some),
    })
    .await
}

/// Waits for what comes next, or the driver's word.
async fn heeding<T>(job: &Work, next: impl Future<Output = T>) -> Woken<T> {
    or(async { Woken::Next(next.await) }, async {
        Woken::Stopped(job.stopped().await)
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
        (Cause::Reset(_), false) if planted::is(Defect::ResetAsProof) => Outcome::Rejected,
        (Cause::Status(_), false) if planted::is(Defect::StatusAsProof) => Outcome::Rejected,
        (Cause::Broken(_) | Cause::Reset(_) | Cause::Late, false) => Outcome::Reset,
        (Cause::Status(_) | Cause::Frame(_), false) => Outcome::Error,
    }
}

/// What an engine's own word that it did nothing counts as.
fn turned_away(away: &pb::TurnedAway) -> End {
    match away.reason() {
        pb::turned_away::Reason::StateLost => End::new(Outcome::KvCacheMiss, "no state to fetch"),
        pb::turned_away::Reason::Full => End::new(Outcome::Rejected, "turned away: full"),
        pb::turned_away::Reason::Draining => End::new(Outcome::Rejected, "turned away: draining"),
        // A reason of a later version: that nothing was run holds all the same.
        pb::turned_away::Reason::Unspecified => End::new(Outcome::Rejected, "turned away"),
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
pub(crate) async fn run(work: Work) -> End {
    let end = attempt(&work).await;
    work.link.call_ended();
    end
}

async fn attempt(job: &Work) -> End {
    let runtime = &job.shared.runtime;
    if job.until <= runtime.now() {
        return End::new(Outcome::NotSent, "no time left");
    }
    let send_deadline = job.until.min(job.send_deadline);
    let channel = match unless_over(job, heeding(job, job.link.channel(send_deadline))).await {
        Some(Woken::Next(Ok(channel))) => channel,
        Some(Woken::Next(Err(e @ (DialError::Failed(..) | DialError::Late(_))))) => {
            return End::new(Outcome::ConnectFailed, e.to_string());
        }
        _ => return End::new(Outcome::NotSent, "called off before it was sent"),
    };
    // Told during the dial: nothing new goes to an engine that drains or is gone.
    if job.link.closing() && !planted::is(Defect::ClosingIgnored) {
        return End::new(Outcome::NotSent, "the engine drains or is gone");
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
        })) => return End::new(Outcome::NotSent, "no time left"),
        Some(Err(e)) => return End::new(Outcome::ConnectFailed, e.to_string()),
        None => return End::new(Outcome::NotSent, "the client left before it was sent"),
    };
    let mut end = match job.ask {
        Ask::Read(_) => read(job, &mut call).await,
        Ask::Write(_) => write(job, &mut call).await,
    };
    if planted::is(Defect::SentTwice)
        && matches!((&job.ask, end.outcome), (Ask::Write(_), Outcome::Reset))
    {
        if let Ok(again) = channel.call_before(path, body, deadline).await {
            call = again;
            end = write(job, &mut call).await;
        }
    }
    // The outcome is told only when the stream is over or its reset is written, so that the next attempt never runs
    // beside this one.
    let left = call.abandon(job.shared.settings.reset_wait).await;
    match end.outcome {
        Outcome::TimedOut | Outcome::Cancelled if !left => {
            End::new(Outcome::NotSent, "given up before it left")
        }
        _ => end,
    }
}

/// The first message, or the end of an attempt without one.
async fn first<M: Message + Default>(job: &Work, call: &mut Call) -> Result<M, End> {
    let mut timer = job.shared.runtime.sleep_until(job.until);
    // Guards against an attempt that begins after its client left: what is still leaving comes to its engine in parts.
    let next = poll_fn(|cx| {
        if !call.uploaded() && job.buffer.poll_over(cx).is_ready() {
            return Poll::Ready(None);
        }
        call.poll_message::<M>(cx).map(Some)
    });
    let woken = match job.wait(&mut timer, next).await {
        Woken::Next(Some(next)) => Woken::Next(next),
        Woken::Next(None) => Woken::Stopped(Stop::GiveUp),
        Woken::Stopped(stop) => Woken::Stopped(stop),
        Woken::Late => Woken::Late,
    };
    match woken {
        Woken::Stopped(_) => Err(End::new(Outcome::Cancelled, "called off")),
        Woken::Late => Err(End::new(Outcome::TimedOut, "no answer in time")),
        Woken::Next(Err(e)) => Err(End::new(never_ran(&e, call.left()), e.to_string())),
        Woken::Next(Ok(None)) => Err(End::new(Outcome::Error, "the engine's answer is empty")),
        Woken::Next(Ok(Some(message))) => Ok(message),
    }
}

fn same_engine(job: &Work, got: u64) -> Result<(), End> {
    match job.link.id.0 == got {
        true => Ok(()),
        false => Err(End::new(
            Outcome::Error,
            format!("engine {:x} answered as engine {got:x}", job.link.id.0),
        )),
    }
}

async fn read(job: &Work, call: &mut Call) -> End {
    let reply = match first::<pb::ReadReply>(job, call).await {
        Ok(reply) => reply,
        Err(end) => return end,
    };
    if let Err(end) = same_engine(job, reply.engine) {
        return end;
    }
    let mut end = match reply.result {
        Some(pb::read_reply::Result::Done(done)) => End {
            kept: done.kept_tokens,
            ..End::new(Outcome::Prefilled, "read")
        },
        Some(pb::read_reply::Result::TurnedAway(away)) => turned_away(&away),
        None => End::new(Outcome::Error, "a read's reply says nothing"),
    };
    end.report = report(
        reply.load.as_ref(),
        &job.shared.router_settings.report_fields,
    );
    end
}

async fn write(job: &Work, call: &mut Call) -> End {
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
async fn stream(job: &Work, call: &mut Call, first: pb::WriteEvent) -> Result<End, End> {
    let runtime = &job.shared.runtime;
    let most = job.ask.most_tokens();
    let bad = |text: String| End::new(Outcome::Error, text);
    let (mut expected, mut event, mut told) = (0u32, Some(first), false);
    let mut stall = Stall::new(runtime, job.shared.settings.stream_stall);
    loop {
        let taken = match event.take() {
            Some(event) => event,
            None => match job
                .wait(&mut stall.timer, call.next::<pb::WriteEvent>())
                .await
            {
                Woken::Stopped(Stop::GiveUp) => {
                    return Err(End::new(Outcome::Cancelled, "given up"))
                }
                // A stream that has begun is not called off.
                Woken::Stopped(Stop::CallOff) => continue,
                Woken::Late if stall.over(runtime) => {
                    return Err(End::new(Outcome::Reset, "no token for too long"))
                }
                Woken::Late => continue,
                Woken::Next(Err(e)) => return Err(End::new(streaming(&e), e.to_string())),
                Woken::Next(Ok(None)) => {
                    return Err(bad("a stream ended without its last word".into()))
                }
                Woken::Next(Ok(Some(event))) => event,
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
                    .map_err(|Over| End::new(Outcome::Cancelled, "given up"))?;
                job.shared.metrics.buffered_most.most(waiting as u64);
                if !told {
                    told = true;
                    job.first();
                }
                // A slow client holds up its own stream alone: its engine is read on when there is room.
                job.room(&job.buffer)
                    .await
                    .map_err(|Over| End::new(Outcome::Cancelled, "given up"))?;
                stall.last = runtime.now();
            }
            Some(pb::write_event::Event::Done(done)) => {
                if done.tokens != expected {
                    return Err(bad(format!(
                        "the engine counts {} tokens, {expected} came",
                        done.tokens
                    )));
                }
                if !told {
                    job.first();
                }
                let report = report(
                    done.load.as_ref(),
                    &job.shared.router_settings.report_fields,
                );
                return Ok(End {
                    kept: done.kept_tokens,
                    report,
                    ..End::new(Outcome::Served, "served")
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
