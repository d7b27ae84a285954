//! Storage of the listed backends, with indexes that are updated with each change, so that the work for a
//! change or a decision does not grow with the number of backends.

use std::collections::{BTreeMap, BTreeSet};

use super::backends::Backend;
use crate::interface::{BackendId, BackendState, Micros};

/// Identifies a listed backend while it is listed.
pub(super) type Slot = usize;

/// The listed backends.
#[derive(Default)]
pub(super) struct BackendSlots {
    slots: Vec<Option<Backend>>,
    by_name: BTreeMap<BackendId, Slot>,
    free: Vec<Slot>,
    in_service: InService,
    /// Backends that are gone and had attempts in flight when that was reported.
    gone: BTreeSet<Slot>,
}

/// The backends in service.
#[derive(Default)]
pub(super) struct InService {
    all: BTreeSet<Slot>,
    /// Backends that have warmed up, by rank.
    warm: BTreeSet<(u64, Slot)>,
    /// Backends that are warming up.
    warming: BTreeSet<Slot>,
    /// Backends that are warming up, by the start of their processes.
    warming_by_start: BTreeSet<(Micros, Slot)>,
}

impl InService {
    fn insert(&mut self, slot: Slot, backend: &Backend) {
        self.all.insert(slot);
        if backend.started_at == 0 {
            self.warm.insert((backend.rank, slot));
        } else {
            self.warming.insert(slot);
            self.warming_by_start.insert((backend.started_at, slot));
        }
    }

    fn remove(&mut self, slot: Slot, backend: &Backend) {
        self.all.remove(&slot);
        self.warm.remove(&(backend.rank, slot));
        self.warming.remove(&slot);
        self.warming_by_start.remove(&(backend.started_at, slot));
    }

    /// Returns all backends, `start` and those after it first.
    pub(super) fn all_from(&self, start: Slot) -> impl Iterator<Item = Slot> + '_ {
        self.all.range(start..).chain(self.all.range(..start)).copied()
    }

    /// Returns the backends that are warming up, `start` and those after it first.
    pub(super) fn warming_from(&self, start: Slot) -> impl Iterator<Item = Slot> + '_ {
        self.warming.range(start..).chain(self.warming.range(..start)).copied()
    }

    /// Returns the backends that have warmed up and have at most the rank `max_rank`, those from `start_rank`
    /// on first.
    pub(super) fn warm_from(&self, start_rank: u64, max_rank: u64) -> impl Iterator<Item = Slot> + '_ {
        let start = start_rank.min(max_rank);
        let first = self.warm.range((start, 0)..=(max_rank, Slot::MAX));
        first.chain(self.warm.range(..(start, 0))).map(|(_, slot)| *slot)
    }

    /// Returns the highest rank among the `count` warm backends of lowest rank, or `None` if there are fewer.
    pub(super) fn rank_of_subset(&self, count: usize) -> Option<u64> {
        if count > self.warm.len() {
            return None;
        }
        self.warm.iter().nth(count - 1).map(|(rank, _)| *rank)
    }

    /// Returns the number of backends.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns the number of backends that have warmed up.
    pub(super) fn warm_count(&self) -> usize {
        self.warm.len()
    }
}

impl BackendSlots {
    /// Returns the number of listed backends, including those that are gone and have attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(super) fn in_service(&self) -> &InService {
        &self.in_service
    }

    /// Returns the number of slots, listed backends or not.
    pub(super) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn at(&self, slot: Slot) -> &Backend {
        self.slots[slot].as_ref().expect("an indexed slot holds a backend")
    }

    pub(super) fn get(&self, name: &str) -> Option<&Backend> {
        self.by_name.get(name).map(|slot| self.at(*slot))
    }

    /// Returns a backend for changes that do not affect its state, start or rank.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Backend> {
        let slot = *self.by_name.get(name)?;
        self.slots[slot].as_mut()
    }

    /// Returns all backends, in the order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_name.values().map(|slot| self.at(*slot))
    }

    /// Changes a backend, which is created if it is not listed. The indexes follow any change.
    pub(super) fn update(
        &mut self,
        name: &BackendId,
        create: impl FnOnce() -> Backend,
        change: impl FnOnce(&mut Backend),
    ) {
        let slot = match self.by_name.get(name) {
            Some(slot) => *slot,
            None => self.insert(name.clone(), create()),
        };
        self.change(slot, change);
    }

    /// Changes a backend if it is listed. The indexes follow any change.
    pub(super) fn update_listed(&mut self, name: &str, change: impl FnOnce(&mut Backend)) {
        if let Some(slot) = self.by_name.get(name).copied() {
            self.change(slot, change);
        }
    }

    /// Marks the backends that `is_listed` rejects as gone.
    pub(super) fn mark_missing(&mut self, is_listed: impl Fn(&BackendId) -> bool) {
        let missing: Vec<Slot> =
            self.by_name.iter().filter(|(name, _)| !is_listed(name)).map(|(_, slot)| *slot).collect();
        for slot in missing {
            self.change(slot, |backend| backend.state = BackendState::Gone);
        }
    }

    fn insert(&mut self, name: BackendId, backend: Backend) -> Slot {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        if backend.state == BackendState::InService {
            self.in_service.insert(slot, &backend);
        }
        self.slots[slot] = Some(backend);
        self.by_name.insert(name, slot);
        slot
    }

    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut Backend)) {
        let Some(backend) = &mut self.slots[slot] else { return };
        self.in_service.remove(slot, backend);
        change(backend);
        match backend.state {
            BackendState::InService => self.in_service.insert(slot, backend),
            BackendState::Draining => {}
            BackendState::Gone => {
                self.gone.insert(slot);
                return;
            }
        }
        self.gone.remove(&slot);
    }

    /// Removes the backends that are gone and have no attempt in flight.
    pub(super) fn remove_gone(&mut self) {
        let is_unused = |slot: &Slot| self.at(*slot).in_flight.is_empty();
        let unused: Vec<Slot> = self.gone.iter().copied().filter(is_unused).collect();
        for slot in unused {
            self.gone.remove(&slot);
            if let Some(backend) = self.slots[slot].take() {
                self.by_name.remove(&backend.name);
                self.free.push(slot);
            }
        }
    }

    /// Moves the backends that have warmed up by now to the warm ones. `is_warm` holds for each backend that
    /// started before one for which it holds.
    pub(super) fn promote_warm(&mut self, is_warm: impl Fn(&Backend) -> bool) {
        while let Some((started_at, slot)) = self.in_service.warming_by_start.first().copied() {
            let backend = self.slots[slot].as_ref().expect("an indexed slot holds a backend");
            if !is_warm(backend) {
                return;
            }
            self.in_service.warming_by_start.remove(&(started_at, slot));
            self.in_service.warming.remove(&slot);
            self.in_service.warm.insert((backend.rank, slot));
        }
    }
}

#[cfg(test)]
mod tests;
