//! Leases: grant, renewal, revocation and expiry.

use super::server::{ResponseStream, StoreService};
use super::state::StoreState;
use futures_lite::StreamExt;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::KeyValue;
use ivyward_runtime::Micros;
use pb::lease_server::Lease;
use tonic::{Request, Response, Status};

pub(super) struct GrantedLease {
    pub(super) ttl: i64,
    pub(super) expires_at: Micros,
}

impl StoreState {
    /// Revokes expired leases, each lease's keys in one revision. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Micros) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| self.revoke(*id));
        !expired.is_empty()
    }

    pub(super) fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .keys
            .values()
            .filter(|kv| kv.lease == id)
            .map(|kv| kv.key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(
                &pb::DeleteRangeRequest {
                    key,
                    ..Default::default()
                },
                self.revision,
            );
        }
    }
}

#[tonic::async_trait]
impl Lease for StoreService {
    type LeaseKeepAliveStream = ResponseStream<pb::LeaseKeepAliveResponse>;
    async fn lease_grant(
        &self,
        request: Request<pb::LeaseGrantRequest>,
    ) -> Result<Response<pb::LeaseGrantResponse>, Status> {
        let (ttl, requested_id) = (request.get_ref().ttl, request.get_ref().id);
        if ttl <= 0 {
            return Err(Status::out_of_range("etcdserver: too large lease TTL"));
        }
        let now = self.runtime.now();
        self.shared.change(|state| {
            state.next_lease += 1;
            let id = if requested_id != 0 {
                requested_id
            } else {
                state.next_lease
            };
            if state.leases.contains_key(&id) {
                return Err(Status::failed_precondition(
                    "etcdserver: lease already exists",
                ));
            }
            state.leases.insert(
                id,
                GrantedLease {
                    ttl,
                    expires_at: now + ttl as u64 * 1_000_000,
                },
            );
            Ok(Response::new(pb::LeaseGrantResponse {
                header: state.header(),
                id,
                ttl,
                error: String::new(),
            }))
        })
    }

    async fn lease_revoke(
        &self,
        request: Request<pb::LeaseRevokeRequest>,
    ) -> Result<Response<pb::LeaseRevokeResponse>, Status> {
        let id = request.get_ref().id;
        self.shared.change(|state| {
            if !state.leases.contains_key(&id) {
                return Err(Status::not_found("etcdserver: requested lease not found"));
            }
            state.revoke(id);
            Ok(Response::new(pb::LeaseRevokeResponse {
                header: state.header(),
            }))
        })
    }

    async fn lease_keep_alive(
        &self,
        request: Request<tonic::Streaming<pb::LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let service = self.clone();
        let responses = request.into_inner().map(move |request| {
            let (id, now) = (request?.id, service.runtime.now());
            let mut state = service.shared.lock();
            let header = state.header();
            state.renewals += 1;
            // 0 means that the lease has expired.
            let ttl = state.leases.get_mut(&id).map_or(0, |lease| {
                lease.expires_at = now + lease.ttl as u64 * 1_000_000;
                lease.ttl
            });
            Ok(pb::LeaseKeepAliveResponse { header, id, ttl })
        });
        Ok(Response::new(responses.boxed()))
    }

    async fn lease_time_to_live(
        &self,
        request: Request<pb::LeaseTimeToLiveRequest>,
    ) -> Result<Response<pb::LeaseTimeToLiveResponse>, Status> {
        let (id, now, state) = (request.get_ref().id, self.runtime.now(), self.shared.lock());
        let found = state.leases.get(&id);
        let of = |kv: &&KeyValue| request.get_ref().keys && kv.lease == id;
        Ok(Response::new(pb::LeaseTimeToLiveResponse {
            header: state.header(),
            id,
            ttl: found.map_or(-1, |l| {
                (l.expires_at.saturating_sub(now) / 1_000_000) as i64
            }),
            granted_ttl: found.map_or(0, |l| l.ttl),
            keys: state
                .keys
                .values()
                .filter(of)
                .map(|kv| kv.key.clone())
                .collect(),
        }))
    }
}
