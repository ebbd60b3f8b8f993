//! Watches, which deliver the changes after a revision or report that some may have been missed.

use crate::client::Client;
use crate::error::EtcdError;
use crate::kv::prefix_end;
use crate::{mvccpb, rpc};
use http::HeaderMap;
use ivyward_grpc::{encode, Call, Channel};

/// Maximum number of events in all fragments of one response together.
const MAX_EVENTS: usize = 1 << 20;

/// A notification of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// Changes, ordered by revision. All changes of one revision are in the same notification.
    Events {
        /// Revision of the store at the time of sending. It may be higher than that of the last event.
        revision: i64,
        /// The changes.
        events: Vec<mvccpb::Event>,
    },
    /// All changes up to this revision have been delivered.
    Progress(i64),
    /// The requested revision was compacted, and the keys have to be listed again. Has the oldest revision that still exists.
    Compacted(i64),
    /// The store cancelled the watch for this reason.
    Cancelled(String),
}

/// A watch on all keys with a prefix. After an error or its end, changes may have been missed.
pub struct Watcher {
    call: Call,
    /// Id of the cluster that responded; `None` before the first response.
    cluster: Option<u64>,
    /// Events of the fragments received so far of an incomplete response.
    fragments: Vec<mvccpb::Event>,
}

impl Client {
    /// Watches all keys with a prefix, starting with the changes of revision `from`.
    ///
    /// # Errors
    /// Returns [`EtcdError`] if the store cannot be reached. A compacted revision is not an error here: the first notification is then
    /// [`Notification::Compacted`].
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

    /// Requests a progress notification. It arrives as [`Notification::Progress`].
    pub fn request_progress(&mut self) {
        let union = rpc::watch_request::RequestUnion::ProgressRequest(rpc::WatchProgressRequest {});
        self.call.send(encode(&rpc::WatchRequest {
            request_union: Some(union),
        }));
    }

    /// Returns the id of the etcd cluster, once the store has responded.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }

    /// Returns the next notification.
    ///
    /// # Errors
    /// Returns [`EtcdError`] if the connection failed, the store closed the watch or a response is invalid.
    pub async fn next(&mut self) -> Result<Notification, EtcdError> {
        loop {
            let response = self.call.next::<rpc::WatchResponse>().await?;
            let response =
                response.ok_or_else(|| EtcdError::Broken("the store closed the watch".into()))?;
            if let Some(notification) = self.receive(response)? {
                return Ok(notification);
            }
        }
    }

    /// Processes a response. Returns `None` while more fragments follow, and for the confirmation of a new watch.
    fn receive(&mut self, response: rpc::WatchResponse) -> Result<Option<Notification>, EtcdError> {
        let header = response.header.unwrap_or_default();
        self.check_cluster(header.cluster_id)?;
        if response.compact_revision > 0 {
            return Ok(Some(Notification::Compacted(response.compact_revision)));
        }
        if response.canceled {
            return Ok(Some(Notification::Cancelled(response.cancel_reason)));
        }
        if self.fragments.len() + response.events.len() > MAX_EVENTS {
            return Err(EtcdError::invalid(format!(
                "more than {MAX_EVENTS} events in one response"
            )));
        }
        self.fragments.extend(response.events);
        if response.fragment || response.created && self.fragments.is_empty() {
            return Ok(None);
        }
        let revision = header.revision;
        let events = std::mem::take(&mut self.fragments);
        if events.is_empty() {
            return Ok(Some(Notification::Progress(revision)));
        }
        Ok(Some(Notification::Events { revision, events }))
    }

    /// Rejects a response of another cluster than that of the first response. A response with id 0 names no cluster.
    fn check_cluster(&mut self, cluster: u64) -> Result<(), EtcdError> {
        if cluster != 0 && *self.cluster.get_or_insert(cluster) != cluster {
            return Err(EtcdError::invalid(
                "responses of one watch came from different clusters",
            ));
        }
        Ok(())
    }
}
