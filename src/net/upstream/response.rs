//! Sends an attempt's request and reads the backend's response: a short one whole, the start of a long one.

use std::sync::Arc;

use axum::http::{header, response, HeaderMap, HeaderName, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use sedgestack::Outcome;

use super::attempt_body::AttemptBody;
use super::connection::Connection;
use super::load_report::load_report;
use super::pool::Pool;
use super::response_stream::ResponseStream;
use super::UpstreamShared;
use crate::net::control::message::AttemptOutcome;
use crate::net::runtime::memory_budget::{BytePool, Reservation, GUARANTEED_BODY_BYTES};
use crate::net::runtime::metrics::COUNTERS;
use crate::net::streamed_body::{StreamedBody, MAX_BODY_BYTES, MAX_WHOLE_BODY_BYTES, STREAM_MEMORY_BYTES};

pub(super) const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const X_METER: HeaderName = HeaderName::from_static("x-meter");
const X_SETTLED: HeaderName = HeaderName::from_static("x-settled");

/// Sends `request` and reads the complete response into `attempt_outcome`, or the start of a long one, whose rest is
/// then read in the background. A connection that can be reused is returned to `pool`.
pub(super) async fn exchange(
    pool: &Pool,
    mut connection: Connection,
    request: Request<AttemptBody>,
    shared: &UpstreamShared,
    attempt_outcome: &mut AttemptOutcome,
) -> Outcome {
    let response = connection.send(request).await;
    let progress = connection.progress();
    // Counts the attempt if its request was fully written by the time the response head was read or the exchange broke.
    if progress.is_fully_written() {
        shared.stats.record_attempt_written();
    }
    let Ok(response) = response else {
        return progress.outcome_of_broken_exchange();
    };
    let (head, body) = response.into_parts();
    if has_conflicting_framing(&head.headers) {
        return Outcome::Reset;
    }
    record_headers(&head.headers, shared, attempt_outcome);
    match read_body(head.status, body, &shared.memory.responses).await {
        ReadBody::Whole(body) => {
            connection.progress().record_response_complete();
            pool.release(connection);
            outcome_of_whole_response(&head, body, attempt_outcome)
        }
        ReadBody::Long(start) => {
            let (parts, stream) = StreamedBody::new(start.first, start.length, start.memory);
            attempt_outcome.stream = Some(stream);
            COUNTERS.responses_streamed.increment();
            let pool = pool.clone();
            let rest = ResponseStream { connection, pool, body: start.body, read: start.read, parts };
            tokio::spawn(rest.run());
            Outcome::Ok
        }
        ReadBody::Broken => Outcome::Reset,
    }
}

fn outcome_of_whole_response(
    head: &response::Parts,
    body: Bytes,
    attempt_outcome: &mut AttemptOutcome,
) -> Outcome {
    if head.status == StatusCode::OK {
        attempt_outcome.body = Some(body);
        Outcome::Ok
    } else if is_rejection(head.status, &head.headers) {
        Outcome::Rejected
    } else {
        Outcome::Error
    }
}

/// Whether the response has both a content length and a transfer encoding. Its end, and so the start of the next
/// response on the connection, is then ambiguous.
fn has_conflicting_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING)
}

/// Records the backend's load and the units used, as the response headers report them.
fn record_headers(headers: &HeaderMap, shared: &UpstreamShared, attempt_outcome: &mut AttemptOutcome) {
    attempt_outcome.report = load_report(headers, &shared.names);
    let number = |name| headers.get(name)?.to_str().ok()?.parse::<f64>().ok();
    // `X-Meter` is 1 plus the usage in percent of the quota.
    attempt_outcome.metered_usage =
        number(X_METER).filter(|n| *n >= 1.0 && n.is_finite()).map(|n| (n - 1.0) / 100.0);
    attempt_outcome.actual_units = number(X_SETTLED).filter(|n| *n > 0.0 && n.is_finite());
}

/// What was read of a response's body.
enum ReadBody {
    Whole(Bytes),
    /// The start of a body that is too long to be read whole.
    Long(LongBody),
    /// The body broke off, or is too long.
    Broken,
}

/// The start of a long body, and its rest.
struct LongBody {
    first: Bytes,
    body: Incoming,
    length: Option<u64>,
    read: u64,
    memory: Reservation,
}

impl LongBody {
    /// Continues a body with `length` bytes, if that is known, after `first`.
    async fn new(first: Bytes, body: Incoming, length: Option<u64>, memory: &Arc<BytePool>) -> LongBody {
        let read = first.len() as u64;
        LongBody { first, body, length, read, memory: memory.reserve(STREAM_MEMORY_BYTES).await }
    }
}

/// Reads a body, and reserves the bytes of one that is not small. Of a response with status 200 that is longer than
/// [`MAX_WHOLE_BODY_BYTES`] only the start is read: nothing but its first part if its length is announced.
async fn read_body(status: StatusCode, mut body: Incoming, memory: &Arc<BytePool>) -> ReadBody {
    let length = body.size_hint().exact();
    let may_stream = status == StatusCode::OK && length.is_none_or(|length| length <= MAX_BODY_BYTES);
    if length.is_some_and(|length| length > MAX_WHOLE_BODY_BYTES as u64) {
        return match body.frame().await.map(|frame| frame.map(Frame::into_data)) {
            Some(Ok(Ok(first))) if may_stream => {
                ReadBody::Long(LongBody::new(first, body, length, memory).await)
            }
            _ => ReadBody::Broken,
        };
    }
    let mut collected = BytesMut::new();
    let mut reservation = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return ReadBody::Broken };
        let Ok(data) = frame.into_data() else { continue };
        if collected.len() + data.len() > MAX_WHOLE_BODY_BYTES {
            if !may_stream {
                return ReadBody::Broken;
            }
            collected.extend_from_slice(&data);
            drop(reservation);
            return ReadBody::Long(LongBody::new(collected.freeze(), body, None, memory).await);
        }
        if reservation.is_none() && collected.len() + data.len() > GUARANTEED_BODY_BYTES {
            let most = length.map_or(MAX_WHOLE_BODY_BYTES, |length| length as usize);
            reservation = Some(memory.reserve(most).await);
            collected.reserve(most);
        }
        collected.extend_from_slice(&data);
    }
    let collected = collected.freeze();
    ReadBody::Whole(match reservation {
        Some(reservation) => reservation.attach(collected),
        None => collected,
    })
}

/// Whether a response proves that the request never ran, so that it may be repeated. A status of 503 or 504 alone does
/// not prove that.
pub(super) fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_reject = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    may_reject && headers.get(X_NOT_RUN).is_some_and(|v| v == "1")
}

#[cfg(test)]
mod tests;
