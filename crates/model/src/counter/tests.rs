//! Tests of the quota counter alone.

use super::*;

fn spec() -> Spec {
    Spec { queue_capacity: 2, ..crate::tests_support::sample().counter }
}

#[test]
fn total_restarts_when_name_expires_or_counter_is_cleared() {
    let mut counter = Counter::new(&spec());
    let total = |answer| match answer {
        Answer::Total(total, _) => total,
        Answer::Busy => panic!("the queue is not full"),
    };
    assert_eq!(total(counter.add(0, "a", 2.0, 1_000_000)), 2.0);
    assert_eq!(total(counter.add(500_000, "a", 1.5, 9)), 3.5);
    assert_eq!(total(counter.add(1_000_000, "a", 1.0, 1_000_000)), 1.0);
    counter.clear();
    assert_eq!(total(counter.add(1_500_000, "a", 1.0, 1_000_000)), 1.0);
}

#[test]
fn calls_are_served_in_order_and_rejected_when_queue_is_full() {
    let mut counter = Counter::new(&spec());
    let Answer::Total(_, first) = counter.add(0, "a", 1.0, 1_000) else { panic!("the queue is not full") };
    let Answer::Total(_, second) = counter.add(0, "a", 1.0, 1_000) else { panic!("the queue is not full") };
    assert_eq!(second - first, (1e6 / spec().calls_per_second) as Micros);
    assert_eq!(counter.add(0, "a", 1.0, 1_000), Answer::Busy);
    assert_eq!(counter.calls(), (3, 1));
}
