//! Which responses count as rejections.

use super::*;
use axum::http::HeaderValue;

#[test]
fn only_a_503_or_504_with_x_not_run_is_a_rejection() {
    let mut headers = HeaderMap::new();
    assert!(!is_rejection(StatusCode::SERVICE_UNAVAILABLE, &headers));
    headers.insert(X_NOT_RUN, HeaderValue::from_static("1"));
    assert!(is_rejection(StatusCode::SERVICE_UNAVAILABLE, &headers));
    assert!(is_rejection(StatusCode::GATEWAY_TIMEOUT, &headers));
    assert!(!is_rejection(StatusCode::INTERNAL_SERVER_ERROR, &headers));
}
