//! Compatibility of datagrams of outcome sums with earlier releases, byte for byte.

use sedgestack_canary::{OutcomeAggregator, OutcomeCount, Second, OUTCOME_SUMS_MAGIC};

const RECORDED: &[u8] = include_bytes!("fixtures/tallies.bin");
const REPLICAS: u16 = 3;
const VERSION: u64 = 1;
/// Activation of the analysed change, in microseconds.
const ACTIVATION: u64 = 100_500_000;
const SENDER: u16 = 0;

fn aggregator(replica: u16) -> OutcomeAggregator {
    OutcomeAggregator::new((replica, REPLICAS), VERSION, ACTIVATION, (20, 30))
}

/// Records outcomes for seven of the eight seconds in the datagram, one of them with the largest possible count.
fn record_outcomes(aggregator: &mut OutcomeAggregator) {
    for second in 86..93 {
        aggregator.record_own(second, (second as u32, 70_000), (second as u32 - 80, 3));
    }
    aggregator.record_own(93, (u32::MAX, 1), (300, 299));
}

#[test]
fn sent_sums_match_recorded_bytes() {
    let mut sender = aggregator(SENDER);
    record_outcomes(&mut sender);
    let sent = sender.step(95);
    assert_eq!(RECORDED.first(), Some(&OUTCOME_SUMS_MAGIC));
    let (_, first) = sent.first().expect("each limiter sends to the other two");
    assert_eq!(first, RECORDED);
}

#[test]
fn recorded_sums_decode_to_the_counted_outcomes() {
    let (receiver, _) = aggregator(SENDER).step(95).swap_remove(0);
    let mut receiver = aggregator(receiver);
    record_outcomes(&mut receiver);
    receiver.receive(RECORDED).expect("the datagram is from a child");
    let tree = receiver.evaluated_tree().expect("each limiter of a small tier is a root");
    let (_, before, after, replicas) = receiver.collected_outcomes(tree, 95);
    let count = |attempts: u32, in_time: u32| OutcomeCount { attempts, in_time };
    let twice =
        |second: u32| Second { touched: count(2 * second, 140_000), control: count(2 * (second - 80), 6) };
    let mut expected: Vec<Second> = (87..93).map(twice).collect();
    expected.push(Second { touched: count(u32::MAX, 2), control: count(600, 598) });
    assert_eq!(before, expected);
    assert_eq!((after.len(), replicas), (0, 2));
}
