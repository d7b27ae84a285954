//! An open connection to a backend. It carries one request at a time.

use std::sync::Arc;

use axum::http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;

use super::attempt_body::AttemptBody;
use super::counted_io::CountedIo;
use super::exchange_progress::ExchangeProgress;

/// Maximum length of a response head. A longer one fails the exchange.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// A connection to a backend. Dropping it closes the socket and prevents the HTTP library from writing any part of a
/// request that it has buffered.
pub(super) struct Connection {
    requests: http1::SendRequest<AttemptBody>,
    progress: Arc<ExchangeProgress>,
}

impl Connection {
    /// Starts HTTP on a newly opened connection.
    pub(super) async fn start(io: CountedIo) -> hyper::Result<Connection> {
        let progress = io.progress.clone();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let (requests, driver) = builder.handshake(io).await?;
        // The request on the connection receives the error that ends it, and `CountedIo` counts socket failures.
        tokio::spawn(async move {
            let _ = driver.await;
        });
        let mut connection = Connection { requests, progress };
        connection.ready().await?;
        Ok(connection)
    }

    /// The progress of the exchange on this connection.
    pub(super) fn progress(&self) -> &Arc<ExchangeProgress> {
        &self.progress
    }

    /// Whether the connection is open and can accept a request now.
    pub(super) fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Waits until the connection can accept a request. Fails if the connection closes first.
    pub(super) async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Sends a request and returns once the response head has been read.
    pub(super) async fn send(&mut self, request: Request<AttemptBody>) -> hyper::Result<Response<Incoming>> {
        let body_length =
            request.body().size_hint().exact().expect("the length of a request's body is known");
        self.progress.begin_request(body_length);
        let response = self.requests.send_request(request).await;
        if response.is_ok() {
            self.progress.record_response_started();
        }
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.progress.abandon();
    }
}
