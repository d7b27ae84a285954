//! Faults and configuration changes of a run.

use rand::seq::SliceRandom;
use sedgestack_fleet::{Fleet, Micros};

use crate::streams::{stream, Concern};

/// A change of the runtime configuration that becomes active on all limiters at the same time. From then on, they use
/// the plans and classes of `fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationChange {
    /// When the change becomes active, from the beginning of the load.
    pub at: Micros,
    /// A fleet with the new plans and classes.
    pub fleet: Fleet,
}

/// A fault. Its `at` is counted from the beginning of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of all backends crashes at the same time. They restart after `span` and warm up.
    BackendsCrash {
        /// When the fault begins.
        at: Micros,
        /// How long the fault lasts.
        span: Micros,
        /// Share of the backends that crash, 0 to 1.
        share: f64,
    },
    /// A zone is lost with its backends, and with the quota counter if that runs there.
    ZoneLost {
        /// When the fault begins.
        at: Micros,
        /// How long the fault lasts.
        span: Micros,
        /// The zone's index.
        zone: usize,
        /// Whether the limiters of the zone are lost too.
        limiters: bool,
        /// Whether the machines become unreachable, so that connections stay open without an answer. Otherwise the
        /// processes die and connections are reset.
        silent: bool,
    },
    /// The quota counter answers no calls for `span` and comes back without its totals.
    CounterLost {
        /// When the fault begins.
        at: Micros,
        /// How long the fault lasts.
        span: Micros,
    },
}

impl Fault {
    /// Returns when the fault begins.
    pub fn starts_at(&self) -> Micros {
        match *self {
            Fault::BackendsCrash { at, .. } | Fault::ZoneLost { at, .. } | Fault::CounterLost { at, .. } => {
                at
            }
        }
    }

    /// Returns when the fault ends.
    pub fn ends_at(&self) -> Micros {
        let (Fault::BackendsCrash { span, .. }
        | Fault::ZoneLost { span, .. }
        | Fault::CounterLost { span, .. }) = *self;
        self.starts_at() + span
    }

    /// Returns the backends that the fault affects, as indices into [`Fleet::backend_locations`]. The same seed gives
    /// the same backends.
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
