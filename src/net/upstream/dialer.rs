//! Opening connections to a backend.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

use super::connection::Connection;
use super::counted_io::{CountedIo, ResponseHead};
use super::UpstreamShared;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::socket_errors;

/// Opens connections to one backend.
#[derive(Clone)]
pub(super) struct Dialer {
    pub(super) addr: SocketAddr,
    /// Set once no further request may be sent to the backend.
    pub(super) backend_closed: Arc<AtomicBool>,
    pub(super) shared: Arc<UpstreamShared>,
}

impl Dialer {
    /// Opens a connection. Counts and logs a failure.
    pub(super) async fn dial(self) -> io::Result<Connection> {
        COUNTERS.dials.increment();
        let addr = self.addr;
        self.connect().await.inspect_err(|e| {
            COUNTERS.dials_failed.increment();
            socket_errors::record_failure(addr, "dial", e);
        })
    }

    async fn connect(self) -> io::Result<Connection> {
        let deadline = Instant::now() + self.shared.connect_timeout;
        let descriptor = self.shared.sockets.clone().try_acquire_owned().map_err(io::Error::other)?;
        let stream = timeout_at(deadline, TcpStream::connect(self.addr)).await??;
        Connection::start(self.wrap_stream(stream, descriptor)).await.map_err(io::Error::other)
    }

    /// Wraps a newly opened connection. If the socket rejects the no-delay option, the connection is used anyway: the
    /// option only affects speed, and dropping the connection would cause a new dial for every attempt.
    pub(super) fn wrap_stream(self, stream: TcpStream, descriptor: OwnedSemaphorePermit) -> CountedIo {
        socket_errors::disable_nagle(&stream, self.addr);
        CountedIo {
            inner: TokioIo::new(stream),
            progress: Arc::default(),
            addr: self.addr,
            backend_closed: self.backend_closed,
            head: ResponseHead::new(&self.shared.memory),
            _descriptor: descriptor,
        }
    }
}
