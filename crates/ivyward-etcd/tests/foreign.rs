//! The fake store against the client of another project: `etcd-client`, on tonic's own transport and a tokio runtime.
//! Shows that the fake speaks etcd's protocol and not just what this workspace's client expects of it.

use etcd_client::{
    Client, Compare, CompareOp, ConnectOptions, DeleteOptions, EventType, GetOptions, PutOptions,
    Txn, TxnOp, TxnOpResponse, WatchFilterType, WatchOptions,
};
use ivyward_fakes::engine::OwnThreads;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::Host;
use std::future::Future;
use std::sync::Arc;

fn with<F: Future<Output = ()>>(test: impl FnOnce(Store, String) -> F) {
    let host: Arc<dyn Host> = Arc::new(OwnThreads);
    let store = Store::start(&host, 1).unwrap();
    let address = format!("http://{}", store.address());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test(store, address));
}

#[test]
fn keys_revisions_and_ranges() {
    with(|store, address| async move {
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
        let told = (
            kv.key_str().unwrap(),
            kv.create_revision(),
            kv.mod_revision(),
            kv.version(),
        );
        assert_eq!(told, ("a/1", first, first + 2, 2));
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
        let gone = client.delete("a/", Some(options)).await.unwrap();
        assert_eq!((gone.deleted(), gone.prev_kvs().len()), (2, 2));
        // Deleting what is not there is no revision.
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
            "a deleted key begins anew"
        );
        // Errors, by code and text.
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
        let old = client
            .get("a/1", Some(GetOptions::new().with_revision(first)))
            .await
            .unwrap_err();
        assert!(
            old.to_string()
                .contains("required revision has been compacted"),
            "{old}"
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
fn transactions() {
    with(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        client.put("a", "1", None).await.unwrap();
        let txn = |wanted: &str| {
            Txn::new()
                .when([
                    Compare::value("a", CompareOp::Equal, wanted),
                    Compare::version("b", CompareOp::Equal, 0),
                ])
                .and_then([TxnOp::put("b", "done", None), TxnOp::delete("a", None)])
                .or_else([TxnOp::get("a", None)])
        };
        let no = client.txn(txn("2")).await.unwrap();
        assert!(!no.succeeded());
        assert!(matches!(&no.op_responses()[..], [TxnOpResponse::Get(got)] if got.count() == 1));
        let at = store.revision();
        let yes = client.txn(txn("1")).await.unwrap();
        assert!(yes.succeeded());
        // All of it at one revision.
        assert_eq!(
            (yes.header().unwrap().revision(), store.revision()),
            (at + 1, at + 1)
        );
        assert_eq!(store.keys(), ["b"]);
    });
}

#[test]
fn watches() {
    with(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        let from = store.put("a/1", "x");
        store.delete("a/1");
        store.put("b", "beside");
        let options = WatchOptions::new()
            .with_prefix()
            .with_start_revision(from)
            .with_prev_key();
        let (mut watcher, mut stream) = client.watch("a/", Some(options)).await.unwrap();
        let mut told = Vec::new();
        while told.len() < 2 {
            let response = stream.message().await.unwrap().unwrap();
            for event in response.events() {
                let kv = event.kv().unwrap();
                told.push((
                    event.event_type(),
                    kv.mod_revision(),
                    event.prev_kv().map(|kv| kv.value().to_vec()),
                ));
            }
        }
        let wanted = [
            (EventType::Put, from, None),
            (EventType::Delete, from + 1, Some(b"x".to_vec())),
        ];
        assert_eq!(told, wanted);
        watcher.request_progress().await.unwrap();
        let progress = stream.message().await.unwrap().unwrap();
        assert_eq!(
            (
                progress.events().len(),
                progress.header().unwrap().revision()
            ),
            (0, store.revision())
        );
        // One that wants no deletions.
        let options = WatchOptions::new()
            .with_prefix()
            .with_filters([WatchFilterType::NoDelete]);
        let (_other, mut puts) = client
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
        // A revision that is gone: told which one is still there, and cancelled.
        store.compact();
        let options = WatchOptions::new().with_prefix().with_start_revision(from);
        let (_late, mut late) = client.watch("a/", Some(options)).await.unwrap();
        let end = loop {
            let response = late.message().await.unwrap().unwrap();
            if response.canceled() {
                break response;
            }
        };
        assert_eq!(end.compact_revision(), store.revision());
    });
}

#[test]
fn leases() {
    with(|store, address| async move {
        let mut client = Client::connect([address], None).await.unwrap();
        let lease = client.lease_grant(30, None).await.unwrap().id();
        client
            .put("a", "x", Some(PutOptions::new().with_lease(lease)))
            .await
            .unwrap();
        assert_eq!(client.get("a", None).await.unwrap().kvs()[0].lease(), lease);
        let (mut keeper, mut answers) = client.lease_keep_alive(lease).await.unwrap();
        keeper.keep_alive().await.unwrap();
        assert_eq!(answers.message().await.unwrap().unwrap().ttl(), 30);
        let options = etcd_client::LeaseTimeToLiveOptions::new().with_keys();
        let left = client
            .lease_time_to_live(lease, Some(options))
            .await
            .unwrap();
        assert_eq!((left.granted_ttl(), left.keys().len()), (30, 1));
        client.lease_revoke(lease).await.unwrap();
        assert_eq!(store.keys(), Vec::<String>::new());
        let gone = client.lease_revoke(lease).await.unwrap_err();
        assert!(
            gone.to_string().contains("requested lease not found"),
            "{gone}"
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
fn names_and_passwords() {
    with(|store, address| async move {
        store.fault(|f| f.login = Some(("ivy".into(), "secret".into())));
        let options = |word: &str| Some(ConnectOptions::new().with_user("ivy", word));
        let mut client = Client::connect([address.clone()], options("secret"))
            .await
            .unwrap();
        client.put("a", "x", None).await.unwrap();
        let wrong = Client::connect([address.clone()], options("guess")).await;
        assert!(wrong.is_err_and(|e| e.to_string().contains("invalid user ID or password")));
        let mut nobody = Client::connect([address], None).await.unwrap();
        let no = nobody.get("a", None).await.unwrap_err();
        assert!(no.to_string().contains("invalid auth token"), "{no}");
    });
}
