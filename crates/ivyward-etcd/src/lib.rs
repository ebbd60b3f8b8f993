//! A client of etcd's v3 API whose clock, tasks and sockets come from `ivyward-runtime`.
//!
//! Modules, lowest first; each uses only those above it:
//!
//! - `error`: [`EtcdError`], why a call to the store failed.
//! - `client`: [`Client`], with failover between endpoints and authentication.
//! - `kv`: reads, writes and transactions; [`Client::list`] reads all keys of a prefix at one revision.
//! - `lease`: leases; [`Client::keep_registered`] keeps a registration: a key under a lease that is renewed.
//! - `watch`: [`Watcher`], which delivers the changes after a revision and reports when some may have been missed.

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
pub use watch::{Notification, Watcher};
