//! Bodies that pass through the limiter while they arrive, within a bounded window.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use axum::http::HeaderValue;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TryRecvError;

use crate::net::runtime::memory_budget::Reservation;

/// Bodies up to this size are read whole before they are passed on.
pub const MAX_WHOLE_BODY_BYTES: usize = 64 << 10;
/// Maximum size of a body. The platform's days have bodies of up to 32 MB.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Memory reserved for a request whose body is streamed: the start that is kept, a part under way, and the write buffer
/// of the HTTP library.
pub const REQUEST_STREAM_MEMORY_BYTES: usize = 2 * MAX_WHOLE_BODY_BYTES;
/// Memory reserved for a streamed response: its first part, the window, a part under way, and [`MAX_UNWRITTEN_BYTES`].
pub const RESPONSE_STREAM_MEMORY_BYTES: usize = MAX_WHOLE_BODY_BYTES;
/// Number of bytes of a streamed response that may wait in the HTTP library's write buffer before a further part is taken.
pub const MAX_UNWRITTEN_BYTES: usize = 16 << 10;
/// Number of parts, of 8 KiB at most, that wait between the sender and the receiver.
pub const WINDOW_PARTS: usize = 2;

/// The sender did not send the whole body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the other side broke off the body")]
pub struct BodyBrokenOff;

/// A part of a body, or the news that the body ends without its rest.
pub type BodyPart = Result<Bytes, BodyBrokenOff>;

/// What the receiving end found next.
#[derive(Debug)]
enum NextPart {
    Received(BodyPart),
    /// There is none: the sender was dropped.
    SenderGone,
}

/// The receiving end of a streamed body. It has its end when the sender is dropped; a sender that can't send the whole
/// body says so with [`BodyBrokenOff`].
#[derive(Debug)]
pub struct StreamedBody {
    /// The part that has been read already.
    first: Bytes,
    rest: mpsc::Receiver<BodyPart>,
    /// What was received ahead.
    next: Option<NextPart>,
    /// The backend that sends the body, as the value of a Host header.
    backend: Option<HeaderValue>,
    /// Bytes that are still to come, if the sender announced the length.
    remaining: Option<u64>,
    is_finished: bool,
    _memory: Reservation,
}

impl StreamedBody {
    /// Creates a body that begins with `first`, has `length` bytes if that is known, and holds `memory` as long as it
    /// lives. Returns the sender of the rest.
    pub fn new(
        first: Bytes,
        length: Option<u64>,
        memory: Reservation,
    ) -> (mpsc::Sender<BodyPart>, StreamedBody) {
        let (sender, rest) = mpsc::channel(WINDOW_PARTS);
        let body = StreamedBody {
            first,
            rest,
            next: None,
            backend: None,
            remaining: length,
            is_finished: false,
            _memory: memory,
        };
        (sender, body)
    }

    /// Sets the backend that sends the body, as the value of a Host header.
    pub fn with_backend(mut self, host: HeaderValue) -> StreamedBody {
        self.backend = Some(host);
        self
    }

    /// The backend that sends the body.
    pub fn backend(&self) -> Option<&HeaderValue> {
        self.backend.as_ref()
    }

    /// Whether the body is known to have broken off right behind its first part.
    pub fn is_broken_off(&mut self) -> bool {
        if self.next.is_none() {
            self.next = match self.rest.try_recv() {
                Ok(part) => Some(NextPart::Received(part)),
                Err(TryRecvError::Disconnected) => Some(NextPart::SenderGone),
                Err(TryRecvError::Empty) => None,
            };
        }
        let is_incomplete = self.remaining.is_some_and(|remaining| remaining > self.first.len() as u64);
        match &self.next {
            Some(NextPart::Received(part)) => part.is_err(),
            Some(NextPart::SenderGone) => is_incomplete,
            None => false,
        }
    }

    /// Passes a part on. With an announced length, a body that ends early is broken off.
    fn pass_on(&mut self, part: Option<BodyPart>) -> Option<Result<Frame<Bytes>, BodyBrokenOff>> {
        let part = match part {
            None if self.remaining.is_some_and(|remaining| remaining > 0) => Err(BodyBrokenOff),
            None => {
                self.is_finished = true;
                return None;
            }
            Some(part) => part,
        };
        match &part {
            Ok(bytes) => {
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
                self.is_finished = self.remaining == Some(0);
            }
            Err(BodyBrokenOff) => self.is_finished = true,
        }
        Some(part.map(Frame::data))
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyBrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBrokenOff>>> {
        if self.is_finished {
            return Poll::Ready(None);
        }
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Poll::Ready(self.pass_on(Some(Ok(first))));
        }
        let part = match self.next.take() {
            Some(NextPart::Received(part)) => Some(part),
            Some(NextPart::SenderGone) => None,
            None => ready!(self.rest.poll_recv(cx)),
        };
        Poll::Ready(self.pass_on(part))
    }

    fn is_end_stream(&self) -> bool {
        self.is_finished
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests;
