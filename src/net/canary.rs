//! Canary analysis of a change in this limiter: its own outcomes by plan and second, the sums over all limiters, and
//! whether to roll the change back. It does no I/O: the consensus actor sends and receives its datagrams and proposes
//! the rollback.

use std::collections::{BTreeMap, VecDeque};

use sedgestack::Micros;
use sedgestack_canary::{CanaryAnalysis, OutcomeAggregator, Settings, Verdict};
use sedgestack_consensus::{DatagramError, Digest, ReplicaId, Slot};
use serde_json::{json, Value};
use tokio::sync::mpsc;

#[cfg(test)]
mod tests;

/// The outcomes of one second: by version and plan, how many requests ended, and how many of them were served in
/// time.
#[derive(Debug, Default, PartialEq)]
pub struct SecondOutcomes {
    /// The second, in Unix time by this limiter's clock.
    pub second: u64,
    pub versions: BTreeMap<Slot, Vec<OutcomeCounts>>,
}

/// Counts requests as they end, and reports each second once it has passed.
pub struct OutcomeRecorder {
    current: SecondOutcomes,
    plans: usize,
    reports: mpsc::Sender<SecondOutcomes>,
}

impl OutcomeRecorder {
    /// Creates a recorder for requests of `plans` plans.
    pub fn new(plans: usize, reports: mpsc::Sender<SecondOutcomes>) -> OutcomeRecorder {
        OutcomeRecorder { current: SecondOutcomes::default(), plans, reports }
    }

    /// Records that a request of plan `plan`, an index into the configuration, has ended.
    pub fn record(&mut self, version: Slot, plan: usize, in_time: bool) {
        let plans = self
            .current
            .versions
            .entry(version)
            .or_insert_with(|| vec![OutcomeCounts::default(); self.plans]);
        if let Some(counts) = plans.get_mut(plan) {
            counts.add(OutcomeCounts { ended: 1, served: u32::from(in_time) });
        }
    }

    /// Reports the current second once it has passed. The report is dropped if the mailbox is full: the analysis
    /// tolerates seconds that arrive late or never.
    pub fn flush_finished_seconds(&mut self, now: Micros) {
        let second = now / 1_000_000;
        if second != self.current.second {
            let passed =
                std::mem::replace(&mut self.current, SecondOutcomes { second, versions: BTreeMap::new() });
            if passed.second > 0 {
                let _ = self.reports.try_send(passed);
            }
        }
    }
}

/// Number of requests that ended, and how many of them were served in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub ended: u32,
    pub served: u32,
}

impl OutcomeCounts {
    fn add(&mut self, other: OutcomeCounts) {
        self.ended += other.ended;
        self.served += other.served;
    }
}

/// A change under canary analysis.
struct AnalyzedChange {
    version: Slot,
    digest: Digest,
    /// For each plan, whether the change affects it.
    touched: Vec<bool>,
    outcomes: OutcomeAggregator,
    analysis: CanaryAnalysis,
    verdict: Verdict,
    /// Whether another document has become active.
    is_replaced: bool,
    /// Whether the document that became active has the same values, so that the change was held rather than replaced.
    is_held: bool,
    /// Number of limiters in the latest sum.
    limiters: ReplicaId,
    /// Number of seconds evaluated before the change.
    seconds_before: usize,
    /// Number of seconds evaluated after the change.
    seconds_after: usize,
}

/// Result of one step of the analysis.
#[derive(Default)]
pub struct CanaryStep {
    /// Datagrams to send.
    pub datagrams: Vec<(ReplicaId, Vec<u8>)>,
    pub rollback: Option<Rollback>,
}

/// A change to roll back.
pub struct Rollback {
    /// The document that the change made active.
    pub digest: Digest,
    /// How far the share of requests served in time fell in the plans that the change affects, compared with the
    /// other plans.
    pub drop: f64,
}

/// Runs the canary analysis of this limiter.
pub struct CanaryMonitor {
    settings: Settings,
    own: ReplicaId,
    replicas: ReplicaId,
    /// The outcomes counted here in the latest seconds.
    recent: VecDeque<SecondOutcomes>,
    /// The latest change that was analyzed.
    change: Option<AnalyzedChange>,
    /// The second of the latest step.
    last_step_second: u64,
}

impl CanaryMonitor {
    /// Creates an analysis over all replicas. `settings` must have been checked.
    pub fn new(settings: Settings, own: ReplicaId, replicas: ReplicaId) -> CanaryMonitor {
        CanaryMonitor { settings, own, replicas, recent: VecDeque::new(), change: None, last_step_second: 0 }
    }

    /// Starts the analysis of a version that became active at `activated_at`. `touched` marks the plans that it
    /// affects.
    pub fn begin(&mut self, version: Slot, digest: Digest, activated_at: Micros, touched: Vec<bool>) {
        let spans = (self.settings.baseline_s, self.settings.analysis_s);
        let Ok(analysis) = CanaryAnalysis::new(self.settings.clone()) else { return };
        let mut analyzed = AnalyzedChange {
            version,
            digest,
            touched,
            outcomes: OutcomeAggregator::new((self.own, self.replicas), version, activated_at, spans),
            analysis,
            verdict: Verdict::Goes,
            is_replaced: false,
            is_held: false,
            limiters: 0,
            seconds_before: 0,
            seconds_after: 0,
        };
        self.recent.iter().for_each(|outcomes| analyzed.add_outcomes(outcomes));
        self.change = Some(analyzed);
    }

    /// Records that `digest` became active. If it is another document, the analysis of the change ends. `is_held` tells
    /// whether both documents have the same values.
    pub fn on_version_active(&mut self, digest: Digest, is_held: bool) {
        if let Some(analyzed) =
            self.change.as_mut().filter(|change| change.digest != digest && !change.is_replaced)
        {
            (analyzed.is_replaced, analyzed.is_held) = (true, is_held);
        }
    }

    /// Records the outcomes counted here in one second of the replicas' clock.
    pub fn record_second(&mut self, outcomes: SecondOutcomes) {
        if let Some(analyzed) = self.analyzed_change() {
            analyzed.add_outcomes(&outcomes);
        }
        self.recent.push_back(outcomes);
        while self.recent.len() as u64 > u64::from(self.settings.baseline_s) + 2 {
            self.recent.pop_front();
        }
    }

    /// Handles a datagram from another replica.
    ///
    /// # Errors
    /// Returns an error if the datagram is damaged, or concerns a version that is not under analysis here.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), DatagramError> {
        self.analyzed_change()
            .map_or(Err(DatagramError::UnknownSender), |analyzed| analyzed.outcomes.receive(bytes))
    }

    /// Returns the change that is under analysis now.
    fn analyzed_change(&mut self) -> Option<&mut AnalyzedChange> {
        self.change.as_mut().filter(|change| !change.is_replaced)
    }

    /// Evaluates the change under analysis, once a second.
    pub fn step(&mut self, now: Micros) -> CanaryStep {
        let second = now / 1_000_000;
        if second == self.last_step_second {
            return CanaryStep::default();
        }
        self.last_step_second = second;
        let Some(analyzed) = self.analyzed_change() else { return CanaryStep::default() };
        if analyzed.verdict != Verdict::Stands {
            if let Some(tree) = analyzed.outcomes.evaluated_tree() {
                let (passed, before, after, limiters) = analyzed.outcomes.collected_outcomes(tree, second);
                analyzed.verdict = analyzed.analysis.evaluate(passed, &before, &after);
                analyzed.limiters = limiters;
                (analyzed.seconds_before, analyzed.seconds_after) = (before.len(), after.len());
            }
        }
        let rollback = match analyzed.verdict {
            Verdict::Undo { drop, .. } => Some(Rollback { digest: analyzed.digest, drop }),
            Verdict::Goes | Verdict::Stands => None,
        };
        CanaryStep { datagrams: analyzed.outcomes.step(second), rollback }
    }

    /// Returns the latest analyzed change as shown to operators; null if there was none.
    pub fn status(&self) -> Value {
        let Some(change) = &self.change else { return Value::Null };
        let state = match change.verdict {
            Verdict::Stands => "stands",
            _ if change.is_held => "held",
            Verdict::Undo { .. } if change.is_replaced => "undone",
            Verdict::Undo { .. } => "undo",
            _ if change.is_replaced => "replaced",
            Verdict::Goes => "watched",
        };
        let (drop, after_s) = match change.verdict {
            Verdict::Undo { drop, at_s } => (Some(drop), Some(at_s)),
            _ => (None, None),
        };
        json!({
            "version": change.version, "state": state, "judges": change.outcomes.evaluated_tree().is_some(),
            "drop": drop, "after_s": after_s, "limiters": change.limiters,
            "seconds_before": change.seconds_before, "seconds_after": change.seconds_after,
        })
    }
}

impl AnalyzedChange {
    /// Adds the outcomes of one second. Before the change, requests under earlier versions count; after it, requests
    /// under the changed version or later ones. Requests accepted under one version that ended under the next are
    /// left out.
    fn add_outcomes(&mut self, outcomes: &SecondOutcomes) {
        let Some(after) = self.outcomes.is_after_change(outcomes.second) else { return };
        let (mut touched, mut control) = (OutcomeCounts::default(), OutcomeCounts::default());
        let counted = outcomes.versions.iter().filter(|(version, _)| (**version >= self.version) == after);
        for (plan, counts) in counted.flat_map(|(_, plans)| plans.iter().enumerate()) {
            let is_touched = self.touched.get(plan).copied().unwrap_or(false);
            let group = if is_touched { &mut touched } else { &mut control };
            group.add(*counts);
        }
        self.outcomes.record_own(
            outcomes.second,
            (touched.ended, touched.served),
            (control.ended, control.served),
        );
    }
}
