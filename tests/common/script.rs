//! Peers that force an order of events on loopback, and barriers on what was observed.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

/// A listener whose queue is full: connections to it neither come up nor are refused, until it is opened.
pub struct Unopened {
    socket: Socket,
    filling: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl Unopened {
    pub fn listen() -> Unopened {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let loopback: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&loopback.into()).expect("loopback has a port");
        Unopened::fill(socket)
    }

    /// From now on no further connection to the listener comes up.
    pub fn shut(listener: TcpListener) -> Unopened {
        Unopened::fill(Socket::from(listener))
    }

    fn fill(socket: Socket) -> Unopened {
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("it is bound");
        // Connections come up until the queue is full; the first that does not shows that it is.
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
            filling.push(stream);
        }
        Unopened { socket, filling, address }
    }

    /// From now on connections come up, also those that wait.
    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("it listens");
        let listener = TcpListener::from(self.socket);
        for filling in self.filling {
            drop((listener.accept().expect("it waits"), filling));
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
pub fn end_sending(stream: &TcpStream) {
    /// The state of a connection whose end was acknowledged, as /proc/net/tcp has it (FIN_WAIT2).
    const END_ACKNOWLEDGED: &str = "05";
    stream.shutdown(std::net::Shutdown::Write).expect("it is open");
    let port = |address: SocketAddr| format!(":{:04X}", address.port());
    let near = port(stream.local_addr().expect("it is bound"));
    let far = port(stream.peer_addr().expect("it is connected"));
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the machine lists its connections");
        let is_acknowledged = table.lines().any(|line| {
            let fields: Vec<&str> = line.split_whitespace().take(4).collect();
            matches!(fields[..], [_, local, remote, END_ACKNOWLEDGED]
                if local.ends_with(&near) && remote.ends_with(&far))
        });
        if is_acknowledged {
            return;
        }
        std::thread::yield_now();
    }
}

/// The figure of `name` in a line of counters.
pub fn figure(counters: &str, name: &str) -> u64 {
    let told = counters.split_whitespace().find_map(|c| c.strip_prefix(name)?.strip_prefix('='));
    told.and_then(|t| t.parse().ok()).unwrap_or_else(|| panic!("no {name} in {counters}"))
}
