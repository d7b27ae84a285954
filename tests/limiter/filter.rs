//! A seccomp filter for file descriptors with bits set in the upper half of their registers.
//!
//! The kernel itself ignores the upper half, but passes whole registers to filters. A filter that compares whole
//! registers therefore refuses such a call or ends the process.

use std::io;

use libc::{c_long, sock_filter};

/// System calls whose first argument is a file descriptor.
const DESCRIPTOR_CALLS: [c_long; 28] = [
    libc::SYS_accept4,
    libc::SYS_bind,
    libc::SYS_close,
    libc::SYS_connect,
    libc::SYS_dup,
    libc::SYS_epoll_ctl,
    libc::SYS_epoll_wait,
    libc::SYS_fcntl,
    libc::SYS_fdatasync,
    libc::SYS_flock,
    libc::SYS_fstat,
    libc::SYS_fsync,
    libc::SYS_ftruncate,
    libc::SYS_getpeername,
    libc::SYS_getsockname,
    libc::SYS_getsockopt,
    libc::SYS_ioctl,
    libc::SYS_listen,
    libc::SYS_lseek,
    libc::SYS_read,
    libc::SYS_recvfrom,
    libc::SYS_recvmsg,
    libc::SYS_sendmsg,
    libc::SYS_sendto,
    libc::SYS_setsockopt,
    libc::SYS_shutdown,
    libc::SYS_write,
    libc::SYS_writev,
];

/// Installs the filter for the calling thread and the threads and processes that it starts. `action` is the seccomp
/// action for calls with bits set in the upper half of a descriptor's register.
pub fn install(action: u32) -> io::Result<()> {
    // Offsets in the kernel's seccomp_data: the number of the call, and the upper half of the first argument.
    const CALL_NUMBER: u32 = 0;
    const UPPER_HALF: u32 = 20;
    let load = |offset| instruction(libc::BPF_LD | libc::BPF_W | libc::BPF_ABS, offset, 0, 0);
    let jump_if_equal =
        |value, yes, no| instruction(libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K, value, yes, no);
    let return_action = |value| instruction(libc::BPF_RET | libc::BPF_K, value, 0, 0);
    let count = DESCRIPTOR_CALLS.len() as u8;
    let mut program = vec![load(UPPER_HALF), jump_if_equal(0, count + 1, 0), load(CALL_NUMBER)];
    program.extend((0..count).map(|n| jump_if_equal(DESCRIPTOR_CALLS[usize::from(n)] as u32, count - n, 0)));
    program.push(return_action(libc::SECCOMP_RET_ALLOW));
    program.push(return_action(action));
    let program = libc::sock_fprog { len: program.len() as u16, filter: program.as_mut_ptr() };
    // SAFETY: the filter program outlives the calls, which copy it.
    let is_installed = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &program) == 0
    };
    is_installed.then_some(()).ok_or_else(io::Error::last_os_error)
}

fn instruction(code: u32, k: u32, jt: u8, jf: u8) -> sock_filter {
    sock_filter { code: code as u16, jt, jf, k }
}
