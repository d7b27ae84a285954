//! Decision logic of a rate limiter that holds each customer of shared backends to its plan.
//!
//! This crate does no I/O. A [`Limiter`] is given events ([`Event`]) with their times and returns actions
//! ([`Action`]); the program that embeds it provides sockets, clocks and threads. The same events always
//! lead to the same actions. Decisions need no consensus among limiters: each limiter enforces the rules on
//! its own, and the only component that they share is the quota counter, if the platform has one. [`platform`]
//! reads settings in the platform's configuration format.
//!
//! ```
//! use sedgestack::*;
//!
//! let settings = Settings {
//!     limiter: 0,
//!     limiters: 1,
//!     zone: "a".into(),
//!     tick: 1_000,
//!     classes: vec![Class {
//!         name: "lookup".into(),
//!         priority_weight: 1.0,
//!         latency_objective: 250_000,
//!         late_weight_share: 0.0,
//!         idempotency: Idempotency::Idempotent,
//!     }],
//!     plans: vec![Plan {
//!         name: "basic".into(),
//!         rate: 5.0,
//!         burst: 10.0,
//!         concurrency_limit: 0,
//!         ceiling_rate: 0.0,
//!         ceiling_burst: 0.0,
//!         over_quota_cost: 0.5,
//!         price: 1.0,
//!     }],
//!     discovery: Discovery::Push,
//!     slow_start: SlowStart {
//!         initial_share: 0.2,
//!         duration: 10_000_000,
//!         overload_multiple: 2.0,
//!         overload_window: 1_000_000,
//!     },
//!     drain_grace: 250_000,
//!     max_attempts: 3,
//!     hedged_requests: false,
//!     cancel: true,
//!     health_checks: false,
//!     peer_messages: false,
//!     max_retry_after: 2_000_000,
//!     counter_timeout: None,
//!     meter_period: 0,
//!     actual_cost_reported: false,
//!     max_units: 1.0,
//! };
//! let mut limiter = Limiter::new(settings, 7)?;
//! let endpoint = Endpoint {
//!     backend: "10.0.0.1:80".into(),
//!     state: BackendState::InService,
//!     zone: "a".into(),
//!     cell: 0,
//!     started_at: 0,
//!     weight: 1.0,
//! };
//! let request = Request {
//!     id: 1, class: 0, plan: 0, customer: 42, units: 1.0, timeout: 800_000, spread: 1,
//! };
//! let actions = limiter.handle(
//!     1_000_000,
//!     &[
//!         Event::EndpointsChanged { version: 1, complete: true, endpoints: vec![endpoint].into() },
//!         Event::Request(request),
//!     ],
//! );
//! assert!(matches!(actions[0], Action::StartAttempt { request: 1, .. }));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

mod decision;
mod interface;
pub mod platform;

pub use decision::{BackendCounts, Limiter, ANSWER_TICKS};
pub use interface::*;
