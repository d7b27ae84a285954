//! Demand at another load than was captured or drawn: first tries copied, or left out.

use std::collections::BTreeMap;

use rand::Rng;

use sedgestack_fleet::{GrowthBy, Micros};
use sedgestack_model::demand::{sort_arrivals, Arrival, Demand};
use sedgestack_model::streams::{mix_bits, stream, Concern, Stream};

/// Copies of a customer are moved in time by up to this, microseconds.
const CUSTOMER_JITTER: f64 = 2_000_000.0;
/// Copies of a request are moved in time by up to this, microseconds.
const REQUEST_JITTER: f64 = 1_000_000.0;
/// The part of the stream of resampled requests; other parts belong to customers and to work.
const USE_STREAM: u64 = 3;

/// First tries at `growth` times their load: more customers with the same habits, or more requests of each customer.
pub fn grown(arrivals: Vec<Arrival>, length: Micros, growth: f64, by: GrowthBy, seed: u64) -> Demand {
    if growth == 1.0 {
        return Demand { arrivals, length };
    }
    let mut grown = match by {
        GrowthBy::Use => repeat_requests(&arrivals, length, growth, seed),
        GrowthBy::Customers => repeat_customers(&arrivals, length, growth, seed),
    };
    sort_arrivals(&mut grown);
    Demand { arrivals: grown, length }
}

fn repeat_requests(arrivals: &[Arrival], length: Micros, growth: f64, seed: u64) -> Vec<Arrival> {
    let rng = &mut stream(seed, Concern::Resampling, USE_STREAM);
    let mut grown = Vec::new();
    for arrival in arrivals {
        for copy in 0..copies(growth, rng) {
            let at = if copy > 0 { jittered(arrival.at, length, rng) } else { arrival.at };
            grown.push(Arrival { at, ..*arrival });
        }
    }
    grown
}

fn repeat_customers(arrivals: &[Arrival], length: Micros, growth: f64, seed: u64) -> Vec<Arrival> {
    let mut shifts: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let mut grown = Vec::new();
    for arrival in arrivals {
        let customer = arrival.customer;
        let shifts = shifts.entry(customer).or_insert_with(|| customer_shifts(customer, growth, seed));
        for (copy, shift) in shifts.iter().enumerate() {
            let at = (arrival.at as f64 + shift).clamp(0.0, length.saturating_sub(1) as f64) as Micros;
            let customer = if copy > 0 { mix_bits(customer ^ copy as u64) } else { customer };
            grown.push(Arrival {
                at,
                customer,
                first_limiter: arrival.first_limiter + copy as u32,
                ..*arrival
            });
        }
    }
    grown
}

/// By how much each copy of a customer is moved in time; the first one stays.
fn customer_shifts(customer: u64, growth: f64, seed: u64) -> Vec<f64> {
    let rng = &mut stream(seed, Concern::Resampling, mix_bits(customer));
    let shift = |copy| if copy > 0 { CUSTOMER_JITTER * (2.0 * rng.random::<f64>() - 1.0) } else { 0.0 };
    let count = copies(growth, &mut stream(seed, Concern::Resampling, !mix_bits(customer)));
    (0..count).map(shift).collect()
}

/// How many copies a weight stands for: its whole part, and one more with the chance of the rest.
pub fn copies(weight: f64, rng: &mut Stream) -> u32 {
    weight.floor() as u32 + u32::from(rng.random::<f64>() < weight.fract())
}

/// A moment for the copy of a request that came at `at`, within a load of this length.
pub fn jittered(at: Micros, length: Micros, rng: &mut Stream) -> Micros {
    let to = at as f64 + REQUEST_JITTER * (2.0 * rng.random::<f64>() - 1.0);
    to.clamp(0.0, length.saturating_sub(1) as f64) as Micros
}
