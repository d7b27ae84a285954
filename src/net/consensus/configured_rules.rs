//! The values of the configuration file that documents may change.

use std::collections::BTreeMap;

use sedgestack::{Class, Micros, Plan};
use sedgestack_consensus::Slot;
use sedgestack_hcl::ConfigError;
use sedgestack_runtime_config as runtime_config;
use sedgestack_runtime_config::Document;

use crate::net::config::Config;
use crate::net::control::message::ConfigVersion;

/// Minimum rate that a document can express. Plans below it can't be changed in service.
const MIN_RATE: f64 = 0.001;
/// Minimum burst that a document can express. Plans below it can't be changed in service.
const MIN_BURST: f64 = 1.0;

/// The configured values. They are version 0, and they bound all later versions.
#[derive(Clone)]
pub struct ConfiguredRules {
    classes: Vec<Class>,
    plans: Vec<Plan>,
    longest_deadline: Micros,
    max_retry_after: Micros,
    document: Document,
}

/// A change in a document that is not possible in service.
#[derive(Debug, thiserror::Error)]
pub enum UnsupportedChange {
    #[error("plan \"{0}\": it is not in the limiters' configuration")]
    UnknownPlan(String),
    #[error("class \"{0}\": it is not in the limiters' configuration")]
    UnknownClass(String),
    #[error("addresses: they are changed in the configuration file, with SIGHUP")]
    Addresses,
    #[error("limits.max_retry_after: expected {max} us at most, as configured")]
    MaxRetryAfter { max: Micros },
}

impl ConfiguredRules {
    /// Extracts the values from a configuration.
    ///
    /// # Errors
    /// Returns an error that names the value if a document can't express it.
    pub fn from_config(config: &Config) -> Result<ConfiguredRules, ConfigError> {
        let settings = &config.settings;
        let longest_deadline = config.limits.longest_deadline;
        let expressible = settings.plans.iter().filter(|p| p.rate >= MIN_RATE && p.burst >= MIN_BURST);
        let plans: BTreeMap<_, _> = expressible.map(|plan| (plan.name.clone(), plan_values(plan))).collect();
        let classes = settings.classes.iter();
        let classes: BTreeMap<_, _> =
            classes.map(|class| (class.name.clone(), class_values(class, longest_deadline))).collect();
        let text = Document::text_from_configuration(&plans, &classes, settings.max_retry_after);
        Ok(ConfiguredRules {
            classes: settings.classes.clone(),
            plans: settings.plans.clone(),
            longest_deadline,
            max_retry_after: settings.max_retry_after,
            document: Document::parse("configuration", &text)?,
        })
    }

    /// Returns version 0 as a document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns for each plan of the configuration, in order, whether `contains` holds for its name.
    pub fn plans_where(&self, contains: impl Fn(&str) -> bool) -> Vec<bool> {
        self.plans.iter().map(|plan| contains(&plan.name)).collect()
    }

    /// Returns the classes and plans under a document, with the other values that the control actor needs.
    pub fn version_of(&self, number: Slot, document: &Document) -> ConfigVersion {
        let mut classes = self.classes.clone();
        let mut deadlines = vec![self.longest_deadline; classes.len()];
        for (class, deadline) in classes.iter_mut().zip(&mut deadlines) {
            if let Some(new) = document.classes.get(&class.name) {
                class.latency_objective = new.latency_objective;
                *deadline = new.deadline.min(self.longest_deadline);
            }
        }
        let mut plans = self.plans.clone();
        for plan in &mut plans {
            if let Some(new) = document.plans.get(&plan.name) {
                (plan.rate, plan.burst, plan.price) = (new.rate, new.burst, new.price);
            }
        }
        let max_retry_after = document.max_retry_after.min(self.max_retry_after);
        ConfigVersion { number, classes, plans, deadlines, max_retry_after }
    }

    /// Checks that a document changes only what can be changed in service.
    ///
    /// # Errors
    /// Returns an error that names the first change that is not possible.
    pub fn check_supported(&self, document: &Document) -> Result<(), UnsupportedChange> {
        let has_plan = |name: &String| self.plans.iter().any(|plan| plan.name == *name);
        if let Some(name) = document.plans.keys().find(|name| !has_plan(name)) {
            return Err(UnsupportedChange::UnknownPlan(name.clone()));
        }
        let has_class = |name: &String| self.classes.iter().any(|class| class.name == *name);
        if let Some(name) = document.classes.keys().find(|name| !has_class(name)) {
            return Err(UnsupportedChange::UnknownClass(name.clone()));
        }
        if document.counter.is_some() || document.discovery.is_some() {
            return Err(UnsupportedChange::Addresses);
        }
        if document.max_retry_after > self.max_retry_after {
            return Err(UnsupportedChange::MaxRetryAfter { max: self.max_retry_after });
        }
        Ok(())
    }
}

fn plan_values(plan: &Plan) -> runtime_config::Plan {
    runtime_config::Plan { rate: plan.rate, burst: plan.burst, price: plan.price }
}

fn class_values(class: &Class, longest_deadline: Micros) -> runtime_config::Class {
    runtime_config::Class {
        latency_objective: class.latency_objective,
        deadline: longest_deadline.max(class.latency_objective),
    }
}
