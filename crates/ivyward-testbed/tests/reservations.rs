//! Decode slots reserved before prefill, load reports, and the node's limits.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::core::interface::{Event, ReportField};
use ivyward::recording::RecordingReader;
use ivyward_fakes::event_log::{CallKind, ClientOutcome, ObservedEvent, RetentionEnd};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, RecordingBuffer};

#[test]
fn decode_slots_are_reserved_used_and_released() {
    let mut specs = pools(1, 2);
    // Prefill takes a quarter of a second, so that a decode slot is reserved during that time.
    specs[0].prefill_rate = 200.0;
    let mut make = ClusterBuilder::new(31, specs);
    make.settings.router.reserve_decode_slot = true;
    make.use_long_deadlines();
    let cluster = build(make);
    block_on(async {
        for i in 0..6 {
            let end = cluster
                .send(&cluster.new_request(0, QUICK, prompt(i, 50), 5))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        }
        let taken = |s: &ObservedEvent| {
            matches!(
                s,
                ObservedEvent::Released {
                    is_decode_slot: true,
                    how: RetentionEnd::Used,
                    ..
                }
            )
        };
        wait_for_event(&cluster, taken).await;
        // When a client disconnects during prefill, its decode slot is released at once, long before the engine's own
        // time limit.
        let client_request = cluster.new_request(0, QUICK, prompt(50, 50), 5);
        disconnect_when(
            &cluster,
            &client_request,
            |s| matches!(s, ObservedEvent::Retained { is_decode_slot: true, key, .. } if key.request == 7),
        )
        .await;
        wait_for_event(&cluster, |s| {
            matches!(
                s,
                ObservedEvent::Released {
                    is_decode_slot: true,
                    how: RetentionEnd::Released,
                    ..
                }
            )
        })
        .await;
        // A reservation that gets no answer from the decode engine does not delay prefill.
        for e in [1, 2] {
            cluster.engine(e).fault(|f| f.hang = true);
        }
        let (one, client_request) = (
            cluster.clone(),
            cluster.new_request(0, QUICK, prompt(60, 50), 5),
        );
        let (sender, receiver) = async_channel::bounded(1);
        let call = client_request.request.call_id;
        cluster.runtime.run(async move {
            let _ = sender.send(one.send(&client_request).await.unwrap()).await;
        });
        let arrived = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { call: c, kind: CallKind::Prefill, .. } if *c == call);
        wait_for_event(&cluster, arrived).await;
        for e in [1, 2] {
            cluster.engine(e).fault(|f| f.hang = false);
        }
        assert_eq!(
            receiver.recv().await.unwrap().outcome,
            ClientOutcome::Served
        );
        assert_clean(&cluster).await;
    });
}

#[test]
fn answers_carry_load_reports() {
    let memory = RecordingBuffer::default();
    let mut make = ClusterBuilder::new(32, pools(1, 1));
    make.settings.router.report_fields = vec![ReportField::Utilization, ReportField::Outstanding];
    make.recording = Some(memory.clone());
    let cluster = build(make);
    block_on(async {
        let end = cluster
            .send(&cluster.new_request(0, QUICK, prompt(1, 50), 5))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served);
        cluster.node(0).unwrap().flush_recording().await;
        assert_clean(&cluster).await;
    });
    let bytes = memory.bytes();
    let mut reader = RecordingReader::begin(&bytes[..]).unwrap();
    let mut reports = Vec::new();
    while let Some(step) = reader.step().unwrap() {
        if let Event::AttemptEnded { report, .. } = step.event {
            reports.push((report.len, report.values[1]));
        }
    }
    // Each engine had one request when it answered.
    assert_eq!(reports, [(2, 1.0), (2, 1.0)]);
}

#[test]
fn a_full_node_rejects_requests_with_a_reason() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 30_000;
    let mut make = ClusterBuilder::new(33, specs);
    make.settings.max_open_requests = 2;
    // Only the limit may cause a rejection: with long deadlines, delays on a busy machine do not count as overload.
    make.use_long_deadlines();
    let cluster = build(make);
    block_on(async {
        let node = cluster.node(0).unwrap();
        let long = |i| cluster.new_request(0, QUICK, prompt(i, 50), 2_000).request;
        let open: Vec<_> = (0..2).map(|i| node.generate(long(i), None)).collect();
        let end = cluster
            .send(&cluster.new_request(0, QUICK, prompt(9, 50), 5))
            .await
            .unwrap();
        assert_eq!(
            (end.outcome, end.code),
            (ClientOutcome::Rejected, 8),
            "{end:?}"
        );
        assert!(end.message.contains("this node is full"), "{end:?}");
        drop(open);
        cluster.wait_until_idle(5_000_000).await;
        let end = cluster
            .send(&cluster.new_request(0, QUICK, prompt(10, 50), 2))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        assert_clean(&cluster).await;
    });
}

/// Guards against unlimited dials: an engine that closes each connection at once causes a bounded number of dials, and
/// requests end in time.
#[test]
fn dials_to_an_engine_that_closes_each_connection_are_bounded() {
    let cluster = build(ClusterBuilder::new(34, pools(1, 1)));
    block_on(async {
        let runtime = cluster.runtime.clone();
        let address = {
            let mut engine = cluster.engine(1);
            engine.crash();
            engine.address()
        };
        let as_ref: ivyward_runtime::RuntimeRef = runtime.clone();
        let mut listener = as_ref.listen(address).unwrap();
        let dials = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let count = dials.clone();
        runtime.run(async move {
            while let Ok((conn, _)) = listener.accept().await {
                count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                drop(conn);
            }
        });
        for i in 0..5 {
            let end = cluster
                .send(&cluster.new_request(0, ORDER, prompt(i, 50), 5))
                .await
                .unwrap();
            assert!(
                matches!(end.outcome, ClientOutcome::Rejected | ClientOutcome::Failed),
                "{end:?}"
            );
        }
        let dials = dials.load(std::sync::atomic::Ordering::SeqCst);
        assert!(dials < 200, "{dials} dials for five requests");
        cluster.wait_until_idle(5_000_000).await;
        assert_eq!(cluster.node(0).unwrap().open_requests(), 0);
    });
}
