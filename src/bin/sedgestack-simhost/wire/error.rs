//! Errors in the simulator's input.

use std::io;

use sedgestack::platform::{LoadReportError, SettingError};
use sedgestack::SettingsError;

/// Why a line can't be read or handled, or why a reply can't be written.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    #[error("cannot read: {0}")]
    Read(io::Error),
    #[error("cannot write: {0}")]
    Write(io::Error),
    #[error("the line has no message name")]
    NoMessageName,
    #[error("unknown message {0}")]
    UnknownMessage(String),
    #[error("expected name=value, found '{0}'")]
    NotAField(String),
    #[error("{message} lacks {key}")]
    MissingField { message: String, key: String },
    #[error("{key}={value} is not a whole number in range")]
    NotAnInteger { key: String, value: String },
    #[error("{key}={value} is out of range")]
    OutOfRange { key: String, value: u64 },
    #[error("{key}={value} is not a finite number")]
    NotFinite { key: String, value: String },
    #[error("{key} is not a valid time in milliseconds")]
    NotATime { key: String },
    #[error("{key}={value} is neither 0 nor 1")]
    NotAFlag { key: String, value: String },
    #[error("{key}={value} is unknown")]
    UnknownValue { key: &'static str, value: String },
    #[error("{key}={value} is not in the settings")]
    NotInSettings { key: &'static str, value: String },
    #[error("account is not 16 hex digits")]
    MalformedCustomer,
    #[error("settings: {0}")]
    MalformedSettings(serde_json::Error),
    #[error(transparent)]
    UnusableSetting(#[from] SettingError),
    #[error(transparent)]
    UnusableSettings(#[from] SettingsError),
    #[error("healthInfo: {0}")]
    LoadReport(LoadReportError),
    #[error("bytes: {0}")]
    MalformedBytes(base64::DecodeError),
    #[error("instance {0} never came up")]
    UnknownInstance(u64),
    #[error("ROSTER {0} was not sent")]
    UnknownEndpointList(u64),
    #[error("{missing} ROW line(s) of the ROSTER are missing")]
    MissingRows { missing: u64 },
    #[error("ROW outside a ROSTER")]
    RowOutsideList,
    #[error("TICK inside a batch")]
    NestedBatch,
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    #[error("input ends inside a batch")]
    UnfinishedBatch,
}
