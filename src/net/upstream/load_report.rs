//! The load report in a backend's responses.

use axum::http::{HeaderMap, HeaderName};
use sedgestack::platform::NameIndex;
use sedgestack::LoadReport;

const X_LOAD: HeaderName = HeaderName::from_static("x-load");

/// Returns the load report that a response carries. A malformed report is treated as absent, so that it cannot make a
/// valid response fail.
pub(super) fn load_report(headers: &HeaderMap, names: &NameIndex) -> LoadReport {
    let text = headers.get(X_LOAD).and_then(|v| v.to_str().ok());
    text.and_then(|t| names.load_report(t, '=').ok()).unwrap_or_default()
}
