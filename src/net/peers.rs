//! The actor of the other limiters: datagrams of 256 bytes at most.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::metrics::COUNTERS;
use super::module::Mail;
use crate::say;

/// The longest datagram that the platform allows.
const LONGEST: usize = 256;

/// The socket between the limiters of a tier.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    own: u32,
}

impl Peers {
    /// Binds the socket; `addresses` are the limiters' in the order of their numbers, `own` among them.
    pub async fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        own: u32,
    ) -> io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses, all, own })
    }

    /// Sends what the mailbox brings to all others, and tells the module what they send.
    pub async fn run(self, mut mailbox: mpsc::Receiver<Vec<u8>>, module: mpsc::Sender<Mail>) {
        // One byte more than allowed, to tell a longer datagram from a full one.
        let mut buffer = [0u8; LONGEST + 1];
        loop {
            tokio::select! {
                bytes = mailbox.recv() => match bytes {
                    Some(bytes) => self.tell(&bytes),
                    None => return,
                },
                read = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, sender)) = read else { continue };
                    let from = self.addresses.iter().position(|a| *a == sender).map(|n| n as u32);
                    let Some(from) = from.filter(|n| *n != self.own && length <= LONGEST) else { continue };
                    COUNTERS.peer_received.one();
                    // Late or not at all is what peers expect of a message: a full mailbox drops it.
                    let _ = module.try_send(Mail::Peer { from, bytes: buffer[..length].to_vec() });
                }
            }
        }
    }

    fn tell(&self, bytes: &[u8]) {
        // Guards the run: a longer datagram voids it.
        if bytes.len() > LONGEST {
            return say!("peers: a message of {} bytes is not sent", bytes.len());
        }
        let others = self.addresses.iter().enumerate().filter(|(n, _)| *n as u32 != self.own);
        let others: Vec<SocketAddr> = match self.all {
            Some(all) => vec![all],
            None => others.map(|(_, a)| *a).collect(),
        };
        for address in others {
            if self.socket.try_send_to(bytes, address).is_ok() {
                COUNTERS.peer_sent.one();
            }
        }
    }
}
