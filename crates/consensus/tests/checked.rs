//! Model checking of the protocol: partitions, two proposers and a restart, in every order and at every time.
//!
//! Time advances in rounds. In each round every replica sends its datagrams, which arrive before the next round unless
//! the network is partitioned between sender and receiver. During the first rounds a run may partition the network,
//! heal it, let a second replica propose a change, and restart a replica, which loses its votes. No faults occur in the
//! later rounds.

use std::hash::Hash;

use sedgestack_consensus::{Digest, Micros, Replica, ReplicaId, ReplicaStatus, Settings};
use stateright::{Checker, HasDiscoveries, Model, Property};

const ROUND: Micros = 1_000_000;
const REPLICAS: ReplicaId = 3;
/// Round of the first proposal, and the first round in which faults may occur.
const PROPOSED_AT: u8 = 3;
/// Number of rounds without faults after which every vote must be finished.
const SETTLING_ROUNDS: u8 = 60;

fn settings(replica: ReplicaId) -> Settings {
    Settings {
        replica,
        replicas: REPLICAS,
        heartbeat_interval: ROUND,
        fanout: 2,
        lease: 4 * ROUND,
        max_clock_skew: 0,
        activation_delay: 14 * ROUND,
        max_datagrams_per_second: 40,
    }
}

fn start(replica: ReplicaId, first: bool) -> Replica {
    Replica::new(settings(replica), u64::from(replica) + 1, None, first).expect("the settings are valid")
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    round: u8,
    replicas: Vec<Replica>,
    /// The replica that is cut off from the others; [`REPLICAS`] means that all are cut off from each other.
    cut_off: Option<ReplicaId>,
    partitions: u8,
    has_restarted: bool,
    has_second_proposal: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    NoFault,
    CutOff(ReplicaId),
    Heal,
    Restart(ReplicaId),
    Propose(ReplicaId),
}

/// The checked model: the protocol, or a mutant of it that breaks a guarantee.
struct Tier {
    /// The first round in which faults no longer occur.
    fault_rounds: u8,
    /// How often the network may be partitioned.
    partitions: u8,
    /// Enables the mutant: a replica that has lost its votes votes again at once.
    votes_though_lost: bool,
}

/// Model that is small enough for every test run.
const SMALL: Tier = Tier { fault_rounds: 10, partitions: 1, votes_though_lost: false };
/// Model that takes minutes to check.
const LARGE: Tier = Tier { fault_rounds: 14, partitions: 2, votes_though_lost: false };

impl Tier {
    fn advance(&self, state: &mut State) {
        state.round += 1;
        let now = (u64::from(state.round) + 1_000) * ROUND;
        let mut sent = Vec::new();
        for (from, replica) in state.replicas.iter_mut().enumerate() {
            for datagram in replica.tick(now) {
                sent.push((from as ReplicaId, datagram));
            }
            replica.take_events();
        }
        for (from, datagram) in sent {
            let is_lost = state.cut_off.is_some_and(|m| m == from || m == datagram.to || m == REPLICAS);
            if !is_lost {
                state.replicas[usize::from(datagram.to)]
                    .receive(now, &datagram.bytes)
                    .expect("the datagram is valid");
            }
        }
        if state.round == PROPOSED_AT {
            propose(state, 0, b"one");
        }
    }
}

fn propose(state: &mut State, replica: ReplicaId, document: &[u8]) {
    let now = (u64::from(state.round) + 1_000) * ROUND;
    let replica = &mut state.replicas[usize::from(replica)];
    let parent = replica.decided().0;
    // A replica may be unable to propose the change, which is a valid outcome.
    let _ = replica.propose(now, document.to_vec(), parent);
}

impl Model for Tier {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let replicas = (0..REPLICAS).map(|replica| start(replica, true)).collect();
        vec![State {
            round: 0,
            replicas,
            cut_off: None,
            partitions: 0,
            has_restarted: false,
            has_second_proposal: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.round >= self.fault_rounds + SETTLING_ROUNDS {
            return;
        }
        if state.round >= self.fault_rounds && state.cut_off.is_some() {
            return steps.push(Step::Heal);
        }
        steps.push(Step::NoFault);
        if state.round < PROPOSED_AT || state.round >= self.fault_rounds {
            return;
        }
        if state.cut_off.is_some() {
            steps.push(Step::Heal);
        } else if state.partitions < self.partitions {
            steps.extend((0..=REPLICAS).map(Step::CutOff));
        }
        if !state.has_restarted {
            steps.extend((0..REPLICAS).map(Step::Restart));
        }
        if !state.has_second_proposal {
            steps.push(Step::Propose(2));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::NoFault => {}
            Step::CutOff(replica) => {
                state.cut_off = Some(replica);
                state.partitions += 1;
            }
            Step::Heal => state.cut_off = None,
            Step::Restart(replica) => {
                state.has_restarted = true;
                state.replicas[usize::from(replica)] = start(replica, self.votes_though_lost);
            }
            Step::Propose(replica) => {
                state.has_second_proposal = true;
                propose(&mut state, replica, b"two");
            }
        }
        self.advance(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("replicas agree on every version", |_, state: &State| {
                let decided: Vec<_> = state.replicas.iter().map(Replica::decided).collect();
                decided.iter().all(|a| decided.iter().all(|b| a.0 != b.0 || a.1 == b.1))
            }),
            Property::always("current replicas serve the same version", |_, state: &State| {
                let current = state.replicas.iter().filter(|n| n.status() == ReplicaStatus::Current);
                let served: Vec<_> = current.map(|n| n.active_version().1.map(Digest::of)).collect();
                served.windows(2).all(|w| w[0] == w[1])
            }),
            Property::always("every vote is finished", |tier: &Tier, state: &State| {
                let is_settled = |n: &Replica| {
                    n.status() == ReplicaStatus::Current && n.active_version().0 == n.decided().0
                };
                let are_same =
                    state.replicas.windows(2).all(|w| w[0].active_version() == w[1].active_version());
                state.round < tier.fault_rounds + SETTLING_ROUNDS
                    || (are_same && state.replicas.iter().all(is_settled))
            }),
            Property::sometimes("the first change becomes active", |_, state: &State| {
                state.replicas.iter().all(|n| n.active_version().1 == Some(b"one"))
            }),
            Property::sometimes("the second change becomes active", |_, state: &State| {
                state.replicas.iter().all(|n| n.active_version().1 == Some(b"two"))
            }),
            Property::sometimes("a void version becomes active", |_, state: &State| {
                state.replicas.iter().all(|n| n.active_version().0 > 0 && n.active_version().1.is_none())
            }),
        ]
    }
}

fn check_guarantees(tier: Tier) {
    let checked = tier.checker().threads(4).spawn_bfs().join();
    println!("{} states, depth {} rounds", checked.unique_state_count(), checked.max_depth());
    for property in [
        "replicas agree on every version",
        "current replicas serve the same version",
        "every vote is finished",
    ] {
        if let Some(path) = checked.discovery(property) {
            let last = path.last_state();
            let replicas: Vec<_> =
                last.replicas.iter().map(|n| (n.status(), n.decided(), n.active_version().0)).collect();
            let steps: Vec<Step> = path.into_actions();
            panic!("property violated: {property}, after {steps:?}: {replicas:?}");
        }
    }
    for event in [
        "the first change becomes active",
        "the second change becomes active",
        "a void version becomes active",
    ] {
        assert!(checked.discovery(event).is_some(), "never happens: {event}");
    }
}

#[test]
fn guarantees_hold_with_one_partition() {
    check_guarantees(SMALL);
}

/// `cargo test --release -p sedgestack-consensus --test checked -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn guarantees_hold_with_two_partitions() {
    check_guarantees(LARGE);
}

#[test]
fn checker_catches_votes_by_a_replica_that_lost_its_votes() {
    let mutant = Tier { partitions: 2, fault_rounds: 12, votes_though_lost: true };
    let checked = mutant.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    assert!(
        checked.discovery("replicas agree on every version").is_some(),
        "{} states",
        checked.unique_state_count()
    );
}
