//! Calls that read and change the runtime configuration, if limiters agree on versions of it.

use std::collections::BTreeSet;
use std::sync::Arc;

use axum::body::Body;
use axum::extract::State;
use axum::http::{StatusCode, Uri};
use axum::response::Response;
use http_body_util::{BodyExt, Limited};
use sedgestack_consensus::MAX_DOCUMENT_BYTES;
use tokio::sync::oneshot;

use super::respond::{error, ok};
use super::Admin;
use crate::net::consensus::OperatorCall;

/// Passes a call to the consensus actor, if there is one, and converts the result to a response.
async fn call_consensus(admin: &Admin, call: OperatorCall) -> Response {
    let Some(consensus) = &admin.consensus else {
        return error(StatusCode::NOT_FOUND, "no tier: the settings have no tier block");
    };
    let (reply, reply_receiver) = oneshot::channel();
    if consensus.try_send((call, reply)).is_err() {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the tier is busy; call again");
    }
    match reply_receiver.await {
        Ok(Ok(value)) => ok(format!("{value}\n")),
        Ok(Err(failure)) => {
            error(StatusCode::from_u16(failure.status).unwrap_or(StatusCode::CONFLICT), &failure.message)
        }
        Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "the tier has stopped"),
    }
}

/// Returns the versions and their state.
pub(super) async fn status(State(admin): State<Arc<Admin>>) -> Response {
    call_consensus(&admin, OperatorCall::Status).await
}

/// Checks the document in the body and stages it for a commit.
pub(super) async fn stage(State(admin): State<Arc<Admin>>, body: Body) -> Response {
    let Ok(body) = Limited::new(body, MAX_DOCUMENT_BYTES).collect().await else {
        return error(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("expected a whole document of at most {MAX_DOCUMENT_BYTES} bytes"),
        );
    };
    match String::from_utf8(body.to_bytes().into()) {
        Ok(text) => call_consensus(&admin, OperatorCall::Stage { text }).await,
        Err(_) => error(StatusCode::BAD_REQUEST, "the document is not UTF-8"),
    }
}

/// Proposes the change to a staged document.
pub(super) async fn commit(State(admin): State<Arc<Admin>>, uri: Uri) -> Response {
    match parse_commit(uri.query().unwrap_or_default()) {
        Ok(call) => call_consensus(&admin, call).await,
        Err(reason) => error(StatusCode::BAD_REQUEST, &reason),
    }
}

/// Parses the query of a commit: `digest=HEX`; `scope=all` if every limiter must answer, with `except=N` for each
/// that need not; `force=yes` if the active version is pinned.
fn parse_commit(query: &str) -> Result<OperatorCall, String> {
    let (mut digest, mut require_all, mut except, mut force) = (None, false, BTreeSet::new(), false);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let is_valid = match pair.split_once('=') {
            Some(("digest", hex)) if !hex.is_empty() => digest.replace(hex.to_string()).is_none(),
            Some(("scope", "all")) => !std::mem::replace(&mut require_all, true),
            Some(("scope", "majority")) => true,
            Some(("force", "yes")) => !std::mem::replace(&mut force, true),
            Some(("except", number)) => number.parse().is_ok_and(|number| except.insert(number)),
            _ => false,
        };
        if !is_valid {
            return Err(format!("{pair}: expected digest=, scope=majority|all, except=N, force=yes"));
        }
    }
    let digest = digest.ok_or("expected digest=HEX")?;
    Ok(OperatorCall::Commit { digest, require_all, except, force })
}

/// Returns whether the query is `option`. An empty query is false; any other is an error.
fn parse_option(uri: &Uri, option: &str) -> Result<bool, String> {
    match uri.query().unwrap_or_default() {
        "" => Ok(false),
        query if query == option => Ok(true),
        other => Err(format!("{other}: expected {option}, or nothing")),
    }
}

/// Proposes the change back to the previous version; `force=yes` if the active version is pinned.
pub(super) async fn undo(State(admin): State<Arc<Admin>>, uri: Uri) -> Response {
    match parse_option(&uri, "force=yes") {
        Ok(force) => call_consensus(&admin, OperatorCall::Undo { force }).await,
        Err(reason) => error(StatusCode::BAD_REQUEST, &reason),
    }
}

/// Proposes a version with the same values and without canary analysis.
pub(super) async fn hold(State(admin): State<Arc<Admin>>) -> Response {
    call_consensus(&admin, OperatorCall::Hold { pinned: false }).await
}

/// Proposes a version with the same values that only a forced change may replace; `off=yes` proposes to end that.
pub(super) async fn pin(State(admin): State<Arc<Admin>>, uri: Uri) -> Response {
    match parse_option(&uri, "off=yes") {
        Ok(true) => call_consensus(&admin, OperatorCall::Unpin).await,
        Ok(false) => call_consensus(&admin, OperatorCall::Hold { pinned: true }).await,
        Err(reason) => error(StatusCode::BAD_REQUEST, &reason),
    }
}

/// Continues from the remaining state after a majority of the limiters has lost its own.
pub(super) async fn adopt(State(admin): State<Arc<Admin>>) -> Response {
    call_consensus(&admin, OperatorCall::Adopt).await
}
