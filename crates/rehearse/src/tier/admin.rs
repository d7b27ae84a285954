//! Calls to a limiter's admin endpoint, including those that change the runtime configuration.

use serde_json::Value;

use super::http_client::exchange;
use super::Tier;

/// A response of the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body as text. It is JSON if a change was staged or begun.
    pub body: String,
}

/// The reason why a change of the runtime configuration did not begin.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The limiter's admin endpoint did not respond.
    #[error("the admin endpoint did not respond")]
    NoResponse,
    /// The limiter responded with a status other than 200.
    #[error("the admin endpoint responded with status {status}: {body}")]
    Rejected {
        /// The HTTP status code.
        status: u16,
        /// The response's body, which states the reason.
        body: String,
    },
    /// The status was 200, but the body is not valid JSON; holds the parser's error.
    #[error("the admin endpoint's response is not valid JSON: {0}")]
    Unreadable(String),
}

impl Tier {
    /// Sends a request to a limiter's admin endpoint. `call` is the path below `/admin/`. Returns `None` if the limiter
    /// does not respond.
    pub fn call(&self, limiter: u32, method: &str, call: &str, body: &str) -> Option<AdminResponse> {
        let head =
            format!("{method} /admin/{call} HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n", body.len());
        let response = exchange(self.process(limiter).admin, &(head + body))?;
        Some(AdminResponse { status: response.status, body: response.body })
    }

    /// Tells every limiter that the tier is new, so that it does not wait for decisions of an earlier tier. Waits until
    /// all limiters know the active version.
    pub fn adopt(&self) {
        for limiter in self.limiter_numbers() {
            self.call(limiter, "PUT", "rules/adopt", "");
        }
        self.expect_eventually("all limiters are current", || {
            self.all_limiters(|status| status["standing"] == "current")
        });
    }

    /// Stages a document at a limiter and begins the change to it. Returns the change's version. `scope` is appended to
    /// the query string of the call that begins the change.
    ///
    /// # Errors
    /// If a call is rejected or gets no valid response.
    pub fn begin_change(&self, limiter: u32, document: &str, scope: &str) -> Result<u64, ChangeError> {
        let staged = self.put_json(limiter, "rules/stage", document)?;
        let digest = staged["digest"].as_str().unwrap_or_default();
        let begun = self.put_json(limiter, &format!("rules/commit?digest={digest}{scope}"), "")?;
        Ok(begun["version"].as_u64().unwrap_or(0))
    }

    fn put_json(&self, limiter: u32, call: &str, body: &str) -> Result<Value, ChangeError> {
        let response = self.call(limiter, "PUT", call, body).ok_or(ChangeError::NoResponse)?;
        if response.status != 200 {
            return Err(ChangeError::Rejected { status: response.status, body: response.body });
        }
        serde_json::from_str(&response.body).map_err(|error| ChangeError::Unreadable(error.to_string()))
    }
}
