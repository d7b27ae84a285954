//! Answers that a backend writes at its own pace in any framing, and clients that read them.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::*;

/// Number of parts in which a slow backend writes an answer.
pub const PARTS: usize = 16;

/// How a backend marks the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    UntilClose,
}

pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];

impl Framing {
    /// Returns the head of an answer of `length` bytes.
    pub fn head(self, length: usize) -> String {
        let framing = match self {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            Framing::UntilClose => "Connection: close\r\n".into(),
        };
        format!("HTTP/1.1 200 OK\r\n{framing}\r\n")
    }

    /// Returns a part of the body as it is written.
    pub fn framed(self, part: &[u8]) -> Vec<u8> {
        match self {
            Framing::Chunked => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
            Framing::Length | Framing::UntilClose => part.to_vec(),
        }
    }
}

/// Returns bytes that differ by position, so that missing or swapped parts are found.
pub fn content(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// Writes the first `sent` bytes of a body of `length` bytes in parts, with `pause` between two. Returns when the first
/// part was written.
pub fn write_slowly(
    stream: &mut TcpStream,
    framing: Framing,
    (length, sent): (usize, usize),
    pause: Duration,
) -> Instant {
    write_in_parts(stream, framing, (length, sent), PARTS, pause)
}

/// Like [`write_slowly`], in `parts` parts.
pub fn write_in_parts(
    stream: &mut TcpStream,
    framing: Framing,
    (length, sent): (usize, usize),
    parts: usize,
    pause: Duration,
) -> Instant {
    let _ = stream.write_all(framing.head(length).as_bytes());
    let started = Instant::now();
    let body = content(length);
    for part in body[..sent].chunks(length / parts) {
        let _ = stream.write_all(&framing.framed(part));
        thread::sleep(pause);
    }
    if sent == length && framing == Framing::Chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    if sent < length || framing == Framing::UntilClose {
        let _ = stream.shutdown(Shutdown::Both);
    }
    started
}

/// An answer as a client read it.
pub struct ReadAnswer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_whole: bool,
    pub first_byte_at: Instant,
}

/// Reads once more if the call was interrupted: the system does not restart a read with a time limit.
pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads an answer with a length or in chunks.
pub fn read_answer(stream: &mut TcpStream) -> ReadAnswer {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 16 << 10]);
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        let count = read_some(stream, &mut buffer).expect("a head");
        assert!(count > 0, "the limiter closed the connection without an answer");
        bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).expect("text").to_lowercase();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let mut rest = bytes.split_off(head_end);
    let mut first_byte_at = (!rest.is_empty()).then(Instant::now);
    let is_complete = |rest: &[u8]| match length {
        Some(length) => rest.len() >= length,
        None => rest.ends_with(b"0\r\n\r\n"),
    };
    let mut is_whole = is_complete(&rest);
    while !is_whole {
        let Ok(count @ 1..) = read_some(stream, &mut buffer) else { break };
        first_byte_at.get_or_insert_with(Instant::now);
        rest.extend_from_slice(&buffer[..count]);
        is_whole = is_complete(&rest);
    }
    let body = if length.is_some() { rest } else { decode_chunks(&rest).body };
    ReadAnswer { status, body, is_whole, first_byte_at: first_byte_at.unwrap_or_else(Instant::now) }
}

/// The body of an answer in chunks, as far as whole chunks came.
pub struct DecodedChunks {
    pub body: Vec<u8>,
    /// Whether the last chunk came.
    pub is_complete: bool,
}

pub fn decode_chunks(mut bytes: &[u8]) -> DecodedChunks {
    let mut decoded = DecodedChunks { body: Vec::new(), is_complete: false };
    while let Some(line_end) = bytes.windows(2).position(|w| w == b"\r\n") {
        let size =
            std::str::from_utf8(&bytes[..line_end]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
        let Some(size) = size else { break };
        let start = line_end + 2;
        let Some(chunk) = bytes.get(start..start + size + 2) else { break };
        if size == 0 {
            decoded.is_complete = true;
            break;
        }
        decoded.body.extend_from_slice(&chunk[..size]);
        bytes = &bytes[start + size + 2..];
    }
    decoded
}

/// Sends a request without a body and returns its connection.
pub fn request_stream(limiter: &Limiter) -> TcpStream {
    send_request(limiter, &get_request("large", 1))
}

/// Sends a request and returns its connection.
pub fn send_request(limiter: &Limiter, request: &str) -> TcpStream {
    let mut client = limiter.connect();
    client.write(request);
    client.into_stream()
}
