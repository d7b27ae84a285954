//! The quota counter by itself.

use super::*;

fn spec() -> Spec {
    Spec { queue_capacity: 2, ..crate::tests_support::sample().counter }
}

#[test]
fn amounts_add_up_until_the_name_expires_or_the_counter_is_emptied() {
    let mut counter = Counter::new(&spec());
    let total = |a| match a {
        Answer::Total(total, _) => total,
        Answer::Busy => panic!("there is room"),
    };
    assert_eq!(total(counter.add(0, "a", 2.0, 1_000_000)), 2.0);
    assert_eq!(total(counter.add(500_000, "a", 1.5, 9)), 3.5);
    assert_eq!(total(counter.add(1_000_000, "a", 1.0, 1_000_000)), 1.0);
    counter.clear();
    assert_eq!(total(counter.add(1_500_000, "a", 1.0, 1_000_000)), 1.0);
}

#[test]
fn calls_are_served_in_order_and_a_full_queue_rejects() {
    let mut counter = Counter::new(&spec());
    let Answer::Total(_, first) = counter.add(0, "a", 1.0, 1_000) else { panic!("room") };
    let Answer::Total(_, second) = counter.add(0, "a", 1.0, 1_000) else { panic!("room") };
    assert_eq!(second - first, (1e6 / spec().calls_per_second) as Micros);
    assert_eq!(counter.add(0, "a", 1.0, 1_000), Answer::Busy);
    assert_eq!(counter.calls(), (3, 1));
}
