//! Rule 5: what is held with no attempt at an engine is taken or let go of in the settings' time, behind cuts too.

mod common;
use common::*;
use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;

const WITHIN: Micros = 300_000;
const MS: Micros = 1_000;

/// Every request's longest time held, once the scene is over.
fn kept(scene: &Scene, ids: &[String]) -> Micros {
    let (book, now) = (scene.book.lock().unwrap(), scene.runtime.now());
    ids.iter()
        .map(|id| book.held_longest(id, now))
        .max()
        .unwrap_or(0)
}

/// Nobody can be reached: what is owed stays owed, is asked for without spinning, and is met at the first word.
#[test]
fn all_engines_are_silent_then_one_is_back() {
    let rig = Rig::new(|seen| if writes(seen) { say(AWAY) } else { Play::Usual });
    rig.play(|scene| async move {
        // Each request is at its reader when all are cut off.
        let mut conns = Vec::new();
        for n in 0..20 {
            let mut conn = scene.connect().await;
            conn.write_all(&request(&format!("a{n}"), "send", 4_800))
                .await
                .unwrap();
            conns.push(conn);
        }
        scene.runtime.sleep(600).await;
        scene.cut(&[0, 1, 2, 3], true);
        drop(conns);
        scene.runtime.sleep(30_000 * MS).await;
        let owed = scene.service.node().pending_releases();
        assert!(owed > 0, "what they may have left is owed");
        let asked = scene.service.node().metrics().releases.get();
        assert!(asked < 20 * 60, "{asked} asks in half a minute");
        scene.cut(&[3], false);
        let back = scene.runtime.now();
        until(&scene.runtime, "all is let go of", || {
            scene.service.node().pending_releases() == 0
        })
        .await;
        let took = scene.runtime.now() - back;
        // Nothing else is heard here: each of four engines is asked after a pause of eight spans at most.
        assert!(took < (4 * 8 + 2) * WITHIN, "{took} us");
        assert_eq!(scene.service.node().metrics().releases_dropped.get(), 0);
    });
}

/// Told to end in the middle of a cut: the node lets go first, and ends all the same where nobody can be reached.
#[test]
fn a_node_that_is_told_to_end_lets_go_first() {
    for reachable in [true, false] {
        let rig = Rig::new(|seen| if writes(seen) { say(AWAY) } else { Play::Usual });
        rig.play(move |mut scene| async move {
            let mut conn = scene.connect().await;
            conn.write_all(&request("last", "send", 4_800))
                .await
                .unwrap();
            until(&scene.runtime, "a read", || {
                scene.sends("last").iter().any(reads)
            })
            .await;
            let last = scene.runtime.now();
            scene.cut(if reachable { &[0, 1, 2] } else { &[0, 1, 2, 3] }, true);
            drop(conn);
            scene.service.stop().await;
            let took = scene.runtime.now() - last;
            assert_eq!(scene.service.node().open_requests(), 0);
            match reachable {
                true => {
                    let book = scene.book.lock().unwrap();
                    assert!(book.held_longest("last", scene.runtime.now()) <= WITHIN);
                    assert_eq!(scene.service.node().metrics().releases_dropped.get(), 0);
                }
                false => {
                    assert_eq!(
                        scene.service.node().metrics().releases_dropped.get(),
                        1,
                        "and it is counted"
                    )
                }
            }
            assert!(took < 12 * WITHIN + 1_000 * MS, "{took} us");
        });
    }
}

/// Engines break, stay silent, lose their answer on its way back or say too late that a place is held; clients leave at any
/// moment; classes may be repeated or not; 60 requests are open at once.
#[test]
fn whatever_ends_an_attempt_nothing_stays_held() {
    for salt in 0..12u64 {
        let rig = Rig::new(move |seen| {
            let hash = |text: &str| {
                text.bytes().fold(salt, |h, b| {
                    (h ^ u64::from(b))
                        .wrapping_mul(0x100_0000_01b3)
                        .rotate_left(17)
                })
            };
            let of = if seen.id.is_empty() {
                seen.target.trim_start_matches("/v1/holds/")
            } else {
                &seen.id
            };
            match (hash(of) ^ (seen.engine as u64 * 7)) % 16 {
                _ if seen.method == "DELETE" => Play::Usual,
                // 202 is lost on its way back, or the connection breaks before it.
                0 | 1 => Play::SayAndClose(Vec::new()),
                2 | 3 => say(AWAY),
                4 => Play::Silent,
                5 => say("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
                // Not known, and only after a while.
                6 | 7 if seen.id.is_empty() => Play::Late(300 * MS),
                8 => Play::Late(900 * MS),
                9 if writes(seen) => {
                    say("HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
                }
                _ => Play::Usual,
            }
        });
        rig.play(move |scene| async move {
            let ids: Vec<String> = (0..120).map(|n| format!("w{n}")).collect();
            for (n, id) in ids.iter().enumerate() {
                let (client, address, id) = (scene.client.clone(), scene.address, id.clone());
                scene.client.run(async move {
                    client.sleep(n as Micros * 25 * MS).await;
                    let class = if n % 3 == 0 { "send" } else { "draft" };
                    let mut conn = client.connect(address).await.unwrap();
                    conn.write_all(&request(&id, class, 800 + n as u64 * 31))
                        .await
                        .unwrap();
                    if n % 4 == 1 {
                        // Leaves in each moment of a request's life.
                        client.sleep((n as Micros * 37) % 900 * 1_000).await;
                    } else {
                        got(&client, &mut conn).await;
                    }
                });
            }
            scene.runtime.sleep(15_000 * MS).await;
            let kept = kept(&scene, &ids);
            assert!(kept <= WITHIN + 50 * MS, "salt {salt}: kept for {kept} us");
            assert_eq!(
                (
                    scene.service.node().open_requests(),
                    scene.service.node().pending_releases()
                ),
                (0, 0)
            );
        });
    }
}

/// The engine that holds leaves the list, or comes back with another process, while it holds.
#[test]
fn the_holder_leaves_the_list() {
    for left in ["removed", "draining"] {
        let rig = Rig::new(|seen| {
            if writes(seen) {
                Play::Late(500 * MS)
            } else {
                Play::Usual
            }
        });
        rig.play(move |scene| async move {
            let mut conn = scene.connect().await;
            conn.write_all(&request("one", "draft", 4_800))
                .await
                .unwrap();
            until(&scene.runtime, "a write", || {
                scene.sends("one").iter().any(writes)
            })
            .await;
            scene.relist(list(&[left, left, "up", "up"]));
            scene.runtime.sleep(50 * MS).await;
            drop(conn);
            scene.runtime.sleep(3_000 * MS).await;
            let kept = kept(&scene, &["one".into()]);
            assert!(kept <= WITHIN, "{left}: kept for {kept} us");
            assert!(
                scene.releases("one").iter().all(|r| r.engine >= 2),
                "one that is listed is asked"
            );
            assert_eq!(scene.service.node().pending_releases(), 0);
        });
    }
}

/// A very short told time is kept as far as an answer's way allows.
#[test]
fn a_short_time_to_let_go_is_kept() {
    for within in [20, 60, 120] {
        let mut rig = Rig::new(|_| Play::Usual);
        rig.config = rig.config.replace(
            "\"let_go_by_us\":300000",
            &format!("\"let_go_by_us\":{}", within * MS),
        );
        for writer in 2..4 {
            rig.sim.cut(rig.node.id(), rig.engines[writer].id(), true);
        }
        rig.play(move |scene| async move {
            let ids: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
            for id in &ids {
                scene.ask(id, "send").await;
            }
            scene.runtime.sleep(2_000 * MS).await;
            let kept = kept(&scene, &ids);
            assert!(kept <= within * MS, "{within} ms told: kept for {kept} us");
        });
    }
}

/// Deployments in which a rule is not told, or told shorter than usual, are served all the same.
#[test]
fn unusual_spans_do_not_keep_a_node_from_starting() {
    let changes = [
        ("\"let_go_by_us\":300000", "\"let_go_by_us\":20000"),
        ("\"drain_grace_us\":1000000", "\"drain_grace_us\":100000"),
        ("\"retry_after\":true", "\"retry_after\":false"),
        ("\"dial_timeout_us\":250000", "\"dial_timeout_us\":1500000"),
        ("\"fall_us\":3000000", "\"fall_us\":0"),
        ("\"warm_after_us\":10000000", "\"warm_after_us\":0"),
        ("\"let_go_by_us\":300000", "\"let_go_by_us\":0"),
        ("\"dial_timeout_us\":250000", "\"dial_timeout_us\":400"),
        ("\"target_us\":1500000", "\"target_us\":9500000"),
        ("\"target_us\":1500000", "\"target_us\":0"),
        ("\"deadline_us\":7500000", "\"deadline_us\":400000"),
        ("\"deadline_us\":7500000", "\"deadline_us\":36000000000"),
        (
            "fragile\",\"target_us\":1500000,\"deadline_us\":7500000",
            "fragile\",\"target_us\":9,\"deadline_us\":9",
        ),
        ("\"semantics\":\"fragile\"", "\"semantics\":\"dedup\""),
        ("\"key_ttl_us\":5000000", "\"key_ttl_us\":0"),
    ];
    for (usual, other) in changes {
        let mut rig = Rig::new(|_| Play::Usual);
        assert!(rig.config.contains(usual), "{usual}");
        rig.config = rig.config.replace(usual, other);
        rig.play(|scene| async move {
            assert_eq!(scene.ask("one", "draft").await.status, 200);
        });
    }
}

/// A keyed class whose engines remember nothing is served, and nothing of it is repeated.
#[test]
fn a_keyed_class_without_a_window_starts_and_repeats_nothing() {
    let mut rig = Rig::new(|seen| {
        if writes(seen) {
            Play::SayAndClose(Vec::new())
        } else {
            Play::Usual
        }
    });
    rig.config = rig
        .config
        .replace("fragile", "dedup")
        .replace("\"key_ttl_us\":5000000", "\"key_ttl_us\":0");
    rig.play(|scene| async move {
        assert_ne!(scene.ask("one", "send").await.status, 200);
        assert_eq!(scene.sends("one").iter().filter(|s| writes(s)).count(), 1);
    });
}

/// Requests that hang at engines end together, over a hundred of them, of three hundred that came at once.
#[test]
fn releases_get_through_while_all_descriptors_are_used() {
    let rig = Rig::with(700, |seen| match seen.method.as_str() {
        "POST" if seen.id.starts_with('h') => Play::Silent,
        _ => Play::Usual,
    });
    rig.play(|scene| async move {
        let ids: Vec<String> = (0..300).map(|n| format!("h{n}")).collect();
        let mut conns = Vec::new();
        for id in &ids {
            let mut conn = scene.connect().await;
            conn.write_all(&request(id, "draft", 9_000)).await.unwrap();
            conns.push(conn);
        }
        let came = || {
            let book = scene.book.lock().unwrap();
            book.seen
                .iter()
                .filter(|s| s.method == "POST" && !s.id.is_empty())
                .count()
        };
        until(&scene.runtime, "many are at an engine", || came() >= 100).await;
        drop(conns);
        scene.runtime.sleep(3_000 * MS).await;
        let kept = kept(&scene, &ids);
        assert!(kept <= WITHIN, "kept for {kept} us");
        assert_eq!(scene.service.node().pending_releases(), 0);
    });
}

/// A cut begins while a read, a hold or a write is on its way, and ends after the last release of its request: what was given
/// up does not land then.
#[test]
fn what_is_on_its_way_when_a_cut_begins_does_not_land_when_it_ends() {
    for engines in [vec![0, 1], vec![2, 3], vec![0, 1, 2, 3], vec![0, 2]] {
        for leaves in [false, true] {
            for after in (0..1_600).step_by(100) {
                let engines = engines.clone();
                Rig::new(|_| Play::Usual).play(move |scene| async move {
                    scene.book.lock().unwrap().holds_need_reads = true;
                    // Connections stand, so that all leaves at once.
                    for n in 0..4 {
                        scene.ask(&format!("w{n}"), "draft").await;
                    }
                    let mut conn = scene.connect().await;
                    conn.write_all(&request("one", "draft", 700)).await.unwrap();
                    scene.runtime.sleep(after).await;
                    scene.cut(&engines, true);
                    if leaves {
                        scene.runtime.sleep(100 * MS).await;
                        drop(conn);
                    } else {
                        got(&scene.client, &mut conn).await;
                    }
                    scene.runtime.sleep(5_000 * MS).await;
                    let over = scene.runtime.now();
                    scene.cut(&engines, false);
                    scene.runtime.sleep(3_000 * MS).await;
                    let what = format!("cut {engines:?} {after} us after, leaves {leaves}");
                    let of = |s: &&Seen| {
                        s.id == "one" || s.target.ends_with("/one") && s.method == "POST"
                    };
                    let late = scene
                        .seen()
                        .iter()
                        .filter(of)
                        .filter(|s| s.at > over)
                        .count();
                    assert_eq!(late, 0, "{what}: what was given up landed");
                    // Behind other cuts a write may be lost, or nobody can be asked, for as long as the cut lasts.
                    if engines == [0, 1] {
                        let kept = kept(&scene, &["one".into()]);
                        assert!(kept <= WITHIN, "{what}: {kept} us");
                    }
                    assert_eq!(
                        (
                            scene.service.node().open_requests(),
                            scene.service.node().pending_releases()
                        ),
                        (0, 0)
                    );
                });
            }
        }
    }
}

/// Guards against a write that leaves on a standing connection into a cut: it has not arrived, so it is not out, and the
/// state that it was to fetch waits until the write's own time is over.
#[test]
fn a_write_into_a_cut_does_not_keep_its_state_waiting() {
    for class in ["draft", "send"] {
        let rig = Rig::new(|_| Play::Usual);
        rig.play(move |scene| async move {
            // Standing connections to all engines, which then rest for a while.
            for n in 0..8 {
                assert_eq!(scene.ask(&format!("warm{n}"), class).await.status, 200);
            }
            scene.runtime.sleep(1_500 * MS).await;
            scene.cut(&[2, 3], true);
            let mut conns = Vec::new();
            for n in 0..4 {
                let mut conn = scene.connect().await;
                conn.write_all(&request(&format!("cut{n}"), class, 4_800))
                    .await
                    .unwrap();
                conns.push(conn);
            }
            scene.runtime.sleep(3_000 * MS).await;
            let ids: Vec<String> = (0..4).map(|n| format!("cut{n}")).collect();
            assert!(
                kept(&scene, &ids) <= WITHIN,
                "{class}: held for {} us",
                kept(&scene, &ids)
            );
        });
    }
}

/// The same in a cut that begins right after the engines' last word, where nothing shows it before the write leaves.
#[test]
fn a_write_into_a_cut_that_has_just_begun_does_not_keep_its_state_waiting() {
    let rig = Rig::new(|_| Play::Usual);
    rig.play(|scene| async move {
        for n in 0..8 {
            assert_eq!(scene.ask(&format!("warm{n}"), "draft").await.status, 200);
        }
        scene.runtime.sleep(20 * MS).await;
        scene.cut(&[2, 3], true);
        let mut conns = Vec::new();
        for n in 0..4 {
            let mut conn = scene.connect().await;
            conn.write_all(&request(&format!("cut{n}"), "draft", 4_800))
                .await
                .unwrap();
            conns.push(conn);
        }
        scene.runtime.sleep(3_000 * MS).await;
        let ids: Vec<String> = (0..4).map(|n| format!("cut{n}")).collect();
        assert!(
            kept(&scene, &ids) <= WITHIN,
            "held for {} us",
            kept(&scene, &ids)
        );
    });
}
