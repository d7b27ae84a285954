//! Synthesizes captures from the model: what real limiters would have recorded of a demand.

use sedgestack_capture::{Capture, CounterState, Header, KeyedHash, Outcome, Record};
use sedgestack_fleet::{Fleet, Idempotency};
use sedgestack_model::demand::Demand;
use sedgestack_model::{run, Fault, ObservedOutcome, ObservedRequest, Scenario};

/// Start time of synthesized captures, in microseconds since 1970. It is the start of 2000, earlier than any real
/// capture.
const EPOCH: u64 = 946_684_800_000_000;

/// Runs a demand through the model and returns the capture of each limiter, by limiter number.
pub fn synthesize(
    fleet: &Fleet,
    demand: &Demand,
    faults: &[Fault],
    hash: KeyedHash,
    seed: u64,
) -> Vec<Capture> {
    let scenario = Scenario { fleet, demand, faults: faults.to_vec(), changes: Vec::new(), record: true };
    let observed = run(&scenario, seed).observed;
    (0..fleet.limiter_count()).map(|number| capture(fleet, number, &observed, hash)).collect()
}

fn capture(fleet: &Fleet, number: u32, observed: &[ObservedRequest], hash: KeyedHash) -> Capture {
    let records = observed.iter().filter(|request| request.limiter == number);
    Capture {
        header: Header {
            limiter: format!("n{number}"),
            number,
            limiters: fleet.limiter_count(),
            started: EPOCH,
            key_id: hash.id(),
            classes: fleet.classes.iter().map(|class| class.name.clone()).collect(),
            plans: fleet.plans.iter().map(|plan| plan.name.clone()).collect(),
            merged_from: Vec::new(),
        },
        records: records.map(|request| record(fleet, request, hash)).collect(),
        destinations: (0..fleet.backend_count()).map(|n| format!("w{n}")).collect(),
        dropped: 0,
        damage: None,
    }
}

fn record(fleet: &Fleet, request: &ObservedRequest, hash: KeyedHash) -> Record {
    let idempotency = fleet.classes[request.class].idempotency;
    let has_key = matches!(idempotency, Idempotency::IdempotencyKey { .. });
    Record {
        at: EPOCH + request.at,
        class: request.class as u16,
        plan: request.plan as u16,
        customer: hash.of(&request.customer.to_le_bytes()),
        key: if has_key { hash.of(&request.key.to_le_bytes()) } else { 0 },
        units: request.units as f32,
        spread: request.spread as u16,
        first: request.first_limiter as u16,
        patience_ms: (request.timeout / 1_000) as u32,
        // Simulated clients do not mark their retries.
        retry: false,
        outcome: match request.outcome {
            ObservedOutcome::Served => Outcome::Served,
            ObservedOutcome::Rejected => Outcome::Rejected,
            ObservedOutcome::Failed => Outcome::Failed,
            ObservedOutcome::Abandoned => Outcome::Abandoned,
        },
        latency: request.latency.min(u32::MAX.into()) as u32,
        destination: request.backend.map(|backend| backend as u16),
        attempts: request.attempts.min(u8::MAX.into()) as u8,
        counter: if request.is_counter_answering { CounterState::Answering } else { CounterState::Silent },
        source: 0,
        rules: None,
    }
}
