//! Wrappers of libc functions for `LD_PRELOAD`: each calls the real function, unless the control file of
//! [`ivyward_fault_injection`] makes the call fail.
//!
//! Errors have the meanings of the manual pages: a failed call has done nothing, a broken connection stays broken.
#![cfg(target_os = "linux")]

use ivyward_fault_injection::{
    is_injected, SystemFault, CLOCK_SLOT, FILE_BYTES, MAGIC, PATH_VARIABLE, SEED_SLOT,
};
use libc::{c_char, c_int, c_void, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Standard input, output and error: logs are written as ever.
const LAST_STANDARD_DESCRIPTOR: c_int = 2;

/// The control file's slots, mapped for as long as the process runs.
struct Control(*const AtomicU64);

// Sound: the mapping is never ended, and its slots are only used as atomics.
unsafe impl Send for Control {}
unsafe impl Sync for Control {}

impl Control {
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
    fn meets(&self, fault: SystemFault) -> bool {
        let rate = self.slot(fault.rate_slot()).load(Ordering::Relaxed);
        if rate == 0 {
            return false;
        }
        let call = self
            .slot(fault.calls_slot())
            .fetch_add(1, Ordering::Relaxed);
        let met = is_injected(
            self.slot(SEED_SLOT).load(Ordering::Relaxed),
            fault,
            call,
            rate,
        );
        if met {
            self.slot(fault.hits_slot()).fetch_add(1, Ordering::Relaxed);
        }
        met
    }
}

fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<Control>> = OnceLock::new();
    CONTROL.get_or_init(Control::map).as_ref()
}

fn meets_fault(fault: SystemFault) -> bool {
    control().is_some_and(|control| control.meets(fault))
}

fn fail(error: c_int) -> c_int {
    // Sound: the address of this thread's own errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Ends a connection for good, so that what follows fails as well.
fn break_connection(socket: c_int) {
    // Sound: a system call on a descriptor; an error means that it has ended already.
    unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
}

/// A function of libc behind this library's own, found once.
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
        let known = self.found.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // Sound: the name ends with a zero byte.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        assert!(!found.is_null(), "libc has no {:?}", self.name);
        self.found.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the real function of this name with the type stated.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: Real = Real::new($name);
        // Sound: libc's function of this name has this type.
        unsafe { std::mem::transmute::<*mut c_void, $type>(REAL.address()) }
    }};
}

/// As `recv(2)`.
///
/// # Safety
/// As for the real function.
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
    if meets_fault(SystemFault::ReceiveInterrupted) {
        return fail(libc::EINTR) as ssize_t;
    }
    if meets_fault(SystemFault::ReceiveTimedOut) {
        break_connection(socket);
        return fail(libc::ETIMEDOUT) as ssize_t;
    }
    let short = length > 1 && meets_fault(SystemFault::ReceiveShort);
    receive(socket, buffer, if short { 1 } else { length }, flags)
}

/// Whether a write to a socket is to fail, and with which errno.
fn send_fault(socket: c_int) -> Option<c_int> {
    if meets_fault(SystemFault::SendInterrupted) {
        return Some(libc::EINTR);
    }
    if meets_fault(SystemFault::SendUnreachable) {
        break_connection(socket);
        return Some(libc::EHOSTUNREACH);
    }
    None
}

/// As `send(2)`.
///
/// # Safety
/// As for the real function.
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
    let short = length > 1 && meets_fault(SystemFault::SendShort);
    send(socket, buffer, if short { 1 } else { length }, flags)
}

/// As `writev(2)`; the node uses it for sockets alone.
///
/// # Safety
/// As for the real function.
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
    if count > 0 && (*parts).iov_len > 1 && meets_fault(SystemFault::SendShort) {
        let one = iovec {
            iov_base: (*parts).iov_base,
            iov_len: 1,
        };
        return writev(descriptor, &one, 1);
    }
    writev(descriptor, parts, count)
}

/// As `accept4(2)`.
///
/// # Safety
/// As for the real function.
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
    if meets_fault(SystemFault::AcceptNoDescriptor) {
        return fail(libc::ENFILE);
    }
    if meets_fault(SystemFault::AcceptNoBuffers) {
        return fail(libc::ENOBUFS);
    }
    if meets_fault(SystemFault::AcceptAborted) {
        return fail(libc::ECONNABORTED);
    }
    accept(socket, address, length, flags)
}

fn is_file(descriptor: c_int) -> bool {
    // Sound: `stat` is only read after the call has filled it.
    unsafe {
        let mut stat = std::mem::zeroed::<libc::stat>();
        descriptor > LAST_STANDARD_DESCRIPTOR
            && libc::fstat(descriptor, &mut stat) == 0
            && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// As `write(2)`; only writes to files fail.
///
/// # Safety
/// As for the real function.
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
    if meets_fault(SystemFault::FileNoSpace) {
        return fail(libc::ENOSPC) as ssize_t;
    }
    let short = length > 1 && meets_fault(SystemFault::FileShort);
    write(descriptor, buffer, if short { length / 2 } else { length })
}

/// As `fsync(2)`.
///
/// # Safety
/// As for the real function.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    let sync = real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    if meets_fault(SystemFault::SyncFails) {
        return fail(libc::EIO);
    }
    sync(descriptor)
}

/// As `open(2)` with large files.
///
/// # Safety
/// As for the real function; the mode is passed on whether or not the flags ask for it, as libc itself does.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let open = real!(
        c"open64",
        unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int
    );
    if flags & libc::O_ACCMODE != libc::O_RDONLY && meets_fault(SystemFault::OpenFails) {
        return fail(libc::EIO);
    }
    open(path, flags, mode)
}

/// As `clock_gettime(2)`; only the wall clock is off.
///
/// # Safety
/// As for the real function.
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
