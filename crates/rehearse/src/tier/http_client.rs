//! A blocking HTTP client that opens a new connection for each request. All operations have a timeout, since suspended
//! limiters don't respond.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting, and for each read of the response.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// An HTTP response.
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The status line and the headers, in lower case.
    pub head: String,
    /// The body.
    pub body: String,
}

impl HttpResponse {
    /// Returns the value of a header. `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
    }
}

/// Sends a request and waits for the response. Returns `None` if the exchange fails or times out.
pub fn exchange(address: SocketAddr, request: &str) -> Option<HttpResponse> {
    read_response(send_request(address, request)?)
}

/// Sends a request on a new connection and returns the connection. Returns `None` if this fails.
pub fn send_request(address: SocketAddr, request: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Reads a response from a connection. Returns `None` if the response is malformed or does not arrive in time.
pub fn read_response(stream: TcpStream) -> Option<HttpResponse> {
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        let line = line.to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        head += &line;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(HttpResponse { status, head, body: String::from_utf8(body).ok()? })
}
