//! Scenarios for rehearsals, and for comparing rehearsals with the model's predictions.

use sedgestack_fleet::{Fleet, Surge};
use sedgestack_model::Fault;

/// A named combination of a fleet, its load, and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The scenario's name, as in [`ALL`].
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// The fleet, with the load of the scenario.
    pub fleet: Fleet,
    /// Faults during the load; empty if only the load differs.
    pub faults: Vec<Fault>,
}

/// Name and description of each scenario.
pub const ALL: [(&str, &str); 8] = [
    ("calm", "60% of the described load"),
    ("described", "the load described in the fleet file"),
    (
        "text-submit-surge",
        "the last class gets 2.5 times the requests at twice the work for a third of the run",
    ),
    ("room-lost", "all backends of the second zone crash and restart cold"),
    ("workers-dead", "23% of all backends crash at once and restart cold"),
    ("counter-lost", "the quota counter stops answering and resumes empty"),
    ("busy", "1.4 times the described load"),
    ("beyond-capacity", "2.2 times the described load"),
];

/// Returns the scenario with this name for a fleet, or `None` if there is none.
pub fn scenario(fleet: &Fleet, name: &str) -> Option<Scenario> {
    let (name, about) = *ALL.iter().find(|(known, _)| *known == name)?;
    let mut fleet = fleet.clone();
    let length = fleet.load.length;
    let (at, span) = (length / 4, length * 2 / 5);
    let mut faults = Vec::new();
    match name {
        "calm" => fleet.load.rate *= 0.6,
        "text-submit-surge" => {
            let class = fleet.classes.len() - 1;
            fleet.surges.push(Surge {
                class,
                from: length / 3,
                duration: length / 3,
                arrivals: 2.5,
                work: 2.0,
            });
        }
        "room-lost" => {
            let zone_index = 1.min(fleet.zones.len() - 1);
            faults.push(Fault::ZoneLost { at, span, zone: zone_index, limiters: false, silent: false });
        }
        "workers-dead" => faults.push(Fault::BackendsCrash { at, span, share: fleet.objectives.sudden_loss }),
        "counter-lost" => faults.push(Fault::CounterLost { at, span }),
        "busy" => fleet.load.rate *= 1.4,
        "beyond-capacity" => fleet.load.rate *= 2.2,
        _ => {}
    }
    Some(Scenario { name, about, fleet, faults })
}
