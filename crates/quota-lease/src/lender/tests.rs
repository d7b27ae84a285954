use super::*;
use crate::Source;

const SECOND: Micros = 1_000_000;

fn terms() -> LeaseTerms {
    LeaseTerms { lent_fraction: 1.0, lenders: 1, ..crate::sample() }
}

fn request(window: u64, amount: f64) -> LeaseRequest {
    LeaseRequest { window, amount, source: Source::Limiter(0) }
}

#[test]
fn totals_are_kept_by_customer_and_window_after_the_first_window() {
    let mut lender = Lender::new(5 * SECOND);
    assert_eq!(
        lender.lend(6 * SECOND, &terms(), 7, request(1, 2.0)),
        None,
        "an earlier incarnation may have granted units of this window"
    );
    assert_eq!(lender.lend(8 * SECOND, &terms(), 7, request(2, 2.0)), Some(2.0));
    assert_eq!(lender.lend(9 * SECOND, &terms(), 7, request(2, 0.5001)), Some(2.501), "rounded up");
    assert_eq!(lender.lend(9 * SECOND, &terms(), 8, request(2, 1.0)), Some(1.0));
    for (window, amount) in [(1, 1.0), (3, 1.0), (2, f64::NAN), (2, -1.0)] {
        assert_eq!(lender.lend(9 * SECOND, &terms(), 7, request(window, amount)), None, "{window} {amount}");
    }
    assert_eq!((lender.remove_expired(11 * SECOND), lender.remove_expired(12 * SECOND)), (2, 0));
    assert_eq!(lender.lend(9 * SECOND, &terms(), 7, request(2, 1.0)), None, "the clock was set back");
}

#[test]
fn customers_are_spread_evenly_and_a_leaving_limiter_moves_only_its_customers() {
    let mut customers = [0; 30];
    for customer in 0..3_000u64 {
        let first = responsible_limiters(customer * 77, 30, 2);
        customers[first[0] as usize] += 1;
        let without_last = responsible_limiters(customer * 77, 29, 1)[0];
        assert_eq!(without_last, if first[0] == 29 { first[1] } else { first[0] });
    }
    assert!(customers.iter().all(|n| (60..=150).contains(n)), "{customers:?}");
}
