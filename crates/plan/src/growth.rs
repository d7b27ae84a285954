//! Scales demand to a multiple of its load by copying first tries or leaving some out.

use std::collections::BTreeMap;

use rand::Rng;

use sedgestack_fleet::{GrowthBy, Micros};
use sedgestack_model::demand::{sort_arrivals, Arrival, Demand};
use sedgestack_model::streams::{mix_bits, stream, Concern, Stream};

/// Maximum shift in time between a customer's arrivals and those of its copy, in microseconds.
const CUSTOMER_JITTER: f64 = 2_000_000.0;
/// Maximum shift in time between a request and its copy, in microseconds.
const REQUEST_JITTER: f64 = 1_000_000.0;
/// Identifies the random stream for copies of requests, apart from the streams for customers and for work.
const USE_STREAM: u64 = 3;

/// Scales first tries to `growth` times their load, by more customers of the same behaviour or by more requests of each
/// customer.
pub fn scale_demand(arrivals: Vec<Arrival>, length: Micros, growth: f64, by: GrowthBy, seed: u64) -> Demand {
    if growth == 1.0 {
        return Demand { arrivals, length };
    }
    let mut scaled = match by {
        GrowthBy::Use => repeat_requests(&arrivals, length, growth, seed),
        GrowthBy::Customers => repeat_customers(&arrivals, length, growth, seed),
    };
    sort_arrivals(&mut scaled);
    Demand { arrivals: scaled, length }
}

/// Copies or drops each request independently.
fn repeat_requests(arrivals: &[Arrival], length: Micros, growth: f64, seed: u64) -> Vec<Arrival> {
    let rng = &mut stream(seed, Concern::Resampling, USE_STREAM);
    let mut scaled = Vec::new();
    for arrival in arrivals {
        for copy in 0..draw_copy_count(growth, rng) {
            let at = if copy > 0 { jitter_time(arrival.at, length, rng) } else { arrival.at };
            scaled.push(Arrival { at, ..*arrival });
        }
    }
    scaled
}

/// Copies or drops each customer with all its requests.
fn repeat_customers(arrivals: &[Arrival], length: Micros, growth: f64, seed: u64) -> Vec<Arrival> {
    let mut shifts: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let mut scaled = Vec::new();
    for arrival in arrivals {
        let customer = arrival.customer;
        let shifts = shifts.entry(customer).or_insert_with(|| customer_shifts(customer, growth, seed));
        for (copy, shift) in shifts.iter().enumerate() {
            let at = (arrival.at as f64 + shift).clamp(0.0, length.saturating_sub(1) as f64) as Micros;
            let customer = if copy > 0 { mix_bits(customer ^ copy as u64) } else { customer };
            scaled.push(Arrival {
                at,
                customer,
                first_limiter: arrival.first_limiter + copy as u32,
                ..*arrival
            });
        }
    }
    scaled
}

/// Returns the shift in time of each copy of a customer. The first copy is the customer itself and is not shifted.
fn customer_shifts(customer: u64, growth: f64, seed: u64) -> Vec<f64> {
    let rng = &mut stream(seed, Concern::Resampling, mix_bits(customer));
    let shift = |copy| if copy > 0 { CUSTOMER_JITTER * (2.0 * rng.random::<f64>() - 1.0) } else { 0.0 };
    let count = draw_copy_count(growth, &mut stream(seed, Concern::Resampling, !mix_bits(customer)));
    (0..count).map(shift).collect()
}

/// Draws a whole number of copies whose mean is `weight`: its integer part, plus one with the probability of its
/// fraction.
pub fn draw_copy_count(weight: f64, rng: &mut Stream) -> u32 {
    weight.floor() as u32 + u32::from(rng.random::<f64>() < weight.fract())
}

/// Draws the time for a copy of a request that arrived at `at`, within a load of the given length.
pub fn jitter_time(at: Micros, length: Micros, rng: &mut Stream) -> Micros {
    let time = at as f64 + REQUEST_JITTER * (2.0 * rng.random::<f64>() - 1.0);
    time.clamp(0.0, length.saturating_sub(1) as f64) as Micros
}
