//! Messages and services of ivyward, as generated from `proto/`.
//!
//! - [`front`]: what clients call.
//! - [`engine`]: what engines serve.
//! - [`etcd`]: etcd's public v3 API, as far as it is needed.
//! - [`peers`]: what nodes say to each other.
//! - [`record`]: what a node was told and did, as kept in a recording.
#![allow(clippy::all, missing_docs)]

/// `ivyward.front.v1`: what clients call.
pub mod front {
    tonic::include_proto!("ivyward.front.v1");
}

/// `ivyward.engine.v1`: what engines serve.
pub mod engine {
    tonic::include_proto!("ivyward.engine.v1");
}

/// `ivyward.peers.v1`: what nodes say to each other.
pub mod peers {
    tonic::include_proto!("ivyward.peers.v1");
}

/// `ivyward.record.v1`: what a node was told and did.
pub mod record {
    tonic::include_proto!("ivyward.record.v1");
}

/// etcd's own packages: they name each other, so they stand side by side.
pub mod etcd {
    /// `mvccpb`.
    pub mod mvccpb {
        tonic::include_proto!("mvccpb");
    }
    /// `etcdserverpb`.
    pub mod etcdserverpb {
        tonic::include_proto!("etcdserverpb");
    }
}
