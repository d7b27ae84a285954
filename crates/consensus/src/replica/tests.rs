//! Tests of a single replica and the datagrams that it receives.

use super::*;
use crate::message::Heartbeat;
use crate::paxos::Ballot;
use crate::previous_document::PreviousDocument;

const ROUND: Micros = 250_000;

fn replica() -> Replica {
    replica_numbered(0)
}

fn replica_numbered(number: ReplicaId) -> Replica {
    let settings = Settings {
        replica: number,
        replicas: 3,
        heartbeat_interval: ROUND,
        fanout: 2,
        lease: 3_000_000,
        max_clock_skew: 400_000,
        activation_delay: 6_000_000,
        max_datagrams_per_second: 40,
    };
    Replica::new(settings, 1, None, true).expect("the settings are valid")
}

fn receive(replica: &mut Replica, now: Micros, from: ReplicaId, body: Body) {
    replica.receive(now, &Message { from, sent: now, body }.encode()).expect("the datagram is valid");
}

fn heartbeat(decided: Slot, value: Value) -> Body {
    Body::Heartbeat(Heartbeat {
        highest_accepted: decided,
        decided,
        value,
        is_active: false,
        has_lost_votes: false,
        first: 0,
        observations: Vec::new(),
    })
}

/// Returns the bodies of the messages that a replica sends in the rounds from `from` until `until`.
fn sent(replica: &mut Replica, from: Micros, until: Micros) -> Vec<Body> {
    let rounds = (from..until).step_by(ROUND as usize);
    let outgoing: Vec<OutgoingDatagram> = rounds.flat_map(|now| replica.tick(now)).collect();
    outgoing.iter().map(|o| Message::decode(&o.bytes).expect("the replica sent it").body).collect()
}

/// A vote needs a document that no replica has any more. The document of the decided version must still be requested.
#[test]
fn lost_document_of_a_proposal_does_not_block_the_decided_one() {
    let (mut replica, now) = (replica(), 10 * ROUND);
    let (lost, decided) = (Digest([1; 16]), Digest([2; 16]));
    let ballot = Ballot { round: 1, replica: 1 };
    receive(&mut replica, now, 1, Body::Prepare { slot: 1, ballot, document: Some(lost) });
    receive(&mut replica, now, 2, heartbeat(1, Value::Change { digest: decided, at: now + 1 }));
    let bodies = sent(&mut replica, now + ROUND, now + 20 * ROUND);
    let requests = bodies
        .iter()
        .filter(|b| matches!(b, Body::DocumentRequest { digest, .. } if *digest == decided))
        .count();
    assert!(requests >= 10, "{bodies:?}");
}

/// A proposal is rejected because of a higher ballot, whose proposer then dies before any value was accepted. The
/// replica must start another ballot, or its operator would never get an answer.
#[test]
fn proposal_superseded_by_a_dead_proposer_is_resumed() {
    let (mut replica, now) = (replica(), 10 * ROUND);
    for from in [1, 2] {
        receive(&mut replica, now, from, heartbeat(0, Value::Void { keeps: None }));
    }
    replica.tick(now);
    assert_eq!(replica.propose(now, b"a change".to_vec(), 0), Ok(1));
    let ballot = Ballot { round: 9, replica: 1 };
    receive(&mut replica, now, 2, Body::Rejected { slot: 1, ballot });
    // No replica has accepted a value, and the proposer of the other ballot sends no requests.
    let mut resumed = None;
    for n in 1..60 {
        let at = now + n * ROUND;
        for from in [1, 2] {
            receive(&mut replica, at, from, heartbeat(0, Value::Void { keeps: None }));
        }
        let bodies = sent(&mut replica, at, at + 1);
        let is_new_ballot = |b: &Body| matches!(b, Body::Prepare { ballot, .. } if ballot.round > 9);
        resumed = resumed.or(bodies.iter().any(is_new_ballot).then_some(n));
    }
    assert!(resumed.is_some(), "the replica must start a higher ballot");
}

#[test]
fn decision_makes_peers_idle_that_accepted_nothing_above_it() {
    let (mut replica, now) = (replica(), 10 * ROUND);
    let void = Value::Void { keeps: None };
    let Body::Heartbeat(idle) = heartbeat(0, void) else { unreachable!("heartbeat() returns a heartbeat") };
    receive(&mut replica, now, 1, Body::Heartbeat(Heartbeat { highest_accepted: 1, ..idle }));
    assert_eq!(replica.peers.last_idle_times().count(), 0, "the peer has accepted a value in the open slot");
    receive(&mut replica, now + 1, 2, heartbeat(1, void));
    assert_eq!(replica.decided(), (1, void));
    assert_eq!(replica.peers.last_idle_times().collect::<Vec<_>>(), [now, now + 1]);
}

/// Guards against an undo that takes back too much: the document that a limiter served before it missed versions is
/// not the one before the active version. Peers that served all versions know that one.
#[test]
fn replica_that_missed_versions_learns_the_previous_document_from_a_peer() {
    let (mut behind, mut peer, now) = (replica(), replica_numbered(1), 10 * ROUND);
    behind.replace_previous_document(1, b"served long ago".to_vec());
    peer.replace_previous_document(3, b"before version 3".to_vec());
    let digest = Digest::of(b"before version 3");
    behind.recover_previous_document(3);
    assert_eq!(behind.previous_document(), PreviousDocument::Missed);
    // Datagrams to replica 2, which is down, are lost.
    for round in 0..20 {
        let now = now + round * ROUND;
        for datagram in behind.tick(now).iter().filter(|datagram| datagram.to == 1) {
            peer.receive(now, &datagram.bytes).expect("the datagram is valid");
        }
        for datagram in peer.tick(now).iter().filter(|datagram| datagram.to == 0) {
            behind.receive(now, &datagram.bytes).expect("the datagram is valid");
        }
    }
    assert_eq!(behind.previous_document(), PreviousDocument::Digest(digest));
    assert_eq!(behind.document(&digest), Some(&b"before version 3"[..]), "the document is fetched as well");
    let learned = ReplicaEvent::PreviousDocumentLearned { slot: 3, digest: Some(digest) };
    assert_eq!(behind.take_events().iter().filter(|event| **event == learned).count(), 1);
}

/// A peer that has missed versions itself, or knows the document before another version, must not answer.
#[test]
fn previous_document_is_told_only_by_a_peer_that_knows_it_for_that_version() {
    let (mut replica, now) = (replica(), 10 * ROUND);
    let answers = |replica: &mut Replica, slot| {
        receive(replica, now, 1, Body::PreviousDocumentRequest { slot });
        let bodies: Vec<Body> =
            replica.tick(now).iter().map(|o| Message::decode(&o.bytes).expect("sent").body).collect();
        bodies.into_iter().filter(|body| matches!(body, Body::PreviousDocument { .. })).collect::<Vec<_>>()
    };
    replica.replace_previous_document(2, b"before version 2".to_vec());
    assert_eq!(answers(&mut replica, 3), []);
    let digest = Some(Digest::of(b"before version 2"));
    assert_eq!(answers(&mut replica, 2), [Body::PreviousDocument { slot: 2, digest }]);
    replica.keep_previous_document(3);
    assert_eq!(answers(&mut replica, 3), [Body::PreviousDocument { slot: 3, digest }]);
    replica.recover_previous_document(5);
    assert_eq!(answers(&mut replica, 5), []);
}
