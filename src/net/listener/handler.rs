//! From a request to its one final answer.

use std::future::pending;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::request::Parts;
use axum::http::{header, HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::Router;
use bytes::Bytes;
use sedgestack::{Micros, Request, RequestId};
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};
use tokio_util::sync::CancellationToken;

use super::body::read_body;
use super::client_watch::ClientWatch;
use super::connection::ClientConnection;
use super::connection_table::Stage;
use super::open_ids::OpenRequestId;
use super::request_error::RequestError;
use super::request_head::RequestHead;
use super::Listener;
use crate::net::admin::stats::AdminStats;
use crate::net::control::message::{AcceptedRequest, Answer, Arrival, ForwardedRequest, Message, Reply};
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::shutdown::Phase;

/// A client's deadline counts from when it sent; its request took up to this long to come.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(2);
/// The answer to a request whose reply was lost is given this long before the client gives up: after any reply that is
/// in time.
const LOST_REPLY_MARGIN: Duration = Duration::from_millis(4);
/// The version of the runtime configuration that a request was accepted under, where limiters agree on versions.
const X_RULES: HeaderName = HeaderName::from_static("x-rules");
const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");
/// The shortest time that a client is told to wait, as far as it is told one.
const MIN_RETRY_AFTER: Micros = 1_000;

/// What a downstream connection answers.
pub(super) fn routes(listener: Listener) -> Router {
    Router::new()
        .route("/ready", get(answer_readiness))
        .fallback(handle_request)
        .with_state(Arc::new(listener))
}

async fn answer_readiness(State(listener): State<Arc<Listener>>) -> StatusCode {
    let is_ready = listener.is_ready.load(Relaxed) && *listener.phase.borrow() == Phase::Serving;
    if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn handle_request(State(listener): State<Arc<Listener>>, request: axum::extract::Request) -> Response {
    let arrived_at = Instant::now();
    let (mut parts, body) = request.into_parts();
    let connection = parts.extensions.remove::<ClientConnection>();
    let head = match RequestHead::parse(&listener, &parts) {
        Ok(head) => head,
        Err(error) => return error.into_response(),
    };
    listener.figures.record_request_started();
    let mut pending = PendingRequest { figures: &listener.figures, class: head.class, status: None };
    let received = ReceivedRequest { arrived_at, parts, head, body };
    let response = answer(&listener, received, connection).await;
    pending.status = Some(response.status());
    response
}

/// A request of a known class until its answer: pending, and then counted by how it ended, or under no end where its
/// client went away first.
struct PendingRequest<'a> {
    figures: &'a AdminStats,
    class: usize,
    status: Option<StatusCode>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.figures.record_request_ended(self.class, self.status);
    }
}

/// A request whose head was read, and its body not yet.
struct ReceivedRequest {
    arrived_at: Instant,
    parts: Parts,
    head: RequestHead,
    body: Body,
}

/// The answer to a request whose head was read.
async fn answer(
    listener: &Listener,
    received: ReceivedRequest,
    connection: Option<ClientConnection>,
) -> Response {
    let ReceivedRequest { arrived_at, parts, head, body } = received;
    let body = match read_body(&parts.headers, body).await {
        Ok(body) => body,
        Err(error) => return error.into_response(),
    };
    // Guards repeats: under the id of an open request a second copy would reach a backend.
    let Some(open_id) = listener.open_ids.claim(head.id.clone()) else {
        return RequestError::AlreadyOpen.into_response();
    };
    if let Some(connection) = &connection {
        connection.entry.set_stage(Stage::InFlight);
    }
    let client_gone = CancellationToken::new();
    let forward = forwarded_request(parts, &head, open_id, body, client_gone.clone());
    let (reply, reply_receiver) = oneshot::channel();
    let accepted = listener.accept(arrived_at, &head, forward, reply);
    let (id, deadline) = (accepted.request.id, accepted.deadline);
    if listener.module.try_send(Message::Accepted(accepted)).is_err() {
        COUNTERS.turned_away_full.increment();
        return rejection(0);
    }
    let handed_over = HandedOverRequest {
        id,
        client_gone,
        reply: reply_receiver,
        answer_by: deadline - LOST_REPLY_MARGIN.min(head.timeout),
    };
    let mut response = handed_over.await_answer(listener, connection.as_ref()).await;
    // Guards graceful shutdowns: a client's connection goes with the answer that it waited for.
    if *listener.phase.borrow() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// What passes on unchanged to a backend.
fn forwarded_request(
    parts: Parts,
    head: &RequestHead,
    id: OpenRequestId,
    body: Bytes,
    client_gone: CancellationToken,
) -> ForwardedRequest {
    let path = parts.uri.into_parts().path_and_query;
    ForwardedRequest {
        method: parts.method,
        path: path.expect("a path that was read is there"),
        id,
        key: head.idempotency_key.clone(),
        body,
        client_gone,
    }
}

impl Listener {
    /// The request as it is handed over to be decided.
    fn accept(
        &self,
        arrived_at: Instant,
        head: &RequestHead,
        forward: ForwardedRequest,
        reply: oneshot::Sender<Answer>,
    ) -> AcceptedRequest {
        // Guards what is accepted late in a shutdown: the program ends before its client gives up.
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
        let origin =
            Arrival { arrived_at, timeout: head.timeout, first: head.metering.first, retry: head.is_retry };
        AcceptedRequest { request, forward: Arc::new(forward), origin, deadline, reply }
    }
}

/// A request that is with the module, until its reply.
struct HandedOverRequest {
    id: RequestId,
    client_gone: CancellationToken,
    reply: oneshot::Receiver<Answer>,
    answer_by: Instant,
}

impl HandedOverRequest {
    /// The answer: the module's reply, or the one that stands in for a reply that was lost.
    async fn await_answer(self, listener: &Listener, connection: Option<&ClientConnection>) -> Response {
        let mut client_watch = ClientWatch::new(self.id, listener.module.clone(), self.client_gone);
        let reply = timeout_at(self.answer_by, self.reply);
        let reply = tokio::select! {
            biased;
            reply = reply => reply,
            // The connection ends then, and this with it.
            () = client_closed(connection) => pending().await,
        };
        match reply {
            Ok(Ok((reply, version))) => {
                client_watch.on_answered();
                reply_response(reply, version)
            }
            // Guards the one answer in time against a reply lost inside: nobody knows whether the request ran, so it
            // has failed. The module hears of it as of a client that went away.
            _ => {
                COUNTERS.last_resort.increment();
                StatusCode::GATEWAY_TIMEOUT.into_response()
            }
        }
    }
}

/// Waits for the client's end. Guards against sending on for nobody: the server library sees it only where nothing came
/// behind the request.
async fn client_closed(connection: Option<&ClientConnection>) {
    match connection {
        Some(connection) => connection.downstream.closed().await,
        None => pending().await,
    }
}

/// The module's reply as a response; `version` is that of the runtime configuration, where there are versions.
fn reply_response(reply: Reply, version: Option<u64>) -> Response {
    let mut response = match reply {
        Reply::Served(body) => Response::new(Body::from(body)),
        Reply::Rejected { retry_after } => rejection(retry_after),
        Reply::Failed => StatusCode::BAD_GATEWAY.into_response(),
    };
    if let Some(version) = version {
        response.headers_mut().insert(X_RULES, version.into());
    }
    response
}

/// A rejection, with the time after which to come again in seconds.
fn rejection(retry_after: Micros) -> Response {
    let mut response = StatusCode::TOO_MANY_REQUESTS.into_response();
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after.max(MIN_RETRY_AFTER) as f64 / 1e6);
        let value = HeaderValue::try_from(seconds).expect("a number is a header's value");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

#[cfg(test)]
mod tests;
