//! Measures the cost of leases by size of the tier, and by the fractions that responsible limiters grant and that are
//! divided into local shares.
//!
//! `cargo run --profile kit -p sedgestack-quota-lease --example cost [-- SEEDS]`
//!
//! For ten minutes one customer requests 70% of its quota on average, in bursts, through all limiters of a tier. Half
//! of the limiters receive nine tenths of the requests. The counter is reached by all limiters (`whole`), by none
//! (`gone`) or by every second one (`half`). The other columns are:
//!
//! - `served`: units sent within the quota, divided by the units that one token bucket with the quota's rate and burst
//!   for the whole tier admits;
//! - `calls`: calls to the counter per request;
//! - `asked`: requests to responsible limiters per request, each of which takes two datagrams;
//! - `worst/bound`: most units sent within any 10 s, divided by the bound.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use sedgestack_quota_lease::{Lease, LeaseRequest, LeaseTerms, Lender, Micros, Source};

const SECOND: Micros = 1_000_000;
const RUN_LENGTH: Micros = 600 * SECOND;
const DEFAULT_SEEDS: u64 = 20;
const CUSTOMER: u64 = 1;
/// Length of a phase. Each phase is busy or quiet at random.
const PHASE_LENGTH: Micros = 2 * SECOND;
const BUSY_LOAD: f64 = 1.2;
const QUIET_LOAD: f64 = 0.2;
/// Mean number of units of a request, drawn from 1 to 4.
const MEAN_UNITS: f64 = 2.5;
/// Span over which the units sent are compared with the bound.
const BOUND_SPAN: Micros = 10 * SECOND;

/// Selects the limiters that reach the counter.
#[derive(Clone, Copy)]
enum Links {
    Whole,
    Gone,
    Half,
}

impl Links {
    fn reach_counter(self, limiter: usize) -> bool {
        match self {
            Links::Whole => true,
            Links::Gone => false,
            Links::Half => limiter.is_multiple_of(2),
        }
    }
}

/// Totals over all runs of one configuration.
#[derive(Default)]
struct Totals {
    units_within_quota: f64,
    units_served: f64,
    requests: u64,
    counter_calls: u64,
    lender_requests: u64,
    max_bound_ratio: f64,
}

/// The quota as one token bucket for the whole tier, as a reference for leases.
struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated_at: Micros,
}

impl TokenBucket {
    fn spend(&mut self, now: Micros, units: f64) -> bool {
        let refill = self.rate * (now - self.updated_at) as f64 / 1e6;
        self.level = (self.level + refill).min(self.capacity);
        self.updated_at = now;
        let is_covered = self.level >= units;
        if is_covered {
            self.level -= units;
        }
        is_covered
    }
}

/// The quota counter's total of the latest window.
#[derive(Default)]
struct Counter {
    window: u64,
    total: f64,
}

impl Counter {
    fn add(&mut self, request: LeaseRequest) -> f64 {
        if request.window != self.window {
            *self = Counter { window: request.window, total: 0.0 };
        }
        self.total += request.amount;
        self.total
    }
}

/// Units sent at one time.
struct Sent {
    at: Micros,
    units: f64,
}

struct Simulation<'a> {
    terms: LeaseTerms,
    links: Links,
    rng: Xoshiro256PlusPlus,
    leases: Vec<Lease>,
    counter: Counter,
    lender: Lender,
    quota: TokenBucket,
    sent: Vec<Sent>,
    totals: &'a mut Totals,
}

impl Simulation<'_> {
    fn new(terms: LeaseTerms, links: Links, seed: u64, totals: &mut Totals) -> Simulation<'_> {
        let quota =
            TokenBucket { rate: terms.rate, capacity: terms.burst, level: terms.burst, updated_at: 0 };
        Simulation {
            terms,
            links,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            leases: vec![Lease::new(terms, 0); terms.limiters as usize],
            counter: Counter::default(),
            lender: Lender::default(),
            quota,
            sent: Vec::new(),
            totals,
        }
    }

    fn run(mut self) {
        let mut now = 0;
        while now < RUN_LENGTH {
            let phase_end = now + PHASE_LENGTH;
            self.run_phase(now, phase_end);
            now = phase_end;
        }
        let largest = self.max_bound_ratio();
        self.totals.max_bound_ratio = self.totals.max_bound_ratio.max(largest);
    }

    fn run_phase(&mut self, start: Micros, end: Micros) {
        let is_busy = self.rng.random::<f64>() < 0.5;
        let load = if is_busy { BUSY_LOAD } else { QUIET_LOAD };
        let requests_per_second = self.terms.rate * load / MEAN_UNITS;
        let mut now = start;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / requests_per_second * 1e6;
            now += gap as Micros;
            if now >= end {
                return;
            }
            let units = f64::from(self.rng.random_range(1..=4));
            let limiter = self.draw_limiter();
            self.take_request(limiter, now, units);
        }
    }

    fn draw_limiter(&mut self) -> usize {
        let limiters = self.leases.len();
        let busier_half = (limiters / 2).max(1);
        if self.rng.random::<f64>() < 0.8 {
            self.rng.random_range(0..busier_half)
        } else {
            self.rng.random_range(0..limiters)
        }
    }

    fn take_request(&mut self, limiter: usize, now: Micros, units: f64) {
        self.totals.requests += 1;
        let is_within_quota = self.quota.spend(now, units);
        if is_within_quota {
            self.totals.units_within_quota += units;
        }
        while let Some(request) = self.leases[limiter].next_request(now, units) {
            match self.ask(limiter, now, request) {
                Some(total) => self.leases[limiter].on_grant(now, request, total),
                None => self.leases[limiter].on_failure(request),
            }
        }
        if self.leases[limiter].spend(now, units) {
            self.sent.push(Sent { at: now, units });
            self.totals.units_served += if is_within_quota { units } else { 0.0 };
        }
    }

    /// Asks a source for units; returns the window's total, or `None` if there is no reply.
    fn ask(&mut self, limiter: usize, now: Micros, request: LeaseRequest) -> Option<f64> {
        match request.source {
            Source::Limiter(_) => {
                self.totals.lender_requests += 1;
                self.lender.lend(now, &self.terms, CUSTOMER, request)
            }
            Source::Counter if self.links.reach_counter(limiter) => {
                self.totals.counter_calls += 1;
                Some(self.counter.add(request))
            }
            Source::Counter => None,
        }
    }

    fn max_bound_ratio(&self) -> f64 {
        let bound = self.terms.bound(BOUND_SPAN).most;
        let mut oldest = 0;
        let mut units_within = 0.0;
        let mut largest = 0.0f64;
        for Sent { at, units } in &self.sent {
            units_within += units;
            while self.sent[oldest].at + BOUND_SPAN < *at {
                units_within -= self.sent[oldest].units;
                oldest += 1;
            }
            largest = largest.max(units_within / bound);
        }
        largest
    }
}

fn terms(limiter_count: u32, lent_fraction: f64, local_share_fraction: f64) -> LeaseTerms {
    LeaseTerms {
        rate: 7.2,
        burst: 31.0,
        limiters: limiter_count,
        counter_fraction: 1.0,
        lent_fraction,
        local_share_fraction,
        lenders: 1,
        max_clock_skew: 0,
        max_send_delay: 0,
        counters: 1,
    }
}

fn print_row(terms: &LeaseTerms, links: &str, totals: &Totals) {
    let per_request = |count: u64| count as f64 / totals.requests as f64;
    println!(
        "{:8} {:5.0}% {:5.0}% {:9.0}% {links:>8} {:7.3} {:6.2} {:6.2} {:12.2}",
        terms.limiters,
        terms.local_share_fraction * 100.0,
        terms.lent_fraction * 100.0,
        terms.bound(BOUND_SPAN).ratio() * 100.0,
        totals.units_served / totals.units_within_quota,
        per_request(totals.counter_calls),
        per_request(totals.lender_requests),
        totals.max_bound_ratio
    );
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    println!("limiters shares   lent  bound_10s  counter  served  calls  asked  worst/bound");
    for limiters in [3, 30, 300] {
        for (lent_fraction, local_share_fraction) in
            [(0.0, 0.0), (0.0, 0.3), (0.0, 1.0), (0.3, 0.0), (1.0, 0.0)]
        {
            let terms = terms(limiters, lent_fraction, local_share_fraction);
            for (name, links) in [("whole", Links::Whole), ("gone", Links::Gone), ("half", Links::Half)] {
                let mut totals = Totals::default();
                (0..seeds).for_each(|seed| Simulation::new(terms, links, seed, &mut totals).run());
                print_row(&terms, name, &totals);
            }
        }
    }
}
