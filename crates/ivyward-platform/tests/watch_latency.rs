//! A change of the list is heeded 6 s after discovery had it and could be reached, whatever call failed meanwhile.

mod common;
use common::*;
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward_platform::Config;
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// The term, less what a node with a fifth of a core may take to act on what it read.
const TOLD: Micros = 5_900 * MS;

/// One reader and one writer drain at a moment at which discovery does `faults`; asked all the time, the node sends them
/// nothing from the term on.
fn drained(name: &str, silence: bool, faults: &[Told]) {
    // Just after an answer, in the middle of a wait, just before its end.
    for after in [2, 700, 1_490] {
        let faults = faults.to_vec();
        let name = format!("{name}, {after} ms");
        Rig::new(|_| Play::Usual).play(move |scene| async move {
            // From the begin of a watch's wait on.
            scene.relist(list(&["up"; 4]));
            scene.runtime.sleep(after * MS).await;
            {
                let mut told = scene.faults.lock().unwrap();
                told.next = faults.into();
                if silence {
                    told.silence();
                }
            }
            scene.relist(list(&["draining", "up", "draining", "up"]));
            let told = scene.runtime.now();
            for n in 0..100 {
                scene.ask(&format!("r{n}"), "draft").await;
                scene.runtime.sleep(60 * MS).await;
            }
            let at = |seen: &&Seen| matches!(seen.engine, 0 | 2) && seen.method == "POST";
            let last = scene
                .seen()
                .iter()
                .filter(at)
                .map(|s| s.at)
                .max()
                .unwrap_or(0);
            assert!(
                last < told + TOLD,
                "{name}: a send {} us after the change",
                last - told
            );
            assert!(
                scene.faults.lock().unwrap().calls < 60,
                "{name}: discovery is not run against"
            );
        });
    }
}

#[test]
fn an_open_watch_falls_silent() {
    drained("silent", true, &[]);
}

#[test]
fn silent_watch_then_calls_that_are_accepted_and_never_answered() {
    drained(
        "silent, three more",
        true,
        &[Told::Silent, Told::Silent, Told::Silent],
    );
}

#[test]
fn calls_that_fail_quickly_one_after_the_other() {
    let faults = [
        Told::Reset,
        Told::Close,
        Told::Status(503),
        Told::Cut(30),
        Told::Cut(200),
        Told::Close,
    ];
    drained("quick", false, &faults);
    drained("silent, then quick", true, &faults);
}

#[test]
fn an_answer_that_stops_in_the_middle_of_its_head_or_body() {
    drained("part", false, &[Told::Part(10), Told::Part(120)]);
    drained(
        "silent, then part",
        true,
        &[Told::Part(10), Told::Part(120)],
    );
}

#[test]
fn answers_that_are_malformed() {
    let bodies = [
        "{",
        "[]",
        "null",
        "{\"version\":\"x\"}",
        "{\"version\":-1,\"full\":true,\"servers\":[]}",
        "{\"version\":2,\"full\":true,\"servers\":{}}",
    ];
    let faults: Vec<Told> = bodies.iter().map(|b| Told::Body((*b).to_owned())).collect();
    drained("malformed", false, &faults);
    drained("silent, then malformed", true, &faults);
}

/// Changes of an older version say what was; what is follows with the next call.
#[test]
fn versions_that_go_back() {
    let old = format!(
        r#"{{"version":0,"full":false,"servers":[{}]}}"#,
        entry(0, "up")
    );
    drained("back", false, &[Told::Body(old.clone()), Told::Body(old)]);
}

/// A drain that was told is not undone by changes of an older version, though nothing newer is told for long.
#[test]
fn changes_of_an_older_version_undo_no_drain() {
    Rig::new(|_| Play::Usual).play(|scene| async move {
        scene.relist(list(&["draining", "up", "draining", "up"]));
        scene.runtime.sleep(20 * MS).await;
        let told = scene.runtime.now();
        let older = format!(
            r#"{{"version":1,"full":false,"servers":[{},{}]}}"#,
            entry(0, "up"),
            entry(2, "up")
        );
        {
            let mut faults = scene.faults.lock().unwrap();
            // The next watch is answered so; the list is asked for after it, and that call hangs.
            faults.next = [Told::Body(older), Told::Silent].into();
        }
        for n in 0..60 {
            scene.ask(&format!("r{n}"), "draft").await;
            scene.runtime.sleep(50 * MS).await;
        }
        let late = scene
            .seen()
            .iter()
            .filter(|s| s.at > told && matches!(s.engine, 0 | 2))
            .count();
        assert_eq!(late, 0);
        assert!(
            scene.faults.lock().unwrap().next.is_empty(),
            "both were asked for"
        );
    });
}

/// A service that turns calls away is asked for the news again, which cost it less than the whole list; after any other
/// failure the whole list is asked for.
#[test]
fn after_a_refusal_the_news_are_asked_for_again() {
    for (fault, news) in [
        (Told::Status(503), true),
        (Told::Status(429), true),
        (Told::Status(500), false),
    ] {
        Rig::new(|_| Play::Usual).play(move |scene| async move {
            scene.relist(list(&["up"; 4]));
            scene.runtime.sleep(100 * MS).await;
            let asked = {
                let mut faults = scene.faults.lock().unwrap();
                faults.next = [fault.clone()].into();
                faults.targets.len()
            };
            until(&scene.runtime, "three calls", || {
                scene.faults.lock().unwrap().targets.len() >= asked + 3
            })
            .await;
            let targets = scene.faults.lock().unwrap().targets[asked..asked + 3].to_vec();
            // The fault meets the watch that follows the one that is out.
            let again: Vec<bool> = targets.iter().map(|t| t.contains("from=2")).collect();
            assert_eq!(again[1], news, "{fault:?}: {targets:?}");
            assert!(again[2], "{fault:?}: {targets:?}");
        });
    }
}

/// A service that needs 1.6 s for each call, and more while many wait, is heard all the same: a call that it was asked is not
/// given up for the next one, and it is not run against.
#[test]
fn a_service_under_load_is_waited_for() {
    let rig = Rig::new(|_| Play::Usual);
    rig.play(|scene| async move {
        {
            let mut told = scene.faults.lock().unwrap();
            told.always = Some(Told::Late(1_600 * MS));
            told.silence();
        }
        scene.relist(list(&["draining", "up", "draining", "up"]));
        let (told, calls) = (scene.runtime.now(), scene.faults.lock().unwrap().calls);
        for n in 0..140 {
            scene.ask(&format!("r{n}"), "draft").await;
            scene.runtime.sleep(60 * MS).await;
        }
        let at = |seen: &&Seen| matches!(seen.engine, 0 | 2) && seen.method == "POST";
        let last = scene
            .seen()
            .iter()
            .filter(at)
            .map(|s| s.at)
            .max()
            .unwrap_or(0);
        assert!(
            last < told + TOLD,
            "a send {} us after the change",
            last - told
        );
        let calls = scene.faults.lock().unwrap().calls - calls;
        assert!(calls <= 10, "{calls} calls in 8 s");
    });
}

/// While discovery is down the held list serves; what it has at its return is heeded soon after.
#[test]
fn discovery_is_silent_for_eight_seconds_and_back() {
    for down in [Told::Silent, Told::Reset] {
        let rig = Rig::new(|_| Play::Usual);
        rig.play(move |scene| async move {
            {
                let mut told = scene.faults.lock().unwrap();
                told.always = Some(down.clone());
                told.silence();
            }
            scene.relist(list(&["draining", "up", "draining", "up"]));
            for n in 0..80 {
                assert_eq!(scene.ask(&format!("down{n}"), "draft").await.status, 200);
                scene.runtime.sleep(100 * MS).await;
            }
            scene.faults.lock().unwrap().always = None;
            let back = scene.runtime.now();
            for n in 0..60 {
                scene.ask(&format!("up{n}"), "draft").await;
                scene.runtime.sleep(50 * MS).await;
            }
            let at = |seen: &&Seen| {
                matches!(seen.engine, 0 | 2) && seen.method == "POST" && seen.at > back
            };
            let last = scene
                .seen()
                .iter()
                .filter(at)
                .map(|s| s.at)
                .max()
                .unwrap_or(back);
            assert!(last - back < 1_200 * MS, "{down:?}: {} us", last - back);
        });
    }
}

/// A node that starts while discovery is down and has nothing of before is ready as soon as discovery is back.
#[test]
fn a_start_without_discovery_is_ready_soon_after_its_return() {
    let rig = Rig::new(|_| Play::Usual);
    rig.faults.lock().unwrap().always = Some(Told::Silent);
    let (faults, client) = (rig.faults.clone(), rig.client.runtime());
    let (runtime, config) = (rig.runtime.clone(), rig.config());
    let played = rig.sim.run(&rig.node, DAY, async move {
        let service = ivyward_platform::Service::start(runtime.clone(), config)
            .await
            .unwrap();
        runtime.sleep(8_000 * MS).await;
        faults.lock().unwrap().always = None;
        runtime.sleep(1_000 * MS).await;
        let mut conn = client.connect(service.address()).await.unwrap();
        futures_lite::AsyncWriteExt::write_all(&mut conn, b"GET /healthz HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        assert_eq!(got(&client, &mut conn).await.status, 200);
    });
    played.unwrap();
}

/// Moved while a call to the old address hangs: the new one is asked at once.
#[test]
fn moved_while_a_call_hangs() {
    let rig = Rig::new(|_| Play::Usual);
    let (other, new) = (rig.sim.host(44), SocketAddr::from(([127, 0, 2, 2], 8500)));
    let newer = std::sync::Arc::new(std::sync::Mutex::new((
        70,
        list(&["draining", "up", "draining", "up"]),
    )));
    discover(&other, new, &newer, &Default::default());
    let moved = config(new, 1024);
    rig.play(move |scene| async move {
        {
            let mut told = scene.faults.lock().unwrap();
            told.always = Some(Told::Silent);
            told.silence();
        }
        scene.runtime.sleep(100 * MS).await;
        scene
            .service
            .reload(&Config::parse("f", moved.as_bytes()).unwrap());
        scene.runtime.sleep(50 * MS).await;
        let told = scene.runtime.now();
        for n in 0..20 {
            scene.ask(&format!("r{n}"), "draft").await;
        }
        let late = scene
            .seen()
            .iter()
            .filter(|s| s.at > told && matches!(s.engine, 0 | 2))
            .count();
        assert_eq!(late, 0);
    });
}

/// A list of 1,500 engines, indented, over a slow connection: more than a body of a request may have, and more than the
/// first try's time.
#[test]
fn a_long_list_over_a_slow_connection() {
    let rig = Rig::new(|_| Play::Usual);
    {
        let mut list = rig.list.lock().unwrap();
        for n in 0..1_500 {
            let more = format!(
                ",\n        {{\n            \"id\": \"s-x{n:06}\",\n            \"addr\": \"127.0.3.1:{}\",\n            \"zone\": \"a\",\n            \"kind\": \"prefill\",\n            \"cell\": 3,\n            \"state\": \"draining\",\n            \"weight\": 1.0,\n            \"started_ms\": 0\n        }}",
                10_000 + n
            );
            list.1.push_str(&more);
        }
        assert!(list.1.len() > 256 << 10);
    }
    // 100 kB a second: some four seconds.
    rig.faults.lock().unwrap().always = Some(Told::Slow(5_000, 50 * MS));
    rig.play(|scene| async move {
        assert_eq!(scene.service.node().metrics().engines.get(), 1_504);
        assert_eq!(scene.ask("one", "draft").await.status, 200);
    });
}

/// One entry that cannot be read, and a list as last held that cannot, keep no node from starting.
#[test]
fn a_held_list_that_cannot_be_read_is_left_out() {
    for known in [
        "17",
        "\"x\"",
        "{\"servers\":3}",
        "{\"version\":1,\"full\":true,\"servers\":[{},7]}",
        "null",
    ] {
        let mut rig = Rig::new(|_| Play::Usual);
        rig.config = rig
            .config
            .replacen('{', &format!("{{\"known\":{known},"), 1);
        rig.play(|scene| async move {
            assert_eq!(scene.ask("one", "draft").await.status, 200);
        });
    }
}
