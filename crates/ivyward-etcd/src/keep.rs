//! Holds a key under a lease for as long as its process lives: what a registration is.

use crate::{rpc, Client, EtcdError};
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};

/// What became of the key.
#[derive(Clone, Debug, PartialEq)]
pub enum Kept {
    /// It was written, under this lease.
    Written(i64),
    /// Someone changed its value; the new one is kept from now on.
    Changed,
    /// Something failed, and is tried again.
    Trouble(EtcdError),
    /// Someone deleted it while its lease lived: that is not undone, and the keeper ended.
    Deleted,
    /// Another lease holds it: a later process of the same name. The keeper ended.
    Taken(i64),
}

/// What a lease and its key look like.
enum Seen {
    /// The key is there, under our lease.
    Ours(Vec<u8>),
    Absent,
    Other(i64),
}

impl Client {
    /// Writes a key under a lease of so many seconds and keeps both alive, telling what happens, until it is deleted or
    /// taken by another. A lease that ended or was lost with its store is taken out anew, and the key written again with
    /// the value that it had last: who was told to drain does not come back as ready.
    pub async fn keep(
        &self,
        runtime: &RuntimeRef,
        key: &[u8],
        value: Vec<u8>,
        seconds: i64,
        mut told: impl FnMut(Kept),
    ) {
        let span = seconds.max(1) as u64 * 1_000_000;
        let (mut value, mut lease, mut first) = (value, 0, true);
        loop {
            let step = self
                .keep_once(key, &mut value, &mut lease, seconds, first, &mut told)
                .await;
            // A third of its life, not all keepers in one moment; sooner after a failure.
            let pause = match step {
                Ok(true) => span / 3,
                Ok(false) => return,
                Err(e) => {
                    told(Kept::Trouble(e));
                    span / 10
                }
            };
            first &= lease == 0;
            runtime
                .sleep((pause as f64 * (0.9 + 0.2 * runtime.unit())) as Micros)
                .await;
        }
    }

    /// One round. `false` ends the keeping.
    async fn keep_once(
        &self,
        key: &[u8],
        value: &mut Vec<u8>,
        lease: &mut i64,
        seconds: i64,
        first: bool,
        told: &mut impl FnMut(Kept),
    ) -> Result<bool, EtcdError> {
        if *lease != 0 {
            let alive = self.renew(*lease).await? > 0;
            match self.seen(key, *lease).await? {
                Seen::Other(lease) => {
                    told(Kept::Taken(lease));
                    return Ok(false);
                }
                Seen::Ours(now) if alive => {
                    if now != *value {
                        *value = now;
                        told(Kept::Changed);
                    }
                    return Ok(true);
                }
                // Guards against a store that lost everything between the two calls: deleted is only what is missing
                // while its lease still lives.
                Seen::Absent if alive && self.renew(*lease).await? > 0 => {
                    told(Kept::Deleted);
                    return Ok(false);
                }
                // The lease is over: anew, below.
                Seen::Ours(_) | Seen::Absent => {}
            }
        }
        let granted = self.grant(seconds).await?;
        // The first time it takes the place of whatever an earlier process left; later only an empty one.
        let absent = rpc::Compare {
            result: rpc::compare::CompareResult::Equal.into(),
            target: rpc::compare::CompareTarget::Create.into(),
            key: key.into(),
            target_union: Some(rpc::compare::TargetUnion::CreateRevision(0)),
            ..rpc::Compare::default()
        };
        let put = rpc::PutRequest {
            key: key.into(),
            value: value.clone(),
            lease: granted,
            ..Default::default()
        };
        let put = rpc::RequestOp {
            request: Some(rpc::request_op::Request::RequestPut(put)),
        };
        let compare = if first { vec![] } else { vec![absent] };
        let written = self
            .txn(&rpc::TxnRequest {
                compare,
                success: vec![put],
                failure: vec![],
            })
            .await?;
        if !written.succeeded {
            return match self.seen(key, granted).await? {
                Seen::Other(lease) => {
                    told(Kept::Taken(lease));
                    Ok(false)
                }
                // It was our own, about to end: the next round sees.
                _ => Ok(true),
            };
        }
        *lease = granted;
        told(Kept::Written(granted));
        Ok(true)
    }

    async fn seen(&self, key: &[u8], lease: i64) -> Result<Seen, EtcdError> {
        let found = self
            .range(&rpc::RangeRequest {
                key: key.into(),
                ..Default::default()
            })
            .await?;
        Ok(match found.kvs.into_iter().next() {
            None => Seen::Absent,
            Some(kv) if kv.lease == lease => Seen::Ours(kv.value),
            Some(kv) => Seen::Other(kv.lease),
        })
    }
}
