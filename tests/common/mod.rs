//! A small world for tests of the module alone.
#![allow(dead_code)]

use sedgestack::*;

pub const MS: Micros = 1_000;
pub const START: Micros = 1_000_000_000;

pub fn class(name: &str, worth: f64, effect: Effect) -> Class {
    Class { name: name.into(), worth, aim: 250 * MS, late_share: 0.0, effect }
}

/// Classes 0 `safe`, 1 `keyed` (group all, 1 s), 2 `unsafe`, 3 `keyed` within a cell; plan 0 has no
/// limits, plan 1 a rate of 10 with a burst of 20, plan 2 an open limit of 2, plan 3 a ceiling of 20.
pub fn settings() -> Settings {
    let plan = |name: &str| Plan {
        name: name.into(),
        rate: 0.0,
        burst: 0.0,
        open_limit: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        overrun_cost: 0.5,
        price: 1.0,
    };
    Settings {
        gateway: 0,
        gateways: 2,
        zone: "a".into(),
        tick: 2 * MS,
        classes: vec![
            class("safe", 1.0, Effect::Safe),
            class("keyed", 2.0, Effect::Keyed { group: Group::All, window: 1_000 * MS }),
            class("unsafe", 3.0, Effect::Unsafe),
            class("cell", 2.0, Effect::Keyed { group: Group::Cell, window: 1_000 * MS }),
        ],
        plans: vec![
            plan("free"),
            Plan { rate: 10.0, burst: 20.0, ..plan("rate") },
            Plan { open_limit: 2, ..plan("open") },
            Plan { ceiling_rate: 20.0, ceiling_burst: 20.0, ..plan("ceiling") },
        ],
        discovery: Discovery::Push,
        cold: ColdStart { share: 0.2, warm_after: 10_000 * MS, multiple: 2.0, window: 1_000 * MS },
        drain_grace: 250 * MS,
        max_attempts: 4,
        second_copies: false,
        cancel: true,
        probes: false,
        peer_messages: false,
        max_retry_after: 2_000 * MS,
        counter_timeout: Some(50 * MS),
        meter_period: 0,
        settles: false,
        max_units: 4.0,
    }
}

pub fn entry(backend: &str, state: BackendState) -> Listed {
    Listed { backend: backend.into(), state, zone: "a".into(), cell: 0, started: 0, weight: 1.0 }
}

pub fn list(version: u64, whole: bool, entries: Vec<Listed>) -> Event {
    Event::Backends { version, whole, list: entries.into() }
}

/// A request of customer 7, which comes in through two gateways.
pub fn taken(id: RequestId, class: usize, plan: usize) -> Request {
    Request { id, class, plan, customer: 7, units: 1.0, patience: 800 * MS, spread: 2 }
}

pub fn request(id: RequestId, class: usize, plan: usize) -> Event {
    Event::Request(taken(id, class, plan))
}

/// The end of an attempt after 40 ms.
pub fn over(request: RequestId, attempt: u32, outcome: Outcome, finished: bool) -> AttemptEnd {
    AttemptEnd {
        request,
        attempt,
        outcome,
        latency: 40 * MS,
        finished,
        metered: None,
        cost: None,
        report: LoadReport::default(),
    }
}

pub fn end(request: RequestId, attempt: u32, outcome: Outcome, finished: bool) -> Event {
    Event::AttemptEnded(over(request, attempt, outcome, finished))
}

/// The ends of all first attempts that `actions` send.
pub fn ends(actions: &[Action], outcome: Outcome) -> Vec<Event> {
    sends(actions).iter().map(|(r, _)| end(*r, 0, outcome, true)).collect()
}

pub fn answer(name: CounterName, total: f64) -> Event {
    Event::CounterAnswered { name, outcome: Outcome::Ok, total: Some(total) }
}

/// A gateway that knows `backends` warm backends, `b0` and on.
pub fn gateway(settings: Settings, backends: usize) -> Gateway {
    let mut g = Gateway::new(settings, 1).expect("settings are sound");
    let names: Vec<Listed> =
        (0..backends).map(|i| entry(&format!("b{i}"), BackendState::InService)).collect();
    g.handle(START, &[list(1, true, names)]);
    g
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, BackendId)> {
    let sent = |a: &Action| match a {
        Action::Send { request, backend, .. } => Some((*request, backend.clone())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// The counter calls among actions: name and amount.
pub fn counts(actions: &[Action]) -> Vec<(CounterName, f64)> {
    let call = |a: &Action| match a {
        Action::Count { name, amount, .. } => Some((*name, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}
