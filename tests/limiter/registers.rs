//! Runs the program under a seccomp filter that reads whole registers, and checks that its C library calls have
//! wrappers.

use std::collections::BTreeSet;
use std::os::unix::process::CommandExt;

use object::{Object, ObjectSymbol};
use serde_json::json;

use crate::filter::install;
use crate::harness::*;

/// The filter ends the program at a call with bits set in the upper half of a descriptor's register. The test uses the
/// sockets of clients, backends, discovery, the quota counter, peers and admin calls, and the cordons file.
#[test]
fn program_runs_under_a_filter_that_reads_whole_registers() {
    let backend = Backend::answering("a report");
    let (discovery, push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = json!("127.0.0.1:0");
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(["127.0.0.1:9"]);
    config["settings"]["caps"]["peerMessages"] = json!(true);
    let limiter = Limiter::start_customized(&config, |command| {
        // SAFETY: the filter is installed by system calls that are allowed between fork and exec. Building its program
        // allocates, but the child process has no other thread.
        unsafe { command.pre_exec(|| install(libc::SECCOMP_RET_KILL_PROCESS)) };
    });
    let mut client = limiter.connect();
    for _ in 0..3 {
        assert_eq!(client.request(&get_request("large", 1)).status(), 200);
        assert_eq!(client.request(&post_request("a thesis")).status(), 200);
    }
    push.send(json!({"version": 2, "full": false, "servers": [backend.entry("s-2", "Ready")]}))
        .expect("the watch is open");
    while limiter.admin_stat("members") < 2 {}
    assert_eq!(limiter.call_admin("PUT", "cordon?name=s-2").status(), 200);
    assert_eq!(limiter.call_admin("PUT", "uncordon?name=s-2").status(), 200);
    limiter.signal("TERM");
    let (status, log) = limiter.wait_for_exit();
    assert!(status.success(), "{status}: {log}");
}

/// Fails if a library starts to use a C function with a descriptor that has no wrapper in `build.rs`.
#[test]
fn each_call_with_a_descriptor_has_a_wrapper() {
    const DESCRIPTOR_FUNCTIONS: &str = "accept accept4 bind close close_range connect copy_file_range dup dup2 dup3 epoll_create1 \
        epoll_ctl epoll_pwait epoll_wait eventfd fallocate fallocate64 fchdir fchmod fchown fcntl fcntl64 fdatasync flock \
        fstat fstat64 fsync ftruncate ftruncate64 futimens getpeername getsockname getsockopt inotify_add_watch ioctl isatty \
        listen lseek lseek64 mmap mmap64 pidfd_open poll ppoll pread pread64 preadv preadv64 pwrite pwrite64 pwritev \
        pwritev64 read readv recv recvfrom recvmmsg recvmsg select send sendfile sendfile64 sendmmsg sendmsg sendto \
        setsockopt shutdown signalfd socket socketpair splice timerfd_settime vmsplice write writev";
    let program = std::fs::read(env!("CARGO_BIN_EXE_sedgestack")).expect("the program can be read");
    let program = object::File::parse(&*program).expect("an ELF file");
    let imported: BTreeSet<&str> = program
        .dynamic_symbols()
        .filter(object::ObjectSymbol::is_undefined)
        .filter_map(|s| s.name().ok())
        .collect();
    let wrapped: BTreeSet<&str> =
        program.symbols().filter_map(|s| s.name().ok()?.strip_prefix("__wrap_")).collect();
    let used: Vec<&str> =
        DESCRIPTOR_FUNCTIONS.split_whitespace().filter(|name| imported.contains(name)).collect();
    let unwrapped: Vec<&&str> = used.iter().filter(|name| !wrapped.contains(**name)).collect();
    assert!(used.contains(&"setsockopt"), "{used:?}");
    assert!(unwrapped.is_empty(), "without a wrapper: {unwrapped:?}");
}
