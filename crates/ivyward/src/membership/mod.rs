//! Membership of the cluster's engines.
//!
//! - [`watcher`]: watches the engines' registration records in etcd.
//! - [`registration`]: the format of a registration record.
//! - [`snapshot`]: the last known list of engines in a file, for a start while etcd cannot be reached.

pub mod registration;
pub mod snapshot;
pub mod watcher;
