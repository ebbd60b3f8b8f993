//! The gRPC contract of the node also holds for calls that never become a request.

mod virtual_cluster;

use ivyward_core::interface::ListKind;
use ivyward_grpc::{encode, Cause, Channel, Options};
use ivyward_proto::front::{GenerateRequest, Tokens};
use virtual_cluster::{virtual_cluster, HOUR};

/// Guards against errors that do not say whether a retry is safe: an unknown method, a body that is no valid message and a
/// prompt over the limit end as failed, with the pushback value that forbids a retry.
#[test]
fn calls_that_never_become_a_request_fail_without_retry() {
    let cluster = virtual_cluster();
    let (node, address, _) = cluster.node(7);
    let (listed, runtime) = (cluster.listed(), cluster.runtime.clone());
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        let conn = runtime.connect(address).await.unwrap();
        let channel = Channel::begin(&runtime, conn, Options::default())
            .await
            .unwrap();
        let method = "/ivyward.front.v1.Front/Generate";
        let large = GenerateRequest {
            prompt: vec![u32::MAX; 2 << 20],
            ..GenerateRequest::default()
        };
        let malformed = bytes::Bytes::from_static(&[0, 0, 0, 0, 3, 0xff, 0xff, 0xff]);
        let mut ends = Vec::new();
        for (path, body) in [
            (
                "/ivyward.front.v1.Front/NoSuch",
                encode(&GenerateRequest::default()),
            ),
            (method, malformed),
            (method, encode(&large)),
        ] {
            let mut call = channel
                .call(path, body, http::HeaderMap::new())
                .await
                .unwrap();
            let Err(error) = call.next::<Tokens>().await else {
                panic!("{path} was answered")
            };
            let Cause::Status(status) = error.cause else {
                panic!("{path}: {error}")
            };
            let text = |name: &str| {
                status
                    .metadata
                    .get(name)
                    .map(|v| v.to_str().unwrap().to_owned())
            };
            ends.push((
                status.code,
                text("ivyward-outcome"),
                text("grpc-retry-pushback-ms"),
            ));
        }
        (ends, node.open_requests())
    });
    let (ends, open) = result.unwrap();
    assert_eq!(open, 0);
    assert_eq!(ends.len(), 3);
    for (code, outcome, pushback) in ends {
        assert_ne!(code, 0);
        assert_eq!(
            (outcome.as_deref(), pushback.as_deref()),
            (Some("failed"), Some("-1")),
            "code {code}"
        );
    }
}
