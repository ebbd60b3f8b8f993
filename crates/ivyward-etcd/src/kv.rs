//! Reads, writes and transactions.

use crate::client::{Client, Idempotency};
use crate::error::EtcdError;
use crate::{mvccpb, rpc};

/// All keys of a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// The id of the store's cluster.
    pub cluster: u64,
    /// The revision of the whole list. A watch continues from the next one.
    pub revision: i64,
    /// The keys, in order.
    pub kvs: Vec<mvccpb::KeyValue>,
}

impl List {
    /// Takes the cluster and revision of the first page; later pages must come from the same cluster.
    fn check_header(&mut self, header: Option<rpc::ResponseHeader>) -> Result<(), EtcdError> {
        let header = header.ok_or_else(|| EtcdError::invalid("a range without a header"))?;
        if self.revision == 0 {
            (self.cluster, self.revision) = (header.cluster_id, header.revision);
        } else if header.cluster_id != self.cluster {
            return Err(EtcdError::invalid(
                "another store answered in the middle of a list",
            ));
        }
        Ok(())
    }
}

/// The end of the range of all keys with a prefix, as etcd defines it: the prefix with its last byte that is not 0xff
/// incremented, or a single zero byte, which stands for no end, if there is no such byte.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

impl Client {
    /// Reads a range of keys.
    ///
    /// # Errors
    /// [`EtcdError`].
    pub async fn range(
        &self,
        request: &rpc::RangeRequest,
    ) -> Result<rpc::RangeResponse, EtcdError> {
        self.call("/etcdserverpb.KV/Range", request, Idempotency::Idempotent)
            .await
    }

    /// Reads all keys of a prefix, in pages at the revision of the first one.
    ///
    /// # Errors
    /// [`EtcdError`]; among them a revision that was compacted between two pages, after which the list is to be read
    /// anew.
    pub async fn list(&self, prefix: &[u8]) -> Result<List, EtcdError> {
        let mut list = List::default();
        let (mut key, end) = (prefix.to_vec(), prefix_end(prefix));
        loop {
            let request = rpc::RangeRequest {
                key,
                range_end: end.clone(),
                limit: self.options.page_size,
                revision: list.revision,
                ..rpc::RangeRequest::default()
            };
            let page = self.range(&request).await?;
            list.check_header(page.header)?;
            if list.kvs.len() + page.kvs.len() > self.options.max_keys {
                let limit = self.options.max_keys;
                return Err(EtcdError::invalid(format!(
                    "over {limit} keys below the prefix"
                )));
            }
            let last = page.kvs.last().map(|kv| kv.key.clone());
            list.kvs.extend(page.kvs);
            match last {
                // The next page starts at the first key after the last one read.
                Some(last) if page.more => key = [&last[..], &[0]].concat(),
                _ => return Ok(list),
            }
        }
    }

    /// Writes a key, under a lease unless `lease` is 0. Returns the revision of the write.
    ///
    /// # Errors
    /// [`EtcdError`]; after `Broken` or `Timeout` the key may have been written.
    pub async fn put(&self, key: &[u8], value: &[u8], lease: i64) -> Result<i64, EtcdError> {
        let request = rpc::PutRequest {
            key: key.into(),
            value: value.into(),
            lease,
            ..rpc::PutRequest::default()
        };
        let path = "/etcdserverpb.KV/Put";
        let response: rpc::PutResponse = self
            .call(path, &request, Idempotency::NonIdempotent)
            .await?;
        Ok(response.header.map_or(0, |h| h.revision))
    }

    /// Deletes a key. Returns the number of deleted keys.
    ///
    /// # Errors
    /// [`EtcdError`]; after `Broken` or `Timeout` the key may have been deleted.
    pub async fn delete(&self, key: &[u8]) -> Result<i64, EtcdError> {
        let request = rpc::DeleteRangeRequest {
            key: key.into(),
            ..rpc::DeleteRangeRequest::default()
        };
        let path = "/etcdserverpb.KV/DeleteRange";
        let response: rpc::DeleteRangeResponse = self
            .call(path, &request, Idempotency::NonIdempotent)
            .await?;
        Ok(response.deleted)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// [`EtcdError`]; after `Broken` or `Timeout` it may have been run.
    pub async fn txn(&self, request: &rpc::TxnRequest) -> Result<rpc::TxnResponse, EtcdError> {
        self.call("/etcdserverpb.KV/Txn", request, Idempotency::NonIdempotent)
            .await
    }
}

#[cfg(test)]
mod tests;
