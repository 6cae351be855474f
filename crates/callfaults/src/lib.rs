//! For tests alone: makes calls of a process under test fail as Linux documents, and steps its wall clock.
//!
//! Loaded into the process ahead of the C library (`LD_PRELOAD`), it stands in for `accept4`, `recv`, `send` and
//! `clock_gettime`. Calls that bypass the C library are not reached: with the crates in use those of the reactor (waits,
//! timers, `socket` and `connect` of engine connections). What it did is counted in a file, so that a run can tell whether
//! a fault that was ordered has come up.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `CALLFAULTS_ONE_IN` | one of so many calls fails, is interrupted or comes short; 0 or absent: none |
//! | `CALLFAULTS_CLOCK_STEP_S` | seconds by which the wall clock is wrong |
//! | `CALLFAULTS_CLOCK_STEP_AT_MS` | how long after the process's first look at the clock it is stepped; 0: from the start |
//! | `CALLFAULTS_SEED` | for the draws |
//! | `CALLFAULTS_COUNTS` | the file for the counts: four numbers of eight bytes: accepts, receives, sends, stepped looks |

use std::ffi::{c_int, c_void, CStr};
use std::os::fd::{IntoRawFd, RawFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Errors by which an accept fails for a moment.
const ACCEPT_ERRORS: [c_int; 6] =
    [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR];
/// Errors by which a send fails for a moment.
const SEND_ERRORS: [c_int; 2] = [libc::EINTR, libc::ENOBUFS];
/// Bytes that a short read or write moves at most.
const SHORT: u64 = 24;

/// What is counted.
#[derive(Clone, Copy)]
enum Call {
    Accept,
    Receive,
    Send,
    Clock,
}

struct Orders {
    one_in: u64,
    step_s: i64,
    step_at_ms: i64,
    /// The monotonic time of the first look at the clock, in milliseconds.
    began_ms: i64,
    counts: Option<RawFd>,
}

static ORDERS: OnceLock<Orders> = OnceLock::new();
static DRAWS: AtomicU64 = AtomicU64::new(0);
static COUNTS: [AtomicU64; 4] = [const { AtomicU64::new(0) }; 4];

fn number(name: &str) -> Option<i64> {
    std::env::var(name).ok()?.parse().ok()
}

fn orders() -> &'static Orders {
    ORDERS.get_or_init(|| {
        DRAWS.store(number("CALLFAULTS_SEED").unwrap_or(1) as u64, Ordering::Relaxed);
        let counts = std::env::var("CALLFAULTS_COUNTS").ok();
        let file = counts.and_then(|path| {
            std::fs::File::options().create(true).truncate(false).write(true).open(path).ok()
        });
        Orders {
            one_in: number("CALLFAULTS_ONE_IN").unwrap_or(0).max(0) as u64,
            step_s: number("CALLFAULTS_CLOCK_STEP_S").unwrap_or(0),
            step_at_ms: number("CALLFAULTS_CLOCK_STEP_AT_MS").unwrap_or(0),
            began_ms: monotonic_ms(),
            counts: file.map(IntoRawFd::into_raw_fd),
        }
    })
}

/// A number that differs from call to call (splitmix64).
fn draw() -> u64 {
    let mut mixed = DRAWS.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether this call is to go wrong.
fn goes_wrong() -> bool {
    let one_in = orders().one_in;
    one_in > 0 && draw() % one_in == 0
}

/// Whether a call on this socket is to go wrong. Sockets within the process are left alone: by them its signals travel.
fn goes_wrong_on(fd: c_int) -> bool {
    goes_wrong() && option(fd, libc::SO_DOMAIN) == libc::AF_INET
}

fn count(call: Call) {
    let count = COUNTS[call as usize].fetch_add(1, Ordering::Relaxed) + 1;
    if let Some(file) = orders().counts {
        let bytes = count.to_le_bytes();
        // SAFETY: the buffer is valid for its length, and the descriptor is this library's own.
        unsafe { libc::pwrite(file, bytes.as_ptr().cast(), bytes.len(), 8 * call as i64) };
    }
}

fn fail(error: c_int) {
    // SAFETY: the C library gives each thread a valid place for its error number.
    unsafe { *libc::__errno_location() = error };
}

/// The C library's own function of that name.
fn next(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends with a zero byte.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        let address = *REAL.get_or_init(|| next($name) as usize);
        // SAFETY: the C library has the function, and it has this type.
        unsafe { std::mem::transmute::<usize, $kind>(address) }
    }};
}

type Accept4 = unsafe extern "C" fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t, c_int) -> c_int;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
type Send = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int;

/// Takes a connection, or fails for a moment.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    if goes_wrong() {
        count(Call::Accept);
        fail(ACCEPT_ERRORS[draw() as usize % ACCEPT_ERRORS.len()]);
        return -1;
    }
    real!(c"accept4", Accept4)(fd, address, length, flags)
}

/// Receives, is interrupted or receives little.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> isize {
    let receive = real!(c"recv", Receive);
    if !goes_wrong_on(fd) {
        return receive(fd, buffer, length, flags);
    }
    count(Call::Receive);
    // A datagram that is received in part is lost for the rest.
    if draw() % 2 == 0 || is_datagram(fd) {
        fail(libc::EINTR);
        return -1;
    }
    receive(fd, buffer, length.min(1 + (draw() % SHORT) as usize), flags)
}

/// Sends, is interrupted, finds no buffers or sends little.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> isize {
    let send = real!(c"send", Send);
    if !goes_wrong_on(fd) {
        return send(fd, buffer, length, flags);
    }
    count(Call::Send);
    if draw() % 2 == 0 || is_datagram(fd) {
        fail(SEND_ERRORS[draw() as usize % SEND_ERRORS.len()]);
        return -1;
    }
    send(fd, buffer, length.min(1 + (draw() % SHORT) as usize), flags)
}

fn is_datagram(fd: c_int) -> bool {
    option(fd, libc::SO_TYPE) == libc::SOCK_DGRAM
}

/// An option of a socket; 0 where it has none.
fn option(fd: c_int, name: c_int) -> c_int {
    let (mut value, mut length) = (0 as c_int, size_of::<c_int>() as libc::socklen_t);
    // SAFETY: both places are valid, and the length is that of the first.
    unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length) };
    value
}

fn monotonic_ms() -> i64 {
    let mut at = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    let real = real!(c"clock_gettime", ClockGettime);
    // SAFETY: the place is valid.
    unsafe { real(libc::CLOCK_MONOTONIC, &raw mut at) };
    at.tv_sec * 1000 + at.tv_nsec / 1_000_000
}

/// Tells the time: the wall clock's with its step.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, at: *mut libc::timespec) -> c_int {
    let told = real!(c"clock_gettime", ClockGettime)(clock, at);
    if clock == libc::CLOCK_REALTIME && told == 0 {
        let orders = orders();
        if orders.step_s != 0 && monotonic_ms() - orders.began_ms >= orders.step_at_ms {
            (*at).tv_sec += orders.step_s;
            count(Call::Clock);
        }
    }
    told
}
