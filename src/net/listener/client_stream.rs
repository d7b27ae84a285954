//! A response that is passed on to a client while it arrives.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use axum::http::Version;
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
    /// Whether the backend broke the body off. The HTTP library is told once the client has what came before.
    is_broken_off: bool,
}

impl ClientStream {
    /// Starts to pass `body` on to `connection`, of which no byte has been taken yet.
    ///
    /// A client of HTTP/1.0 takes the end of the connection for that of a body without a length. Until such a body is
    /// written to its last byte, the connection is reset when it is closed, also where the process is killed.
    pub(super) fn new(body: StreamedBody, connection: ClientConnection) -> ClientStream {
        let downstream = &connection.downstream;
        downstream.response().hand_over_stream();
        connection.entry.set_holds_memory(true);
        let mut request = downstream.open_request();
        request.backend = body.backend().cloned();
        let ends_with_connection = request.version == Version::HTTP_10 && body.size_hint().exact().is_none();
        drop(request);
        if ends_with_connection {
            downstream.set_reset_on_close(true);
        }
        ClientStream { body, connection, is_broken_off: false }
    }

    fn poll_break_off(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyBrokenOff>>> {
        ready!(self.connection.downstream.poll_all_written(cx));
        self.connection.downstream.response().break_off();
        Poll::Ready(Some(Err(BodyBrokenOff)))
    }
}

impl Body for ClientStream {
    type Data = Bytes;
    type Error = BodyBrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBrokenOff>>> {
        let this = &mut *self;
        if this.is_broken_off {
            return this.poll_break_off(cx);
        }
        ready!(this.connection.downstream.poll_mostly_written(cx));
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let Some(Err(BodyBrokenOff)) = frame {
            this.is_broken_off = true;
            return this.poll_break_off(cx);
        }
        let part = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        let mut response = this.connection.downstream.response();
        response.hand_part(part.map_or(0, Bytes::len));
        if this.body.is_end_stream() {
            response.end_stream();
        }
        drop(response);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        !self.is_broken_off && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientStream {
    /// The last bytes may still have to be written.
    fn drop(&mut self) {
        self.connection.entry.set_stage(Stage::Responding);
    }
}
