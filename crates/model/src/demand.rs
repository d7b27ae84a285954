//! Demand: every first try of a run, drawn ahead or taken from a capture. It does not wait for answers.

use rand::Rng;
use rand_distr::{Distribution, Exp, Gamma, Normal};
use sedgestack_fleet::{Class, Fleet, Load, Micros, Plan, Surge};

use crate::streams::{mix_bits, stream, uniform_between, Concern, Stream};

/// Draws of work that are made at most to meet given units; the last one stands then.
const MOST_DRAWS: usize = 64;
/// Requests sampled for the mean units of a class.
const UNITS_SAMPLE: usize = 4_096;
/// Least time between two spikes' ends and beginnings, seconds: a spike that touches the next is one spike.
const LEAST_REST: f64 = 0.1;

/// A client's first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, from the beginning of the load.
    pub at: Micros,
    /// The class's index in the fleet.
    pub class: usize,
    /// The plan's index in the fleet.
    pub plan: usize,
    /// The customer.
    pub customer: u64,
    /// The units it declares.
    pub units: f64,
    /// Microseconds of a core of speed 1.
    pub work: f64,
    /// Through how many limiters in a row it may come, after the last one from 0 on.
    pub spread: u32,
    /// The first of these.
    pub first_limiter: u32,
    /// How long its client waits.
    pub timeout: Micros,
}

/// All first tries, in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The first tries.
    pub arrivals: Vec<Arrival>,
    /// How long the load lasts.
    pub length: Micros,
}

/// How the units of a request follow from its work: one for each mean work begun, up to `most`.
pub fn units_for_work(work: f64, class: &Class, most: u32) -> f64 {
    (work / class.work as f64).ceil().clamp(1.0, f64::from(most))
}

/// Draws of one class's work.
pub struct WorkDistribution {
    gamma: Gamma<f64>,
}

impl WorkDistribution {
    /// Gamma-distributed work with the class's mean times `scale`, and its coefficient of variation.
    pub fn new(class: &Class, scale: f64) -> WorkDistribution {
        let shape = 1.0 / (class.work_cv * class.work_cv);
        let gamma = Gamma::new(shape, class.work as f64 * scale / shape).expect("a checked class has these");
        WorkDistribution { gamma }
    }

    /// Work of one request.
    pub fn draw(&self, rng: &mut Stream) -> f64 {
        self.gamma.sample(rng).max(1.0)
    }

    /// Work of one request that is known to have declared `units`. `scale` is that of [`WorkDistribution::new`].
    pub fn draw_for_units(&self, rng: &mut Stream, class: &Class, most: u32, units: f64, scale: f64) -> f64 {
        let mut work = self.draw(rng);
        for _ in 0..MOST_DRAWS {
            if units_for_work(work / scale, class, most) == units {
                return work;
            }
            work = self.draw(rng);
        }
        work
    }
}

/// Mean units of a request of a class.
pub fn mean_units(class: &Class, most: u32) -> f64 {
    let mut rng = stream(0, Concern::Work, u64::MAX);
    let work = WorkDistribution::new(class, 1.0);
    let sum: f64 = (0..UNITS_SAMPLE).map(|_| units_for_work(work.draw(&mut rng), class, most)).sum();
    sum / UNITS_SAMPLE as f64
}

/// How a customer sends requests.
struct Habit {
    plan: usize,
    id: u64,
    spread: u32,
    first_limiter: u32,
    /// Units a second outside spikes.
    rate: f64,
    /// Spikes: from, until, and times the rate.
    spikes: Vec<(Micros, Micros, f64)>,
}

/// Units a second that a customer of `plan` is expected to ask for inside its quota.
fn expected_inside(load: &Load, plan: &Plan) -> f64 {
    let usual = (load.usual_use.0 + load.usual_use.1) / 2.0;
    let rest = 1.0 - load.full - load.heavy - load.spiky;
    let spike_length = (load.spike_for.0 + load.spike_for.1) / 2.0;
    let spike_part = spike_length / (spike_length + (load.spike_every.0 + load.spike_every.1) / 2.0);
    let spiky = usual * (1.0 - spike_part) + spike_part;
    plan.rate * (rest * usual + load.full * 0.95 + load.heavy + load.spiky * spiky)
}

fn habit(fleet: &Fleet, plan: usize, number: u64, seed: u64) -> Habit {
    let load = &fleet.load;
    let rng = &mut stream(seed, Concern::Customers, (plan as u64) << 32 | number);
    let quota = &fleet.plans[plan];
    let kind: f64 = rng.random();
    let use_ = uniform_between(rng, load.usual_use);
    let mut spikes = Vec::new();
    let use_ = if kind < load.full {
        0.95
    } else if kind < load.full + load.heavy {
        uniform_between(rng, load.heavy_times)
    } else {
        if kind < load.full + load.heavy + load.spiky {
            let mut at = uniform_between(rng, (0.0, load.spike_every.1));
            while (at * 1e6) < load.length as f64 {
                let length = uniform_between(rng, load.spike_for);
                let times = uniform_between(rng, load.spike_times) / use_;
                spikes.push(((at * 1e6) as Micros, ((at + length) * 1e6) as Micros, times));
                at += length + uniform_between(rng, load.spike_every).max(LEAST_REST);
            }
        }
        use_
    };
    let limiters = fleet.limiter_count();
    Habit {
        plan,
        id: mix_bits(seed ^ mix_bits((plan as u64) << 40 | number)) >> 31,
        spread: rng.random_range(quota.spread.0..=quota.spread.1).min(limiters),
        first_limiter: rng.random_range(0..limiters),
        rate: use_ * quota.rate,
        spikes,
    }
}

fn surge_at(surges: &[Surge], class: usize, at: Micros) -> (f64, f64) {
    let within = |s: &&Surge| s.class == class && (s.from..s.from + s.span).contains(&at);
    surges.iter().filter(within).fold((1.0, 1.0), |(a, w), s| (a * s.arrivals, w * s.work))
}

/// Draws the load that a fleet file describes.
///
/// Customers of each plan are as many as make up its share of the units inside quotas; each asks by a Poisson
/// process whose rate swings, spikes and surges as the file says.
pub fn draw(fleet: &Fleet, seed: u64) -> Demand {
    let load = &fleet.load;
    let most = fleet.rules.most_units;
    let units: Vec<f64> = fleet.classes.iter().map(|c| mean_units(c, most)).collect();
    let mean: f64 = fleet.classes.iter().zip(&units).map(|(c, u)| c.share * u).sum();
    let mut arrivals = Vec::new();
    for (n, plan) in fleet.plans.iter().enumerate() {
        let wanted = load.rate * mean * plan.share;
        let customers = (wanted / expected_inside(load, plan)).round().max(1.0) as u64;
        // Whole customers rarely make up the share to the unit; each asks for that much more or less.
        let scale = wanted / (customers as f64 * expected_inside(load, plan));
        for number in 0..customers {
            let mut habit = habit(fleet, n, number, seed);
            habit.rate *= scale;
            ask(fleet, &habit, mean, seed, &mut arrivals);
        }
    }
    sort_arrivals(&mut arrivals);
    Demand { arrivals, length: load.length }
}

/// Sorts first tries by time; those of one moment by customer, so that the order never depends on how they
/// were gathered.
pub fn sort_arrivals(arrivals: &mut [Arrival]) {
    arrivals.sort_by_key(|a| (a.at, a.customer));
}

fn ask(fleet: &Fleet, habit: &Habit, mean_units: f64, seed: u64, arrivals: &mut Vec<Arrival>) {
    let load = &fleet.load;
    let rng = &mut stream(seed, Concern::Arrivals, habit.id);
    let work_rng = &mut stream(seed, Concern::Work, habit.id);
    let works: Vec<WorkDistribution> = fleet.classes.iter().map(|c| WorkDistribution::new(c, 1.0)).collect();
    // Thinning: candidates come at the highest rate there may be and stay with the share that holds then.
    let spike = habit.spikes.iter().map(|s| s.2).fold(1.0, f64::max);
    let surge = fleet.surges.iter().map(|s| s.arrivals.max(1.0)).product::<f64>();
    let base = habit.rate / mean_units;
    let most = base * spike * (1.0 + load.wave) * surge;
    if most <= 0.0 {
        return;
    }
    let gap = Exp::new(most / 1e6).expect("the rate is over 0");
    let mut at = gap.sample(rng);
    while (at as Micros) < load.length {
        let now = at as Micros;
        at += gap.sample(rng);
        let wave = 1.0 + load.wave * (now as f64 / load.wave_period as f64 * std::f64::consts::TAU).sin();
        let spike = habit.spikes.iter().find(|s| (s.0..s.1).contains(&now)).map_or(1.0, |s| s.2);
        let parts: Vec<f64> = (0..fleet.classes.len())
            .map(|c| fleet.classes[c].share * surge_at(&fleet.surges, c, now).0)
            .collect();
        let draw: f64 = rng.random::<f64>() * most;
        let mut left = draw / (base * wave * spike);
        let Some(class) = parts.iter().position(|part| {
            let chosen = left < *part;
            left -= part;
            chosen
        }) else {
            continue;
        };
        let spec = &fleet.classes[class];
        let work = works[class].draw(work_rng);
        let patience = uniform_between(rng, fleet.clients.abandon_after) * spec.deadline as f64;
        arrivals.push(Arrival {
            at: now,
            class,
            plan: habit.plan,
            customer: habit.id,
            units: units_for_work(work, spec, fleet.rules.most_units),
            work: work * surge_at(&fleet.surges, class, now).1,
            spread: habit.spread,
            first_limiter: habit.first_limiter,
            timeout: (patience as Micros).max(1_000),
        });
    }
}

/// The limiter of a customer's set through which it comes at a moment: weights are drawn anew every
/// `shift_every`, the more uneven the higher the skew; those in `down` are passed over while others are left.
pub fn draw_limiter(
    load: &Load,
    seed: u64,
    a: &Arrival,
    at: Micros,
    limiters: u32,
    down: &[bool],
    rng: &mut Stream,
) -> u32 {
    let epoch = (at + mix_bits(a.customer) % load.shift_every) / load.shift_every;
    let weights = &mut stream(seed, Concern::Clients, mix_bits(a.customer).wrapping_add(epoch));
    let normal = Normal::new(0.0, load.skew).expect("a checked skew is finite");
    let spread = a.spread.clamp(1, limiters);
    let set: Vec<(u32, f64)> =
        (0..spread).map(|n| ((a.first_limiter + n) % limiters, normal.sample(weights).exp())).collect();
    let up = |n: u32| !down[n as usize];
    let any_up = set.iter().any(|(n, _)| up(*n));
    let usable = |n: u32| up(n) || !any_up;
    let sum: f64 = set.iter().filter(|(n, _)| usable(*n)).map(|(_, w)| w).sum();
    let mut left = rng.random::<f64>() * sum;
    let mut chosen = set[0].0;
    for (n, weight) in set.iter().filter(|(n, _)| usable(*n)) {
        chosen = *n;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
