//! Versions of the classes and plans, adopted and retired while the limiter runs.

use std::collections::BTreeSet;

use super::engine::Limiter;
use super::settings_check::check;
use crate::interface::{Class, Micros, Plan, Settings, SettingsError, VersionIndices};

/// Number of classes and plans in the initial settings. They come first and are never removed.
#[derive(Clone, Copy)]
struct ConfiguredCounts {
    classes: usize,
    plans: usize,
}

/// Allocates the indices of classes and plans: those of the initial settings stay, and free ones are reused
/// by the next version.
#[derive(Default)]
pub(super) struct IndexAllocation {
    /// `None` until a version is adopted: all classes and plans then belong to the initial settings.
    configured: Option<ConfiguredCounts>,
    /// Indices after the configured ones that no version, request or customer refers to.
    spare_classes: BTreeSet<usize>,
    spare_plans: BTreeSet<usize>,
}

/// Stores a value at an existing index, or appends it if `index` is the next one.
fn set_or_push<T>(entries: &mut Vec<T>, index: usize, value: T) {
    match entries.get_mut(index) {
        Some(old) => *old = value,
        None => entries.push(value),
    }
}

/// Returns the indices from `configured` to `total` that are not in `in_use`.
fn unused_indices(configured: usize, total: usize, in_use: impl Iterator<Item = usize>) -> BTreeSet<usize> {
    let mut unused: BTreeSet<usize> = (configured..total).collect();
    for index in in_use {
        unused.remove(&index);
    }
    unused
}

/// Whether the last of `total` entries is spare.
fn is_last_spare(spare: &BTreeSet<usize>, total: usize) -> bool {
    spare.last().is_some_and(|last| last + 1 == total)
}

impl Limiter {
    /// Adopts a version of the classes and plans, and returns their indices for the requests that arrive from
    /// now on. Earlier requests keep their indices, so they are retried, timed out and rejected by the
    /// version under which they arrived.
    ///
    /// A class or plan that equals an existing one keeps that index, also if it comes from an earlier
    /// version. Nothing changes for the customers of an unchanged plan. A customer whose plan changed moves
    /// to the new one at its next request: its bucket gets the even share and capacity of the new plan until
    /// the counter has been read, and gains no units.
    ///
    /// # Errors
    ///
    /// Returns an error and adopts nothing if a number is unusable, a name is not in the initial settings, or
    /// the priority weight of a class, which determines its tier, differs.
    pub fn adopt_version(
        &mut self,
        classes: &[Class],
        plans: &[Plan],
    ) -> Result<VersionIndices, SettingsError> {
        self.check_version(classes, plans)?;
        self.allocation.configured.get_or_insert(ConfiguredCounts {
            classes: self.settings.classes.len(),
            plans: self.settings.plans.len(),
        });
        let indices = VersionIndices {
            classes: classes.iter().map(|class| self.adopt_class(class)).collect(),
            plans: plans.iter().map(|plan| self.adopt_plan(plan)).collect(),
        };
        for index in &indices.classes {
            self.allocation.spare_classes.remove(index);
        }
        for index in &indices.plans {
            self.allocation.spare_plans.remove(index);
        }
        Ok(indices)
    }

    /// Returns an error unless all numbers are usable and all names are known with their priority weights.
    fn check_version(&self, classes: &[Class], plans: &[Plan]) -> Result<(), SettingsError> {
        check(&Settings {
            classes: classes.to_vec(),
            plans: plans.to_vec(),
            slow_start: self.settings.slow_start,
            max_units: self.settings.max_units,
            ..Settings::default()
        })?;
        let known_classes = &self.settings.classes;
        let is_known_class = |class: &Class| {
            known_classes
                .iter()
                .any(|known| known.name == class.name && known.priority_weight == class.priority_weight)
        };
        if let Some(class) = classes.iter().find(|class| !is_known_class(class)) {
            return Err(SettingsError::Incompatible(format!("class {}", class.name)));
        }
        let is_known_plan = |plan: &Plan| self.settings.plans.iter().any(|known| known.name == plan.name);
        if let Some(plan) = plans.iter().find(|plan| !is_known_plan(plan)) {
            return Err(SettingsError::Incompatible(format!("plan {}", plan.name)));
        }
        Ok(())
    }

    /// Returns the index of an unchanged class, or of a new entry, which takes over the tier and latencies of
    /// the newest class of the same name.
    fn adopt_class(&mut self, class: &Class) -> usize {
        let known = &self.settings.classes;
        if let Some(same) = known.iter().position(|known| known == class) {
            return same;
        }
        let newest = known.iter().rposition(|known| known.name == class.name).unwrap_or(0);
        let (tier, latency) = (self.tier_of[newest], self.latencies.classes[newest]);
        let index = self.allocation.spare_classes.pop_first().unwrap_or(known.len());
        set_or_push(&mut self.settings.classes, index, class.clone());
        set_or_push(&mut self.tier_of, index, tier);
        set_or_push(&mut self.latencies.classes, index, latency);
        index
    }

    /// Returns the index of an unchanged plan, or of a new entry.
    fn adopt_plan(&mut self, plan: &Plan) -> usize {
        let known = &self.settings.plans;
        if let Some(same) = known.iter().position(|known| known == plan) {
            return same;
        }
        let index = self.allocation.spare_plans.pop_first().unwrap_or(known.len());
        set_or_push(&mut self.settings.plans, index, plan.clone());
        index
    }

    /// Frees the classes and plans of all versions except those in `in_use`, unless a request, attempt or
    /// customer still refers to them. Returns whether all of them could be freed.
    pub fn retire_versions(&mut self, in_use: &[&VersionIndices]) -> bool {
        let Some(configured) = self.allocation.configured else { return true };
        let used_classes = in_use.iter().flat_map(|version| version.classes.iter().copied());
        let used_plans = in_use.iter().flat_map(|version| version.plans.iter().copied());
        let mut classes = unused_indices(configured.classes, self.settings.classes.len(), used_classes);
        let mut plans = unused_indices(configured.plans, self.settings.plans.len(), used_plans);
        if classes.is_empty() && plans.is_empty() {
            return true;
        }
        let candidate_count = classes.len() + plans.len();
        for request in self.requests.values() {
            classes.remove(&request.class);
        }
        for attempt in self.attempts.values() {
            classes.remove(&attempt.class);
        }
        for customer in self.customers.values() {
            plans.remove(&customer.plan);
        }
        let all_freed = candidate_count == classes.len() + plans.len();
        (self.allocation.spare_classes, self.allocation.spare_plans) = (classes, plans);
        self.remove_trailing_spares();
        all_freed
    }

    /// Removes the spare entries at the end; those before entries in use are kept for the next version. A
    /// spare class must not influence which latency counts as slow, so its latency objective is set to the
    /// maximum.
    fn remove_trailing_spares(&mut self) {
        let (settings, allocation) = (&mut self.settings, &mut self.allocation);
        while is_last_spare(&allocation.spare_classes, settings.classes.len()) {
            allocation.spare_classes.pop_last();
            settings.classes.pop();
            self.tier_of.pop();
            self.latencies.classes.pop();
        }
        while is_last_spare(&allocation.spare_plans, settings.plans.len()) {
            allocation.spare_plans.pop_last();
            settings.plans.pop();
        }
        for index in &allocation.spare_classes {
            settings.classes[*index].latency_objective = Micros::MAX;
        }
    }

    /// Returns the current number of classes and plans, those of the initial settings included.
    pub fn class_and_plan_counts(&self) -> (usize, usize) {
        (self.settings.classes.len(), self.settings.plans.len())
    }
}
