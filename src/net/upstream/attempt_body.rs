//! The body of the request that an attempt sends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::net::control::message::ForwardedRequest;
use crate::net::request_body::RequestBody;
use crate::net::streamed_body::{BodyBrokenOff, BodyPart};

/// The body of a request that an attempt sends: its start, and then the rest if the client is still sending it.
pub(super) struct AttemptBody {
    first: Bytes,
    /// Bytes that have not been passed on.
    remaining: u64,
    forward: Option<Arc<ForwardedRequest>>,
    rest: Option<mpsc::Receiver<BodyPart>>,
}

impl AttemptBody {
    /// Returns a body without bytes.
    pub(super) fn empty() -> AttemptBody {
        AttemptBody { first: Bytes::new(), remaining: 0, forward: None, rest: None }
    }

    /// Returns the body of a client's request.
    pub(super) fn new(forward: &Arc<ForwardedRequest>) -> AttemptBody {
        let (first, is_streamed) = match &forward.body {
            RequestBody::Whole(bytes) => (bytes.clone(), false),
            RequestBody::Streamed(body) => (body.first.clone(), true),
        };
        let forward_of_rest = is_streamed.then(|| forward.clone());
        AttemptBody { first, remaining: forward.body.length(), forward: forward_of_rest, rest: None }
    }

    /// Takes the rest of the request's body, which only one attempt can send.
    fn take_rest(&mut self) -> Option<&mut mpsc::Receiver<BodyPart>> {
        if let Some(RequestBody::Streamed(body)) = self.forward.take().as_ref().map(|forward| &forward.body) {
            self.rest = body.take_rest();
        }
        self.rest.as_mut()
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyBrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBrokenOff>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        let part = if self.first.is_empty() {
            let Some(rest) = self.take_rest() else { return Poll::Ready(Some(Err(BodyBrokenOff))) };
            ready!(rest.poll_recv(cx)).unwrap_or(Err(BodyBrokenOff))
        } else {
            Ok(std::mem::take(&mut self.first))
        };
        if let Ok(bytes) = &part {
            self.remaining = self.remaining.saturating_sub(bytes.len() as u64);
        }
        Poll::Ready(Some(part.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}
