//! Plays a timeline on a tier under load, and checks the record afterwards.

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

/// The clocks' difference that the settings of played tiers state, microseconds.
const BOUND_US: u64 = 100_000;
/// The plan that a harmful change hits, by its place in the fleet file.
const HARMED_PLAN: usize = 2;
/// A harmful change waits until so much is on record for canary analysis to compare with.
const BASELINE: Duration = Duration::from_secs(8);
/// Rates in timelines are meant for a plan of this rate, and are scaled to the fleet's.
const REFERENCE_RATE: f64 = 7.2;

/// How a timeline went.
#[derive(Clone, Debug, Serialize)]
pub struct PlayResult {
    /// What the checker found in the record.
    pub found: CheckReport,
    /// Changes and undos that were begun.
    pub begun: u32,
    /// Changes and undos that were rejected at once.
    pub refused: u32,
    /// Versions that became active, by the first limiter's history.
    pub made: u32,
    /// Limiters that lived on and never reported what became of the change begun there.
    pub untold: Vec<u32>,
    /// Each limiter's diagnostics where they did not agree on one version within a minute after the last fault.
    pub stuck: Vec<String>,
    /// What a harmful change cost, where one was made.
    pub ruin: Option<HarmfulChangeCost>,
}

impl PlayResult {
    /// Whether everything held.
    pub fn holds(&self) -> bool {
        self.found.broken.is_empty() && self.untold.is_empty() && self.stuck.is_empty()
    }
}

/// What is played.
pub struct PlaySetup<'a> {
    /// The fleet file's contents; plans and classes of the load come from it.
    pub fleet: &'a Fleet,
    /// The daemon's binary.
    pub daemon: PathBuf,
    /// How many limiters the tier has.
    pub limiters: u32,
    /// Determines everything random in the tier's network and stand-ins.
    pub seed: u64,
}

impl PlaySetup<'_> {
    /// Plays a timeline under load; then all faults are taken back, and the record is checked.
    ///
    /// # Errors
    /// Where a socket, a file or a daemon can't be had.
    pub fn run(&self, steps: &[Step]) -> Result<PlayResult, Failure> {
        let tier = Tier::start(self.fleet, self.options(steps))?;
        tier.adopt();
        tier.start_load();
        let mut run = Run::new(self, &tier);
        for step in steps {
            run.play(step)?;
        }
        run.take_back_faults();
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

    /// The fewest steps of a failing timeline that still fail, dropping one at a time.
    ///
    /// # Errors
    /// As [`PlaySetup::run`].
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
    changed_plan: &'a str,
    /// From rates in timelines to rates of the changed plan.
    rate_scale: f64,
    harmed_plan: &'a str,
    begun: u32,
    rejected: u32,
    /// Where changes were begun.
    operators: Vec<u32>,
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
            harmed_plan: plans.get(HARMED_PLAN).map_or("", |plan| &plan.name),
            begun: 0,
            rejected: 0,
            operators: Vec::new(),
            harmful_digest: None,
        }
    }

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

    /// Steps of an operator.
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
        self.tier.eventually(|| self.tier.recorded_duration() >= BASELINE);
        let document = self.tier.harmful_document(at, self.harmed_plan);
        let has_begun = self.tier.begin_change(at, &document, "").is_ok();
        self.record_change(at, has_begun);
        if has_begun {
            self.harmful_digest = Some(Digest::of(document.as_bytes()).to_string());
        }
    }

    fn record_change(&mut self, at: u32, has_begun: bool) {
        if has_begun {
            self.begun += 1;
            self.operators.push(at);
        } else {
            self.rejected += 1;
        }
    }

    /// Steps that end, suspend or start processes.
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
        // Where the trigger of its kill has not fired yet, it still runs.
        self.tier.kill(limiter);
        match self.tier.restart(limiter, store) {
            // The trigger fired as it came up: it is down, as it would be a moment later.
            Err(Failure::Killed { .. }) => Ok(()),
            started => started,
        }
    }

    /// Steps that change links.
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

    fn take_back_faults(&self) {
        self.tier.links().restore();
        self.tier.links().set_conditions(NetworkConditions::default());
        self.tier.cancel_scheduled();
        (0..self.limiters).for_each(|limiter| self.tier.thaw(limiter));
    }

    /// Whether all limiters run and agree on one version, with nothing under way. Starts those that are down.
    fn has_recovered(&self) -> bool {
        // One that a trigger killed last may end only now.
        for limiter in (0..self.limiters).filter(|limiter| self.tier.has_exited(*limiter)) {
            if self.tier.restart(limiter, StoreState::Intact).is_err() {
                return false;
            }
        }
        let first = self.tier.status(0).unwrap_or_default();
        self.tier.all_limiters(|status| is_settled(status) && is_same_version(status, &first))
    }

    fn finish(self, has_recovered: bool) -> PlayResult {
        let mut found = self.tier.check_invariants(BOUND_US);
        let ruin = match self.harmful_digest.as_deref() {
            Some(digest) => self.tier.harmful_change_cost(digest, HARMED_PLAN as u32),
            None => Ok(None),
        };
        let ruin = ruin.unwrap_or_else(|violation| {
            found.broken.push(violation);
            None
        });
        let untold = self.operators_without_outcome();
        let made = self.versions_made();
        let stuck = if has_recovered { Vec::new() } else { self.tier.diagnostics() };
        PlayResult { found, begun: self.begun, refused: self.rejected, made, untold, stuck, ruin }
    }

    fn operators_without_outcome(&self) -> Vec<u32> {
        let is_open = |limiter: &u32| {
            self.tier.status(*limiter).is_some_and(|status| status["begun_here"]["outcome"] == "open")
        };
        let mut operators = self.operators.clone();
        operators.sort_unstable();
        operators.dedup();
        operators.into_iter().filter(is_open).collect()
    }

    fn versions_made(&self) -> u32 {
        let status = self.tier.status(0).unwrap_or_default();
        let history = status["history"].as_array().into_iter().flatten();
        history.filter(|version| version["void"] == false).count() as u32
    }
}

/// Whether a limiter knows the active version, and has neither a change nor canary analysis under way.
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
