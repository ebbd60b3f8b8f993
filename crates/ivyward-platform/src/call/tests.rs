//! Tests of the parts of `call` that nobody outside sees.

use super::*;

#[test]
fn shares_of_the_budget_are_given_back() {
    let budget = Budget::new(100);
    let (mut one, mut other) = (Share::new(&budget), Share::new(&budget));
    assert!(one.grow(60) && !other.grow(60));
    drop(other);
    assert!(one.grow(40) && budget.held() == 100);
    drop(one);
    assert_eq!(budget.held(), 0);
}

/// The client's end counts when its machine says so, before the task that reads its connection comes to it.
#[test]
fn a_client_that_closed_has_left_though_nobody_read_it() {
    use ivyward::runtime::RuntimeExt;
    use ivyward_sim::{Net, Sim};
    let sim = Sim::new(1, Net::default());
    let (node, client) = (sim.host(1), sim.host(2));
    let (runtime, other) = (node.runtime(), client.runtime());
    let at = std::net::SocketAddr::from(([127, 0, 0, 9], 80));
    let played = sim.run(&node, 60_000_000, async move {
        let mut listener = runtime.listen(at).unwrap();
        let theirs = other.connect(at).await.unwrap();
        let (ours, _) = listener.accept().await.unwrap();
        let text = b"POST / HTTP/1.1\r\n\r\n";
        let limits = ivyward_http1::Limits {
            head: 1_000,
            headers: 4,
            body: 9,
            chunk: 9,
        };
        let (request, _) = Request::read(text, &limits).unwrap().unwrap();
        let prompt = Prompt {
            bytes: Vec::new(),
            _share: Share::new(&Budget::new(1)),
        };
        let call = PlatformCall::new("x", &request, true, prompt, ours.peer(), 1);
        assert!(!call.is_disconnected());
        drop(theirs);
        runtime.sleep(1_000).await;
        assert!(call.is_disconnected(), "its end has come");
        drop(ours);
    });
    played.unwrap();
}
