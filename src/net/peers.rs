//! The actor for datagrams between limiters, of 256 bytes at most.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sedgestack_canary::OUTCOME_SUMS_MAGIC;
use sedgestack_consensus::CONSENSUS_MAGIC;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::net::control::message::Message;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::socket_errors;
use crate::net::runtime::socket_reuse;
use crate::say;

/// A datagram to be sent.
pub enum OutgoingDatagram {
    /// To all peers.
    Broadcast(Vec<u8>),
    /// To one limiter, by its number.
    To(u32, Vec<u8>),
}

/// The longest datagram that the platform allows.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Backoff after a read that failed. Guards the other actors: an error that persists would be met again at once.
const READ_BACKOFF: Duration = Duration::from_millis(20);

/// The socket between the limiters of a deployment.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    /// The address that reaches all limiters at once, if there is one.
    broadcast: Option<SocketAddr>,
    own: u32,
}

impl Peers {
    /// Binds the socket; `addresses` are the limiters' in the order of their numbers, with this one at `own`. Unless it
    /// is `shared`, no other process can bind the address beside this one.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
        own: u32,
        shared: bool,
    ) -> io::Result<Peers> {
        let socket = if shared { socket_reuse::datagrams(listen)? } else { UdpSocket::bind(listen).await? };
        Ok(Peers { socket, addresses, broadcast, own })
    }

    /// Sends the datagrams of the mailbox, and passes on what peers send: datagrams of the consensus group and of canary
    /// analysis to the consensus actor, if there is one, all others to the control actor.
    pub async fn run(
        self,
        mut mailbox: mpsc::Receiver<OutgoingDatagram>,
        control: mpsc::Sender<Message>,
        consensus: Option<mpsc::Sender<Vec<u8>>>,
    ) {
        // One byte more than allowed, to tell a longer datagram from a full one.
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
                    // Datagrams may be lost, so a full mailbox drops them.
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
        // Guards the result of a run on the platform: a longer datagram makes it void.
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return say!("peers: a message of {} bytes is not sent", bytes.len());
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

/// Whether a datagram is one of the consensus group or of canary analysis.
fn is_for_consensus(bytes: &[u8]) -> bool {
    matches!(bytes.first(), Some(&CONSENSUS_MAGIC | &OUTCOME_SUMS_MAGIC))
}

#[cfg(test)]
mod tests;
