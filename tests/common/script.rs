//! Peers that force an order of events on loopback, and barriers on observed state.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

/// A listener whose accept queue is full: connections to it are neither established nor refused until it is
/// opened.
pub struct FullBacklogListener {
    socket: Socket,
    fillers: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl FullBacklogListener {
    pub fn listen() -> FullBacklogListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let loopback: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&loopback.into()).expect("loopback has a free port");
        FullBacklogListener::fill(socket)
    }

    /// Fills the queue of `listener`, so that no further connection to it is established.
    pub fn from_listener(listener: TcpListener) -> FullBacklogListener {
        FullBacklogListener::fill(Socket::from(listener))
    }

    fn fill(socket: Socket) -> FullBacklogListener {
        socket.listen(0).expect("the socket listens");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("the socket is bound");
        // Connections are established until the queue is full; the first one that is not shows that it is.
        let mut fillers = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
            fillers.push(stream);
        }
        FullBacklogListener { socket, fillers, address }
    }

    /// Empties the queue, so that connections are established again, including those that wait.
    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("the socket listens");
        let listener = TcpListener::from(self.socket);
        for filler in self.fillers {
            drop((listener.accept().expect("the connection waits"), filler));
        }
        listener
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("SO_LINGER is supported");
}

/// Shuts down the sending side of a connection and waits until the peer's kernel has acknowledged it. The
/// peer's process then sees the end before anything sent later, on this or other connections.
pub fn shut_down_write(stream: &TcpStream) {
    stream.shutdown(std::net::Shutdown::Write).expect("the connection is open");
    while matches!(connection_state(stream), TCP_ESTABLISHED | TCP_FIN_WAIT1) {
        std::thread::yield_now();
    }
}

/// TCP connection states as numbered by the kernel.
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
    assert_eq!(result, 0, "the kernel reports TCP_INFO");
    info.tcpi_state
}

/// Returns the value of counter `name` in a line of counters.
pub fn counter_value(counters: &str, name: &str) -> u64 {
    let value = counters.split_whitespace().find_map(|c| c.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|t| t.parse().ok()).unwrap_or_else(|| panic!("no {name} in {counters}"))
}
