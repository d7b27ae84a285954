//! Demand: all first tries of a run, drawn in advance or taken from a capture. First tries arrive regardless of whether
//! earlier ones have been answered (open loop).

use rand::Rng;
use rand_distr::{Distribution, Exp, Gamma, Normal};
use sedgestack_fleet::{Class, Fleet, Load, Micros, Plan, Surge};

use crate::streams::{mix_bits, stream, uniform_between, Concern, Stream};

/// Maximum number of draws of work to match given units. After that, the last draw is used.
const MAX_DRAWS: usize = 64;
/// Number of requests sampled to estimate the mean units of a class.
const UNITS_SAMPLE_SIZE: usize = 4_096;
/// Minimum time between the end of a spike and the beginning of the next, in seconds. Without a gap, two spikes would
/// be one.
const MIN_SPIKE_GAP_S: f64 = 0.1;

/// A first try of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the client sends the request, from the beginning of the load.
    pub at: Micros,
    /// The class's index in the fleet.
    pub class: usize,
    /// The plan's index in the fleet.
    pub plan: usize,
    /// The customer that the client belongs to.
    pub customer: u64,
    /// The units that the request declares.
    pub units: f64,
    /// Work of the request, in microseconds on a core of speed 1.
    pub work: f64,
    /// Number of limiters among which the customer's requests are spread. Their numbers are consecutive and wrap around
    /// to 0 after the last limiter.
    pub spread: u32,
    /// Number of the first of these limiters.
    pub first_limiter: u32,
    /// How long the client waits for an answer.
    pub timeout: Micros,
}

/// All first tries of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The first tries, in order of time.
    pub arrivals: Vec<Arrival>,
    /// How long the load lasts.
    pub length: Micros,
}

/// Returns the units of a request with the given work: the work in multiples of the class's mean, rounded up, from 1 to
/// `max_units`.
pub fn units_for_work(work: f64, class: &Class, max_units: u32) -> f64 {
    (work / class.work as f64).ceil().clamp(1.0, f64::from(max_units))
}

/// The distribution of the work of one class.
pub struct WorkDistribution {
    gamma: Gamma<f64>,
}

impl WorkDistribution {
    /// Creates a gamma distribution with the class's mean work times `scale` and the class's coefficient of variation.
    pub fn new(class: &Class, scale: f64) -> WorkDistribution {
        let shape = 1.0 / (class.work_cv * class.work_cv);
        let gamma = Gamma::new(shape, class.work as f64 * scale / shape)
            .expect("a validated class has a positive mean and variation");
        WorkDistribution { gamma }
    }

    /// Draws the work of one request.
    pub fn draw(&self, rng: &mut Stream) -> f64 {
        self.gamma.sample(rng).max(1.0)
    }

    /// Draws the work of one request that declared `units`. `scale` must be the one given to [`WorkDistribution::new`].
    pub fn draw_for_units(
        &self,
        rng: &mut Stream,
        class: &Class,
        max_units: u32,
        units: f64,
        scale: f64,
    ) -> f64 {
        let mut work = self.draw(rng);
        for _ in 0..MAX_DRAWS {
            if units_for_work(work / scale, class, max_units) == units {
                return work;
            }
            work = self.draw(rng);
        }
        work
    }
}

/// Returns the mean units of a request of a class, estimated from a fixed sample.
pub fn mean_units(class: &Class, max_units: u32) -> f64 {
    let mut rng = stream(0, Concern::Work, u64::MAX);
    let work = WorkDistribution::new(class, 1.0);
    let sum: f64 =
        (0..UNITS_SAMPLE_SIZE).map(|_| units_for_work(work.draw(&mut rng), class, max_units)).sum();
    sum / UNITS_SAMPLE_SIZE as f64
}

/// The load profile of a customer.
struct CustomerProfile {
    plan: usize,
    id: u64,
    spread: u32,
    first_limiter: u32,
    /// Units per second outside spikes.
    rate: f64,
    /// Spikes: begin, end, and the factor by which the rate rises.
    spikes: Vec<(Micros, Micros, f64)>,
}

/// Returns the units per second that a customer of `plan` asks for within its quota on average.
fn expected_units_within_quota(load: &Load, plan: &Plan) -> f64 {
    let usual = (load.usual_use.0 + load.usual_use.1) / 2.0;
    let rest = 1.0 - load.full_share - load.heavy_share - load.spiky_share;
    let spike_length = (load.spike_duration.0 + load.spike_duration.1) / 2.0;
    let spike_part = spike_length / (spike_length + (load.spike_interval.0 + load.spike_interval.1) / 2.0);
    let spiky = usual * (1.0 - spike_part) + spike_part;
    plan.rate * (rest * usual + load.full_share * 0.95 + load.heavy_share + load.spiky_share * spiky)
}

/// Draws the load profile of customer `number` of a plan.
fn draw_customer(fleet: &Fleet, plan: usize, number: u64, seed: u64) -> CustomerProfile {
    let load = &fleet.load;
    let rng = &mut stream(seed, Concern::Customers, (plan as u64) << 32 | number);
    let quota = &fleet.plans[plan];
    let kind_draw: f64 = rng.random();
    let quota_use = uniform_between(rng, load.usual_use);
    let mut spikes = Vec::new();
    // Customers with a full quota use 95 % of it.
    let quota_use = if kind_draw < load.full_share {
        0.95
    } else if kind_draw < load.full_share + load.heavy_share {
        uniform_between(rng, load.heavy_multiple)
    } else {
        if kind_draw < load.full_share + load.heavy_share + load.spiky_share {
            let mut at = uniform_between(rng, (0.0, load.spike_interval.1));
            while (at * 1e6) < load.length as f64 {
                let length = uniform_between(rng, load.spike_duration);
                let factor = uniform_between(rng, load.spike_multiple) / quota_use;
                spikes.push(((at * 1e6) as Micros, ((at + length) * 1e6) as Micros, factor));
                at += length + uniform_between(rng, load.spike_interval).max(MIN_SPIKE_GAP_S);
            }
        }
        quota_use
    };
    let limiters = fleet.limiter_count();
    CustomerProfile {
        plan,
        id: mix_bits(seed ^ mix_bits((plan as u64) << 40 | number)) >> 31,
        spread: rng.random_range(quota.spread.0..=quota.spread.1).min(limiters),
        first_limiter: rng.random_range(0..limiters),
        rate: quota_use * quota.rate,
        spikes,
    }
}

/// Returns the factors by which surges raise the arrival rate and the work of a class at `at`.
fn surge_factors_at(surges: &[Surge], class: usize, at: Micros) -> (f64, f64) {
    let within = |s: &&Surge| s.class == class && (s.from..s.from + s.duration).contains(&at);
    surges.iter().filter(within).fold((1.0, 1.0), |(a, w), s| (a * s.arrivals, w * s.work))
}

/// Draws the load that a fleet file describes.
///
/// The number of customers of each plan follows from the plan's share of the units within quotas. Each customer sends
/// requests by a Poisson process whose rate changes with the waves, spikes and surges of the file.
pub fn draw(fleet: &Fleet, seed: u64) -> Demand {
    let load = &fleet.load;
    let max_units = fleet.rules.max_units;
    let units: Vec<f64> = fleet.classes.iter().map(|c| mean_units(c, max_units)).collect();
    let mean: f64 = fleet.classes.iter().zip(&units).map(|(c, u)| c.share * u).sum();
    let mut arrivals = Vec::new();
    for (n, plan) in fleet.plans.iter().enumerate() {
        let wanted = load.rate * mean * plan.share;
        let customers = (wanted / expected_units_within_quota(load, plan)).round().max(1.0) as u64;
        // The number of customers is rounded, so their rates are scaled to meet the share of the plan exactly.
        let scale = wanted / (customers as f64 * expected_units_within_quota(load, plan));
        for number in 0..customers {
            let mut profile = draw_customer(fleet, n, number, seed);
            profile.rate *= scale;
            draw_arrivals(fleet, &profile, mean, seed, &mut arrivals);
        }
    }
    sort_arrivals(&mut arrivals);
    Demand { arrivals, length: load.length }
}

/// Sorts first tries by time, and those of the same time by customer. The result does not depend on the order in which
/// they were collected.
pub fn sort_arrivals(arrivals: &mut [Arrival]) {
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.customer));
}

/// Draws the first tries of one customer.
fn draw_arrivals(
    fleet: &Fleet,
    profile: &CustomerProfile,
    mean_units: f64,
    seed: u64,
    arrivals: &mut Vec<Arrival>,
) {
    let load = &fleet.load;
    let rng = &mut stream(seed, Concern::Arrivals, profile.id);
    let work_rng = &mut stream(seed, Concern::Work, profile.id);
    let work_distributions: Vec<WorkDistribution> =
        fleet.classes.iter().map(|c| WorkDistribution::new(c, 1.0)).collect();
    // Thinning of a Poisson process: candidates arrive at the maximum rate, and each is kept with a probability of the
    // current rate divided by the maximum. The same draw chooses the class.
    let spike = profile.spikes.iter().map(|s| s.2).fold(1.0, f64::max);
    let surge = fleet.surges.iter().map(|s| s.arrivals.max(1.0)).product::<f64>();
    let base = profile.rate / mean_units;
    let max_rate = base * spike * (1.0 + load.wave) * surge;
    if max_rate <= 0.0 {
        return;
    }
    let gap = Exp::new(max_rate / 1e6).expect("the rate is positive");
    let mut at = gap.sample(rng);
    while (at as Micros) < load.length {
        let now = at as Micros;
        at += gap.sample(rng);
        let wave = 1.0 + load.wave * (now as f64 / load.wave_period as f64 * std::f64::consts::TAU).sin();
        let spike = profile.spikes.iter().find(|s| (s.0..s.1).contains(&now)).map_or(1.0, |s| s.2);
        let class_rates: Vec<f64> = (0..fleet.classes.len())
            .map(|c| fleet.classes[c].share * surge_factors_at(&fleet.surges, c, now).0)
            .collect();
        let draw: f64 = rng.random::<f64>() * max_rate;
        let mut remaining = draw / (base * wave * spike);
        let Some(class) = class_rates.iter().position(|class_rate| {
            let chosen = remaining < *class_rate;
            remaining -= class_rate;
            chosen
        }) else {
            continue;
        };
        let class_spec = &fleet.classes[class];
        let work = work_distributions[class].draw(work_rng);
        let patience = uniform_between(rng, fleet.clients.abandon_after) * class_spec.deadline as f64;
        arrivals.push(Arrival {
            at: now,
            class,
            plan: profile.plan,
            customer: profile.id,
            units: units_for_work(work, class_spec, fleet.rules.max_units),
            work: work * surge_factors_at(&fleet.surges, class, now).1,
            spread: profile.spread,
            first_limiter: profile.first_limiter,
            timeout: (patience as Micros).max(1_000),
        });
    }
}

/// Draws the limiter to which a customer sends a request at a given time.
///
/// The limiter is one of the customer's set, drawn by weights that change every `skew_interval`. The higher the skew of
/// the load, the more the weights differ. Limiters that are `down` are chosen only if the whole set is down.
pub fn draw_limiter(
    load: &Load,
    seed: u64,
    arrival: &Arrival,
    at: Micros,
    limiters: u32,
    down: &[bool],
    rng: &mut Stream,
) -> u32 {
    let epoch = (at + mix_bits(arrival.customer) % load.skew_interval) / load.skew_interval;
    let weights = &mut stream(seed, Concern::Clients, mix_bits(arrival.customer).wrapping_add(epoch));
    let normal = Normal::new(0.0, load.skew).expect("a validated skew is finite");
    let spread = arrival.spread.clamp(1, limiters);
    let set: Vec<(u32, f64)> =
        (0..spread).map(|n| ((arrival.first_limiter + n) % limiters, normal.sample(weights).exp())).collect();
    let up = |n: u32| !down[n as usize];
    let any_up = set.iter().any(|(n, _)| up(*n));
    let usable = |n: u32| up(n) || !any_up;
    let sum: f64 = set.iter().filter(|(n, _)| usable(*n)).map(|(_, w)| w).sum();
    let mut remaining = rng.random::<f64>() * sum;
    let mut chosen = set[0].0;
    for (n, weight) in set.iter().filter(|(n, _)| usable(*n)) {
        chosen = *n;
        remaining -= weight;
        if remaining < 0.0 {
            break;
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
