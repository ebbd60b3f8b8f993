//! Watches: the changes after a revision, or the news that some may have been missed.

use crate::client::Client;
use crate::error::EtcdError;
use crate::kv::prefix_end;
use crate::{mvccpb, rpc};
use http::HeaderMap;
use ivyward_grpc::{encode, Call, Channel};

/// Largest number of events that the fragments of one response may add up to.
const MAX_EVENTS: usize = 1 << 20;

/// What a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Changes in the order of their revisions; all changes of a revision come in one notice.
    Events {
        /// The store's revision when the notice was sent.
        revision: i64,
        /// The changes.
        events: Vec<mvccpb::Event>,
    },
    /// All changes up to this revision have been delivered.
    Progress(i64),
    /// The requested revision was compacted; the keys are to be listed anew. The oldest revision that still exists.
    Compacted(i64),
    /// The store ended the watch, for this reason.
    Cancelled(String),
}

/// A watch over a prefix. After any error or end, changes may have been missed.
pub struct Watcher {
    call: Call,
    cluster: Option<u64>,
    /// Events of the fragments received of an incomplete response.
    fragments: Vec<mvccpb::Event>,
}

impl Client {
    /// Watches all keys of a prefix, starting with the changes of revision `from`.
    ///
    /// # Errors
    /// [`EtcdError`] when the store cannot be reached. Whether the revision still exists shows in the first notice.
    pub async fn watch(&self, prefix: &[u8], from: i64) -> Result<Watcher, EtcdError> {
        let channel = self.channel().await?;
        let headers = self.headers(&channel).await?;
        Watcher::start(&channel, headers, prefix, from).await
    }
}

impl Watcher {
    async fn start(
        channel: &Channel,
        headers: HeaderMap,
        prefix: &[u8],
        from: i64,
    ) -> Result<Watcher, EtcdError> {
        let create = rpc::WatchCreateRequest {
            key: prefix.into(),
            range_end: prefix_end(prefix),
            start_revision: from,
            progress_notify: true,
            fragment: true,
            ..rpc::WatchCreateRequest::default()
        };
        let union = rpc::watch_request::RequestUnion::CreateRequest(create);
        let request = rpc::WatchRequest {
            request_union: Some(union),
        };
        let call = channel
            .client_streaming_call("/etcdserverpb.Watch/Watch", encode(&request), headers)
            .await?;
        Ok(Watcher {
            call,
            cluster: None,
            fragments: Vec::new(),
        })
    }

    /// Requests the revision up to which all changes have been delivered. It arrives as [`Notice::Progress`].
    pub fn request_progress(&mut self) {
        let union = rpc::watch_request::RequestUnion::ProgressRequest(rpc::WatchProgressRequest {});
        self.call.send(encode(&rpc::WatchRequest {
            request_union: Some(union),
        }));
    }

    /// The id of the store's cluster, once the store has responded.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }

    /// The next notice.
    ///
    /// # Errors
    /// [`EtcdError`] when the watch broke.
    pub async fn next(&mut self) -> Result<Notice, EtcdError> {
        loop {
            let response = self.call.next::<rpc::WatchResponse>().await?;
            let response =
                response.ok_or_else(|| EtcdError::Broken("the store closed the watch".into()))?;
            if let Some(notice) = self.receive(response)? {
                return Ok(notice);
            }
        }
    }

    /// Handles a response. Returns `None` while more fragments follow, and for the confirmation of a new watch.
    fn receive(&mut self, response: rpc::WatchResponse) -> Result<Option<Notice>, EtcdError> {
        let header = response.header.unwrap_or_default();
        self.check_cluster(header.cluster_id)?;
        if response.compact_revision > 0 {
            return Ok(Some(Notice::Compacted(response.compact_revision)));
        }
        if response.canceled {
            return Ok(Some(Notice::Cancelled(response.cancel_reason)));
        }
        if self.fragments.len() + response.events.len() > MAX_EVENTS {
            return Err(EtcdError::invalid(format!(
                "over {MAX_EVENTS} events in one response"
            )));
        }
        self.fragments.extend(response.events);
        if response.fragment || response.created && self.fragments.is_empty() {
            return Ok(None);
        }
        let revision = header.revision;
        let events = std::mem::take(&mut self.fragments);
        if events.is_empty() {
            return Ok(Some(Notice::Progress(revision)));
        }
        Ok(Some(Notice::Events { revision, events }))
    }

    /// Rejects a response of another cluster than the one that the watch began with. An id of 0 states no cluster.
    fn check_cluster(&mut self, cluster: u64) -> Result<(), EtcdError> {
        if cluster != 0 && *self.cluster.get_or_insert(cluster) != cluster {
            return Err(EtcdError::invalid("another store went on with the watch"));
        }
        Ok(())
    }
}
