//! Runs of the fleet model, which uses real limiters: every step of each of them is recorded.

use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, run_observed, ConfigurationChange, Fault, Scenario};

use crate::recording::{Recorder, Recording};

const SECOND: u64 = 1_000_000;

/// A run of the model.
pub struct ModelRun {
    pub name: &'static str,
    seed: u64,
    checkpoint_every: u64,
    fleet: Fleet,
    faults: Vec<Fault>,
    changes: Vec<ConfigurationChange>,
}

impl ModelRun {
    pub fn execute(&self) -> Recording {
        let demand = demand::draw(&self.fleet, self.seed);
        let (faults, changes) = (self.faults.clone(), self.changes.clone());
        let scenario = Scenario { faults, changes, ..Scenario::new(&self.fleet, &demand) };
        let mut recorder = Recorder::new(self.name, self.checkpoint_every);
        run_observed(&scenario, self.seed, &mut |step| {
            recorder.step(step.limiter, step.now, step.actions, None);
        });
        recorder.finish()
    }
}

fn sample(seconds: u64) -> Fleet {
    let text = include_str!("../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample is valid");
    fleet.load.length = seconds * SECOND;
    fleet
}

/// A fleet of many limiters in which each customer's requests arrive through at least half of them.
fn large(seconds: u64, backends: u32, limiters: u32, rate: f64) -> Fleet {
    let mut fleet = sample(seconds).with_backends(backends).with_limiters(limiters);
    for plan in &mut fleet.plans {
        plan.spread = (limiters / 2, limiters);
    }
    fleet.load.rate = rate;
    fleet
}

pub fn all() -> Vec<ModelRun> {
    let overloaded = {
        let mut fleet = sample(12);
        fleet.load.rate *= 2.5;
        fleet
    };
    let mut reduced = sample(16);
    reduced.plans[2].rate /= 10.0;
    reduced.classes[0].latency_objective *= 2;
    let changes = vec![
        ConfigurationChange { at: 5 * SECOND, fleet: reduced },
        ConfigurationChange { at: 10 * SECOND, fleet: sample(16) },
    ];
    let counter_lost = Fault::CounterLost { at: 3 * SECOND, span: 4 * SECOND };
    let backends_crash = Fault::BackendsCrash { at: 3 * SECOND, span: 4 * SECOND, share: 0.3 };
    let zone_lost =
        |silent| Fault::ZoneLost { at: 2 * SECOND, span: 4 * SECOND, zone: 1, limiters: true, silent };
    let run = |name, seed, checkpoint_every, fleet| ModelRun {
        name,
        seed,
        checkpoint_every,
        fleet,
        faults: Vec::new(),
        changes: Vec::new(),
    };
    vec![
        ModelRun { changes, ..run("model-rules", 201, 500, sample(16)) },
        ModelRun { faults: vec![counter_lost], ..run("model-crowded-counter-lost", 202, 1_000, overloaded) },
        ModelRun { faults: vec![zone_lost(false)], ..run("model-room-lost", 203, 500, sample(12)) },
        ModelRun {
            faults: vec![backends_crash],
            ..run("model-thirty-workers-die", 204, 1_000, large(12, 30, 30, 220.0))
        },
        ModelRun {
            faults: vec![zone_lost(true), counter_lost],
            ..run("model-hundred-silent-room", 205, 2_000, large(8, 60, 100, 440.0))
        },
        run("model-three-hundred", 206, 2_000, large(5, 60, 300, 600.0)),
    ]
}
