//! Leases, and registrations: keys that are kept alive under a lease.

use crate::client::{Client, Idempotency};
use crate::error::EtcdError;
use crate::rpc;
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};

/// Lease id of a key without a lease.
const NO_LEASE: i64 = 0;
/// gRPC status code for errors without a more specific code.
const UNKNOWN: u32 = 2;

/// What happened to a registered key.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// The key was written under this lease.
    Written(i64),
    /// Someone else changed the value of the key. The registration keeps the new value from now on.
    Changed,
    /// A call to the store failed. It will be retried.
    Failed(EtcdError),
    /// The key was deleted while its lease was alive. It is not written again, and the registration has ended.
    Deleted,
    /// The key belongs to another lease: a later process of the same name has written it. The registration has ended.
    Taken(i64),
}

impl LeaseEvent {
    fn ends_registration(&self) -> bool {
        matches!(self, LeaseEvent::Deleted | LeaseEvent::Taken(_))
    }
}

/// The state of a key, seen from one lease.
enum KeyState {
    /// The key exists under this lease, with this value.
    Owned(Vec<u8>),
    Absent,
    /// The key exists under another lease.
    OwnedByOther(i64),
}

impl Client {
    /// Creates a lease with a time to live in seconds. Returns the id of the lease.
    ///
    /// # Errors
    /// Returns [`EtcdError`] if the lease was not granted.
    pub async fn grant(&self, ttl_seconds: i64) -> Result<i64, EtcdError> {
        let request = rpc::LeaseGrantRequest {
            ttl: ttl_seconds,
            id: 0,
        };
        let path = "/etcdserverpb.Lease/LeaseGrant";
        let response: rpc::LeaseGrantResponse =
            self.call(path, &request, Idempotency::Idempotent).await?;
        if !response.error.is_empty() {
            return Err(EtcdError::Status {
                code: UNKNOWN,
                message: response.error,
            });
        }
        Ok(response.id)
    }

    /// Revokes a lease, which deletes its keys.
    ///
    /// # Errors
    /// Returns [`EtcdError`], also if the lease does not exist.
    pub async fn revoke(&self, lease: i64) -> Result<(), EtcdError> {
        let request = rpc::LeaseRevokeRequest { id: lease };
        let path = "/etcdserverpb.Lease/LeaseRevoke";
        let _: rpc::LeaseRevokeResponse =
            self.call(path, &request, Idempotency::Idempotent).await?;
        Ok(())
    }

    /// Renews a lease once. Returns the remaining time to live in seconds, or 0 if the lease has expired and its keys are
    /// deleted.
    ///
    /// # Errors
    /// Returns [`EtcdError`] if the store could not be asked.
    pub async fn renew(&self, lease: i64) -> Result<i64, EtcdError> {
        let request = rpc::LeaseKeepAliveRequest { id: lease };
        let path = "/etcdserverpb.Lease/LeaseKeepAlive";
        let response: rpc::LeaseKeepAliveResponse =
            self.call(path, &request, Idempotency::Idempotent).await?;
        Ok(response.ttl)
    }

    /// Writes a key under a lease and keeps both alive until the key is deleted or taken over by another lease.
    ///
    /// Calls `on_event` for each change. If the lease has expired or the store has lost it, the key is written again under a
    /// new lease. It gets its last value rather than `value`, so that an engine that was set to draining does not come back
    /// as ready.
    pub async fn keep_registered(
        &self,
        runtime: &RuntimeRef,
        key: &[u8],
        value: Vec<u8>,
        ttl_seconds: i64,
        mut on_event: impl FnMut(LeaseEvent),
    ) {
        let mut registration = Registration {
            client: self,
            key,
            value,
            lease: NO_LEASE,
            ttl_seconds,
        };
        let ttl = ttl_seconds.max(1) as u64 * 1_000_000;
        loop {
            // Refreshed after a third of the time to live, retried after a tenth.
            let (event, pause) = match registration.refresh().await {
                Ok(event) => (event, ttl / 3),
                Err(e) => (Some(LeaseEvent::Failed(e)), ttl / 10),
            };
            if let Some(event) = event {
                let ended = event.ends_registration();
                on_event(event);
                if ended {
                    return;
                }
            }
            // With jitter, so that registrations that started together are not refreshed at the same moment.
            let jitter = 0.9 + 0.2 * runtime.random_f64();
            runtime.sleep((pause as f64 * jitter) as Micros).await;
        }
    }
}

/// A key that is kept alive under a lease.
struct Registration<'a> {
    client: &'a Client,
    key: &'a [u8],
    value: Vec<u8>,
    /// Lease under which the key was last written; [`NO_LEASE`] before the first write.
    lease: i64,
    ttl_seconds: i64,
}

impl Registration<'_> {
    /// Renews the lease and checks the key, or writes the key under a new lease.
    async fn refresh(&mut self) -> Result<Option<LeaseEvent>, EtcdError> {
        if self.lease == NO_LEASE {
            return self.write_under_new_lease().await;
        }
        let alive = self.client.renew(self.lease).await? > 0;
        match self.key_state(self.lease).await? {
            KeyState::OwnedByOther(lease) => Ok(Some(LeaseEvent::Taken(lease))),
            KeyState::Owned(value) if alive => Ok(self.adopt_value(value)),
            // A key counts as deleted only if it is absent while its lease is still alive. The lease is renewed a second time
            // because the store may have lost all its data between the two calls above.
            KeyState::Absent if alive && self.client.renew(self.lease).await? > 0 => {
                Ok(Some(LeaseEvent::Deleted))
            }
            // The lease has expired.
            KeyState::Owned(_) | KeyState::Absent => self.write_under_new_lease().await,
        }
    }

    /// Adopts a value that someone else wrote.
    fn adopt_value(&mut self, value: Vec<u8>) -> Option<LeaseEvent> {
        if value == self.value {
            return None;
        }
        self.value = value;
        Some(LeaseEvent::Changed)
    }

    async fn write_under_new_lease(&mut self) -> Result<Option<LeaseEvent>, EtcdError> {
        let granted = self.client.grant(self.ttl_seconds).await?;
        let written = self.client.txn(&self.write_request(granted)).await?;
        if written.succeeded {
            self.lease = granted;
            return Ok(Some(LeaseEvent::Written(granted)));
        }
        match self.key_state(granted).await? {
            KeyState::OwnedByOther(lease) => Ok(Some(LeaseEvent::Taken(lease))),
            // The write was rejected because the key still existed, but it has been deleted since. The next refresh writes it.
            KeyState::Owned(_) | KeyState::Absent => Ok(None),
        }
    }

    /// Returns the transaction that writes the key. The first write replaces the key of an earlier process; later writes
    /// require that the key does not exist.
    fn write_request(&self, lease: i64) -> rpc::TxnRequest {
        let put = rpc::PutRequest {
            key: self.key.into(),
            value: self.value.clone(),
            lease,
            ..Default::default()
        };
        let put = rpc::RequestOp {
            request: Some(rpc::request_op::Request::RequestPut(put)),
        };
        let compare = match self.lease {
            NO_LEASE => vec![],
            _ => vec![key_is_absent(self.key)],
        };
        rpc::TxnRequest {
            compare,
            success: vec![put],
            failure: vec![],
        }
    }

    async fn key_state(&self, lease: i64) -> Result<KeyState, EtcdError> {
        let request = rpc::RangeRequest {
            key: self.key.into(),
            ..Default::default()
        };
        let found = self.client.range(&request).await?;
        Ok(match found.kvs.into_iter().next() {
            None => KeyState::Absent,
            Some(kv) if kv.lease == lease => KeyState::Owned(kv.value),
            Some(kv) => KeyState::OwnedByOther(kv.lease),
        })
    }
}

/// Returns the condition that a key does not exist.
fn key_is_absent(key: &[u8]) -> rpc::Compare {
    rpc::Compare {
        result: rpc::compare::CompareResult::Equal.into(),
        target: rpc::compare::CompareTarget::Create.into(),
        key: key.into(),
        target_union: Some(rpc::compare::TargetUnion::CreateRevision(0)),
        ..rpc::Compare::default()
    }
}
