//! Node processes of a soak run: configuration, preloaded faults, signals, and what their logs say of invariants.

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

/// What the guard of a node writes when an invariant does not hold.
const VIOLATION: &str = "invariant violated";

/// Where a node's files are, and how it is started.
#[derive(Clone)]
pub struct NodeFiles {
    /// The daemon.
    pub daemon: PathBuf,
    /// A folder of the run's own.
    pub folder: PathBuf,
    /// The node's number.
    pub index: usize,
}

impl NodeFiles {
    fn config(&self) -> PathBuf {
        self.folder.join(format!("node-{}.json", self.index))
    }
    fn log(&self) -> PathBuf {
        self.folder.join(format!("node-{}.log", self.index))
    }
    /// Writes the configuration beside and moves it into place, as the platform does.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn configure(&self, text: &str) -> Result<(), SoakError> {
        let beside = self.config().with_extension("new");
        std::fs::write(&beside, text).map_err(SoakError::io("a configuration"))?;
        std::fs::rename(&beside, self.config()).map_err(SoakError::io("a configuration"))
    }
}

/// A node's process; killed when this is dropped.
pub struct NodeProcess {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Its system calls and clock.
    pub control: ControlFile,
    violations: Arc<AtomicU64>,
}

impl NodeProcess {
    /// Starts one and waits until it listens.
    ///
    /// # Errors
    /// When it does not come up.
    pub fn start(files: &NodeFiles, seed: u64) -> Result<NodeProcess, SoakError> {
        let path = files.folder.join(format!("faults-{}", files.index));
        let control = ControlFile::create(&path, seed).map_err(SoakError::io("a control file"))?;
        let program = std::env::current_exe().map_err(SoakError::io("this program"))?;
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
            .map_err(SoakError::io("the daemon"))?;
        let (Some(out), Some(errors)) = (child.stdout.take(), child.stderr.take()) else {
            return Err(SoakError::Start("a node has no output".into()));
        };
        let violations = Arc::<AtomicU64>::default();
        keep_log(errors, &files.log(), violations.clone())?;
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
                "node {} said {line:?}",
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

    /// Sends a signal. It is our own child and was not waited for, so its number is still its own.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // It may have ended.
            let _ = kill_process(pid, signal);
        }
    }
    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
    /// Invariants that did not hold, as its guard says.
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::SeqCst)
    }
    /// How often each fault really took place.
    pub fn hits(&self) -> Vec<(SystemFault, u64)> {
        SystemFault::ALL
            .iter()
            .map(|fault| (*fault, self.control.hits(*fault).unwrap_or(0)))
            .collect()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a node's log to its file as it comes, and counts the guard's words.
fn keep_log(
    errors: std::process::ChildStderr,
    path: &Path,
    violations: Arc<AtomicU64>,
) -> Result<(), SoakError> {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    let mut file = std::io::BufWriter::new(file.map_err(SoakError::io("a log"))?);
    std::thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            if line.contains(VIOLATION) {
                violations.fetch_add(1, Ordering::SeqCst);
            }
            // A log that cannot be kept must not hold up its node.
            let _ = writeln!(file, "{line}");
        }
    });
    Ok(())
}
