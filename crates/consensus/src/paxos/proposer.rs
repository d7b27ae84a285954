//! The Paxos proposer of one slot.

use std::collections::{BTreeMap, BTreeSet};

use crate::paxos::{AcceptedValue, Ballot, Value};
use crate::{Micros, ReplicaId};

/// Phase of a proposer's ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The proposer collects promises.
    Preparing {
        /// The replicas that have promised, each with the value that it had accepted before, if any.
        promises: BTreeMap<ReplicaId, Option<AcceptedValue>>,
    },
    /// The proposer collects acceptances of a value.
    Accepting {
        /// The value to be accepted.
        value: Value,
        /// Whether a replica had accepted the value in an earlier ballot; otherwise it is the proposer's own proposal.
        previously_accepted: bool,
        /// Replicas that have accepted the value in this ballot.
        acceptances: BTreeSet<ReplicaId>,
    },
}

/// A proposer and the state of its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The ballot number.
    pub ballot: Ballot,
    /// The value to propose if the promises show no value that may have been decided.
    pub proposal: Value,
    /// The current phase.
    pub phase: Phase,
    /// When the ballot was started.
    pub started_at: Micros,
    /// Replicas whose promises are needed in addition to a quorum.
    pub required: BTreeSet<ReplicaId>,
}

impl Proposer {
    /// Starts a ballot.
    pub fn new(ballot: Ballot, proposal: Value, required: BTreeSet<ReplicaId>, now: Micros) -> Proposer {
        let phase = Phase::Preparing { promises: BTreeMap::new() };
        Proposer { ballot, proposal, phase, started_at: now, required }
    }

    /// Whether the proposer still collects promises.
    pub fn is_preparing(&self) -> bool {
        matches!(self.phase, Phase::Preparing { .. })
    }

    /// Returns the required replicas that have not promised yet.
    pub fn missing_promises(&self) -> Vec<ReplicaId> {
        match &self.phase {
            Phase::Preparing { promises } => {
                self.required.iter().filter(|replica| !promises.contains_key(replica)).copied().collect()
            }
            Phase::Accepting { .. } => Vec::new(),
        }
    }

    /// Whether the proposer still waits for a replica's answer in this phase.
    pub fn awaits(&self, replica: ReplicaId) -> bool {
        match &self.phase {
            Phase::Preparing { promises } => !promises.contains_key(&replica),
            Phase::Accepting { acceptances, .. } => !acceptances.contains(&replica),
        }
    }

    /// Returns the number of answers received in both phases. A completed first phase counts as one quorum.
    pub fn answers(&self, quorum: usize) -> usize {
        match &self.phase {
            Phase::Preparing { promises } => promises.len(),
            Phase::Accepting { acceptances, .. } => quorum + acceptances.len(),
        }
    }

    /// Records a promise. When a quorum and all required replicas have promised, the second phase begins with the value
    /// that was accepted in the highest ballot, or with the proposer's own proposal if none was.
    pub fn record_promise(&mut self, replica: ReplicaId, accepted: Option<AcceptedValue>, quorum: usize) {
        let Phase::Preparing { promises } = &mut self.phase else { return };
        promises.insert(replica, accepted);
        if promises.len() < quorum || !self.required.iter().all(|r| promises.contains_key(r)) {
            return;
        }
        let highest = promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        self.phase = Phase::Accepting {
            value: highest.map_or(self.proposal, |accepted| accepted.value),
            previously_accepted: highest.is_some(),
            acceptances: BTreeSet::new(),
        };
    }

    /// Records an acceptance; returns the value once a quorum has accepted it.
    pub fn record_acceptance(&mut self, replica: ReplicaId, quorum: usize) -> Option<Value> {
        let Phase::Accepting { value, acceptances, .. } = &mut self.phase else { return None };
        acceptances.insert(replica);
        (acceptances.len() >= quorum).then_some(*value)
    }
}

#[cfg(test)]
mod tests;
