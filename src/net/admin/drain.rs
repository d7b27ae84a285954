//! Calls that report the limiter's health, drain it, and end a drain.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;

use super::respond::{error, has_body, ok, unexpected_body};
use super::Admin;
use crate::net::runtime::shutdown::Phase;

/// Succeeds while the process accepts clients: from its start until the listener closes.
pub(super) async fn health(State(admin): State<Arc<Admin>>) -> Response {
    match *admin.phase.borrow() {
        Phase::Closing => error(StatusCode::SERVICE_UNAVAILABLE, "no longer accepting clients"),
        phase => ok(format!("{{\"taking\":true,\"draining\":{}}}\n", phase != Phase::Serving)),
    }
}

/// Drains the limiter: `/ready` answers 503, and each client's connection closes after its next response.
pub(super) async fn quiesce(State(admin): State<Arc<Admin>>, headers: HeaderMap) -> Response {
    if has_body(&headers) {
        return unexpected_body();
    }
    change_phase(&admin, Phase::Serving, Phase::Quiesced);
    ok("{\"draining\":true}\n".into())
}

/// Ends a drain: `/ready` answers 200 again. A shutdown in progress is not affected.
pub(super) async fn resume(State(admin): State<Arc<Admin>>, headers: HeaderMap) -> Response {
    if has_body(&headers) {
        return unexpected_body();
    }
    let resumed = change_phase(&admin, Phase::Quiesced, Phase::Serving);
    if resumed || *admin.phase.borrow() == Phase::Serving {
        ok("{\"draining\":false}\n".into())
    } else {
        error(StatusCode::CONFLICT, "the limiter is stopping")
    }
}

/// Changes the phase to `to` if it is `from`. Returns whether it was.
fn change_phase(admin: &Admin, from: Phase, to: Phase) -> bool {
    admin.phase.send_if_modified(|phase| {
        let is_from = *phase == from;
        if is_from {
            *phase = to;
        }
        is_from
    })
}
