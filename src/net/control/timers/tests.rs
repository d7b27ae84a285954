//! The order in which timers become due.

use super::*;

#[test]
fn earliest_timer_is_due_first_in_any_scheduling_order() {
    let mut timers = TimerQueue::default();
    assert_eq!(timers.next_due(), None);
    [30, 10, 20].into_iter().for_each(|at| timers.schedule(at));
    assert_eq!(timers.next_due(), Some(10));
}

#[test]
fn all_due_timers_are_removed_and_later_ones_stay() {
    let mut timers = TimerQueue::default();
    [10, 20, 20, 30].into_iter().for_each(|at| timers.schedule(at));
    assert!(!timers.remove_due(9));
    assert!(timers.remove_due(20));
    assert_eq!(timers.next_due(), Some(30));
    assert!(!timers.remove_due(29), "each timer is due once");
}
