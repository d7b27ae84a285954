//! The links from each limiter to the quota counter and to discovery. Each link is a TCP proxy whose connections can be
//! closed, or stalled without being closed.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::{io, Failure};

/// A service that limiters connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The shared quota counter.
    Counter,
    /// Discovery, which serves the endpoint list.
    Discovery,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Data is forwarded in both directions.
    Open,
    /// No data is forwarded in either direction. Open connections stay open, and new ones are accepted.
    Stalled,
    /// Open connections are closed, and new ones are closed immediately.
    Cut,
}

/// One limiter's link to one service.
pub struct Link {
    /// The address to which the limiter connects instead of the service.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Link {
    /// Starts a link, initially open, to the service at the address `service`.
    ///
    /// # Errors
    /// If no port on loopback can be bound.
    pub async fn start(service: SocketAddr) -> Result<Link, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("service link socket"))?;
        let address = listener.local_addr().map_err(io("service link address"))?;
        let state = Arc::new(watch::channel(LinkState::Open).0);
        let receiver = state.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(forward_connection(near, service, receiver.clone()));
            }
        });
        Ok(Link { address, state })
    }

    /// Sets the state for existing and new connections.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// Forwards one connection until either side closes it or the link is cut.
async fn forward_connection(near: TcpStream, service: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if state.wait_for(|s| *s != LinkState::Stalled).await.is_err() || *state.borrow() == LinkState::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(service).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let mut cut = state.clone();
    tokio::select! {
        () = forward(near_read, far_write, state.clone()) => {}
        () = forward(far_read, near_write, state) => {}
        _ = cut.wait_for(|s| *s == LinkState::Cut) => {}
    }
}

/// Forwards one direction of a connection until this direction ends or fails.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut state: watch::Receiver<LinkState>) {
    let mut buffer = [0; 4_096];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        // Data that was read before the link stalled is held back, as if it were buffered in the network.
        let ended = state.wait_for(|s| *s != LinkState::Stalled).await.is_err();
        if count == 0 || ended || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
