//! Serves one client connection from accept to close.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use axum::http::{header, HeaderValue};
use axum::response::Response;
use axum::Router;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use super::connection_end::{ConnectionEndRecorder, EndCause};
use super::connection_table::Stage;
use super::connections::{Admission, ConnectionEntry};
use super::downstream_io::{Downstream, DownstreamIo};
use super::response_progress::ResponseState;
use crate::net::runtime::memory_budget::BytePool;
use crate::net::runtime::shutdown::Phase;
use crate::net::streamed_body::MAX_BODY_BYTES;

/// Maximum number of unread request bytes per connection, which bounds the memory of all downstream connections.
const MAX_REQUEST_HEAD_BYTES: usize = 64 << 10;
/// Time that an accepted connection has for its first request, also during a shutdown.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of bytes that are skipped after an error response, so that the client can read the response.
const MAX_SKIPPED_BYTES: usize = 1 << 20;
/// Maximum number of bytes that are skipped after a response that came before the end of its request.
const MAX_SKIPPED_BODY_BYTES: usize = MAX_BODY_BYTES as usize;

/// The connection that a request arrived on, as seen by the request handler.
#[derive(Clone)]
pub(super) struct ClientConnection {
    pub(super) entry: Arc<ConnectionEntry>,
    pub(super) downstream: Arc<Downstream>,
}

/// Serves one downstream connection until it ends, and holds `_finished` until then.
///
/// A connection that is idle when a graceful shutdown begins is closed at once, unless it is so new that its first
/// request may be on its way. A connection accepted during the shutdown is closed when the process stops, and one
/// accepted after that when the listener closes. During a shutdown, each response closes its connection.
pub(super) async fn serve_connection(
    client: ClientConnection,
    memory: Arc<BytePool>,
    routes: Router,
    phase: watch::Receiver<Phase>,
    _finished: mpsc::Sender<()>,
) {
    let ClientConnection { entry, downstream } = client.clone();
    let mut end = ConnectionEndRecorder::new(client.clone());
    let idle_close = IdleClose::new(phase, entry.clone());
    let was_refused = AtomicBool::new(false);
    let ended = {
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_REQUEST_HEAD_BYTES)
            .serve_connection(
                DownstreamIo::new(downstream.clone(), entry.clone(), memory),
                request_service(routes, &client, &was_refused),
            );
        tokio::pin!(connection);
        match serve_requests(connection, &client, idle_close).await {
            ConnectionEnd::ClientGone => return end.set_cause(EndCause::ClientGone),
            ConnectionEnd::Finished(ended) => ended,
        }
    };
    end.set_cause(EndCause::of(&ended));
    // A shutdown of the write side would look like the end of a body without a length.
    if downstream.response().state() == ResponseState::BrokenOff {
        return;
    }
    // Otherwise the client has disconnected, or its last response needs no further reading.
    let has_unread = was_refused.load(Relaxed) || downstream.has_discarded();
    if has_unread || ended.is_err_and(|e| e.is_parse()) {
        entry.set_stage(Stage::Unfinished);
        entry.set_holds_memory(false);
        let most = if downstream.has_discarded() { MAX_SKIPPED_BODY_BYTES } else { MAX_SKIPPED_BYTES };
        skip_unread(&downstream, most).await;
    }
}

/// Passes requests on to `routes` together with their connection. Records when each response begins, and in
/// `was_refused` whether the last response was a client error.
fn request_service<'a>(
    routes: Router,
    client: &'a ClientConnection,
    was_refused: &'a AtomicBool,
) -> impl Service<hyper::Request<Incoming>, Response = Response, Error = Infallible, Future: Send> + 'a {
    let routes = TowerToHyperService::new(routes);
    service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(client.clone());
        // A connection for refusals is needed for the next one as soon as nothing is left to read.
        let may_have_unread =
            client.entry.admission == Admission::Requests || !request.body().is_end_stream();
        let response = routes.call(request);
        async move {
            let mut response = response.await;
            if let (Ok(response), Admission::Refusal) = (&mut response, client.entry.admission) {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            client.entry.set_stage(Stage::Responding);
            client.downstream.response().hand_over_whole();
            let is_error = response.as_ref().is_ok_and(|response| response.status().is_client_error());
            was_refused.store(is_error && may_have_unread, Relaxed);
            response
        }
    })
}

/// Decides when a shutdown closes an idle connection.
struct IdleClose {
    phase: watch::Receiver<Phase>,
    entry: Arc<ConnectionEntry>,
    /// The phase of the process at which the connection closes before it has had a response.
    closing_phase: Phase,
    /// Time before which the connection does not close.
    earliest_close: Instant,
}

impl IdleClose {
    /// Returns the rule for a connection that is accepted now.
    fn new(phase: watch::Receiver<Phase>, entry: Arc<ConnectionEntry>) -> IdleClose {
        let earliest_close = Instant::now() + FIRST_REQUEST_TIMEOUT;
        let closing_phase = match *phase.borrow() {
            Phase::Serving => Phase::Quiesced,
            Phase::Quiesced => Phase::Stopping,
            Phase::Stopping | Phase::Closing => Phase::Closing,
        };
        IdleClose { phase, entry, closing_phase, earliest_close }
    }

    /// Waits until the connection must close if it is idle. Waiting for `earliest_close` protects a request on its
    /// way: closing the connection before its first byte is read would lose the request. After the wait, its response
    /// closes the connection.
    ///
    /// A connection that was accepted during a drain is served once, and that response closes it. If the drain ended
    /// before the response, the connection stayed open and closes with the next drain.
    async fn wait_until_due(&mut self) {
        let IdleClose { phase, entry, closing_phase, .. } = self;
        let is_due = |p: &Phase| *p >= *closing_phase || (*p != Phase::Serving && entry.has_responded());
        let _ = phase.wait_for(is_due).await;
        sleep_until(self.earliest_close).await;
    }
}

/// How the serving of a connection ended.
enum ConnectionEnd {
    ClientGone,
    Finished(hyper::Result<()>),
}

/// Serves requests until the client disconnects or a shutdown closes the connection.
async fn serve_requests<S>(
    mut connection: Pin<&mut http1::Connection<DownstreamIo, S>>,
    client: &ClientConnection,
    mut idle_close: IdleClose,
) -> ConnectionEnd
where
    S: Service<hyper::Request<Incoming>, Response = Response, Error = Infallible>,
{
    let downstream = &client.downstream;
    tokio::select! {
        ended = connection.as_mut() => return ConnectionEnd::Finished(ended),
        () = downstream.wait_until_gone() => return ConnectionEnd::ClientGone,
        () = idle_close.wait_until_due() => {}
    }
    tokio::select! {
        ended = finish_partial_request(connection.as_mut(), &client.entry) => {
            if let Some(ended) = ended {
                return ConnectionEnd::Finished(ended);
            }
        }
        () = downstream.wait_until_gone() => return ConnectionEnd::ClientGone,
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        ended = connection => ConnectionEnd::Finished(ended),
        () = downstream.wait_until_gone() => ConnectionEnd::ClientGone,
    }
}

/// Continues serving while part of a further request has arrived on the connection; the response then closes it.
/// Returns `None` once there is no partial request. Shutting the connection down earlier would make the server library
/// discard the bytes of the request that it has read.
async fn finish_partial_request<S>(
    mut connection: Pin<&mut http1::Connection<DownstreamIo, S>>,
    entry: &ConnectionEntry,
) -> Option<hyper::Result<()>>
where
    S: Service<hyper::Request<Incoming>, Response = Response, Error = Infallible>,
{
    poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(Some(ended)),
        Poll::Pending if entry.has_partial_request() => Poll::Pending,
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Reads and discards what a client still sends after an error response, so that the client can read the response:
/// closing a socket with unread bytes resets it. Skipping is bounded by a number of bytes, and by the time limit of the
/// connection's stage.
async fn skip_unread(downstream: &Downstream, most: usize) {
    downstream.shutdown_write();
    let mut skipped = 0;
    while skipped < most {
        match downstream.skip().await {
            0 => return,
            count => skipped += count,
        }
    }
}
