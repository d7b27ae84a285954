//! Tests of the known state of peers, with reports in any order.

use super::*;

#[test]
fn delayed_earlier_report_changes_nothing() {
    let mut peers = Peers::new(3);
    peers.record(1, 2_000, 4, 4);
    let before = peers.clone();
    peers.record(1, 1_000, 3, 4);
    assert_eq!(peers, before);
}

#[test]
fn peer_is_idle_again_after_its_accepted_slot_is_decided() {
    let mut peers = Peers::new(3);
    peers.record(1, 1_000, 4, 4);
    peers.record(1, 2_000, 5, 4);
    assert_eq!(peers.last_idle_times().collect::<Vec<_>>(), [1_000]);
    assert_eq!(peers.last_seen_times().collect::<Vec<_>>(), [2_000]);
    peers.on_decided(5);
    assert_eq!(peers.last_idle_times().collect::<Vec<_>>(), [2_000]);
}

#[test]
fn observation_is_unknown_if_it_does_not_fit_or_the_peer_is_ahead() {
    let mut peers = Peers::new(4);
    peers.record(1, 100 * AGE_STEP, 7, 7);
    let observation = |replica, now, own_highest| peers.observation(replica, now, own_highest);
    let known = PeerObservation { age_steps: 3, slots_below: 2 };
    assert_eq!(observation(1, 102 * AGE_STEP + 1, 9), known);
    assert_eq!(observation(1, 355 * AGE_STEP, 9), PeerObservation::UNKNOWN, "too long ago");
    assert_eq!(observation(1, 102 * AGE_STEP, 6), PeerObservation::UNKNOWN, "ahead of the sender");
    assert_eq!(observation(2, 102 * AGE_STEP, 9), PeerObservation::UNKNOWN, "never seen");
}
