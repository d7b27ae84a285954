//! The operators' address: health, statistics, cordons, drains and the runtime configuration.
//!
//! It has its own accept loop with capacity for [`MAX_CONNECTIONS`], separate from the clients' traffic. Calls reach
//! the control actor through a mailbox that no client request uses. Each connection carries one call and has
//! [`CALL_TIMEOUT`] from its accept to its response. If the caller sends nothing, or an incomplete call, the connection
//! is then closed and its capacity is freed.

mod cordon;
mod drain;
mod respond;
mod rules;
pub mod stats;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::Response;
use axum::routing::{get, put};
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Mutex, Semaphore};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::info;
use crate::net::admin::stats::AdminStats;
use crate::net::consensus::OperatorRequest;
use crate::net::control::message::ControlCommand;
use crate::net::runtime::memory_budget::MemoryBudget;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::shutdown::Phase;
use crate::net::runtime::socket_errors;

/// Maximum number of connections served at a time. Further ones wait in the listener's queue.
pub const MAX_CONNECTIONS: usize = 16;
/// Time from the accept of a connection to the last byte of the response.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of the head of a call, with all its header lines.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Backoff after a failed accept: file descriptors become free within this time, but not at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// State shared by all calls to the operators' address.
pub struct Admin {
    pub stats: Arc<AdminStats>,
    pub memory: MemoryBudget,
    pub phase: watch::Sender<Phase>,
    pub control: mpsc::Sender<ControlCommand>,
    /// The file that stores the cordoned backends, if any.
    pub cordon_file: Option<PathBuf>,
    /// Locked while the cordons are changed; see [`cordons::watch_file`](crate::net::control::cordons::watch_file).
    pub cordon_lock: Arc<Mutex<()>>,
    /// The mailbox of the consensus actor, if limiters agree on versions of the runtime configuration.
    pub consensus: Option<mpsc::Sender<OperatorRequest>>,
}

/// The operators' address can't be bound. The message begins with the configuration key, `ops`.
#[derive(Debug, thiserror::Error)]
#[error("ops: {address}: {source}")]
pub struct BindError {
    pub address: SocketAddr,
    pub source: io::Error,
}

/// Binds the operators' address.
///
/// # Errors
/// Returns an error if the address can't be bound. The daemon then does not start.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, BindError> {
    let bind_error = |source| BindError { address, source };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    info!("ops: listening on {bound}");
    Ok(listener)
}

/// Serves the operators' address until the runtime ends.
pub async fn serve(listener: TcpListener, admin: Admin) {
    let routes = routes(admin);
    let capacity = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = capacity.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let deadline = Instant::now() + CALL_TIMEOUT;
                let routes = routes.clone();
                tokio::spawn(async move {
                    serve_connection(stream, routes, deadline).await;
                    drop(permit);
                });
            }
            Err(e) => {
                COUNTERS.downstream_accept_failed.increment();
                info!("ops: accept: {e}");
                sleep_until(Instant::now() + ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, routes: Router, deadline: Instant) {
    socket_errors::disable_nagle(&stream, "ops");
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(routes));
    if timeout_at(deadline, connection).await.is_err() {
        COUNTERS.ops_unfinished.increment();
    }
}

fn routes(admin: Admin) -> Router {
    Router::new()
        .route("/admin/health", get(drain::health))
        .route("/admin/stats", get(stats))
        .route("/admin/cordon", put(cordon::cordon))
        .route("/admin/uncordon", put(cordon::uncordon))
        .route("/admin/quiesce", put(drain::quiesce))
        .route("/admin/resume", put(drain::resume))
        .route("/admin/rules", get(rules::status))
        .route("/admin/rules/stage", put(rules::stage))
        .route("/admin/rules/commit", put(rules::commit))
        .route("/admin/rules/undo", put(rules::undo))
        .route("/admin/rules/hold", put(rules::hold))
        .route("/admin/rules/pin", put(rules::pin))
        .route("/admin/rules/adopt", put(rules::adopt))
        .fallback(|| async { respond::error(StatusCode::NOT_FOUND, "no such call") })
        .with_state(Arc::new(admin))
}

async fn stats(State(admin): State<Arc<Admin>>) -> Response {
    let mut stats = admin.stats.json();
    stats["memory"] = admin.memory.json();
    respond::ok(format!("{stats}\n"))
}

#[cfg(test)]
mod tests;
