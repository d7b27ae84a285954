//! Tests of the proposer: which value its ballot proposes, and when the value is decided.

use super::*;
use crate::Digest;

const QUORUM: usize = 2;

fn change(byte: u8) -> Value {
    Value::Change { digest: Digest([byte; 16]), at: 1_000 }
}

fn proposer(required: &[ReplicaId]) -> Proposer {
    let ballot = Ballot { round: 5, replica: 0 };
    Proposer::new(ballot, change(1), required.iter().copied().collect(), 0)
}

fn accepted_in(round: u32, value: Value) -> Option<AcceptedValue> {
    Some(AcceptedValue { ballot: Ballot { round, replica: 2 }, value })
}

#[test]
fn own_value_is_proposed_if_a_quorum_has_accepted_none() {
    let mut proposer = proposer(&[]);
    proposer.record_promise(0, None, QUORUM);
    assert!(proposer.is_preparing());
    proposer.record_promise(1, None, QUORUM);
    let acceptances = BTreeSet::new();
    assert_eq!(
        proposer.phase,
        Phase::Accepting { value: change(1), previously_accepted: false, acceptances }
    );
}

#[test]
fn value_accepted_in_the_highest_ballot_is_proposed() {
    let mut proposer = proposer(&[]);
    proposer.record_promise(1, accepted_in(4, change(2)), 3);
    proposer.record_promise(0, accepted_in(3, change(3)), 3);
    proposer.record_promise(2, None, 3);
    let acceptances = BTreeSet::new();
    assert_eq!(proposer.phase, Phase::Accepting { value: change(2), previously_accepted: true, acceptances });
}

#[test]
fn second_phase_waits_for_promises_of_required_replicas() {
    let mut proposer = proposer(&[2]);
    proposer.record_promise(0, None, QUORUM);
    proposer.record_promise(1, None, QUORUM);
    assert!(proposer.is_preparing());
    assert_eq!(proposer.missing_promises(), [2]);
    proposer.record_promise(2, None, QUORUM);
    assert!(!proposer.is_preparing());
    assert_eq!(proposer.missing_promises(), []);
}

#[test]
fn decision_needs_a_quorum_of_distinct_replicas() {
    let mut proposer = proposer(&[]);
    assert_eq!(proposer.record_acceptance(1, QUORUM), None, "acceptance before the second phase");
    proposer.record_promise(0, None, QUORUM);
    proposer.record_promise(1, None, QUORUM);
    assert_eq!(proposer.record_acceptance(1, QUORUM), None);
    assert_eq!(proposer.record_acceptance(1, QUORUM), None, "repeated acceptance of the same replica");
    assert_eq!(proposer.record_acceptance(2, QUORUM), Some(change(1)));
}
