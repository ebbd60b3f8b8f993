//! Which engines there are. [`watcher`] follows the store, [`registration`] reads the records there, [`snapshot`] keeps the last
//! list in a file.

pub mod registration;
pub mod snapshot;
pub mod watcher;
