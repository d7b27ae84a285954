//! A change of the runtime configuration becomes active at every limiter or at none. The tests run tiers of real
//! processes and inject faults.
//!
//! The tests wait for expected states, check recorded answers, and trigger faults by events, so that the result does
//! not depend on the speed of the machine.

mod canary;
mod crashes;
mod harness;
mod network;
mod operators;
mod upgrades;
