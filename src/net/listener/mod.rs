//! The listener for clients: accepts connections, reads requests, passes them to the control actor and writes exactly
//! one final response to each.
//!
//! A request passes through these modules as follows: `accept` accepts its connection, which `connection` serves
//! until it ends. `handler` reads the request with `request_head` and `body`, passes it on and answers it.
//! `connections` tracks the stage of each open connection and closes those whose time is up.

mod accept;
mod body;
mod client_watch;
mod connection;
mod connection_table;
mod connections;
mod downstream_io;
mod handler;
pub mod open_ids;
mod request_error;
mod request_head;

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use std::time::Duration;

use sedgestack::platform::NameIndex;
use sedgestack::{Idempotency, Settings};
use tokio::sync::{mpsc, watch};

use crate::net::admin::stats::AdminStats;
use crate::net::control::message::Message;
use crate::net::listener::open_ids::OpenRequestIds;
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
}

impl Listener {
    /// Creates the state for the classes and plans of `settings`. Requests are sent to the mailbox behind `control`.
    pub fn new(
        names: NameIndex,
        settings: &Settings,
        max_timeout: Duration,
        is_ready: Arc<AtomicBool>,
        (phase, shutdown_deadline): (watch::Receiver<Phase>, ShutdownDeadline),
        control: mpsc::Sender<Message>,
        stats: Arc<AdminStats>,
    ) -> Listener {
        let idempotency = settings.classes.iter().map(|c| c.idempotency).collect();
        let max_units = if settings.max_units > 0.0 { settings.max_units } else { f64::MAX };
        Listener {
            names,
            idempotency,
            is_ready,
            phase,
            shutdown_deadline,
            control,
            next_request_id: AtomicU64::new(1),
            max_units,
            limiters: settings.limiters.max(1),
            max_timeout,
            open_ids: OpenRequestIds::default(),
            stats,
        }
    }
}
