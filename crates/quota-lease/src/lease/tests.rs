use super::*;

const SECOND: Micros = 1_000_000;

/// Windows of 4 s with 40 units each from the counter, and local shares of 1 unit for each of four limiters.
fn terms() -> LeaseTerms {
    LeaseTerms { local_share_fraction: 0.1, ..crate::sample() }
}

fn lease(now: Micros) -> Lease {
    Lease::new(terms(), now)
}

#[test]
fn grant_is_limited_to_the_counters_part() {
    let mut lease = lease(0);
    let request = lease.next_request(SECOND, 5.0).expect("the lease has no units");
    assert_eq!(request, LeaseRequest { source: Source::Counter, window: 0, amount: 5.0 });
    assert_eq!(lease.next_request(SECOND, 5.0), None, "a request is pending");
    lease.on_grant(SECOND, request, 42.0);
    assert_eq!(
        lease.available(SECOND),
        Available { units: 3.0, expires_at: 4 * SECOND },
        "two of the five units exceed the counter's part of 40"
    );
    assert!(!lease.spend(SECOND, 4.0) && lease.spend(SECOND, 3.0));
    assert_eq!(lease.next_request(SECOND, 5.0), None, "the window is exhausted");
    assert!(lease.next_request(4 * SECOND, 5.0).is_some());
}

#[test]
fn grant_expires_with_the_window_of_its_request() {
    let mut lease = lease(0);
    let request = lease.next_request(3 * SECOND, 5.0).expect("the lease has no units");
    lease.on_grant(5 * SECOND, request, 5.0);
    assert_eq!(lease.available(5 * SECOND).units, 1.0, "only the local share is left");
    // A limiter that was suspended with granted units checks its lease again at the time of sending.
    let request = lease.next_request(6 * SECOND, 5.0).expect("the local share is too small");
    lease.on_grant(6 * SECOND, request, 4.0);
    assert_eq!(lease.available(7 * SECOND).units, 5.0);
    assert!(!lease.spend(8 * SECOND, 5.0));
}

#[test]
fn restarted_limiter_has_no_local_share_until_the_next_window() {
    let mut lease = lease(5 * SECOND);
    assert!(!lease.spend(7 * SECOND, 1.0));
    assert!(lease.spend(8 * SECOND, 1.0) && !lease.spend(9 * SECOND, 1.0));
}

#[test]
fn window_is_not_entered_again_if_the_clock_is_set_back() {
    let mut lease = lease(0);
    assert!(lease.spend(4 * SECOND, 1.0));
    assert!(!lease.spend(0, 1.0) && !lease.spend(4 * SECOND, 1.0));
}

#[test]
fn failed_requests_and_invalid_totals_grant_nothing() {
    let mut lease = lease(0);
    for total in [f64::NAN, f64::INFINITY, -7.0, 0.0] {
        let request = lease.next_request(SECOND, 2.0).expect("the lease has no units");
        lease.on_grant(SECOND, request, total);
        assert!(lease.available(SECOND).units <= 0.0, "{total}");
    }
    let request = lease.next_request(SECOND, 2.0).expect("the lease has no units");
    lease.on_failure(request);
    assert_eq!((lease.available(SECOND).units, lease.next_request(SECOND, 2.0)), (0.0, None));
}

#[test]
fn responsible_limiters_are_asked_in_order_if_the_counter_does_not_reply() {
    let terms = LeaseTerms { lent_fraction: 0.5, lenders: 2, ..terms() };
    let mut lease = Lease::new(terms, 0);
    let mut sources = Vec::new();
    while let Some(request) = lease.next_request(SECOND, 2.0) {
        sources.push(request.source);
        lease.on_failure(request);
    }
    assert_eq!(sources, [Source::Counter, Source::Limiter(0), Source::Limiter(1)]);
    // Each responsible limiter grants half of the lent part, which is 10 units.
    let request =
        lease.next_request(5 * SECOND, 12.0).expect("the counter is asked again in the next window");
    lease.on_failure(request);
    let request = lease.next_request(5 * SECOND, 12.0).expect("a responsible limiter is asked next");
    lease.on_grant(5 * SECOND, request, request.amount);
    assert_eq!(lease.available(5 * SECOND).units, 11.0, "the responsible limiter's part and the local share");
}

#[test]
fn request_includes_half_of_the_expected_need() {
    let mut lease = lease(0);
    let request = lease.next_request(SECOND, 20.0).expect("the lease has no units");
    lease.on_grant(SECOND, request, 20.0);
    assert!(lease.spend(SECOND, 20.0));
    let request_ahead = lease.next_request(4 * SECOND, 2.0).expect("the local share is too small");
    assert_eq!(request_ahead.amount, 10.0);
    let next_window = lease.clone();
    assert_eq!((next_window.sent_previous_window, next_window.sent_this_window), (20.0, 0.0));
}
