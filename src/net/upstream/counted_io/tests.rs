//! What a stream to a backend writes after a rejected socket option and after an abandoned exchange.

use super::*;
use crate::net::upstream::dialer::Dialer;
use crate::net::upstream::tests::upstream_shared;
use sedgestack::Outcome;

/// The no-delay option only affects speed. This test uses a Unix socket, which does not support it.
#[tokio::test]
async fn connection_that_rejects_no_delay_is_still_used() {
    let (near, far) = std::os::unix::net::UnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let near = std::net::TcpStream::from(std::os::fd::OwnedFd::from(near));
    let stream = TcpStream::from_std(near).unwrap();
    assert!(stream.set_nodelay(true).is_err(), "Unix sockets have no such option");
    let (shared, _mailbox) = upstream_shared();
    let descriptor = shared.sockets.clone().try_acquire_owned().unwrap();
    let addr = "127.0.0.1:1".parse().unwrap();
    let dialer = Dialer { addr, backend_closed: Arc::default(), shared };
    let mut io = dialer.wrap_stream(stream, descriptor);
    let wrote = std::future::poll_fn(|cx| Pin::new(&mut io).poll_write(cx, b"POST /")).await;
    assert_eq!(wrote.unwrap(), 6);
    let mut read = [0; 6];
    std::io::Read::read_exact(&mut { far }, &mut read).unwrap();
    assert_eq!(&read, b"POST /");
}

/// The HTTP library may still hold part of the request when the exchange is abandoned.
#[tokio::test]
async fn nothing_is_written_after_exchange_is_abandoned() {
    let (near, far) = std::os::unix::net::UnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    far.set_nonblocking(true).unwrap();
    let near = std::net::TcpStream::from(std::os::fd::OwnedFd::from(near));
    let (shared, _mailbox) = upstream_shared();
    let descriptor = shared.sockets.clone().try_acquire_owned().unwrap();
    let dialer = Dialer { addr: "127.0.0.1:1".parse().unwrap(), backend_closed: Arc::default(), shared };
    let mut io = dialer.wrap_stream(TcpStream::from_std(near).unwrap(), descriptor);
    io.progress.begin_request(0);
    let half = std::future::poll_fn(|cx| Pin::new(&mut io).poll_write(cx, b"POST /")).await;
    assert_eq!(half.unwrap(), 6);
    io.progress.abandon();
    let written = std::future::poll_fn(|cx| Pin::new(&mut io).poll_write(cx, b"rest")).await;
    assert!(written.is_err());
    let rest = [std::io::IoSlice::new(b"rest")];
    let written = std::future::poll_fn(|cx| Pin::new(&mut io).poll_write_vectored(cx, &rest)).await;
    assert!(written.is_err());
    assert_eq!(io.progress.outcome_of_broken_exchange(), Outcome::ConnectFailed, "the request never ran");
    drop(io);
    let mut received = Vec::new();
    std::io::Read::read_to_end(&mut { far }, &mut received).unwrap();
    assert_eq!(received, b"POST /");
}
