//! Runs of the model, whose limiters are real gateways: every step of each of them is recorded.

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
    pub fn play(&self) -> Recording {
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
    let mut fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample has no fault");
    fleet.load.length = seconds * SECOND;
    fleet
}

/// A fleet of many limiters, through many of which each customer comes.
fn large(seconds: u64, workers: u32, limiters: u32, rate: f64) -> Fleet {
    let mut fleet = sample(seconds).with_backends(workers).with_limiters(limiters);
    for plan in &mut fleet.plans {
        plan.spread = (limiters / 2, limiters);
    }
    fleet.load.rate = rate;
    fleet
}

pub fn all() -> Vec<ModelRun> {
    let crowded = {
        let mut fleet = sample(12);
        fleet.load.rate *= 2.5;
        fleet
    };
    let mut tenth = sample(16);
    tenth.plans[2].rate /= 10.0;
    tenth.classes[0].latency_objective *= 2;
    let changes = vec![
        ConfigurationChange { at: 5 * SECOND, fleet: tenth },
        ConfigurationChange { at: 10 * SECOND, fleet: sample(16) },
    ];
    let counter_lost = Fault::CounterLost { at: 3 * SECOND, span: 4 * SECOND };
    let workers_die = Fault::BackendsCrash { at: 3 * SECOND, span: 4 * SECOND, share: 0.3 };
    let room = |silent| Fault::ZoneLost { at: 2 * SECOND, span: 4 * SECOND, zone: 1, limiters: true, silent };
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
        ModelRun { faults: vec![counter_lost], ..run("model-crowded-counter-lost", 202, 1_000, crowded) },
        ModelRun { faults: vec![room(false)], ..run("model-room-lost", 203, 500, sample(12)) },
        ModelRun {
            faults: vec![workers_die],
            ..run("model-thirty-workers-die", 204, 1_000, large(12, 30, 30, 220.0))
        },
        ModelRun {
            faults: vec![room(true), counter_lost],
            ..run("model-hundred-silent-room", 205, 2_000, large(8, 60, 100, 440.0))
        },
        run("model-three-hundred", 206, 2_000, large(5, 60, 300, 600.0)),
    ]
}
