//! Errors of requests that are answered without the control actor.

use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use thiserror::Error;

use crate::net::runtime::metrics::COUNTERS;

/// Reason why a request is not passed to the control actor.
#[derive(Debug, PartialEq, Error)]
pub(super) enum RequestError {
    #[error("no such path")]
    UnknownPath,
    /// The request does not meet this expectation.
    #[error("{0}")]
    Malformed(&'static str),
    #[error("a request with this X-Request-Id is already open")]
    AlreadyOpen,
    #[error("the body is too large")]
    TooLarge,
    #[error("no memory is left for the body; try again")]
    OutOfMemory,
}

impl IntoResponse for RequestError {
    fn into_response(self) -> Response {
        let (counter, status) = match self {
            RequestError::UnknownPath => (&COUNTERS.unknown_path, StatusCode::NOT_FOUND),
            RequestError::Malformed(_) => (&COUNTERS.malformed, StatusCode::BAD_REQUEST),
            RequestError::AlreadyOpen => (&COUNTERS.already_open, StatusCode::CONFLICT),
            RequestError::TooLarge => (&COUNTERS.too_large, StatusCode::PAYLOAD_TOO_LARGE),
            RequestError::OutOfMemory => (&COUNTERS.turned_away_full, StatusCode::SERVICE_UNAVAILABLE),
        };
        counter.increment();
        // Closing the connection keeps the rest of this request from being read as the next one.
        (status, [(header::CONNECTION, "close")], format!("{self}\n")).into_response()
    }
}
