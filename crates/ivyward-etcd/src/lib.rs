//! A client of etcd's v3 API whose clock, tasks and sockets come from `ivyward-runtime`.
//!
//! Modules, lowest first; each uses only those above it:
//!
//! - `error`: why a call to the store fails.
//! - `client`: [`Client`], with failover between endpoints and authentication.
//! - `kv`: reads, writes and transactions; [`Client::list`] reads all keys of a prefix at one revision.
//! - `lease`: leases; [`Client::keep_registered`] keeps a key alive under a lease, as a registration needs it.
//! - `watch`: [`Watcher`], which delivers the changes after a revision and says when some may have been missed.

mod client;
mod error;
mod kv;
mod lease;
mod watch;

pub use client::{Client, EtcdOptions};
pub use error::EtcdError;
pub use ivyward_proto::etcd::{etcdserverpb as rpc, mvccpb};
pub use kv::{prefix_end, List};
pub use lease::LeaseEvent;
pub use watch::{Notice, Watcher};
