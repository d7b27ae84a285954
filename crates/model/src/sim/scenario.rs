//! What a run is made of, and what observers of a run see.

use sedgestack_fleet::{Fleet, Micros};

use crate::demand::Demand;
use crate::faults::{ConfigurationChange, Fault};

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Scenario<'a> {
    /// The fleet.
    pub fleet: &'a Fleet,
    /// Every first try of the run.
    pub demand: &'a Demand,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Changes of the runtime configuration, in order of time.
    pub changes: Vec<ConfigurationChange>,
    /// Whether what limiters received and answered is recorded
    /// ([`RunOutcome::observed`](crate::RunOutcome::observed)).
    pub record: bool,
}

impl<'a> Scenario<'a> {
    /// A run without faults.
    pub fn new(fleet: &'a Fleet, demand: &'a Demand) -> Scenario<'a> {
        Scenario { fleet, demand, faults: Vec::new(), changes: Vec::new(), record: false }
    }
}

/// One call of a limiter's decisions.
#[derive(Clone, Copy, Debug)]
pub struct Step<'a> {
    /// The limiter's number.
    pub limiter: u32,
    /// The moment of the call.
    pub now: Micros,
    /// What the limiter was notified of.
    pub events: &'a [sedgestack::Event],
    /// What it was to do.
    pub actions: &'a [sedgestack::Action],
}
