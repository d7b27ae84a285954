//! Captures: files in which limiters record the requests that they received, and how they answered them.
//!
//! A file consists of a header and compressed blocks of records, all with checksums; `docs/operate/capture.md`
//! specifies the format. [`Writer`] writes a file, [`read`] reads it up to the first damage and reports where that is,
//! and [`merge`] merges the captures of several limiters in order of time.
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

/// The header of a file: the limiter that wrote it, and the names that its records refer to by index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Configured name of the limiter; in a merged capture the names of all limiters, joined by `+`.
    pub limiter: String,
    /// Number of the limiter, from 0; 0 in a merged capture.
    pub number: u32,
    /// Total number of limiters of the tier.
    pub limiters: u32,
    /// Time at which the limiter started, which identifies its incarnation.
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
    /// Rejected by a decision of the limiter. No backend ran the request, so a retry is safe.
    #[serde(rename = "Refused")]
    Rejected,
    /// Rejected before any decision, because the limiter was at capacity.
    #[serde(rename = "TurnedAway")]
    RejectedAtCapacity,
    /// Failed, but a backend may have run the request: a retry is safe only if the request is idempotent.
    Failed,
    /// The client disconnected before it was answered.
    Abandoned,
}

/// State of the quota counter when a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterState {
    /// There is no quota counter, or it has not been called yet.
    Unknown,
    /// The counter answered the last call.
    Answering,
    /// The counter rejected the last call, or did not answer it.
    Silent,
}

/// A request as a limiter observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of arrival.
    pub at: Micros,
    /// Index of the class in [`Header::classes`].
    pub class: u16,
    /// Index of the plan in [`Header::plans`].
    pub plan: u16,
    /// Keyed hash of the customer.
    pub customer: u64,
    /// Keyed hash of the idempotency key; 0 if the request had none.
    pub key: u64,
    /// Units of the customer's quota that the request uses.
    pub units: f32,
    /// Number of limiters that the customer's requests arrive through.
    pub spread: u16,
    /// Number of the first of these limiters; the others have the numbers after it.
    pub first: u16,
    /// Time that the client declared it would wait for an answer, in milliseconds.
    pub patience_ms: u32,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// How the limiter finally answered the request.
    pub outcome: Outcome,
    /// Time from the arrival to the final answer, in microseconds.
    pub latency: u32,
    /// Index in [`Capture::destinations`] of the backend that served the request or received its last attempt; `None`
    /// if no attempt was sent.
    pub destination: Option<u16>,
    /// Number of attempts sent to backends, at most 255; 0 if none was sent.
    pub attempts: u8,
    /// State of the quota counter when the request was answered.
    pub counter: CounterState,
    /// Index in [`Header::merged_from`] of the capture that the record is from; 0 in the capture of a single limiter.
    pub source: u16,
    /// Version of the runtime configuration under which the request was handled; `None` if the limiters use no
    /// versions. Versions are encoded after the block, so that files without versions keep their original format.
    #[serde(skip)]
    pub rules: Option<u64>,
}

/// A capture that was read from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The limiter that wrote the file, and the names that records refer to by index.
    pub header: Header,
    /// Records in the order in which they were written, which is the order of the answers.
    pub records: Vec<Record>,
    /// Names of backends, indexed by [`Record::destination`].
    pub destinations: Vec<String>,
    /// Number of records that the limiter dropped.
    pub dropped: u64,
    /// Where and why reading stopped before the end mark; `None` if the file is intact.
    pub damage: Option<Damage>,
}

impl Capture {
    /// Whether the capture is the result of a merge.
    fn is_merged(&self) -> bool {
        !self.header.merged_from.is_empty()
    }
}
