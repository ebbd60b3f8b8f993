//! The node processes of a soak run: their configuration, preloaded faults and signals, and the invariant violations that
//! their logs report.

use crate::child_process::end_with_parent;
use crate::soak::SoakError;
use ivyward_fault_injection::{library_beside, ControlFile, SystemFault, PATH_VARIABLE};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The text that a node logs when an invariant is violated.
const VIOLATION_TEXT: &str = "invariant violated";

/// The files of a node.
#[derive(Clone)]
pub struct NodeFiles {
    /// The path of the daemon.
    pub daemon: PathBuf,
    /// The directory of the run.
    pub dir: PathBuf,
    /// The node's number.
    pub index: usize,
}

impl NodeFiles {
    fn config(&self) -> PathBuf {
        self.dir.join(format!("node-{}.json", self.index))
    }
    fn log(&self) -> PathBuf {
        self.dir.join(format!("node-{}.log", self.index))
    }
    /// Writes the configuration to a temporary file and renames it into place, as the platform does.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn configure(&self, text: &str) -> Result<(), SoakError> {
        let temporary = self.config().with_extension("new");
        std::fs::write(&temporary, text).map_err(SoakError::io("write a node's configuration"))?;
        std::fs::rename(&temporary, self.config())
            .map_err(SoakError::io("write a node's configuration"))
    }
}

/// A node's process. It is killed on drop.
pub struct NodeProcess {
    child: Child,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The control file for the faults of the process's system calls and its clock.
    pub control: ControlFile,
    violations: Arc<AtomicU64>,
}

impl NodeProcess {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// Fails if the process does not start or does not print its address.
    pub fn start(files: &NodeFiles, seed: u64) -> Result<NodeProcess, SoakError> {
        let path = files.dir.join(format!("faults-{}", files.index));
        let control = ControlFile::create(&path, seed)
            .map_err(SoakError::io("create a fault control file"))?;
        let program = std::env::current_exe().map_err(SoakError::io("find this program's path"))?;
        let library = library_beside(&program).ok_or(SoakError::MissingLibrary)?;
        let mut command = Command::new(&files.daemon);
        let mut child = end_with_parent(&mut command)
            .env_clear()
            .env("LD_PRELOAD", library)
            .env(PATH_VARIABLE, control.path())
            .env("BALANCER_CONFIG", files.config())
            .env("IVYWARD_LOG", "debug")
            .arg("platform")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(SoakError::io("start the daemon"))?;
        let (Some(out), Some(errors)) = (child.stdout.take(), child.stderr.take()) else {
            return Err(SoakError::Start("the node's output is not a pipe".into()));
        };
        let violations = Arc::<AtomicU64>::default();
        copy_log(errors, &files.log(), violations.clone())?;
        let mut line = String::new();
        // An error leaves the line empty.
        let _ = BufReader::new(out).read_line(&mut line);
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .and_then(|a| a.parse().ok());
        let Some(address) = address else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(SoakError::Start(format!(
                "node {} wrote {line:?} instead of its address",
                files.index
            )));
        };
        Ok(NodeProcess {
            child,
            address,
            control,
            violations,
        })
    }

    /// Sends a signal. The process is a child that has not been waited for, so its id cannot have been reused.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // The process may have ended.
            let _ = kill_process(pid, signal);
        }
    }
    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
    /// Returns the number of invariant violations in the node's log.
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::SeqCst)
    }
    /// Returns how often each fault occurred.
    pub fn hits(&self) -> Vec<(SystemFault, u64)> {
        SystemFault::ALL
            .iter()
            .map(|fault| (*fault, self.control.hits(*fault).unwrap_or(0)))
            .collect()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Copies a node's log to its file, and counts the invariant violations in it.
fn copy_log(
    errors: std::process::ChildStderr,
    path: &Path,
    violations: Arc<AtomicU64>,
) -> Result<(), SoakError> {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    let mut file = std::io::BufWriter::new(file.map_err(SoakError::io("open a node's log"))?);
    std::thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            if line.contains(VIOLATION_TEXT) {
                violations.fetch_add(1, Ordering::SeqCst);
            }
            // An error in writing the log must not block the node.
            let _ = writeln!(file, "{line}");
        }
    });
    Ok(())
}
