//! Scenarios, load, measurements and reports.
//!
//! - [`local_cluster`]: nodes, engines and clients on loopback, in one process or with real daemons.
//! - [`fault_plan`]: when which fault begins, drawn from a seed or read from a file.
//! - [`load`]: sessions and their turns.
//! - [`fault_scenario`]: plays a fault plan under load and reports.
//! - [`manual_cluster`]: engines and a store to try a daemon with, and single requests.
//! - [`registration`]: writes engines' records into etcd.
//! - [`cluster`]: daemons as processes, a relay on each directed link, faults between them.
//! - [`soak`]: random faults against node processes, with the rules checked from outside.
//! - [`simulation`]: whole clusters in virtual time, one for each seed.
//! - [`peer_simulation`]: many peers on a simulated network of datagrams, and what is measured there.
//! - [`peer_scenario`]: faults between peers in the clusters of [`simulation`].
//! - [`drain_latency`]: how soon a node follows a watch event, and what a change costs.
//! - [`kv_transfer`]: how far KV caches are transferred, by one node's decisions.
//! - [`relay_overhead`]: what a node adds to a stream.
//! - [`scale`]: what each role uses as a deployment grows.
//! - [`capacity`]: what a deployment of a size needs, from the slopes that scale runs found.
//! - [`child_process`]: processes that end with their parent.

pub mod capacity;
pub mod child_process;
pub mod cluster;
pub mod drain_latency;
pub mod fault_plan;
pub mod fault_scenario;
pub mod kv_transfer;
pub mod load;
pub mod local_cluster;
pub mod manual_cluster;
pub mod peer_scenario;
pub mod peer_simulation;
pub mod registration;
pub mod relay_overhead;
pub mod scale;
pub mod simulation;
pub mod soak;
