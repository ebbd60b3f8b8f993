//! A node as its owner holds it.

use crate::context::NodeContext;
use crate::engines::{Call, Engine, Protocol};
use crate::metrics::Metrics;
use crate::peers::{self, PeerError, PeerHost, PeerOptions, PeersHandle};
use crate::recording::Recorder;
use crate::request::clients::ClientConnections;
use crate::request::driver::{Driver, DriverParts};
use crate::request::grpc::{Grpc, GrpcCall};
use crate::request::messages::{AcceptedRequest, DriverHandle, DriverMessage};
use crate::response::{FailureReason, FinalStatus, RejectReason, ResponsePart, TokenBuffer};
use crate::settings::{NodeSettings, SettingsError};
use event_listener::Event;
use futures_lite::future::poll_fn;
use ivyward_core::interface::{Idempotency, ListKind, Micros, Request, RequestId};
use ivyward_core::mutations::{self, Mutation};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{before, RuntimeExt, RuntimeRef};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use xxhash_rust::xxh3::xxh3_64;

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

/// Engines that are asked at once how they are.
const PROBES_AT_ONCE: usize = 32;
/// How long answers that were given in the moment of a stop's end may take to their clients, in microseconds.
const LAST_ANSWERS: Micros = 50_000;

/// A running node. Clones are handles to the same one. It ends by [`Node::stop`], or with its world.
#[derive(Clone)]
pub struct Node {
    pub(crate) context: Arc<NodeContext>,
    /// What its listeners have accepted.
    pub(crate) clients: Arc<ClientConnections>,
    /// Set once, if the node is to know others. Their own task is behind it; this is only the way to look.
    pub(crate) peers: Arc<OnceLock<PeersHandle>>,
    inbox: DriverHandle,
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

    /// Starts a node that speaks to engines by another protocol.
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
        let (inbox, told) = DriverHandle::new();
        let context = Arc::new(NodeContext {
            incarnation: runtime.random(),
            runtime: runtime.clone(),
            settings,
            router_settings,
            open: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            stopping_event: Event::new(),
            releases: Default::default(),
            pending_releases: AtomicUsize::new(0),
            metrics: Metrics::default(),
        });
        let (finished, done) = async_channel::bounded::<()>(1);
        let driver = Driver::new(DriverParts {
            context: context.clone(),
            protocol,
            handle: inbox.clone(),
            messages: told,
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
            inbox,
            done,
        })
    }

    /// Tells the node of engines, and returns when it took that in: from then on nothing new goes to one that
    /// drains or is gone.
    pub async fn update_endpoints(&self, kind: ListKind, engines: Vec<Engine>) {
        let (done, wait) = async_channel::bounded(1);
        self.inbox.send(DriverMessage::EndpointList {
            kind,
            engines,
            done,
        });
        // An error means that the node ended.
        let _ = wait.recv().await;
    }

    /// Takes a request. `client_timeout` is how long the client waits for the whole answer, in microseconds; without one
    /// its class's deadline holds for the first token. Bad requests get their answer like all others.
    pub fn generate(
        &self,
        request: GenerateRequest,
        client_timeout: Option<Micros>,
    ) -> ResponseStream {
        let context = &self.context;
        let buffer = Arc::new(TokenBuffer::new(context.settings.stream_buffer));
        let mut answer = ResponseStream {
            buffer: buffer.clone(),
            id: None,
            inbox: self.inbox.clone(),
        };
        let over = |end| {
            buffer.finish(end);
        };
        let taken = match self.taken(request, client_timeout, buffer.clone()) {
            Ok(taken) => taken,
            Err(reason) => {
                context.metrics.invalid.add(1);
                over(FinalStatus::Failed(FailureReason::InvalidRequest(reason)));
                return answer;
            }
        };
        match self.enter(taken) {
            Ok(id) => answer.id = Some(id),
            Err(why) => over(FinalStatus::Rejected {
                retry_after: Some(context.router_settings.max_retry_after),
                reason: why,
            }),
        }
        answer
    }

    /// Takes a request of another protocol: its number at this node, by which [`Node::client_disconnected`] knows it. `arrival`'s id
    /// and patience are filled in; `call` is told the final answer.
    ///
    /// # Errors
    /// Why it is refused: nothing was done, and nothing is told later.
    pub fn accept(
        &self,
        arrival: Request,
        first_by: Micros,
        call: Arc<dyn Call>,
    ) -> Result<u64, RejectReason> {
        let id = self.context.next_id.fetch_add(1, Ordering::Relaxed);
        let arrival = Request {
            id: RequestId(id),
            ..arrival
        };
        self.enter(AcceptedRequest {
            request: arrival,
            first_token_deadline: first_by,
            response_deadline: None,
            call,
        })
    }

    /// The client of a request left before its answer's end.
    pub fn client_disconnected(&self, id: u64) {
        self.inbox.send(DriverMessage::ClientDisconnected(id));
    }

    fn enter(&self, taken: AcceptedRequest) -> Result<u64, RejectReason> {
        let (context, id) = (&self.context, taken.request.id.0);
        let why = if context.stopping.load(Ordering::SeqCst) {
            RejectReason::Stopping
        } else if taken.first_token_deadline <= context.runtime.now() {
            // No time is left to do anything, and nothing was done.
            RejectReason::Overloaded
        } else if context.open.fetch_add(1, Ordering::SeqCst) >= context.settings.most_open {
            context.open.fetch_sub(1, Ordering::SeqCst);
            RejectReason::NodeFull
        } else {
            context.metrics.requests.add(1);
            self.inbox.send(DriverMessage::Request(Box::new(taken)));
            return Ok(id);
        };
        context.metrics.refused.add(1);
        context.metrics.refused_for(why);
        Err(why)
    }

    fn taken(
        &self,
        request: GenerateRequest,
        client_timeout: Option<Micros>,
        buffer: Arc<TokenBuffer>,
    ) -> Result<AcceptedRequest, String> {
        let settings = &self.context.settings;
        let named = |what: &str, name: &str, names: Vec<&str>| {
            let found = names
                .iter()
                .position(|n| *n == name)
                .or(name.is_empty().then_some(0));
            found.ok_or_else(|| format!("{what} {name:?} is none of: {}", names.join(", ")))
        };
        let class = named(
            "class",
            &request.class,
            settings.classes.iter().map(|c| c.name.as_str()).collect(),
        )?;
        let tenant = match settings.tenants.is_empty() {
            true => 0,
            false => named(
                "tenant",
                &request.tenant,
                settings.tenants.iter().map(|t| t.name.as_str()).collect(),
            )?,
        };
        let (length, most) = (request.prompt.len(), settings.most_prompt);
        if !(1..=most).contains(&length) {
            return Err(format!(
                "a prompt of {length} tokens; 1 to {most} are taken"
            ));
        }
        let (output, most) = (request.max_output_tokens as usize, settings.most_output);
        if !(1..=most).contains(&output) {
            return Err(format!(
                "max_output_tokens {output} must be from 1 to {most}"
            ));
        }
        let opening = request.shared_opening_tokens as usize;
        if opening > length {
            return Err(format!(
                "shared_opening_tokens {opening} is over the prompt's {length}"
            ));
        }
        let named_class = &settings.classes[class];
        if named_class.settings.idempotency == Idempotency::WithKey
            && request.idempotency_key.is_empty()
        {
            return Err(format!(
                "class {:?} needs an idempotency_key",
                named_class.name
            ));
        }
        let prefix = match opening {
            0 => 0,
            _ => {
                let bytes: Vec<u8> = request.prompt[..opening]
                    .iter()
                    .flat_map(|t| t.to_le_bytes())
                    .collect();
                xxh3_64(&bytes).max(1)
            }
        };
        let session = match request.session.is_empty() {
            true => 0,
            false => xxh3_64(request.session.as_bytes()).max(1),
        };
        let now = self.context.runtime.now();
        let late = if mutations::is_active(Mutation::TimeoutLate) {
            2 * settings.answer_margin
        } else {
            0
        };
        let (now, margin) = (now + late, settings.answer_margin);
        let end_by = client_timeout.map(|p| now.saturating_add(p).saturating_sub(margin));
        let first = match request.first_token_patience_ms {
            0 => client_timeout.unwrap_or(named_class.settings.deadline),
            ms => (u64::from(ms) * 1_000).min(client_timeout.unwrap_or(Micros::MAX)),
        };
        let first_by = now.saturating_add(first).saturating_sub(margin);
        let id = self.context.next_id.fetch_add(1, Ordering::Relaxed);
        let arrival = Request {
            id: RequestId(id),
            class,
            tenant,
            session,
            prefix,
            client_timeout: 0,
            prompt_tokens: length as f64,
            prefix_tokens: opening as f64,
            max_output: f64::from(request.max_output_tokens),
            hinted_output: (request.expected_output_tokens > 0)
                .then(|| f64::from(request.expected_output_tokens)),
            is_retry: request.repeat,
            is_resumed: request.resumed,
        };
        let call = GrpcCall {
            arrival,
            prompt: Arc::new(request.prompt),
            class: named_class.name.clone(),
            call_id: request.call_id,
            key: request.idempotency_key,
            buffer,
        };
        Ok(AcceptedRequest {
            request: arrival,
            first_token_deadline: first_by,
            response_deadline: end_by,
            call: Arc::new(call),
        })
    }

    /// Takes nothing new, lets what is under way end for `within` microseconds at most, fails the rest, and returns
    /// when the node is done and its clients have their answers.
    pub async fn stop(&self, within: Micros) {
        let by = self.context.runtime.now().saturating_add(within);
        self.context.stopping.store(true, Ordering::SeqCst);
        self.context.stopping_event.notify(usize::MAX);
        self.inbox.send(DriverMessage::Stop { deadline: by });
        // Ends with an error when the driver is done.
        let _ = self.done.recv().await;
        self.flush_answers(by).await;
        // Only now: until then it was still sending, and counts.
        if let Some(peers) = self.peers.get() {
            peers.leave().await;
        }
    }

    /// Waits until client connections have closed, which each does behind its last answer. Guards against a process that
    /// ends while answers are on their way: a slow client would never get the end of its own.
    async fn flush_answers(&self, by: Micros) {
        let runtime = &self.context.runtime;
        let by = by.max(runtime.now().saturating_add(LAST_ANSWERS));
        before(runtime, by, self.clients.all_closed()).await;
    }

    /// Starts to know other nodes. The settings' replica count holds as the least one until a complete view was seen.
    ///
    /// # Errors
    /// [`PeerError`].
    pub fn peers(&self, options: PeerOptions) -> Result<PeersHandle, PeerError> {
        let node = self.clone();
        let host = PeerHost {
            context: self.context.clone(),
            report_replica_count: Arc::new(move |count| {
                node.inbox.send(DriverMessage::ReplicaCount(count));
            }),
        };
        let handle = peers::start(host, options)?;
        let _ = self.peers.set(handle.clone());
        Ok(handle)
    }

    /// The node's peers, if it was told to know any.
    pub fn known_peers(&self) -> Option<&PeersHandle> {
        self.peers.get()
    }

    /// Asks the first `most` engines of the list, by their ids, how they are, which leaves a connection to each. How many
    /// answered. For measurements and for warming a node up before it takes requests; the module is told nothing.
    pub async fn open_connections(&self, most: usize) -> usize {
        let (reply, links) = async_channel::bounded(1);
        self.inbox.send(DriverMessage::ListEngines(reply));
        // An error means that the node ended.
        let links = links.recv().await.unwrap_or_default();
        let mut answered = 0;
        for some in links[..most.min(links.len())].chunks(PROBES_AT_ONCE) {
            let (tell, told) = async_channel::bounded(PROBES_AT_ONCE);
            for link in some {
                let (link, context, tell) = (link.clone(), self.context.clone(), tell.clone());
                self.context.runtime.run(async move {
                    let (alive, _) = link.health_check(context).await;
                    let _ = tell.try_send(alive);
                });
            }
            drop(tell);
            while let Ok(alive) = told.recv().await {
                answered += usize::from(alive);
            }
        }
        answered
    }

    /// Writes what was recorded so far through to its file.
    pub async fn flush_recording(&self) {
        let (done, wait) = async_channel::bounded(1);
        self.inbox.send(DriverMessage::FlushRecording(done));
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
    /// Requests in hand: taken, and not both answered and without an attempt.
    pub fn open_requests(&self) -> usize {
        self.context.open.load(Ordering::SeqCst)
    }
    /// What is still to be let go of at engines, or may come to be, with no request open for it.
    pub fn pending_releases(&self) -> usize {
        self.context.pending_releases.load(Ordering::SeqCst)
    }
    /// Whether it still takes requests.
    pub fn is_accepting(&self) -> bool {
        !self.context.stopping.load(Ordering::SeqCst)
    }
    /// The name of this run of the node, as engines see it.
    pub fn incarnation(&self) -> u64 {
        self.context.incarnation
    }
    /// The settings it runs with.
    pub fn settings(&self) -> &NodeSettings {
        &self.context.settings
    }
}

/// The answer to a request, as its client takes it. Dropping it before its end gives the request up.
pub struct ResponseStream {
    buffer: Arc<TokenBuffer>,
    id: Option<u64>,
    inbox: DriverHandle,
}

impl ResponseStream {
    /// The next run of tokens, or the end, after which it must not be asked again.
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
            self.inbox.send(DriverMessage::ClientDisconnected(id));
        }
    }
}
