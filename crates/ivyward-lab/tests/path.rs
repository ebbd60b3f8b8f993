//! The ordinary path and its ends, on loopback sockets.

use futures_lite::future::block_on;
use ivyward_lab::scene::{fleet, Make};
use ivyward_standins::sight::Heard;
use ivyward_standins::text;

fn prompt(seed: u32, length: u32) -> Vec<u32> {
    (0..length).map(|i| i.wrapping_mul(7) ^ seed).collect()
}

#[test]
fn a_prompt_is_read_and_answered() {
    let scene = Make::new(1, fleet(1)).build().unwrap();
    block_on(async {
        for i in 0..20 {
            let ask = scene.ask(0, 0, prompt(i, 400), 20);
            let end = scene.send(&ask).await.unwrap();
            let node = scene.node(0).unwrap();
            assert_eq!(end.how, Heard::Served, "{end:?} {} {:?}", node.metrics().text(0), scene.log.all());
            assert_eq!(end.tokens, text::answer(&ask.request.prompt, 20).len() as u32);
        }
        scene.settle(2_000_000).await;
    });
    let audit = scene.audit();
    assert_eq!((audit.kept(), audit.broken()), (5, vec![]));
}
