//! Tests of which failed calls are counted.

use super::*;

/// Errors that the other side causes are not counted; errors that only this machine can cause are.
#[test]
fn only_failures_of_this_machine_are_counted() {
    let before = COUNTERS.sockets_failed.get();
    let theirs = [libc::ECONNRESET, libc::EPIPE, libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EAGAIN];
    theirs.iter().for_each(|errno| record_failure("s-1", "read", &Error::from_raw_os_error(*errno)));
    record_failure("s-1", "write", &Error::other("the destination drains"));
    assert_eq!(COUNTERS.sockets_failed.get(), before);
    record_failure("s-1", "look", &Error::from_raw_os_error(libc::EBADF));
    record_failure("s-1", "dial", &Error::from_raw_os_error(libc::EMFILE));
    assert_eq!(COUNTERS.sockets_failed.get(), before + 2);
}
