//! Calls that cordon and uncordon a backend.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::Response;
use percent_encoding::percent_decode_str;
use tokio::sync::oneshot;

use super::respond::{error, has_body, ok, unexpected_body};
use super::Admin;
use crate::info;
use crate::net::control::cordons;
use crate::net::control::message::ControlCommand;
use crate::net::runtime::metrics::COUNTERS;

/// Cordons a backend.
pub(super) async fn cordon(State(admin): State<Arc<Admin>>, uri: Uri, headers: HeaderMap) -> Response {
    set_cordoned(&admin, &uri, &headers, true).await
}

/// Ends the cordon of a backend.
pub(super) async fn uncordon(State(admin): State<Arc<Admin>>, uri: Uri, headers: HeaderMap) -> Response {
    set_cordoned(&admin, &uri, &headers, false).await
}

/// Cordons or uncordons a backend. Responds once the control actor has applied the change and it has been stored.
async fn set_cordoned(admin: &Admin, uri: &Uri, headers: &HeaderMap, cordoned: bool) -> Response {
    if has_body(headers) {
        return unexpected_body();
    }
    let name = match backend_name(uri) {
        Ok(name) => name,
        Err(reason) => return error(StatusCode::BAD_REQUEST, reason),
    };
    let _guard = admin.cordon_lock.lock().await;
    let (reply, reply_receiver) = oneshot::channel();
    if admin.control.try_send(ControlCommand::Cordon { name: name.clone(), cordoned, reply }).is_err() {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the control actor is busy; call again");
    }
    let names = match reply_receiver.await {
        Ok(Some(names)) => names,
        Ok(None) => return error(StatusCode::NOT_FOUND, &format!("no backend {name} is known")),
        Err(_) => return error(StatusCode::SERVICE_UNAVAILABLE, "the control actor has stopped"),
    };
    store_cordon(admin, &name, cordoned);
    let list = serde_json::to_string(&names).expect("names are JSON");
    ok(format!("{{\"cordoned\":{list}}}\n"))
}

/// Returns the value of `name` in the query. It must occur exactly once and not be empty.
fn backend_name(uri: &Uri) -> Result<String, &'static str> {
    let mut names = uri.query().unwrap_or_default().split('&').filter_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == "name").then_some(value)
    });
    let (Some(name), None) = (names.next(), names.next()) else {
        return Err("expected exactly one backend in the query: ?name=ID");
    };
    let name = percent_decode_str(name).decode_utf8().map_err(|_| "the name is not UTF-8")?;
    if name.is_empty() {
        return Err("the name is empty");
    }
    Ok(name.into_owned())
}

/// Stores the change, if there is a file of cordons. A failed write does not fail the call: the cordon still holds in
/// this process, and the error is logged.
fn store_cordon(admin: &Admin, name: &str, cordoned: bool) {
    let Some(path) = &admin.cordon_file else { return };
    if let Err(e) = cordons::change(path, name, cordoned) {
        COUNTERS.cordons_unwritten.increment();
        info!("cordons: {}: {e}; the cordons last only until this process ends", path.display());
    }
}
