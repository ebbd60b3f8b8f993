//! The control file shared by a test rig and the preloaded fault library of a process.
//!
//! The file is an array of 64-bit slots in the machine's byte order: a magic number, a seed, the offset of the wall clock
//! in microseconds, and for each [`SystemFault`] its rate, how many calls could have met it, and how many did. The rig
//! writes rates with [`ControlFile`]; the library maps the file and counts.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file to the preloaded library.
pub const PATH_VARIABLE: &str = "IVYWARD_FAULTS";
/// The first slot of a control file.
pub const MAGIC: u64 = 0x6976_7966_6175_6c74;
/// The slot of the seed.
pub const SEED_SLOT: usize = 1;
/// The slot of the wall clock's offset, in microseconds (two's complement).
pub const CLOCK_SLOT: usize = 2;
/// A fault's rate is stated in calls of so many.
pub const RATE_UNIT: u64 = 1_000_000;
/// Length of the file, in bytes.
pub const FILE_BYTES: usize = 4_096;

const FIRST_FAULT_SLOT: usize = 8;
const SLOTS_PER_FAULT: usize = 3;
const SLOT_BYTES: u64 = 8;

/// A way in which a system call of the process fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum SystemFault {
    /// A read of a socket is interrupted (EINTR).
    ReceiveInterrupted,
    /// A write to a socket is interrupted (EINTR).
    SendInterrupted,
    /// A read of a socket brings one byte.
    ReceiveShort,
    /// A write to a socket takes one byte.
    SendShort,
    /// The connection is broken: reads and writes end with ETIMEDOUT from now on.
    ReceiveTimedOut,
    /// The connection is broken: reads and writes end with EHOSTUNREACH from now on.
    SendUnreachable,
    /// A connection was aborted before it was accepted (ECONNABORTED).
    AcceptAborted,
    /// The system has no free descriptor for an accepted connection (ENFILE).
    AcceptNoDescriptor,
    /// The system has no memory for an accepted connection (ENOBUFS).
    AcceptNoBuffers,
    /// A write to a file finds no space (ENOSPC).
    FileNoSpace,
    /// A write to a file takes half of the bytes.
    FileShort,
    /// A file cannot be synced (EIO).
    SyncFails,
    /// A file cannot be opened for writing (EIO).
    OpenFails,
}

impl SystemFault {
    /// All faults, in the order of their slots.
    pub const ALL: [SystemFault; 13] = [
        SystemFault::ReceiveInterrupted,
        SystemFault::SendInterrupted,
        SystemFault::ReceiveShort,
        SystemFault::SendShort,
        SystemFault::ReceiveTimedOut,
        SystemFault::SendUnreachable,
        SystemFault::AcceptAborted,
        SystemFault::AcceptNoDescriptor,
        SystemFault::AcceptNoBuffers,
        SystemFault::FileNoSpace,
        SystemFault::FileShort,
        SystemFault::SyncFails,
        SystemFault::OpenFails,
    ];

    /// The slot of its rate, in calls of [`RATE_UNIT`].
    pub const fn rate_slot(self) -> usize {
        FIRST_FAULT_SLOT + SLOTS_PER_FAULT * self as usize
    }
    /// The slot that counts the calls that could have met it while its rate was over 0.
    pub const fn calls_slot(self) -> usize {
        self.rate_slot() + 1
    }
    /// The slot that counts how often it took place.
    pub const fn hits_slot(self) -> usize {
        self.rate_slot() + 2
    }
}

/// Whether the `call`-th call that could meet a fault meets it. The same seed gives the same calls.
pub fn is_injected(seed: u64, fault: SystemFault, call: u64, rate: u64) -> bool {
    // SplitMix64, Steele, Lea and Flood 2014.
    let mut mixed = seed ^ (fault as u64 + 1).wrapping_mul(0xd1b5_4a32_d192_ed03) ^ call;
    mixed = mixed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % RATE_UNIT < rate
}

/// A control file as a rig holds it; removed when this is dropped.
#[derive(Debug)]
pub struct ControlFile {
    file: File,
    path: PathBuf,
}

impl ControlFile {
    /// Creates a file in which no call fails.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn create(path: &Path, seed: u64) -> io::Result<ControlFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        file.set_len(FILE_BYTES as u64)?;
        let control = ControlFile {
            file,
            path: path.to_owned(),
        };
        control.write(SEED_SLOT, seed)?;
        control.write(0, MAGIC)?;
        Ok(control)
    }
    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
    /// From now on `rate` calls of [`RATE_UNIT`] meet a fault.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn set_rate(&self, fault: SystemFault, rate: u64) -> io::Result<()> {
        self.write(fault.rate_slot(), rate)
    }
    /// From now on the wall clock shows so many microseconds more. The monotonic clock does not change.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn set_wall_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.write(CLOCK_SLOT, micros as u64)
    }
    /// How often a fault took place so far.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub fn hits(&self, fault: SystemFault) -> io::Result<u64> {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file
            .read_exact_at(&mut bytes, fault.hits_slot() as u64 * SLOT_BYTES)?;
        Ok(u64::from_ne_bytes(bytes))
    }
    fn write(&self, slot: usize, value: u64) -> io::Result<()> {
        self.file
            .write_all_at(&value.to_ne_bytes(), slot as u64 * SLOT_BYTES)
    }
}

impl Drop for ControlFile {
    fn drop(&mut self) {
        // It may have been removed with its folder.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The preloaded library beside a program that Cargo built: in the program's folder or in its `deps`.
pub fn library_beside(program: &Path) -> Option<PathBuf> {
    const NAME: &str = "libivyward_fault_injection_preload.so";
    let folder = program.parent()?;
    [folder.join("deps").join(NAME), folder.join(NAME)]
        .into_iter()
        .find(|path| path.exists())
}
