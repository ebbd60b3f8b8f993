//! Reads, writes and transactions.

use crate::client::{Client, Idempotency};
use crate::error::EtcdError;
use crate::{mvccpb, rpc};

/// All keys with a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Id of the etcd cluster.
    pub cluster: u64,
    /// Revision of all keys in the list. A watch that continues the list starts at the next revision.
    pub revision: i64,
    /// The keys with their values, ordered by key.
    pub kvs: Vec<mvccpb::KeyValue>,
}

impl List {
    /// Takes the cluster and revision of the first page; later pages must come from the same cluster.
    fn check_header(&mut self, header: Option<rpc::ResponseHeader>) -> Result<(), EtcdError> {
        let header =
            header.ok_or_else(|| EtcdError::invalid("a range response without a header"))?;
        if self.revision == 0 {
            (self.cluster, self.revision) = (header.cluster_id, header.revision);
        } else if header.cluster_id != self.cluster {
            return Err(EtcdError::invalid(
                "pages of one list came from different clusters",
            ));
        }
        Ok(())
    }
}

/// Returns the exclusive end of the range of all keys with a prefix. As etcd defines it, this is the prefix up to its last byte
/// that is not 0xff, with that byte incremented. If there is no such byte, it is a single zero byte, which stands for no end.
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
    /// Reads a range of keys. Retried at the next endpoint after a failure.
    ///
    /// # Errors
    /// Returns [`EtcdError`] if no endpoint returned a valid response.
    pub async fn range(
        &self,
        request: &rpc::RangeRequest,
    ) -> Result<rpc::RangeResponse, EtcdError> {
        self.call("/etcdserverpb.KV/Range", request, Idempotency::Idempotent)
            .await
    }

    /// Reads all keys with a prefix, in pages at the revision of the first page.
    ///
    /// # Errors
    /// Returns [`EtcdError`] if a page could not be read or there are more than [`EtcdOptions::max_keys`](crate::EtcdOptions)
    /// keys. If the revision was compacted between two pages, the list has to be read again.
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
                    "more than {limit} keys with the prefix"
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

    /// Writes a key, under a lease unless `lease` is 0. Returns the revision of the write. Not retried.
    ///
    /// # Errors
    /// Returns [`EtcdError`]. After `Broken` or `Timeout` the key may have been written.
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

    /// Deletes a key. Returns the number of deleted keys, 0 if the key did not exist. Not retried.
    ///
    /// # Errors
    /// Returns [`EtcdError`]. After `Broken` or `Timeout` the key may have been deleted.
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

    /// Executes a transaction. Not retried.
    ///
    /// # Errors
    /// Returns [`EtcdError`]. After `Broken` or `Timeout` the transaction may have been executed.
    pub async fn txn(&self, request: &rpc::TxnRequest) -> Result<rpc::TxnResponse, EtcdError> {
        self.call("/etcdserverpb.KV/Txn", request, Idempotency::NonIdempotent)
            .await
    }
}

#[cfg(test)]
mod tests;
