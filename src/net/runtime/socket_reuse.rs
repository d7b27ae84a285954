//! Binds sockets with SO_REUSEPORT. During an upgrade, the new process binds the same addresses as the old one, and
//! both receive traffic until the old one exits.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};

/// Maximum number of connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;

fn bind(address: SocketAddr, kind: Type, protocol: Protocol) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), kind, Some(protocol))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Binds a TCP listener to `address`.
///
/// # Errors
/// Returns an error if the address can't be bound, in particular if another socket has bound it without SO_REUSEPORT.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address, Type::STREAM, Protocol::TCP)?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Binds a UDP socket to `address`.
///
/// # Errors
/// The same as for [`bind_listener`].
pub fn bind_datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::from_std(bind(address, Type::DGRAM, Protocol::UDP)?.into())
}

#[cfg(test)]
mod tests;
