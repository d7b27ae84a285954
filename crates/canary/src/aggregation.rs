//! Aggregation of outcomes over all limiters, along trees.
//!
//! In a tier of up to [`MAX_FULL_MESH`] limiters each is the root of its own tree and receives the outcomes of all
//! others directly: each evaluates the whole tier. A larger tier has two trees of fan-in [`TREE_FAN_IN`]; a limiter
//! that is an inner node of one is a leaf of the other, so that the loss of a single limiter never cuts the same
//! part of the tier off from both roots. Once a second a limiter sends its parent in every tree one datagram with
//! the sums of its own subtree, second by second. A sum replaces earlier ones of the same second, so that lost,
//! duplicated and reordered datagrams cost nothing but time.

use std::collections::BTreeMap;
use std::ops::Range;

use sedgestack_consensus::{decode_datagram, encode_datagram, DatagramError, ReplicaId, Slot};
use serde::{Deserialize, Serialize};

use crate::{OutcomeCount, Second};

/// First byte of a datagram of outcome sums.
pub const OUTCOME_SUMS_MAGIC: u8 = 0xa8;
/// The largest tier in which every limiter sends to every other.
const MAX_FULL_MESH: ReplicaId = 9;
/// Children of a node in larger tiers: with two trees a limiter receives at most 8 datagrams a second.
const TREE_FAN_IN: ReplicaId = 4;
/// Trees of a tier larger than a full mesh.
const LARGE_TIER_TREES: ReplicaId = 2;
/// Seconds in a datagram: with the largest numbers, 256 bytes hold no more.
const WINDOW_SECONDS: u64 = 8;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Outcomes of one second, with the number of limiters that are included.
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

/// Datagram from a limiter to its parent in one tree.
#[derive(Debug, Serialize, Deserialize)]
struct OutcomeDatagram {
    from: ReplicaId,
    tree: ReplicaId,
    version: Slot,
    /// The second of the first sum; the others follow it.
    first_second: u64,
    sums: Vec<OutcomeSum>,
}

/// The aggregation trees of a tier.
#[derive(Clone, Copy, Debug)]
struct AggregationTrees {
    replicas: ReplicaId,
    /// The root of the first tree. It depends on the version, so that no limiter always has the work.
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

    /// The replica that `replica` sends to in a tree; `None` for its root.
    fn parent(self, tree: ReplicaId, replica: ReplicaId) -> Option<ReplicaId> {
        let [count, root, tree, replica] = [self.replicas, self.first_root, tree, replica].map(u32::from);
        // The second tree of a large tier numbers backward: its inner nodes are the leaves of the first.
        let is_backward = !self.is_full_mesh() && tree == 1;
        let position =
            if is_backward { root + count - 1 - replica } else { replica + 2 * count - root - tree } % count;
        let parent_position = position.checked_sub(1)? / self.fan_in();
        let parent =
            if is_backward { root + 2 * count - 1 - parent_position } else { parent_position + root + tree }
                % count;
        Some(parent as ReplicaId)
    }

    /// Edges between the root and the deepest leaf.
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

/// A child's place: the tree and the child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Child {
    tree: ReplicaId,
    replica: ReplicaId,
}

/// One limiter's part in the aggregation for a version.
#[derive(Clone, Debug)]
pub struct OutcomeAggregator {
    trees: AggregationTrees,
    replica: ReplicaId,
    version: Slot,
    /// The first second of the baseline.
    baseline_start: u64,
    /// The second in which the change became active, the first after the baseline. Unless the change came at its
    /// very beginning, this second belongs to neither side.
    baseline_end: u64,
    /// The first whole second after the change.
    analysis_start: u64,
    /// Seconds of the analysis after the change.
    analysis_s: u64,
    own: BTreeMap<u64, OutcomeSum>,
    received: BTreeMap<Child, BTreeMap<u64, OutcomeSum>>,
    steps: u64,
}

impl OutcomeAggregator {
    /// The part of replica `replica` of `replicas` for a version that is active from `activation` on (microseconds
    /// of the tier's clock), with a baseline of `baseline_s` seconds and an analysis of `analysis_s`.
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

    /// Whether a second lies after the change; `None` where it is not analysed at all.
    pub fn is_after_change(&self, second: u64) -> Option<bool> {
        if (self.baseline_start..self.baseline_end).contains(&second) {
            Some(false)
        } else if (self.analysis_start..self.analysis_end()).contains(&second) {
            Some(true)
        } else {
            None
        }
    }

    /// Records this limiter's own outcomes of a second: attempts, and those served in time, of each group.
    pub fn record_own(&mut self, second: u64, touched: (u32, u32), control: (u32, u32)) {
        if self.is_after_change(second).is_some() {
            let count = |(attempts, in_time): (u32, u32)| OutcomeCount { attempts, in_time };
            let sum = OutcomeSum { replicas: 1, touched: count(touched), control: count(control) };
            self.own.insert(second, sum);
        }
    }

    /// Handles a datagram of another limiter.
    ///
    /// # Errors
    /// Where it is damaged, of another version, or not from a child of this limiter.
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
            // A sum of fewer replicas is an older one that was delayed.
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

    /// The sum of a second over this limiter and those below it in a tree.
    fn subtree_sum(&self, tree: ReplicaId, second: u64) -> OutcomeSum {
        let first = Child { tree, replica: 0 };
        let last = Child { tree, replica: ReplicaId::MAX };
        let children = self.received.range(first..=last).filter_map(|(_, sums)| sums.get(&second));
        let own = self.own.get(&second).copied().unwrap_or_default();
        children.fold(own, |total, sum| total.saturating_add(*sum))
    }

    /// Returns the datagrams to send, by receiver; called once a second.
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

    /// The seconds to send next: every other time the latest ones, in between the earlier ones in turn, so that
    /// parents receive again what was lost.
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

    /// The tree whose root this limiter is, if any: the root evaluates the change.
    pub fn evaluated_tree(&self) -> Option<ReplicaId> {
        (0..self.trees.count()).find(|tree| self.trees.parent(*tree, self.replica).is_none())
    }

    /// Seconds until a sum has reached the root. The latest seconds are sent every other time, which doubles the
    /// depth of the tree.
    pub fn settle_seconds(&self) -> u64 {
        2 * self.trees.depth() + 1
    }

    /// How many seconds after the change have settled; the seconds before and after it that include a majority of
    /// the limiters; and the number of limiters in the latest of these.
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

    /// The sums of those seconds that include more than half of the limiters.
    fn majority_sums(&self, tree: ReplicaId, seconds: Range<u64>) -> Vec<OutcomeSum> {
        let sums = seconds.map(|second| self.subtree_sum(tree, second));
        sums.filter(|sum| sum.replicas > self.trees.replicas / 2).collect()
    }
}

#[cfg(test)]
mod tests;
