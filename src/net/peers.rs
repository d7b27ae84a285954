//! The actor for datagrams between limiters, which have at most 256 bytes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sedgestack_canary::OUTCOME_SUMS_MAGIC;
use sedgestack_consensus::CONSENSUS_MAGIC;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::info;
use crate::net::control::message::Message;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::socket_errors;
use crate::net::runtime::socket_reuse;

/// A datagram to send.
pub enum OutgoingDatagram {
    /// To all peers.
    Broadcast(Vec<u8>),
    /// To one limiter, by its number.
    To(u32, Vec<u8>),
}

/// Maximum size of a datagram. The platform allows no longer ones.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Backoff after a failed read. Without it, a persistent error would keep the actor busy and starve the others.
const READ_BACKOFF: Duration = Duration::from_millis(20);

/// The socket for datagrams between the limiters of a deployment.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    /// The address that reaches all limiters at once, if there is one.
    broadcast: Option<SocketAddr>,
    own: u32,
}

impl Peers {
    /// Binds the socket. `addresses` are those of the limiters in the order of their numbers, including this one at
    /// `own`. Unless `shared` is set, no other process can bind the address at the same time.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
        own: u32,
        shared: bool,
    ) -> io::Result<Peers> {
        let socket = if shared {
            socket_reuse::bind_datagram_socket(listen)?
        } else {
            UdpSocket::bind(listen).await?
        };
        Ok(Peers { socket, addresses, broadcast, own })
    }

    /// Sends the datagrams from the mailbox, and passes on those received from peers: datagrams of consensus and of
    /// canary analysis to the consensus actor, if there is one, all others to the control actor.
    pub async fn run(
        self,
        mut mailbox: mpsc::Receiver<OutgoingDatagram>,
        control: mpsc::Sender<Message>,
        consensus: Option<mpsc::Sender<Vec<u8>>>,
    ) {
        // One byte more than allowed, to tell a datagram that is too long from one of the maximum size.
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                datagram = mailbox.recv() => match datagram {
                    Some(datagram) => self.send(&datagram),
                    None => return,
                },
                read = self.socket.recv_from(&mut buffer) => {
                    let (length, sender) = match read {
                        Ok(read) => read,
                        Err(e) => {
                            socket_errors::record_failure("peers", "read", &e);
                            sleep_until(Instant::now() + READ_BACKOFF).await;
                            continue;
                        }
                    };
                    let from = self.addresses.iter().position(|a| *a == sender).map(|n| n as u32);
                    let Some(from) = from.filter(|n| *n != self.own && length <= MAX_DATAGRAM_BYTES) else { continue };
                    COUNTERS.peer_received.increment();
                    let bytes = buffer[..length].to_vec();
                    // Datagrams may be lost anyway, so they are dropped if the mailbox is full.
                    match &consensus {
                        Some(consensus) if is_for_consensus(&bytes) => {
                            let _ = consensus.try_send(bytes);
                        }
                        _ => {
                            let _ = control.try_send(Message::PeerDatagram { from, bytes });
                        }
                    }
                }
            }
        }
    }

    fn send(&self, datagram: &OutgoingDatagram) {
        let (OutgoingDatagram::Broadcast(bytes) | OutgoingDatagram::To(_, bytes)) = datagram;
        // A longer datagram would make a run on the platform void.
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return info!(
                "peers: datagram of {} bytes is not sent: at most {MAX_DATAGRAM_BYTES} are allowed",
                bytes.len()
            );
        }
        for address in self.recipients(datagram) {
            match self.socket.try_send_to(bytes, address) {
                Ok(_) => COUNTERS.peer_sent.increment(),
                Err(e) => socket_errors::record_failure(address, "send a datagram", &e),
            }
        }
    }

    fn recipients(&self, datagram: &OutgoingDatagram) -> Vec<SocketAddr> {
        match (datagram, self.broadcast) {
            (OutgoingDatagram::To(number, _), _) => {
                self.addresses.get(*number as usize).copied().into_iter().collect()
            }
            (OutgoingDatagram::Broadcast(_), Some(broadcast)) => vec![broadcast],
            (OutgoingDatagram::Broadcast(_), None) => {
                let peers = self.addresses.iter().enumerate().filter(|(n, _)| *n as u32 != self.own);
                peers.map(|(_, address)| *address).collect()
            }
        }
    }
}

/// Whether a datagram belongs to consensus or canary analysis.
fn is_for_consensus(bytes: &[u8]) -> bool {
    matches!(bytes.first(), Some(&CONSENSUS_MAGIC | &OUTCOME_SUMS_MAGIC))
}

#[cfg(test)]
mod tests;
