//! One attempt over gRPC: a call to one engine, from the router's `Send` action to the attempt's single outcome.
//!
//! [`failed_call_outcome`] and [`rejection_result`] decide whether a failure proves that the attempt never ran. The router
//! decides what follows from the outcome.

use crate::engines::connection_pool::{ChannelError, GrpcEngineClient};
use crate::engines::{AttemptRequest, AttemptResult, WaitResult};
use crate::request::answer_stream::AnswerStream;
use crate::response::TokenBuffer;
use futures_lite::future::{or, poll_fn};
use ivyward_core::interface::{LoadReport, Micros, Outcome, ReportField};
use ivyward_core::mutations::{self, Mutation};
use ivyward_grpc::{encode, Call, CallError, Cause, Channel, Delivery};
use ivyward_proto::engine as pb;
use prost::Message;
use std::future::Future;
use std::ops::Deref;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

const PREFILL_PATH: &str = "/ivyward.engine.v1.Engine/Read";
const GENERATE_PATH: &str = "/ivyward.engine.v1.Engine/Write";

/// The call that an attempt makes.
pub(crate) enum EngineCall {
    /// Computes the prompt's KV state only.
    Prefill(pb::ReadRequest),
    /// Generates the response.
    Generate(pb::WriteRequest),
}

impl EngineCall {
    /// Maximum number of tokens in the response.
    pub(super) fn max_tokens(&self) -> u32 {
        match self {
            EngineCall::Generate(request) => request.max_output_tokens,
            EngineCall::Prefill(_) => 0,
        }
    }

    fn encode(&self) -> (&'static str, bytes::Bytes) {
        match self {
            EngineCall::Prefill(request) => (PREFILL_PATH, encode(request)),
            EngineCall::Generate(request) => (GENERATE_PATH, encode(request)),
        }
    }
}

/// An attempt over gRPC.
pub(crate) struct GrpcAttempt {
    pub(crate) request: AttemptRequest,
    pub(crate) engine: Arc<GrpcEngineClient>,
    pub(crate) engine_call: EngineCall,
    pub(crate) buffer: Arc<TokenBuffer>,
}

impl Deref for GrpcAttempt {
    type Target = AttemptRequest;
    fn deref(&self) -> &AttemptRequest {
        &self.request
    }
}

impl GrpcAttempt {
    /// The deadline that is sent to the engine. A generate call may last until the client's deadline for the whole response,
    /// and has no deadline if the client set none.
    fn call_deadline(&self) -> Option<Micros> {
        match self.engine_call {
            EngineCall::Prefill(_) => Some(self.request.deadline),
            EngineCall::Generate(_) => self.request.stream_deadline,
        }
    }

    /// The values of a load report in the order of the router's settings.
    pub(super) fn report(&self, load: Option<&pb::Load>) -> LoadReport {
        report(load, &self.context.router_settings.report_fields)
    }
}

/// Runs `next`, unless the request gets its final status first.
///
/// This keeps an attempt from starting after its client disconnected: the connection may be established only then, and the
/// router may not cancel the attempt.
async fn unless_finished<T>(attempt: &GrpcAttempt, next: impl Future<Output = T>) -> Option<T> {
    let mut next = pin!(next);
    poll_fn(|cx| match attempt.buffer.poll_finished(cx) {
        Poll::Ready(()) => Poll::Ready(None),
        Poll::Pending => next.as_mut().poll(cx).map(Some),
    })
    .await
}

/// Runs `next` until it completes or the attempt is cancelled.
async fn unless_cancelled<T>(
    attempt: &GrpcAttempt,
    next: impl Future<Output = T>,
) -> WaitResult<T> {
    or(async { WaitResult::Completed(next.await) }, async {
        WaitResult::Cancelled(attempt.cancelled().await)
    })
    .await
}

/// Returns the outcome of a failed call. `headers_sent` says whether any part of it was written to the socket.
///
/// Three facts prove that the call never ran: its headers were never written (`ConnectFailed`), the server reset it with
/// REFUSED_STREAM, or a GOAWAY named a lower last stream (both `Rejected`). After any other failure the call may have run: a
/// broken connection or a reset after its bytes were sent, a status (any proxy on the way may have sent it), or a malformed
/// message.
fn failed_call_outcome(error: &CallError, headers_sent: bool) -> Outcome {
    match (&error.cause, error.never_ran) {
        (_, true) if headers_sent => Outcome::Rejected,
        (_, true) => Outcome::ConnectFailed,
        (Cause::Reset(_), false) if mutations::is_active(Mutation::ResetCountsAsNotRun) => {
            Outcome::Rejected
        }
        (Cause::Status(_), false) if mutations::is_active(Mutation::StatusCountsAsNotRun) => {
            Outcome::Rejected
        }
        (Cause::ConnectionBroken(_) | Cause::Reset(_) | Cause::DeadlinePassed, false) => {
            Outcome::Reset
        }
        (Cause::Status(_) | Cause::Frame(_), false) => Outcome::Error,
    }
}

/// Returns the result of an attempt that the engine rejected, which states that the engine ran nothing of it.
fn rejection_result(rejection: &pb::TurnedAway) -> AttemptResult {
    match rejection.reason() {
        pb::turned_away::Reason::StateLost => {
            AttemptResult::new(Outcome::KvCacheMiss, "no state to fetch")
        }
        pb::turned_away::Reason::Full => AttemptResult::new(Outcome::Rejected, "turned away: full"),
        pb::turned_away::Reason::Draining => {
            AttemptResult::new(Outcome::Rejected, "turned away: draining")
        }
        // A reason added in a later protocol version. The engine ran nothing in this case, either.
        pb::turned_away::Reason::Unspecified => {
            AttemptResult::new(Outcome::Rejected, "turned away")
        }
    }
}

/// The values of a load report in the order of `fields`.
pub(crate) fn report(load: Option<&pb::Load>, fields: &[ReportField]) -> LoadReport {
    let Some(load) = load else {
        return LoadReport::default();
    };
    let mut report = LoadReport {
        len: fields.len().min(4),
        ..LoadReport::default()
    };
    for (slot, field) in report.values.iter_mut().zip(fields) {
        let value = match field {
            ReportField::Outstanding => load.outstanding,
            ReportField::Backlog => load.backlog,
            ReportField::Utilization => load.utilization,
            ReportField::RecentLatencyMs => load.recent_ms,
            ReportField::MemoryShare => load.memory_share,
            ReportField::WaitingKTokens => load.waiting_ktokens,
            ReportField::Other => None,
        };
        // If a value is missing, infinite or NaN, the whole report is discarded: the router must not use a wrong value.
        let Some(value) = value.filter(|v| v.is_finite()) else {
            return LoadReport::default();
        };
        *slot = value;
    }
    report
}

/// Runs an attempt to its single outcome.
pub(crate) async fn run(attempt: GrpcAttempt) -> AttemptResult {
    let result = connect_and_call(&attempt).await;
    attempt.engine.call_ended();
    result
}

async fn connect_and_call(attempt: &GrpcAttempt) -> AttemptResult {
    let channel = match open_channel(attempt).await {
        Ok(channel) => channel,
        Err(result) => return result,
    };
    let (path, body) = attempt.engine_call.encode();
    let mut call = match send(attempt, &channel, path, body.clone()).await {
        Ok(call) => call,
        Err(result) => return result,
    };
    let delivery = call.delivery();
    let responding = async {
        match attempt.engine_call {
            EngineCall::Prefill(_) => prefill(attempt, &mut call).await,
            EngineCall::Generate(_) => generate(attempt, &mut call).await,
        }
    };
    let mut result = or(responding, confirm_delivery(attempt, delivery)).await;
    if mutations::is_active(Mutation::ResendAfterReset)
        && matches!(
            (&attempt.engine_call, result.outcome),
            (EngineCall::Generate(_), Outcome::Reset)
        )
    {
        let deadline = attempt.call_deadline();
        if let Ok(again) = channel.call_with_deadline(path, body, deadline).await {
            call = again;
            result = generate(attempt, &mut call).await;
        }
    }
    // The outcome is reported only after the stream ended or its reset was written, so that the next attempt never runs at
    // the same time as this one.
    let headers_sent = call.abandon(attempt.context.settings.reset_timeout).await;
    match result.outcome {
        Outcome::TimedOut | Outcome::Cancelled if !headers_sent => {
            AttemptResult::new(Outcome::NotSent, "given up before it left")
        }
        _ => result,
    }
}

/// Notifies the driver when the engine has received the call, if reservations of the request may depend on it. Never
/// completes.
async fn confirm_delivery(attempt: &GrpcAttempt, delivery: Delivery) -> AttemptResult {
    let may_have_reservations =
        attempt.attempt > 0 || attempt.context.router_settings.reserve_decode_slot;
    if may_have_reservations && delivery.confirmed().await {
        attempt.notify_delivered();
    }
    std::future::pending().await
}

async fn open_channel(attempt: &GrpcAttempt) -> Result<Channel, AttemptResult> {
    let not_sent = |detail| Err(AttemptResult::new(Outcome::NotSent, detail));
    if attempt.deadline <= attempt.context.runtime.now() {
        return not_sent("no time left");
    }
    let send_deadline = attempt.deadline.min(attempt.send_deadline);
    let opening = unless_cancelled(attempt, attempt.engine.channel(send_deadline));
    let channel = match unless_finished(attempt, opening).await {
        Some(WaitResult::Completed(Ok(channel))) => channel,
        Some(WaitResult::Completed(Err(
            error @ (ChannelError::ConnectFailed(..) | ChannelError::TimedOut(_)),
        ))) => {
            return Err(AttemptResult::new(
                Outcome::ConnectFailed,
                error.to_string(),
            ));
        }
        _ => return not_sent("called off before it was sent"),
    };
    // The engine may have started to drain while the connection was being established.
    if attempt.engine.is_draining() && !mutations::is_active(Mutation::IgnoreDrainWhileConnecting) {
        return not_sent("the engine drains or is gone");
    }
    Ok(channel)
}

async fn send(
    attempt: &GrpcAttempt,
    channel: &Channel,
    path: &'static str,
    body: bytes::Bytes,
) -> Result<Call, AttemptResult> {
    let sending = channel.call_with_deadline(path, body, attempt.call_deadline());
    let (outcome, detail) = match unless_finished(attempt, sending).await {
        Some(Ok(call)) => return Ok(call),
        Some(Err(CallError {
            cause: Cause::DeadlinePassed,
            ..
        })) => (Outcome::NotSent, "no time left".into()),
        Some(Err(error)) => (Outcome::ConnectFailed, error.to_string()),
        None => (
            Outcome::NotSent,
            "the client left before it was sent".into(),
        ),
    };
    Err(AttemptResult::new(outcome, detail))
}

/// Returns the first message of the response, or the result of an attempt that ended without one.
async fn first_message<M: Message + Default>(
    attempt: &GrpcAttempt,
    call: &mut Call,
) -> Result<M, AttemptResult> {
    let mut timer = attempt.context.runtime.sleep_until(attempt.deadline);
    // Stops uploading once the request has its final status. Otherwise the rest of the request could reach the engine, and
    // start the attempt, after the client disconnected.
    let next = poll_fn(|cx| {
        if !call.uploaded() && attempt.buffer.poll_finished(cx).is_ready() {
            return Poll::Ready(None);
        }
        call.poll_message::<M>(cx).map(Some)
    });
    let (outcome, detail) = match attempt.wait(&mut timer, next).await {
        WaitResult::Completed(Some(Ok(Some(message)))) => return Ok(message),
        WaitResult::Completed(Some(Ok(None))) => {
            (Outcome::Error, "the engine's answer is empty".into())
        }
        WaitResult::Completed(Some(Err(error))) => (
            failed_call_outcome(&error, call.headers_sent()),
            error.to_string(),
        ),
        WaitResult::Completed(None) | WaitResult::Cancelled(_) => {
            (Outcome::Cancelled, "called off".into())
        }
        WaitResult::TimedOut => (Outcome::TimedOut, "no answer in time".into()),
    };
    Err(AttemptResult::new(outcome, detail))
}

/// Checks that the response is from the engine that was called.
pub(super) fn check_engine(attempt: &GrpcAttempt, answered: u64) -> Result<(), AttemptResult> {
    let called = attempt.engine.id.0;
    if called == answered {
        return Ok(());
    }
    Err(AttemptResult::new(
        Outcome::Error,
        format!("engine {called:x} answered as engine {answered:x}"),
    ))
}

async fn prefill(attempt: &GrpcAttempt, call: &mut Call) -> AttemptResult {
    let reply = match first_message::<pb::ReadReply>(attempt, call).await {
        Ok(reply) => reply,
        Err(result) => return result,
    };
    if let Err(result) = check_engine(attempt, reply.engine) {
        return result;
    }
    let result = match reply.result {
        Some(pb::read_reply::Result::Done(done)) => AttemptResult {
            cached_tokens: done.kept_tokens,
            ..AttemptResult::new(Outcome::Prefilled, "read")
        },
        Some(pb::read_reply::Result::TurnedAway(rejection)) => rejection_result(&rejection),
        None => AttemptResult::new(Outcome::Error, "a read's reply says nothing"),
    };
    AttemptResult {
        report: attempt.report(reply.load.as_ref()),
        ..result
    }
}

async fn generate(attempt: &GrpcAttempt, call: &mut Call) -> AttemptResult {
    let event = match first_message::<pb::WriteEvent>(attempt, call).await {
        Ok(event) => event,
        Err(result) => return result,
    };
    if let (Ok(()), Some(pb::write_event::Event::TurnedAway(rejection))) =
        (check_engine(attempt, event.engine), &event.event)
    {
        return rejection_result(rejection);
    }
    AnswerStream::new(attempt, call).run(event).await
}
