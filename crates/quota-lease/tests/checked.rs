//! Model checking of leases: requests, replies, failures, sends and restarts in every order.
//!
//! The model has two limiters with equal clocks, and windows of two seconds. In each window the counter grants two
//! units and each limiter has a local share of one unit. The steps within a second are taken in every order.

use std::hash::{Hash, Hasher};

use sedgestack_quota_lease::{Lease, LeaseRequest, LeaseTerms, Micros};
use stateright::{Checker, HasDiscoveries, Model, Property};

const SECOND: Micros = 1_000_000;
const WINDOWS: usize = 2;

const TERMS: LeaseTerms = LeaseTerms {
    rate: 1.0,
    burst: 2.0,
    limiters: 2,
    counter_fraction: 1.0,
    lent_fraction: 0.0,
    local_share_fraction: 1.0,
    lenders: 1,
    max_clock_skew: 0,
    max_send_delay: 0,
    counters: 1,
};

#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingRequest {
    request: LeaseRequest,
    /// The total after the amount was added; `None` if it has not been added yet.
    total: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    second: u64,
    leases: Vec<Lease>,
    /// Each limiter's pending request.
    pending: [Option<PendingRequest>; 2],
    totals: [f64; WINDOWS],
    sent: [u32; WINDOWS],
    failures: u8,
    restarts: u8,
    total_losses: u8,
}

// The state contains no NaN, so equality is reflexive.
impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Second,
    Request(usize),
    Add(usize),
    Reply(usize),
    Fail(usize),
    Send(usize),
    Restart(usize),
    LoseTotals,
}

/// The checked model: the default is the implementation, and each flag enables a mutant that the checker must catch.
#[derive(Clone, Copy, Default)]
struct Tier {
    /// A grant expires with the window in which its reply arrives.
    expires_from_reply: bool,
    /// A restarted limiter has its local share at once.
    has_share_at_once: bool,
    /// The counter may lose its totals.
    loses_totals: bool,
}

impl Model for Tier {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            second: 0,
            leases: vec![Lease::new(TERMS, 0); 2],
            pending: [None; 2],
            totals: [0.0; WINDOWS],
            sent: [0; WINDOWS],
            failures: 0,
            restarts: 0,
            total_losses: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.second + 1 < 2 * WINDOWS as u64 {
            steps.push(Step::Second);
        }
        for limiter in 0..2 {
            steps.push(Step::Send(limiter));
            match state.pending[limiter] {
                None => steps.push(Step::Request(limiter)),
                Some(PendingRequest { total: None, .. }) => steps.push(Step::Add(limiter)),
                Some(PendingRequest { total: Some(_), .. }) => steps.push(Step::Reply(limiter)),
            }
            // A failed request may have been added to the total, which the limiter does not know.
            if state.pending[limiter].is_some() && state.failures < 2 {
                steps.push(Step::Fail(limiter));
            }
            if state.restarts == 0 {
                steps.push(Step::Restart(limiter));
            }
        }
        if self.loses_totals && state.total_losses == 0 {
            steps.push(Step::LoseTotals);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        let now = state.second * SECOND;
        let window = |at: Micros| (at / TERMS.window_length()) as usize;
        match step {
            Step::Second => state.second += 1,
            Step::Request(limiter) => {
                state.pending[limiter] = Some(PendingRequest {
                    request: state.leases[limiter].next_request(now, 1.0)?,
                    total: None,
                });
            }
            Step::Add(limiter) => {
                let PendingRequest { request, .. } = state.pending[limiter]?;
                let total = &mut state.totals[request.window as usize];
                *total += request.amount;
                state.pending[limiter] = Some(PendingRequest { request, total: Some(*total) });
            }
            Step::Reply(limiter) => {
                let PendingRequest { mut request, total } = state.pending[limiter].take()?;
                if self.expires_from_reply {
                    request.window = window(now) as u64;
                }
                state.leases[limiter].on_grant(now, request, total?);
            }
            Step::Fail(limiter) => {
                state.failures += 1;
                let PendingRequest { request, .. } = state.pending[limiter].take()?;
                state.leases[limiter].on_failure(request);
            }
            Step::Send(limiter) => {
                if !state.leases[limiter].spend(now, 1.0) {
                    return None;
                }
                state.sent[window(now)] += 1;
            }
            Step::Restart(limiter) => {
                state.restarts += 1;
                state.pending[limiter] = None;
                // The mutant acts as if the limiter had been running since before this window.
                let started_at = if self.has_share_at_once { 0 } else { now };
                state.leases[limiter] = Lease::new(TERMS, started_at);
            }
            Step::LoseTotals => {
                state.total_losses += 1;
                state.totals = [0.0; WINDOWS];
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no window exceeds its allowance", |_, state: &State| {
                let most = TERMS.burst * (TERMS.counter_fraction + TERMS.local_share_fraction);
                state.sent.iter().all(|sent| f64::from(*sent) <= most)
            }),
            Property::sometimes("a window's allowance is used up", |_, state: &State| state.sent[1] == 4),
        ]
    }
}

#[test]
fn no_order_of_steps_exceeds_a_windows_allowance() {
    let checked = Tier::default().checker().threads(4).spawn_bfs().join();
    println!("{} states, depth {} steps", checked.unique_state_count(), checked.max_depth());
    checked.assert_properties();
}

#[test]
fn checker_catches_each_mutant() {
    let model = Tier::default();
    for (name, mutant) in [
        ("a grant expires with the window of its reply", Tier { expires_from_reply: true, ..model }),
        ("a restarted limiter has its local share at once", Tier { has_share_at_once: true, ..model }),
        ("the counter loses its totals", Tier { loses_totals: true, ..model }),
    ] {
        let checked = mutant.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        assert!(checked.discovery("no window exceeds its allowance").is_some(), "{name}");
    }
}
