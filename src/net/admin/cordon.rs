//! Calls that cordon a backend, and that let it back.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::Response;
use percent_encoding::percent_decode_str;
use tokio::sync::oneshot;

use super::respond::{error, has_body, ok, unexpected_body};
use super::Admin;
use crate::net::control::cordons;
use crate::net::control::message::Control;
use crate::net::runtime::metrics::COUNTERS;
use crate::say;

/// Takes a backend out.
pub(super) async fn cordon(State(admin): State<Arc<Admin>>, uri: Uri, headers: HeaderMap) -> Response {
    set_cordoned(&admin, &uri, &headers, true).await
}

/// Lets a backend back.
pub(super) async fn uncordon(State(admin): State<Arc<Admin>>, uri: Uri, headers: HeaderMap) -> Response {
    set_cordoned(&admin, &uri, &headers, false).await
}

/// Answers once no new request goes to the backend, or may go again, and the set of cordoned backends is stored.
async fn set_cordoned(admin: &Admin, uri: &Uri, headers: &HeaderMap, cordoned: bool) -> Response {
    if has_body(headers) {
        return unexpected_body();
    }
    let name = match backend_name(uri) {
        Ok(name) => name,
        Err(reason) => return error(StatusCode::BAD_REQUEST, reason),
    };
    let _guard = admin.cordon_lock.lock().await;
    let (reply, answer) = oneshot::channel();
    if admin.control.try_send(Control::Cordon { name: name.clone(), cordoned, reply }).is_err() {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the module is busy; call again");
    }
    let names = match answer.await {
        Ok(Some(names)) => names,
        Ok(None) => return error(StatusCode::NOT_FOUND, &format!("no server {name} is known")),
        Err(_) => return error(StatusCode::SERVICE_UNAVAILABLE, "the module has stopped"),
    };
    store_cordon(admin, &name, cordoned);
    let list = serde_json::to_string(&names).expect("names are JSON");
    ok(format!("{{\"cordoned\":{list}}}\n"))
}

/// The one `name` of a query: it must stand there once and not be empty.
fn backend_name(uri: &Uri) -> Result<String, &'static str> {
    let mut names = uri.query().unwrap_or_default().split('&').filter_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == "name").then_some(value)
    });
    let (Some(name), None) = (names.next(), names.next()) else {
        return Err("the query names no server, or more than one: ?name=ID");
    };
    let name = percent_decode_str(name).decode_utf8().map_err(|_| "the name is not UTF-8")?;
    if name.is_empty() {
        return Err("the name is empty");
    }
    Ok(name.into_owned())
}

/// Stores the change, where the set is stored. Guards the answer: a set that can't be written still holds in this
/// process, and the log says why.
fn store_cordon(admin: &Admin, name: &str, cordoned: bool) {
    let Some(path) = &admin.cordon_file else { return };
    if let Err(e) = cordons::change(path, name, cordoned) {
        COUNTERS.cordons_unwritten.increment();
        say!("cordons: {}: {e}; the set holds until this process ends", path.display());
    }
}
