//! Compatibility of snapshots with earlier releases, byte for byte: an upgraded limiter must keep its votes.

use super::*;
use crate::paxos::{AcceptedValue, Ballot};
use crate::{Micros, Replica, ReplicaId, Settings};

const RECORDED: &[u8] = include_bytes!("fixtures/snapshot.bin");
/// Activation of the decided version.
const ACTIVATION: Micros = 1_764_700_000_123_456;
const SERVED: &[u8] = b"plan \"basico\" {\n  rate = 1.6\n}\n";
const PROPOSED: &[u8] = b"plan \"basico\" {\n  rate = 2.5\n}\n";

fn settings() -> Settings {
    Settings {
        replica: 1,
        replicas: 3,
        heartbeat_interval: 250_000,
        fanout: 2,
        lease: 3_000_000,
        max_clock_skew: 400_000,
        activation_delay: 6_000_000,
        max_datagrams_per_second: 40,
    }
}

/// Version 4 is decided and active. Version 3 was void, a value was accepted for version 5, and for version 6 a ballot
/// was only promised.
fn snapshot() -> Snapshot {
    let [served, proposed] = [SERVED, PROPOSED].map(Digest::of);
    let decided = Value::Change { digest: served, at: ACTIVATION };
    let ballot = |round, replica: ReplicaId| Ballot { round, replica };
    let accepted = |ballot, value| Some(AcceptedValue { ballot, value });
    let acceptor = |promised, accepted| Acceptor { promised, accepted };
    let open = Value::Change { digest: proposed, at: ACTIVATION + 6_000_000 };
    let acceptors = [
        (3, acceptor(ballot(2, 0), accepted(ballot(2, 0), Value::Void { keeps: Some(served) }))),
        (4, acceptor(ballot(3, 2), accepted(ballot(3, 2), decided))),
        (5, acceptor(ballot(300, 1), accepted(ballot(4, 2), open))),
        (6, acceptor(ballot(5, 0), None)),
    ];
    let mut documents = [SERVED, PROPOSED].map(<[u8]>::to_vec);
    documents.sort_by_key(|document| Digest::of(document));
    Snapshot {
        acceptors: acceptors.into(),
        decided: 4,
        value: decided,
        active: 4,
        active_document: Some(served),
        documents: documents.into(),
        highest_round: 300,
    }
}

#[test]
fn snapshot_matches_recorded_bytes() {
    assert_eq!(snapshot().encode(), RECORDED);
    assert_eq!(Snapshot::decode(RECORDED), Some(snapshot()));
}

#[test]
fn recorded_snapshot_restores_a_replica() {
    let recorded = Snapshot::decode(RECORDED);
    let replica = Replica::new(settings(), 7, recorded, false).expect("the settings are valid");
    let decided = Value::Change { digest: Digest::of(SERVED), at: ACTIVATION };
    assert_eq!(replica.active_version(), (4, Some(SERVED)));
    assert_eq!(replica.decided(), (4, decided));
    assert_eq!(replica.document(&Digest::of(PROPOSED)), Some(PROPOSED));
    assert!(!replica.awaits_adoption(), "the snapshot contains the votes");
    assert_eq!(replica.snapshot().encode(), RECORDED);
}
