//! Tests the wrappers under a system-call filter that reads full registers.

use super::filter::install;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;

/// Bits that are set in the upper half of a register.
const UPPER_BITS: u64 = 0x5a5a_5a5a << 32;

/// A C library function with up to six arguments.
type CFunction = unsafe extern "C" fn(u64, u64, u64, u64, u64, u64) -> i32;

/// Calls `function` with bits set in the upper half of the descriptor's register, as a compiler may leave
/// them. Returns 0 or the call's error number.
fn call(function: *const (), fd: i32, arguments: [u64; 5]) -> i32 {
    // SAFETY: all arguments that the called functions read are given, and none of them reads variadic
    // arguments.
    let result = unsafe {
        let function: CFunction = std::mem::transmute(function);
        function(fd as u64 | UPPER_BITS, arguments[0], arguments[1], arguments[2], arguments[3], arguments[4])
    };
    if result < 0 {
        io::Error::last_os_error().raw_os_error().unwrap_or(-1)
    } else {
        0
    }
}

/// An open descriptor must be usable whatever the upper half of its register holds. Without the wrappers each
/// of these calls fails with EBADF under the filter.
#[test]
fn upper_half_of_descriptor_register_is_ignored() {
    let results = thread::spawn(|| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let stream = TcpStream::connect(listener.local_addr().expect("bound")).expect("the listener accepts");
        let (fd, one) = (stream.as_raw_fd(), 1i32);
        let mut buffer = [0u8; 64];
        let mut length = buffer.len() as u32;
        let (buffer, length) = (buffer.as_mut_ptr() as u64, &raw mut length as u64);
        let level = libc::SOL_SOCKET as u64 | UPPER_BITS;
        let option = libc::SO_KEEPALIVE as u64 | UPPER_BITS;
        let peek = (libc::MSG_PEEK | libc::MSG_DONTWAIT) as u64 | UPPER_BITS;
        install(libc::SECCOMP_RET_ERRNO | libc::EBADF as u32)
            .expect("a thread may install a filter for itself");
        [
            (
                "setsockopt",
                call(
                    libc::setsockopt as *const (),
                    fd,
                    [level, option, &raw const one as u64, 4 | UPPER_BITS, 0],
                ),
                0,
            ),
            ("getsockopt", call(libc::getsockopt as *const (), fd, [level, option, buffer, length, 0]), 0),
            ("getpeername", call(libc::getpeername as *const (), fd, [buffer, length, 0, 0, 0]), 0),
            ("getsockname", call(libc::getsockname as *const (), fd, [buffer, length, 0, 0, 0]), 0),
            ("recv", call(libc::recv as *const (), fd, [buffer, 1, peek, 0, 0]), libc::EAGAIN),
            ("send", call(libc::send as *const (), fd, [buffer, 1, UPPER_BITS, 0, 0]), 0),
            ("write", call(libc::write as *const (), fd, [buffer, 1, 0, 0, 0]), 0),
            ("fcntl", call(libc::fcntl as *const (), fd, [libc::F_GETFD as u64 | UPPER_BITS, 0, 0, 0, 0]), 0),
            (
                "listen",
                call(libc::listen as *const (), listener.as_raw_fd(), [8 | UPPER_BITS, 0, 0, 0, 0]),
                0,
            ),
            (
                "shutdown",
                call(libc::shutdown as *const (), fd, [libc::SHUT_WR as u64 | UPPER_BITS, 0, 0, 0, 0]),
                0,
            ),
            ("dup", call(libc::dup as *const (), fd, [0; 5]), 0),
        ]
    });
    for (name, result, expected) in results.join().expect("the thread ends") {
        assert_eq!(result, expected, "{name}: {}", io::Error::from_raw_os_error(result));
    }
}
