//! Scenarios, load and reports.
//!
//! - [`scene`]: nodes, engines and clients on loopback, in one process or with real daemons.
//! - [`plan`]: a day: when which trouble begins, drawn from a seed or read from a day file.
//! - [`load`]: sessions and their turns.
//! - [`badday`]: plays a plan under a load and reports.
//! - [`byhand`]: a fleet to try a daemon with, and one request.
//! - [`capacity`]: what a deployment of a size takes, from slopes that scale runs kept.
//! - [`child_process`]: processes that end with the rig.
//! - [`cluster`]: daemons as processes, a relay on each directed link, faults between them.
//! - [`drains`]: how soon a node follows a notice, and what a change costs.
//! - [`enlist`]: writes engines' records into etcd.
//! - [`handover`]: how far KV state is handed over, by one node's decisions.
//! - [`peernet`]: many peers on a network of datagrams in virtual time, and what is measured there.
//! - [`peerscene`]: peers in the whole scenes of `seeds`.
//! - [`relay`]: what a node adds to a stream.
//! - [`soak`]: random faults against node processes, with the rules checked from what others observed.
//! - [`scale`]: what each role uses as a deployment grows.

pub mod badday;
pub mod byhand;
pub mod capacity;
pub mod child_process;
pub mod cluster;
pub mod drains;
pub mod enlist;
pub mod handover;
pub mod load;
pub mod peernet;
pub mod peerscene;
pub mod plan;
pub mod relay;
pub mod scale;
pub mod scene;
pub mod seeds;
pub mod soak;
