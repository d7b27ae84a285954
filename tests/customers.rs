//! Tests of the limit on the number of customers.

mod common;
use common::*;
use sedgestack::*;

const MAX_CUSTOMERS: usize = 64;
/// Plan with a rate of 10 a second and a burst of 20, over two limiters.
const LIMITED_PLAN: usize = 1;
/// Plan with a ceiling of 20.
const CEILING_PLAN: usize = 3;

/// Returns a limiter without a quota counter, so that each limiter grants its even share.
fn new_limiter_with_limit() -> Limiter {
    let settings = Settings { counter_timeout: None, ..settings() };
    new_limiter(settings, 4).with_max_customers(MAX_CUSTOMERS)
}

fn request_of(customer: CustomerId, id: RequestId, plan: usize) -> Event {
    Event::Request(Request { customer, ..new_request(id, 0, plan) })
}

/// Sends a request whose attempt is answered at once. Returns whether it was sent.
fn is_served(limiter: &mut Limiter, now: Micros, request: Event) -> bool {
    let actions = limiter.handle(now, &[request]);
    let ends = attempts_ended(&actions, Outcome::Ok);
    limiter.handle(now, &ends);
    !ends.is_empty()
}

/// Sends a request of each of `count` customers that were never seen before.
fn flood(limiter: &mut Limiter, now: Micros, first: CustomerId, count: u64) {
    for customer in first..first + count {
        is_served(limiter, now, request_of(customer, customer, LIMITED_PLAN));
    }
}

/// Guards against memory that grows with each new customer's name.
#[test]
fn ever_new_customers_stay_within_their_limit() {
    for plan in [LIMITED_PLAN, CEILING_PLAN] {
        let mut limiter = new_limiter_with_limit();
        for customer in 1_000..3_000 {
            let now = START + customer * MS;
            is_served(&mut limiter, now, request_of(customer, customer, plan));
            assert!(limiter.customer_count() <= MAX_CUSTOMERS, "{} customers", limiter.customer_count());
        }
    }
}

/// Nobody may get more than the plan by being forgotten: a customer comes back with a full bucket.
#[test]
fn forgotten_customer_gets_no_more_than_its_plan() {
    let mut limiter = new_limiter_with_limit();
    let mut now = START;
    let mut served = 0;
    let mut next_id = 1_000_000;
    for round in 0..20 {
        for _ in 0..40 {
            next_id += 1;
            served += u32::from(is_served(&mut limiter, now, request_of(7, next_id, LIMITED_PLAN)));
        }
        flood(&mut limiter, now + MS, 1_000 + round * 1_000, 2 * MAX_CUSTOMERS as u64);
        now += 100 * MS;
    }
    // Half of the burst, and half of the rate over two seconds.
    assert!(served <= 10 + 10, "{served} requests of a plan that allows 20");
}

/// A customer that sends all the time is not the one that is forgotten.
#[test]
fn active_customer_is_not_forgotten() {
    let mut limiter = new_limiter_with_limit();
    assert!(is_served(&mut limiter, START, request_of(7, 1, LIMITED_PLAN)));
    for round in 1..40 {
        let now = START + round * 250 * MS;
        flood(&mut limiter, now, 1_000 + round * 100, MAX_CUSTOMERS as u64 / 2);
        let request = request_of(7, 1_000_000 + round, LIMITED_PLAN);
        assert!(is_served(&mut limiter, now, request), "round {round}");
    }
}
