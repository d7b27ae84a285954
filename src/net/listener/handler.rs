//! Handles a request from its head to its one final response.

use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{header, HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::Router;
use sedgestack::{Micros, Request, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::{read_body, BodyRest, ReadBody, RestEnd};
use super::client_stream::ClientStream;
use super::client_watch::DisconnectGuard;
use super::connection::ClientConnection;
use super::connection_table::Stage;
use super::connections::Admission;
use super::open_ids::OpenRequestId;
use super::request_error::RequestError;
use super::request_head::RequestHead;
use super::Listener;
use crate::net::admin::stats::AdminStats;
use crate::net::control::message::{
    AcceptedRequest, Arrival, ForwardedRequest, Message, Reply, VersionedReply,
};
use crate::net::request_body::RequestBody;
use crate::net::runtime::memory_budget::GUARANTEED_BODY_BYTES;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::shutdown::Phase;
use crate::net::streamed_body::StreamedBody;

/// Maximum time that a request takes from client to limiter. A client's deadline counts from when it sent the
/// request.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(2);
/// How long before the client's deadline a request whose reply was lost is answered. Any reply that is in time comes
/// earlier.
const LOST_REPLY_MARGIN: Duration = Duration::from_millis(4);
/// Time that the control actor has for a reply at least, a few of its turns, however little time the client has left.
const MIN_REPLY_TIME: Duration = Duration::from_millis(20);
/// Header for the version of the runtime configuration that a request was accepted under, set where limiters agree on
/// versions.
const X_RULES: HeaderName = HeaderName::from_static("x-rules");
const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");
/// Shortest non-zero `Retry-After`.
const MIN_RETRY_AFTER: Micros = 1_000;

/// Returns the routes of the downstream listener.
pub(super) fn routes(listener: Listener) -> Router {
    Router::new()
        .route("/ready", get(readiness_status))
        .fallback(handle_request)
        .with_state(Arc::new(listener))
}

async fn readiness_status(State(listener): State<Arc<Listener>>) -> Response {
    let is_ready = listener.is_ready.load(Relaxed) && *listener.phase.borrow() == Phase::Serving;
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    listener.close_unless_serving(status.into_response())
}

async fn handle_request(State(listener): State<Arc<Listener>>, request: axum::extract::Request) -> Response {
    let (mut parts, body) = request.into_parts();
    let connection = parts.extensions.remove::<ClientConnection>();
    let head = RequestHead::parse(&listener, &parts);
    drop(parts);
    let head = match head {
        Ok(head) => head,
        Err(error) => return error.into_response(),
    };
    listener.stats.record_request_started();
    let mut pending = PendingRequest { stats: &listener.stats, class: head.class, status: None };
    let response = respond(&listener, head, body, connection).await;
    pending.status = Some(response.status());
    response
}

/// A request of a known class that awaits its response. When dropped, it is counted by the status of the response, or
/// is not counted if the client disconnected first.
struct PendingRequest<'a> {
    stats: &'a AdminStats,
    class: usize,
    status: Option<StatusCode>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.stats.record_request_ended(self.class, self.status);
    }
}

/// Returns the response to a request whose head was read.
async fn respond(
    listener: &Listener,
    head: RequestHead,
    body: Body,
    connection: Option<ClientConnection>,
) -> Response {
    if let Some(refusal) = refuse_unread(listener, connection.as_ref()) {
        return refusal;
    }
    let ReadBody { body, rest, memory_wait } =
        match read_body(listener, head.body_length, body, connection.as_ref(), head.timeout).await {
            Ok(read) => read,
            Err(error) => return error.into_response(),
        };
    // A client's time counts from the last byte of its request. For a long body, which is still arriving, it is extended
    // by the time for which the client is awaited.
    let arrived_at = Instant::now() - memory_wait;
    // A second request with the id of an open one would reach a backend as a duplicate.
    let Some(open_id) = listener.open_ids.claim(head.id.clone()) else {
        return RequestError::AlreadyOpen.into_response();
    };
    if let Some(connection) = &connection {
        connection.entry.set_stage(Stage::InFlight);
        connection.downstream.begin_request(head.id.clone(), head.version);
    }
    let client_gone = CancellationToken::new();
    let forward = forwarded_request(&head, open_id, body, client_gone.clone());
    let (reply, reply_receiver) = oneshot::channel();
    let forward = Arc::new(forward);
    let accepted = listener.accept(arrived_at, &head, forward.clone(), reply);
    let (id, deadline) = (accepted.request.id, accepted.deadline);
    if listener.control.try_send(Message::Accepted(accepted)).is_err() {
        COUNTERS.turned_away_full.increment();
        return rejection_response(0);
    }
    let handed_over = HandedOverRequest {
        id,
        client_gone,
        reply: reply_receiver,
        respond_by: (deadline - LOST_REPLY_MARGIN).max(Instant::now() + MIN_REPLY_TIME),
        forward,
        rest,
    };
    let mut response = handed_over.await_response(listener, connection.as_ref()).await;
    // No further request can be read on a connection from which bytes were discarded.
    if connection.is_some_and(|connection| connection.downstream.has_discarded()) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    listener.close_unless_serving(response)
}

/// Returns the response to a request that is refused before its body is read, for want of memory or of a connection.
fn refuse_unread(listener: &Listener, connection: Option<&ClientConnection>) -> Option<Response> {
    if listener.memory.is_heap_full() {
        COUNTERS.memory_refused.increment();
        return Some(RequestError::OutOfMemory.into_response());
    }
    if connection?.entry.admission == Admission::Requests {
        return None;
    }
    COUNTERS.turned_away_full.increment();
    Some(rejection_response(0))
}

/// Returns what is forwarded unchanged to a backend.
fn forwarded_request(
    head: &RequestHead,
    id: OpenRequestId,
    body: RequestBody,
    client_gone: CancellationToken,
) -> ForwardedRequest {
    ForwardedRequest {
        method: head.method.clone(),
        path: head.path.clone(),
        id,
        key: head.idempotency_key.clone(),
        body,
        client_gone,
    }
}

impl Listener {
    /// Returns the response, which closes its connection during a drain or a graceful shutdown.
    fn close_unless_serving(&self, mut response: Response) -> Response {
        if *self.phase.borrow() != Phase::Serving {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Builds the message that passes a request to the control actor.
    fn accept(
        &self,
        arrived_at: Instant,
        head: &RequestHead,
        forward: Arc<ForwardedRequest>,
        reply: oneshot::Sender<VersionedReply>,
    ) -> AcceptedRequest {
        // Requests accepted late in a shutdown must be answered before the process exits, even if their clients would
        // wait longer.
        let deadline =
            self.shutdown_deadline.cap(arrived_at + head.timeout.saturating_sub(TRANSIT_ALLOWANCE));
        let request = Request {
            id: self.next_request_id.fetch_add(1, Relaxed),
            class: head.class,
            plan: head.plan,
            customer: head.customer,
            units: head.metering.units,
            timeout: 0,
            spread: head.metering.spread,
        };
        let origin = Arrival {
            arrived_at,
            timeout: head.timeout,
            first_limiter: head.metering.first,
            is_retry: head.is_retry,
        };
        AcceptedRequest { request, forward, origin, deadline, reply }
    }
}

/// A request that was passed to the control actor and awaits its reply.
struct HandedOverRequest {
    id: RequestId,
    client_gone: CancellationToken,
    reply: oneshot::Receiver<VersionedReply>,
    respond_by: Instant,
    forward: Arc<ForwardedRequest>,
    /// The rest of a long body, which the client is still sending.
    rest: Option<BodyRest>,
}

impl HandedOverRequest {
    /// Waits for the control actor's reply, and passes the rest of a long body on meanwhile. If the reply is lost, the
    /// response has status 504.
    async fn await_response(self, listener: &Listener, connection: Option<&ClientConnection>) -> Response {
        let mut disconnect_guard = DisconnectGuard::new(self.id, listener.control.clone(), self.client_gone);
        let has_unread_body = AtomicBool::new(self.rest.is_some());
        let lost = self.forward.body.wait_until(self.respond_by);
        let client = follow_client(connection, &self.forward.body, self.rest, &has_unread_body);
        let reply = tokio::select! {
            biased;
            reply = self.reply => reply.ok(),
            () = lost => None,
            // The client sends too slowly. `disconnect_guard` reports that as a disconnect.
            error = client => return error.into_response(),
        };
        if let Some(connection) = connection.filter(|_| has_unread_body.load(Relaxed)) {
            connection.downstream.discard_rest();
        }
        match reply {
            Some((reply, version)) => {
                disconnect_guard.on_answered();
                reply_response(reply, version, connection)
            }
            // Without a reply it is unknown whether the request ran, so it is answered as failed, in time for the
            // client's deadline. `disconnect_guard` then reports a disconnect, which ends the request.
            None => {
                COUNTERS.last_resort.increment();
                StatusCode::GATEWAY_TIMEOUT.into_response()
            }
        }
    }
}

/// Passes the rest of a long body on, and then waits until the client disconnects, so that no work is done for a client
/// that has gone: the server library notices a disconnect only if the client has sent nothing after the request. When
/// the client disconnects, the connection ends and this future is dropped with it. Returns an error if the body does not
/// arrive.
async fn follow_client(
    connection: Option<&ClientConnection>,
    body: &RequestBody,
    rest: Option<BodyRest>,
    has_unread_body: &AtomicBool,
) -> RequestError {
    if let (RequestBody::Streamed(body), Some(rest)) = (body, rest) {
        match rest.forward(body, connection).await {
            Ok(RestEnd::Complete) => has_unread_body.store(false, Relaxed),
            Ok(RestEnd::NotTaken) => {}
            Err(error) => return error,
        }
    }
    if let Some(connection) = connection {
        connection.downstream.wait_until_closed().await;
    }
    pending().await
}

/// Converts the control actor's reply to a response. `version` is that of the runtime configuration, if limiters
/// agree on versions.
fn reply_response(reply: Reply, version: Option<u64>, connection: Option<&ClientConnection>) -> Response {
    let mut response = match reply {
        Reply::Served(body) => {
            let holds_memory = body.len() > GUARANTEED_BODY_BYTES;
            if let Some(connection) = connection.filter(|_| holds_memory) {
                connection.entry.set_holds_memory(true);
            }
            Response::new(Body::from(body))
        }
        Reply::Streamed(body) => streamed_response(body, connection),
        Reply::Rejected { retry_after } => rejection_response(retry_after),
        Reply::Failed => StatusCode::BAD_GATEWAY.into_response(),
    };
    if let Some(version) = version {
        response.headers_mut().insert(X_RULES, version.into());
    }
    response
}

/// Returns a response whose body is passed on while it arrives, or a whole one where it has broken off already.
fn streamed_response(mut body: StreamedBody, connection: Option<&ClientConnection>) -> Response {
    if body.is_broken_off() {
        return StatusCode::BAD_GATEWAY.into_response();
    }
    match connection {
        Some(connection) => Response::new(Body::new(ClientStream::new(body, connection.clone()))),
        None => Response::new(Body::new(body)),
    }
}

/// Returns a 429 response, with `Retry-After` in seconds unless `retry_after` is 0.
fn rejection_response(retry_after: Micros) -> Response {
    let mut response = StatusCode::TOO_MANY_REQUESTS.into_response();
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after.max(MIN_RETRY_AFTER) as f64 / 1e6);
        let value = HeaderValue::try_from(seconds).expect("a number is a valid header value");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

#[cfg(test)]
mod tests;
