//! Reads responses as a client: their status, and the bytes of long ones in either framing that a limiter uses.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::body::ContentCheck;

/// The head of a response, and what was read of its body.
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The announced length; `None` if the body is in chunks.
    length: Option<usize>,
    bytes: Vec<u8>,
}

/// Reads a response's head and the first bytes of its body; `None` if the connection ends before that.
pub async fn read_head(stream: &mut TcpStream) -> Option<ResponseHead> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let head = std::str::from_utf8(&bytes[..end]).ok()?.to_string();
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(": ")?;
                key.eq_ignore_ascii_case(name).then(|| value.to_string())
            })
        };
        let is_chunked = header("transfer-encoding").is_some();
        let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let status = head.split(' ').nth(1)?.parse().ok()?;
        bytes.drain(..end + 4);
        let length = (!is_chunked).then_some(length);
        let is_begun = !bytes.is_empty() || length == Some(0) || stream.read_buf(&mut bytes).await.ok()? > 0;
        return is_begun.then_some(ResponseHead { status, length, bytes });
    }
}

impl ResponseHead {
    /// Reads the body to its end. Returns what arrived; `None` if it does not end as its framing says.
    pub async fn read_body(self, stream: &mut TcpStream) -> Option<ContentCheck> {
        match self.length {
            Some(length) => read_length(stream, self.bytes, length).await,
            None => read_chunks(stream, self.bytes).await,
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
