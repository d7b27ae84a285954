//! The deployment of a run, drawn from its seed.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

/// Descriptors that the platform allows a limiter.
const SOCKETS: u32 = 256;
/// Memory that the platform allows a limiter, MB.
const MEMORY_MB: u32 = 32;
/// How long clients of a class wait, milliseconds: under and over the 3 s by which the kill is reckoned.
const DEADLINES_MS: [u64; 4] = [700, 1_200, 2_500, 4_000];
/// Times for a connection to come up, milliseconds: under and over the second after which the machine tries again.
const CONNECT_TIMEOUTS_MS: [u64; 2] = [250, 1_500];
/// Windows for repeats, milliseconds.
const WINDOWS_MS: [u64; 3] = [100, 500, 3_000];
/// The longest work of a request, milliseconds: with the second, attempts are given up after the shortest window.
const MAX_WORK_MS: [u64; 2] = [60, 250];
/// The latency objective, as a part of the deadline.
const OBJECTIVE_PART: f64 = 0.8;

/// What a repeat of a class's request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Nothing within the window, at the backends that share the memory of keys.
    Keyed {
        /// Which backends share it.
        scope: KeyScope,
        /// For how long a repeat is dropped.
        window: Duration,
    },
    /// It runs again.
    Unsafe,
}

/// The backends that share a memory of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Its name on the wire.
    pub name: &'static str,
    /// What a repeat does.
    pub effect: Effect,
    /// How long its clients wait.
    pub deadline: Duration,
}

/// What a run is played on.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Limiters.
    pub limiters: usize,
    /// Backends in service at any time.
    pub backends: usize,
    /// Clients that keep a connection and use it until its end.
    pub clients: usize,
    /// Connections of idle clients to each limiter.
    pub idle_clients: usize,
    /// How long a connection to a backend may take to come up.
    pub connect_timeout: Duration,
    /// The longest work of a request at a backend.
    pub max_work: Duration,
    /// The classes.
    pub classes: Vec<ClassSettings>,
}

impl Deployment {
    /// Draws a deployment.
    pub fn draw(seed: u64) -> Deployment {
        let mut draws = StdRng::seed_from_u64(seed);
        let scope =
            *[KeyScope::All, KeyScope::Zone, KeyScope::Cell].choose(&mut draws).expect("there are scopes");
        let window = Duration::from_millis(*WINDOWS_MS.choose(&mut draws).expect("there are windows"));
        let mut class = |name, effect| ClassSettings {
            name,
            effect,
            deadline: Duration::from_millis(*DEADLINES_MS.choose(&mut draws).expect("there are deadlines")),
        };
        let classes = vec![
            class("read", Effect::Safe),
            class("send", Effect::Keyed { scope, window }),
            class("once", Effect::Unsafe),
        ];
        let connect_timeout =
            Duration::from_millis(*CONNECT_TIMEOUTS_MS.choose(&mut draws).expect("there are times"));
        let is_crowded = draws.random_bool(0.25);
        Deployment {
            limiters: draws.random_range(1..=3),
            backends: draws.random_range(2..=5),
            clients: draws.random_range(6..=18),
            idle_clients: if is_crowded { SOCKETS as usize / 2 } else { 0 },
            connect_timeout,
            max_work: Duration::from_millis(*MAX_WORK_MS.choose(&mut draws).expect("there are times")),
            classes,
        }
    }

    /// The longest deadline.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// The configuration of a limiter.
    pub fn config(&self, limiter: usize, discovery: SocketAddr, known: &[Value]) -> Value {
        json!({
            "name": format!("n{limiter}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 + limiter as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
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

fn profile(class: &ClassSettings) -> Value {
    let (repeat, scope, window) = match class.effect {
        Effect::Safe => ("safe", "all", Duration::from_secs(15)),
        Effect::Unsafe => ("unsafe", "all", Duration::from_secs(15)),
        Effect::Keyed { scope, window } => ("keyed", scope_name(scope), window),
    };
    json!({"name": class.name, "credit": 1.0, "deadlineMs": class.deadline.as_millis() as f64,
           "goalTimeMs": class.deadline.as_millis() as f64 * OBJECTIVE_PART, "repeat": repeat, "keyScope": scope,
           "windowMs": window.as_millis() as f64, "lateValue": 0.0, "stream": false})
}

fn scope_name(scope: KeyScope) -> &'static str {
    match scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}

/// The zone of a backend.
pub fn zone_of(backend: usize) -> usize {
    backend % 2
}

/// The cell of a backend.
pub fn cell_of(backend: usize) -> usize {
    backend % 3
}
