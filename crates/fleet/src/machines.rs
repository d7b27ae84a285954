//! Zones, backends, limiters, the quota counter, the network between them, and the platform's limits.

use sedgestack_hcl::Micros;

/// A zone, whose machines may all fail at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// Number of backends of each kind, by the kind's index in [`Fleet::backend_kinds`](crate::Fleet::backend_kinds).
    pub backends: Vec<u32>,
    /// Number of limiters in the zone.
    pub limiters: u32,
}

/// Mean one-way network delays, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delays {
    /// Between machines of one zone.
    pub same_zone: Micros,
    /// Between machines of different zones.
    pub cross_zone: Micros,
    /// Between clients and limiters.
    pub client: Micros,
    /// Maximum random deviation from each of these mean delays, as a share of it, 0 to 1.
    pub jitter: f64,
}

/// What a backend does with canceled requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelPolicy {
    /// Cancellation has no effect: queued requests are processed as well.
    Ignored,
    /// Requests still in the queue are dropped; those being processed run to their end.
    Queued,
}

/// A kind of backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendKind {
    /// The kind's name.
    pub name: String,
    /// Number of cores of one backend.
    pub cores: u32,
    /// Speed of one core, relative to the machine on which the classes' work was measured.
    pub speed: f64,
    /// Coefficient of variation of the speed between backends.
    pub speed_cv: f64,
    /// Maximum number of requests that a backend processes concurrently, over all cores.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue_capacity: u32,
    /// Share of the capacity that contention costs at twice `thrash_at` concurrent requests per core and above, 0 to 1.
    pub thrash: f64,
    /// Number of concurrent requests per core above which contention reduces the capacity.
    pub thrash_at: f64,
    /// Share of its full capacity that a backend has when it starts.
    pub slow_start_share: f64,
    /// Time from a backend's start until it has its full capacity, in microseconds.
    pub slow_start: Micros,
    /// Maximum number of open connections to a backend.
    pub connections: u32,
    /// CPU time that a new connection takes, in microseconds of a core.
    pub handshake: Micros,
    /// What a backend does with canceled requests.
    pub cancel: CancelPolicy,
    /// Whether queued requests are dropped once their deadline has passed.
    pub drops_expired: bool,
    /// Time between two load reports, in microseconds.
    pub report_interval: Micros,
    /// Delay after which a load report is visible to limiters, in microseconds.
    pub report_delay: Micros,
    /// Standard deviation of the random error of load reports, as a share of the reported value.
    pub report_noise: f64,
    /// Share of the requests that a backend answers with an error.
    pub error_share: f64,
}

/// The quota counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counter {
    /// Index of the counter's zone in [`Fleet::zones`](crate::Fleet::zones).
    pub zone: usize,
    /// Maximum number of calls that the counter answers per second.
    pub calls_per_second: f64,
    /// Time to process a call, without network delays and queueing, in microseconds.
    pub delay: Micros,
    /// Time after which a limiter abandons a call, in microseconds.
    pub timeout: Micros,
    /// Maximum number of queued calls.
    pub queue_capacity: u32,
    /// Time from the loss of the counter's zone until an empty replacement runs elsewhere, in microseconds.
    pub recovery_time: Micros,
}

/// Resources of a limiter, and the CPU time of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limiter {
    /// CPU of a limiter, in cores; may be a fraction.
    pub cores: f64,
    /// CPU time of a request with all its attempts, in microseconds of a core.
    pub cpu_per_request: f64,
    /// Maximum number of open sockets.
    pub sockets: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
}

/// Delays of service discovery, each as minimum and maximum, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Discovery {
    /// From the failure of a backend until limiters are notified.
    pub removal_delay: (Micros, Micros),
    /// The same for a backend whose machine stops responding, so that no connection is reset.
    pub silent_removal_delay: (Micros, Micros),
    /// From the start of a backend until limiters are notified.
    pub addition_delay: (Micros, Micros),
    /// From the failure of a limiter until the clients' load balancer stops sending requests to it.
    pub limiter_removal_delay: (Micros, Micros),
}

/// Limits and timeouts that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRules {
    /// Time before the announced termination of a backend from which limiters send nothing more to it, in microseconds.
    pub drain_grace: Micros,
    /// A backend that is warming up fails if it is sent more than this many times its current capacity within one
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Time over which the work sent is compared with the capacity, in microseconds.
    pub overload_window: Micros,
    /// Maximum number of attempts of a request, the first included.
    pub max_attempts: u32,
    /// Maximum `Retry-After` of a rejection, in microseconds; 0 if rejections carry none.
    pub max_retry_after: Micros,
    /// Time after which an attempt to connect is abandoned, in microseconds.
    pub connect_timeout: Micros,
    /// Time after which backends close an idle connection, in microseconds.
    pub keepalive: Micros,
    /// Maximum number of units that a request may declare.
    pub max_units: u32,
}

/// Location and kind of a backend. Backends are numbered by zone, and within a zone by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLocation {
    /// Index of the zone.
    pub zone: usize,
    /// Index of the backend's kind.
    pub kind: usize,
    /// Number of the pod, counted over all zones.
    pub pod: u32,
}
