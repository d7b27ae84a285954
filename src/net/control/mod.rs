//! The control actor, which owns the decision logic, and the messages that it exchanges with the other actors.

pub mod actor;
mod capture_records;
pub mod cordons;
mod endpoint_table;
pub mod message;
mod removed_backends;
mod request_table;
mod timers;
pub mod versions;
