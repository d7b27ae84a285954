//! Simulated tiers in virtual time, with faults of the network, clocks and processes.

mod tier;

use sedgestack_consensus::{
    Digest, ProposeError, Replica, ReplicaEvent, ReplicaStatus, Settings, SettingsError,
};
use tier::{Tier, MS, STEP};

/// A document of several chunks.
const LARGE_DOCUMENT: &[u8] = &[7; 1_500];

#[test]
fn change_is_activated_by_all_replicas_at_the_same_time() {
    for seed in 0..20 {
        let mut tier = Tier::new(3, 0.08, seed);
        tier.run(3_000);
        assert_eq!(tier.propose(0, LARGE_DOCUMENT), Ok(1));
        tier.run(8_000);
        assert_eq!(tier.active_versions(), [1, 1, 1], "seed {seed}");
        assert_eq!(tier.active_document(2), Some(Digest::of(LARGE_DOCUMENT)));
        assert!(tier.longest_mixed() <= 2 * STEP, "{} us, seed {seed}", tier.longest_mixed());
    }
}

#[test]
fn replica_cut_off_for_30_s_catches_up_during_the_next_change() {
    let mut tier = Tier::new(3, 0.05, 4);
    tier.run(2_000);
    tier.partitions[2] = 1;
    assert_eq!(tier.propose(0, b"first"), Ok(1));
    tier.run(30_000);
    assert_eq!(tier.active_versions(), [1, 1, 0]);
    let cut_off = tier.replicas[2].as_ref().expect("the replica is running");
    assert_eq!(cut_off.status(), ReplicaStatus::Detached);
    assert_eq!(tier.propose(1, b"second"), Ok(2));
    tier.run(1_000);
    tier.partitions[2] = 0;
    tier.run(9_000);
    assert_eq!(tier.active_versions(), [2, 2, 2]);
    assert!(tier.longest_mixed_current() <= 2 * STEP, "{} us", tier.longest_mixed_current());
}

#[test]
fn vote_of_a_dead_proposer_is_finished_by_the_others() {
    for wait in [5, 30, 60, 150, 300, 600, 1_500, 4_000] {
        for seed in 0..6 {
            let mut tier = Tier::new(3, 0.1, seed);
            tier.run(3_000);
            tier.propose(0, b"a change").expect("the proposal is accepted");
            tier.run(wait);
            tier.kill(0);
            tier.run(25_000);
            let versions = tier.active_versions();
            assert_eq!(versions[0], versions[1], "after {wait} ms, seed {seed}");
            assert!(tier.longest_mixed_current() <= 2 * STEP, "{} us", tier.longest_mixed_current());
            // The next change becomes active, whether the first was decided or not.
            assert!(tier.propose(1, b"another").is_ok(), "after {wait} ms, seed {seed}: {:?}", tier.events);
            tier.run(8_000);
            assert_eq!(tier.active_document(2), Some(Digest::of(b"another")));
        }
    }
}

#[test]
fn one_of_two_simultaneous_proposals_is_reported_lost() {
    for seed in 0..20 {
        let mut tier = Tier::new(5, 0.1, seed);
        tier.run(3_000);
        assert_eq!(tier.propose(0, b"one"), Ok(1));
        assert_eq!(tier.propose(3, b"two"), Ok(1));
        tier.run(20_000);
        let served: Vec<_> = (0..5).map(|m| tier.active_document(m)).collect();
        assert!(served.windows(2).all(|w| w[0] == w[1]), "{served:?}");
        let lost = tier
            .events
            .iter()
            .flatten()
            .filter(|event| matches!(event, ReplicaEvent::ProposalLost { slot: 1 }))
            .count();
        let activated = tier.documents.len();
        assert_eq!(activated + lost, 2, "seed {seed}: {:?}", tier.events);
    }
}

#[test]
fn change_based_on_an_earlier_version_is_rejected() {
    let mut tier = Tier::new(3, 0.0, 1);
    tier.run(2_000);
    tier.propose(0, b"one").expect("the proposal is accepted");
    tier.run(7_000);
    let clock = tier.clock(1);
    let replica = tier.replicas[1].as_mut().expect("the replica is running");
    let proposed = replica.propose(clock, b"two".to_vec(), 0);
    assert_eq!(proposed, Err(ProposeError::StaleParent { parent: 0, current: 1 }));
}

#[test]
fn minority_decides_nothing_and_is_detached() {
    let mut tier = Tier::new(5, 0.05, 9);
    tier.run(3_000);
    tier.partitions = vec![1, 1, 0, 0, 0];
    // Until its lease ends the replica may propose a change, but the change cannot be decided.
    let _ = tier.propose(0, b"of the minority");
    tier.run(4_000);
    assert_eq!(tier.replicas[0].as_ref().map(Replica::status), Some(ReplicaStatus::Detached));
    assert_eq!(tier.propose(1, b"late"), Err(ProposeError::NotCurrent));
    assert!(tier.propose(2, b"of the majority").is_ok());
    tier.run(8_000);
    assert_eq!(tier.active_versions(), [0, 0, 1, 1, 1]);
    tier.partitions = vec![0; 5];
    tier.run(10_000);
    assert_eq!(tier.active_document(0), Some(Digest::of(b"of the majority")));
    assert!(tier.longest_mixed_current() <= 2 * STEP, "{} us", tier.longest_mixed_current());
}

#[test]
fn change_is_abandoned_if_a_required_replica_is_down() {
    let mut tier = Tier::new(3, 0.0, 3);
    tier.run(3_000);
    tier.kill(2);
    let clock = tier.clock(0);
    let proposer = tier.replicas[0].as_mut().expect("the replica is running");
    assert_eq!(proposer.propose_requiring(clock, b"for all".to_vec(), 0, [2].into()), Ok(1));
    tier.run(20_000);
    let unanswered = ReplicaEvent::ProposalUnanswered { slot: 1, replicas: vec![2] };
    assert!(tier.events[0].contains(&unanswered), "{:?}", tier.events[0]);
    assert!(tier.events[0].contains(&ReplicaEvent::ProposalLost { slot: 1 }), "{:?}", tier.events[0]);
    // A void value is decided for the version, so the next change can be proposed.
    assert_eq!(tier.active_versions(), [1, 1]);
    assert_eq!(tier.active_document(0), None);
    assert_eq!(tier.propose(1, b"for a majority"), Ok(2));
}

#[test]
fn versions_overlap_no_longer_than_clocks_differ() {
    let mut tier = Tier::new(3, 0.08, 2);
    tier.clocks = vec![-100 * MS as i64, 0, 100 * MS as i64];
    tier.run(3_000);
    tier.propose(1, b"a change").expect("the proposal is accepted");
    tier.run(9_000);
    assert_eq!(tier.active_versions(), [1, 1, 1]);
    assert!(tier.longest_mixed() <= 200 * MS + 2 * STEP, "{} us", tier.longest_mixed());
}

#[test]
fn replica_whose_clock_is_behind_its_peers_is_detached() {
    let mut tier = Tier::new(3, 0.0, 2);
    tier.run(3_000);
    tier.clocks[2] = -5_000 * MS as i64;
    tier.run(8_000);
    // Both peers' datagrams were sent in the future of this replica's clock.
    assert_eq!(tier.replicas[2].as_ref().map(Replica::status), Some(ReplicaStatus::Detached));
    assert_eq!(tier.replicas[0].as_ref().map(Replica::status), Some(ReplicaStatus::Current));
}

#[test]
fn replica_that_restarts_without_its_votes_does_not_vote_twice() {
    for seed in 0..30 {
        let mut tier = Tier::new(3, 0.1, seed);
        tier.run(3_000);
        tier.propose(0, b"one").expect("the proposal is accepted");
        tier.run(seed * 40);
        tier.kill(1);
        tier.run(300);
        tier.restart(1, None);
        tier.run(25_000);
        let versions = tier.active_versions();
        assert!(versions.windows(2).all(|w| w[0] == w[1]), "{versions:?}, seed {seed}");
        assert!(tier.longest_mixed_current() <= 2 * STEP, "{} us, seed {seed}", tier.longest_mixed_current());
    }
}

#[test]
fn replica_restarted_with_a_snapshot_keeps_its_version_and_votes_at_once() {
    let mut tier = Tier::new(3, 0.0, 5);
    tier.run(3_000);
    tier.propose(0, LARGE_DOCUMENT).expect("the proposal is accepted");
    tier.run(8_000);
    let snapshot = tier.kill(2);
    tier.run(1_000);
    tier.restart(2, snapshot);
    assert_eq!(tier.active_document(2), Some(Digest::of(LARGE_DOCUMENT)));
    tier.kill(1);
    tier.run(3_000);
    assert!(tier.propose(0, b"two of three are enough").is_ok());
    tier.run(8_000);
    assert_eq!(tier.active_document(2), Some(Digest::of(b"two of three are enough")));
}

#[test]
fn replica_without_its_votes_may_not_propose() {
    let mut tier = Tier::new(3, 0.0, 5);
    tier.run(3_000);
    tier.kill(2);
    tier.restart(2, None);
    tier.run(3_000);
    assert_eq!(tier.propose(2, b"without votes"), Err(ProposeError::VotesLost(1)));
    assert_eq!(tier.propose(0, b"with votes"), Ok(1));
    tier.run(8_000);
    assert_eq!(tier.active_versions(), [1, 1, 1]);
    // The replica may vote again two versions above all that its peers had accepted.
    assert_eq!(tier.propose(2, b"without votes"), Ok(2));
}

#[test]
fn earlier_document_can_be_proposed_again() {
    let mut tier = Tier::new(3, 0.08, 6);
    tier.run(3_000);
    tier.propose(0, b"good").expect("the proposal is accepted");
    tier.run(8_000);
    tier.propose(1, b"bad").expect("the proposal is accepted");
    tier.run(8_000);
    // Another replica than the proposer of the bad version rolls it back.
    tier.propose(2, b"good").expect("the proposal is accepted");
    tier.run(8_000);
    assert_eq!(tier.active_versions(), [3, 3, 3]);
    assert_eq!(tier.active_document(0), Some(Digest::of(b"good")));
}

/// In tiers of several sizes and losses, no replica receives more datagrams than allowed, and no two current replicas
/// serve different versions.
#[test]
fn guarantees_and_datagram_rate_hold_for_many_tiers() {
    for (replicas, losses) in [(3, vec![0.0, 0.08, 0.2, 0.5]), (10, vec![0.08, 0.2]), (40, vec![0.08])] {
        for loss in losses {
            for seed in 0..4 {
                let mut tier = Tier::new(replicas, loss, seed);
                tier.run(6_000);
                let proposed = tier.propose(seed as usize % 3, LARGE_DOCUMENT);
                tier.run(25_000);
                assert!(
                    tier.longest_mixed_current() <= 2 * STEP,
                    "{replicas} at {loss}: {} us",
                    tier.longest_mixed_current()
                );
                if loss <= 0.2 {
                    assert_eq!(proposed, Ok(1), "{replicas} at {loss}, seed {seed}");
                    assert!(
                        tier.active_versions().iter().all(|v| *v == 1),
                        "{replicas} at {loss}: {:?}",
                        tier.active_versions()
                    );
                }
                assert!(tier.busiest_second <= 40, "{replicas} at {loss}: {}", tier.busiest_second);
            }
        }
    }
}

/// A ballot continues under loss without asking all replicas again, and a document is assembled from the chunks of all
/// replicas that have some.
#[test]
fn change_becomes_active_at_30_limiters_with_half_of_datagrams_lost() {
    for seed in 0..4 {
        let mut tier = Tier::new(30, 0.5, seed);
        tier.run(10_000);
        assert_eq!(tier.propose(0, LARGE_DOCUMENT), Ok(1), "seed {seed}");
        tier.run(40_000);
        assert!(tier.active_versions().iter().all(|v| *v == 1), "seed {seed}: {:?}", tier.active_versions());
        assert!(tier.longest_mixed_current() <= 2 * STEP && tier.busiest_second <= 40, "seed {seed}");
    }
}

/// The activation delay must allow for a vote of all replicas, and the error names the minimum.
#[test]
fn activation_delay_must_allow_for_a_vote_of_1100_replicas() {
    let settings = |activation_delay| Settings { activation_delay, ..tier::settings(1_099, 1_100) };
    let too_short = settings(60_000 * MS).check();
    assert_eq!(too_short, Err(SettingsError::ActivationDelayTooShort { least_ms: 151_900 }));
    assert_eq!(settings(151_900 * MS).check(), Ok(()));
    let too_many = Settings { replicas: 1_101, ..settings(300_000 * MS) }.check();
    assert_eq!(too_many, Err(SettingsError::InvalidReplicas));
}
