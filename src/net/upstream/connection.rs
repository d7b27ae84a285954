//! An open connection to a backend, which carries one request at a time.

use std::sync::Arc;

use axum::http::{Request, Response};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;

use super::counted_io::CountedIo;
use super::exchange_progress::ExchangeProgress;

/// A head longer than this is no answer's.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// A connection to a backend. Dropped, it closes, and what the client library still holds of a request is not written.
pub(super) struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    progress: Arc<ExchangeProgress>,
}

impl Connection {
    /// Starts HTTP on a connection that came up.
    pub(super) async fn start(io: CountedIo) -> hyper::Result<Connection> {
        let progress = io.progress.clone();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let (requests, driver) = builder.handshake(io).await?;
        // How the connection ends is told to the request on it; failures of its socket are counted by `CountedIo`.
        tokio::spawn(async move {
            let _ = driver.await;
        });
        let mut connection = Connection { requests, progress };
        connection.ready().await?;
        Ok(connection)
    }

    /// How far the exchange on it has come.
    pub(super) fn progress(&self) -> &Arc<ExchangeProgress> {
        &self.progress
    }

    /// Whether it is open and takes a request now.
    pub(super) fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Waits until it takes a request; an error if it ends before that.
    pub(super) async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Sends a request, and returns once the answer's head is read.
    pub(super) async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        let body_length = request.body().size_hint().exact().expect("the body is held whole");
        self.progress.begin_request(body_length);
        let response = self.requests.send_request(request).await;
        if response.is_ok() {
            self.progress.record_answer_begun();
        }
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.progress.abandon();
    }
}
