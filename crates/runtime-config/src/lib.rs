//! The runtime configuration: versioned HCL documents with the values that may change while limiters are running.
//!
//! A [`Document`] contains plans, classes, limits and addresses. It is always complete, not a list of changes.
//! [`Document::check`] checks a document against the previous version, and [`differences`] describes in words what
//! changes between two versions. Limiters agree on the text of a document, which its digest identifies.
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

/// Largest factor by which a number may change between two versions without being listed in the overrides.
pub const MAX_UNCONFIRMED_FACTOR: f64 = 2.0;

/// Origin of a version, and how it is rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct Provenance {
    /// Version that this one replaces.
    pub parent: u64,
    /// Author of the version.
    pub author: String,
    /// Why the version is proposed, for people who read the history later.
    pub reason: String,
    /// Whether the version goes through canary analysis, with automatic rollback.
    pub has_canary_analysis: bool,
    /// Whether only a forced change can replace the version.
    pub pinned: bool,
}

/// Quota of each customer of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Rate of the customer's token bucket, in units per second.
    pub rate: f64,
    /// Capacity of the customer's token bucket, in units.
    pub burst: f64,
    /// Factor on the value of each unit served, relative to other plans.
    pub price: f64,
}

/// Time limits of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Time in microseconds within which an answer has its full value.
    pub latency_objective: Micros,
    /// Time in microseconds after which an answer has no value.
    pub deadline: Micros,
}

/// One version of the runtime configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Origin of the version, and how it is rolled out.
    pub provenance: Provenance,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Longest Retry-After of a rejection, in microseconds; 0 if rejections carry no Retry-After.
    pub max_retry_after: Micros,
    /// Address of the quota counter; `None` keeps the address that the limiter was configured with.
    pub counter: Option<SocketAddr>,
    /// Address of discovery; `None` keeps the address that the limiter was configured with.
    pub discovery: Option<SocketAddr>,
    /// Keys whose numbers may change by more than [`MAX_UNCONFIRMED_FACTOR`].
    pub overrides: Vec<String>,
    /// Source text, byte for byte, as limiters agree on it.
    pub text: String,
}

impl Document {
    /// Reads and decodes a file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, is not valid HCL, or has a missing, unknown or invalid value.
    pub fn read(path: &Path) -> Result<Document, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::Unreadable { file: file.as_str().into(), why: e.to_string() })?;
        Document::parse(&file, &text)
    }

    /// Decodes `text`. `file` is the name that error messages show for it.
    ///
    /// # Errors
    /// Returns an error if the text is not valid HCL, or has a missing, unknown or invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        decode::decode_document(&sedgestack_hcl::Document::parse(file, text)?, text)
    }

    /// Returns the digest of the text, by which limiters identify the document.
    pub fn digest(&self) -> Digest {
        Digest::of(self.text.as_bytes())
    }

    /// Checks the document against `before`, the previous version. Returns all errors, with positions in `file`.
    ///
    /// - A plan or class can't be removed, as customers may be using it.
    /// - A number that changes by more than [`MAX_UNCONFIRMED_FACTOR`] must be listed in the overrides.
    /// - A key in the overrides must change.
    /// - A version must change a value, or whether it is pinned.
    pub fn check(&self, file: &str, before: &Document) -> Vec<ConfigError> {
        check::check_against(self, file, before)
    }

    /// Returns the text of the first version, with the values that a limiter was configured with. Equal values give the
    /// same text at every limiter.
    pub fn text_from_configuration(
        plans: &BTreeMap<String, Plan>,
        classes: &BTreeMap<String, Class>,
        max_retry_after: Micros,
    ) -> String {
        text::first_version(plans, classes, max_retry_after)
    }

    /// Returns the text of a next version with the same values and without canary analysis. With it an operator keeps
    /// the active values, pins them or unpins them.
    pub fn text_of_held_version(&self, parent: u64, pinned: bool) -> String {
        text::held_version(self, parent, pinned)
    }

    /// Whether `other` has the same plans, classes, limits and addresses.
    pub fn has_same_values(&self, other: &Document) -> bool {
        differences(self, other).is_empty() && differences(other, self).is_empty()
    }
}
