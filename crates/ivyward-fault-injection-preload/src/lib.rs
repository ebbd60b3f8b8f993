//! Wrappers of libc functions for `LD_PRELOAD`. Each calls the function of libc, unless the control file of
//! [`ivyward_fault_injection`] selects the call for a fault.
//!
//! Errors have the meaning that the manual pages give them: a failed call has no effect, and a broken connection stays
//! broken.
#![cfg(target_os = "linux")]

use ivyward_fault_injection::{
    is_injected, SystemFault, CLOCK_SLOT, FILE_BYTES, MAGIC, PATH_VARIABLE, SEED_SLOT,
};
use libc::{c_char, c_int, c_void, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Descriptors up to this one are standard input, output and error; writes to them never fail, so that logs
/// are written as usual.
const LAST_STANDARD_DESCRIPTOR: c_int = 2;

/// The slots of the control file, mapped until the process ends.
struct Control(*const AtomicU64);

// Sound: the mapping is never removed, and its slots are accessed only as atomics.
unsafe impl Send for Control {}
unsafe impl Sync for Control {}

impl Control {
    /// Maps the control file that the environment names. Returns `None` without a valid control file; no call fails then.
    fn map() -> Option<Control> {
        let name = format!("{PATH_VARIABLE}\0");
        // Sound: both names end with a zero byte; the mapping is checked for failure.
        unsafe {
            let path = libc::getenv(name.as_ptr().cast());
            if path.is_null() {
                return None;
            }
            let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
            if file < 0 {
                return None;
            }
            let access = libc::PROT_READ | libc::PROT_WRITE;
            let map = libc::mmap(
                std::ptr::null_mut(),
                FILE_BYTES,
                access,
                libc::MAP_SHARED,
                file,
                0,
            );
            libc::close(file);
            let control = (map != libc::MAP_FAILED).then(|| Control(map.cast_const().cast()))?;
            (control.slot(0).load(Ordering::Relaxed) == MAGIC).then_some(control)
        }
    }
    fn slot(&self, index: usize) -> &AtomicU64 {
        debug_assert!(index < FILE_BYTES / 8);
        // Sound: the index lies within the mapping.
        unsafe { &*self.0.add(index) }
    }
    /// Counts an eligible call and returns whether the fault is injected into it. A rate of 0 counts nothing.
    fn inject(&self, fault: SystemFault) -> bool {
        let rate = self.slot(fault.rate_slot()).load(Ordering::Relaxed);
        if rate == 0 {
            return false;
        }
        let call = self
            .slot(fault.calls_slot())
            .fetch_add(1, Ordering::Relaxed);
        let injected = is_injected(
            self.slot(SEED_SLOT).load(Ordering::Relaxed),
            fault,
            call,
            rate,
        );
        if injected {
            self.slot(fault.hits_slot()).fetch_add(1, Ordering::Relaxed);
        }
        injected
    }
}

fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<Control>> = OnceLock::new();
    CONTROL.get_or_init(Control::map).as_ref()
}

fn inject(fault: SystemFault) -> bool {
    control().is_some_and(|control| control.inject(fault))
}

/// Sets errno and returns -1, the result of a failed call.
fn fail(error: c_int) -> c_int {
    // Sound: the address of this thread's own errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Shuts a connection down in both directions, so that later calls on it fail as well.
fn break_connection(socket: c_int) {
    // Sound: `shutdown` only takes a descriptor. Its error is ignored: the connection has already ended then.
    unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
}

/// A function of libc that this library wraps, looked up on first use.
struct Real {
    name: &'static CStr,
    found: AtomicPtr<c_void>,
}

impl Real {
    const fn new(name: &'static CStr) -> Real {
        Real {
            name,
            found: AtomicPtr::new(std::ptr::null_mut()),
        }
    }
    fn address(&self) -> *mut c_void {
        let cached = self.found.load(Ordering::Relaxed);
        if !cached.is_null() {
            return cached;
        }
        // Sound: the name ends with a zero byte.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        assert!(!found.is_null(), "libc has no {:?}", self.name);
        self.found.store(found, Ordering::Relaxed);
        found
    }
}

/// Returns libc's function of the given name as a function pointer of the given type.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: Real = Real::new($name);
        // Sound: libc's function of this name has this type.
        unsafe { std::mem::transmute::<*mut c_void, $type>(REAL.address()) }
    }};
}

/// Wraps `recv(2)` with the receive faults.
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let receive = real!(
        c"recv",
        unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t
    );
    if inject(SystemFault::ReceiveInterrupted) {
        return fail(libc::EINTR) as ssize_t;
    }
    if inject(SystemFault::ReceiveTimedOut) {
        break_connection(socket);
        return fail(libc::ETIMEDOUT) as ssize_t;
    }
    let short = length > 1 && inject(SystemFault::ReceiveShort);
    receive(socket, buffer, if short { 1 } else { length }, flags)
}

/// Returns the errno with which a write to a socket fails, if a fault is injected into it.
fn send_fault(socket: c_int) -> Option<c_int> {
    if inject(SystemFault::SendInterrupted) {
        return Some(libc::EINTR);
    }
    if inject(SystemFault::SendUnreachable) {
        break_connection(socket);
        return Some(libc::EHOSTUNREACH);
    }
    None
}

/// Wraps `send(2)` with the send faults.
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let send = real!(
        c"send",
        unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t
    );
    if let Some(error) = send_fault(socket) {
        return fail(error) as ssize_t;
    }
    let short = length > 1 && inject(SystemFault::SendShort);
    send(socket, buffer, if short { 1 } else { length }, flags)
}

/// Wraps `writev(2)` with the send faults; the node uses `writev` only for sockets.
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let writev = real!(
        c"writev",
        unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t
    );
    if descriptor <= LAST_STANDARD_DESCRIPTOR {
        return writev(descriptor, parts, count);
    }
    if let Some(error) = send_fault(descriptor) {
        return fail(error) as ssize_t;
    }
    if count > 0 && (*parts).iov_len > 1 && inject(SystemFault::SendShort) {
        let one = iovec {
            iov_base: (*parts).iov_base,
            iov_len: 1,
        };
        return writev(descriptor, &one, 1);
    }
    writev(descriptor, parts, count)
}

/// Wraps `accept4(2)` with the accept faults.
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let accept = real!(
        c"accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    if inject(SystemFault::AcceptNoDescriptor) {
        return fail(libc::ENFILE);
    }
    if inject(SystemFault::AcceptNoBuffers) {
        return fail(libc::ENOBUFS);
    }
    if inject(SystemFault::AcceptAborted) {
        return fail(libc::ECONNABORTED);
    }
    accept(socket, address, length, flags)
}

/// Returns whether a descriptor other than the standard ones is a regular file.
fn is_file(descriptor: c_int) -> bool {
    // Sound: `stat` is only read after the call has filled it.
    unsafe {
        let mut stat = std::mem::zeroed::<libc::stat>();
        descriptor > LAST_STANDARD_DESCRIPTOR
            && libc::fstat(descriptor, &mut stat) == 0
            && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Wraps `write(2)` with the file faults; only writes to regular files fail.
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn write(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
) -> ssize_t {
    let write = real!(
        c"write",
        unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t
    );
    if !is_file(descriptor) {
        return write(descriptor, buffer, length);
    }
    if inject(SystemFault::FileNoSpace) {
        return fail(libc::ENOSPC) as ssize_t;
    }
    let short = length > 1 && inject(SystemFault::FileShort);
    write(descriptor, buffer, if short { length / 2 } else { length })
}

/// Wraps `fsync(2)` with [`SystemFault::SyncFails`].
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    let sync = real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    if inject(SystemFault::SyncFails) {
        return fail(libc::EIO);
    }
    sync(descriptor)
}

/// Wraps `open64`, the form of `open(2)` for large files, with [`SystemFault::OpenFails`]; opening a file
/// read-only is never made to fail.
///
/// # Safety
/// The same as for libc's function. The mode is passed on even if the flags do not use it, as libc itself does.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let open = real!(
        c"open64",
        unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int
    );
    if flags & libc::O_ACCMODE != libc::O_RDONLY && inject(SystemFault::OpenFails) {
        return fail(libc::EIO);
    }
    open(path, flags, mode)
}

/// Wraps `clock_gettime(2)` and adds the offset of the control file to the wall clock (`CLOCK_REALTIME`) only.
///
/// # Safety
/// The same as for libc's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let get = real!(
        c"clock_gettime",
        unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int
    );
    let result = get(clock, time);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset = control().map_or(0, |c| c.slot(CLOCK_SLOT).load(Ordering::Relaxed) as i64);
        let micros = (*time).tv_sec * 1_000_000 + (*time).tv_nsec / 1_000 + offset;
        (*time).tv_sec = micros.div_euclid(1_000_000);
        (*time).tv_nsec = micros.rem_euclid(1_000_000) * 1_000 + (*time).tv_nsec % 1_000;
    }
    result
}
