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

/// The result of a health check.
pub(super) struct HealthCheckResult {
    pub(super) outcome: Outcome,
    pub(super) report: LoadReport,
}

impl HealthCheckResult {
    fn without_response(outcome: Outcome) -> HealthCheckResult {
        HealthCheckResult { outcome, report: LoadReport::default() }
    }
}

/// Checks the health of the backend that `host` names. The check times out at `deadline`.
pub(super) async fn check_health(
    pool: &Pool,
    host: &HeaderValue,
    names: &NameIndex,
    deadline: Instant,
) -> HealthCheckResult {
    let ended = timeout_at(deadline, request_health(pool, host, names)).await;
    ended.unwrap_or_else(|_| HealthCheckResult::without_response(Outcome::TimedOut))
}

async fn request_health(pool: &Pool, host: &HeaderValue, names: &NameIndex) -> HealthCheckResult {
    let Ok(mut connection) = pool.acquire().await else {
        return HealthCheckResult::without_response(Outcome::ConnectFailed);
    };
    let Ok(response) = connection.send(build_get(host, HEALTH_PATH)).await else {
        return HealthCheckResult::without_response(Outcome::ConnectFailed);
    };
    let outcome = if response.status() == StatusCode::OK { Outcome::Ok } else { Outcome::Error };
    let report = load_report(response.headers(), names);
    // The body is not needed. Dropping the response makes the HTTP library skip the body or close the connection.
    drop(response);
    pool.release(connection);
    HealthCheckResult { outcome, report }
}
