//! The HTTP requests sent to backends.

use std::net::SocketAddr;

use axum::http::uri::{Authority, PathAndQuery};
use axum::http::{header, HeaderName, HeaderValue, Method, Request, Uri};
use tokio::time::Instant;

use super::attempt::Attempt;
use super::attempt_body::AttemptBody;

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEFAULT_HTTP_PORT: u16 = 80;

/// Builds the request that `attempt` sends to the backend that `host` names: the client's request with the time left
/// until the attempt's deadline.
///
/// The time left is computed in this call, so call it only once the connection is open: dialling may take longer than
/// the tolerance that backends allow for this value.
pub(super) fn build_request(host: &HeaderValue, attempt: &Attempt) -> Request<AttemptBody> {
    let forward = &attempt.forward;
    let mut request = Request::new(AttemptBody::new(forward));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = Uri::from(forward.path.clone());
    let headers = request.headers_mut();
    headers.insert(X_REQUEST_ID, forward.id.value().clone());
    if let Some(key) = &forward.key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    let remaining_ms = attempt.told_deadline().saturating_duration_since(Instant::now()).as_millis() as u64;
    headers.insert(X_DEADLINE_MS, HeaderValue::from(remaining_ms));
    if forward.method != Method::GET {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(forward.body.length()));
    }
    headers.insert(header::HOST, host.clone());
    request
}

/// Builds a `GET` request for `path` at the backend that `host` names.
pub(super) fn build_get(host: &HeaderValue, path: PathAndQuery) -> Request<AttemptBody> {
    let mut request = Request::new(AttemptBody::empty());
    *request.uri_mut() = Uri::from(path);
    request.headers_mut().insert(header::HOST, host.clone());
    request
}

/// Returns the `Host` header of requests to `addr`.
pub(super) fn host_header(addr: SocketAddr) -> HeaderValue {
    let authority: Authority = addr.to_string().try_into().expect("a socket address is a valid authority");
    let host = if addr.port() == DEFAULT_HTTP_PORT { authority.host() } else { authority.as_str() };
    HeaderValue::from_str(host).expect("an authority is a valid header value")
}
