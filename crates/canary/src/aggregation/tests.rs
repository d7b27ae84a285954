use super::*;

const ACTIVATION: u64 = 100_500_000;

fn tier(replicas: ReplicaId, version: Slot) -> Vec<OutcomeAggregator> {
    (0..replicas)
        .map(|replica| OutcomeAggregator::new((replica, replicas), version, ACTIVATION, (20, 30)))
        .collect()
}

/// Runs a tier in which limiter n has n + 1 attempts a second on touched plans, and `is_lost` selects the datagrams to
/// drop. Returns the most datagrams that a limiter received in one second.
fn run_tier(
    tier: &mut [OutcomeAggregator],
    until: u64,
    mut is_lost: impl FnMut(ReplicaId, ReplicaId) -> bool,
) -> u64 {
    let mut busiest = 0;
    for now in 80..until {
        let mut received = vec![0; tier.len()];
        for n in 0..tier.len() {
            tier[n].record_own(now - 1, (n as u32 + 1, n as u32), (10, 10));
            for (to, bytes) in tier[n].step(now) {
                assert!(bytes.len() <= 256);
                if !is_lost(n as ReplicaId, to) {
                    received[usize::from(to)] += 1;
                    tier[usize::from(to)].receive(&bytes).expect("the datagram is from a child");
                }
            }
        }
        busiest = busiest.max(received.into_iter().max().unwrap_or(0));
    }
    busiest
}

#[test]
fn every_limiter_reaches_the_only_root_within_the_depth_of_the_tree() {
    for replicas in [1, 2, 3, 5, 9, 10, 30, 100, 300] {
        for version in [0, 7, 299] {
            let trees = tier(replicas, version)[0].trees;
            for tree in 0..trees.count() {
                let roots = (0..replicas).filter(|m| trees.parent(tree, *m).is_none()).count();
                assert_eq!(roots, 1, "{replicas} limiters");
                for replica in 0..replicas {
                    let path = std::iter::successors(Some(replica), |m| trees.parent(tree, *m));
                    assert!(path.count() as u64 <= trees.depth() + 1, "{replica} of {replicas}");
                }
            }
            let inner = |tree| -> std::collections::BTreeSet<ReplicaId> {
                (0..replicas).filter_map(|m| trees.parent(tree, m)).collect()
            };
            assert!(replicas <= MAX_FULL_MESH || inner(0).is_disjoint(&inner(1)), "{replicas} limiters");
        }
    }
}

#[test]
fn root_collects_the_whole_tier_with_at_most_8_datagrams_a_second() {
    for replicas in [3, 9, 30, 300] {
        let mut tier = tier(replicas, 1);
        let busiest = run_tier(&mut tier, 125, |_, _| false);
        assert!(busiest <= 8, "{replicas} limiters: {busiest}");
        let root = tier.iter().find(|t| t.evaluated_tree() == Some(0)).expect("the tree has a root");
        let (passed, before, after, included) = root.collected_outcomes(0, 124);
        let n = u32::from(replicas);
        let whole = Second {
            touched: OutcomeCount { attempts: n * (n + 1) / 2, in_time: n * (n - 1) / 2 },
            control: OutcomeCount { attempts: 10 * n, in_time: 10 * n },
        };
        assert_eq!((included, before.len(), after.len()), (replicas, 20, passed as usize), "{replicas}");
        assert!(before.iter().chain(&after).all(|s| *s == whole), "{replicas} limiters");
    }
}

#[test]
fn seconds_without_a_majority_of_limiters_are_ignored() {
    let mut five = tier(5, 1);
    run_tier(&mut five, 125, |from, to| from.min(to) < 2 && from.max(to) >= 2);
    let collected =
        |m: usize| five[m].collected_outcomes(five[m].evaluated_tree().expect("each limiter is a root"), 124);
    assert!(collected(0).1.is_empty() && collected(1).2.is_empty(), "two of five are no majority");
    assert_eq!((collected(2).1.len(), collected(4).3), (20, 3));
}

#[test]
fn root_collects_a_majority_when_a_third_of_datagrams_is_lost() {
    let mut draws = 7u32;
    let mut hundred = tier(100, 3);
    run_tier(&mut hundred, 131, |_, _| {
        draws = draws.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        draws >> 16 < 65_536 / 3
    });
    let root = hundred.iter().find(|t| t.evaluated_tree() == Some(0)).expect("the tree has a root");
    let (_, before, after, included) = root.collected_outcomes(0, 130);
    assert!(before.len() >= 18 && after.len() >= 15 && included > 50, "{before:?} {after:?} {included}");
}

#[test]
fn corrupt_datagrams_and_those_of_other_versions_are_rejected() {
    let mut three = tier(3, 1);
    three[0].record_own(90, (1, 1), (1, 1));
    let (to, bytes) = three[0].step(95).remove(0);
    let mut other = OutcomeAggregator::new((to, 3), 2, ACTIVATION, (20, 30));
    assert_eq!(other.receive(&bytes), Err(DatagramError::UnknownSender));
    for offset in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[offset] ^= 0x10;
        assert!(three[usize::from(to)].receive(&corrupt).is_err());
    }
}
