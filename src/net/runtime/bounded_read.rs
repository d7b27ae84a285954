//! Reads from sockets in parts of bounded size.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBuf, ReadBufCursor};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum number of bytes read at once. The HTTP library enlarges its buffer, for as long as the connection lives, when
/// a read fills its initial 8 KiB.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Reads at most `limit` bytes into `buf` and returns how many, 0 at the end of the stream.
pub fn poll_read_at_most(
    stream: &mut TokioIo<TcpStream>,
    cx: &mut Context<'_>,
    mut buf: ReadBufCursor<'_>,
    limit: usize,
) -> Poll<io::Result<usize>> {
    let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
    let limit = limit.min(MAX_READ_BYTES).min(buf.remaining());
    let mut part = ReadBuf::uninit(&mut bytes[..limit]);
    ready!(Pin::new(stream).poll_read(cx, part.unfilled()))?;
    buf.put_slice(part.filled());
    Poll::Ready(Ok(part.filled().len()))
}
