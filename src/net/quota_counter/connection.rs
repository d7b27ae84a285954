//! Opening a connection to the quota counter, and handling the events on it.

use std::io;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout_at, Duration, Instant};

use super::pipeline::CallPipeline;
use super::protocol::ProtocolError;
use super::{send_replies, CounterCall};
use crate::net::config::addresses::Addresses;
use crate::net::control::message::{CounterReply, Message};
use crate::net::runtime::socket_errors;

/// Size in bytes of the read buffer while a replaced connection is drained.
const DRAIN_READ_BYTES: usize = 1024;

/// Why a connection failed or could not be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("no address is configured")]
    NoAddress,
    #[error("connect timed out")]
    ConnectTimeout,
    #[error("connection closed")]
    Closed,
    #[error("no response")]
    Silent,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

/// Why serving a connection ended.
pub(super) enum ConnectionEnd {
    Failed(ConnectionError),
    /// The counter's address changed, and a connection to the new address is open.
    Replaced(TcpStream),
    /// All senders of calls are gone.
    MailboxClosed,
}

/// An event while serving a connection.
pub(super) enum ConnectionEvent {
    /// A call to queue; `None` once all senders of calls are gone.
    Call(Option<CounterCall>),
    /// The counter's address changed: the result of connecting to the new one.
    Redialled(Result<TcpStream, ConnectionError>),
    Written(io::Result<usize>),
    Read(io::Result<usize>),
    /// The time returned by [`CallPipeline::next_wakeup`] has come.
    Wakeup,
}

/// Opens a connection, or fails at `deadline`.
pub(super) async fn dial(
    address: Option<SocketAddr>,
    deadline: Instant,
) -> Result<TcpStream, ConnectionError> {
    let address = address.ok_or(ConnectionError::NoAddress)?;
    let dialled = timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = dialled
        .map_err(|_| ConnectionError::ConnectTimeout)?
        .inspect_err(|e| socket_errors::record_failure("counter", "dial", e))?;
    socket_errors::disable_nagle(&stream, "counter");
    Ok(stream)
}

/// Waits until the counter's address differs from `dialled`, and opens a connection to the new address.
pub(super) async fn dial_next_address(
    addresses: &mut watch::Receiver<Addresses>,
    dialled: &mut Option<SocketAddr>,
    connect_timeout: Duration,
) -> Result<TcpStream, ConnectionError> {
    while addresses.changed().await.is_ok() {
        let address = addresses.borrow_and_update().counter;
        if *dialled != address {
            *dialled = address;
            return dial(address, Instant::now() + connect_timeout).await;
        }
    }
    // The sender is gone, so the address cannot change again.
    std::future::pending().await
}

/// Handles the result of a write.
pub(super) fn on_written(
    pipeline: &mut CallPipeline,
    result: io::Result<usize>,
) -> Result<(), ConnectionError> {
    let bytes = result.inspect_err(|e| socket_errors::record_failure("counter", "write", e))?;
    pipeline.record_written(bytes);
    Ok(())
}

/// Handles the result of a read into `input`.
pub(super) fn on_read(
    pipeline: &mut CallPipeline,
    result: io::Result<usize>,
    input: &[u8],
    replies: &mut Vec<CounterReply>,
) -> Result<(), ConnectionError> {
    match result.inspect_err(|e| socket_errors::record_failure("counter", "read", e))? {
        0 => Err(ConnectionError::Closed),
        bytes => Ok(pipeline.receive(&input[..bytes], Instant::now(), replies)?),
    }
}

/// Expires calls and pings an idle connection. Fails if an answer is due and the counter has gone silent.
pub(super) fn on_wakeup(
    pipeline: &mut CallPipeline,
    replies: &mut Vec<CounterReply>,
) -> Result<(), ConnectionError> {
    let now = Instant::now();
    pipeline.expire_calls(now, replies);
    if pipeline.silence_deadline() <= now {
        if !pipeline.is_idle() {
            return Err(ConnectionError::Silent);
        }
        pipeline.push_ping(now);
    }
    Ok(())
}

/// Reads the outstanding answers from a connection that was replaced, until all calls on it are answered or expired.
pub(super) async fn drain(mut stream: TcpStream, mut pipeline: CallPipeline, control: mpsc::Sender<Message>) {
    let (mut replies, mut input) = (Vec::new(), [0u8; DRAIN_READ_BYTES]);
    while let Some(deadline) = pipeline.next_deadline() {
        tokio::select! {
            read = stream.read(&mut input) => match read {
                Ok(bytes) if bytes > 0
                    && pipeline.receive(&input[..bytes], Instant::now(), &mut replies).is_ok() => {}
                _ => break,
            },
            () = sleep_until(deadline) => pipeline.expire_calls(Instant::now(), &mut replies),
        }
        send_replies(&control, &mut replies).await;
    }
    pipeline.close(&mut replies);
    send_replies(&control, &mut replies).await;
}
