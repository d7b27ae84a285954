//! Typed access to HCL configuration, with the position of each error.
//!
//! A [`Document`] is a parsed file. A [`Section`] is one of its blocks or the whole file. Its methods look up a value
//! by key and check its type and range. Every [`ConfigError`] names the file, line, column and key.
//! [`Section::reject_unknown_keys`] rejects keys and blocks that the program has not read, so that a misspelled key is
//! not ignored.
//!
//! ```
//! let document = sedgestack_hcl::Document::parse("limits.hcl", "queue {\n size = 12\n timeout = \"80ms\"\n}\n")?;
//! let root = document.root();
//! let queue = root.block("queue")?;
//! assert_eq!(queue.integer("size", 1..=100)?, 12);
//! assert_eq!(queue.duration("timeout")?, 80_000);
//! queue.reject_unknown_keys()?;
//! root.reject_unknown_keys()?;
//! # Ok::<(), sedgestack_hcl::ConfigError>(())
//! ```
#![forbid(unsafe_code)]

mod document;
mod duration;
mod error;
mod section;

pub use document::Document;
pub use duration::{parse_duration, Micros};
pub use error::ConfigError;
pub use section::Section;

#[cfg(test)]
mod tests;
