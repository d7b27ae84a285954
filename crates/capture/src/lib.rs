//! Captures: files of the requests that limiters received and how they were answered.
//!
//! A file consists of a header and blocks of records, each compressed and with a checksum. The byte format is described
//! in `docs/operate/capture.md`. [`Writer`] writes a file. [`read`] reads a file up to the first damage and returns
//! where the damage begins. [`merge`] merges the captures of several limiters by time.
#![forbid(unsafe_code)]

mod clocks;
mod error;
mod format;
mod hash;
mod merge;
mod reader;
mod warning;
mod writer;

pub use clocks::ClockOffset;
pub use error::{BlockError, Damage, HeaderError, MergeError, ReadError, TierDifference};
pub use format::FORMAT_VERSION;
pub use hash::KeyedHash;
pub use merge::{merge, Merged, Source};
pub use reader::{read, read_file};
pub use warning::Warning;
pub use writer::Writer;

use serde::{Deserialize, Serialize};

/// Microseconds since the Unix epoch, by the limiter's clock.
pub type Micros = u64;

/// Describes the limiter that wrote a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The limiter's configured name; in a merged capture, the names of all limiters, joined by `+`.
    pub limiter: String,
    /// The limiter's number, from 0.
    pub number: u32,
    /// Number of limiters in the tier.
    pub limiters: u32,
    /// When the limiter started, which distinguishes its incarnations.
    pub started: Micros,
    /// Identifies the hash key without disclosing it; see [`KeyedHash::id`].
    pub key_id: u64,
    /// Names of classes, indexed by [`Record::class`].
    pub classes: Vec<String>,
    /// Names of plans, indexed by [`Record::plan`].
    pub plans: Vec<String>,
    /// The captures that a merged capture consists of, indexed by [`Record::source`]; empty in the capture of a single
    /// limiter.
    pub merged_from: Vec<Source>,
}

/// How a limiter answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A backend's response was forwarded to the client.
    Served,
    /// The decision logic rejected the request; a retry is safe.
    #[serde(rename = "Refused")]
    Rejected,
    /// The request was rejected for lack of capacity, before any decision.
    #[serde(rename = "TurnedAway")]
    RejectedAtCapacity,
    /// The request failed, but a backend may have run it: a retry is safe only if the request is idempotent.
    Failed,
    /// The client disconnected before it was answered.
    Abandoned,
}

/// State of the quota counter when a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterState {
    /// There is no quota counter, or it has not been called yet.
    Unknown,
    /// The last call to the quota counter was answered.
    Answering,
    /// The last call to the quota counter was rejected or not answered.
    Silent,
}

/// One request, as a limiter observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the request arrived.
    pub at: Micros,
    /// Index in [`Header::classes`].
    pub class: u16,
    /// Index in [`Header::plans`].
    pub plan: u16,
    /// Keyed hash of the customer.
    pub customer: u64,
    /// Keyed hash of the idempotency key; 0 if the request had none.
    pub key: u64,
    /// Units of the customer's quota that the request uses.
    pub units: f32,
    /// Number of limiters through which the customer's requests arrive.
    pub spread: u16,
    /// Number of the first of these limiters; the others have the numbers that follow.
    pub first: u16,
    /// How long the client stated that it would wait, in milliseconds.
    pub patience_ms: u32,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// How the limiter finally answered the request.
    pub outcome: Outcome,
    /// Time from the arrival to the final answer, in microseconds.
    pub latency: u32,
    /// Index in [`Capture::destinations`] of the backend that served the request, or that received its last attempt.
    /// `None` if the request was never sent to a backend, or if the capture names too many backends for another index.
    pub destination: Option<u16>,
    /// Number of times that the request was sent to a backend; 255 stands for that many or more.
    pub attempts: u8,
    /// State of the quota counter when the request was answered.
    pub counter: CounterState,
    /// Index in [`Header::merged_from`] of the capture that the record came from; 0 in the capture of a single limiter.
    pub source: u16,
    /// The version of the runtime configuration under which the request was handled; `None` if there was none. Versions
    /// are encoded after the block, so that files without versions keep their earlier format.
    #[serde(skip)]
    pub rules: Option<u64>,
}

/// A capture in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The limiter that wrote the file, with the names that records refer to by index.
    pub header: Header,
    /// Records in the order in which they were written, which is the order of the answers.
    pub records: Vec<Record>,
    /// Names of backends, indexed by [`Record::destination`].
    pub destinations: Vec<String>,
    /// Number of records that the limiter lost.
    pub dropped: u64,
    /// Where the file ends early, or from where on it can't be read; `None` for an intact file.
    pub damage: Option<Damage>,
}

impl Capture {
    /// Whether the capture was merged from the captures of several limiters.
    fn is_merged(&self) -> bool {
        !self.header.merged_from.is_empty()
    }
}
