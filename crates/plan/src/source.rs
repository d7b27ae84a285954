//! The load that a plan is based on.

use sedgestack_fleet::{Fleet, GrowthBy, Micros};
use sedgestack_model::demand::{self, Demand};

use crate::first_tries::FirstTries;
use crate::fit::Fit;
use crate::growth::scale_demand;

/// The load that a plan is based on.
#[derive(Clone, Debug)]
pub enum Source {
    /// The load that the fleet file's `load` block describes.
    Described,
    /// The load of a capture.
    Captured {
        /// The first tries of the capture.
        tries: Box<FirstTries>,
        /// The work of each class, fitted to the capture.
        fit: Fit,
    },
}

impl Source {
    /// Returns the demand at `growth` times the load, drawn for one seed.
    pub fn demand(&self, fleet: &Fleet, growth: f64, by: GrowthBy, seed: u64) -> Demand {
        match self {
            Source::Described => described_demand(fleet, growth, by, seed),
            Source::Captured { tries, fit } => tries.demand(fleet, &fit.scales, growth, by, seed),
        }
    }

    /// Returns the length of the load, in microseconds.
    pub(crate) fn length(&self, fleet: &Fleet) -> Micros {
        match self {
            Source::Described => fleet.load.length,
            Source::Captured { tries, .. } => tries.length,
        }
    }

    /// Returns what limits the accuracy of a plan based on this load, in sentences.
    pub fn warnings(&self) -> &[String] {
        match self {
            Source::Described => &[],
            Source::Captured { tries, .. } => &tries.warnings,
        }
    }

    /// Returns the fit of the model to the capture; `None` for a described load.
    pub fn fit(&self) -> Option<&Fit> {
        match self {
            Source::Described => None,
            Source::Captured { fit, .. } => Some(fit),
        }
    }
}

fn described_demand(fleet: &Fleet, growth: f64, by: GrowthBy, seed: u64) -> Demand {
    // The `load` block determines the number of customers, so additional customers are drawn rather than copied.
    if by == GrowthBy::Customers {
        let mut more = fleet.clone();
        more.load.rate *= growth;
        return demand::draw(&more, seed);
    }
    let drawn = demand::draw(fleet, seed);
    scale_demand(drawn.arrivals, drawn.length, growth, by, seed)
}
