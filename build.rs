//! Generates a wrapper for each C library function that takes a descriptor or another `int`.
//!
//! An `int` is passed in the lower half of a register; the calling convention leaves the upper half
//! undefined, and the kernel reads only the lower half. A system-call filter, or a socket layer built on one,
//! sees all 64 bits and may refuse an open descriptor (EBADF) because of bits in the upper half. Which calls
//! are affected depends on what the compiler inlines. The wrappers extend each `int` to the full register, so
//! that no build of the program makes such calls. `src/registers.rs` includes the wrappers, and its tests
//! check them.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::{env, fs};

/// How an argument fills its register.
#[derive(Clone, Copy)]
enum ArgumentKind {
    /// A pointer, a length or an offset: the caller sets all 64 bits.
    FullRegister,
    /// An `int`: the upper half repeats its sign.
    SignedInt,
    /// An `unsigned int`: the upper half is zero.
    UnsignedInt,
}
use ArgumentKind::{FullRegister as W, SignedInt as I, UnsignedInt as U};

/// The wrapped functions and their arguments up to the last `int`. The last argument of `fcntl` and `ioctl`
/// depends on the command and is passed unchanged.
const FUNCTIONS: &[(&str, &[ArgumentKind])] = &[
    ("accept", &[I]),
    ("accept4", &[I, W, W, I]),
    ("bind", &[I, W, U]),
    ("close", &[I]),
    ("connect", &[I, W, U]),
    ("dup", &[I]),
    ("dup2", &[I, I]),
    ("dup3", &[I, I, I]),
    ("epoll_create1", &[I]),
    ("epoll_ctl", &[I, I, I]),
    ("epoll_wait", &[I, W, I, I]),
    ("eventfd", &[U, I]),
    ("fcntl", &[I, I]),
    ("fcntl64", &[I, I]),
    ("fdatasync", &[I]),
    ("flock", &[I, I]),
    ("fstat", &[I]),
    ("fstat64", &[I]),
    ("fsync", &[I]),
    ("ftruncate", &[I]),
    ("ftruncate64", &[I]),
    ("getpeername", &[I]),
    ("getsockname", &[I]),
    ("getsockopt", &[I, I, I]),
    ("ioctl", &[I]),
    ("isatty", &[I]),
    ("listen", &[I, I]),
    ("lseek", &[I, W, I]),
    ("lseek64", &[I, W, I]),
    ("mmap", &[W, W, I, I, I]),
    ("mmap64", &[W, W, I, I, I]),
    ("poll", &[W, W, I]),
    ("pread", &[I]),
    ("pread64", &[I]),
    ("pwrite", &[I]),
    ("pwrite64", &[I]),
    ("read", &[I]),
    ("readv", &[I, W, I]),
    ("recv", &[I, W, W, I]),
    ("recvfrom", &[I, W, W, I]),
    ("recvmsg", &[I, W, I]),
    ("send", &[I, W, W, I]),
    ("sendmsg", &[I, W, I]),
    ("sendto", &[I, W, W, I, W, U]),
    ("setsockopt", &[I, I, I, W, U]),
    ("shutdown", &[I, I]),
    ("socket", &[I, I, I]),
    ("socketpair", &[I, I, I]),
    ("write", &[I]),
    ("writev", &[I, W, I]),
];

/// The registers of the first six arguments, and the names of their lower halves.
const REGISTERS: [(&str, &str); 6] =
    [("rdi", "edi"), ("rsi", "esi"), ("rdx", "edx"), ("rcx", "ecx"), ("r8", "r8d"), ("r9", "r9d")];

/// Returns the assembly of a function's wrapper.
fn wrapper_assembly(name: &str, arguments: &[ArgumentKind]) -> String {
    let mut text = format!(
        ".section .text.__wrap_{name},\"ax\",@progbits\n.globl __wrap_{name}\n.hidden __wrap_{name}\n\
         .type __wrap_{name},@function\n__wrap_{name}:\n"
    );
    for (argument, (full, half)) in arguments.iter().zip(REGISTERS) {
        match argument {
            ArgumentKind::FullRegister => {}
            ArgumentKind::SignedInt => {
                writeln!(text, "movsxd {full}, {half}").expect("writing to a String cannot fail");
            }
            ArgumentKind::UnsignedInt => {
                writeln!(text, "mov {half}, {half}").expect("writing to a String cannot fail");
            }
        }
    }
    text + &format!("jmp qword ptr [rip + __real_{name}@GOTPCREL]\n.size __wrap_{name}, . - __wrap_{name}\n")
}

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    println!("cargo::rustc-check-cfg=cfg(whole_registers)");
    let target = |part: &str| env::var(format!("CARGO_CFG_TARGET_{part}")).unwrap_or_default();
    if (target("ARCH").as_str(), target("OS").as_str()) != ("x86_64", "linux") {
        return;
    }
    println!("cargo::rustc-cfg=whole_registers");
    let assembly: String =
        FUNCTIONS.iter().map(|(name, arguments)| wrapper_assembly(name, arguments)).collect();
    let path = PathBuf::from(env::var_os("OUT_DIR").expect("cargo sets OUT_DIR")).join("registers.s");
    fs::write(&path, assembly).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    for (name, _) in FUNCTIONS {
        println!("cargo::rustc-link-arg-bin=sedgestack=-Wl,--wrap={name}");
    }
}
