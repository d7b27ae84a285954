//! The input of a run, and the steps that its observer receives.

use sedgestack_fleet::{Fleet, Micros};

use crate::demand::Demand;
use crate::faults::{ConfigurationChange, Fault};

/// The input of a run.
#[derive(Clone, Debug)]
pub struct Scenario<'a> {
    /// The fleet.
    pub fleet: &'a Fleet,
    /// Every first try of the run.
    pub demand: &'a Demand,
    /// The faults of the run.
    pub faults: Vec<Fault>,
    /// Changes of the runtime configuration, in order of time.
    pub changes: Vec<ConfigurationChange>,
    /// Whether to record the tries that limiters receive, in
    /// [`RunOutcome::observed`](crate::RunOutcome::observed).
    pub record: bool,
}

impl<'a> Scenario<'a> {
    /// Creates a scenario without faults and configuration changes.
    pub fn new(fleet: &'a Fleet, demand: &'a Demand) -> Scenario<'a> {
        Scenario { fleet, demand, faults: Vec::new(), changes: Vec::new(), record: false }
    }
}

/// One call of a limiter's decision logic.
#[derive(Clone, Copy, Debug)]
pub struct Step<'a> {
    /// The limiter's number.
    pub limiter: u32,
    /// The time of the call.
    pub now: Micros,
    /// The events that the limiter handled.
    pub events: &'a [sedgestack::Event],
    /// The actions that it decided on.
    pub actions: &'a [sedgestack::Action],
}
