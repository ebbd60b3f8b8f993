//! Child processes that end with the rig, however it ends.

use rustix::process::{set_parent_process_death_signal, Signal};
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Has a child killed when the thread that starts it ends, and so with this process. Guards against daemons that outlive
/// a rig which was killed.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // Sound: between fork and exec only one system call is made.
    unsafe {
        command.pre_exec(|| {
            set_parent_process_death_signal(Some(Signal::KILL))?;
            Ok(())
        })
    }
}
