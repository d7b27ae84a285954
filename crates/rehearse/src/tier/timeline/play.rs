//! Plays a timeline on a tier under load and checks the recorded answers afterwards.

use std::path::PathBuf;
use std::time::Duration;

use sedgestack_consensus::Digest;
use sedgestack_fleet::Fleet;
use serde::Serialize;
use serde_json::Value;

use super::step::Step;
use crate::tier::invariants::{CheckReport, HarmfulChangeCost};
use crate::tier::{NetworkConditions, Options, StoreState, Tier, Trigger, CANARY_SETTINGS};
use crate::Failure;

/// Maximum difference between the limiters' clocks in the settings of played tiers, in microseconds.
const MAX_CLOCK_DIFFERENCE_US: u64 = 100_000;
/// Index in the fleet file of the plan that a harmful change affects.
const HARMED_PLAN_INDEX: usize = 2;
/// Recorded time that canary analysis needs as a baseline before a harmful change begins.
const MIN_BASELINE: Duration = Duration::from_secs(8);
/// The plan rate that timelines assume, in units per second. Rates in timelines are scaled from it to the rate of the
/// fleet's plan.
const REFERENCE_RATE: f64 = 7.2;

/// The result of playing a timeline.
#[derive(Clone, Debug, Serialize)]
pub struct PlayResult {
    /// The result of checking the recorded answers.
    pub found: CheckReport,
    /// Number of changes and undos that were begun.
    pub begun: u32,
    /// Number of changes and undos that did not begin.
    pub refused: u32,
    /// Number of versions that became active, according to the first limiter's history.
    pub made: u32,
    /// Running limiters that did not report the outcome of the change begun there.
    pub untold: Vec<u32>,
    /// The diagnostics of each limiter, if the limiters did not agree on one version within a minute after all faults
    /// were removed. Empty if they did.
    pub stuck: Vec<String>,
    /// The cost of the harmful change, if one became active.
    pub ruin: Option<HarmfulChangeCost>,
}

impl PlayResult {
    /// Whether no invariant was violated, all outcomes were reported, and the limiters agreed on one version.
    pub fn holds(&self) -> bool {
        self.found.broken.is_empty() && self.untold.is_empty() && self.stuck.is_empty()
    }
}

/// The tier to play timelines on.
pub struct PlaySetup<'a> {
    /// The fleet. The load uses its plans and classes.
    pub fleet: &'a Fleet,
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Number of limiters in the tier.
    pub limiters: u32,
    /// Seed of the random numbers of the relay and the stand-ins.
    pub seed: u64,
}

impl PlaySetup<'_> {
    /// Plays a timeline under load, removes all faults, waits until the limiters agree on one version, and checks the
    /// recorded answers.
    ///
    /// # Errors
    /// If a socket or file operation fails, or a limiter does not start.
    pub fn run(&self, steps: &[Step]) -> Result<PlayResult, Failure> {
        let tier = Tier::start(self.fleet, self.options(steps))?;
        tier.adopt();
        tier.start_load();
        let mut run = Run::new(self, &tier);
        for step in steps {
            run.play(step)?;
        }
        run.remove_faults();
        let has_recovered = tier.eventually(|| run.has_recovered());
        tier.stop_load();
        Ok(run.finish(has_recovered))
    }

    fn options(&self, steps: &[Step]) -> Options {
        let mut options = Options { seed: self.seed, ..Options::quick(self.limiters, self.daemon.clone()) };
        if steps.iter().any(|step| matches!(step, Step::HarmfulChange { undo: true, .. })) {
            options.tier_block += CANARY_SETTINGS;
        }
        options
    }

    /// Reduces a failing timeline to steps that still fail. Tries to remove each step in turn, and keeps it if the
    /// timeline does not fail without it.
    ///
    /// # Errors
    /// As for [`PlaySetup::run`].
    pub fn minimize(&self, mut steps: Vec<Step>) -> Result<Vec<Step>, Failure> {
        let mut n = 0;
        while n < steps.len() {
            let mut fewer = steps.clone();
            fewer.remove(n);
            if self.run(&fewer)?.holds() {
                n += 1;
            } else {
                steps = fewer;
            }
        }
        Ok(steps)
    }
}

/// A timeline that is being played.
struct Run<'a> {
    tier: &'a Tier,
    limiters: u32,
    /// The plan that ordinary changes affect.
    changed_plan: &'a str,
    /// Factor that scales rates in timelines to the changed plan.
    rate_scale: f64,
    /// The plan that a harmful change affects.
    harmed_plan: &'a str,
    begun: u32,
    rejected: u32,
    /// Limiters at which changes or undos were begun; a limiter can occur several times.
    changed_at: Vec<u32>,
    /// Digest of the document of the harmful change, once it has begun.
    harmful_digest: Option<String>,
}

impl<'a> Run<'a> {
    fn new(play: &PlaySetup<'a>, tier: &'a Tier) -> Run<'a> {
        let plans = &play.fleet.plans;
        Run {
            tier,
            limiters: play.limiters,
            changed_plan: &plans[0].name,
            rate_scale: plans[0].rate / REFERENCE_RATE,
            harmed_plan: plans.get(HARMED_PLAN_INDEX).map_or("", |plan| &plan.name),
            begun: 0,
            rejected: 0,
            changed_at: Vec::new(),
            harmful_digest: None,
        }
    }

    /// Plays one step.
    fn play(&mut self, step: &Step) -> Result<(), Failure> {
        match step {
            Step::Change { .. } | Step::HarmfulChange { .. } | Step::Undo { .. } => self.play_change(step),
            Step::Kill { .. }
            | Step::KillAt { .. }
            | Step::Restart { .. }
            | Step::Freeze { .. }
            | Step::Thaw { .. } => return self.play_process_step(step),
            Step::Cut { .. }
            | Step::Split { .. }
            | Step::Link { .. }
            | Step::RestoreLinks
            | Step::SetNetworkConditions(_) => self.play_network_step(step),
            Step::Pause { ms } => std::thread::sleep(Duration::from_millis(*ms)),
        }
        Ok(())
    }

    /// Plays a step that begins a change or an undo.
    fn play_change(&mut self, step: &Step) {
        match step {
            Step::Change { at, rate } => {
                let document = self.tier.document_with_rate(*at, self.changed_plan, rate * self.rate_scale);
                let has_begun = self.tier.begin_change(*at, &document, "").is_ok();
                self.record_change(*at, has_begun);
            }
            Step::HarmfulChange { at, .. } => self.play_harmful_change(*at),
            Step::Undo { at } => {
                let response = self.tier.call(*at, "PUT", "rules/undo", "");
                self.record_change(*at, response.is_some_and(|response| response.status == 200));
            }
            _ => {}
        }
    }

    fn play_harmful_change(&mut self, at: u32) {
        self.tier.eventually(|| self.tier.recorded_duration() >= MIN_BASELINE);
        let document = self.tier.harmful_document(at, self.harmed_plan);
        let has_begun = self.tier.begin_change(at, &document, "").is_ok();
        self.record_change(at, has_begun);
        if has_begun {
            self.harmful_digest = Some(Digest::of(document.as_bytes()).to_string());
        }
    }

    /// Records whether a change or an undo at a limiter has begun.
    fn record_change(&mut self, at: u32, has_begun: bool) {
        if has_begun {
            self.begun += 1;
            self.changed_at.push(at);
        } else {
            self.rejected += 1;
        }
    }

    /// Plays a step that kills, restarts, suspends or resumes a process.
    fn play_process_step(&self, step: &Step) -> Result<(), Failure> {
        match step {
            Step::Kill { limiter } => self.tier.kill(*limiter),
            Step::KillAt { limiter, from, kind, nth } => {
                let _ = self.tier.schedule_kill(Trigger { from: *from, kind, nth: *nth }, *limiter);
            }
            Step::Restart { limiter, store } => return self.play_restart(*limiter, *store),
            Step::Freeze { limiter } => self.tier.freeze(*limiter),
            Step::Thaw { limiter } => self.tier.thaw(*limiter),
            _ => {}
        }
        Ok(())
    }

    fn play_restart(&self, limiter: u32, store: StoreState) -> Result<(), Failure> {
        // The limiter still runs if the trigger of its kill has not fired yet.
        self.tier.kill(limiter);
        match self.tier.restart(limiter, store) {
            // The trigger of a kill fired during the start, which has the same effect as a kill right after the start.
            Err(Failure::Killed { .. }) => Ok(()),
            started => started,
        }
    }

    /// Plays a step that changes links.
    fn play_network_step(&self, step: &Step) {
        let links = self.tier.links();
        match step {
            Step::Cut { from, to } => links.cut(*from, *to),
            Step::Split { below } => {
                let (lower, upper): (Vec<u32>, Vec<u32>) =
                    (0..self.limiters).partition(|limiter| limiter < below);
                links.partition(&[&lower, &upper]);
            }
            Step::Link { limiter, to, state } => links.set_service(*limiter, *to, *state),
            Step::RestoreLinks => links.restore(),
            Step::SetNetworkConditions(conditions) => links.set_conditions(*conditions),
            _ => {}
        }
    }

    /// Removes all faults except dead processes, which [`Run::has_recovered`] restarts.
    fn remove_faults(&self) {
        self.tier.links().restore();
        self.tier.links().set_conditions(NetworkConditions::default());
        self.tier.cancel_scheduled();
        (0..self.limiters).for_each(|limiter| self.tier.thaw(limiter));
    }

    /// Whether all limiters run and agree on one version, with no change or canary analysis under way. Restarts the
    /// limiters that are down.
    fn has_recovered(&self) -> bool {
        // Checked at each poll, since a limiter killed by one of the last triggers may exit only now.
        for limiter in (0..self.limiters).filter(|limiter| self.tier.has_exited(*limiter)) {
            if self.tier.restart(limiter, StoreState::Intact).is_err() {
                return false;
            }
        }
        let first = self.tier.status(0).unwrap_or_default();
        self.tier.all_limiters(|status| is_settled(status) && is_same_version(status, &first))
    }

    fn finish(self, has_recovered: bool) -> PlayResult {
        let mut found = self.tier.check_invariants(MAX_CLOCK_DIFFERENCE_US);
        let ruin = match self.harmful_digest.as_deref() {
            Some(digest) => self.tier.harmful_change_cost(digest, HARMED_PLAN_INDEX as u32),
            None => Ok(None),
        };
        let ruin = ruin.unwrap_or_else(|violation| {
            found.broken.push(violation);
            None
        });
        let untold = self.limiters_without_outcome();
        let made = self.activated_versions();
        let stuck = if has_recovered { Vec::new() } else { self.tier.diagnostics() };
        PlayResult { found, begun: self.begun, refused: self.rejected, made, untold, stuck, ruin }
    }

    /// Returns the running limiters that still report an open outcome of a change begun there.
    fn limiters_without_outcome(&self) -> Vec<u32> {
        let is_open = |limiter: &u32| {
            self.tier.status(*limiter).is_some_and(|status| status["begun_here"]["outcome"] == "open")
        };
        let mut limiters = self.changed_at.clone();
        limiters.sort_unstable();
        limiters.dedup();
        limiters.into_iter().filter(is_open).collect()
    }

    /// Returns the number of versions that became active, according to the first limiter.
    fn activated_versions(&self) -> u32 {
        let status = self.tier.status(0).unwrap_or_default();
        let history = status["history"].as_array().into_iter().flatten();
        history.filter(|version| version["void"] == false).count() as u32
    }
}

/// Whether a limiter knows the active version, and no change or canary analysis is under way there.
fn is_settled(status: &Value) -> bool {
    status["standing"] == "current"
        && status["version"] == status["decided"]
        && status["begun_here"]["outcome"] != "open"
        && status["watch"]["state"] != "watched"
        && status["watch"]["state"] != "undo"
}

fn is_same_version(status: &Value, other: &Value) -> bool {
    status["version"] == other["version"] && status["digest"] == other["digest"]
}
