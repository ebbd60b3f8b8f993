//! The node's handle: start, stop, requests in, state out.

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
use ivyward_runtime::{before, RuntimeExt, RuntimeRef};
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

/// Why a node does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting cannot hold.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The recording cannot be written.
    #[error("the recording cannot be begun: {0}")]
    Recording(#[from] std::io::Error),
}

/// Health checks that run at once.
const CONCURRENT_CHECKS: usize = 32;
/// How long the last answers of a stopping node may take to reach their clients, in microseconds.
const LAST_ANSWERS_TIME: Micros = 50_000;

/// A running node. Clones are handles to the same one. It ends by [`Node::stop`], or with its runtime.
#[derive(Clone)]
pub struct Node {
    pub(crate) context: Arc<NodeContext>,
    /// Connections that its listeners have accepted.
    pub(crate) clients: Arc<ClientConnections>,
    /// Set once, if the node is to know others.
    pub(crate) peers: Arc<OnceLock<PeersHandle>>,
    driver: DriverHandle,
    done: async_channel::Receiver<()>,
}

impl Node {
    /// Starts a node that knows no engines yet: see [`Node::update_endpoints`].
    ///
    /// # Errors
    /// When a setting cannot hold or the recording cannot be written.
    pub fn start(
        runtime: RuntimeRef,
        settings: NodeSettings,
        recording: Option<Box<dyn std::io::Write + Send>>,
    ) -> Result<Node, StartError> {
        let protocol = Arc::new(Grpc::new(&runtime, &settings));
        Node::start_with(runtime, settings, recording, protocol)
    }

    /// Starts a node that speaks another protocol to engines.
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
        let router_settings = settings.router();
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

    /// Updates the list of engines, and returns when the node has applied it: from then on nothing new goes to an engine that
    /// drains or was removed.
    pub async fn update_endpoints(&self, kind: ListKind, engines: Vec<Engine>) {
        let (done, wait) = async_channel::bounded(1);
        self.driver.send(DriverMessage::EndpointList {
            kind,
            engines,
            done,
        });
        // An error means that the node ended.
        let _ = wait.recv().await;
    }

    /// Takes a request. `client_timeout` is how long the client waits for the whole answer, in microseconds; without one the
    /// deadline of its class holds for the first token. An invalid request gets its answer like all others.
    pub fn generate(
        &self,
        request: GenerateRequest,
        client_timeout: Option<Micros>,
    ) -> ResponseStream {
        let context = &self.context;
        let buffer = Arc::new(TokenBuffer::new(context.settings.stream_buffer));
        let mut response = ResponseStream {
            buffer: buffer.clone(),
            id: None,
            driver: self.driver.clone(),
        };
        let accepted = validation::accept(context, request, client_timeout, buffer.clone());
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(problem) => {
                context.metrics.invalid.add(1);
                let reason = FailureReason::InvalidRequest(problem.to_string());
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

    /// Takes a request of another protocol. Returns its number at this node, for [`Node::client_disconnected`]. The id and the
    /// client's timeout of `request` are filled in; `call` gets the final answer.
    ///
    /// # Errors
    /// Why it is rejected: nothing was done, and `call` gets no answer.
    pub fn accept(
        &self,
        request: Request,
        first_token_deadline: Micros,
        call: Arc<dyn Call>,
    ) -> Result<u64, RejectReason> {
        let id = self.context.next_id.fetch_add(1, Ordering::Relaxed);
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

    /// The client of a request left before its answer's end.
    pub fn client_disconnected(&self, id: u64) {
        self.driver.send(DriverMessage::ClientDisconnected(id));
    }

    /// Hands a request to the driver: its number, or why it is rejected.
    fn submit(&self, accepted: AcceptedRequest) -> Result<u64, RejectReason> {
        let (context, id) = (&self.context, accepted.request.id.0);
        let reason = if context.stopping.load(Ordering::SeqCst) {
            RejectReason::Stopping
        } else if accepted.first_token_deadline <= context.runtime.now() {
            // No time is left to do anything, and nothing was done.
            RejectReason::Overloaded
        } else if context.open.fetch_add(1, Ordering::SeqCst) >= context.settings.most_open {
            context.open.fetch_sub(1, Ordering::SeqCst);
            RejectReason::NodeFull
        } else {
            context.metrics.requests.add(1);
            self.driver.send(DriverMessage::Request(Box::new(accepted)));
            return Ok(id);
        };
        context.metrics.rejected.add(1);
        context.metrics.count_rejection(reason);
        Err(reason)
    }

    /// Stops: accepts no new request, lets those in flight end for `within` microseconds at most, fails the rest, and returns
    /// when the node is done and its clients have their answers.
    pub async fn stop(&self, within: Micros) {
        let deadline = self.context.runtime.now().saturating_add(within);
        self.context.stopping.store(true, Ordering::SeqCst);
        self.context.stopping_event.notify(usize::MAX);
        self.driver.send(DriverMessage::Stop { deadline });
        // Ends with an error when the driver is done.
        let _ = self.done.recv().await;
        self.flush_answers(deadline).await;
        // Only now: until then it was still sending, and counts.
        if let Some(peers) = self.peers.get() {
            peers.leave().await;
        }
    }

    /// Waits until all client connections have closed, each after its last answer. Guards against a process that ends while
    /// answers are on their way: a slow client would never get the end of its own.
    async fn flush_answers(&self, stop_deadline: Micros) {
        let runtime = &self.context.runtime;
        let deadline = stop_deadline.max(runtime.now().saturating_add(LAST_ANSWERS_TIME));
        before(runtime, deadline, self.clients.all_closed()).await;
    }

    /// Starts to know other nodes. The settings' replica count holds as the least one until a complete view was seen.
    ///
    /// # Errors
    /// [`PeerError`].
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

    /// The node's peers, if it was told to know any.
    pub fn peers_handle(&self) -> Option<&PeersHandle> {
        self.peers.get()
    }

    /// Checks the health of the first `most` engines of the list, by their ids, which leaves a connection to each. Returns how
    /// many answered. For measurements, and to warm a node up before it takes requests; the router is told nothing.
    pub async fn open_connections(&self, most: usize) -> usize {
        let (reply, engines) = async_channel::bounded(1);
        self.driver.send(DriverMessage::ListEngines(reply));
        // An error means that the node ended.
        let engines = engines.recv().await.unwrap_or_default();
        let mut answered = 0;
        for batch in engines[..most.min(engines.len())].chunks(CONCURRENT_CHECKS) {
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

    /// Flushes the recording.
    pub async fn flush_recording(&self) {
        let (done, wait) = async_channel::bounded(1);
        self.driver.send(DriverMessage::FlushRecording(done));
        let _ = wait.recv().await;
    }

    /// Returns when the node stops taking requests.
    pub(crate) async fn closed(&self) {
        self.context.stopped().await;
    }

    /// The node's counters.
    pub fn metrics(&self) -> &Metrics {
        &self.context.metrics
    }
    /// Open requests: those not yet answered, or with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.context.open.load(Ordering::SeqCst)
    }
    /// Releases under way at engines, and calls for decode slots that may lead to one.
    pub fn pending_releases(&self) -> usize {
        self.context.pending_releases.load(Ordering::SeqCst)
    }
    /// Whether it still accepts requests.
    pub fn is_accepting(&self) -> bool {
        !self.context.stopping.load(Ordering::SeqCst)
    }
    /// The number of this run of the node, as engines see it.
    pub fn incarnation(&self) -> u64 {
        self.context.incarnation
    }
    /// The settings it runs with.
    pub fn settings(&self) -> &NodeSettings {
        &self.context.settings
    }
}

/// The answer to a request. Dropping it before its end cancels the request.
pub struct ResponseStream {
    buffer: Arc<TokenBuffer>,
    id: Option<u64>,
    driver: DriverHandle,
}

impl ResponseStream {
    /// The next run of tokens, or the end, after which it must not be polled again.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<ResponsePart> {
        self.buffer.poll_part(cx)
    }
    /// The next run of tokens, or the end.
    pub async fn next(&mut self) -> ResponsePart {
        poll_fn(|cx| self.poll_part(cx)).await
    }
    /// All tokens and the end.
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
