//! Request classes, customers' plans, client behavior, and the described load.

use sedgestack_hcl::Micros;

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeated execution is harmless.
    Idempotent,
    /// A request may be repeated with the same idempotency key: the backends of one scope ignore a repeat within a
    /// time window.
    IdempotencyKey {
        /// The backends that share the key.
        scope: KeyScope,
        /// How long the backends remember the key, in microseconds.
        window: Micros,
    },
    /// Requests must not be repeated.
    NotIdempotent,
}

/// Which backends share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// The backends of one pod.
    Pod,
    /// The backends of one zone.
    Zone,
    /// All backends.
    All,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Share of the first tries; the shares of all classes add up to 1.
    pub share: f64,
    /// Mean work of a request, in microseconds of a core of speed 1.
    pub work: Micros,
    /// Coefficient of variation of the work between requests.
    pub work_cv: f64,
    /// Coefficient of variation of the work between the attempts of one request.
    pub attempt_cv: f64,
    /// Maximum latency of an answer that counts as in time, in microseconds.
    pub latency_objective: Micros,
    /// Maximum time that a client waits for an answer, in microseconds.
    pub deadline: Micros,
    /// Value of an answer in time, per unit and before the factor of the customer's plan.
    pub priority_weight: f64,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
}

/// A plan that customers subscribe to, with its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The plan's name.
    pub name: String,
    /// Share of the units requested within quotas; the shares of all plans add up to 1.
    pub share: f64,
    /// Quota of each customer over all limiters, in units per second.
    pub rate: f64,
    /// Capacity of each customer's token bucket, in units.
    pub burst: f64,
    /// Factor on the priority weight of the class.
    pub price: f64,
    /// Cost of forwarding a request beyond the quota, as a multiple of the request's value.
    pub over_quota_cost: f64,
    /// Minimum and maximum number of limiters that a customer's requests arrive through.
    pub spread: (u32, u32),
}

/// The described load, from which the model draws customers and their requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Mean rate of the first tries within quotas, in requests per second.
    pub rate: f64,
    /// Duration of the load, in microseconds.
    pub length: Micros,
    /// Amplitude of the rate's periodic variation, as a share of `rate`.
    pub wave: f64,
    /// Period of this variation, in microseconds.
    pub wave_period: Micros,
    /// Minimum and maximum use of ordinary customers, and of spiky ones between spikes, as a share of their quota.
    pub usual_use: (f64, f64),
    /// Share of the customers that use nearly all of their quota.
    pub full_share: f64,
    /// Share of the customers that permanently request a multiple of their quota.
    pub heavy_share: f64,
    /// Minimum and maximum use of heavy customers, as a multiple of their quota.
    pub heavy_multiple: (f64, f64),
    /// Share of the customers whose use has spikes.
    pub spiky_share: f64,
    /// Minimum and maximum use during a spike, as a multiple of the quota.
    pub spike_multiple: (f64, f64),
    /// Minimum and maximum duration of a spike, in seconds.
    pub spike_duration: (f64, f64),
    /// Minimum and maximum time between two spikes, in seconds.
    pub spike_interval: (f64, f64),
    /// How unevenly a customer's requests are distributed over its limiters; 0 is even.
    pub skew: f64,
    /// Time after which the distribution of a customer's requests is drawn again, in microseconds.
    pub skew_interval: Micros,
}

/// How clients retry and abandon requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Share of the unserved first tries that are retried; each is retried once at most.
    pub retries: f64,
    /// Minimum time before a retry, in microseconds.
    pub backoff: Micros,
    /// Share of the retries that wait as long as `Retry-After` says.
    pub honour_share: f64,
    /// Minimum and maximum time after which a client abandons a try, as a share of the class's deadline.
    pub abandon_after: (f64, f64),
}

/// A period of the described load in which the arrival rate and the work of a class are multiplied.
#[derive(Clone, Debug, PartialEq)]
pub struct Surge {
    /// The class's index in [`Fleet::classes`](crate::Fleet::classes).
    pub class: usize,
    /// Start of the surge, in microseconds from the start of the load.
    pub from: Micros,
    /// Duration of the surge, in microseconds.
    pub duration: Micros,
    /// Factor on the arrival rate of the class.
    pub arrivals: f64,
    /// Factor on the work of each request.
    pub work: f64,
}

/// Expected growth of the load beyond today's.
#[derive(Clone, Debug, PartialEq)]
pub struct Growth {
    /// Factor on today's load.
    pub factor: f64,
    /// Whether the customers or their use grow.
    pub by: GrowthBy,
    /// Uncertainty of the factor, as a share of it.
    pub uncertainty: f64,
}

/// What makes the load grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowthBy {
    /// More customers, each with the same use.
    Customers,
    /// The same customers, each with more requests.
    Use,
}
