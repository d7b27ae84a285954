//! Counts and logs system calls on sockets that fail because of this machine rather than the other side.

use std::fmt::Display;
use std::io::{Error, ErrorKind, Result};
use std::task::Poll;

use tokio::net::TcpStream;

use crate::info;
use crate::net::runtime::metrics::COUNTERS;

/// Whether the other side or the network caused an error, as can happen on any connection.
fn is_remote(e: &Error) -> bool {
    matches!(
        e.kind(),
        ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionRefused
            | ErrorKind::NotConnected
            | ErrorKind::BrokenPipe
            | ErrorKind::TimedOut
            | ErrorKind::UnexpectedEof
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::WouldBlock
            | ErrorKind::Interrupted
    )
}

/// Counts and logs a failed call on a socket, unless the other side caused the failure. Without this, a fault of this
/// machine, or of a layer in between, would look like overloaded backends.
pub fn record_failure(owner: impl Display, operation: &str, e: &Error) {
    if e.raw_os_error().is_some() && !is_remote(e) {
        COUNTERS.sockets_failed.increment();
        info!("{owner}: {operation}: {e}");
    }
}

/// Returns the result of a call unchanged, and records it if it failed.
pub fn record_if_failed<T>(owner: impl Display, operation: &str, result: Poll<Result<T>>) -> Poll<Result<T>> {
    result.map_err(|e| {
        record_failure(owner, operation, &e);
        e
    })
}

/// Disables Nagle's algorithm, so that written bytes are sent at once. If that fails, the connection is used anyway:
/// it still works, and dropping it would mean to connect again for every call.
pub fn disable_nagle(stream: &TcpStream, owner: impl Display) {
    if let Err(e) = stream.set_nodelay(true) {
        COUNTERS.sockets_delayed.increment();
        info!("{owner}: TCP_NODELAY can't be set, writes may be delayed: {e}");
    }
}

#[cfg(test)]
mod tests;
