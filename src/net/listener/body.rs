//! Reads the body of a request.

use axum::body::Body;
use axum::http::{header, HeaderMap};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::request_error::RequestError;
use crate::net::upstream::MAX_BODY_BYTES;

/// Returns the whole body if it is no larger than the platform allows. A body with a larger Content-Length is not
/// read.
pub(super) async fn read_body(headers: &HeaderMap, body: Body) -> Result<Bytes, RequestError> {
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if announced.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err(RequestError::TooLarge);
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(RequestError::TooLarge),
        Err(_) => Err(RequestError::Malformed("the body ended early")),
    }
}
