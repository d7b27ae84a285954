//! Peers that force an order of events on loopback, and barriers on what was observed.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

/// A listener whose queue is full: connections to it neither come up nor are refused, until it is opened.
pub struct FullBacklogListener {
    socket: Socket,
    fillers: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl FullBacklogListener {
    pub fn listen() -> FullBacklogListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let loopback: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&loopback.into()).expect("loopback has a port");
        FullBacklogListener::fill(socket)
    }

    /// From now on no further connection to the listener comes up.
    pub fn from_listener(listener: TcpListener) -> FullBacklogListener {
        FullBacklogListener::fill(Socket::from(listener))
    }

    fn fill(socket: Socket) -> FullBacklogListener {
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("it is bound");
        // Connections come up until the queue is full; the first that does not shows that it is.
        let mut fillers = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
            fillers.push(stream);
        }
        FullBacklogListener { socket, fillers, address }
    }

    /// From now on connections come up, also those that wait.
    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("it listens");
        let listener = TcpListener::from(self.socket);
        for filler in self.fillers {
            drop((listener.accept().expect("it waits"), filler));
        }
        listener
    }
}

/// Ends a connection by a reset.
pub fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger is known");
}

/// Ends the sending on a connection, and waits until the other machine has the end: its process then finds it before
/// whatever comes later, on this connection or on others.
pub fn shut_down_write(stream: &TcpStream) {
    stream.shutdown(std::net::Shutdown::Write).expect("it is open");
    while matches!(connection_state(stream), TCP_ESTABLISHED | TCP_FIN_WAIT1) {
        std::thread::yield_now();
    }
}

/// States of a connection, as the machine numbers them (TCP_ESTABLISHED, TCP_FIN_WAIT1).
const TCP_ESTABLISHED: u8 = 1;
const TCP_FIN_WAIT1: u8 = 4;

fn connection_state(stream: &TcpStream) -> u8 {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open, and `info` has room for `length` bytes, any of which make a valid value.
    let (result, info) = unsafe {
        let pointer = info.as_mut_ptr().cast();
        let descriptor = stream.as_raw_fd();
        let result =
            libc::getsockopt(descriptor, libc::IPPROTO_TCP, libc::TCP_INFO, pointer, &raw mut length);
        (result, info.assume_init())
    };
    assert_eq!(result, 0, "the machine tells of its connections");
    info.tcpi_state
}

/// The figure of `name` in a line of counters.
pub fn counter_value(counters: &str, name: &str) -> u64 {
    let told = counters.split_whitespace().find_map(|c| c.strip_prefix(name)?.strip_prefix('='));
    told.and_then(|t| t.parse().ok()).unwrap_or_else(|| panic!("no {name} in {counters}"))
}
