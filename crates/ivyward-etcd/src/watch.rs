//! What happened after a revision, or that something was missed.

use crate::{mvccpb, prefix_end, rpc, told, EtcdError};
use http::HeaderMap;
use ivyward_grpc::{encode, Call, Channel};

/// Most events that fragments of one response may add up to.
const MOST_EVENTS: usize = 1 << 20;

/// What a watch tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Changes in the order of their revisions; all of a revision come in one notice.
    Events {
        /// The store's revision when this was sent.
        revision: i64,
        /// The changes.
        events: Vec<mvccpb::Event>,
    },
    /// Nothing was missed up to this revision.
    Progress(i64),
    /// The revision asked for is gone; list anew. The first one that is still there.
    Compacted(i64),
    /// The store ended the watch.
    Cancelled(String),
}

/// A watch over a prefix. After any error or end, something may have been missed.
pub struct Watcher {
    call: Call,
    cluster: Option<u64>,
    /// Parts of a response that has not come to its end.
    parts: Vec<mvccpb::Event>,
}

impl Watcher {
    pub(crate) async fn begin(
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
        let union = Some(rpc::watch_request::RequestUnion::CreateRequest(create));
        let ask = rpc::WatchRequest {
            request_union: union,
        };
        let call = channel
            .open("/etcdserverpb.Watch/Watch", encode(&ask), headers)
            .await
            .map_err(told)?;
        Ok(Watcher {
            call,
            cluster: None,
            parts: Vec::new(),
        })
    }

    /// Asks the store to say up to which revision all was told. The answer comes as [`Notice::Progress`].
    pub fn ask_progress(&mut self) {
        let union = rpc::watch_request::RequestUnion::ProgressRequest(rpc::WatchProgressRequest {});
        self.call.send(encode(&rpc::WatchRequest {
            request_union: Some(union),
        }));
    }

    /// Which store it watches, once it answered.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }

    /// What happens next.
    ///
    /// # Errors
    /// [`EtcdError`] when the watch broke.
    pub async fn next(&mut self) -> Result<Notice, EtcdError> {
        loop {
            let response = self.call.next::<rpc::WatchResponse>().await.map_err(told)?;
            let response =
                response.ok_or_else(|| EtcdError::Broken("the store closed the watch".into()))?;
            let header = response.header.unwrap_or_default();
            if header.cluster_id != 0
                && *self.cluster.get_or_insert(header.cluster_id) != header.cluster_id
            {
                return Err(EtcdError::Nonsense(
                    "another store went on with the watch".into(),
                ));
            }
            if response.compact_revision > 0 {
                return Ok(Notice::Compacted(response.compact_revision));
            }
            if response.canceled {
                return Ok(Notice::Cancelled(response.cancel_reason));
            }
            if self.parts.len() + response.events.len() > MOST_EVENTS {
                return Err(EtcdError::Nonsense(format!(
                    "over {MOST_EVENTS} events in one response"
                )));
            }
            self.parts.extend(response.events);
            if response.fragment || response.created && self.parts.is_empty() {
                continue;
            }
            let events = std::mem::take(&mut self.parts);
            return Ok(match events.is_empty() {
                true => Notice::Progress(header.revision),
                false => Notice::Events {
                    revision: header.revision,
                    events,
                },
            });
        }
    }
}
