//! Reads fleet files: HCL descriptions of limiters, backends, the quota counter, the network and the load.
//!
//! [`Fleet::read`] decodes and validates a file into plain values, which the model, the planner and the rehearsals
//! use. [`platform`] converts a fleet into the configuration of real limiters. `docs/operate/fleet-file.md` documents
//! the keys with their units and ranges.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decode;
mod machines;
pub mod platform;
mod workload;

use std::path::Path;

use sedgestack_hcl::Document;

pub use machines::{
    BackendKind, BackendLocation, CancelPolicy, Counter, Delays, Discovery, Limiter, PlatformRules, Zone,
};
pub use sedgestack_hcl::{ConfigError, Micros};
pub use workload::{Class, Clients, Growth, GrowthBy, Idempotency, KeyScope, Load, Plan, Surge};

/// Objectives that a plan must meet, and the range that the planner searches.
#[derive(Clone, Debug, PartialEq)]
pub struct Objectives {
    /// Minimum share of the answers to requests within quotas that must meet the latency objective, by class index; 0
    /// for a class without an objective.
    pub in_time: Vec<f64>,
    /// Minimum and maximum total number of backends to consider.
    pub backends: (u32, u32),
    /// Number of simulation runs, each with its own seed, from which each result is computed.
    pub seeds: u32,
    /// Share of the backends that are lost at once in the standard loss scenario, 0 to 1.
    pub sudden_loss: f64,
}

/// A validated fleet description.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name.
    pub name: String,
    /// Zones, in the order of the file.
    pub zones: Vec<Zone>,
    /// Network delays.
    pub delays: Delays,
    /// The kinds of backends.
    pub backend_kinds: Vec<BackendKind>,
    /// Maximum number of backends in a pod.
    pub pod_size: u32,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The customers' plans.
    pub plans: Vec<Plan>,
    /// The quota counter.
    pub counter: Counter,
    /// Resources of each limiter, and the CPU time of a request.
    pub limiter: Limiter,
    /// Delays of service discovery.
    pub discovery: Discovery,
    /// Limits and timeouts of the platform.
    pub rules: PlatformRules,
    /// The load that clients offer.
    pub load: Load,
    /// How clients retry and abandon requests.
    pub clients: Clients,
    /// Surges in single classes during the load.
    pub surges: Vec<Surge>,
    /// Expected growth of the load, if any.
    pub growth: Option<Growth>,
    /// Objectives of the planner.
    pub objectives: Objectives,
}

impl Fleet {
    /// Returns this fleet with the plans, latency objectives, deadlines and maximum retry hint of a runtime
    /// configuration. Plans and classes that the configuration does not name keep their values.
    pub fn with_runtime_config(&self, config: &sedgestack_runtime_config::Document) -> Fleet {
        let mut fleet = self.clone();
        for plan in &mut fleet.plans {
            if let Some(new) = config.plans.get(&plan.name) {
                (plan.rate, plan.burst, plan.price) = (new.rate, new.burst, new.price);
            }
        }
        for class in &mut fleet.classes {
            if let Some(new) = config.classes.get(&class.name) {
                (class.latency_objective, class.deadline) = (new.latency_objective, new.deadline);
            }
        }
        fleet.rules.max_retry_after = config.max_retry_after;
        fleet
    }

    /// Reads and validates a fleet file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or is invalid. The error names the file, line, column and key, and
    /// what was expected there.
    pub fn read(path: &Path) -> Result<Fleet, ConfigError> {
        decode::decode_fleet(&Document::read(path)?)
    }

    /// Parses and validates the text of a fleet file. Errors name `file` as the source.
    ///
    /// # Errors
    /// Returns an error if the text is invalid; see [`Fleet::read`].
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

    /// Returns the zone index of each limiter, in the order of the limiters' numbers.
    pub fn limiter_zones(&self) -> Vec<usize> {
        let zones = self.zones.iter().enumerate();
        zones.flat_map(|(index, zone)| std::iter::repeat_n(index, zone.limiters as usize)).collect()
    }

    /// Returns the location of each backend. No pod spans two zones; the last pod of a zone may be smaller than
    /// `pod_size`.
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

    /// Returns this fleet with `total` limiters, distributed evenly over the zones. The first zones get the remainder.
    pub fn with_limiters(mut self, total: u32) -> Fleet {
        let zones = self.zones.len() as u32;
        for (index, zone) in self.zones.iter_mut().enumerate() {
            zone.limiters = total / zones + u32::from((index as u32) < total % zones);
        }
        self
    }

    /// Returns this fleet with `total` backends, distributed evenly over the zones. The zones that have the most
    /// backends today get the remainder. Within a zone, each kind but the first keeps its share, rounded down to whole
    /// backends, and the first kind gets the rest.
    pub fn with_backends(&self, total: u32) -> Fleet {
        let mut fleet = self.clone();
        let zones = self.zones.len() as u32;
        let backends_of = |zone: usize| self.zones[zone].backends.iter().sum::<u32>();
        let mut order: Vec<usize> = (0..self.zones.len()).collect();
        order.sort_by_key(|zone| std::cmp::Reverse(backends_of(*zone)));
        for (rank, zone) in order.into_iter().enumerate() {
            let new_count = total / zones + u32::from((rank as u32) < total % zones);
            let old_count = backends_of(zone);
            let mut remaining = new_count;
            for (kind, count) in fleet.zones[zone].backends.iter_mut().enumerate().rev() {
                let part = (*count * new_count).checked_div(old_count).unwrap_or(0);
                *count = if kind == 0 { remaining } else { part.min(remaining) };
                remaining -= *count;
            }
        }
        fleet
    }

    /// Returns the work that all backends together can do per second once they are warm, in seconds of a core of
    /// speed 1.
    pub fn capacity(&self) -> f64 {
        let zone_capacity = |zone: &Zone| -> f64 {
            let kinds = zone.backends.iter().zip(&self.backend_kinds);
            kinds.map(|(count, kind)| f64::from(*count) * f64::from(kind.cores) * kind.speed).sum()
        };
        self.zones.iter().map(zone_capacity).sum()
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
