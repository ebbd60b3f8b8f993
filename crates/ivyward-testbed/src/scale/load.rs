//! Sends requests at a constant rate through the daemons of a run and counts their results.

use crate::scale::cluster::Cluster;
use crate::scale::ScaleError;
use hdrhistogram::Histogram;
use ivyward_fakes::event_log::{CallIdempotency, ClientOutcome};
use ivyward_fakes::{Client, ClientBehavior, ClientRequest, ClientResult, EventLog};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Output tokens that a request asks for. Fake engines generate between half and all of them: 306 on average, as in the
/// planned deployment.
const OUTPUT_TOKENS: u32 = 408;
/// Prompt tokens of a request.
const PROMPT_TOKENS: u64 = 200;
/// How long clients wait for the whole answer, in microseconds.
const CLIENT_TIMEOUT: Micros = 60_000_000;

/// Results of the requests, as seen by the clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientTotals {
    /// Requests that ended, in whatever way.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed or were not answered.
    pub failed: u64,
    /// Output tokens that clients received.
    pub tokens: u64,
    /// Time to the first token, in milliseconds: median and 95th percentile.
    pub first_token_ms: [f64; 2],
}

struct Tally {
    seen: ClientTotals,
    first: Histogram<u64>,
}

/// Clients that send requests at a constant rate. They send no new requests after this is dropped.
pub struct Load {
    tally: Arc<Mutex<Tally>>,
    _stop: async_channel::Sender<()>,
}

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

fn histogram() -> Result<Histogram<u64>, ScaleError> {
    Histogram::new_with_max(CLIENT_TIMEOUT, 3).map_err(|e| ScaleError::Process(e.to_string()))
}

impl Load {
    /// Starts to send `rate` requests per second to each daemon, spread over `sessions` sessions.
    ///
    /// # Errors
    /// When a daemon cannot be reached.
    pub fn start(cluster: &Cluster, rate: f64, sessions: u64) -> Result<Load, ScaleError> {
        let runtime: RuntimeRef = cluster.runtime.clone();
        let tally = Arc::new(Mutex::new(Tally {
            seen: ClientTotals::default(),
            first: histogram()?,
        }));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        for (number, real) in cluster.real.iter().enumerate() {
            let log = EventLog::without_entries(&runtime);
            let client =
                cluster
                    .runtime
                    .block_on(Client::connect(&runtime, &log, real.client_address));
            let client = client.map_err(ScaleError::io("connecting to a daemon"))?;
            let one = Sender {
                runtime: runtime.clone(),
                client,
                tally: tally.clone(),
                rate,
                sessions,
            };
            let stopped = stopped.clone();
            runtime.run(async move {
                let until = async {
                    // The channel is closed when the load is dropped.
                    let _ = stopped.recv().await;
                };
                futures_lite::future::or(one.send_all(number as u64 + 1), until).await;
            });
        }
        Ok(Load { tally, _stop: stop })
    }

    /// Returns the results since the previous call, and resets them.
    ///
    /// # Errors
    /// When the histogram of the next results cannot be created.
    pub fn take(&self) -> Result<ClientTotals, ScaleError> {
        let fresh = Tally {
            seen: ClientTotals::default(),
            first: histogram()?,
        };
        let tally = std::mem::replace(&mut *lock(&self.tally), fresh);
        let at = |quantile| tally.first.value_at_quantile(quantile) as f64 / 1e3;
        Ok(ClientTotals {
            first_token_ms: [at(0.5), at(0.95)],
            ..tally.seen
        })
    }
}

struct Sender {
    runtime: RuntimeRef,
    client: Client,
    tally: Arc<Mutex<Tally>>,
    rate: f64,
    sessions: u64,
}

impl Sender {
    /// Sends requests at even intervals (an open loop), regardless of whether earlier ones have ended.
    async fn send_all(&self, node: u64) {
        let interval = (1e6 / self.rate) as Micros;
        let mut at = self.runtime.now();
        for number in 0.. {
            let (client, tally, request) = (
                self.client.clone(),
                self.tally.clone(),
                self.request(node, number),
            );
            self.runtime.run(async move {
                let end = client.send(&request).await;
                count(&tally, &end);
            });
            at += interval;
            self.runtime.sleep_until(at).await;
        }
    }

    fn request(&self, node: u64, number: u64) -> ClientRequest {
        let call = node << 32 | number;
        let session = number % self.sessions;
        // All prompts of a session have the same prefix.
        let prefix = (0..PROMPT_TOKENS).map(|i| (session * 1_000 + i) as u32);
        let last = [number as u32];
        let request = GenerateRequest {
            prompt: prefix.chain(last).collect(),
            max_output_tokens: OUTPUT_TOKENS,
            session: format!("{node}-{session}"),
            call_id: call,
            ..GenerateRequest::default()
        };
        let behavior = ClientBehavior {
            client_timeout: CLIENT_TIMEOUT,
            ..ClientBehavior::default()
        };
        ClientRequest {
            request,
            operation: call,
            idempotency: CallIdempotency::Idempotent,
            node: node as usize,
            behavior,
        }
    }
}

fn count(tally: &Mutex<Tally>, end: &ClientResult) {
    let mut tally = lock(tally);
    tally.seen.requests += 1;
    tally.seen.tokens += u64::from(end.tokens);
    match end.outcome {
        ClientOutcome::Served => tally.seen.served += 1,
        ClientOutcome::Rejected => tally.seen.rejected += 1,
        _ => tally.seen.failed += 1,
    }
    if let Some(first) = end.first_token_after {
        // Cannot fail: the time is at most the client timeout, which is the histogram's maximum.
        let _ = tally.first.record(first);
    }
}
