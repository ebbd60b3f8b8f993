//! Tests of the gRPC server's timeouts and statuses.

use super::*;

#[test]
fn grpc_timeout_header_is_parsed() {
    let parse = |text: &'static str| {
        let mut metadata = MetadataMap::new();
        metadata.insert("grpc-timeout", MetadataValue::from_static(text));
        grpc_timeout(&metadata)
    };
    for (text, micros) in [
        ("1H", 3_600_000_000),
        ("2M", 120_000_000),
        ("3S", 3_000_000),
        ("4m", 4_000),
    ] {
        assert_eq!(parse(text), Ok(Some(micros)), "{text}");
    }
    assert_eq!(parse("99999999n"), Ok(Some(99_999)));
    for text in [
        "",
        "S",
        "1",
        "123456789S",
        "-1S",
        "+1S",
        "1s",
        "1.5S",
        "1 S",
    ] {
        assert!(parse(text).is_err(), "{text:?}");
    }
    assert_eq!(grpc_timeout(&MetadataMap::new()), Ok(None));
}

#[test]
fn failure_status_differs_from_rejection() {
    let reject_reasons = [
        RejectReason::Overloaded,
        RejectReason::NodeFull,
        RejectReason::Stopping,
    ];
    for reason in reject_reasons {
        let status = status(&FinalStatus::Rejected {
            retry_after: Some(1_500),
            reason,
        });
        assert!(matches!(
            status.code(),
            Code::ResourceExhausted | Code::Unavailable
        ));
        assert_eq!(
            status.metadata().get("grpc-retry-pushback-ms").unwrap(),
            "2"
        );
        let retry = status.get_details_retry_info().unwrap();
        assert_eq!(retry.retry_delay, Some(Duration::from_micros(1_500)));
    }
    let text = || "why".to_string();
    let failure_reasons = [
        FailureReason::Deadline,
        FailureReason::AttemptsExhausted(text()),
        FailureReason::StreamBroken(text()),
        FailureReason::NodeStopped,
        FailureReason::InvalidRequest(text()),
    ];
    for reason in failure_reasons {
        let status = status(&FinalStatus::Failed(reason));
        assert!(!matches!(
            status.code(),
            Code::ResourceExhausted | Code::Unavailable | Code::Ok
        ));
        assert_eq!(
            status.metadata().get("grpc-retry-pushback-ms").unwrap(),
            "-1"
        );
        assert!(status.get_details_retry_info().is_none());
    }
}
