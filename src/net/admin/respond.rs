//! Responses of the operators' address, and checks that its calls share.

use axum::http::{header, HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};

use crate::net::runtime::metrics::COUNTERS;

/// Returns a 200 response with a JSON body.
pub(super) fn ok(json: String) -> Response {
    COUNTERS.ops_calls.increment();
    (StatusCode::OK, [(header::CONTENT_TYPE, "application/json")], json).into_response()
}

/// Returns an error response that says why the call failed.
pub(super) fn error(status: StatusCode, reason: &str) -> Response {
    COUNTERS.ops_refused.increment();
    (status, format!("{reason}\n")).into_response()
}

/// Returns the response to a call that has a body but takes none.
pub(super) fn unexpected_body() -> Response {
    error(StatusCode::BAD_REQUEST, "this call takes no body")
}

/// Whether a call has a body. Calls that take none are rejected with one, because the caller expects the body to have
/// an effect.
pub(super) fn has_body(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_LENGTH).is_some_and(|length| length != "0")
        || headers.contains_key(header::TRANSFER_ENCODING)
}
