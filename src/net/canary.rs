//! The canary analysis of a change in this limiter: its own outcomes by plan and second, the sums over all limiters,
//! and whether the change is to be rolled back. It does no I/O: the consensus actor sends and receives its datagrams
//! and proposes the rollback.

use std::collections::{BTreeMap, VecDeque};

use sedgestack::Micros;
use sedgestack_canary::{CanaryAnalysis, OutcomeAggregator, Settings, Verdict};
use sedgestack_consensus::{DatagramError, Digest, ReplicaId, Slot};
use serde_json::{json, Value};
use tokio::sync::mpsc;

#[cfg(test)]
mod tests;

/// The outcomes of one second: by version and plan, how many requests ended, and of them those served in time.
#[derive(Debug, Default, PartialEq)]
pub struct SecondOutcomes {
    /// Unix seconds by this limiter's clock.
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
    /// Counts the requests of so many plans.
    pub fn new(plans: usize, reports: mpsc::Sender<SecondOutcomes>) -> OutcomeRecorder {
        OutcomeRecorder { current: SecondOutcomes::default(), plans, reports }
    }

    /// A request of a plan, by its place in the configuration, has ended.
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

    /// Reports the current second once it has passed. The analysis expects that a second may come late or never: a full
    /// mailbox drops it.
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

/// Requests that ended, and of them those served in time.
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

/// One change that is watched.
struct WatchedChange {
    version: Slot,
    digest: Digest,
    /// By plan: whether the change touches it.
    touched: Vec<bool>,
    outcomes: OutcomeAggregator,
    analysis: CanaryAnalysis,
    verdict: Verdict,
    /// Whether another document has become active.
    is_replaced: bool,
    /// Whether that document has the same figures: then the change was held.
    is_held: bool,
    /// Limiters in the latest sum.
    limiters: ReplicaId,
    /// Seconds judged before and after the change.
    seconds_before: usize,
    seconds_after: usize,
}

/// What follows from a step.
#[derive(Default)]
pub struct CanaryStep {
    /// Datagrams to send.
    pub datagrams: Vec<(ReplicaId, Vec<u8>)>,
    pub rollback: Option<Rollback>,
}

/// A change that is to be rolled back.
pub struct Rollback {
    /// The document that the change made active.
    pub digest: Digest,
    /// By what share service fell in the plans that it touches, compared with the others.
    pub drop: f64,
}

/// The canary analysis of this limiter.
pub struct CanaryWatch {
    settings: Settings,
    own: ReplicaId,
    replicas: ReplicaId,
    /// What was counted here lately.
    recent: VecDeque<SecondOutcomes>,
    /// The latest change that was watched.
    change: Option<WatchedChange>,
    /// The second of the latest step.
    stepped_at: u64,
}

impl CanaryWatch {
    /// An analysis over all replicas, by settings that were checked.
    pub fn new(settings: Settings, own: ReplicaId, replicas: ReplicaId) -> CanaryWatch {
        CanaryWatch { settings, own, replicas, recent: VecDeque::new(), change: None, stepped_at: 0 }
    }

    /// A version that touches these plans became active at `activated_at`.
    pub fn begin(&mut self, version: Slot, digest: Digest, activated_at: Micros, touched: Vec<bool>) {
        let spans = (self.settings.baseline_s, self.settings.analysis_s);
        let Ok(analysis) = CanaryAnalysis::new(self.settings.clone()) else { return };
        let mut watched = WatchedChange {
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
        self.recent.iter().for_each(|t| watched.count(t));
        self.change = Some(watched);
    }

    /// `digest` became active: another document is no longer watched. `held` says that both have the same figures.
    pub fn on_version_active(&mut self, digest: Digest, held: bool) {
        if let Some(watched) = self.change.as_mut().filter(|w| w.digest != digest && !w.is_replaced) {
            (watched.is_replaced, watched.is_held) = (true, held);
        }
    }

    /// Records what was counted here in a second of the replicas' clock.
    pub fn record_second(&mut self, outcomes: SecondOutcomes) {
        if let Some(watched) = self.watched() {
            watched.count(&outcomes);
        }
        self.recent.push_back(outcomes);
        while self.recent.len() as u64 > u64::from(self.settings.baseline_s) + 2 {
            self.recent.pop_front();
        }
    }

    /// Handles a datagram of another replica.
    ///
    /// # Errors
    /// Where it is damaged, or about a version that is not watched here.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), DatagramError> {
        self.watched().map_or(Err(DatagramError::UnknownSender), |watched| watched.outcomes.receive(bytes))
    }

    /// The change that is watched now.
    fn watched(&mut self) -> Option<&mut WatchedChange> {
        self.change.as_mut().filter(|w| !w.is_replaced)
    }

    /// Evaluates the watched change, once a second.
    pub fn step(&mut self, now: Micros) -> CanaryStep {
        let second = now / 1_000_000;
        if second == self.stepped_at {
            return CanaryStep::default();
        }
        self.stepped_at = second;
        let Some(watched) = self.watched() else { return CanaryStep::default() };
        if watched.verdict != Verdict::Stands {
            if let Some(tree) = watched.outcomes.evaluated_tree() {
                let (passed, before, after, limiters) = watched.outcomes.collected_outcomes(tree, second);
                watched.verdict = watched.analysis.evaluate(passed, &before, &after);
                watched.limiters = limiters;
                (watched.seconds_before, watched.seconds_after) = (before.len(), after.len());
            }
        }
        let rollback = match watched.verdict {
            Verdict::Undo { drop, .. } => Some(Rollback { digest: watched.digest, drop }),
            Verdict::Goes | Verdict::Stands => None,
        };
        CanaryStep { datagrams: watched.outcomes.step(second), rollback }
    }

    /// The latest watched change, as operators are shown it; null where there was none.
    pub fn status(&self) -> Value {
        let Some(w) = &self.change else { return Value::Null };
        let state = match w.verdict {
            Verdict::Stands => "stands",
            _ if w.is_held => "held",
            Verdict::Undo { .. } if w.is_replaced => "undone",
            Verdict::Undo { .. } => "undo",
            _ if w.is_replaced => "replaced",
            Verdict::Goes => "watched",
        };
        let (drop, after_s) = match w.verdict {
            Verdict::Undo { drop, at_s } => (Some(drop), Some(at_s)),
            _ => (None, None),
        };
        json!({
            "version": w.version, "state": state, "judges": w.outcomes.evaluated_tree().is_some(), "drop": drop,
            "after_s": after_s, "limiters": w.limiters, "seconds_before": w.seconds_before,
            "seconds_after": w.seconds_after,
        })
    }
}

impl WatchedChange {
    /// Before the change the requests under earlier versions count, after it those under the changed one: not those that
    /// were accepted under one version and ended under the next.
    fn count(&mut self, outcomes: &SecondOutcomes) {
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
