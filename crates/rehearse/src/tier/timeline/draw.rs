//! Generation of random timelines from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::step::{Step, DATAGRAM_KINDS, LINK_STATES, SERVICES};
use crate::tier::{NetworkConditions, StoreState};

/// Seeds that are multiples of this generate a timeline that begins with a harmful change.
const HARMFUL_CHANGE_EVERY: u64 = 4;
/// Fraction of the generated timelines that have faults of the links to services.
const SERVICE_FAULTS_PROBABILITY: f64 = 0.5;

/// Generates a timeline. The same seed always gives the same timeline.
///
/// At most one restart finds its store missing or truncated, as a majority without stores would wait for an operator.
/// Every fourth timeline begins with a harmful change and has no undo steps, so that only canary analysis rolls the
/// change back.
pub fn draw(seed: u64, limiters: u32) -> Vec<Step> {
    let mut steps = FaultGenerator::new(seed, limiters).draw();
    if seed.is_multiple_of(HARMFUL_CHANGE_EVERY) {
        steps.retain(|step| !matches!(step, Step::Undo { .. }));
        if let Some(Step::Change { at, .. }) = steps.first().cloned() {
            steps[0] = Step::HarmfulChange { at, undo: true };
        }
    }
    insert_service_faults(&mut steps, seed, limiters);
    steps
}

/// Inserts faults of the links to services. They are drawn from a separate random number generator, so that they don't
/// change the other steps of a seed.
fn insert_service_faults(steps: &mut Vec<Step>, seed: u64, limiters: u32) {
    let mut rng = StdRng::seed_from_u64(!seed);
    if !rng.random_bool(SERVICE_FAULTS_PROBABILITY) {
        return;
    }
    for _ in 0..rng.random_range(1..4) {
        let link = Step::Link {
            limiter: rng.random_range(0..limiters),
            to: SERVICES[rng.random_range(0..2)].0,
            state: LINK_STATES[rng.random_range(0..3)].0,
        };
        steps.insert(rng.random_range(0..=steps.len()), link);
    }
}

/// Draws all steps except faults of the links to services, and tracks the state of the tier that results from them.
struct FaultGenerator {
    rng: StdRng,
    limiters: u32,
    /// Limiters that were killed, or may be by a trigger, and were not restarted.
    down: Vec<u32>,
    /// Limiters whose processes are suspended.
    frozen: Vec<u32>,
    /// Whether a restart found its store missing or truncated.
    is_store_lost: bool,
}

impl FaultGenerator {
    fn new(seed: u64, limiters: u32) -> FaultGenerator {
        let rng = StdRng::seed_from_u64(seed);
        FaultGenerator { rng, limiters, down: Vec::new(), frozen: Vec::new(), is_store_lost: false }
    }

    fn draw(mut self) -> Vec<Step> {
        let count = self.rng.random_range(6..14);
        (0..count).map(|n| self.draw_step(n == 0)).collect()
    }

    /// Draws one step. The order of the draws determines which timeline a seed generates, so it must stay the same.
    fn draw_step(&mut self, is_first: bool) -> Step {
        let limiter = self.rng.random_range(0..self.limiters);
        let choice = self.rng.random_range(0..16);
        if is_first {
            return self.draw_change(limiter);
        }
        match choice {
            0..=3 => self.draw_change(limiter),
            4 => Step::Undo { at: limiter },
            5 if !self.down.contains(&limiter) => {
                self.down.push(limiter);
                Step::Kill { limiter }
            }
            6 | 7 if !self.down.contains(&limiter) => self.draw_kill_at(limiter),
            8 | 9 if !self.down.is_empty() => self.draw_restart(),
            10 if self.frozen.is_empty() => {
                self.frozen.push(limiter);
                Step::Freeze { limiter }
            }
            11 if !self.frozen.is_empty() => Step::Thaw { limiter: self.frozen.remove(0) },
            12 => Step::Split { below: self.rng.random_range(1..self.limiters) },
            13 => Step::Cut { from: limiter, to: (limiter + 1) % self.limiters },
            14 => Step::RestoreLinks,
            15 => self.draw_network_conditions(),
            _ => Step::Pause { ms: self.rng.random_range(100..1_500) },
        }
    }

    fn draw_change(&mut self, limiter: u32) -> Step {
        Step::Change { at: limiter, rate: f64::from(self.rng.random_range(40..140)) / 10.0 }
    }

    fn draw_kill_at(&mut self, limiter: u32) -> Step {
        self.down.push(limiter);
        let from = self.rng.random_range(0..self.limiters);
        let kind = DATAGRAM_KINDS[self.rng.random_range(0..DATAGRAM_KINDS.len())];
        Step::KillAt { limiter, from, kind, nth: self.rng.random_range(1..4) }
    }

    fn draw_restart(&mut self) -> Step {
        let limiter = self.down.swap_remove(self.rng.random_range(0..self.down.len()));
        let store = match self.rng.random_range(0..4) {
            0 if !self.is_store_lost => StoreState::Missing,
            1 if !self.is_store_lost => StoreState::Truncated,
            _ => StoreState::Intact,
        };
        self.is_store_lost |= store != StoreState::Intact;
        Step::Restart { limiter, store }
    }

    fn draw_network_conditions(&mut self) -> Step {
        Step::SetNetworkConditions(NetworkConditions {
            loss: f64::from(self.rng.random_range(0..30)) / 100.0,
            duplication: 0.1,
            corruption: 0.01,
            max_delay: Duration::from_millis(self.rng.random_range(0..400)),
        })
    }
}
