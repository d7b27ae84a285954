use super::*;

const SECOND: Micros = 1_000_000;

fn terms() -> LeaseTerms {
    crate::sample()
}

#[test]
fn span_of_whole_windows_is_bounded_by_the_quota() {
    for windows in 0..20 {
        let bound = terms().bound(windows * 4 * SECOND);
        assert_eq!((bound.excess(), bound.ratio()), (0.0, 1.0), "{windows} windows");
    }
    assert_eq!(terms().bound(10 * SECOND).excess(), 20.0);
}

#[test]
fn terms_sum_up_to_the_difference_between_bound_and_quota() {
    let all = LeaseTerms {
        local_share_fraction: 0.3,
        lent_fraction: 0.2,
        max_clock_skew: SECOND,
        max_send_delay: 3 * SECOND,
        counters: 2,
        ..terms()
    };
    for span in [1, 10, 60] {
        let bound = all.bound(span * SECOND);
        let sum: f64 = bound.terms.iter().map(|t| t.units).sum();
        assert!((bound.quota + sum - bound.most).abs() < 1e-6, "{bound:?}");
    }
}

#[test]
fn target_yields_the_largest_local_shares_or_names_the_largest_term() {
    let minute = 60 * SECOND;
    let terms_within = terms().with_largest_local_shares(minute, 1.1).expect("a minute is fifteen windows");
    assert!(
        (terms_within.bound(minute).ratio() - 1.1).abs() < 1e-9 && terms_within.local_share_fraction > 0.09,
        "{terms_within:?}"
    );
    let alone = LeaseTerms { counter_fraction: 0.0, ..terms() }
        .with_largest_local_shares(minute, 0.5)
        .expect("local shares alone can reach the target");
    assert!((alone.bound(minute).ratio() - 0.5).abs() < 1e-9, "{alone:?}");
    let two_counters = LeaseTerms { counters: 2, ..terms() }
        .with_largest_local_shares(minute, 1.1)
        .expect_err("twice the quota");
    assert_eq!((two_counters.term, two_counters.ratio), ("counters that lost their totals", 2.0));
}
