//! The fake store against an independent client: `etcd-client`, which uses tonic's transport and a tokio runtime. Shows that
//! the fake implements etcd's protocol, and not only what this workspace's client expects.

use etcd_client::{
    Client, Compare, CompareOp, ConnectOptions, DeleteOptions, EventType, GetOptions, PutOptions,
    Txn, TxnOp, TxnOpResponse, WatchFilterType, WatchOptions,
};
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::Host;
use std::future::Future;
use std::sync::Arc;

fn with_store<F: Future<Output = ()>>(test: impl FnOnce(Store, String) -> F) {
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    let store = Store::start(&host, 1).unwrap();
    let address = format!("http://{}", store.address());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test(store, address));
}

#[test]
fn keys_are_read_at_revisions_and_in_ranges() {
    with_store(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        let first = client
            .put("a/1", "x", None)
            .await
            .unwrap()
            .header()
            .unwrap()
            .revision();
        client.put("a/2", "y", None).await.unwrap();
        let again = client
            .put("a/1", "z", Some(PutOptions::new().with_prev_key()))
            .await
            .unwrap();
        assert_eq!(again.prev_key().unwrap().value_str().unwrap(), "x");
        client.put("b", "beside", None).await.unwrap();
        let all = client
            .get("a/", Some(GetOptions::new().with_prefix()))
            .await
            .unwrap();
        assert_eq!((all.count(), all.more()), (2, false));
        let kv = &all.kvs()[0];
        let found = (
            kv.key_str().unwrap(),
            kv.create_revision(),
            kv.mod_revision(),
            kv.version(),
        );
        assert_eq!(found, ("a/1", first, first + 2, 2));
        let page = client
            .get("a/", Some(GetOptions::new().with_prefix().with_limit(1)))
            .await
            .unwrap();
        assert_eq!((page.kvs().len(), page.more(), page.count()), (1, true, 2));
        let before = GetOptions::new().with_prefix().with_revision(first);
        assert_eq!(
            client.get("a/", Some(before)).await.unwrap().kvs()[0]
                .value_str()
                .unwrap(),
            "x"
        );
        let count = client
            .get(
                "",
                Some(GetOptions::new().with_all_keys().with_count_only()),
            )
            .await
            .unwrap();
        assert_eq!((count.count(), count.kvs().len()), (3, 0));
        let keys = client
            .get("a/1", Some(GetOptions::new().with_keys_only()))
            .await
            .unwrap();
        assert_eq!(keys.kvs()[0].value(), b"");
        let options = DeleteOptions::new().with_prefix().with_prev_key();
        let deleted = client.delete("a/", Some(options)).await.unwrap();
        assert_eq!((deleted.deleted(), deleted.prev_kvs().len()), (2, 2));
        // Deleting a key that does not exist does not create a revision.
        let at = client
            .delete("none", None)
            .await
            .unwrap()
            .header()
            .unwrap()
            .revision();
        assert_eq!(at, store.revision());
        let last = client
            .put("a/1", "new", None)
            .await
            .unwrap()
            .header()
            .unwrap()
            .revision();
        let kv = client.get("a/1", None).await.unwrap().kvs()[0].clone();
        assert_eq!(
            (kv.create_revision(), kv.version()),
            (last, 1),
            "versions of a deleted key start at 1 again"
        );
        // Errors have the messages of etcd.
        let future = client
            .get("a", Some(GetOptions::new().with_revision(last + 9)))
            .await
            .unwrap_err();
        assert!(
            future
                .to_string()
                .contains("required revision is a future revision"),
            "{future}"
        );
        client.compact(last, None).await.unwrap();
        let compacted = client
            .get("a/1", Some(GetOptions::new().with_revision(first)))
            .await
            .unwrap_err();
        assert!(
            compacted
                .to_string()
                .contains("required revision has been compacted"),
            "{compacted}"
        );
        let twice = client.compact(last, None).await.unwrap_err();
        assert!(
            twice
                .to_string()
                .contains("required revision has been compacted"),
            "{twice}"
        );
    });
}

#[test]
fn transaction_applies_all_operations_at_one_revision() {
    with_store(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        client.put("a", "1", None).await.unwrap();
        let txn = |expected: &str| {
            Txn::new()
                .when([
                    Compare::value("a", CompareOp::Equal, expected),
                    Compare::version("b", CompareOp::Equal, 0),
                ])
                .and_then([TxnOp::put("b", "done", None), TxnOp::delete("a", None)])
                .or_else([TxnOp::get("a", None)])
        };
        let failed = client.txn(txn("2")).await.unwrap();
        assert!(!failed.succeeded());
        assert!(
            matches!(&failed.op_responses()[..], [TxnOpResponse::Get(got)] if got.count() == 1)
        );
        let at = store.revision();
        let succeeded = client.txn(txn("1")).await.unwrap();
        assert!(succeeded.succeeded());
        // All operations of the transaction have the same revision.
        assert_eq!(
            (succeeded.header().unwrap().revision(), store.revision()),
            (at + 1, at + 1)
        );
        assert_eq!(store.keys(), ["b"]);
    });
}

#[test]
fn watch_delivers_changes_progress_and_compaction() {
    with_store(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        let from = store.put("a/1", "x");
        store.delete("a/1");
        store.put("b", "beside");
        let options = WatchOptions::new()
            .with_prefix()
            .with_start_revision(from)
            .with_prev_key();
        let (mut watcher, mut stream) = client.watch("a/", Some(options)).await.unwrap();
        let mut received = Vec::new();
        while received.len() < 2 {
            let response = stream.message().await.unwrap().unwrap();
            for event in response.events() {
                let kv = event.kv().unwrap();
                received.push((
                    event.event_type(),
                    kv.mod_revision(),
                    event.prev_kv().map(|kv| kv.value().to_vec()),
                ));
            }
        }
        let expected = [
            (EventType::Put, from, None),
            (EventType::Delete, from + 1, Some(b"x".to_vec())),
        ];
        assert_eq!(received, expected);
        watcher.request_progress().await.unwrap();
        let progress = stream.message().await.unwrap().unwrap();
        assert_eq!(
            (
                progress.events().len(),
                progress.header().unwrap().revision()
            ),
            (0, store.revision())
        );
        // A watch that filters out deletions.
        let options = WatchOptions::new()
            .with_prefix()
            .with_filters([WatchFilterType::NoDelete]);
        let (_put_watcher, mut puts) = client
            .watch("a/", Some(options.with_start_revision(from)))
            .await
            .unwrap();
        let mut kinds = Vec::new();
        store.put("a/2", "y");
        while kinds.len() < 2 {
            let response = puts.message().await.unwrap().unwrap();
            kinds.extend(response.events().iter().map(|e| e.event_type()));
        }
        assert_eq!(kinds, [EventType::Put, EventType::Put]);
        // A watch from a compacted revision is cancelled, with the oldest available revision.
        store.compact();
        let options = WatchOptions::new().with_prefix().with_start_revision(from);
        let (_compacted_watcher, mut compacted) = client.watch("a/", Some(options)).await.unwrap();
        let end = loop {
            let response = compacted.message().await.unwrap().unwrap();
            if response.canceled() {
                break response;
            }
        };
        assert_eq!(end.compact_revision(), store.revision());
    });
}

#[test]
fn keys_live_as_long_as_their_lease() {
    with_store(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        let lease = client.lease_grant(30, None).await.unwrap().id();
        client
            .put("a", "x", Some(PutOptions::new().with_lease(lease)))
            .await
            .unwrap();
        assert_eq!(client.get("a", None).await.unwrap().kvs()[0].lease(), lease);
        let (mut keep_alive, mut responses) = client.lease_keep_alive(lease).await.unwrap();
        keep_alive.keep_alive().await.unwrap();
        assert_eq!(responses.message().await.unwrap().unwrap().ttl(), 30);
        let options = etcd_client::LeaseTimeToLiveOptions::new().with_keys();
        let remaining = client
            .lease_time_to_live(lease, Some(options))
            .await
            .unwrap();
        assert_eq!((remaining.granted_ttl(), remaining.keys().len()), (30, 1));
        client.lease_revoke(lease).await.unwrap();
        assert_eq!(store.keys(), Vec::<String>::new());
        let missing = client.lease_revoke(lease).await.unwrap_err();
        assert!(
            missing.to_string().contains("requested lease not found"),
            "{missing}"
        );
        let put = client
            .put("a", "x", Some(PutOptions::new().with_lease(lease)))
            .await
            .unwrap_err();
        assert!(
            put.to_string().contains("requested lease not found"),
            "{put}"
        );
        assert_eq!(
            client.lease_time_to_live(lease, None).await.unwrap().ttl(),
            -1
        );
    });
}

#[test]
fn wrong_or_missing_credentials_are_rejected() {
    with_store(|store, address| async move {
        store.fault(|f| f.login = Some(("ivy".into(), "secret".into())));
        let options = |password: &str| Some(ConnectOptions::new().with_user("ivy", password));
        let mut client = Client::connect([address.clone()], options("secret"))
            .await
            .unwrap();
        client.put("a", "x", None).await.unwrap();
        let wrong = Client::connect([address.clone()], options("guess")).await;
        assert!(wrong.is_err_and(|e| e.to_string().contains("invalid user ID or password")));
        let mut without_credentials = Client::connect([address], None).await.unwrap();
        let error = without_credentials.get("a", None).await.unwrap_err();
        assert!(error.to_string().contains("invalid auth token"), "{error}");
    });
}
