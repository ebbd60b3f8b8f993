//! The scale run's handle of a stub process: starts it, sends commands, reads its replies, and kills it at the end.

use crate::child_process::end_with_parent;
use crate::scale::message::{Reply, Role, StubCommand};
use crate::scale::usage::{Counters, Proc, Reading};
use crate::scale::ScaleError;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// The subcommand that starts a stub process; the process's role follows as a JSON argument.
pub const SUBCOMMAND: &str = "hollow";

/// A running stub process, which is killed when this handle is dropped.
pub struct StubProcess {
    child: Child,
    orders: ChildStdin,
    replies: BufReader<ChildStdout>,
    /// The address where the process listens; only a store reports one.
    pub address: Option<SocketAddr>,
}

impl StubProcess {
    /// Starts a stub process and waits until it is ready. `program` is `ivyward-testbed` itself.
    ///
    /// # Errors
    /// When the process cannot be started, or ends or fails before it is ready.
    pub fn start(program: &Path, role: &Role) -> Result<StubProcess, ScaleError> {
        let text = serde_json::to_string(role).map_err(|e| ScaleError::Process(e.to_string()))?;
        let mut child = end_with_parent(&mut Command::new(program))
            .args([SUBCOMMAND, &text])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(ScaleError::io(program.display().to_string()))?;
        let (Some(orders), Some(replies)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(ScaleError::Process(
                "a stub process was started without pipes for its standard input and output".into(),
            ));
        };
        let mut stub = StubProcess {
            child,
            orders,
            replies: BufReader::new(replies),
            address: None,
        };
        match stub.reply()? {
            Reply::Ready(address) => stub.address = address,
            other => return Err(unexpected(&other)),
        }
        Ok(stub)
    }

    fn reply(&mut self) -> Result<Reply, ScaleError> {
        let mut line = String::new();
        self.replies
            .read_line(&mut line)
            .map_err(ScaleError::io("reading the reply of a stub process"))?;
        if line.is_empty() {
            return Err(ScaleError::Process(
                "a stub process closed its standard output before it replied".into(),
            ));
        }
        let reply = serde_json::from_str(&line);
        match reply.map_err(|e| ScaleError::Process(format!("malformed reply {line:?}: {e}")))? {
            Reply::Failed(text) => Err(ScaleError::Process(text)),
            reply => Ok(reply),
        }
    }

    /// Sends a command and waits for the reply.
    ///
    /// # Errors
    /// When the process has ended or the command failed.
    pub fn send(&mut self, command: &StubCommand) -> Result<Reply, ScaleError> {
        let mut text =
            serde_json::to_string(command).map_err(|e| ScaleError::Process(e.to_string()))?;
        text.push('\n');
        self.orders
            .write_all(text.as_bytes())
            .map_err(ScaleError::io("sending a command to a stub process"))?;
        self.reply()
    }

    /// Sends a command that asks for a number and returns one value for each node of the process.
    ///
    /// # Errors
    /// As for [`StubProcess::send`].
    pub fn query_nodes(&mut self, command: &StubCommand) -> Result<Vec<u64>, ScaleError> {
        match self.send(command)? {
            Reply::PerNode(values) => Ok(values),
            other => Err(unexpected(&other)),
        }
    }

    fn counters(&mut self) -> Result<Counters, ScaleError> {
        match self.send(&StubCommand::ReadCounters)? {
            Reply::Counted(counters) => Ok(counters),
            other => Err(unexpected(&other)),
        }
    }

    /// Resources that the process has used since it started.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn reading(&mut self) -> Result<Reading, ScaleError> {
        Ok(Reading {
            proc: Proc::read(self.child.id())?,
            counters: self.counters()?,
        })
    }
}

fn unexpected(reply: &Reply) -> ScaleError {
    ScaleError::Process(format!("unexpected reply of a stub process: {reply:?}"))
}

impl Drop for StubProcess {
    fn drop(&mut self) {
        // An error means that the child process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
