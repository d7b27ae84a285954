//! The listener for clients: accepts connections, reads requests, passes them to the control actor and writes exactly
//! one final response to each.
//!
//! A request passes through these modules as follows: `accept` accepts its connection, which `connection` serves
//! until it ends. `handler` reads the request with `request_head` and `body`, passes it on and answers it;
//! `response_progress` tells how far the answer has come. `connection_end` records how the connection ended.
//! `connections` tracks the stage of each open connection and closes those whose time is up.

mod accept;
mod body;
mod client_stream;
mod client_watch;
mod connection;
mod connection_end;
mod connection_table;
mod connections;
mod downstream_io;
mod handler;
pub mod open_ids;
mod request_error;
mod request_head;
mod response_progress;

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use std::time::Duration;

use sedgestack::platform::NameIndex;
use sedgestack::{Idempotency, Settings};
use tokio::sync::{mpsc, watch};

use crate::net::admin::stats::AdminStats;
use crate::net::control::message::Message;
use crate::net::listener::open_ids::OpenRequestIds;
use crate::net::runtime::memory_budget::MemoryBudget;
use crate::net::runtime::shutdown::{Phase, ShutdownDeadline};

pub use accept::serve;

/// State shared by all downstream connections.
pub struct Listener {
    names: NameIndex,
    /// For each class, whether its requests may be repeated.
    idempotency: Vec<Idempotency>,
    is_ready: Arc<AtomicBool>,
    phase: watch::Receiver<Phase>,
    shutdown_deadline: ShutdownDeadline,
    control: mpsc::Sender<Message>,
    next_request_id: AtomicU64,
    /// Upper bounds for what a request may ask for: units and limiter numbers from the settings, and the longest
    /// deadline.
    max_units: f64,
    limiters: u32,
    max_timeout: Duration,
    /// Ids of the open requests, as sent by the clients.
    open_ids: OpenRequestIds,
    stats: Arc<AdminStats>,
    memory: MemoryBudget,
}

/// The parts from which [`Listener`] is created.
pub struct ListenerParts {
    pub names: NameIndex,
    /// Upper bound for the time that a client may be willing to wait.
    pub max_timeout: Duration,
    pub is_ready: Arc<AtomicBool>,
    pub phase: watch::Receiver<Phase>,
    pub shutdown_deadline: ShutdownDeadline,
    /// The control actor's mailbox.
    pub control: mpsc::Sender<Message>,
    pub stats: Arc<AdminStats>,
    pub memory: MemoryBudget,
}

impl Listener {
    /// Creates the state for the classes and plans of `settings`.
    pub fn new(settings: &Settings, parts: ListenerParts) -> Listener {
        let max_units = if settings.max_units > 0.0 { settings.max_units } else { f64::MAX };
        Listener {
            names: parts.names,
            idempotency: settings.classes.iter().map(|c| c.idempotency).collect(),
            is_ready: parts.is_ready,
            phase: parts.phase,
            shutdown_deadline: parts.shutdown_deadline,
            control: parts.control,
            next_request_id: AtomicU64::new(1),
            max_units,
            limiters: settings.limiters.max(1),
            max_timeout: parts.max_timeout,
            open_ids: OpenRequestIds::default(),
            stats: parts.stats,
            memory: parts.memory,
        }
    }
}
