//! The `fleet`, `engine` and `ask` commands, run as processes.

use ivyward_testbed::manual_cluster::{parse_command, EngineCommand};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};

fn testbed(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyward-testbed"));
    command
        .env_clear()
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .stdin(Stdio::piped());
    command
}

/// A child process that is killed when the test ends, even if the test fails.
struct Running(Child, Box<dyn BufRead>);

impl Running {
    fn start(args: &[&str]) -> Running {
        let mut child = testbed(args).spawn().unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        Running(child, Box::new(out))
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.1.read_line(&mut line).unwrap();
        line.trim().into()
    }
    fn send_command(&mut self, line: &str) -> String {
        writeln!(self.0.stdin.as_mut().unwrap(), "{line}").unwrap();
        self.line()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn commands_are_parsed_or_rejected_with_the_list_of_commands() {
    for (line, command) in [
        ("drain", EngineCommand::Drain(true)),
        (" ready ", EngineCommand::Drain(false)),
        ("hang", EngineCommand::Hang(true)),
        ("go", EngineCommand::Hang(false)),
        ("slow 2.5", EngineCommand::Slow(2.5)),
        ("ill 0.2", EngineCommand::FailCalls(0.2)),
        ("die", EngineCommand::Crash),
        ("up", EngineCommand::Restart),
    ] {
        assert_eq!(parse_command(line).unwrap(), command, "{line}");
    }
    for line in [
        "", "dance", "slow", "slow x", "slow -1", "slow NaN", "ill 1.5", "drain 3", "slow 2 3",
    ] {
        let error = parse_command(line).unwrap_err().to_string();
        assert!(error.contains("one of: drain"), "{line:?}: {error}");
    }
}

/// A fleet prints flags that can be passed to the daemon unchanged, and follows the commands on its standard input.
#[test]
fn a_fleet_prints_its_addresses_and_follows_commands() {
    let mut fleet = Running::start(&["fleet", "--racks=1"]);
    let flags: Vec<String> = (0..4).map(|_| fleet.line()).collect();
    for (flag, role) in flags.iter().zip(["prefill", "mixed", "decode", "decode"]) {
        assert!(
            flag.starts_with("--server=id=") && flag.contains(&format!("role={role}")),
            "{flag}"
        );
        assert!(!flag.contains(":0,"), "{flag}");
    }
    assert_eq!(
        fleet.send_command("1 show"),
        "engine 1 is up and keeps 0 states and places"
    );
    assert_eq!(
        fleet.send_command("2 die"),
        "engine 2 is down and keeps 0 states and places"
    );
    assert_eq!(
        fleet.send_command("2 up"),
        "engine 2 is up and keeps 0 states and places"
    );
    // An invalid line changes nothing, and its error is printed on standard error.
    writeln!(fleet.0.stdin.as_mut().unwrap(), "9 die").unwrap();
    let mut error = String::new();
    BufReader::new(fleet.0.stderr.take().unwrap())
        .read_line(&mut error)
        .unwrap();
    assert!(error.contains("there is no engine 9"), "{error}");
    assert_eq!(
        fleet.send_command("3 slow 2"),
        "engine 3 is up and keeps 0 states and places"
    );
}

/// An engine registers itself in the store of a fleet, a node watches that store, and `ask` prints the result of a request.
#[test]
fn a_registered_engine_serves_a_request() {
    let mut store = Running::start(&["fleet", "--racks=1", "--store=127.0.0.1:0"]);
    let endpoint = store
        .line()
        .strip_prefix("--etcd-endpoint=")
        .unwrap()
        .to_owned();
    let register = format!("--register-in={endpoint}");
    let _engine = Running::start(&[
        "engine",
        "--id=77",
        "--role=mixed",
        "--token-gap-ms=1",
        &register,
    ]);
    let runtime = ivyward_runtime::SmolRuntime::start(1, 1);
    let as_ref: ivyward_runtime::RuntimeRef = runtime.clone();
    let node = ivyward::Node::start(
        as_ref.clone(),
        ivyward_testbed::local_cluster::settings(),
        None,
    )
    .unwrap();
    let listener = as_ref.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let front_address = listener.address().to_string();
    let (serving, following) = (node.clone(), node.clone());
    ivyward_runtime::RuntimeExt::run(&*as_ref, async move { serving.serve(listener).await });
    let options = ivyward::watcher::WatcherOptions {
        endpoints: vec![endpoint.parse().unwrap()],
        ..ivyward::watcher::WatcherOptions::default()
    };
    ivyward_runtime::RuntimeExt::run(
        &*as_ref,
        async move { following.watch_endpoints(options).await },
    );
    // The wait has no limit, because the time for the processes to start depends on the machine.
    runtime.block_on(async {
        while node.metrics().engines.get() < 5 {
            ivyward_runtime::RuntimeExt::sleep(&*as_ref, 5_000).await;
        }
    });
    let output = testbed(&["ask", &front_address, "--tokens=5", "--class=list-review"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    let lines: Vec<&str> = text.lines().collect();
    assert!(
        lines[0]
            .split_whitespace()
            .all(|t| t.parse::<u32>().is_ok()),
        "{text}"
    );
    assert!(lines[1].starts_with("served: "), "{text}");
    let bad = testbed(&["ask", &front_address, "--class=no-such"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&bad.stdout).into_owned();
    assert!(
        !bad.status.success() && text.starts_with("failed after") && text.contains("no-such"),
        "{text}"
    );
    let nobody = testbed(&["ask", "127.0.0.1:1"]).output().unwrap();
    assert!(
        String::from_utf8_lossy(&nobody.stderr).contains("cannot connect"),
        "{nobody:?}"
    );
}
