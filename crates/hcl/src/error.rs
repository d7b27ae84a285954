//! Errors of configuration files.

use std::sync::Arc;

/// An error in a configuration file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A syntax error, a value of the wrong type or out of range, a missing key or an unknown key.
    #[error("{file}:{line}:{column}: {key}: {expected}")]
    At {
        /// Path of the file, or the name that the caller gave to the parsed text.
        file: Arc<str>,
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error in characters, counted from 1.
        column: usize,
        /// Keys and labels from the root to the wrong value, or `syntax` if the text is not valid HCL.
        key: String,
        /// What was expected and, where useful, what was found instead.
        expected: String,
    },
    /// The file can't be read.
    #[error("{file}: {why}")]
    Unreadable {
        /// Path of the file.
        file: Arc<str>,
        /// Error message of the operating system.
        why: String,
    },
}
