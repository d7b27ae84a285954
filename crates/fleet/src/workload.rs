//! What customers ask of a fleet: classes, plans, and a described load.

use sedgestack_hcl::Micros;

/// Whether a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// At any time.
    Idempotent,
    /// With the same idempotency key: backends of one scope drop a repeat within a window.
    IdempotencyKey {
        /// The backends that know the key.
        scope: KeyScope,
        /// How long they know it.
        window: Micros,
    },
    /// Never.
    NotIdempotent,
}

/// The backends that share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Those of one pod.
    Pod,
    /// Those of one zone.
    Zone,
    /// All.
    All,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Part of first tries, all classes together 1.
    pub share: f64,
    /// Mean work, microseconds of a core of speed 1.
    pub work: Micros,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// Coefficient of variation from attempt to attempt of one request.
    pub attempt_cv: f64,
    /// Answers within it count in full.
    pub latency_objective: Micros,
    /// The longest that a client waits.
    pub deadline: Micros,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// Whether a request may be sent twice.
    pub idempotency: Idempotency,
}

/// A customers' plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The plan's name.
    pub name: String,
    /// Part of the units asked for inside quotas.
    pub share: f64,
    /// Units a second for each customer, over all limiters.
    pub rate: f64,
    /// Capacity of each customer's token bucket, units.
    pub burst: f64,
    /// Factor on what an answer is worth.
    pub price: f64,
    /// Part of a request's value that is lost where it is forwarded beyond the quota.
    pub over_quota_cost: f64,
    /// Limiters through which a customer comes: least and most.
    pub spread: (u32, u32),
}

/// Customers and clients of a described load.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// First tries a second inside quotas.
    pub rate: f64,
    /// How long the load lasts.
    pub length: Micros,
    /// The rate swings by this share, once over `wave_period`.
    pub wave: f64,
    /// The period of the swing.
    pub wave_period: Micros,
    /// Use of usual customers, as a share of their quota.
    pub usual_use: (f64, f64),
    /// Share of customers that use nearly all of their quota.
    pub full_share: f64,
    /// Share of customers that ask for a multiple of their quota.
    pub heavy_share: f64,
    /// That multiple: least and most.
    pub heavy_multiple: (f64, f64),
    /// Share of customers whose use spikes.
    pub spiky_share: f64,
    /// Use in a spike as a multiple of the quota: least and most.
    pub spike_multiple: (f64, f64),
    /// How long a spike lasts, seconds: least and most.
    pub spike_duration: (f64, f64),
    /// How long it is from one spike to the next, seconds: least and most.
    pub spike_interval: (f64, f64),
    /// How unevenly a customer's requests come through its limiters; 0 is even.
    pub skew: f64,
    /// How often that is drawn anew.
    pub skew_interval: Micros,
}

/// What clients do of themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Share of unserved first tries that are retried, once.
    pub retries: f64,
    /// The least time before a retry.
    pub backoff: Micros,
    /// Share of retries that honour a Retry-After.
    pub honour_share: f64,
    /// A try is abandoned after this part of its class's deadline: least and most.
    pub abandon_after: (f64, f64),
}

/// A stretch of a described load in which a class grows in number and in cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Surge {
    /// The class's index in [`Fleet::classes`](crate::Fleet::classes).
    pub class: usize,
    /// When the surge begins.
    pub from: Micros,
    /// How long it lasts.
    pub duration: Micros,
    /// Arrivals as a multiple of the usual ones.
    pub arrivals: f64,
    /// Work as a multiple of the usual one.
    pub work: f64,
}

/// How load is to grow over the observed one.
#[derive(Clone, Debug, PartialEq)]
pub struct Growth {
    /// The factor.
    pub factor: f64,
    /// What grows.
    pub by: GrowthBy,
    /// How uncertain the factor is, as a share of it.
    pub uncertainty: f64,
}

/// What grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowthBy {
    /// More customers with the same habits.
    Customers,
    /// The same customers, each asking more.
    Use,
}
