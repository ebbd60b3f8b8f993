//! Sessions and prefixes have the names that clients choose. The router's memory for them is bounded.

mod common;
use ivyward_core::interface::*;
use ivyward_core::router::Router;

/// Guards against a table that grows with each new name, also of requests that are rejected.
#[test]
fn ever_new_names_do_not_grow_the_tables_without_end() {
    const REQUESTS: u64 = 200_000;
    const MAX_NAMES: usize = 50_000;
    let mut router = Router::new(common::settings(), 7);
    let mut actions = Vec::new();
    for number in 1..=REQUESTS {
        let request = Request {
            id: RequestId(number),
            session: number,
            prefix: number,
            client_timeout: 1_000_000,
            prompt_tokens: 100.0,
            ..Request::default()
        };
        router.handle(number * 10, Event::Request(request), &mut actions);
        actions.clear();
        assert!(router.client_names() <= MAX_NAMES, "{number} requests");
    }
}
