//! Sends an attempt's request and reads the backend's response: a short one whole, the start of a long one.

use axum::http::{header, response, HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use bytes::Bytes;
use sedgestack::Outcome;

use super::attempt::Attempt;
use super::attempt_body::AttemptBody;
use super::connection::Connection;
use super::load_report::load_report;
use super::pool::Pool;
use super::response_body::{BodyReader, LongBody, ReadBody};
use super::response_stream::ResponseStream;
use super::UpstreamShared;
use crate::net::control::message::AttemptOutcome;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::streamed_body::StreamedBody;

pub(super) const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const X_METER: HeaderName = HeaderName::from_static("x-meter");
const X_SETTLED: HeaderName = HeaderName::from_static("x-settled");

/// Sends `request` and reads the complete response into `attempt_outcome`, or the start of a long one, whose rest is
/// then read in the background. `host` names the backend. A connection that can be reused is returned to `pool`.
pub(super) async fn exchange(
    pool: &Pool,
    mut connection: Connection,
    request: Request<AttemptBody>,
    host: &HeaderValue,
    attempt: &Attempt,
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
    let reader = BodyReader::new(head.status, body, &shared.memory.responses, connection.progress());
    let margin = attempt.pass_on_margin(shared.pass_on_margin);
    match reader.read(attempt.wait_until_deadline_is_near(margin), margin).await {
        ReadBody::Whole(body) => {
            connection.progress().record_response_complete();
            pool.release(connection);
            outcome_of_whole_response(&head, body, attempt_outcome)
        }
        ReadBody::Long(start) => {
            attempt_outcome.stream = Some(pass_on(start, connection, pool, attempt, host));
            Outcome::Ok
        }
        ReadBody::Broken => Outcome::Reset,
    }
}

/// Starts to pass a long body on while it arrives.
fn pass_on(
    start: LongBody,
    connection: Connection,
    pool: &Pool,
    attempt: &Attempt,
    host: &HeaderValue,
) -> StreamedBody {
    COUNTERS.responses_streamed.increment();
    let read = connection.progress().answer().body_bytes;
    let (parts, stream) = StreamedBody::new(start.first, start.length, start.memory);
    let stream = stream.with_backend(host.clone());
    let rest = ResponseStream {
        connection,
        pool: pool.clone(),
        body: start.body,
        read,
        last_part_at: start.last_part_at,
        is_announced: start.length.is_some(),
        forward: attempt.forward.clone(),
        backend: host.clone(),
        deadline: attempt.deadline,
        parts,
    };
    tokio::spawn(rest.run());
    stream
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

/// Whether a response proves that the request never ran, so that it may be repeated. A status of 503 or 504 alone does
/// not prove that.
pub(super) fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_reject = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    may_reject && headers.get(X_NOT_RUN).is_some_and(|v| v == "1")
}

#[cfg(test)]
mod tests;
