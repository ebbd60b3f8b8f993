//! The control file that a test harness shares with the preloaded fault-injection library of a process.
//!
//! The file is an array of 64-bit slots in the machine's byte order: a magic number, a seed, the offset of the wall clock
//! in microseconds, and for each [`SystemFault`] its rate, the number of calls that were eligible for it while its rate
//! was over 0, and the number of calls in which it was injected. The harness writes rates with [`ControlFile`]; the
//! library maps the file and counts.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Environment variable from which the preloaded library reads the path of the control file.
pub const PATH_VARIABLE: &str = "IVYWARD_FAULTS";
/// Value of slot 0, by which the preloaded library recognizes a control file.
pub const MAGIC: u64 = 0x6976_7966_6175_6c74;
/// Index of the slot that holds the seed.
pub const SEED_SLOT: usize = 1;
/// Index of the slot that holds the offset of the wall clock, in microseconds (two's complement).
pub const CLOCK_SLOT: usize = 2;
/// Denominator of fault rates: a rate is the number of injected faults per this many eligible calls.
pub const RATE_UNIT: u64 = 1_000_000;
/// Length of the file, in bytes.
pub const FILE_BYTES: usize = 4_096;

const FIRST_FAULT_SLOT: usize = 8;
const SLOTS_PER_FAULT: usize = 3;
const SLOT_BYTES: u64 = 8;

/// A failure of a system call, or a short read or write, that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum SystemFault {
    /// A read of a socket is interrupted (EINTR).
    ReceiveInterrupted,
    /// A write to a socket is interrupted (EINTR).
    SendInterrupted,
    /// A read of a socket returns one byte.
    ReceiveShort,
    /// A write to a socket accepts one byte.
    SendShort,
    /// A read of a socket fails with ETIMEDOUT; the connection is shut down and stays broken.
    ReceiveTimedOut,
    /// A write to a socket fails with EHOSTUNREACH; the connection is shut down and stays broken.
    SendUnreachable,
    /// A connection is aborted before it is accepted (ECONNABORTED).
    AcceptAborted,
    /// The system has no free file descriptor for an accepted connection (ENFILE).
    AcceptNoDescriptor,
    /// The system has no memory for an accepted connection (ENOBUFS).
    AcceptNoBuffers,
    /// A write to a file fails for lack of space (ENOSPC).
    FileNoSpace,
    /// A write to a file accepts half of the bytes.
    FileShort,
    /// An fsync of a file fails (EIO).
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

    /// Returns the index of the slot that holds the fault's rate, in faults per [`RATE_UNIT`] calls.
    pub const fn rate_slot(self) -> usize {
        FIRST_FAULT_SLOT + SLOTS_PER_FAULT * self as usize
    }
    /// Returns the index of the slot that counts the eligible calls while the rate was over 0.
    pub const fn calls_slot(self) -> usize {
        self.rate_slot() + 1
    }
    /// Returns the index of the slot that counts how often the fault was injected.
    pub const fn hits_slot(self) -> usize {
        self.rate_slot() + 2
    }
}

/// Returns whether a fault is injected into the `call`-th eligible call, counted from 0. `rate` is in faults per
/// [`RATE_UNIT`] calls. The same seed selects the same calls.
pub fn is_injected(seed: u64, fault: SystemFault, call: u64, rate: u64) -> bool {
    // The SplitMix64 generator (Steele, Lea and Flood 2014).
    let mut mixed = seed ^ (fault as u64 + 1).wrapping_mul(0xd1b5_4a32_d192_ed03) ^ call;
    mixed = mixed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % RATE_UNIT < rate
}

/// The test harness's handle of a control file. Dropping it removes the file.
#[derive(Debug)]
pub struct ControlFile {
    file: File,
    path: PathBuf,
}

impl ControlFile {
    /// Creates a control file in which all rates are 0, so that no call fails. An existing file is overwritten.
    ///
    /// # Errors
    /// Returns an error when the file cannot be written.
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
    /// Returns the path of the file, the value for [`PATH_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }
    /// Sets the rate of a fault from now on, in faults per [`RATE_UNIT`] eligible calls; 0 ends the fault.
    ///
    /// # Errors
    /// Returns an error when the file cannot be written.
    pub fn set_rate(&self, fault: SystemFault, rate: u64) -> io::Result<()> {
        self.write(fault.rate_slot(), rate)
    }
    /// Sets the offset that is added to the process's wall clock from now on, in microseconds. The monotonic clock does not
    /// change.
    ///
    /// # Errors
    /// Returns an error when the file cannot be written.
    pub fn set_wall_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.write(CLOCK_SLOT, micros as u64)
    }
    /// Returns how often a fault was injected so far.
    ///
    /// # Errors
    /// Returns an error when the file cannot be read.
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
        // The error is ignored: the file may already have been removed with its folder.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns the path of the preloaded library of a program that Cargo built, if it exists. The library is looked for in
/// `deps` in the program's folder, then in the folder itself.
pub fn library_beside(program: &Path) -> Option<PathBuf> {
    const NAME: &str = "libivyward_fault_injection_preload.so";
    let folder = program.parent()?;
    [folder.join("deps").join(NAME), folder.join(NAME)]
        .into_iter()
        .find(|path| path.exists())
}
