//! Dispatch of calls by service, authentication, and the key-value service.

use super::state::{SharedState, StoreState};
use super::StoreOutput;
use futures_lite::Stream;
use hyper::body::Incoming;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_runtime::{Micros, RuntimeRef};
use pb::auth_server::{Auth, AuthServer};
use pb::kv_server::{Kv, KvServer};
use pb::lease_server::LeaseServer;
use pb::watch_server::WatchServer;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, PoisonError};
use std::task::{Context, Poll};
use tonic::{Request, Response, Status};

/// Serves the calls that arrive at one endpoint.
#[derive(Clone)]
pub(super) struct StoreService {
    pub(super) shared: Arc<SharedState>,
    pub(super) runtime: RuntimeRef,
    pub(super) endpoint: usize,
}

type HttpResponse = http::Response<tonic::body::Body>;

pub(super) type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Dispatches by the service in the request path.
impl tonic::codegen::Service<http::Request<Incoming>> for StoreService {
    type Response = HttpResponse;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Self::Error>> + Send>>;
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Incoming>) -> Self::Future {
        let service_name = request
            .uri()
            .path()
            .split('/')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        let service = self.clone();
        Box::pin(async move {
            let hangs = service.shared.lock().faults.hang;
            if hangs {
                std::future::pending::<()>().await;
            }
            let authenticated = service.check_token(&service_name, request.headers());
            if let Err(status) = authenticated {
                return Ok(status.into_http());
            }
            match service_name.as_str() {
                "etcdserverpb.KV" => KvServer::new(service).call(request).await,
                "etcdserverpb.Watch" => WatchServer::new(service).call(request).await,
                "etcdserverpb.Lease" => LeaseServer::new(service).call(request).await,
                "etcdserverpb.Auth" => AuthServer::new(service).call(request).await,
                _ => Ok(Status::unimplemented("unknown service").into_http()),
            }
        })
    }
}

impl StoreService {
    /// Calls the observer with what is about to be sent.
    pub(super) fn report(&self, output: StoreOutput<'_>) {
        if self.shared.lock().faults.half_open {
            // A half-open connection delivers nothing to the client.
            return;
        }
        let observer = self
            .shared
            .observer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some(observer) = observer {
            observer(self.endpoint, output);
        }
    }

    /// Checks the token of a call, unless no login is required or the call is itself a login.
    fn check_token(&self, service: &str, headers: &http::HeaderMap) -> Result<(), Status> {
        let state = self.shared.lock();
        let (required, (number, expires_at)) = (state.faults.login.is_some(), state.token);
        // `token` is the API's own header; `authorization` is the one that etcd's HTTP gateway forwards.
        let presented = headers
            .get("token")
            .or_else(|| headers.get("authorization"));
        let presented = presented.and_then(|t| t.to_str().ok());
        let valid = number > 0
            && presented == Some(&format!("token.{number}")[..])
            && self.runtime.now() < expires_at;
        match !required || service == "etcdserverpb.Auth" || valid {
            true => Ok(()),
            false => Err(Status::unauthenticated("etcdserver: invalid auth token")),
        }
    }

    /// Applies a change at the next revision. The revision advances only if the change recorded an event.
    fn write<T>(
        &self,
        change: impl FnOnce(&mut StoreState, i64) -> Result<T, Status>,
    ) -> Result<(T, Option<pb::ResponseHeader>), Status> {
        self.shared.change(|state| {
            let (next, before) = (state.revision + 1, state.history.len());
            let done = change(state, next)?;
            if state.history.len() > before {
                state.revision = next;
            }
            Ok((done, state.header()))
        })
    }
}

#[tonic::async_trait]
impl Kv for StoreService {
    async fn range(
        &self,
        request: Request<pb::RangeRequest>,
    ) -> Result<Response<pb::RangeResponse>, Status> {
        let response = {
            let state = self.shared.lock();
            let stale_revision = state
                .faults
                .stale_revisions
                .get(self.endpoint)
                .copied()
                .unwrap_or(0);
            match request.get_ref().revision {
                0 if stale_revision > 0 => {
                    let stale_request = pb::RangeRequest {
                        revision: stale_revision,
                        ..request.get_ref().clone()
                    };
                    let mut response = state.range(&stale_request)?;
                    response
                        .header
                        .iter_mut()
                        .for_each(|h| h.revision = stale_revision);
                    response
                }
                _ => state.range(request.get_ref())?,
            }
        };
        self.report(StoreOutput::List(&response.kvs));
        Ok(Response::new(response))
    }

    async fn put(
        &self,
        request: Request<pb::PutRequest>,
    ) -> Result<Response<pb::PutResponse>, Status> {
        let (done, header) =
            self.write(|state, revision| state.put(request.get_ref(), revision))?;
        Ok(Response::new(pb::PutResponse { header, ..done }))
    }

    async fn delete_range(
        &self,
        request: Request<pb::DeleteRangeRequest>,
    ) -> Result<Response<pb::DeleteRangeResponse>, Status> {
        let (done, header) =
            self.write(|state, revision| Ok(state.delete(request.get_ref(), revision)))?;
        Ok(Response::new(pb::DeleteRangeResponse { header, ..done }))
    }

    async fn txn(
        &self,
        request: Request<pb::TxnRequest>,
    ) -> Result<Response<pb::TxnResponse>, Status> {
        let (done, header) =
            self.write(|state, revision| state.txn(request.get_ref(), revision))?;
        Ok(Response::new(pb::TxnResponse { header, ..done }))
    }

    async fn compact(
        &self,
        request: Request<pb::CompactionRequest>,
    ) -> Result<Response<pb::CompactionResponse>, Status> {
        let revision = request.get_ref().revision;
        self.shared.change(|state| {
            if revision > state.revision {
                return Err(Status::out_of_range(
                    "etcdserver: mvcc: required revision is a future revision",
                ));
            }
            if revision <= state.compacted {
                return Err(Status::out_of_range(
                    "etcdserver: mvcc: required revision has been compacted",
                ));
            }
            state.compact(revision);
            Ok(Response::new(pb::CompactionResponse {
                header: state.header(),
            }))
        })
    }
}

#[tonic::async_trait]
impl Auth for StoreService {
    async fn authenticate(
        &self,
        request: Request<pb::AuthenticateRequest>,
    ) -> Result<Response<pb::AuthenticateResponse>, Status> {
        let mut state = self.shared.lock();
        let presented = Some((
            request.get_ref().name.clone(),
            request.get_ref().password.clone(),
        ));
        match state.faults.login {
            Some(_) if state.faults.login == presented => {
                let ttl = if state.faults.token_ttl > 0 {
                    state.faults.token_ttl
                } else {
                    Micros::MAX
                };
                state.token = (state.token.0 + 1, self.runtime.now().saturating_add(ttl));
                let token = format!("token.{}", state.token.0);
                Ok(Response::new(pb::AuthenticateResponse {
                    header: state.header(),
                    token,
                }))
            }
            Some(_) => Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            )),
            None => Err(Status::failed_precondition(
                "etcdserver: authentication is not enabled",
            )),
        }
    }
}
