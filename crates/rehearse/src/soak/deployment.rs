//! The randomly generated deployment of a run.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

/// A limiter's descriptor limit, and that of one with a large crowd.
const SOCKETS: u32 = 256;
const SOCKETS_OF_LARGE_CROWD: u32 = 1_024;
/// A limiter's memory limit, in MB.
const MEMORY_MB: u32 = 32;
/// Possible deadlines of a class, in milliseconds: below and above the 3 s up to which a deadline delays SIGKILL.
const DEADLINES_MS: [u64; 4] = [700, 1_200, 2_500, 4_000];
/// Possible connect timeouts, in milliseconds: below and above the 1 s after which the kernel retransmits a SYN.
const CONNECT_TIMEOUTS_MS: [u64; 2] = [250, 1_500];
/// Possible idempotency windows, in milliseconds.
const WINDOWS_MS: [u64; 3] = [100, 500, 3_000];
/// Possible maximum processing times of a request, in milliseconds. With the second, some attempts are given up only
/// after the shortest idempotency window has passed.
const MAX_WORK_MS: [u64; 2] = [60, 250];
/// Possible times over which discovery writes an endpoint list, in milliseconds: below and above the 3 s after which a
/// silent watch is dead.
const LIST_DURATIONS_MS: [u64; 4] = [0, 1_000, 4_500, 4_500];
/// Number of filler endpoints, if there are any.
const FILLERS: std::ops::RangeInclusive<usize> = 500..=3_000;
/// Number of limiters of a large fleet.
const LARGE_FLEET: std::ops::RangeInclusive<usize> = 10..=16;
/// Probability that a fleet is large.
const LARGE_FLEET_PROBABILITY: f64 = 0.2;
/// Probability that an endpoint list has filler endpoints.
const FILLERS_PROBABILITY: f64 = 0.5;
/// Probability that filler endpoints are in service and take most of the attempts.
const FILLERS_IN_SERVICE_PROBABILITY: f64 = 0.25;
/// Probability that some requests and answers have long bodies.
const LONG_BODIES_PROBABILITY: f64 = 0.5;
/// Number of slow or excessive clients of each limiter, if there are any.
const CROWD: std::ops::RangeInclusive<usize> = 30..=110;
/// Number of them if there is one limiter.
const LARGE_CROWD: std::ops::RangeInclusive<usize> = 400..=600;
/// Probability that limiters have such clients.
const CROWD_PROBABILITY: f64 = 0.5;
/// Probability that some answers break off, clients have all forms and some of them little time.
const BROKEN_ANSWERS_PROBABILITY: f64 = 0.6;
/// Probability that limiters are held up at times.
const STALLS_PROBABILITY: f64 = 0.4;
/// Latency objective as a fraction of the deadline.
const LATENCY_OBJECTIVE_SHARE: f64 = 0.8;

/// Whether a class's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests may be repeated at any time.
    Idempotent,
    /// Requests may be repeated with the same idempotency key: backends of one scope drop a repeat within a window.
    IdempotencyKey {
        /// The backends that share idempotency keys.
        scope: KeyScope,
        /// How long a key is known.
        window: Duration,
    },
    /// Requests must not be repeated.
    NotIdempotent,
}

/// The backends that share idempotency keys.
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
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The class's name on the wire.
    pub name: &'static str,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
    /// How long clients wait for a response.
    pub deadline: Duration,
}

/// The deployment of a run.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of limiters.
    pub limiters: usize,
    /// Number of backends in service at any time.
    pub backends: usize,
    /// Number of clients that send requests.
    pub clients: usize,
    /// Number of idle connections to each limiter.
    pub idle_clients: usize,
    /// Timeout of connections from a limiter to a backend.
    pub connect_timeout: Duration,
    /// Maximum processing time of a request at a backend.
    pub max_work: Duration,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The endpoint lists that discovery writes.
    pub lists: ListSettings,
    /// Whether some requests and answers have long bodies.
    pub has_long_bodies: bool,
    /// Number of slow or excessive clients of each limiter.
    pub crowd: usize,
    /// A limiter's descriptor limit.
    pub sockets: u32,
    /// Whether some answers break off, clients have all forms and some of them little time.
    pub has_broken_answers: bool,
    /// Whether limiters are held up at times.
    pub has_stalls: bool,
}

/// How long endpoint lists are, and how slowly discovery writes them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListSettings {
    /// Number of endpoints that make the list longer. They all stand for one backend.
    pub fillers: usize,
    /// Whether the fillers are in service; otherwise they are draining.
    pub fillers_in_service: bool,
    /// Time over which a list is written.
    pub duration: Duration,
}

impl Deployment {
    /// Draws a deployment from a seed.
    pub fn draw(seed: u64) -> Deployment {
        let mut rng = StdRng::seed_from_u64(seed);
        let scope = *[KeyScope::All, KeyScope::Zone, KeyScope::Cell]
            .choose(&mut rng)
            .expect("the scopes are not empty");
        let window = Duration::from_millis(*WINDOWS_MS.choose(&mut rng).expect("the windows are not empty"));
        let mut class = |name, idempotency| ClassSettings {
            name,
            idempotency,
            deadline: Duration::from_millis(
                *DEADLINES_MS.choose(&mut rng).expect("the deadlines are not empty"),
            ),
        };
        let classes = vec![
            class("read", Idempotency::Idempotent),
            class("send", Idempotency::IdempotencyKey { scope, window }),
            class("once", Idempotency::NotIdempotent),
        ];
        let connect_timeout =
            Duration::from_millis(*CONNECT_TIMEOUTS_MS.choose(&mut rng).expect("the times are not empty"));
        let has_idle_clients = rng.random_bool(0.25);
        let limiters = rng.random_range(1..=3);
        let mut deployment = Deployment {
            limiters,
            backends: rng.random_range(2..=5),
            clients: rng.random_range(6..=18),
            idle_clients: if has_idle_clients { SOCKETS as usize / 2 } else { 0 },
            connect_timeout,
            max_work: Duration::from_millis(*MAX_WORK_MS.choose(&mut rng).expect("the times are not empty")),
            classes,
            lists: ListSettings::default(),
            has_long_bodies: false,
            crowd: 0,
            sockets: SOCKETS,
            has_broken_answers: false,
            has_stalls: false,
        };
        if rng.random_bool(LARGE_FLEET_PROBABILITY) {
            deployment.limiters = rng.random_range(LARGE_FLEET);
            deployment.clients = deployment.clients.max(deployment.limiters);
        }
        if rng.random_bool(FILLERS_PROBABILITY) {
            deployment.lists = ListSettings::draw(&mut rng);
        }
        deployment.has_long_bodies = rng.random_bool(LONG_BODIES_PROBABILITY);
        if !has_idle_clients && deployment.limiters < *LARGE_FLEET.start() {
            deployment.draw_crowd(&mut rng);
        }
        deployment.has_broken_answers = rng.random_bool(BROKEN_ANSWERS_PROBABILITY);
        deployment.has_stalls = rng.random_bool(STALLS_PROBABILITY);
        deployment
    }

    fn draw_crowd(&mut self, rng: &mut StdRng) {
        if !rng.random_bool(CROWD_PROBABILITY) {
            return;
        }
        let is_large = self.limiters == 1;
        self.crowd = rng.random_range(if is_large { LARGE_CROWD } else { CROWD });
        self.sockets = if is_large { SOCKETS_OF_LARGE_CROWD } else { SOCKETS };
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Returns the configuration file of a limiter.
    pub fn config(&self, limiter: usize, discovery: SocketAddr, known: &[Value]) -> Value {
        json!({
            "name": format!("n{limiter}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 + limiter as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.sockets},
            "known": {"version": 1, "full": true, "servers": known},
            "settings": {
                "caps": {"cancel": true, "connectTimeoutMs": self.connect_timeout.as_millis() as f64, "keepaliveMs": 4000.0, "maxAttempts": 4,
                         "maxOpen": 2000, "maxRetryAfterMs": 200.0, "peerMessages": false, "probes": false,
                         "retryAfter": true, "secondCopies": false},
                "discovery": "push",
                "familyInfo": {"costAfter": false, "countWaitMs": 30.0, "hasCounter": false, "meteringMs": 0.0,
                               "mostUnits": 4},
                "granularityMs": 4.0, "locality": "room-0", "nInstances": self.limiters, "selfIndex": limiter,
                "plans": [{"name": "large", "rate": 1e4, "mostAtOnce": 1e5, "overrunCost": 0.5, "valueFactor": 1.0}],
                "profiles": self.classes.iter().map(profile).collect::<Vec<_>>(),
                "rules": {"coldFrom": 0.23, "coldMs": 2000.0, "fallMs": 2000.0, "fallMultiple": 4.0,
                          "stopSendingWithinMs": 250.0}
            }
        })
    }
}

impl ListSettings {
    fn draw(rng: &mut StdRng) -> ListSettings {
        let duration_ms = *LIST_DURATIONS_MS.choose(rng).expect("the times are not empty");
        ListSettings {
            fillers: rng.random_range(FILLERS),
            fillers_in_service: rng.random_bool(FILLERS_IN_SERVICE_PROBABILITY),
            duration: Duration::from_millis(duration_ms),
        }
    }
}

/// Returns a class's entry in the configuration file.
fn profile(class: &ClassSettings) -> Value {
    let (repeat, scope, window) = match class.idempotency {
        Idempotency::Idempotent => ("safe", "all", Duration::from_secs(15)),
        Idempotency::NotIdempotent => ("unsafe", "all", Duration::from_secs(15)),
        Idempotency::IdempotencyKey { scope, window } => ("keyed", scope_name(scope), window),
    };
    json!({"name": class.name, "credit": 1.0, "deadlineMs": class.deadline.as_millis() as f64,
           "goalTimeMs": class.deadline.as_millis() as f64 * LATENCY_OBJECTIVE_SHARE, "repeat": repeat, "keyScope": scope,
           "windowMs": window.as_millis() as f64, "lateValue": 0.0, "stream": false})
}

fn scope_name(scope: KeyScope) -> &'static str {
    match scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}

/// Returns the zone of a backend.
pub fn zone_of(backend: usize) -> usize {
    backend % 2
}

/// Returns the cell of a backend.
pub fn cell_of(backend: usize) -> usize {
    backend % 3
}
