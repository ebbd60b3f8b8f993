//! Node processes: started, stopped, continued, killed and asked for their view.

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

/// Lines of its log that are kept; the oldest go first.
const LINES: usize = 4_096;
/// Microseconds for an answer of the admin port.
const ASKING: u64 = 5_000_000;

/// A running daemon, killed when this is dropped.
pub struct Process {
    child: Child,
    /// Where clients call.
    pub client_address: SocketAddr,
    /// Where health, metrics and the view are.
    pub admin: SocketAddr,
    /// The name of its run, as engines see it.
    pub incarnation: u64,
    lines: Arc<Mutex<VecDeque<String>>>,
}

/// A node as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRow {
    /// Its state: alive, unheard, suspected, dead or left.
    pub state: String,
    /// Its start.
    pub start: u64,
    /// Certainly gone.
    pub certain: bool,
}

/// What a node says of itself and its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Nodes that may be sending, as it reckons.
    pub count: u32,
    /// It took in a whole view.
    pub joined: bool,
    /// Its own start.
    pub start: u64,
    /// The others, by their number.
    pub peers: BTreeMap<u64, PeerRow>,
}

impl View {
    /// Reads the admin port's text.
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

/// The value of a key in a line of JSON that the daemon logs.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let after = line.split_once(&format!("\"{key}\":\""))?.1;
    after.split_once('"').map(|(value, _)| value)
}

impl Process {
    /// Starts one and waits until it takes requests.
    ///
    /// # Errors
    /// [`ClusterError`] with what it said instead.
    pub fn start(binary: &Path, flags: &[String], key: &str) -> Result<Process, ClusterError> {
        Process::start_with(binary, flags, Some(key))
    }
    /// The same, for one that speaks to its peers without a key.
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
            return Err(failed("it has no output".into()));
        };
        let mut logs = BufReader::new(errors).lines().map_while(Result::ok);
        let (mut kept, mut admin, mut run) = (VecDeque::new(), None, None);
        // Its last word before it takes requests names its run.
        for line in logs.by_ref() {
            if line.contains("\"admin server started\"") {
                admin = field(&line, "address").and_then(|a| a.parse().ok());
            }
            if line.contains("\"taking requests\"") {
                run = field(&line, "run").and_then(|r| u64::from_str_radix(r, 16).ok());
            }
            kept.push_back(line);
            if run.is_some() {
                break;
            }
        }
        let mut first = String::new();
        let _ = BufReader::new(out).read_line(&mut first);
        let door = first
            .trim()
            .strip_prefix("listening on ")
            .and_then(|a| a.parse().ok());
        let (Some(door), Some(admin), Some(run)) = (door, admin, run) else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(failed(kept.into_iter().collect::<Vec<_>>().join("; ")));
        };
        let lines = Arc::new(Mutex::new(kept));
        let keep = lines.clone();
        // Ends with the process: what it says must not fill the pipe.
        std::thread::spawn(move || {
            for line in logs {
                let mut lines = keep.lock().unwrap_or_else(PoisonError::into_inner);
                if lines.len() >= LINES {
                    lines.pop_front();
                }
                lines.push_back(line);
            }
        });
        Ok(Process {
            child,
            client_address: door,
            admin,
            incarnation: run,
            lines,
        })
    }

    /// Its number, for /proc.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
    fn signal(&self, signal: Signal) {
        // It is our own child and was not waited for, so its number is still its own.
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
    /// Stops it where it is (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }
    /// Lets it go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }
    /// Asks it to end in order (SIGTERM) and waits; whether it ended well.
    pub fn terminate(mut self) -> bool {
        self.signal(Signal::TERM);
        self.child.wait().is_ok_and(|status| status.success())
    }
    /// Lines of its log that hold all these words.
    pub fn count_log_lines(&self, words: &[&str]) -> usize {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .filter(|line| words.iter().all(|w| line.contains(w)))
            .count()
    }
    /// What its admin port says to a path.
    ///
    /// # Errors
    /// When it does not answer in time.
    pub async fn admin_get(&self, runtime: &RuntimeRef, path: &str) -> std::io::Result<String> {
        let asking = async {
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
        let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        timeout_at(runtime, runtime.now() + ASKING, asking)
            .await
            .unwrap_or_else(|| Err(late()))
    }
    /// Its view, if it answers.
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
