//! Determinism across releases: the same calls must produce the same datagrams, events and snapshots, byte for byte and
//! in the same order.
//!
//! The tests fix the order of random draws and of datagrams, without which simulated results of two releases cannot be
//! compared. A change of the protocol has to record new digests and give the reason.

#[allow(dead_code)]
mod tier;

use tier::{DatagramDigest, Tier, MS};

/// Returns a digest of all datagrams that the replicas of a tier sent, and of their events, leases and snapshots.
fn digest(tier: &Tier) -> DatagramDigest {
    let mut digest = tier.datagrams;
    for events in &tier.events {
        digest.absorb(format!("{events:?}").as_bytes());
    }
    for replica in tier.replicas.iter().flatten() {
        let lease = replica.version_lease();
        digest.absorb(&lease.valid_until.to_le_bytes());
        digest.absorb(format!("{:?} {:?}", lease.scheduled, replica.status()).as_bytes());
        digest.absorb(&replica.snapshot().encode());
    }
    digest
}

/// Runs a tier with competing proposals, a replica that is cut off, one that restarts without its votes, one that
/// restarts with its snapshot, a proposer that dies before its change is decided, and a clock that is set back.
fn run_with_faults(seed: u64) -> Tier {
    let mut tier = Tier::new(5, 0.15, seed);
    tier.run(4_000);
    tier.propose(0, &[7; 1_500]).expect("the proposal is accepted");
    tier.propose(3, &[9; 4_000]).expect("the proposal is accepted");
    tier.run(15_000);
    tier.kill(1);
    tier.run(500);
    tier.restart(1, None);
    tier.partitions[2] = 1;
    tier.run(3_000);
    let _ = tier.propose(4, &[3; 700]);
    tier.run(40 + seed * 150);
    let snapshot = tier.kill(4);
    tier.run(8_000);
    tier.partitions[2] = 0;
    tier.restart(4, snapshot);
    tier.run(12_000);
    tier.clocks[0] = -600 * MS as i64;
    let _ = tier.propose(2, &[5; 2_000]);
    tier.run(12_000);
    tier
}

#[test]
fn tier_of_5_with_faults_matches_recorded_digests() {
    let digests = [1, 2, 3, 4, 5, 6].map(|seed| digest(&run_with_faults(seed)));
    let recorded = [
        (2_877, 3_129_933_976_985_310_412),
        (2_781, 12_625_019_840_753_732_783),
        (2_835, 8_165_379_787_104_105_545),
        (2_798, 16_961_022_864_448_881_017),
        (2_762, 3_173_543_288_660_023_233),
        (2_840, 17_995_959_207_996_783_985),
    ];
    let recorded = recorded.map(|(count, hash)| DatagramDigest { count, hash });
    assert_eq!(digests, recorded);
}

#[test]
fn tier_of_30_matches_recorded_digest() {
    let mut tier = Tier::new(30, 0.3, 11);
    tier.run(10_000);
    tier.propose(0, &[7; 1_500]).expect("the proposal is accepted");
    tier.run(40_000);
    tier.propose(17, &[8; 3_000]).expect("the proposal is accepted");
    tier.run(300);
    tier.kill(17);
    tier.run(35_000);
    assert_eq!(digest(&tier), DatagramDigest { count: 21_694, hash: 15_751_336_100_284_907_355 });
}

/// The tier has more replicas than one heartbeat can describe, so each heartbeat carries observations of some of them.
#[test]
fn tier_of_120_matches_recorded_digest() {
    let mut tier = Tier::new(120, 0.05, 12);
    tier.run(20_000);
    tier.propose(0, &[7; 600]).expect("the proposal is accepted");
    tier.run(20_000);
    assert_eq!(digest(&tier), DatagramDigest { count: 39_361, hash: 10_046_429_551_438_450_184 });
}

/// Runs a tier and adds each replica's lease and status to the digest every heartbeat interval.
fn run_with_leases(tier: &mut Tier, millis: u64) {
    for _ in 0..millis / 250 {
        tier.run(250);
        let mut digest = tier.datagrams;
        for replica in tier.replicas.iter().flatten() {
            let lease = replica.version_lease();
            digest.absorb(&lease.valid_until.to_le_bytes());
            digest.absorb(format!("{:?} {:?}", lease.scheduled, replica.status()).as_bytes());
        }
        tier.datagrams = digest;
    }
}

/// The loss is higher than a proposer can compensate for by asking more replicas per round.
#[test]
fn tier_of_30_under_heavy_loss_matches_recorded_digest() {
    let mut tier = Tier::new(30, 0.7, 13);
    tier.run(15_000);
    tier.propose(0, &[7; 200]).expect("the proposal is accepted");
    tier.run(60_000);
    assert_eq!(digest(&tier), DatagramDigest { count: 19_438, hash: 5_715_903_315_217_071_719 });
}

#[test]
fn leases_match_recorded_digest() {
    let mut tier = Tier::new(5, 0.3, 14);
    tier.run(3_000);
    for round in 0..8 {
        let _ = tier.propose(round % 5, &[round as u8; 900]);
        run_with_leases(&mut tier, 1_500);
        tier.partitions[(round + 2) % 5] = 1;
        run_with_leases(&mut tier, 3_000);
        tier.partitions = vec![0; 5];
        run_with_leases(&mut tier, 2_000);
    }
    assert_eq!(digest(&tier), DatagramDigest { count: 2_980, hash: 11_233_605_976_416_356_556 });
}
