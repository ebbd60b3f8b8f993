//! Fault scenarios, load generation and measurements for ivyward, on loopback sockets and in virtual time.
//!
//! - [`local_cluster`]: a cluster of nodes, fake engines and clients on loopback, with nodes in this process or as daemons.
//! - [`fault_plan`]: the kinds and times of faults, generated from a seed or read from a file.
//! - [`load`]: generates client sessions and sends their requests.
//! - [`fault_scenario`]: runs a fault plan under load and reports the outcomes.
//! - [`manual_cluster`]: fake engines and a store for trying a daemon by hand, and single requests.
//! - [`registration`]: writes the records of engines into etcd.
//! - [`cluster`]: daemons as processes with a relay on each directed link, on which network faults are injected.
//! - [`soak`]: injects random faults into node processes and checks the rules from outside.
//! - [`simulation`]: deterministic simulation of whole clusters in virtual time, one run per seed.
//! - [`peer_simulation`]: simulates failure detection among many peers on a datagram network in virtual time.
//! - [`peer_scenario`]: peer discovery in the clusters of [`simulation`], with checks of the nodes' views.
//! - [`drain_latency`]: measures how soon a node acts on a watch event, and the CPU time of a change.
//! - [`kv_transfer`]: counts the KV transfers within and between racks and zones that one node's decisions cause.
//! - [`relay_overhead`]: measures the latency and CPU time that a node adds to a stream.
//! - [`scale`]: measures the resources that each role uses as a deployment grows.
//! - [`capacity`]: computes the resources that a deployment of a given size needs, from the slopes of scale runs.
//! - `stall_monitor`: records when the process of a local cluster did not run.
//! - [`child_process`]: child processes that are killed when their parent ends.

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
mod stall_monitor;
