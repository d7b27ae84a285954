//! Tests of the limits on datagrams per second.

use super::*;

#[test]
fn datagrams_over_the_limit_are_dropped_until_the_next_second() {
    let mut intake = DatagramIntake::new(8);
    assert_eq!((0..10).filter(|_| intake.accept(5 * SECOND)).count(), 8);
    assert!(!intake.accept(6 * SECOND - 1));
    assert!(intake.accept(6 * SECOND));
    assert_eq!(intake.busiest_second(), 8);
}

#[test]
fn quarter_of_datagrams_may_be_outcome_counts() {
    let mut intake = DatagramIntake::new(8);
    assert!(intake.accept(SECOND));
    assert_eq!((0..8).filter(|_| intake.accept_outcome_counts()).count(), 2);
    assert!(intake.accept(2 * SECOND));
    assert!(intake.accept_outcome_counts(), "a new second starts a new count");
}
