//! Simulated tiers of limiters under random faults, whose sent units are compared with the bound over every span of
//! time, and mutants that the same check must catch.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use sedgestack_quota_lease::{responsible_limiters, Lease, LeaseRequest, LeaseTerms, Lender, Micros, Source};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const RUN_LENGTH: Micros = 90 * SECOND;
const CUSTOMER: u64 = 0x5eed;
const LENDERS: u32 = 2;
const SKEW_MS: i64 = 50;
/// Maximum duration of a call to the counter, for the validation of the terms.
const CALL_TIMEOUT: Micros = 100 * MS;
/// Usual delay of a reply.
const REPLY_DELAY: Micros = 20 * MS;
/// Delay of a late reply, whose window has ended.
const LATE_REPLY_DELAY: Micros = 5 * SECOND;
/// Time after which a limiter connects to the next of several counters.
const COUNTER_CHANGE_INTERVAL: Micros = 15 * SECOND;
/// Minimum time between two losses of the counter's totals, in the mutant that loses them.
const TOTALS_LOST_INTERVAL: Micros = 5 * SECOND;

/// A deliberate bug in the implementation.
#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// A grant expires with the window in which its reply arrives, not with that of its request.
    ExpiresFromReply,
    /// A restarted limiter has its local share, and grants units, again at once.
    ForgetsWhatItSpent,
    /// A limiter that was suspended sends by the time at which it was suspended.
    SendsByStaleClock,
    /// The counter loses its totals although the terms exclude this.
    LosesTotals,
}

struct Limiter {
    lease: Lease,
    lender: Lender,
    /// Offset of the limiter's clock from true time.
    clock_offset: i64,
    suspended_until: Micros,
    suspended_at: Micros,
}

/// Units sent at one time.
#[derive(Clone, Copy)]
struct Sent {
    at: Micros,
    units: f64,
}

struct Tier {
    terms: LeaseTerms,
    limiters: Vec<Limiter>,
    /// Totals of each counter by window.
    counters: Vec<BTreeMap<u64, f64>>,
    sent: Vec<Sent>,
    rejected: u64,
    mutant: Mutant,
}

/// A reply on its way.
struct Reply {
    arrives_at: Micros,
    limiter: usize,
    request: LeaseRequest,
    total: f64,
}

struct Simulation {
    rng: Xoshiro256PlusPlus,
    tier: Tier,
    now: Micros,
    replies: Vec<Reply>,
    counter_down_until: Micros,
    totals_lost_at: Micros,
}

/// Parameters of a simulated run.
#[derive(Clone, Copy)]
struct Setup {
    limiters: u32,
    counters: u32,
    lent_fraction: f64,
    mutant: Mutant,
}

impl Setup {
    fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            rate: 20.0,
            burst: 80.0,
            limiters: self.limiters,
            counter_fraction: 1.0 - self.lent_fraction,
            lent_fraction: self.lent_fraction,
            local_share_fraction: 0.25,
            lenders: LENDERS,
            max_clock_skew: SKEW_MS as Micros * MS,
            max_send_delay: 30 * MS,
            counters: self.counters,
        }
    }

    /// Simulates a run in which the customer requests three times its quota, with random faults from `seed`.
    fn run(&self, seed: u64) -> Tier {
        let mut simulation = Simulation::new(self, seed);
        while simulation.now < RUN_LENGTH {
            simulation.step();
        }
        simulation.tier
    }
}

impl Simulation {
    fn new(setup: &Setup, seed: u64) -> Simulation {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let terms = setup.terms();
        terms.check(CALL_TIMEOUT).expect("the terms are valid");
        let limiters = (0..setup.limiters).map(|_| Limiter {
            lease: Lease::new(terms, 0),
            lender: Lender::new(0),
            clock_offset: rng.random_range(-SKEW_MS..=SKEW_MS) * MS as i64,
            suspended_until: 0,
            suspended_at: 0,
        });
        let limiters = limiters.collect();
        let counters = vec![BTreeMap::new(); setup.counters as usize];
        let tier = Tier { terms, limiters, counters, sent: Vec::new(), rejected: 0, mutant: setup.mutant };
        Simulation { rng, tier, now: SECOND, replies: Vec::new(), counter_down_until: 0, totals_lost_at: 0 }
    }

    /// Advances the time by a random step. Then one limiter may fail, otherwise handles a request and asks for units.
    fn step(&mut self) {
        self.now += self.rng.random_range(1..=30) * MS;
        self.deliver_replies();
        let limiter = self.rng.random_range(0..self.tier.limiters.len());
        self.inject_fault(limiter);
        if self.now < self.tier.limiters[limiter].suspended_until {
            return;
        }
        let units = self.rng.random_range(1..=4).into();
        self.tier.take_request(limiter, self.now, units);
        let clock = self.tier.clock(limiter, self.now);
        let Some(request) = self.tier.limiters[limiter].lease.next_request(clock, 4.0) else { return };
        match request.source {
            Source::Counter => self.call_counter(limiter, request),
            Source::Limiter(rank) => self.ask_lender(limiter, rank, request),
        }
    }

    fn deliver_replies(&mut self) {
        let now = self.now;
        let due: Vec<Reply> = self.replies.extract_if(.., |reply| reply.arrives_at <= now).collect();
        for Reply { limiter, mut request, total, .. } in due {
            let clock = self.tier.clock(limiter, now);
            if self.tier.mutant == Mutant::ExpiresFromReply {
                request.window = clock / self.tier.terms.window_length();
            }
            self.tier.limiters[limiter].lease.on_grant(clock, request, total);
        }
    }

    fn inject_fault(&mut self, limiter: usize) {
        let may_lose_totals =
            self.tier.mutant == Mutant::LosesTotals && self.now > self.totals_lost_at + TOTALS_LOST_INTERVAL;
        match self.rng.random_range(0..400) {
            0 => self.counter_down_until = self.now + self.rng.random_range(1..20) * SECOND,
            1 => self.suspend(limiter),
            2..=4 => self.tier.restart(limiter, self.now),
            5 if may_lose_totals => {
                self.totals_lost_at = self.now;
                self.tier.counters[0].clear();
            }
            _ => {}
        }
    }

    /// Suspends a limiter immediately after it was granted units, before it can send them.
    fn suspend(&mut self, limiter: usize) {
        let until = self.now + self.rng.random_range(1..9) * SECOND;
        let clock = self.tier.clock(limiter, self.now);
        let suspended = &mut self.tier.limiters[limiter];
        let is_counter_up = self.now >= self.counter_down_until;
        let request = suspended.lease.next_request(clock, 30.0);
        if let Some(request) = request.filter(|r| r.source == Source::Counter && is_counter_up) {
            let total = self.tier.counters[0].entry(request.window).or_default();
            *total += request.amount;
            suspended.lease.on_grant(clock, request, *total);
        }
        suspended.suspended_until = until;
        suspended.suspended_at = self.now;
    }

    fn call_counter(&mut self, limiter: usize, request: LeaseRequest) {
        // Each limiter is connected to one of the counters, and connects to the next one at intervals.
        let counter = (limiter + (self.now / COUNTER_CHANGE_INTERVAL) as usize) % self.tier.counters.len();
        let is_answered = self.now >= self.counter_down_until && self.rng.random::<f64>() > 0.03;
        let total = self.tier.counters[counter].entry(request.window).or_default();
        // The amount may be added to the total even if the reply is lost.
        if is_answered || self.rng.random::<f64>() < 0.5 {
            *total += request.amount;
        }
        let total = *total;
        if !is_answered {
            self.tier.limiters[limiter].lease.on_failure(request);
            return;
        }
        let is_late = self.rng.random::<f64>() < 0.05;
        let delay = if is_late { LATE_REPLY_DELAY } else { REPLY_DELAY };
        self.replies.push(Reply { arrives_at: self.now + delay, limiter, request, total });
    }

    fn ask_lender(&mut self, limiter: usize, rank: u32, request: LeaseRequest) {
        let limiters = self.tier.limiters.len();
        let responsible = responsible_limiters(CUSTOMER, limiters as u32, LENDERS);
        let lender = responsible[rank as usize % limiters] as usize;
        let clock = self.tier.clock(lender, self.now);
        let is_suspended = self.now < self.tier.limiters[lender].suspended_until;
        let is_reached = !is_suspended && self.rng.random::<f64>() > 0.2;
        // Each rank has separate totals, even if the same limiter has both ranks.
        let customer = CUSTOMER + u64::from(rank);
        let total = if is_reached {
            let terms = self.tier.terms;
            self.tier.limiters[lender].lender.lend(clock, &terms, customer, request)
        } else {
            None
        };
        match total.filter(|_| self.rng.random::<f64>() > 0.2) {
            Some(total) => {
                let arrives_at = self.now + REPLY_DELAY;
                self.replies.push(Reply { arrives_at, limiter, request, total });
            }
            None => self.tier.limiters[limiter].lease.on_failure(request),
        }
    }
}

impl Tier {
    fn clock(&self, limiter: usize, now: Micros) -> Micros {
        now.saturating_add_signed(self.limiters[limiter].clock_offset)
    }

    fn restart(&mut self, limiter: usize, now: Micros) {
        let is_mutant = self.mutant == Mutant::ForgetsWhatItSpent;
        let started_at = if is_mutant { 0 } else { self.clock(limiter, now) };
        self.limiters[limiter].lease = Lease::new(self.terms, started_at);
        self.limiters[limiter].lender = Lender::new(started_at);
    }

    fn take_request(&mut self, limiter: usize, now: Micros, units: f64) {
        let clock = self.clock(limiter, now);
        let taker = &mut self.limiters[limiter];
        let sends_by_stale_clock = self.mutant == Mutant::SendsByStaleClock && taker.suspended_at > 0;
        let stale_clock = std::mem::take(&mut taker.suspended_at).saturating_add_signed(taker.clock_offset);
        while sends_by_stale_clock && taker.lease.spend(stale_clock, 1.0) {
            self.sent.push(Sent { at: now, units: 1.0 });
        }
        if taker.lease.spend(clock, units) {
            self.sent.push(Sent { at: now, units });
        } else {
            self.rejected += 1;
        }
    }

    /// Returns the most units sent within any `span`, divided by the bound. A value above 1 violates the bound.
    fn max_bound_ratio(&self, span: Micros) -> f64 {
        let bound = self.terms.bound(span).most;
        let mut oldest = 0;
        let mut units_within = 0.0;
        let mut largest = 0.0f64;
        for Sent { at, units } in &self.sent {
            units_within += units;
            while self.sent[oldest].at + span < *at {
                units_within -= self.sent[oldest].units;
                oldest += 1;
            }
            largest = largest.max(units_within / bound);
        }
        largest
    }

    /// Whether the units sent within any window exceed its allowance. Near the ends of a window clocks may disagree
    /// about the current window, so only units that were sent further from the ends, by true time, are counted.
    fn exceeds_allowance(&self) -> bool {
        let window = self.terms.window_length();
        let skew = self.terms.max_clock_skew;
        let parts = f64::from(self.terms.counters) * self.terms.counter_fraction
            + self.terms.lent_fraction
            + self.terms.local_share_fraction;
        let mut sums = BTreeMap::<u64, f64>::new();
        for Sent { at, units } in &self.sent {
            if (skew..window - skew).contains(&(at % window)) {
                *sums.entry(at / window).or_default() += units;
            }
        }
        sums.values().any(|sum| *sum > self.terms.burst * parts + 1e-6)
    }

    fn violates_bound(&self) -> bool {
        let spans = [100 * MS, SECOND, 4 * SECOND, 10 * SECOND, 60 * SECOND];
        self.exceeds_allowance() || spans.iter().any(|span| self.max_bound_ratio(*span) > 1.0)
    }
}

#[test]
fn no_span_of_any_run_exceeds_the_bound() {
    let mut largest = 0.0f64;
    for seed in 0..150 {
        for (limiters, counters, lent_fraction) in
            [(1, 1, 0.4), (3, 1, 0.4), (3, 1, 0.0), (3, 2, 0.4), (30, 1, 0.4), (30, 1, 0.9)]
        {
            let tier = Setup { limiters, counters, lent_fraction, mutant: Mutant::None }.run(seed);
            assert!(
                !tier.violates_bound(),
                "seed {seed}, {limiters} limiters, {counters} counters, {lent_fraction} lent"
            );
            assert!(tier.rejected > 1_000, "seed {seed}: the load must exceed the quota");
            largest = largest.max(tier.max_bound_ratio(10 * SECOND));
        }
    }
    // The bound must not be far above what can happen.
    assert!(largest > 0.6, "{largest}");
}

/// Returns the number of seeds below `seeds` with which a tier with this mutant violates the bound.
fn count_caught(mutant: Mutant, lent_fraction: f64, seeds: u64) -> usize {
    let setup = Setup { limiters: 3, counters: 1, lent_fraction, mutant };
    (0..seeds).filter(|seed| setup.run(*seed).violates_bound()).count()
}

#[test]
fn check_catches_each_mutant() {
    let without_mutant = count_caught(Mutant::None, 0.0, 40);
    let mutants = [
        Mutant::ExpiresFromReply,
        Mutant::ForgetsWhatItSpent,
        Mutant::SendsByStaleClock,
        Mutant::LosesTotals,
    ];
    let caught = mutants.map(|mutant| count_caught(mutant, 0.0, 40));
    assert!(without_mutant == 0 && caught.iter().all(|n| *n > 0), "{without_mutant}, {caught:?}");
    // Without any other source, the mutant still violates the bound: restarted responsible limiters grant again what
    // they granted before.
    assert!(count_caught(Mutant::ForgetsWhatItSpent, 1.0, 40) > 0);
}
