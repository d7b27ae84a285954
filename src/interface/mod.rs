//! The types that a program exchanges with a [`Limiter`](crate::Limiter): settings and events in, actions
//! out.
//!
//! This module contains types only; all decisions are made in `src/decision`.

mod action;
mod error;
mod event;
mod settings;

use std::sync::Arc;

pub use action::Action;
pub use error::SettingsError;
pub use event::{AttemptResult, BackendState, Endpoint, Event, LoadReport, Outcome, Request};
pub use settings::{Class, Discovery, Idempotency, KeyScope, Plan, Settings, SlowStart, VersionIndices};

/// A point in time or a duration, in whole microseconds of the caller's clock. The clock never goes backward
/// and is about the same at all limiters.
pub type Micros = u64;
/// A request received from a client. Each client retry has its own id.
pub type RequestId = u64;
/// A customer, whose quota applies to all limiters together.
pub type CustomerId = u64;
/// A name on the shared quota counter.
pub type CounterName = u64;
/// The name of a backend in service discovery.
pub type BackendId = Arc<str>;
