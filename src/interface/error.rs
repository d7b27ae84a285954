//! Errors in settings and versions.

use std::error::Error;
use std::fmt;

/// Reason why settings or a version were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings define no request class, so no request could be accepted.
    NoClasses,
    /// The settings define no plan, so no customer could have a quota.
    NoPlans,
    /// A number is negative or not finite; the text names it.
    InvalidNumber(&'static str),
    /// A version contains a class or plan that is not in the initial settings, or changes the priority weight
    /// of a class.
    Incompatible(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => f.write_str("settings define no request class"),
            SettingsError::NoPlans => f.write_str("settings define no plan"),
            SettingsError::Incompatible(name) => {
                write!(f, "a version cannot add {name} or change its priority weight")
            }
            SettingsError::InvalidNumber(what) => write!(f, "settings: {what} is negative or not finite"),
        }
    }
}

impl Error for SettingsError {}
