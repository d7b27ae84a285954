//! Captures from the model: what real limiters would have recorded of a described load.

use sedgestack_capture::{Capture, CounterState, Header, KeyedHash, Outcome, Record};
use sedgestack_fleet::Fleet;
use sedgestack_model::demand::Demand;
use sedgestack_model::{run, Fault, Scenario, Seen, SeenOutcome};

/// The moment at which such captures begin: no real one lies there.
const EPOCH: u64 = 946_684_800_000_000;

/// Runs a demand through the model and gives the capture of each limiter, in their order.
pub fn synthesize(
    fleet: &Fleet,
    demand: &Demand,
    faults: &[Fault],
    hash: KeyedHash,
    seed: u64,
) -> Vec<Capture> {
    let scenario = Scenario { fleet, demand, faults: faults.to_vec(), changes: Vec::new(), record: true };
    let seen = run(&scenario, seed).seen;
    (0..fleet.limiters()).map(|number| capture(fleet, number, &seen, hash)).collect()
}

fn capture(fleet: &Fleet, number: u32, seen: &[Seen], hash: KeyedHash) -> Capture {
    let records = seen.iter().filter(|s| s.limiter == number);
    Capture {
        header: Header {
            limiter: format!("n{number}"),
            number,
            limiters: fleet.limiters(),
            started: EPOCH,
            key_id: hash.id(),
            classes: fleet.classes.iter().map(|c| c.name.clone()).collect(),
            plans: fleet.plans.iter().map(|p| p.name.clone()).collect(),
            merged_from: Vec::new(),
        },
        records: records.map(|s| record(fleet, s, hash)).collect(),
        destinations: (0..fleet.workers()).map(|n| format!("w{n}")).collect(),
        dropped: 0,
        damage: None,
    }
}

fn record(fleet: &Fleet, s: &Seen, hash: KeyedHash) -> Record {
    let keyed = matches!(fleet.classes[s.class].repeats, sedgestack_fleet::Repeats::Keyed { .. });
    Record {
        at: EPOCH + s.at,
        class: s.class as u16,
        plan: s.plan as u16,
        customer: hash.of(&s.customer.to_le_bytes()),
        key: if keyed { hash.of(&s.key.to_le_bytes()) } else { 0 },
        units: s.units as f32,
        spread: s.spread as u16,
        first: s.first as u16,
        patience_ms: (s.patience / 1_000) as u32,
        // Clients of this platform mark no retries.
        retry: false,
        outcome: match s.outcome {
            SeenOutcome::Served => Outcome::Served,
            SeenOutcome::Refused => Outcome::Refused,
            SeenOutcome::Failed => Outcome::Failed,
            SeenOutcome::Abandoned => Outcome::Abandoned,
        },
        latency: s.latency.min(u32::MAX.into()) as u32,
        destination: s.worker.map(|w| w as u16),
        attempts: s.attempts.min(u8::MAX.into()) as u8,
        counter: if s.counter_answers { CounterState::Answering } else { CounterState::Silent },
        source: 0,
        rules: None,
    }
}
