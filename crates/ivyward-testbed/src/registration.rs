//! Writes engines' records to etcd: registers engines, with or without a lease, and marks them as draining.

use crate::local_cluster::machine_type;
use ivyward::core::interface::EndpointId;
use ivyward::registration::{read, Record, Role, State, DEFAULT_ENGINE_PREFIX, VERSION};
use ivyward_etcd::{rpc, Client, EtcdOptions, LeaseEvent};
use ivyward_fakes::Engine;
use ivyward_runtime::{Runtime, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

/// Returns the key and the registration record of a fake engine. A `started_ms` of 0 means that the engine started long
/// ago.
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
    // Serializing a record of these fields cannot fail.
    (
        format!("{DEFAULT_ENGINE_PREFIX}{}", spec.id),
        serde_json::to_string(&record).unwrap_or_default(),
    )
}

/// Has a fake engine register itself under a lease of `seconds`. The engine's process keeps the lease alive, so the lease
/// expires after the process has ended. `on_event` is called for each event of the lease.
pub fn keep_registered(
    engine: &Engine,
    endpoints: Vec<SocketAddr>,
    seconds: i64,
    started_ms: u64,
    on_event: impl FnMut(LeaseEvent) + Send + 'static,
) {
    let (key, record) = record(engine, State::Ready, started_ms);
    engine.spawn_in_process(move |runtime| {
        Box::pin(async move {
            let client = Client::new(&runtime, endpoints, EtcdOptions::default());
            client
                .keep_registered(
                    &runtime,
                    key.as_bytes(),
                    record.into_bytes(),
                    seconds,
                    on_event,
                )
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

/// Writes a record. With `lease`, in seconds, the record is written under a lease that is kept alive until the record is
/// deleted or taken over by another lease; without it, the function returns after one write.
///
/// # Errors
/// A message if the record is invalid or the store reports an error.
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
    // A record that nodes would reject is not written.
    read(EndpointId(id), text.as_bytes(), 0).map_err(|e| e.to_string())?;
    let key = format!("{prefix}{id}");
    runtime.clone().block_on(async {
        let Some(seconds) = lease else {
            client.put(key.as_bytes(), text.as_bytes(), 0).await.map_err(|e| e.to_string())?;
            return Ok(ExitCode::SUCCESS);
        };
        let as_ref: RuntimeRef = runtime.clone();
        let mut exit_code = ExitCode::SUCCESS;
        let on_event = |event| match event {
            LeaseEvent::Written(lease) => println!("registered {key} under lease {lease:x}"),
            LeaseEvent::Changed => println!("{key} was changed; the new record is kept"),
            LeaseEvent::Failed(e) => eprintln!("ivyward-testbed: {e}; retrying"),
            LeaseEvent::Deleted => println!("{key} was deleted; it is not written again"),
            LeaseEvent::Taken(lease) => {
                eprintln!(
                    "ivyward-testbed: {key} is registered under another lease, {lease:x}, by a later process with this id"
                );
                exit_code = ExitCode::FAILURE;
            }
        };
        client.keep_registered(&as_ref, key.as_bytes(), text.into_bytes(), seconds, on_event).await;
        Ok(exit_code)
    })
}

/// Marks an engine's record as draining, under its present lease, unless the record changes at the same time.
///
/// # Errors
/// A message that says why the record was not changed.
pub fn drain(endpoints: &[SocketAddr], prefix: &str, id: u64) -> Result<ExitCode, String> {
    let (runtime, client) = client(endpoints);
    let key = format!("{prefix}{id}").into_bytes();
    runtime.block_on(async {
        let request = rpc::RangeRequest {
            key: key.clone(),
            ..rpc::RangeRequest::default()
        };
        let found = client.range(&request).await.map_err(|e| e.to_string())?;
        let kv = found
            .kvs
            .first()
            .ok_or_else(|| format!("engine {id} is not registered below {prefix}"))?;
        let mut record: serde_json::Value = serde_json::from_slice(&kv.value)
            .map_err(|e| format!("the record of engine {id} is malformed: {e}"))?;
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
        let request = rpc::TxnRequest {
            compare: vec![same],
            success: vec![put],
            failure: vec![],
        };
        match client
            .txn(&request)
            .await
            .map_err(|e| e.to_string())?
            .succeeded
        {
            true => println!("engine {id} is draining"),
            false => {
                return Err(format!(
                    "the record of engine {id} changed at the same time; try again"
                ))
            }
        }
        Ok(ExitCode::SUCCESS)
    })
}
