//! Sending an attempt's request and reading the backend's answer.

use axum::http::{header, response, HeaderMap, HeaderName, Request, StatusCode};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sedgestack::Outcome;

use super::connection::Connection;
use super::load_report::load_report;
use super::pool::Pool;
use super::{UpstreamShared, MAX_BODY_BYTES};
use crate::net::control::message::AttemptOutcome;

pub(super) const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const X_METER: HeaderName = HeaderName::from_static("x-meter");
const X_SETTLED: HeaderName = HeaderName::from_static("x-settled");

/// Sends `request` and reads the answer to its last byte into `ended`. A connection that can carry a further request
/// goes back to `pool`.
pub(super) async fn exchange(
    pool: &Pool,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    shared: &UpstreamShared,
    ended: &mut AttemptOutcome,
) -> Outcome {
    let response = connection.send(request).await;
    let progress = connection.progress();
    // Written whole: the last byte was taken before the answer's head was read, or the exchange broke.
    if progress.is_written_whole() {
        shared.figures.record_attempt_written();
    }
    let Ok(response) = response else {
        return progress.outcome_of_break();
    };
    let (head, body) = response.into_parts();
    if has_two_framings(&head.headers) {
        return Outcome::Reset;
    }
    record_headers(&head.headers, shared, ended);
    let outcome = read_body(&head, body, ended).await;
    if outcome != Outcome::Reset {
        connection.progress().record_answered();
        pool.release(connection);
    }
    outcome
}

/// Guards answers: which of two framings was meant nobody can tell, nor where the next answer begins.
fn has_two_framings(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING)
}

/// Takes over what the answer's headers say of the backend's load and of the units used.
fn record_headers(headers: &HeaderMap, shared: &UpstreamShared, ended: &mut AttemptOutcome) {
    ended.report = load_report(headers, &shared.names);
    let number = |name| headers.get(name)?.to_str().ok()?.parse::<f64>().ok();
    ended.metered_usage = number(X_METER).filter(|n| *n >= 1.0 && n.is_finite()).map(|n| (n - 1.0) / 100.0);
    ended.actual_units = number(X_SETTLED).filter(|n| *n > 0.0 && n.is_finite());
}

async fn read_body(head: &response::Parts, body: Incoming, ended: &mut AttemptOutcome) -> Outcome {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) if head.status == StatusCode::OK => {
            ended.body = Some(body.to_bytes());
            Outcome::Ok
        }
        Ok(_) if is_rejection(head.status, &head.headers) => Outcome::Rejected,
        Ok(_) => Outcome::Error,
        Err(_) => Outcome::Reset,
    }
}

/// Whether an answer proves that the request never ran. Guards repeats: 503 or 504 alone proves nothing.
pub(super) fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_reject = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    may_reject && headers.get(X_NOT_RUN).is_some_and(|v| v == "1")
}

#[cfg(test)]
mod tests;
