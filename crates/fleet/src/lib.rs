//! The fleet description: an HCL file that describes a fleet of limiters and the systems behind it.
//!
//! [`Fleet::read`] decodes and checks a file. The model, the planner and rehearsals all start from the resulting
//! [`Fleet`]. [`platform`] converts a fleet to the platform's own configuration format, for real daemons.
//! The keys are described in `docs/operate/fleet-file.md`, with their units and ranges.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decode;
mod machines;
pub mod platform;
mod workload;

use std::path::Path;

use sedgestack_hcl::Document;

pub use machines::{
    BackendKind, BackendLocation, Cancel, Counter, Delays, Discovery, Limiter, PlatformRules, Zone,
};
pub use sedgestack_hcl::{ConfigError, Micros};
pub use workload::{Class, Clients, Growth, GrowthBy, Idempotency, KeyScope, Load, Plan, Surge};

/// Objectives of the planner, and the range in which it searches.
#[derive(Clone, Debug, PartialEq)]
pub struct Objectives {
    /// Minimum share of answers inside quotas that must be within the latency objective, by class; 0 for no minimum.
    pub in_time: Vec<f64>,
    /// Minimum and maximum number of backends to consider, over all zones.
    pub backends: (u32, u32),
    /// Number of runs, each with its own seed, from which every figure is estimated.
    pub seeds: u32,
    /// Share of all backends that fail at once in the standard sudden loss.
    pub sudden_loss: f64,
}

/// A fleet: its limiters, the systems behind them, and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name.
    pub name: String,
    /// The fleet's zones.
    pub zones: Vec<Zone>,
    /// Delays of the network.
    pub delays: Delays,
    /// The kinds of backends.
    pub backend_kinds: Vec<BackendKind>,
    /// Maximum number of backends in one pod.
    pub pod_size: u32,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The customers' plans.
    pub plans: Vec<Plan>,
    /// The quota counter.
    pub counter: Counter,
    /// Resources of each limiter, and the CPU time that a request costs it.
    pub limiter: Limiter,
    /// Delays of service discovery.
    pub discovery: Discovery,
    /// The rules of the platform.
    pub rules: PlatformRules,
    /// The load that clients offer.
    pub load: Load,
    /// How clients retry and abandon requests.
    pub clients: Clients,
    /// Temporary increases in the load of a class.
    pub surges: Vec<Surge>,
    /// The growth of load to plan for; `None` if the file does not describe it.
    pub growth: Option<Growth>,
    /// Objectives of the planner.
    pub objectives: Objectives,
}

impl Fleet {
    /// Returns the fleet under a version of its runtime configuration.
    pub fn with_rules(&self, rules: &sedgestack_runtime_config::Document) -> Fleet {
        let mut fleet = self.clone();
        for plan in &mut fleet.plans {
            if let Some(new) = rules.plans.get(&plan.name) {
                (plan.rate, plan.burst, plan.price) = (new.rate, new.burst, new.price);
            }
        }
        for class in &mut fleet.classes {
            if let Some(new) = rules.classes.get(&class.name) {
                (class.latency_objective, class.deadline) = (new.latency_objective, new.deadline);
            }
        }
        fleet.rules.max_retry_after = rules.max_retry_after;
        fleet
    }

    /// Reads, decodes and checks a file.
    ///
    /// # Errors
    /// Returns an error that names the file, line, column and key, and what was expected there.
    pub fn read(path: &Path) -> Result<Fleet, ConfigError> {
        decode::decode_fleet(&Document::read(path)?)
    }

    /// Decodes and checks `text`. `file` is the name that error messages show for it.
    ///
    /// # Errors
    /// Returns the same errors as [`Fleet::read`].
    pub fn parse(file: &str, text: &str) -> Result<Fleet, ConfigError> {
        decode::decode_fleet(&Document::parse(file, text)?)
    }

    /// Returns the number of backends in all zones.
    pub fn backend_count(&self) -> u32 {
        self.zones.iter().flat_map(|zone| &zone.backends).sum()
    }

    /// Returns the number of limiters in all zones.
    pub fn limiter_count(&self) -> u32 {
        self.zones.iter().map(|zone| zone.limiters).sum()
    }

    /// Returns the index of each limiter's zone, by the limiter's number.
    pub fn limiter_zones(&self) -> Vec<usize> {
        let zones = self.zones.iter().enumerate();
        zones.flat_map(|(index, zone)| std::iter::repeat_n(index, zone.limiters as usize)).collect()
    }

    /// Returns the location of each backend. Pods do not span zones; the last pod of a zone may be smaller.
    pub fn backend_locations(&self) -> Vec<BackendLocation> {
        let mut locations = Vec::new();
        let mut pod = 0;
        for (zone, spec) in self.zones.iter().enumerate() {
            let mut in_pod = 0;
            for (kind, count) in spec.backends.iter().enumerate() {
                for _ in 0..*count {
                    if in_pod == self.pod_size {
                        (pod, in_pod) = (pod + 1, 0);
                    }
                    locations.push(BackendLocation { zone, kind, pod });
                    in_pod += 1;
                }
            }
            pod += u32::from(in_pod > 0);
        }
        locations
    }

    /// Returns the fleet with `total` limiters, spread evenly over the zones. Any remainder goes to the first zones,
    /// one limiter each.
    pub fn with_limiters(mut self, total: u32) -> Fleet {
        let zones = self.zones.len() as u32;
        for (index, zone) in self.zones.iter_mut().enumerate() {
            zone.limiters = total / zones + u32::from((index as u32) < total % zones);
        }
        self
    }

    /// Returns the fleet with `total` backends, spread evenly over the zones. Any remainder goes to the zones that have
    /// the most backends now, one backend each. Within a zone, each kind but the first keeps its fraction of the
    /// backends, rounded down to whole backends, and the rest is of the first kind.
    pub fn with_backends(&self, total: u32) -> Fleet {
        let mut fleet = self.clone();
        let zones = self.zones.len() as u32;
        let backends_of = |zone: usize| self.zones[zone].backends.iter().sum::<u32>();
        let mut order: Vec<usize> = (0..self.zones.len()).collect();
        order.sort_by_key(|zone| std::cmp::Reverse(backends_of(*zone)));
        for (rank, zone) in order.into_iter().enumerate() {
            let new_count = total / zones + u32::from((rank as u32) < total % zones);
            let today = backends_of(zone);
            let mut left = new_count;
            for (kind, count) in fleet.zones[zone].backends.iter_mut().enumerate().rev() {
                let part = (*count * new_count).checked_div(today).unwrap_or(0);
                *count = if kind == 0 { left } else { part.min(left) };
                left -= *count;
            }
        }
        fleet
    }

    /// Returns the core-seconds of work that all backends together do in a second, once they have warmed up.
    pub fn capacity(&self) -> f64 {
        let of_zone = |zone: &Zone| -> f64 {
            let kinds = zone.backends.iter().zip(&self.backend_kinds);
            kinds.map(|(count, kind)| f64::from(*count) * f64::from(kind.cores) * kind.speed).sum()
        };
        self.zones.iter().map(of_zone).sum()
    }

    /// Returns the index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Returns the index of the plan with this name.
    pub fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan.name == name)
    }
}
