//! The fleet description: what a limiter fleet and the systems behind it look like, as HCL.
//!
//! [`Fleet::read`] decodes and checks a file once into plain values; everything that models, plans or rehearses
//! starts from them. [`platform`] turns a fleet into the platform's own configuration, for real daemons.
//! The keys, their units and ranges stand in `docs/operate/fleet-file.md`.
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

/// What the planner is to keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Objectives {
    /// Share of a class's answers inside quotas that must come within its latency objective, by class; 0 for none.
    pub in_time: Vec<f64>,
    /// Least and most backends, over all zones, that may be considered.
    pub backends: (u32, u32),
    /// Runs behind every figure.
    pub seeds: u32,
    /// The share of backends of the standard sudden loss.
    pub sudden_loss: f64,
}

/// A whole description.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name.
    pub name: String,
    /// Its zones.
    pub zones: Vec<Zone>,
    /// Delays of the network.
    pub delays: Delays,
    /// The kinds of backends.
    pub backend_kinds: Vec<BackendKind>,
    /// Backends of one pod.
    pub pod_size: u32,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The customers' plans.
    pub plans: Vec<Plan>,
    /// The quota counter.
    pub counter: Counter,
    /// What each limiter has and costs.
    pub limiter: Limiter,
    /// How long service discovery takes.
    pub discovery: Discovery,
    /// The rules of the platform.
    pub rules: PlatformRules,
    /// The described load.
    pub load: Load,
    /// What clients do of themselves.
    pub clients: Clients,
    /// Stretches in which a class grows.
    pub surges: Vec<Surge>,
    /// How load is to grow.
    pub growth: Option<Growth>,
    /// What the planner is to keep.
    pub objectives: Objectives,
}

impl Fleet {
    /// The fleet under a version of its runtime configuration.
    pub fn with_runtime_config(&self, rules: &sedgestack_runtime_config::Document) -> Fleet {
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

    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names file, line, column and key at fault, and what was expected there.
    pub fn read(path: &Path) -> Result<Fleet, ConfigError> {
        decode::decode_fleet(&Document::read(path)?)
    }

    /// Checks a text; `file` is named in errors.
    ///
    /// # Errors
    /// As [`Fleet::read`].
    pub fn parse(file: &str, text: &str) -> Result<Fleet, ConfigError> {
        decode::decode_fleet(&Document::parse(file, text)?)
    }

    /// How many backends there are.
    pub fn backend_count(&self) -> u32 {
        self.zones.iter().flat_map(|zone| &zone.backends).sum()
    }

    /// How many limiters there are.
    pub fn limiter_count(&self) -> u32 {
        self.zones.iter().map(|zone| zone.limiters).sum()
    }

    /// The index of each limiter's zone, by the limiter's number.
    pub fn limiter_zones(&self) -> Vec<usize> {
        let zones = self.zones.iter().enumerate();
        zones.flat_map(|(index, zone)| std::iter::repeat_n(index, zone.limiters as usize)).collect()
    }

    /// Every backend's location. Pods lie within a zone; the last one of a zone may be smaller.
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

    /// The same fleet with `total` limiters, spread over the zones as evenly as they go, the first zones first.
    pub fn with_limiters(mut self, total: u32) -> Fleet {
        let zones = self.zones.len() as u32;
        for (index, zone) in self.zones.iter_mut().enumerate() {
            zone.limiters = total / zones + u32::from((index as u32) < total % zones);
        }
        self
    }

    /// The same fleet with `total` backends of the first kind's mix: zones are filled evenly, those that have
    /// the most today first. Other kinds keep their part of a zone as nearly as whole backends allow.
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

    /// Core-seconds of work that the whole fleet does in a second once it has warmed up.
    pub fn capacity(&self) -> f64 {
        let of_zone = |zone: &Zone| -> f64 {
            let kinds = zone.backends.iter().zip(&self.backend_kinds);
            kinds.map(|(count, kind)| f64::from(*count) * f64::from(kind.cores) * kind.speed).sum()
        };
        self.zones.iter().map(of_zone).sum()
    }

    /// The index of a class by its name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The index of a plan by its name.
    pub fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan.name == name)
    }
}
