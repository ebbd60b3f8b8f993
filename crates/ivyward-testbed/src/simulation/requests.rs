//! Client requests with their retries.

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
    /// One request with its tries.
    pub(super) async fn ask(self: Arc<Self>, no: u64, mut random: SmallRng) {
        let class_no = random.random_range(0..self.settings.classes.len());
        let class = &self.settings.classes[class_no];
        let opening = random.random_range(0..4u32);
        let mut prompt: Vec<u32> = (0..60).map(|i| opening ^ (i * 31)).collect();
        prompt.extend((0..random.random_range(1..200)).map(|i| i ^ no as u32));
        let first_node = random.random_range(0..self.places.len());
        for attempt in 0..3 {
            let node = (first_node + attempt) % self.places.len();
            let share = random.random_range(0.3..1.0);
            let client_timeout = (class.settings.deadline as f64 * share) as Micros;
            let (mut habit, mut max_output_tokens) = (
                ClientBehavior {
                    client_timeout,
                    ..ClientBehavior::default()
                },
                12,
            );
            match random.random_range(0..10) {
                0 => habit.disconnect_after = Some(random.random_range(1_000..300_000)),
                1 => habit.disconnect_at_token = Some(random.random_range(1..5)),
                // A long answer, taken slowly.
                2 => {
                    (max_output_tokens, habit.read_pause) = (200, random.random_range(3_500..4_500))
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
            let ask = ClientRequest {
                request,
                operation: no,
                idempotency: call_idempotency(&class.settings),
                node,
                behavior: habit,
            };
            let end = client.send(&ask).await;
            let again = match end.outcome {
                ClientOutcome::Rejected => true,
                ClientOutcome::Failed | ClientOutcome::Unreachable => {
                    class.settings.idempotency
                        != ivyward::core::interface::Idempotency::NonIdempotent
                }
                _ => false,
            };
            if !again {
                return;
            }
            self.runtime.sleep(end.pushback.unwrap_or(50_000)).await;
        }
    }
}
