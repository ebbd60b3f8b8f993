//! The `register` and `drain` commands, and the removal of an engine when its lease ends.

use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::Host;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::Arc;

fn testbed(store: &Store, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyward-testbed"));
    command
        .env_clear()
        .args(args)
        .arg(format!("--etcd-endpoint={}", store.address()));
    command
}

#[test]
fn an_engine_registers_drains_and_is_removed_with_its_lease() {
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    let store = Store::start(&host, 1).unwrap();
    let args = [
        "register",
        "--id=7",
        "--address=127.0.0.1:9000",
        "--role=decode",
        "--lease=3",
    ];
    let mut child = testbed(&store, &args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    assert!(
        line.starts_with("registered ivyward/engines/7 under lease"),
        "{line}"
    );
    assert!(testbed(&store, &["drain", "7"])
        .output()
        .unwrap()
        .status
        .success());
    let record = store.value("ivyward/engines/7").unwrap();
    let member = ivyward::registration::read(
        ivyward::core::interface::EndpointId(7),
        record.as_bytes(),
        1,
    )
    .unwrap();
    assert_eq!(
        member.endpoint.state,
        ivyward::core::interface::EndpointState::Draining
    );
    // The registering process is killed: its lease ends, and the record is deleted with it.
    child.kill().unwrap();
    child.wait().unwrap();
    let mut polls = 0;
    while !store.keys().is_empty() {
        polls += 1;
        assert!(polls < 10_000, "the lease did not end");
        futures_lite::future::block_on(pause(&host));
    }
    let output = testbed(&store, &["drain", "7"]).output().unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("engine 7 is not registered"));
    let bad = [
        "register",
        "--once",
        "--id=7",
        "--address=0.0.0.0:0",
        "--role=decode",
    ];
    let output = testbed(&store, &bad).output().unwrap();
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("nobody can be reached"),
        "{output:?}"
    );
}

async fn pause(host: &Arc<dyn Host>) {
    let (runtime, kill) = host.process(1);
    ivyward_runtime::RuntimeExt::sleep(&*runtime, 10_000).await;
    kill();
}
