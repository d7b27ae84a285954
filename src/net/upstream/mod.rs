//! The upstream side: one actor per backend, which runs the attempts and health checks at that backend and owns its
//! connection pool.
//!
//! An attempt passes through these modules as follows. `actor` receives the command and `attempt` runs it. `pool`
//! provides a connection, which `dialer` opens if none is idle. `request` builds the HTTP request and `connection`
//! sends it, while `counted_io` reports the bytes that the socket accepts to `exchange_progress`. `response` reads the
//! response, `response_body` its body, and `response_stream` passes on the rest of a long one.

mod actor;
mod attempt;
mod attempt_body;
mod connection;
mod counted_io;
mod dialer;
mod exchange_progress;
mod health_check;
mod load_report;
mod pool;
mod request;
mod response;
mod response_body;
mod response_stream;

use std::sync::Arc;
use std::time::Duration;

use sedgestack::platform::NameIndex;
use tokio::sync::{mpsc, Semaphore};

use crate::net::admin::stats::AdminStats;
use crate::net::control::message::Message;
use crate::net::runtime::memory_budget::MemoryBudget;

pub use actor::{BackendCommand, BackendHandle};
pub use attempt::Attempt;

/// State shared by the actors of all backends.
pub struct UpstreamShared {
    pub names: NameIndex,
    pub connect_timeout: Duration,
    /// Idle time after which a backend closes a connection.
    pub keepalive: Duration,
    /// Limits the file descriptors used for connections to backends; each connection holds one permit.
    pub sockets: Arc<Semaphore>,
    /// The control actor's mailbox.
    pub control: mpsc::Sender<Message>,
    pub stats: Arc<AdminStats>,
    pub memory: MemoryBudget,
    pub pass_on_margin: PassOnMargin,
}

/// How long before the client's deadline an answer under way is passed on.
#[derive(Clone, Copy, Debug)]
pub struct PassOnMargin {
    /// How long before the deadline the decisions give a request up.
    pub before_deadline: Duration,
    /// How long before that the answer is passed on.
    pub before_giving_up: Duration,
}

impl UpstreamShared {
    /// Whether no file descriptor is left for another connection.
    fn is_out_of_descriptors(&self) -> bool {
        self.sockets.available_permits() == 0
    }
}

#[cfg(test)]
mod tests;
