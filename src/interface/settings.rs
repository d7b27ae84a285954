//! The settings of a limiter.

use super::Micros;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution does no harm.
    Idempotent,
    /// The request carries an idempotency key. Backends that share a store of keys drop repeats.
    IdempotencyKey {
        /// The backends that share the store: a repeat is safe only among them.
        scope: KeyScope,
        /// Time after the start of the first attempt that may have run in which repeats are dropped.
        window: Micros,
    },
    /// The request must never run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a request that may have run can be retried on any backend, and so by the client.
    pub fn may_retry_on_any_backend(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. })
    }
}

/// The backends that share a store of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class in requests and in versions of the runtime configuration.
    pub name: String,
    /// Value of an answer of this class, relative to other classes.
    pub priority_weight: f64,
    /// Time within which an answer counts in full.
    pub latency_objective: Micros,
    /// Share of the priority weight that an answer earns after the latency objective.
    pub late_weight_share: f64,
    /// Whether requests of this class may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
}

/// A customer's plan. A rate, limit or ceiling of 0 means that there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the plan in requests and in versions of the runtime configuration.
    pub name: String,
    /// Quota in units per second.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of attempts that a customer may have in flight.
    pub concurrency_limit: u32,
    /// Hard ceiling in units per second.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Share of a request's priority weight that is lost when it is sent beyond the quota.
    pub over_quota_cost: f64,
    /// Multiplier on a request's priority weight.
    pub price: f64,
}

/// How endpoint lists arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Service discovery pushes changes.
    #[default]
    Push,
    /// Lists are delivered only on request.
    Poll {
        /// Time between two calls. A list counts as current for this long.
        interval: Micros,
    },
}

/// How backends warm up after their start, and what overloads them in this phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Minimum share of its capacity that a backend has when it starts.
    pub initial_share: f64,
    /// Maximum time until a backend is warm.
    pub duration: Micros,
    /// A backend is overloaded if it is sent more than this many times its current capacity within one
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Time over which the requests sent are compared with the capacity.
    pub overload_window: Micros,
}

/// Settings of a limiter.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this limiter, from 0.
    pub limiter: u32,
    /// Total number of limiters.
    pub limiters: u32,
    /// Zone of this limiter; backends of the same zone are preferred.
    pub zone: String,
    /// Minimum time between two batches of events.
    pub tick: Micros,
    /// Request classes, at least one; events refer to a class by its index.
    pub classes: Vec<Class>,
    /// Customers' plans, at least one; events refer to a plan by its index.
    pub plans: Vec<Plan>,
    /// How endpoint lists arrive; pushed by default.
    pub discovery: Discovery,
    /// How backends warm up after their start.
    pub slow_start: SlowStart,
    /// Time that attempts at a draining backend get to finish.
    pub drain_grace: Micros,
    /// Maximum number of attempts of a request, the first included.
    pub max_attempts: u32,
    /// Whether a second attempt may be sent while the first is in flight.
    pub hedged_requests: bool,
    /// Whether the program can cancel an attempt in flight
    /// ([`Action::CancelAttempt`](super::Action::CancelAttempt)).
    pub cancel: bool,
    /// Whether the program can send health checks ([`Action::HealthCheck`](super::Action::HealthCheck)).
    pub health_checks: bool,
    /// Whether the program can carry messages between limiters
    /// ([`Action::SendToPeers`](super::Action::SendToPeers)).
    pub peer_messages: bool,
    /// Maximum retry-after that clients honor; 0 if it is not passed on to them.
    pub max_retry_after: Micros,
    /// Timeout of a call to the shared quota counter; `None` if there is no counter.
    pub counter_timeout: Option<Micros>,
    /// Period of the usage meter; 0 if there is no meter.
    pub meter_period: Micros,
    /// Whether the units of a request are an estimate and the answer reports the actual cost.
    pub actual_cost_reported: bool,
    /// Maximum number of units of a request.
    pub max_units: f64,
}

/// Indices of a version's classes and plans in [`Settings::classes`] and [`Settings::plans`], in the order of
/// the version. A [`Request`](super::Request) that arrives under the version carries them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionIndices {
    /// One index in [`Settings::classes`] for each class of the version.
    pub classes: Vec<usize>,
    /// One index in [`Settings::plans`] for each plan of the version.
    pub plans: Vec<usize>,
}
