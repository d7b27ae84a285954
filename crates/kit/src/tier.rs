//! Subcommands of `sedgestack-kit config` that call the limiters of a running tier at their addresses for operators.

mod adopt;
mod change;
mod client;
mod status;

use std::net::SocketAddr;

use clap::Args;
use serde_json::Value;

use crate::error::TierError;

pub use adopt::adopt;
pub use change::{begin, commit, stage, Commit};
pub use status::{history, status};

/// The limiters of a tier to call.
#[derive(Args)]
pub struct TierAddresses {
    /// Operators' addresses of limiters, such as 10.0.0.4:9901; changes go to the first that responds
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required = true)]
    at: Vec<SocketAddr>,
}

/// A limiter's response to a request for the state of its runtime configuration.
struct LimiterAnswer {
    address: SocketAddr,
    result: Result<Value, TierError>,
}

impl TierAddresses {
    /// Requests the state from all limiters, one after another.
    fn ask_all(&self) -> Vec<LimiterAnswer> {
        let ask = |address: &SocketAddr| LimiterAnswer {
            address: *address,
            result: client::get(*address, client::RULES),
        };
        self.at.iter().map(ask).collect()
    }

    /// Returns the address of the first limiter that responds.
    fn first_answering(&self) -> Result<SocketAddr, TierError> {
        let answers = self.ask_all();
        let found = answers.iter().find(|answer| answer.result.is_ok()).map(|answer| answer.address);
        found.ok_or_else(|| {
            TierError::NoneAnswered(answers.into_iter().filter_map(|answer| answer.result.err()).collect())
        })
    }
}

/// Formats a JSON value for people: strings without quotes.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}
