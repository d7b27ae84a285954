//! Aggregation of outcomes over all limiters, along trees.
//!
//! In a tier of up to [`MAX_FULL_MESH`] limiters, each limiter is the root of its own tree, receives the outcomes of
//! all others directly and evaluates the whole tier. A larger tier has two trees of fan-in [`TREE_FAN_IN`]. A limiter
//! that is an inner node of one is a leaf of the other, so the loss of a single limiter never cuts off the same part of
//! the tier from both roots.
//!
//! Once a second each limiter sends one datagram to its parent in every tree, with the sums of its own subtree for each
//! of several seconds. A sum replaces earlier sums of the same second, so lost, duplicated and reordered datagrams only
//! cause delays.

use std::collections::BTreeMap;
use std::ops::Range;

use sedgestack_consensus::{decode_datagram, encode_datagram, DatagramError, ReplicaId, Slot};
use serde::{Deserialize, Serialize};

use crate::{OutcomeCount, Second};

/// First byte of a datagram of outcome sums.
pub const OUTCOME_SUMS_MAGIC: u8 = 0xa8;
/// Maximum size of a tier in which every limiter sends to every other.
const MAX_FULL_MESH: ReplicaId = 9;
/// Maximum number of children of a node in larger tiers. With two trees, a limiter receives at most 8 datagrams per
/// second.
const TREE_FAN_IN: ReplicaId = 4;
/// Number of trees in a tier that is larger than a full mesh.
const LARGE_TIER_TREES: ReplicaId = 2;
/// Number of seconds in a datagram. With the largest counts, 256 bytes hold no more.
const WINDOW_SECONDS: u64 = 8;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Sum of the outcomes of one second, with the number of limiters that it includes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OutcomeSum {
    pub replicas: ReplicaId,
    pub touched: OutcomeCount,
    pub control: OutcomeCount,
}

impl OutcomeCount {
    fn saturating_add(self, other: OutcomeCount) -> OutcomeCount {
        OutcomeCount {
            attempts: self.attempts.saturating_add(other.attempts),
            in_time: self.in_time.saturating_add(other.in_time),
        }
    }
}

impl OutcomeSum {
    fn saturating_add(self, other: OutcomeSum) -> OutcomeSum {
        OutcomeSum {
            replicas: self.replicas.saturating_add(other.replicas),
            touched: self.touched.saturating_add(other.touched),
            control: self.control.saturating_add(other.control),
        }
    }
}

/// Datagram from a limiter to its parent in a tree.
#[derive(Debug, Serialize, Deserialize)]
struct OutcomeDatagram {
    from: ReplicaId,
    tree: ReplicaId,
    version: Slot,
    /// The second of the first sum. The other sums are for the seconds that follow.
    first_second: u64,
    sums: Vec<OutcomeSum>,
}

/// The aggregation trees of a tier.
#[derive(Clone, Copy, Debug)]
struct AggregationTrees {
    replicas: ReplicaId,
    /// The root of the first tree. It depends on the version, so that the work is spread over the limiters.
    first_root: ReplicaId,
}

impl AggregationTrees {
    fn is_full_mesh(self) -> bool {
        self.replicas <= MAX_FULL_MESH
    }

    fn count(self) -> ReplicaId {
        if self.is_full_mesh() {
            self.replicas
        } else {
            LARGE_TIER_TREES
        }
    }

    fn fan_in(self) -> u32 {
        u32::from(if self.is_full_mesh() { MAX_FULL_MESH } else { TREE_FAN_IN })
    }

    /// Returns the replica that `replica` sends to in a tree; `None` for the root.
    fn parent(self, tree: ReplicaId, replica: ReplicaId) -> Option<ReplicaId> {
        let [count, root, tree, replica] = [self.replicas, self.first_root, tree, replica].map(u32::from);
        // The second tree of a large tier is numbered backward, so that its inner nodes are leaves of the first.
        let is_backward = !self.is_full_mesh() && tree == 1;
        let position =
            if is_backward { root + count - 1 - replica } else { replica + 2 * count - root - tree } % count;
        let parent_position = position.checked_sub(1)? / self.fan_in();
        let parent =
            if is_backward { root + 2 * count - 1 - parent_position } else { parent_position + root + tree }
                % count;
        Some(parent as ReplicaId)
    }

    /// Returns the number of edges between the root and the deepest leaf.
    fn depth(self) -> u64 {
        let mut depth = 0;
        let mut level_size = 1;
        let mut capacity = 1;
        while capacity < u32::from(self.replicas) {
            level_size *= self.fan_in();
            capacity += level_size;
            depth += 1;
        }
        depth
    }
}

/// A child of this limiter in a tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Child {
    tree: ReplicaId,
    replica: ReplicaId,
}

/// One limiter's node in the aggregation of outcomes for one version.
#[derive(Clone, Debug)]
pub struct OutcomeAggregator {
    trees: AggregationTrees,
    replica: ReplicaId,
    version: Slot,
    /// The first second of the baseline.
    baseline_start: u64,
    /// The second in which the change became active, which is the first after the baseline. It belongs neither to the
    /// baseline nor to the analysis, unless the change became active exactly at its start.
    baseline_end: u64,
    /// The first whole second after the change.
    analysis_start: u64,
    /// Length of the analysis after the change, in seconds.
    analysis_s: u64,
    own: BTreeMap<u64, OutcomeSum>,
    received: BTreeMap<Child, BTreeMap<u64, OutcomeSum>>,
    steps: u64,
}

impl OutcomeAggregator {
    /// Creates the aggregator of replica `replica` in a group of `replicas`, for a version that becomes active at
    /// `activation` (microseconds), with a baseline of `baseline_s` seconds and an analysis of `analysis_s` seconds.
    pub fn new(
        (replica, replicas): (ReplicaId, ReplicaId),
        version: Slot,
        activation: u64,
        (baseline_s, analysis_s): (u32, u32),
    ) -> OutcomeAggregator {
        let baseline_end = activation / MICROS_PER_SECOND;
        let first_root = (version % u64::from(replicas.max(1))) as ReplicaId;
        OutcomeAggregator {
            trees: AggregationTrees { replicas, first_root },
            replica,
            version,
            baseline_start: baseline_end.saturating_sub(baseline_s.into()),
            baseline_end,
            analysis_start: activation.div_ceil(MICROS_PER_SECOND),
            analysis_s: analysis_s.into(),
            own: BTreeMap::new(),
            received: BTreeMap::new(),
            steps: 0,
        }
    }

    fn analysis_end(&self) -> u64 {
        self.analysis_start + self.analysis_s
    }

    /// Whether a second lies after the change; `None` if it belongs neither to the baseline nor to the analysis.
    pub fn is_after_change(&self, second: u64) -> Option<bool> {
        if (self.baseline_start..self.baseline_end).contains(&second) {
            Some(false)
        } else if (self.analysis_start..self.analysis_end()).contains(&second) {
            Some(true)
        } else {
            None
        }
    }

    /// Records this limiter's own outcomes of a second. Each group is a pair: attempts, and attempts served in time.
    pub fn record_own(&mut self, second: u64, touched: (u32, u32), control: (u32, u32)) {
        if self.is_after_change(second).is_some() {
            let count = |(attempts, in_time): (u32, u32)| OutcomeCount { attempts, in_time };
            let sum = OutcomeSum { replicas: 1, touched: count(touched), control: count(control) };
            self.own.insert(second, sum);
        }
    }

    /// Handles a datagram from another limiter.
    ///
    /// # Errors
    /// If the datagram cannot be decoded, is about another version, or is not from a child of this limiter.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), DatagramError> {
        let datagram: OutcomeDatagram = decode_datagram(OUTCOME_SUMS_MAGIC, bytes)?;
        if !self.is_from_child(&datagram) || datagram.version != self.version {
            return Err(DatagramError::UnknownSender);
        }
        let analysed = self.baseline_start..self.analysis_end();
        let child = Child { tree: datagram.tree, replica: datagram.from };
        let known = self.received.entry(child).or_default();
        for (second, sum) in (datagram.first_second..).zip(datagram.sums) {
            let known_replicas = known.get(&second).map_or(0, |known| known.replicas);
            // A sum that includes fewer replicas is an older one that was delayed.
            if analysed.contains(&second) && sum.replicas >= known_replicas {
                known.insert(second, sum);
            }
        }
        Ok(())
    }

    fn is_from_child(&self, datagram: &OutcomeDatagram) -> bool {
        datagram.from < self.trees.replicas
            && datagram.tree < self.trees.count()
            && self.trees.parent(datagram.tree, datagram.from) == Some(self.replica)
    }

    /// Returns the sum of a second over this limiter and its descendants in a tree.
    fn subtree_sum(&self, tree: ReplicaId, second: u64) -> OutcomeSum {
        let first = Child { tree, replica: 0 };
        let last = Child { tree, replica: ReplicaId::MAX };
        let children = self.received.range(first..=last).filter_map(|(_, sums)| sums.get(&second));
        let own = self.own.get(&second).copied().unwrap_or_default();
        children.fold(own, |total, sum| total.saturating_add(*sum))
    }

    /// Returns the datagrams to send, each with its receiver. Must be called once a second.
    pub fn step(&mut self, now: u64) -> Vec<(ReplicaId, Vec<u8>)> {
        let seconds = self.next_window(now);
        if seconds.is_empty() {
            return Vec::new();
        }
        let to_parent = |tree| {
            let parent = self.trees.parent(tree, self.replica)?;
            Some((parent, self.encode_window(tree, seconds.clone())))
        };
        (0..self.trees.count()).filter_map(to_parent).collect()
    }

    /// Returns the seconds to send next. Steps alternate between the latest seconds and earlier ones in turn, so that
    /// lost sums are sent again.
    fn next_window(&mut self, now: u64) -> Range<u64> {
        let end = now.min(self.analysis_end());
        let latest = end.saturating_sub(WINDOW_SECONDS).max(self.baseline_start);
        let earlier_windows = (latest - self.baseline_start).div_ceil(WINDOW_SECONDS);
        let turn = self.steps / 2;
        let sends_earlier = self.steps % 2 == 1 && earlier_windows > 0;
        self.steps += 1;
        let start = if sends_earlier {
            self.baseline_start + turn % earlier_windows * WINDOW_SECONDS
        } else {
            latest
        };
        start..end.min(start + WINDOW_SECONDS)
    }

    fn encode_window(&self, tree: ReplicaId, seconds: Range<u64>) -> Vec<u8> {
        let datagram = OutcomeDatagram {
            from: self.replica,
            tree,
            version: self.version,
            first_second: seconds.start,
            sums: seconds.map(|second| self.subtree_sum(tree, second)).collect(),
        };
        encode_datagram(OUTCOME_SUMS_MAGIC, &datagram)
    }

    /// Returns the tree whose root is this limiter, if any. The root of a tree evaluates the change.
    pub fn evaluated_tree(&self) -> Option<ReplicaId> {
        (0..self.trees.count()).find(|tree| self.trees.parent(*tree, self.replica).is_none())
    }

    /// Returns the number of seconds after which a sum has reached the root. As the latest seconds are only sent in
    /// every other step, each level of the tree takes two seconds.
    pub fn settle_seconds(&self) -> u64 {
        2 * self.trees.depth() + 1
    }

    /// Returns the outcomes that have reached this limiter as the root of a tree: the number of settled seconds after
    /// the change, the seconds before and after the change that include a majority of the limiters, and the number of
    /// limiters included in the latest of these seconds.
    pub fn collected_outcomes(
        &self,
        tree: ReplicaId,
        now: u64,
    ) -> (u32, Vec<Second>, Vec<Second>, ReplicaId) {
        let settled = now.saturating_sub(self.settle_seconds());
        let passed = settled.saturating_sub(self.analysis_start).min(self.analysis_s);
        let before = self.majority_sums(tree, self.baseline_start..self.baseline_end);
        let after = self.majority_sums(tree, self.analysis_start..self.analysis_start + passed);
        let latest_replicas = after.last().or(before.last()).map_or(0, |sum| sum.replicas);
        let seconds = |sums: Vec<OutcomeSum>| {
            sums.into_iter().map(|sum| Second { touched: sum.touched, control: sum.control }).collect()
        };
        (passed as u32, seconds(before), seconds(after), latest_replicas)
    }

    /// Returns the sums that include more than half of the limiters.
    fn majority_sums(&self, tree: ReplicaId, seconds: Range<u64>) -> Vec<OutcomeSum> {
        let sums = seconds.map(|second| self.subtree_sum(tree, second));
        sums.filter(|sum| sum.replicas > self.trees.replicas / 2).collect()
    }
}

#[cfg(test)]
mod tests;
