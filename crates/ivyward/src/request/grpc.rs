//! The gRPC protocol to engines, `ivyward.engine.v1`: an implementation of the interface of [`crate::engines`].

use crate::context::NodeContext;
use crate::engines::connection_pool::GrpcEngineClient;
use crate::engines::keepalive::EngineKeepalive;
use crate::engines::{
    AttemptRequest, AttemptResult, Call, Engine, EngineClient, EngineHandle, Protocol,
    ReleaseRequest, ReservationStatus, ReserveRequest,
};
use crate::memory_budget::BudgetShare;
use crate::request::attempt::{self, EngineCall, GrpcAttempt};
use crate::response::{FinalStatus, TokenBuffer};
use crate::settings::NodeSettings;
use futures_lite::future::or;
use ivyward_core::interface::{EndpointId, LoadReport, Micros, Outcome, Request};
use ivyward_core::mutations::{self, Mutation};
use ivyward_core::release;
use ivyward_grpc::encode;
use ivyward_proto::engine as pb;
use ivyward_runtime::{metered, timeout_at, BoxFuture, RuntimeExt, RuntimeRef};
use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;

const RESERVE_PATH: &str = "/ivyward.engine.v1.Engine/Hold";
const RELEASE_PATH: &str = "/ivyward.engine.v1.Engine/Release";
const HEALTH_CHECK_PATH: &str = "/ivyward.engine.v1.Engine/Probe";

/// A request that the gRPC server accepted.
pub(crate) struct GrpcCall {
    pub(crate) request: Request,
    pub(crate) prompt: Arc<Vec<u32>>,
    pub(crate) class: String,
    pub(crate) call_id: u64,
    pub(crate) idempotency_key: String,
    pub(crate) buffer: Arc<TokenBuffer>,
    /// The memory of the prompt.
    pub(crate) _memory: BudgetShare,
}

impl Call for GrpcCall {
    fn finish(&self, status: FinalStatus) -> bool {
        self.buffer.finish(status)
    }
    fn as_any(&self) -> &dyn Any {
        self
    }
    fn name(&self) -> &str {
        ""
    }
}

/// Engines that speak `ivyward.engine.v1`.
pub(crate) struct Grpc {
    keepalive: Arc<EngineKeepalive>,
}

impl Grpc {
    pub(crate) fn new(runtime: &RuntimeRef, settings: &NodeSettings) -> Grpc {
        Grpc {
            keepalive: EngineKeepalive::new(runtime, settings),
        }
    }
}

impl Protocol for Grpc {
    fn engine_client(&self, context: &Arc<NodeContext>, engine: &Engine) -> EngineHandle {
        let runtime = metered(&context.runtime, &context.metrics.engine_traffic);
        GrpcEngineClient::new(
            &runtime,
            engine.endpoint.id,
            engine.address,
            &context.settings,
            &self.keepalive,
        )
    }
    fn releases_individually(&self) -> bool {
        true
    }
    fn release(&self, context: &Arc<NodeContext>, release: ReleaseRequest) {
        for reservation in release.reservations {
            let engine = reservation.engine.as_any_arc();
            if let Ok(engine) = engine.downcast::<GrpcEngineClient>() {
                let key = key(context, release.request, reservation.attempt);
                spawn_release(context, engine, key, reservation.confirmed);
            }
        }
    }
}

/// The key by which engines identify an attempt.
fn key(context: &NodeContext, request: u64, attempt: u16) -> Option<pb::AttemptKey> {
    Some(pb::AttemptKey {
        node: context.incarnation,
        request,
        attempt: u32::from(attempt),
    })
}

fn header(
    context: &NodeContext,
    call: &GrpcCall,
    attempt: u16,
    engine: EndpointId,
) -> Option<pb::Header> {
    Some(pb::Header {
        key: key(context, call.request.id.0, attempt),
        engine: engine.0,
        call_id: call.call_id,
        class: call.class.clone(),
        idempotency_key: call.idempotency_key.clone(),
    })
}

fn engine_call(attempt: &AttemptRequest, call: &GrpcCall, engine: EndpointId) -> EngineCall {
    let context = &attempt.context;
    let header = header(context, call, attempt.attempt, engine);
    let request = &call.request;
    let (prefix, prefix_tokens) = (request.prefix, request.prefix_tokens as u32);
    let (prompt, session) = (call.prompt.to_vec(), request.session);
    if attempt.prefill_only {
        return EngineCall::Prefill(pb::ReadRequest {
            header,
            prompt,
            opening: prefix,
            opening_tokens: prefix_tokens,
            session,
        });
    }
    let state = attempt
        .kv_state
        .as_ref()
        .map(|(holder, prefill)| pb::StateRef {
            key: key(context, attempt.request, *prefill),
            engine: holder.id().0,
            address: holder.address().to_string(),
        });
    EngineCall::Generate(pb::WriteRequest {
        header,
        prompt,
        opening: prefix,
        opening_tokens: prefix_tokens,
        session,
        max_output_tokens: request.max_output as u32,
        state,
    })
}

impl EngineClient for GrpcEngineClient {
    fn id(&self) -> EndpointId {
        self.id
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
    fn set_draining(&self, draining: bool) {
        GrpcEngineClient::set_draining(self, draining);
    }
    fn close(&self) {
        GrpcEngineClient::close(self);
    }
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync> {
        self
    }
    fn run_attempt(self: Arc<Self>, request: AttemptRequest) -> BoxFuture<AttemptResult> {
        Box::pin(async move {
            let Some(call) = request.call.as_any().downcast_ref::<GrpcCall>() else {
                return AttemptResult::new(Outcome::NotSent, "a request of another protocol");
            };
            let engine_call = engine_call(&request, call, self.id);
            let buffer = call.buffer.clone();
            attempt::run(GrpcAttempt {
                request,
                engine: self,
                engine_call,
                buffer,
            })
            .await
        })
    }
    fn reserve(self: Arc<Self>, request: ReserveRequest) -> BoxFuture<ReservationStatus> {
        Box::pin(async move {
            let Some(call) = request.call.as_any().downcast_ref::<GrpcCall>() else {
                return ReservationStatus::Denied;
            };
            let body = encode(&pb::HoldRequest {
                header: header(&request.context, call, request.attempt, self.id),
                prompt_tokens: call.prompt.len() as u32,
            });
            reserve(&self, body, &request).await
        })
    }
    fn health_check(self: Arc<Self>, context: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)> {
        Box::pin(async move {
            let body = encode(&pb::ProbeRequest { engine: self.id.0 });
            let timeout = 2 * context.settings.dial_timeout;
            let call = UnaryCall {
                path: HEALTH_CHECK_PATH,
                body,
                timeout,
            };
            let reply = call.send::<pb::ProbeReply>(&context.runtime, &self).await;
            let alive = reply.as_ref().is_some_and(|r| r.engine == self.id.0);
            let load = reply.and_then(|r| r.load);
            let fields = &context.router_settings.report_fields;
            (alive, attempt::report(load.as_ref(), fields))
        })
    }
}

/// Asks an engine to release a reservation, in a task of its own.
fn spawn_release(
    context: &Arc<NodeContext>,
    engine: Arc<GrpcEngineClient>,
    key: Option<pb::AttemptKey>,
    confirmed: bool,
) {
    let context = context.clone();
    let permit = context.begin_release();
    context.metrics.releases.add(1);
    let body = encode(&pb::ReleaseRequest {
        key,
        engine: engine.id.0,
    });
    context.runtime.clone().run(async move {
        let released = send_release(&context, &engine, body, confirmed);
        let evicted = async {
            permit.evicted().await;
            false
        };
        if !or(released, evicted).await {
            context.metrics.releases_dropped.add(1);
        }
    });
}

/// Asks an engine to release a reservation, and returns whether the engine answered.
///
/// A call that fails is retried with exponential backoff until the retry time is over. The release of an unconfirmed
/// reservation is also repeated while the engine has nothing to release: the call that makes the reservation may still be on
/// its way on another connection.
async fn send_release(
    context: &NodeContext,
    engine: &Arc<GrpcEngineClient>,
    body: bytes::Bytes,
    confirmed: bool,
) -> bool {
    let (runtime, settings) = (&context.runtime, &context.settings);
    let retry_until = runtime.now().saturating_add(settings.release_retry_window);
    let may_reserve_until = runtime
        .now()
        .saturating_add(context.router_settings.release_within);
    let timeout = release::answer_timeout(context.router_settings.release_within)
        .min(2 * settings.dial_timeout);
    let mut pause = settings.initial_backoff;
    loop {
        let call = UnaryCall {
            path: RELEASE_PATH,
            body: body.clone(),
            timeout,
        };
        let reply = call.send::<pb::ReleaseReply>(runtime, engine).await;
        let next = runtime.now().saturating_add(pause);
        match reply {
            Some(reply) if reply.released || confirmed || next > may_reserve_until => return true,
            None if next > retry_until => return false,
            _ => {}
        }
        runtime.sleep(pause).await;
        pause = (pause * 2).min(settings.max_backoff);
    }
}

/// Reserves a decode slot, unless the request stops needing one first.
///
/// This keeps slots from outlasting their request: in that case a call that still waits for a connection is not sent, and the
/// slot of a call that was sent is released at once.
async fn reserve(
    engine: &Arc<GrpcEngineClient>,
    body: bytes::Bytes,
    request: &ReserveRequest,
) -> ReservationStatus {
    let (runtime, settings) = (&request.context.runtime, &request.context.settings);
    let timeout = release::reserve_timeout(request.context.router_settings.release_within)
        .min(2 * settings.dial_timeout);
    let latest = runtime.now().saturating_add(timeout);
    let until = request.deadline.min(latest);
    let opened = or(async { engine.channel(until).await.ok() }, async {
        request.until_finished().await;
        None
    });
    let Some(channel) = opened.await else {
        return ReservationStatus::Denied;
    };
    // The engine may have started to drain while the connection was being established.
    let draining =
        engine.is_draining() && !mutations::is_active(Mutation::IgnoreDrainWhileConnecting);
    if draining || request.is_finished() {
        return ReservationStatus::Denied;
    }
    let Ok(mut call) = channel
        .call_with_deadline(RESERVE_PATH, body, Some(until))
        .await
    else {
        return ReservationStatus::Denied;
    };
    let reply = or(
        async { timeout_at(runtime, until, call.next::<pb::HoldReply>()).await },
        async {
            request.until_finished().await;
            None
        },
    );
    let reply = reply.await;
    // The reset is written before any release is sent, so that an engine that was unresponsive does not start the call after
    // it handled the release.
    let headers_sent = call.abandon(settings.reset_timeout).await;
    engine.call_ended();
    match reply {
        Some(Ok(Some(reply))) if reply.engine == engine.id.0 && reply.held => {
            ReservationStatus::Granted
        }
        Some(Ok(Some(reply))) if reply.engine == engine.id.0 => ReservationStatus::Denied,
        _ if headers_sent => ReservationStatus::Unknown,
        _ => ReservationStatus::Denied,
    }
}

/// A unary call that is not part of an attempt.
struct UnaryCall {
    path: &'static str,
    body: bytes::Bytes,
    /// How long to wait for the answer, in microseconds.
    timeout: Micros,
}

impl UnaryCall {
    /// Makes the call. Returns `None` if it fails or times out. After a timeout the connection is not used by other calls
    /// until it receives bytes, because it may have fallen silent.
    async fn send<M: prost::Message + Default>(
        self,
        runtime: &RuntimeRef,
        engine: &Arc<GrpcEngineClient>,
    ) -> Option<M> {
        let until = runtime.now().saturating_add(self.timeout);
        let channel = engine.channel(until).await.ok()?;
        let mut call = channel
            .call_with_deadline(self.path, self.body, Some(until))
            .await
            .ok()?;
        let reply = timeout_at(runtime, until, call.next::<M>()).await;
        drop(call);
        if reply.is_none() {
            channel.record_unanswered_call();
        }
        engine.call_ended();
        reply?.ok()?
    }
}
