//! A stand-in for a limiter's address for operators, which gives prepared responses and records its requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A prepared response: the start of the request lines that it matches, the status and the body.
type PreparedResponse = (&'static str, u16, &'static str);

/// A stand-in for a limiter on loopback. It serves until the test process exits.
pub struct StandInLimiter {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl StandInLimiter {
    /// Starts a stand-in that gives each request the first response whose request line matches.
    pub fn start(responses: &'static [PreparedResponse]) -> StandInLimiter {
        // Only ports of five digits are used, because addresses determine the width of printed table columns.
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let has_five_digits = |l: &TcpListener| l.local_addr().is_ok_and(|address| address.port() >= 10_000);
        let listener = std::iter::repeat_with(bind).find(has_five_digits).expect("the iterator is infinite");
        let address = listener.local_addr().expect("the listener is bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(&stream, responses, &recorded);
            }
        });
        StandInLimiter { address, requests }
    }

    /// Returns the requests since the last call: the request line and the length of the body of each.
    pub fn take_requests(&self) -> Vec<String> {
        std::mem::take(&mut self.requests.lock().expect("no thread panics while it holds the lock"))
    }
}

/// Serves one request. Records the request before sending the response, so that a client that has the response finds it
/// recorded.
fn serve(mut stream: &TcpStream, responses: &[PreparedResponse], requests: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream);
    let mut line = || {
        let mut line = String::new();
        reader.read_line(&mut line).expect("the request can be read");
        line.trim_end().to_string()
    };
    let request = line();
    let mut length = 0;
    loop {
        let header = line().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a valid content length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body can be read");
    let found = responses.iter().find(|(start, ..)| request.starts_with(start));
    let (_, status, text) = found.unwrap_or(&("", 404, "no such call\n"));
    let head = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", text.len());
    let request = format!("{request}, {length} bytes of body");
    requests.lock().expect("no thread panics while it holds the lock").push(request);
    stream.write_all((head + text).as_bytes()).expect("the response can be written");
}
