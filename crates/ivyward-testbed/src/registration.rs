//! Writes engines' records into etcd: registers under a lease that is kept alive, and drains.

use crate::local_cluster::machine_type;
use ivyward::core::interface::EndpointId;
use ivyward::registration::{read, Record, Role, State, DEFAULT_ENGINE_PREFIX, VERSION};
use ivyward_etcd::{rpc, Client, EtcdOptions, LeaseEvent};
use ivyward_fakes::Engine;
use ivyward_runtime::{Runtime, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

/// The key and the registration record of a stand-in engine, as it would write them; 0 for started long ago.
pub fn record(engine: &Engine, state: State, started_ms: u64) -> (String, String) {
    let spec = engine.spec();
    let record = Record {
        version: VERSION,
        id: spec.id,
        role: [Role::Prefill, Role::Decode, Role::Mixed][usize::from(machine_type(spec.role))],
        address: engine.address().to_string(),
        zone: 0,
        cell: spec.rack,
        weight: 1.0,
        started_ms,
        state,
    };
    // A record of these fields is always JSON.
    (
        format!("{DEFAULT_ENGINE_PREFIX}{}", spec.id),
        serde_json::to_string(&record).unwrap_or_default(),
    )
}

/// A stand-in engine registers itself, under a lease of so many seconds that its process keeps alive and that ends after
/// it.
pub fn keep_registered(
    engine: &Engine,
    endpoints: Vec<SocketAddr>,
    seconds: i64,
    started_ms: u64,
    told: impl FnMut(LeaseEvent) + Send + 'static,
) {
    let (key, record) = record(engine, State::Ready, started_ms);
    engine.spawn_in_process(move |runtime| {
        Box::pin(async move {
            let client = Client::new(&runtime, endpoints, EtcdOptions::default());
            client
                .keep_registered(&runtime, key.as_bytes(), record.into_bytes(), seconds, told)
                .await;
        })
    });
}

fn client(endpoints: &[SocketAddr]) -> (Arc<SmolRuntime>, Client) {
    let runtime = SmolRuntime::start(1, 1);
    let as_ref: RuntimeRef = runtime.clone();
    (
        runtime,
        Client::new(&as_ref, endpoints.to_vec(), EtcdOptions::default()),
    )
}

/// Writes a record, under a lease of so many seconds that is kept alive for as long as this runs, or without one.
///
/// # Errors
/// A line that says what is wrong with the record or the store.
pub fn register(
    endpoints: &[SocketAddr],
    prefix: &str,
    mut record: serde_json::Value,
    lease: Option<i64>,
) -> Result<ExitCode, String> {
    let (runtime, client) = client(endpoints);
    record["started_ms"] = (runtime.unix_micros() / 1_000).into();
    let id = record["id"].as_u64().unwrap_or_default();
    let text = record.to_string();
    // What nodes would leave out is not written.
    read(EndpointId(id), text.as_bytes(), 0).map_err(|e| e.to_string())?;
    let key = format!("{prefix}{id}");
    runtime.clone().block_on(async {
        let Some(seconds) = lease else {
            client.put(key.as_bytes(), text.as_bytes(), 0).await.map_err(|e| e.to_string())?;
            return Ok(ExitCode::SUCCESS);
        };
        let as_ref: RuntimeRef = runtime.clone();
        let mut end = ExitCode::SUCCESS;
        let told = |kept| match kept {
            LeaseEvent::Written(lease) => println!("registered {key} under lease {lease:x}"),
            LeaseEvent::Changed => println!("{key} was changed; the new record is kept"),
            LeaseEvent::Failed(e) => eprintln!("ivyward-testbed: {e}; tried again"),
            LeaseEvent::Deleted => println!("{key} was deleted; it is left so"),
            LeaseEvent::Taken(lease) => {
                eprintln!(
                    "ivyward-testbed: {key} is held under another lease, {lease:x}: a later process of this id"
                );
                end = ExitCode::FAILURE;
            }
        };
        client.keep_registered(&as_ref, key.as_bytes(), text.into_bytes(), seconds, told).await;
        Ok(end)
    })
}

/// Puts an engine's record as draining, under the lease that it has, unless it changed meanwhile.
///
/// # Errors
/// A line that says why not.
pub fn drain(endpoints: &[SocketAddr], prefix: &str, id: u64) -> Result<ExitCode, String> {
    let (runtime, client) = client(endpoints);
    let key = format!("{prefix}{id}").into_bytes();
    runtime.block_on(async {
        let ask = rpc::RangeRequest {
            key: key.clone(),
            ..rpc::RangeRequest::default()
        };
        let found = client.range(&ask).await.map_err(|e| e.to_string())?;
        let kv = found
            .kvs
            .first()
            .ok_or_else(|| format!("engine {id} is not registered below {prefix}"))?;
        let mut record: serde_json::Value = serde_json::from_slice(&kv.value)
            .map_err(|e| format!("its record is malformed: {e}"))?;
        record["state"] = "draining".into();
        let same = rpc::Compare {
            result: rpc::compare::CompareResult::Equal.into(),
            target: rpc::compare::CompareTarget::Mod.into(),
            key: key.clone(),
            target_union: Some(rpc::compare::TargetUnion::ModRevision(kv.mod_revision)),
            ..rpc::Compare::default()
        };
        let put = rpc::PutRequest {
            key: key.clone(),
            value: record.to_string().into_bytes(),
            ignore_lease: true,
            ..rpc::PutRequest::default()
        };
        let put = rpc::RequestOp {
            request: Some(rpc::request_op::Request::RequestPut(put)),
        };
        let ask = rpc::TxnRequest {
            compare: vec![same],
            success: vec![put],
            failure: vec![],
        };
        match client.txn(&ask).await.map_err(|e| e.to_string())?.succeeded {
            true => println!("engine {id} drains"),
            false => return Err("its record changed meanwhile; try again".into()),
        }
        Ok(ExitCode::SUCCESS)
    })
}
