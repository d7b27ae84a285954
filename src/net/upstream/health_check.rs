//! Health checks of a backend.

use axum::http::uri::PathAndQuery;
use axum::http::{HeaderValue, StatusCode};
use sedgestack::platform::NameIndex;
use sedgestack::{LoadReport, Outcome};
use tokio::time::{timeout_at, Instant};

use super::load_report::load_report;
use super::pool::Pool;
use super::request::build_get;

const HEALTH_PATH: PathAndQuery = PathAndQuery::from_static("/health");

/// What a health check found.
pub(super) struct HealthCheckResult {
    pub(super) outcome: Outcome,
    pub(super) report: LoadReport,
}

impl HealthCheckResult {
    fn without_answer(outcome: Outcome) -> HealthCheckResult {
        HealthCheckResult { outcome, report: LoadReport::default() }
    }
}

/// Asks the backend that `host` names for its health, until `deadline`.
pub(super) async fn check_health(
    pool: &Pool,
    host: &HeaderValue,
    names: &NameIndex,
    deadline: Instant,
) -> HealthCheckResult {
    let ended = timeout_at(deadline, ask_health(pool, host, names)).await;
    ended.unwrap_or_else(|_| HealthCheckResult::without_answer(Outcome::TimedOut))
}

async fn ask_health(pool: &Pool, host: &HeaderValue, names: &NameIndex) -> HealthCheckResult {
    let Ok(mut connection) = pool.acquire().await else {
        return HealthCheckResult::without_answer(Outcome::ConnectFailed);
    };
    let Ok(response) = connection.send(build_get(host, HEALTH_PATH)).await else {
        return HealthCheckResult::without_answer(Outcome::ConnectFailed);
    };
    let outcome = if response.status() == StatusCode::OK { Outcome::Ok } else { Outcome::Error };
    let report = load_report(response.headers(), names);
    // The body says nothing more; the client library skips it, or closes the connection.
    drop(response);
    pool.release(connection);
    HealthCheckResult { outcome, report }
}
