//! Estimates the cost of losing parts of the fleet.

use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy};
use sedgestack_model::score::SECOND;
use sedgestack_model::Fault;

use crate::evaluate::{evaluate, Evaluation};
use crate::interval::Interval;
use crate::source::Source;

/// Start of a loss, as a fraction of the run's length.
const START_FRACTION: f64 = 0.25;
/// Duration of a loss, as a fraction of the run's length.
const DURATION_FRACTION: f64 = 0.4;

/// A part of the fleet that is lost, and how.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LossKind {
    /// The backends of a zone, whose processes die, and the quota counter if it is in that zone.
    #[serde(rename = "room")]
    Zone {
        /// The zone's index in the fleet.
        #[serde(rename = "room")]
        zone: usize,
    },
    /// The backends of a zone whose machines are cut off, and the quota counter if it is in that zone: connections
    /// stay open and no reply arrives.
    #[serde(rename = "silent_room")]
    SilentZone {
        /// The zone's index in the fleet.
        #[serde(rename = "room")]
        zone: usize,
    },
    /// A share of all backends, at the same time.
    #[serde(rename = "workers")]
    Backends {
        /// The share, from 0 to 1.
        share: f64,
    },
    /// The quota counter.
    Counter,
}

impl LossKind {
    /// Returns the display name of the loss.
    pub fn name(&self, fleet: &Fleet) -> String {
        match self {
            LossKind::Zone { zone } => format!("losing {}", fleet.zones[*zone].name),
            LossKind::SilentZone { zone } => format!("losing {} silently", fleet.zones[*zone].name),
            LossKind::Backends { share } => format!("losing {:.0}% of the workers at once", 100.0 * share),
            LossKind::Counter => "losing the quota counter".into(),
        }
    }

    /// Returns the simulated fault that causes the loss in a run of `length` microseconds.
    pub fn fault(&self, length: u64) -> Fault {
        let at = (length as f64 * START_FRACTION) as u64;
        let span = (length as f64 * DURATION_FRACTION) as u64;
        match *self {
            LossKind::Zone { zone } => Fault::ZoneLost { at, span, zone, limiters: false, silent: false },
            LossKind::SilentZone { zone } => {
                Fault::ZoneLost { at, span, zone, limiters: false, silent: true }
            }
            LossKind::Backends { share } => Fault::BackendsCrash { at, span, share },
            LossKind::Counter => Fault::CounterLost { at, span },
        }
    }
}

/// A loss and its cost.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// The part of the fleet that is lost.
    pub kind: LossKind,
    /// The display name of the loss.
    pub name: String,
    /// Decrease of the value served in time during the loss, as a share of the value requested, paired by seed.
    pub cost: Interval,
    /// The same decrease over the whole run, including the recovery.
    pub cost_whole: Interval,
    /// The fleet's results with the loss.
    pub evaluation: Evaluation,
}

/// Runs every loss on the seeds of `today` and returns the differences from it.
pub fn losses(
    fleet: &Fleet,
    source: &Source,
    growth: f64,
    by: GrowthBy,
    seeds: u32,
    today: &Evaluation,
) -> Vec<Loss> {
    let length = source.length(fleet);
    let loss = |kind: LossKind| {
        let fault = kind.fault(length);
        let evaluation = evaluate(fleet, source, growth, by, &[fault], seeds);
        let (from, to) = ((fault.starts_at() / SECOND) as usize, (fault.ends_at() / SECOND) as usize);
        let during = |evaluation: &Evaluation| evaluation.shares_between(from, to);
        Loss {
            kind,
            name: kind.name(fleet),
            cost: Interval::of_differences(&during(today), &during(&evaluation)),
            cost_whole: Interval::of_differences(&today.shares, &evaluation.shares),
            evaluation,
        }
    };
    kinds(fleet).into_iter().map(loss).collect()
}

/// Returns the losses to evaluate: each zone with backends unless the fleet has a single zone, a sudden loss of a
/// share of the backends, and the loss of the quota counter.
fn kinds(fleet: &Fleet) -> Vec<LossKind> {
    let mut kinds = Vec::new();
    for (zone, spec) in fleet.zones.iter().enumerate() {
        if spec.backends.iter().sum::<u32>() > 0 && fleet.zones.len() > 1 {
            kinds.extend([LossKind::Zone { zone }, LossKind::SilentZone { zone }]);
        }
    }
    kinds.push(LossKind::Backends { share: fleet.objectives.sudden_loss });
    kinds.push(LossKind::Counter);
    kinds
}
