//! A discrete-event model of a limiter fleet and its surroundings: clients with retries, the network, backends, service
//! discovery and the quota counter. Each limiter runs the real decision logic ([`sedgestack::Limiter`]).
//!
//! The model does no I/O and reads no clock. The same scenario and seed give exactly the same run, on any number of
//! threads; [`RunOutcome::digest`] identifies the run. Times are whole microseconds from the beginning of a run.
//!
//! ```
//! # let text = include_str!("../../../deploy/fleet-sample.hcl");
//! let mut fleet = sedgestack_fleet::Fleet::parse("fleet-sample.hcl", text)?;
//! fleet.load.length = 2_000_000;
//! let demand = sedgestack_model::demand::draw(&fleet, 7);
//! let outcome = sedgestack_model::run(&sedgestack_model::Scenario::new(&fleet, &demand), 7);
//! assert!(outcome.score.overall.share() > 0.5);
//! # Ok::<(), sedgestack_fleet::ConfigError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod counter;
pub mod demand;
pub mod faults;
pub mod gauges;
pub mod score;
mod sim;
pub mod streams;

pub use faults::{Fault, RulesChange};
pub use sim::{
    attempt_noise, backend_speeds, run, run_observed, Conservation, ObservedOutcome, ObservedRequest,
    RunOutcome, Scenario, Step, REPEAT_WORK,
};

#[cfg(test)]
mod tests_support;
