//! Transactions: comparisons, and the branch of operations they select.

use super::state::StoreState;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::KeyValue;
use tonic::Status;

impl StoreState {
    pub(super) fn comparison_succeeds(&self, compare: &pb::Compare) -> bool {
        use pb::compare::{CompareResult, TargetUnion};
        let missing_key = KeyValue::default();
        let matches = |kv: &KeyValue| {
            let order = match &compare.target_union {
                Some(TargetUnion::Version(v)) => kv.version.cmp(v),
                Some(TargetUnion::CreateRevision(v)) => kv.create_revision.cmp(v),
                Some(TargetUnion::ModRevision(v)) => kv.mod_revision.cmp(v),
                Some(TargetUnion::Value(v)) => kv.value.cmp(v),
                Some(TargetUnion::Lease(v)) => kv.lease.cmp(v),
                None => return false,
            };
            match compare.result() {
                CompareResult::Equal => order.is_eq(),
                CompareResult::Greater => order.is_gt(),
                CompareResult::Less => order.is_lt(),
                CompareResult::NotEqual => order.is_ne(),
            }
        };
        if compare.range_end.is_empty() {
            return matches(self.keys.get(&compare.key).unwrap_or(&missing_key));
        }
        let in_range =
            |kv: &&KeyValue| StoreState::in_range(&kv.key, &compare.key, &compare.range_end);
        self.keys.values().filter(in_range).all(matches)
    }

    pub(super) fn txn(
        &mut self,
        request: &pb::TxnRequest,
        revision: i64,
    ) -> Result<pb::TxnResponse, Status> {
        use pb::request_op::Request as OpRequest;
        use pb::response_op::Response as OpResponse;
        let succeeded = request.compare.iter().all(|c| self.comparison_succeeds(c));
        let mut responses = Vec::new();
        for op in if succeeded {
            &request.success
        } else {
            &request.failure
        } {
            let response = match &op.request {
                Some(OpRequest::RequestRange(range)) => {
                    OpResponse::ResponseRange(self.range(range)?)
                }
                Some(OpRequest::RequestPut(put)) => {
                    OpResponse::ResponsePut(self.put(put, revision)?)
                }
                Some(OpRequest::RequestDeleteRange(delete)) => {
                    OpResponse::ResponseDeleteRange(self.delete(delete, revision))
                }
                Some(OpRequest::RequestTxn(txn)) => {
                    OpResponse::ResponseTxn(self.txn(txn, revision)?)
                }
                None => continue,
            };
            responses.push(pb::ResponseOp {
                response: Some(response),
            });
        }
        Ok(pb::TxnResponse {
            header: None,
            succeeded,
            responses,
        })
    }
}
