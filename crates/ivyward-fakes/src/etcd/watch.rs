//! The watch service: streams of changes, with progress, fragments and cancellation.

use super::server::{ResponseStream, StoreService};
use super::state::StoreState;
use super::StoreOutput;
use futures_lite::StreamExt;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::{event::EventType, Event};
use ivyward_runtime::{Micros, RuntimeExt};
use pb::watch_server::Watch;
use tonic::{Request, Response, Status};

/// Maximum number of events in one response of a fragmented watch.
const EVENTS_PER_FRAGMENT: usize = 100;

#[tonic::async_trait]
impl Watch for StoreService {
    type WatchStream = ResponseStream<pb::WatchResponse>;
    async fn watch(
        &self,
        request: Request<tonic::Streaming<pb::WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (sender, receiver) = async_channel::bounded(64);
        let (service, mut requests) = (self.clone(), request.into_inner());
        self.runtime.run(async move {
            let mut next_id = 0;
            while let Some(Ok(request)) = requests.next().await {
                use pb::watch_request::RequestUnion;
                match request.request_union {
                    Some(RequestUnion::CreateRequest(create)) => {
                        let id = next_id;
                        next_id += 1;
                        let (watch_service, sender) = (service.clone(), sender.clone());
                        service
                            .runtime
                            .run(OpenWatch::run(watch_service, create, id, sender));
                    }
                    Some(RequestUnion::ProgressRequest(_)) => {
                        let header = service.shared.lock().header();
                        let progress = pb::WatchResponse {
                            header,
                            watch_id: -1,
                            ..Default::default()
                        };
                        let _ = sender.send(Ok(progress)).await;
                    }
                    // Clients open one watch per stream, so cancelling it ends the stream.
                    Some(RequestUnion::CancelRequest(_)) | None => break,
                }
            }
        });
        Ok(Response::new(receiver.boxed()))
    }
}

/// Sends a watch's responses to its stream.
type ResponseSender = async_channel::Sender<Result<pb::WatchResponse, Status>>;

/// Interval, in microseconds, at which an idle watch checks whether its client has disconnected.
const CLIENT_CHECK_INTERVAL: Micros = 100_000;

/// The next action of a watch.
enum WatchStep {
    /// Sends these events, possibly none.
    Send(Option<pb::ResponseHeader>, Vec<Event>),
    /// Sends this response and ends.
    Cancel(pb::WatchResponse),
}

/// The state of one open watch.
struct OpenWatch {
    service: StoreService,
    create: pb::WatchCreateRequest,
    watch_id: i64,
    sender: ResponseSender,
    /// First revision that has not been sent yet.
    next_revision: i64,
    /// The store's cluster id when the watch began. The watch ends when it changes.
    cluster: u64,
    /// The store's count of cancellations when the watch began. The watch ends when it changes.
    cancel_watches: u64,
}

impl OpenWatch {
    /// Serves one watch until it is cancelled or its client disconnects.
    async fn run(
        service: StoreService,
        create: pb::WatchCreateRequest,
        watch_id: i64,
        sender: ResponseSender,
    ) {
        let (mut watch, header) = OpenWatch::begin(service, create, watch_id, sender);
        let created = pb::WatchResponse {
            header,
            created: true,
            ..Default::default()
        };
        if watch.send(created).await.is_err() {
            return;
        }
        loop {
            let change = watch.service.shared.changed.listen();
            let (header, events) = match watch.next_step() {
                WatchStep::Send(header, events) => (header, events),
                WatchStep::Cancel(last) => {
                    let _ = watch.send(last).await;
                    return;
                }
            };
            if !events.is_empty() {
                watch.wait_for_delay().await;
            }
            if watch.send_events(header, &events).await.is_err() {
                return;
            }
            let disconnected = futures_lite::future::or(
                async {
                    change.await;
                    false
                },
                async {
                    watch.wait_for_disconnect().await;
                    true
                },
            );
            if disconnected.await {
                return;
            }
            watch.wait_for_batch_interval().await;
        }
    }

    fn begin(
        service: StoreService,
        create: pb::WatchCreateRequest,
        watch_id: i64,
        sender: ResponseSender,
    ) -> (OpenWatch, Option<pb::ResponseHeader>) {
        let (next_revision, cancel_watches, cluster, header) = {
            let state = service.shared.lock();
            let next = if create.start_revision > 0 {
                create.start_revision
            } else {
                state.revision + 1
            };
            (next, state.cancel_watches, state.cluster, state.header())
        };
        let watch = OpenWatch {
            service,
            create,
            watch_id,
            sender,
            next_revision,
            cluster,
            cancel_watches,
        };
        (watch, header)
    }

    async fn send(
        &self,
        response: pb::WatchResponse,
    ) -> Result<(), async_channel::SendError<Result<pb::WatchResponse, Status>>> {
        let watch_id = self.watch_id;
        self.sender
            .send(Ok(pb::WatchResponse {
                watch_id,
                ..response
            }))
            .await
    }

    fn next_step(&mut self) -> WatchStep {
        let state = self.service.shared.lock();
        let header = state.header();
        if state.cluster != self.cluster || state.cancel_watches != self.cancel_watches {
            return WatchStep::Cancel(pb::WatchResponse {
                header,
                canceled: true,
                cancel_reason: "etcdserver: no leader".into(),
                ..Default::default()
            });
        }
        if self.next_revision <= state.compacted {
            return WatchStep::Cancel(pb::WatchResponse {
                header,
                canceled: true,
                compact_revision: state.compacted,
                cancel_reason: "etcdserver: mvcc: required revision has been compacted".into(),
                ..Default::default()
            });
        }
        if state.faults.suppress_watch_events {
            return WatchStep::Send(header, vec![]);
        }
        let events = self.new_events(&state);
        self.next_revision = state.revision + 1;
        WatchStep::Send(header, events)
    }

    /// The events of the watched range since the last response, without those the client filters out.
    fn new_events(&self, state: &StoreState) -> Vec<Event> {
        let create = &self.create;
        let is_wanted = |event: &&Event| {
            let filter = match event.r#type() {
                EventType::Put => pb::watch_create_request::FilterType::Noput,
                EventType::Delete => pb::watch_create_request::FilterType::Nodelete,
            };
            event.kv.as_ref().is_some_and(|kv| {
                kv.mod_revision >= self.next_revision
                    && StoreState::in_range(&kv.key, &create.key, &create.range_end)
            }) && !create.filters.contains(&filter.into())
        };
        let to_sent_event = |event: &Event| Event {
            prev_kv: event.prev_kv.clone().filter(|_| create.prev_kv),
            ..event.clone()
        };
        state
            .history
            .iter()
            .filter(is_wanted)
            .map(to_sent_event)
            .collect()
    }

    async fn send_events(
        &self,
        header: Option<pb::ResponseHeader>,
        events: &[Event],
    ) -> Result<(), async_channel::SendError<Result<pb::WatchResponse, Status>>> {
        let fragment_size = if self.create.fragment {
            EVENTS_PER_FRAGMENT
        } else {
            usize::MAX
        };
        for (index, part) in events.chunks(fragment_size).enumerate() {
            let fragment = (index + 1).saturating_mul(fragment_size) < events.len();
            // Reported before the response is sent, so that no client sees an event earlier than the observer.
            self.service.report(StoreOutput::Events(part));
            let response = pb::WatchResponse {
                header,
                fragment,
                events: part.to_vec(),
                ..Default::default()
            };
            self.send(response).await?;
        }
        Ok(())
    }

    async fn wait_for_delay(&self) {
        let delay = {
            let faults = &self.service.shared.lock().faults;
            faults
                .watch_delays
                .get(self.service.endpoint)
                .copied()
                .unwrap_or(0)
        };
        if delay > 0 {
            self.service.runtime.sleep(delay).await;
        }
    }

    /// Waits for the interval whose events are sent in one response.
    async fn wait_for_batch_interval(&self) {
        let interval = self.service.shared.lock().faults.batch_interval;
        if interval > 0 {
            self.service.runtime.sleep(interval).await;
        }
    }

    async fn wait_for_disconnect(&self) {
        while !self.sender.is_closed() {
            self.service.runtime.sleep(CLIENT_CHECK_INTERVAL).await;
        }
    }
}
