//! [`Node`], the handle with which its owner starts, uses and stops a node, and [`ResponseStream`], the response to a request.

use crate::context::NodeContext;
use crate::engines::{Call, Engine, Protocol};
use crate::metrics::Metrics;
use crate::peers::{self, PeerError, PeerHost, PeerOptions, PeersHandle};
use crate::recording::Recorder;
use crate::request::clients::ClientConnections;
use crate::request::driver::{Driver, DriverParts};
use crate::request::grpc::Grpc;
use crate::request::messages::{AcceptedRequest, DriverHandle, DriverMessage};
use crate::request::validation;
use crate::response::{FailureReason, FinalStatus, RejectReason, ResponsePart, TokenBuffer};
use crate::settings::{NodeSettings, SettingsError};
use futures_lite::future::poll_fn;
use ivyward_core::interface::{ListKind, Micros, Request, RequestId};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{timeout_at, RuntimeExt, RuntimeRef};
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The recording cannot be written.
    #[error("cannot start the recording: {0}")]
    Recording(#[from] std::io::Error),
}

/// Number of health checks that [`Node::open_connections`] runs concurrently.
const CONCURRENT_CHECKS: usize = 32;
/// Minimum time that a stopping node gives its clients to receive their last responses, in microseconds.
const MIN_FLUSH_TIME: Micros = 50_000;

/// A handle to a running node. Clones refer to the same node. The node runs until [`Node::stop`] or until its runtime ends.
#[derive(Clone)]
pub struct Node {
    pub(crate) context: Arc<NodeContext>,
    /// The open connections that the node's listeners have accepted.
    pub(crate) clients: Arc<ClientConnections>,
    /// Set by [`Node::start_peers`].
    pub(crate) peers: Arc<OnceLock<PeersHandle>>,
    driver: DriverHandle,
    done: async_channel::Receiver<()>,
}

impl Node {
    /// Starts a node whose engines speak `ivyward.engine.v1`. It has no engines until [`Node::update_endpoints`].
    ///
    /// The router's events and actions are written to `recording`, if there is one.
    ///
    /// # Errors
    /// [`StartError`] when a setting is invalid or the recording cannot be written.
    pub fn start(
        runtime: RuntimeRef,
        settings: NodeSettings,
        recording: Option<Box<dyn std::io::Write + Send>>,
    ) -> Result<Node, StartError> {
        let protocol = Arc::new(Grpc::new(&runtime, &settings));
        Node::start_with(runtime, settings, recording, protocol)
    }

    /// Starts a node whose engines speak another protocol.
    ///
    /// # Errors
    /// As for [`Node::start`].
    pub fn start_with(
        runtime: RuntimeRef,
        settings: NodeSettings,
        recording: Option<Box<dyn std::io::Write + Send>>,
        protocol: Arc<dyn Protocol>,
    ) -> Result<Node, StartError> {
        settings.check()?;
        let router_settings = settings.router_settings();
        let recorder = recording
            .map(|out| Recorder::begin(out, &router_settings, settings.seed))
            .transpose()?;
        let (handle, messages) = DriverHandle::new();
        let context = NodeContext::new(runtime.clone(), settings, router_settings);
        let (finished, done) = async_channel::bounded::<()>(1);
        let driver = Driver::new(DriverParts {
            context: context.clone(),
            protocol,
            handle: handle.clone(),
            messages,
            recorder,
        });
        runtime.run(async move {
            driver.run().await;
            drop(finished);
        });
        Ok(Node {
            context,
            clients: Arc::default(),
            peers: Arc::default(),
            driver: handle,
            done,
        })
    }

    /// Updates the endpoint list. Returns when the node has applied it: from then on no new call goes to an engine that drains
    /// or was removed.
    pub async fn update_endpoints(&self, kind: ListKind, engines: Vec<Engine>) {
        let (done, wait) = async_channel::bounded(1);
        self.driver.send(DriverMessage::EndpointList {
            kind,
            engines,
            done,
        });
        // Fails if the node has ended.
        let _ = wait.recv().await;
    }

    /// Accepts a request and returns its response stream. `client_timeout` is how long the client waits for the whole response,
    /// in microseconds; without it the deadline of the request's class applies to the first token. An invalid or rejected
    /// request gets its final status in the stream, too.
    pub fn generate(
        &self,
        request: GenerateRequest,
        client_timeout: Option<Micros>,
    ) -> ResponseStream {
        let context = &self.context;
        let buffer = Arc::new(TokenBuffer::new(context.settings.max_buffered_tokens));
        let mut response = ResponseStream {
            buffer: buffer.clone(),
            id: None,
            driver: self.driver.clone(),
        };
        let accepted = validation::accept(context, request, client_timeout, buffer.clone());
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                context.metrics.invalid.add(1);
                let reason = FailureReason::InvalidRequest(error.to_string());
                buffer.finish(FinalStatus::Failed(reason));
                return response;
            }
        };
        match self.submit(accepted) {
            Ok(id) => response.id = Some(id),
            Err(reason) => {
                buffer.finish(FinalStatus::Rejected {
                    retry_after: Some(context.router_settings.max_retry_after),
                    reason,
                });
            }
        }
        response
    }

    /// Accepts a request of another protocol. Returns its id at this node, for [`Node::client_disconnected`]. The node fills in
    /// the id and the client timeout of `request`, and passes the final status to `call`.
    ///
    /// # Errors
    /// The reason of the rejection. Nothing was done for the request, and `call` gets no final status.
    pub fn accept(
        &self,
        request: Request,
        first_token_deadline: Micros,
        call: Arc<dyn Call>,
    ) -> Result<u64, RejectReason> {
        let id = self.context.next_request_id.fetch_add(1, Ordering::Relaxed);
        let request = Request {
            id: RequestId(id),
            ..request
        };
        self.submit(AcceptedRequest {
            request,
            first_token_deadline,
            response_deadline: None,
            call,
        })
    }

    /// Notifies the node that the client of a request disconnected before the end of its response.
    pub fn client_disconnected(&self, id: u64) {
        self.driver.send(DriverMessage::ClientDisconnected(id));
    }

    /// Passes a request to the driver and returns its id, or rejects it.
    fn submit(&self, accepted: AcceptedRequest) -> Result<u64, RejectReason> {
        let (context, id) = (&self.context, accepted.request.id.0);
        let reason = if !self.is_accepting() {
            RejectReason::Stopping
        } else if accepted.first_token_deadline <= context.runtime.now() {
            // The deadline has passed. Nothing was done for the request, so it can be rejected.
            RejectReason::Overloaded
        } else if context.prompt_memory.is_exceeded() {
            RejectReason::NodeFull
        } else if context.open.fetch_add(1, Ordering::SeqCst) >= context.settings.max_open_requests
        {
            context.open.fetch_sub(1, Ordering::SeqCst);
            RejectReason::NodeFull
        } else {
            context.metrics.requests.add(1);
            self.driver.send(DriverMessage::Request(Box::new(accepted)));
            return Ok(id);
        };
        context.count_rejection(reason);
        Err(reason)
    }

    /// Notifies the node of a stop signal: it accepts requests for a short time, and rejects those that are received later. Open
    /// requests continue. Returns the time from which idle connections are to be closed. A further call changes nothing.
    pub fn close_admission(&self) -> Micros {
        let now = self.context.runtime.now();
        self.context.admission().stop(now)
    }

    /// Whether [`Node::close_admission`] was called.
    pub fn is_closing(&self) -> bool {
        self.context.admission().is_stopping()
    }

    /// Stops the node: rejects new requests, gives open ones up to `within` microseconds to finish, and fails the rest. Returns
    /// when the node has stopped and its clients have received their last responses. Clients have until the end of `within` for
    /// that, and at least 50 ms.
    pub async fn stop(&self, within: Micros) {
        let deadline = self.context.runtime.now().saturating_add(within);
        self.context.stopping.store(true, Ordering::SeqCst);
        self.context.stopping_event.notify(usize::MAX);
        self.driver.send(DriverMessage::Stop { deadline });
        // Returns an error when the driver has ended.
        let _ = self.done.recv().await;
        self.flush_responses(deadline).await;
        // The node leaves its peers last: while it still sends to engines, they must count it as a replica.
        if let Some(peers) = self.peers.get() {
            peers.leave().await;
        }
    }

    /// Waits until all client connections have closed, each after its last response. If the process ended earlier, slow clients
    /// would not receive the end of their responses.
    async fn flush_responses(&self, stop_deadline: Micros) {
        let runtime = &self.context.runtime;
        let deadline = stop_deadline.max(runtime.now().saturating_add(MIN_FLUSH_TIME));
        timeout_at(runtime, deadline, self.clients.all_closed()).await;
    }

    /// Starts the exchange with other nodes (peers). Until the node has a complete view of its peers, the replica count of the
    /// settings is the minimum.
    ///
    /// # Errors
    /// [`PeerError`] when the exchange cannot start.
    pub fn start_peers(&self, options: PeerOptions) -> Result<PeersHandle, PeerError> {
        let node = self.clone();
        let host = PeerHost {
            context: self.context.clone(),
            report_replica_count: Arc::new(move |count| {
                node.driver.send(DriverMessage::ReplicaCount(count));
            }),
        };
        let handle = peers::start(host, options)?;
        let _ = self.peers.set(handle.clone());
        Ok(handle)
    }

    /// The handle that [`Node::start_peers`] returned; `None` before that.
    pub fn peers_handle(&self) -> Option<&PeersHandle> {
        self.peers.get()
    }

    /// Checks the health of the `max` engines with the lowest ids, which leaves a connection open to each. Returns how many
    /// answered. Meant for measurements and for warming up a node before it receives requests; the router does not see the
    /// results.
    pub async fn open_connections(&self, max: usize) -> usize {
        let (reply, engines) = async_channel::bounded(1);
        self.driver.send(DriverMessage::ListEngines(reply));
        // Fails if the node has ended.
        let engines = engines.recv().await.unwrap_or_default();
        let mut answered = 0;
        for batch in engines[..max.min(engines.len())].chunks(CONCURRENT_CHECKS) {
            let (results, received) = async_channel::bounded(CONCURRENT_CHECKS);
            for engine in batch {
                let (engine, context) = (engine.clone(), self.context.clone());
                let results = results.clone();
                self.context.runtime.run(async move {
                    let (alive, _) = engine.health_check(context).await;
                    let _ = results.try_send(alive);
                });
            }
            drop(results);
            while let Ok(alive) = received.recv().await {
                answered += usize::from(alive);
            }
        }
        answered
    }

    /// Writes buffered parts of the recording to its output. Returns when that is done, at once if there is no recording.
    pub async fn flush_recording(&self) {
        let (done, wait) = async_channel::bounded(1);
        self.driver.send(DriverMessage::FlushRecording(done));
        let _ = wait.recv().await;
    }

    /// Waits until the node stops accepting requests.
    pub(crate) async fn closed(&self) {
        self.context.stopped().await;
    }

    /// The node's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.context.metrics
    }
    /// Number of open requests: those without a final status or with an attempt still in flight.
    pub fn open_requests(&self) -> usize {
        self.context.open.load(Ordering::SeqCst)
    }
    /// Number of releases in progress, and of decode slot reservations in progress, which may need a release.
    pub fn pending_releases(&self) -> usize {
        self.context.pending_releases.load(Ordering::SeqCst)
    }
    /// Whether the node accepts requests: false once [`Node::stop`] was called, and some time after
    /// [`Node::close_admission`].
    pub fn is_accepting(&self) -> bool {
        let now = self.context.runtime.now();
        !self.context.stopping.load(Ordering::SeqCst) && self.context.admission().accepts(now)
    }
    /// The random number that identifies this run of the node to engines.
    pub fn incarnation(&self) -> u64 {
        self.context.incarnation
    }
    /// The settings that the node was started with.
    pub fn settings(&self) -> &NodeSettings {
        &self.context.settings
    }
}

/// The response to a request. Dropping it before its end cancels the request.
pub struct ResponseStream {
    buffer: Arc<TokenBuffer>,
    id: Option<u64>,
    driver: DriverHandle,
}

impl ResponseStream {
    /// Polls for the next run of tokens, or for the end, after which the stream must not be polled again.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<ResponsePart> {
        self.buffer.poll_part(cx)
    }
    /// Returns the next run of tokens, or the end.
    pub async fn next(&mut self) -> ResponsePart {
        poll_fn(|cx| self.poll_part(cx)).await
    }
    /// Collects all tokens up to the end of the stream.
    pub async fn collect(mut self) -> (Vec<u32>, FinalStatus) {
        let mut ids = Vec::new();
        loop {
            match self.next().await {
                ResponsePart::Tokens(run) => ids.extend(run.ids),
                ResponsePart::End(end) => return (ids, end),
            }
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if let Some(id) = self.id.filter(|_| !self.buffer.is_delivered()) {
            self.driver.send(DriverMessage::ClientDisconnected(id));
        }
    }
}
