//! The machines of a fleet and what lies between them.

use sedgestack_hcl::Micros;

/// A zone: a place whose machines may vanish together.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// Backends of each kind, by the kind's index in [`Fleet::backend_kinds`](crate::Fleet::backend_kinds).
    pub backends: Vec<u32>,
    /// Limiters in the zone.
    pub limiters: u32,
}

/// One-way delays, microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delays {
    /// Between machines of one zone.
    pub same_zone: Micros,
    /// Between machines of two zones.
    pub cross_zone: Micros,
    /// Between clients and limiters.
    pub client: Micros,
    /// Share by which a delay varies, 0 to 1.
    pub jitter: f64,
}

/// What a backend does with queued work that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelPolicy {
    /// It is begun all the same.
    Ignored,
    /// It is dropped while it waits; begun work goes on.
    Queued,
}

/// A kind of backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendKind {
    /// The kind's name.
    pub name: String,
    /// Cores of one backend.
    pub cores: u32,
    /// Work done a second by one core, 1 for the machine on which classes' work was measured.
    pub speed: f64,
    /// Coefficient of variation of the speed from backend to backend.
    pub speed_cv: f64,
    /// Requests that are processed at once, all cores together.
    pub slots: u32,
    /// Requests that may be queued behind them.
    pub queue_capacity: u32,
    /// Share of the capacity lost where more than `thrash_at` requests a core are processed, 0 to 1.
    pub thrash: f64,
    /// Requests a core from which capacity is lost.
    pub thrash_at: f64,
    /// Share of its capacity with which a backend starts.
    pub slow_start_share: f64,
    /// How long a backend warms up, until it has its full capacity.
    pub slow_start: Micros,
    /// Connections that a backend accepts.
    pub connections: u32,
    /// CPU of a new connection, microseconds of a core.
    pub handshake: Micros,
    /// What becomes of queued work that was cancelled.
    pub cancel: CancelPolicy,
    /// Whether queued work past its deadline is dropped.
    pub drops_expired: bool,
    /// How often load reports are renewed.
    pub report_interval: Micros,
    /// How much later a load report is visible to limiters.
    pub report_delay: Micros,
    /// Noise of load reports, as a share.
    pub report_noise: f64,
    /// Share of requests answered with an error.
    pub error_share: f64,
}

/// The quota counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counter {
    /// Its zone's index in [`Fleet::zones`](crate::Fleet::zones).
    pub zone: usize,
    /// Calls that it serves a second.
    pub calls_per_second: f64,
    /// Time of one call beside the network and the queue.
    pub delay: Micros,
    /// After which limiters give a call up.
    pub timeout: Micros,
    /// Calls that may be queued.
    pub queue_capacity: u32,
    /// Where its zone is lost, it is back elsewhere after this, empty.
    pub recovery_time: Micros,
}

/// What a limiter has and costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limiter {
    /// Share of a core.
    pub cores: f64,
    /// CPU of a request with its attempts, microseconds of a core.
    pub cpu_per_request: f64,
    /// Sockets that a limiter may have open.
    pub sockets: u32,
    /// Memory of a limiter, megabytes.
    pub memory_mb: u32,
}

/// How long service discovery takes: least and most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Discovery {
    /// From a backend's death until limiters are notified.
    pub removal_delay: (Micros, Micros),
    /// The same for a backend whose machine fell silent.
    pub silent_removal_delay: (Micros, Micros),
    /// From a backend's start until limiters are notified.
    pub addition_delay: (Micros, Micros),
    /// From a limiter's death until clients' load balancer passes it over.
    pub limiter_removal_delay: (Micros, Micros),
}

/// The rules of the platform that limiters keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRules {
    /// How long before a backend's announced end limiters stop sending to it.
    pub drain_grace: Micros,
    /// A backend that is warming up fails once it is sent more than this many times its present capacity.
    pub overload_multiple: f64,
    /// The window over which that is measured.
    pub overload_window: Micros,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// The longest hint in a rejection after which a retry is welcome.
    pub max_retry_after: Micros,
    /// After which a connection that does not come up is given up.
    pub connect_timeout: Micros,
    /// After which backends close idle connections.
    pub keepalive: Micros,
    /// Units that one request may declare.
    pub max_units: u32,
}

/// Where one backend is. Backends are numbered zone by zone, kind by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLocation {
    /// Its zone's index.
    pub zone: usize,
    /// Its kind's index.
    pub kind: usize,
    /// The number of its pod.
    pub pod: u32,
}
