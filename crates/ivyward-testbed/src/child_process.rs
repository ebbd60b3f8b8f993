//! Child processes that are killed when the test harness ends, even if the harness itself is killed.

use rustix::process::{set_parent_process_death_signal, Signal};
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Has the kernel kill the child when the thread that starts it ends, and so at the latest when this process ends.
/// Otherwise daemons would outlive a test harness that was killed.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // Sound: the closure makes a single system call between fork and exec, and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            set_parent_process_death_signal(Some(Signal::KILL))?;
            Ok(())
        })
    }
}
