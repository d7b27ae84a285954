//! Reads responses as a client: their status, and the bytes of long ones in each framing that a limiter uses.

use std::io::ErrorKind;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::body::ContentCheck;

/// The head of a response, and what was read of its body.
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    framing: BodyFraming,
    bytes: Vec<u8>,
}

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

/// How a connection ended before the head of a response was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// Before any byte.
    NoByte,
    /// Within the head.
    WithinHead,
}

/// Reads a response's head.
///
/// # Errors
/// If the connection ends before that.
pub async fn read_head(stream: &mut TcpStream) -> Result<ResponseHead, EarlyEnd> {
    let mut bytes = Vec::new();
    loop {
        if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
            return Err(if bytes.is_empty() { EarlyEnd::NoByte } else { EarlyEnd::WithinHead });
        }
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            return ResponseHead::parse(bytes, end).ok_or(EarlyEnd::WithinHead);
        }
    }
}

impl ResponseHead {
    fn parse(mut bytes: Vec<u8>, end: usize) -> Option<ResponseHead> {
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(": ")?;
                key.eq_ignore_ascii_case(name).then_some(value)
            })
        };
        let length = header("content-length").and_then(|value| value.parse().ok());
        let framing = match length {
            Some(length) => BodyFraming::Length(length),
            None if header("transfer-encoding").is_some() => BodyFraming::Chunked,
            None => BodyFraming::UntilClose,
        };
        let status = head.split(' ').nth(1)?.parse().ok()?;
        bytes.drain(..end + 4);
        Some(ResponseHead { status, framing, bytes })
    }

    /// Reads the body to its end. Returns what arrived; `None` if it does not end as its framing says.
    pub async fn read_body(self, stream: &mut TcpStream) -> Option<ContentCheck> {
        match self.framing {
            BodyFraming::Length(length) => read_length(stream, self.bytes, length).await,
            BodyFraming::Chunked => read_chunks(stream, self.bytes).await,
            BodyFraming::UntilClose => read_until_close(stream, self.bytes).await,
        }
    }
}

async fn read_length(stream: &mut TcpStream, mut bytes: Vec<u8>, length: usize) -> Option<ContentCheck> {
    let mut check = ContentCheck::default();
    loop {
        check.update(&bytes);
        if check.received() >= length {
            return Some(check);
        }
        bytes.clear();
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_chunks(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Option<ContentCheck> {
    let mut check = ContentCheck::default();
    loop {
        while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
            let size = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).ok()?, 16).ok()?;
            let chunk_end = end + 2 + size;
            if bytes.len() < chunk_end + 2 {
                break;
            }
            if size == 0 {
                return Some(check);
            }
            check.update(&bytes[end + 2..chunk_end]);
            bytes.drain(..chunk_end + 2);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads a body that ends with its connection. A reset is no end.
async fn read_until_close(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Option<ContentCheck> {
    let mut check = ContentCheck::default();
    loop {
        check.update(&bytes);
        bytes.clear();
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return Some(check),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}
