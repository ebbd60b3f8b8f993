//! gRPC to engines, behind the seam of [`crate::engines`].

use crate::context::NodeContext;
use crate::engines::connection_pool::GrpcEngineClient;
use crate::engines::keepalive::EngineKeepalive;
use crate::engines::Engine;
use crate::engines::{
    AttemptRequest, AttemptResult, Call, EngineClient, EngineHandle, Protocol, ReleaseRequest,
    ReservationStatus, ReserveRequest,
};
use crate::request::attempt::{self, Ask, Work};
use crate::response::{FinalStatus, TokenBuffer};
use crate::settings::NodeSettings;
use futures_lite::future::or;
use ivyward_core::interface::{EndpointId, LoadReport, Outcome, Request};
use ivyward_core::mutations::{self, Mutation};
use ivyward_grpc::encode;
use ivyward_proto::engine as pb;
use ivyward_runtime::{before, metered, BoxFuture, RuntimeExt, RuntimeRef};
use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request as the gRPC door took it.
pub(crate) struct GrpcCall {
    pub(crate) arrival: Request,
    pub(crate) prompt: Arc<Vec<u32>>,
    pub(crate) class: String,
    pub(crate) call_id: u64,
    pub(crate) key: String,
    pub(crate) buffer: Arc<TokenBuffer>,
}

impl Call for GrpcCall {
    fn finish(&self, end: FinalStatus) -> bool {
        self.buffer.finish(end)
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
    fn release(&self, shared: &Arc<NodeContext>, job: ReleaseRequest) {
        for kept in job.reservations {
            if let Ok(link) = kept.engine.as_any_arc().downcast::<GrpcEngineClient>() {
                let_go(shared, job.request, &link, kept.attempt, kept.confirmed);
            }
        }
    }
}

/// An attempt as engines know it.
fn key(shared: &NodeContext, request: u64, attempt: u16) -> Option<pb::AttemptKey> {
    Some(pb::AttemptKey {
        node: shared.incarnation,
        request,
        attempt: u32::from(attempt),
    })
}

fn header(
    shared: &NodeContext,
    call: &GrpcCall,
    attempt: u16,
    server: EndpointId,
) -> Option<pb::Header> {
    Some(pb::Header {
        key: key(shared, call.arrival.id.0, attempt),
        engine: server.0,
        call_id: call.call_id,
        class: call.class.clone(),
        idempotency_key: call.key.clone(),
    })
}

fn ask(job: &AttemptRequest, call: &GrpcCall, server: EndpointId) -> Ask {
    let (a, header) = (
        &call.arrival,
        header(&job.context, call, job.attempt, server),
    );
    let (opening, opening_tokens) = (a.prefix, a.prefix_tokens as u32);
    let (prompt, session) = (call.prompt.to_vec(), a.session);
    if job.prefill_only {
        return Ask::Read(pb::ReadRequest {
            header,
            prompt,
            opening,
            opening_tokens,
            session,
        });
    }
    let state = job.kv_state.as_ref().map(|(at, attempt)| pb::StateRef {
        key: key(&job.context, job.request, *attempt),
        engine: at.id().0,
        address: at.address().to_string(),
    });
    let max_output_tokens = a.max_output as u32;
    Ask::Write(pb::WriteRequest {
        header,
        prompt,
        opening,
        opening_tokens,
        session,
        max_output_tokens,
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
    fn set_draining(&self, closing: bool) {
        GrpcEngineClient::set_draining(self, closing);
    }
    fn close(&self) {
        GrpcEngineClient::close(self);
    }
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync> {
        self
    }
    fn run_attempt(self: Arc<Self>, job: AttemptRequest) -> BoxFuture<AttemptResult> {
        Box::pin(async move {
            let Some(call) = job.call.as_any().downcast_ref::<GrpcCall>() else {
                return AttemptResult::new(Outcome::NotSent, "a request of another protocol");
            };
            let (ask, buffer) = (ask(&job, call, self.id), call.buffer.clone());
            attempt::run(Work {
                job,
                link: self,
                ask,
                buffer,
            })
            .await
        })
    }
    fn reserve(self: Arc<Self>, job: ReserveRequest) -> BoxFuture<ReservationStatus> {
        Box::pin(async move {
            let Some(call) = job.call.as_any().downcast_ref::<GrpcCall>() else {
                return ReservationStatus::Denied;
            };
            let prompt_tokens = call.prompt.len() as u32;
            let header = header(&job.context, call, job.attempt, self.id);
            hold(
                &self,
                encode(&pb::HoldRequest {
                    header,
                    prompt_tokens,
                }),
                &job,
            )
            .await
        })
    }
    fn health_check(self: Arc<Self>, context: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)> {
        Box::pin(async move {
            let body = encode(&pb::ProbeRequest { engine: self.id.0 });
            let path = "/ivyward.engine.v1.Engine/Probe";
            let reply =
                unary::<pb::ProbeReply>(&context.runtime, &self, path, body, &context).await;
            let alive = reply.as_ref().is_some_and(|r| r.engine == self.id.0);
            let load = reply.and_then(|r| r.load);
            (
                alive,
                attempt::report(load.as_ref(), &context.router_settings.report_fields),
            )
        })
    }
}

/// Asks an engine to let go. What may still be on its way is asked for again while a state may be
/// kept: a release on another connection may come before the call that it is about.
fn let_go(
    shared: &Arc<NodeContext>,
    id: u64,
    link: &Arc<GrpcEngineClient>,
    attempt: u16,
    sure: bool,
) {
    let (shared, link) = (shared.clone(), link.clone());
    let place = shared.begin_release();
    shared.metrics.releases.add(1);
    let body = encode(&pb::ReleaseRequest {
        key: key(&shared, id, attempt),
        engine: link.id.0,
    });
    let runtime = shared.runtime.clone();
    runtime.clone().run(async move {
        let give_up = runtime.now().saturating_add(shared.settings.release_tries);
        let look_until = runtime
            .now()
            .saturating_add(shared.router_settings.release_within);
        let mut pause = shared.settings.redial_first;
        let asking = async {
            loop {
                let reply =
                    unary::<pb::ReleaseReply>(&runtime, &link, RELEASE, body.clone(), &shared)
                        .await;
                let next = runtime.now().saturating_add(pause);
                match reply {
                    Some(reply) if reply.released || sure || next > look_until => return true,
                    None if next > give_up => return false,
                    _ => {}
                }
                runtime.sleep(pause).await;
                pause = (pause * 2).min(shared.settings.redial_most);
            }
        };
        let given_up = async {
            place.evicted().await;
            false
        };
        if !or(asking, given_up).await {
            shared.metrics.releases_dropped.add(1);
        }
    });
}

/// Asks for a place until the request no longer needs one. Guards against holds that outlast their request: one that waits
/// for a connection is never sent, one that has left is let go of at once.
async fn hold(
    link: &Arc<GrpcEngineClient>,
    body: bytes::Bytes,
    job: &ReserveRequest,
) -> ReservationStatus {
    let shared = &job.context;
    let until = job.deadline.min(
        shared
            .runtime
            .now()
            .saturating_add(2 * shared.settings.dial_timeout),
    );
    let dialed = or(async { link.channel(until).await.ok() }, async {
        job.until_finished().await;
        None
    });
    let Some(channel) = dialed.await else {
        return ReservationStatus::Denied;
    };
    // Told during the dial: nothing new goes to an engine that drains or is gone.
    if link.is_draining() && !mutations::is_active(Mutation::ClosingIgnored) || job.is_finished() {
        return ReservationStatus::Denied;
    }
    let path = "/ivyward.engine.v1.Engine/Hold";
    let Ok(mut call) = channel.call_before(path, body, Some(until)).await else {
        return ReservationStatus::Denied;
    };
    let reply = or(
        async { before(&shared.runtime, until, call.next::<pb::HoldReply>()).await },
        async {
            job.until_finished().await;
            None
        },
    );
    let reply = reply.await;
    // Its reset goes ahead of the release, so that an engine that hangs never takes the hold up after it.
    let left = call.abandon(shared.settings.reset_wait).await;
    link.call_ended();
    match reply {
        Some(Ok(Some(reply))) if reply.engine == link.id.0 => match reply.held {
            true => ReservationStatus::Granted,
            false => ReservationStatus::Denied,
        },
        _ if left => ReservationStatus::Unknown,
        _ => ReservationStatus::Denied,
    }
}

const RELEASE: &str = "/ivyward.engine.v1.Engine/Release";

/// A short call whose failure is nobody's outcome.
async fn unary<M: prost::Message + Default>(
    runtime: &RuntimeRef,
    link: &Arc<GrpcEngineClient>,
    path: &'static str,
    body: bytes::Bytes,
    shared: &NodeContext,
) -> Option<M> {
    let until = runtime
        .now()
        .saturating_add(2 * shared.settings.dial_timeout);
    let channel = link.channel(until).await.ok()?;
    let mut call = channel.call_before(path, body, Some(until)).await.ok()?;
    let reply = before(runtime, until, call.next::<M>()).await;
    drop(call);
    link.call_ended();
    reply?.ok()?
}
