//! The runtime configuration: versioned documents of what may change in service, in HCL.
//!
//! A [`Document`] holds plans, classes, limits and addresses. It is complete: it states everything that may change,
//! not only what does. [`Document::check`] checks it against the version before it, and [`differences`] describes
//! in words what changes. Limiters agree on a document's text, identified by its digest.
#![forbid(unsafe_code)]

mod check;
mod decode;
mod differences;
mod text;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

pub use differences::{changed_plans, differences, Difference};
pub use sedgestack_consensus::Digest;
pub use sedgestack_hcl::{ConfigError, Micros};

/// A number that changes by more than this factor must be listed among the overrides.
pub const MAX_UNCONFIRMED_FACTOR: f64 = 2.0;

/// Where a version comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Provenance {
    /// The version that it replaces.
    pub parent: u64,
    /// Who proposes the version.
    pub author: String,
    /// Why it is proposed, in words for the people who look it up later.
    pub reason: String,
    /// Whether it goes through canary analysis, with automatic rollback.
    pub has_canary_analysis: bool,
    /// Whether it is only replaced where an operator forces it.
    pub pinned: bool,
}

/// What a plan allows each of its customers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Units a second.
    pub rate: f64,
    /// Units at once: the capacity of the customer's token bucket.
    pub burst: f64,
    /// Factor on the worth of an answered unit, relative to other plans.
    pub price: f64,
}

/// Time limits of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Time in microseconds within which an answer counts in full.
    pub latency_objective: Micros,
    /// Time in microseconds after which a request is no longer worth an answer.
    pub deadline: Micros,
}

/// One version of the runtime configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Who proposed the version and why, and which version it replaces.
    pub provenance: Provenance,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Longest Retry-After of a rejection, in microseconds; 0 where none is passed on.
    pub max_retry_after: Micros,
    /// The quota counter's address; `None` keeps the configured one.
    pub counter: Option<SocketAddr>,
    /// The address of discovery; `None` keeps the configured one.
    pub discovery: Option<SocketAddr>,
    /// Keys whose change is intended, however large.
    pub overrides: Vec<String>,
    /// The source text, byte for byte: limiters agree on it.
    pub text: String,
}

impl Document {
    /// Reads and decodes a file.
    ///
    /// # Errors
    /// Names the file, line, column and key, and what was expected there.
    pub fn read(path: &Path) -> Result<Document, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::Unreadable { file: file.as_str().into(), why: e.to_string() })?;
        Document::parse(&file, &text)
    }

    /// Decodes a text; errors name `file`.
    ///
    /// # Errors
    /// As [`Document::read`].
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        decode::decode_document(&sedgestack_hcl::Document::parse(file, text)?, text)
    }

    /// The digest of the text, which identifies the document among limiters.
    pub fn digest(&self) -> Digest {
        Digest::of(self.text.as_bytes())
    }

    /// Checks a version against the one before it. Returns every error, placed in `file`.
    ///
    /// A plan or class can't be removed, as customers may be on it; a number that changes by more than
    /// [`MAX_UNCONFIRMED_FACTOR`] must be listed among the overrides; an override of a key that doesn't change is an
    /// error, and so is a version that changes nothing.
    pub fn check(&self, file: &str, before: &Document) -> Vec<ConfigError> {
        check::check_against(self, file, before)
    }

    /// The text of the first version, with the values that a limiter was configured with. The same values give the
    /// same text at every limiter.
    pub fn text_from_configuration(
        plans: &BTreeMap<String, Plan>,
        classes: &BTreeMap<String, Class>,
        max_retry_after: Micros,
    ) -> String {
        text::first_version(plans, classes, max_retry_after)
    }

    /// The text of a next version with the same values and no canary analysis, by which an operator keeps the active
    /// version.
    pub fn text_of_held_version(&self, parent: u64, pinned: bool) -> String {
        text::held_version(self, parent, pinned)
    }

    /// Whether another document has the same values.
    pub fn has_same_values(&self, other: &Document) -> bool {
        differences(self, other).is_empty() && differences(other, self).is_empty()
    }
}
