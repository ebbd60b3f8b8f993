//! Which engines there are: [`follow`] by etcd's watch API, [`registration`]: the records there, [`snapshot`]: the last
//! list in a file.

pub mod registration;
pub mod snapshot;
pub mod watcher;
