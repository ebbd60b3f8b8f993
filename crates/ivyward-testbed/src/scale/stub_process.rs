//! A hollow process, as the run holds it: started, told, asked, and ended with the run.

use crate::child_process::end_with_parent;
use crate::scale::message::{Reply, Role, StubCommand};
use crate::scale::usage::{Counters, Proc, Reading};
use crate::scale::ScaleError;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// The subcommand that a hollow process is started with; its role follows as JSON.
pub const SUBCOMMAND: &str = "hollow";

/// A hollow process, killed when this is dropped.
pub struct StubProcess {
    child: Child,
    orders: ChildStdin,
    replies: BufReader<ChildStdout>,
    /// Where it listens, if it says so.
    pub address: Option<SocketAddr>,
}

impl StubProcess {
    /// Starts one and waits until it runs. `program` is `ivyward-testbed` itself.
    ///
    /// # Errors
    /// When it does not come up.
    pub fn start(program: &Path, role: &Role) -> Result<StubProcess, ScaleError> {
        let text = serde_json::to_string(role).map_err(|e| ScaleError::Process(e.to_string()))?;
        let mut child = end_with_parent(&mut Command::new(program))
            .args([SUBCOMMAND, &text])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(ScaleError::io(program.display().to_string()))?;
        let (Some(orders), Some(replies)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(ScaleError::Process("a hollow process has no pipes".into()));
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
            .map_err(ScaleError::io("hearing a hollow process"))?;
        if line.is_empty() {
            return Err(ScaleError::Process("a hollow process ended".into()));
        }
        let reply = serde_json::from_str(&line);
        match reply.map_err(|e| ScaleError::Process(format!("{line:?}: {e}")))? {
            Reply::Failed(text) => Err(ScaleError::Process(text)),
            reply => Ok(reply),
        }
    }

    /// Tells it something and waits for its answer.
    ///
    /// # Errors
    /// When it ended or could not do that.
    pub fn send(&mut self, command: &StubCommand) -> Result<Reply, ScaleError> {
        let mut text =
            serde_json::to_string(command).map_err(|e| ScaleError::Process(e.to_string()))?;
        text.push('\n');
        self.orders
            .write_all(text.as_bytes())
            .map_err(ScaleError::io("telling a hollow process"))?;
        self.reply()
    }

    /// What each of its nodes says to an order that asks for a number.
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

    /// What it has used so far.
    ///
    /// # Errors
    /// When it ended.
    pub fn reading(&mut self) -> Result<Reading, ScaleError> {
        Ok(Reading {
            proc: Proc::read(self.child.id())?,
            counters: self.counters()?,
        })
    }
}

fn unexpected(reply: &Reply) -> ScaleError {
    ScaleError::Process(format!("a hollow process answered {reply:?}"))
}

impl Drop for StubProcess {
    fn drop(&mut self) {
        // Our own child: an error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
