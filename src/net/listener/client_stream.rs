//! A response that is passed on to a client while it arrives.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connection::ClientConnection;
use super::connection_table::Stage;
use crate::net::streamed_body::{BodyBrokenOff, StreamedBody};

/// The body of a long response. While it exists, the client's time to read counts from the last byte that it took, and
/// not while the backend has sent no more.
pub(super) struct ClientStream {
    body: StreamedBody,
    connection: ClientConnection,
}

impl ClientStream {
    /// Starts to pass `body` on to `connection`.
    pub(super) fn new(body: StreamedBody, connection: ClientConnection) -> ClientStream {
        connection.downstream.set_streaming(true);
        connection.entry.set_holds_memory(true);
        ClientStream { body, connection }
    }
}

impl Body for ClientStream {
    type Data = Bytes;
    type Error = BodyBrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBrokenOff>>> {
        ready!(self.connection.downstream.poll_mostly_written(cx));
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(part) = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()) {
            self.connection.downstream.record_unwritten(part.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientStream {
    /// The last bytes may still have to be written.
    fn drop(&mut self) {
        self.connection.downstream.set_streaming(false);
        self.connection.entry.set_stage(Stage::Responding);
    }
}
