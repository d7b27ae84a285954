//! The side towards backends: an actor for each backend, with its attempts, its pool of connections and its health
//! checks.
//!
//! The way of an attempt through these modules: `actor` takes the command, `attempt` runs it: `pool` gives it a
//! connection, which `dialer` opens where none is idle, `request` builds what is written, `connection` sends it,
//! `counted_io` tells `exchange_progress` of the bytes that its socket takes, `response` reads the answer.

mod actor;
mod attempt;
mod connection;
mod counted_io;
mod dialer;
mod exchange_progress;
mod health_check;
mod load_report;
mod pool;
mod request;
mod response;

use std::sync::Arc;
use std::time::Duration;

use sedgestack::platform::NameIndex;
use tokio::sync::{mpsc, Semaphore};

use crate::net::admin::stats::AdminStats;
use crate::net::control::message::Message;

pub use actor::{BackendCommand, BackendHandle};
pub use attempt::Attempt;

/// The largest body of a request or an answer on the platform.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// What the actors of all backends share.
pub struct UpstreamShared {
    pub names: NameIndex,
    pub connect_timeout: Duration,
    /// After this time without a request, a backend closes a connection.
    pub keepalive: Duration,
    /// Descriptors for connections to backends.
    pub sockets: Arc<Semaphore>,
    pub control: mpsc::Sender<Message>,
    pub stats: Arc<AdminStats>,
}

impl UpstreamShared {
    /// Whether no descriptor is left for a further connection.
    fn is_out_of_descriptors(&self) -> bool {
        self.sockets.available_permits() == 0
    }
}

#[cfg(test)]
mod tests;
