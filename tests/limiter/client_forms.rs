//! Clients of every form of HTTP/1, which tell whether the answer that they got is whole.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use socket2::SockRef;

use crate::harness::*;
use crate::paced_answers::{decode_chunks, read_some, Framing};

/// The form in which a client sends its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientForm {
    KeepAlive11,
    Close11,
    Plain10,
    KeepAlive10,
    /// Two requests in one write, of which the first answer is judged.
    Pipelined11,
}

/// How the answer to a client ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// The connection ended before any byte.
    NoByte,
    /// The answer is whole as far as its framing tells.
    Whole,
    /// The answer began, and its end shows that it is not whole.
    BrokenOff,
}

/// What a client got.
#[derive(Debug)]
pub struct ReceivedAnswer {
    pub status: Option<u16>,
    pub body: Vec<u8>,
    pub end: End,
}

/// The bytes of a connection, and whether it ended with a reset.
pub struct ReceivedBytes {
    pub bytes: Vec<u8>,
    pub is_reset: bool,
}

impl ClientForm {
    fn request(self, deadline_ms: u64) -> String {
        let next = || get_request("large", 1).replace("X-Deadline-Ms: 8000", &deadline(deadline_ms));
        let request = next();
        match self {
            ClientForm::KeepAlive11 => request,
            ClientForm::Close11 => request.replace("Host:", "Connection: close\r\nHost:"),
            ClientForm::Plain10 => request.replace("HTTP/1.1", "HTTP/1.0"),
            ClientForm::KeepAlive10 => {
                request.replace("HTTP/1.1", "HTTP/1.0").replace("Host:", "Connection: keep-alive\r\nHost:")
            }
            ClientForm::Pipelined11 => request + &next(),
        }
    }

    /// Sends a request on a new connection and reads the answer.
    pub fn send_and_receive(self, limiter: &Limiter, deadline_ms: u64) -> ReceivedAnswer {
        let mut stream = limiter.connect().into_stream();
        stream.write_all(self.request(deadline_ms).as_bytes()).expect("the limiter reads");
        receive(&mut stream)
    }
}

fn deadline(milliseconds: u64) -> String {
    format!("X-Deadline-Ms: {milliseconds}")
}

/// Reads an answer to its end, or to that of its connection.
fn receive(stream: &mut TcpStream) -> ReceivedAnswer {
    let mut received = ReceivedBytes { bytes: Vec::new(), is_reset: false };
    loop {
        if let Some(answer) = whole_answer(&received.bytes) {
            return answer;
        }
        match read_more(stream, &mut received) {
            Some(_) => {}
            None => return judged_at_the_end(received),
        }
    }
}

/// Reads until the connection ends.
pub fn read_to_end(stream: &mut TcpStream) -> ReceivedBytes {
    let mut received = ReceivedBytes { bytes: Vec::new(), is_reset: false };
    while read_more(stream, &mut received).is_some() {}
    received
}

/// Reads the first bytes of an answer. Returns how many they are.
pub fn read_first(stream: &mut TcpStream) -> usize {
    let mut received = ReceivedBytes { bytes: Vec::new(), is_reset: false };
    read_more(stream, &mut received).expect("an answer")
}

/// Reads some bytes. Returns `None` at the end of the connection.
fn read_more(stream: &mut TcpStream, received: &mut ReceivedBytes) -> Option<usize> {
    let mut buffer = [0; 16 << 10];
    match read_some(stream, &mut buffer) {
        Ok(0) => None,
        Ok(count) => {
            received.bytes.extend_from_slice(&buffer[..count]);
            Some(count)
        }
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {
            received.is_reset = true;
            None
        }
        Err(error) => panic!("the client's read failed: {error}"),
    }
}

/// What the head of an answer says.
struct AnswerHead {
    status: u16,
    length: Option<usize>,
    is_chunked: bool,
    /// Position of the body.
    end: usize,
}

impl AnswerHead {
    fn parse(bytes: &[u8]) -> Option<AnswerHead> {
        let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8(bytes[..end].to_vec()).expect("text").to_lowercase();
        Some(AnswerHead {
            status: head.split(' ').nth(1)?.parse().expect("a status"),
            length: head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok()),
            is_chunked: head.contains("transfer-encoding: chunked"),
            end,
        })
    }
}

/// Returns the answer if its framing shows that it is whole.
fn whole_answer(bytes: &[u8]) -> Option<ReceivedAnswer> {
    let head = AnswerHead::parse(bytes)?;
    let rest = &bytes[head.end..];
    let body = match head.length {
        Some(length) => rest.get(..length)?.to_vec(),
        None if head.is_chunked => Some(decode_chunks(rest)).filter(|chunks| chunks.is_complete)?.body,
        None => return None,
    };
    Some(ReceivedAnswer { status: Some(head.status), body, end: End::Whole })
}

/// Judges an answer that was not whole when its connection ended.
fn judged_at_the_end(received: ReceivedBytes) -> ReceivedAnswer {
    let Some(head) = AnswerHead::parse(&received.bytes) else {
        let end = if received.bytes.is_empty() { End::NoByte } else { End::BrokenOff };
        return ReceivedAnswer { status: None, body: Vec::new(), end };
    };
    let ends_with_connection = head.length.is_none() && !head.is_chunked;
    let is_whole = ends_with_connection && !received.is_reset;
    let rest = &received.bytes[head.end..];
    let body = if head.is_chunked { decode_chunks(rest).body } else { rest.to_vec() };
    let end = if is_whole { End::Whole } else { End::BrokenOff };
    ReceivedAnswer { status: Some(head.status), body, end }
}

/// Writes the head of an answer of `length` bytes and the first part of its body at once.
pub fn write_start(stream: &mut TcpStream, framing: Framing, length: usize, body: &[u8]) {
    let mut bytes = framing.head(length).into_bytes();
    if !body.is_empty() {
        bytes.extend_from_slice(&framing.framed(body));
    }
    let _ = stream.write_all(&bytes);
}

/// Writes what ends an answer, and `with_excess` some bytes that belong to none.
pub fn write_end(stream: &mut TcpStream, framing: Framing, with_excess: bool) {
    if framing == Framing::Chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    if with_excess {
        let _ = stream.write_all(b"more than the answer");
    }
}

/// Resets the connection of a backend: its next read sees the end, and the close that follows is a reset.
pub fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    let _ = stream.shutdown(Shutdown::Read);
}
