//! Places held ahead, load reports, and the node's bounds.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::core::interface::{Event, ReportField};
use ivyward::recording::RecordingReader;
use ivyward_fakes::event_log::{CallKind, ClientOutcome, ObservedEvent, RetentionEnd};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, RecordingBuffer};

#[test]
fn places_are_held_ahead_taken_and_let_go() {
    let mut specs = pools(1, 2);
    // Reads take a quarter of a second, so that a place is held meanwhile.
    specs[0].prefill_rate = 200.0;
    let mut make = ClusterBuilder::new(31, specs);
    make.settings.router.reserve_decode_slot = true;
    make.use_long_deadlines();
    let scene = build(make);
    block_on(async {
        for i in 0..6 {
            let end = scene
                .send(&scene.new_request(0, QUICK, prompt(i, 50), 5))
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
        seen(&scene, taken).await;
        // A client that leaves during the read: its place is let go at once, long before the engine's own limit.
        let ask = scene.new_request(0, QUICK, prompt(50, 50), 5);
        leaves_when(
            &scene,
            &ask,
            |s| matches!(s, ObservedEvent::Retained { is_decode_slot: true, key, .. } if key.request == 7),
        )
        .await;
        seen(&scene, |s| {
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
        // An engine that cannot be asked holds up nothing.
        for e in [1, 2] {
            scene.engine(e).fault(|f| f.hang = true);
        }
        let (one, ask) = (
            scene.clone(),
            scene.new_request(0, QUICK, prompt(60, 50), 5),
        );
        let (tell, wait) = async_channel::bounded(1);
        let call = ask.request.call_id;
        scene.runtime.run(async move {
            let _ = tell.send(one.send(&ask).await.unwrap()).await;
        });
        let came = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { call: c, kind: CallKind::Prefill, .. } if *c == call);
        seen(&scene, came).await;
        for e in [1, 2] {
            scene.engine(e).fault(|f| f.hang = false);
        }
        assert_eq!(wait.recv().await.unwrap().outcome, ClientOutcome::Served);
        clean(&scene).await;
    });
}

#[test]
fn load_reports_ride_on_answers() {
    let memory = RecordingBuffer::default();
    let mut make = ClusterBuilder::new(32, pools(1, 1));
    make.settings.router.report_fields = vec![ReportField::Utilization, ReportField::Outstanding];
    make.recording = Some(memory.clone());
    let scene = build(make);
    block_on(async {
        let end = scene
            .send(&scene.new_request(0, QUICK, prompt(1, 50), 5))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served);
        scene.node(0).unwrap().flush_recording().await;
        clean(&scene).await;
    });
    let bytes = memory.bytes();
    let mut reader = RecordingReader::begin(&bytes[..]).unwrap();
    let mut reports = Vec::new();
    while let Some(step) = reader.step().unwrap() {
        if let Event::AttemptEnded { report, .. } = step.event {
            reports.push((report.len, report.values[1]));
        }
    }
    // One request was inside each engine when it answered.
    assert_eq!(reports, [(2, 1.0), (2, 1.0)]);
}

#[test]
fn a_full_node_refuses_and_says_so() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 30_000;
    let mut make = ClusterBuilder::new(33, specs);
    make.settings.max_open_requests = 2;
    // Refused by the bound alone: a wait on a busy machine is no overload.
    make.use_long_deadlines();
    let scene = build(make);
    block_on(async {
        let node = scene.node(0).unwrap();
        let long = |i| scene.new_request(0, QUICK, prompt(i, 50), 2_000).request;
        let held: Vec<_> = (0..2).map(|i| node.generate(long(i), None)).collect();
        let end = scene
            .send(&scene.new_request(0, QUICK, prompt(9, 50), 5))
            .await
            .unwrap();
        assert_eq!(
            (end.outcome, end.code),
            (ClientOutcome::Rejected, 8),
            "{end:?}"
        );
        assert!(end.message.contains("this node is full"), "{end:?}");
        drop(held);
        scene.wait_until_idle(5_000_000).await;
        let end = scene
            .send(&scene.new_request(0, QUICK, prompt(10, 50), 2))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        clean(&scene).await;
    });
}

/// Guards against dials without end: an engine that closes each connection at once costs a bounded number of them, and
/// requests end in time.
#[test]
fn an_engine_that_closes_each_connection_is_not_dialled_without_end() {
    let scene = build(ClusterBuilder::new(34, pools(1, 1)));
    block_on(async {
        let runtime = scene.runtime.clone();
        let address = {
            let mut engine = scene.engine(1);
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
            let end = scene
                .send(&scene.new_request(0, ORDER, prompt(i, 50), 5))
                .await
                .unwrap();
            assert!(
                matches!(end.outcome, ClientOutcome::Rejected | ClientOutcome::Failed),
                "{end:?}"
            );
        }
        let dials = dials.load(std::sync::atomic::Ordering::SeqCst);
        assert!(dials < 200, "{dials} dials for five requests");
        scene.wait_until_idle(5_000_000).await;
        assert_eq!(scene.node(0).unwrap().open_requests(), 0);
    });
}
