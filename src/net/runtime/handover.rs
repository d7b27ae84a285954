//! Handover between two processes of a limiter: the new process waits until the old one has exited.
//!
//! Two processes that act as the same replica could cast contradictory votes. If limiters agree on versions of the
//! runtime configuration, the new process of an upgrade therefore binds no address until the old one has closed its
//! sockets for operators and peers.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::info;

/// Interval between two checks whether the addresses are free.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until no other process has the operators' or the peers' address bound, or until `deadline`. If an address is
/// still bound then, binding it fails later with an error that names it.
pub async fn wait_for_predecessor(ops: Option<SocketAddr>, peers: Option<SocketAddr>, deadline: Instant) {
    let are_free = || {
        ops.is_none_or(|address| TcpListener::bind(address).is_ok())
            && peers.is_none_or(|address| UdpSocket::bind(address).is_ok())
    };
    if are_free() {
        return;
    }
    info!("hand-over: waits for the previous process to exit");
    while !are_free() && Instant::now() < deadline {
        sleep(CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
