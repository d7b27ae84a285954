//! Errors that end a command with exit status 2.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

use sedgestack_capture::ReadError;
use sedgestack_fleet::ConfigError;
use sedgestack_plan::CaptureError;
use sedgestack_quota_lease::LeaseTermsError;
use sedgestack_rehearse::{scenarios, Failure};

/// Why a command failed: its input is invalid, or something that it needs is missing or does not respond.
#[derive(Debug, thiserror::Error)]
pub enum KitError {
    /// A fleet file, a timeline of faults or a runtime configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A file can't be read as a capture.
    #[error(transparent)]
    Capture(#[from] ReadError),
    /// Captures can't be merged because they are not from the same tier.
    #[error("{0}")]
    Merge(String),
    /// A capture does not match the fleet file, or holds too few records.
    #[error(transparent)]
    CapturedLoad(#[from] CaptureError),
    /// A rehearsal could not be held.
    #[error(transparent)]
    Rehearsal(#[from] Failure),
    /// A file or folder can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The current folder, which relative paths start from, can't be determined.
    #[error(transparent)]
    CurrentFolder(io::Error),
    /// The lease terms given on the command line are invalid for a plan.
    #[error("plan {plan}: {source}")]
    Terms {
        /// The plan's name.
        plan: String,
        /// Which of the terms is invalid.
        source: LeaseTermsError,
    },
    /// A result can't be serialized as JSON.
    #[error("cannot write the result as JSON: {0}")]
    Json(serde_json::Error),
    /// No scenario has this name.
    #[error("no scenario '{0}'; the scenarios are {names}", names = scenario_names())]
    UnknownScenario(String),
    /// There is no daemon in any of the expected places.
    #[error("daemon not found: build it with `cargo build --release`, or give its path with --daemon")]
    NoDaemon,
    /// Timelines of a campaign could not be played to the end.
    #[error("{count} timelines could not be played\n{list}", count = .0.len(), list = lines(.0))]
    TimelinesNotPlayed(Vec<SeedError>),
    /// A running tier did not respond, or rejected a call.
    #[error(transparent)]
    Tier(#[from] TierError),
}

impl KitError {
    /// Returns a function that adds the file's path to an I/O error.
    pub fn file(path: &Path) -> impl Fn(io::Error) -> KitError + '_ {
        move |source| KitError::File { path: path.to_path_buf(), source }
    }
}

/// Why the timeline of one seed could not be played.
#[derive(Debug, thiserror::Error)]
#[error("seed {seed}: {source}")]
pub struct SeedError {
    /// The seed of the timeline.
    pub seed: u64,
    /// Why it could not be played.
    pub source: Failure,
}

/// Why a running tier could not be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum TierError {
    /// The connection, the request or the response failed.
    #[error("{address}: {source}")]
    Transport {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The HTTP client's error, boxed because it is far larger than the other variants.
        source: Box<ureq::Error>,
    },
    /// The limiter responded with a status other than 200.
    #[error("{address}: {status} {message}")]
    Status {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        message: String,
    },
    /// The limiter's response is not JSON.
    #[error("{address}: the response is not JSON: {source}")]
    NotJson {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// No limiter responded; holds the error of each.
    #[error("{}", lines(.0))]
    NoneAnswered(Vec<TierError>),
    /// Not every limiter waits for adoption.
    #[error("adopt requires that every limiter waits for adoption; nothing was changed\n{}", lines(.0))]
    NotAdoptable(Vec<AdoptObstacle>),
}

/// Why a limiter prevents an adoption.
#[derive(Debug, thiserror::Error)]
pub enum AdoptObstacle {
    /// The limiter does not respond.
    #[error(transparent)]
    Unreachable(TierError),
    /// The limiter still has its votes.
    #[error("{address}: still has its votes, version {version}")]
    HasVotes {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The limiter's active version, from its response.
        version: Value,
    },
    /// The number of addresses given differs from the number of limiters in the tier.
    #[error("{address}: the tier has {members} limiters, but {named} were named")]
    WrongCount {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The number of limiters in the tier, from the response.
        members: Value,
        /// The number of limiters named on the command line.
        named: usize,
    },
}

/// An argument that is not a limiter's number.
#[derive(Debug, thiserror::Error)]
#[error("{0}: expected a limiter's number, such as 7 or n7")]
pub struct LimiterNumberError(pub String);

fn scenario_names() -> String {
    let names: Vec<&str> = scenarios::ALL.iter().map(|(name, _)| *name).collect();
    names.join(", ")
}

fn lines(items: &[impl Display]) -> String {
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
