//! A discrete-event simulation of a limiter fleet: clients with retries, the network, backends, service discovery and
//! the quota counter. Each simulated limiter runs the real decision logic ([`sedgestack::Limiter`]).
//!
//! The simulation does no I/O and reads no clock. Runs are deterministic: the same scenario and seed give the same run
//! on any number of threads, which can be verified by [`RunOutcome::digest`]. Times are whole microseconds from the
//! beginning of a run.
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

pub use faults::{ConfigurationChange, Fault};
pub use sim::{
    attempt_noise, backend_speeds, run, run_observed, ObservedOutcome, ObservedRequest, RunCounts,
    RunOutcome, Scenario, Step, REPEAT_WORK,
};

#[cfg(test)]
mod tests_support;
