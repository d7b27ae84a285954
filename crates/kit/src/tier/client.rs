//! HTTP calls to a limiter's address for operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::error::TierError;

/// The path of the state of the runtime configuration, under `/admin`.
pub const RULES: &str = "rules";
/// Maximum duration of a call. Limiters respond within 0.8 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const OK: u16 = 200;

/// Sends a GET request for `/admin/{path}` to a limiter and parses the response.
pub fn get(address: SocketAddr, path: &str) -> Result<Value, TierError> {
    decode(address, agent().get(url(address, path)).call())
}

/// Sends a PUT request for `/admin/{path}` to a limiter and parses the response.
pub fn put(address: SocketAddr, path: &str, body: &str) -> Result<Value, TierError> {
    decode(address, agent().put(url(address, path)).send(body))
}

fn agent() -> Agent {
    Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).http_status_as_error(false).build().into()
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}/admin/{path}")
}

/// Parses the JSON body of a response with status 200; any other response is an error.
fn decode(address: SocketAddr, answer: Result<Response<Body>, ureq::Error>) -> Result<Value, TierError> {
    let transport = |source| TierError::Transport { address, source: Box::new(source) };
    let mut answer = answer.map_err(transport)?;
    let text = answer.body_mut().read_to_string().map_err(transport)?;
    let status = answer.status().as_u16();
    if status != OK {
        return Err(TierError::Status { address, status, message: text.trim_end().to_string() });
    }
    serde_json::from_str(&text).map_err(|source| TierError::NotJson { address, source })
}
