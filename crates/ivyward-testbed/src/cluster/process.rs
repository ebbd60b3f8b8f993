//! Node processes: starts, pauses, resumes, terminates and kills them, and reads their logs and views.

use crate::child_process::end_with_parent;
use crate::cluster::ClusterError;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{timeout_at, RuntimeRef};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// The number of log lines that are kept of a process. Older lines are dropped.
const MAX_LOG_LINES: usize = 4_096;
/// The timeout for a request to the admin port, in microseconds.
const ADMIN_TIMEOUT: u64 = 5_000_000;

/// A running daemon. It is killed on drop.
pub struct Process {
    child: Child,
    /// The address that clients connect to.
    pub client_address: SocketAddr,
    /// The address of the admin server, with health, metrics and the node's view.
    pub admin: SocketAddr,
    /// The incarnation of the node, as engines see it.
    pub incarnation: u64,
    lines: Arc<Mutex<VecDeque<String>>>,
}

/// The state of a peer in a node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRow {
    /// The peer's state: alive, unheard, suspected, dead or left.
    pub state: String,
    /// The peer's incarnation.
    pub start: u64,
    /// Whether it is certain that the peer's process has ended.
    pub certain: bool,
}

/// A node's view of itself and its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The node's count of the nodes that may be sending requests.
    pub count: u32,
    /// Whether the node has received a complete view from a peer.
    pub joined: bool,
    /// The node's own incarnation.
    pub start: u64,
    /// The node's peers, by id.
    pub peers: BTreeMap<u64, PeerRow>,
}

impl View {
    /// Parses the text that the admin server returns for `/peers`. Returns `None` if it is malformed.
    pub fn read(text: &str) -> Option<View> {
        let mut view = View::default();
        for line in text.lines() {
            let mut words = line.split_whitespace();
            let kind = words.next()?;
            let pairs: BTreeMap<&str, &str> = words.filter_map(|w| w.split_once('=')).collect();
            let id = u64::from_str_radix(pairs.get("id")?, 16).ok()?;
            let start = pairs.get("start")?.parse().ok()?;
            match kind {
                "self" => {
                    view.start = start;
                    view.count = pairs.get("count")?.parse().ok()?;
                    view.joined = *pairs.get("joined")? == "true";
                }
                _ => {
                    let (state, certain) = (
                        (*pairs.get("state")?).to_owned(),
                        *pairs.get("certain")? == "true",
                    );
                    view.peers.insert(
                        id,
                        PeerRow {
                            state,
                            start,
                            certain,
                        },
                    );
                }
            }
        }
        (view.count > 0).then_some(view)
    }
}

/// Returns the string value of a key in a line of the daemon's JSON log.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let after = line.split_once(&format!("\"{key}\":\""))?.1;
    after.split_once('"').map(|(value, _)| value)
}

impl Process {
    /// Starts a node that authenticates peer messages with `key`, and waits until it accepts requests.
    ///
    /// # Errors
    /// [`ClusterError`] with the output of the process if it does not start.
    pub fn start(binary: &Path, flags: &[String], key: &str) -> Result<Process, ClusterError> {
        Process::start_with(binary, flags, Some(key))
    }
    /// Starts a node like [`Process::start`], but without a key for peer messages.
    ///
    /// # Errors
    /// As for [`Process::start`].
    pub fn start_without_key(binary: &Path, flags: &[String]) -> Result<Process, ClusterError> {
        Process::start_with(binary, flags, None)
    }

    fn start_with(
        binary: &Path,
        flags: &[String],
        key: Option<&str>,
    ) -> Result<Process, ClusterError> {
        let failed = |what: String| ClusterError::Start {
            program: binary.display().to_string(),
            what,
        };
        let mut child = end_with_parent(&mut Command::new(binary))
            .env_clear()
            .envs(key.map(|key| ("IVYWARD_PEER_KEY", key)))
            .args(flags)
            .args([
                "--listen=127.0.0.1:0",
                "--admin=127.0.0.1:0",
                "--threads=1",
                "--log-format=json",
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| failed(e.to_string()))?;
        let (Some(out), Some(errors)) = (child.stdout.take(), child.stderr.take()) else {
            return Err(failed("the process's output is not a pipe".into()));
        };
        let mut logs = BufReader::new(errors).lines().map_while(Result::ok);
        let (mut log_lines, mut admin, mut incarnation) = (VecDeque::new(), None, None);
        // The line "taking requests" is the last one before the node accepts requests, and names its incarnation.
        for line in logs.by_ref() {
            if line.contains("\"admin server started\"") {
                admin = field(&line, "address").and_then(|a| a.parse().ok());
            }
            if line.contains("\"taking requests\"") {
                incarnation = field(&line, "run").and_then(|r| u64::from_str_radix(r, 16).ok());
            }
            log_lines.push_back(line);
            if incarnation.is_some() {
                break;
            }
        }
        let mut first = String::new();
        let _ = BufReader::new(out).read_line(&mut first);
        let client_address = first
            .trim()
            .strip_prefix("listening on ")
            .and_then(|a| a.parse().ok());
        let (Some(client_address), Some(admin), Some(incarnation)) =
            (client_address, admin, incarnation)
        else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(failed(log_lines.into_iter().collect::<Vec<_>>().join("; ")));
        };
        let lines = Arc::new(Mutex::new(log_lines));
        let keep = lines.clone();
        // Drains the log until the process ends, because a full pipe would block the process.
        std::thread::spawn(move || {
            for line in logs {
                let mut lines = keep.lock().unwrap_or_else(PoisonError::into_inner);
                if lines.len() >= MAX_LOG_LINES {
                    lines.pop_front();
                }
                lines.push_back(line);
            }
        });
        Ok(Process {
            child,
            client_address,
            admin,
            incarnation,
            lines,
        })
    }

    /// Returns the process id, for /proc.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
    fn signal(&self, signal: Signal) {
        // The process is a child that has not been waited for, so its id cannot have been reused.
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }
    /// Resumes the process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }
    /// Terminates the process (SIGTERM) and waits for it. Returns whether it exited with success.
    pub fn terminate(mut self) -> bool {
        self.signal(Signal::TERM);
        self.child.wait().is_ok_and(|status| status.success())
    }
    /// Returns the number of kept log lines that contain all of `words`.
    pub fn count_log_lines(&self, words: &[&str]) -> usize {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .filter(|line| words.iter().all(|w| line.contains(w)))
            .count()
    }
    /// Requests a path from the admin server, and returns the body of the answer.
    ///
    /// # Errors
    /// Fails if the connection fails, or if there is no answer within five seconds.
    pub async fn admin_get(&self, runtime: &RuntimeRef, path: &str) -> std::io::Result<String> {
        let exchange = async {
            let mut conn = runtime.connect(self.admin).await?;
            let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            conn.write_all(head.as_bytes()).await?;
            let mut text = String::new();
            conn.read_to_string(&mut text).await?;
            Ok(text
                .split_once("\r\n\r\n")
                .map(|(_, body)| body.to_owned())
                .unwrap_or_default())
        };
        let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        timeout_at(runtime, runtime.now() + ADMIN_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|| Err(timed_out()))
    }
    /// Returns the node's view, or `None` if the node does not answer.
    pub async fn view(&self, runtime: &RuntimeRef) -> Option<View> {
        View::read(&self.admin_get(runtime, "/peers").await.ok()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[cfg(test)]
mod tests;
