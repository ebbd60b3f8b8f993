//! Client requests and the clients' retries.

use super::cluster::SimulatedCluster;
use crate::local_cluster::call_idempotency;
use ivyward::core::interface::Micros;
use ivyward_fakes::event_log::ClientOutcome;
use ivyward_fakes::{ClientBehavior, ClientRequest};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::RuntimeExt;
use rand::rngs::SmallRng;
use rand::RngExt;
use std::sync::Arc;

impl SimulatedCluster {
    /// Sends request `no`, and up to two retries to the next nodes when it is rejected or may be repeated.
    pub(super) async fn send_request(self: Arc<Self>, no: u64, mut random: SmallRng) {
        let class_no = random.random_range(0..self.settings.classes.len());
        let class = &self.settings.classes[class_no];
        let prefix_seed = random.random_range(0..4u32);
        let mut prompt: Vec<u32> = (0..60).map(|i| prefix_seed ^ (i * 31)).collect();
        prompt.extend((0..random.random_range(1..200)).map(|i| i ^ no as u32));
        let first_node = random.random_range(0..self.node_slots.len());
        for attempt in 0..3 {
            let node = (first_node + attempt) % self.node_slots.len();
            let share = random.random_range(0.3..1.0);
            let client_timeout = (class.settings.deadline as f64 * share) as Micros;
            let (mut behavior, mut max_output_tokens) = (
                ClientBehavior {
                    client_timeout,
                    ..ClientBehavior::default()
                },
                12,
            );
            match random.random_range(0..10) {
                0 => behavior.disconnect_after = Some(random.random_range(1_000..300_000)),
                1 => behavior.disconnect_at_token = Some(random.random_range(1..5)),
                // A long answer to a client that reads slowly.
                2 => {
                    (max_output_tokens, behavior.read_pause) =
                        (200, random.random_range(3_500..4_500))
                }
                _ => {}
            }
            let request = GenerateRequest {
                prompt: prompt.clone(),
                max_output_tokens,
                session: format!("s{}", no / 2),
                shared_opening_tokens: 60,
                class: class.name.clone(),
                repeat: attempt > 0,
                idempotency_key: format!("op{no}"),
                call_id: no * 8 + attempt as u64 + 1,
                ..GenerateRequest::default()
            };
            let Some(client) = self.client(node).await else {
                self.runtime.sleep(30_000).await;
                continue;
            };
            let call = ClientRequest {
                request,
                operation: no,
                idempotency: call_idempotency(&class.settings),
                node,
                behavior,
            };
            let result = client.send(&call).await;
            let retry = match result.outcome {
                ClientOutcome::Rejected => true,
                ClientOutcome::Failed | ClientOutcome::Unreachable => {
                    class.settings.idempotency
                        != ivyward::core::interface::Idempotency::NonIdempotent
                }
                _ => false,
            };
            if !retry {
                return;
            }
            self.runtime.sleep(result.pushback.unwrap_or(50_000)).await;
        }
    }
}
