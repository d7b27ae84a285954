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

/// Why a command could not do its work: bad input, or something it needs that is missing or does not answer.
#[derive(Debug, thiserror::Error)]
pub enum KitError {
    /// A fleet file, a timeline of faults or a runtime configuration has an error.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A file is no capture.
    #[error(transparent)]
    Capture(#[from] ReadError),
    /// Captures can't be merged, as they are not of one tier.
    #[error("{0}")]
    Merge(String),
    /// A capture does not fit the fleet file, or holds too little.
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
        /// What the system says.
        source: io::Error,
    },
    /// The current folder, from which relative paths count, can't be had.
    #[error(transparent)]
    CurrentFolder(io::Error),
    /// The given parts of a quota can't be meant for a plan.
    #[error("plan {plan}: {source}")]
    Terms {
        /// The plan's name.
        plan: String,
        /// What is wrong with the figures.
        source: LeaseTermsError,
    },
    /// An answer can't be written as JSON.
    #[error("the answer as JSON: {0}")]
    Json(serde_json::Error),
    /// No scenario has this name.
    #[error("no scenario '{0}'; there are {names}", names = scenario_names())]
    UnknownScenario(String),
    /// The daemon is not where it is looked for.
    #[error("no daemon: build it by `cargo build --release`, or name it by --daemon")]
    NoDaemon,
    /// Timelines of a campaign could not be played to their end.
    #[error("{count} timelines could not be played\n{list}", count = .0.len(), list = lines(.0))]
    TimelinesNotPlayed(Vec<SeedError>),
    /// A running tier did not answer, or rejected a call.
    #[error(transparent)]
    Tier(#[from] TierError),
}

impl KitError {
    /// Makes an I/O error into one that names its file.
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
    /// What failed.
    pub source: Failure,
}

/// Why a running tier could not be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum TierError {
    /// The call failed on its way.
    #[error("{address}: {source}")]
    Transport {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// What failed; boxed, as it is far larger than the other variants.
        source: Box<ureq::Error>,
    },
    /// The limiter answered with another status than 200.
    #[error("{address}: {status} {message}")]
    Status {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        message: String,
    },
    /// The limiter's answer is not JSON.
    #[error("{address}: not JSON: {source}")]
    NotJson {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// Where the answer stops being JSON.
        source: serde_json::Error,
    },
    /// No limiter answered: the error of each.
    #[error("{}", lines(.0))]
    NoneAnswered(Vec<TierError>),
    /// Not every limiter waits to be adopted.
    #[error("adopt is for tiers in which every limiter waits; nothing was done\n{}", lines(.0))]
    NotAdoptable(Vec<AdoptObstacle>),
}

/// Why a limiter stands in the way of an adoption.
#[derive(Debug, thiserror::Error)]
pub enum AdoptObstacle {
    /// It does not answer.
    #[error(transparent)]
    Unreachable(TierError),
    /// It still has its votes.
    #[error("{address}: knows its votes, version {version}")]
    KnowsVotes {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// Its active version, as it answered.
        version: Value,
    },
    /// The tier has another number of limiters than were named.
    #[error("{address}: the tier has {members} limiters, {named} are named")]
    OtherCount {
        /// The limiter's address for operators.
        address: SocketAddr,
        /// The tier's limiters, as it answered.
        members: Value,
        /// The limiters that were named.
        named: usize,
    },
}

/// A limiter's number that can't be read from the command line.
#[derive(Debug, thiserror::Error)]
#[error("{0}: expected a limiter's number, as 7 or n7")]
pub struct LimiterNumberError(pub String);

fn scenario_names() -> String {
    let names: Vec<&str> = scenarios::ALL.iter().map(|(name, _)| *name).collect();
    names.join(", ")
}

fn lines(items: &[impl Display]) -> String {
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
