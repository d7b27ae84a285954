//! What goes wrong in a run, and when.

use rand::seq::SliceRandom;
use sedgestack_fleet::{Fleet, Micros};

use crate::streams::{stream, Concern};

/// A change of the runtime configuration of all limiters at one moment: from then on the plans and classes are those
/// of `rules`.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationChange {
    /// The moment, from the beginning of the load.
    pub at: Micros,
    /// The fleet with the new plans and classes.
    pub fleet: Fleet,
}

/// A fault. `at` is counted from the beginning of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of all backends dies at once; each is back after `span` and has to warm up.
    BackendsCrash {
        /// When it begins.
        at: Micros,
        /// How long it lasts.
        span: Micros,
        /// The share, 0 to 1.
        share: f64,
    },
    /// A zone's backends are lost, and the counter if it is there.
    ZoneLost {
        /// When it begins.
        at: Micros,
        /// How long it lasts.
        span: Micros,
        /// The zone's index.
        zone: usize,
        /// Whether its limiters are lost too.
        limiters: bool,
        /// Whether connections stay open and nothing is heard; else the processes die.
        silent: bool,
    },
    /// The counter answers nothing for `span`, and is back empty.
    CounterLost {
        /// When it begins.
        at: Micros,
        /// How long it lasts.
        span: Micros,
    },
}

impl Fault {
    /// When it begins.
    pub fn starts_at(&self) -> Micros {
        match *self {
            Fault::BackendsCrash { at, .. } | Fault::ZoneLost { at, .. } | Fault::CounterLost { at, .. } => {
                at
            }
        }
    }

    /// When it ends.
    pub fn ends_at(&self) -> Micros {
        let (Fault::BackendsCrash { span, .. }
        | Fault::ZoneLost { span, .. }
        | Fault::CounterLost { span, .. }) = *self;
        self.starts_at() + span
    }

    /// The backends that it hits, by their index in [`Fleet::backend_locations`]; the same for the same seed.
    pub fn affected_backends(&self, fleet: &Fleet, seed: u64) -> Vec<usize> {
        let locations = fleet.backend_locations();
        match *self {
            Fault::BackendsCrash { share, at, .. } => {
                let mut all: Vec<usize> = (0..locations.len()).collect();
                all.shuffle(&mut stream(seed, Concern::Faults, at));
                all.truncate((share * locations.len() as f64).round() as usize);
                all.sort_unstable();
                all
            }
            Fault::ZoneLost { zone, .. } => {
                (0..locations.len()).filter(|backend| locations[*backend].zone == zone).collect()
            }
            Fault::CounterLost { .. } => Vec::new(),
        }
    }
}
