//! Protobuf messages and gRPC services of ivyward, generated from `proto/` by `build.rs`.
//!
//! - [`front`]: the service for clients.
//! - [`engine`]: the service of engines, which nodes call.
//! - [`etcd`]: the part of etcd's public v3 API that the etcd client uses.
//! - [`peers`]: the messages between nodes.
//! - [`record`]: the entries of a recording, which contain a router's inputs and outputs.
#![allow(clippy::all, missing_docs)]

/// Package `ivyward.front.v1`: the service for clients.
pub mod front {
    tonic::include_proto!("ivyward.front.v1");
}

/// Package `ivyward.engine.v1`: the service of engines, which nodes call.
pub mod engine {
    tonic::include_proto!("ivyward.engine.v1");
}

/// Package `ivyward.peers.v1`: the messages between nodes.
pub mod peers {
    tonic::include_proto!("ivyward.peers.v1");
}

/// Package `ivyward.record.v1`: the entries of a recording.
pub mod record {
    tonic::include_proto!("ivyward.record.v1");
}

/// etcd's own packages. They are siblings because the generated code of `etcdserverpb` refers to `super::mvccpb`.
pub mod etcd {
    /// Package `mvccpb`: keys, values and events.
    pub mod mvccpb {
        tonic::include_proto!("mvccpb");
    }
    /// Package `etcdserverpb`: the services and their requests and responses.
    pub mod etcdserverpb {
        tonic::include_proto!("etcdserverpb");
    }
}
