//! The pool of open connections to one backend.

use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use super::connection::Connection;
use super::dialer::Dialer;

/// An idle connection is closed after the backend's keep-alive time divided by this number, well before the backend
/// closes it.
const KEEPALIVE_DIVISOR: u32 = 3;

/// The pool of connections to one backend. A connection leaves the pool while it carries a request, so that the
/// progress it records belongs to that request alone. Clones share the connections.
#[derive(Clone)]
pub(super) struct Pool {
    dialer: Dialer,
    idle: Arc<IdleConnections>,
}

impl Pool {
    /// Creates a pool that opens its connections with `dialer`.
    pub(super) fn new(dialer: Dialer) -> Pool {
        let idle = IdleConnections {
            timeout: dialer.shared.keepalive / KEEPALIVE_DIVISOR,
            list: Mutex::default(),
            released: Notify::new(),
        };
        Pool { dialer, idle: Arc::new(idle) }
    }

    /// Returns the most recently used idle connection, or opens a new one. If another connection becomes idle while the
    /// new one is being opened, that connection is returned, and the new one joins the idle connections once it is
    /// open.
    pub(super) async fn acquire(&self) -> io::Result<Connection> {
        if let Some(connection) = self.idle.take() {
            return Ok(connection);
        }
        let mut dial = Box::pin(self.dialer.clone().dial());
        loop {
            tokio::select! {
                biased;
                () = self.idle.released.notified() => {
                    if let Some(connection) = self.idle.take() {
                        self.keep_when_connected(dial);
                        return Ok(connection);
                    }
                }
                dialled = &mut dial => return dialled,
            }
        }
    }

    fn keep_when_connected(&self, dial: impl Future<Output = io::Result<Connection>> + Send + 'static) {
        let idle = self.idle.clone();
        tokio::spawn(async move {
            // The dialer has already counted and logged a failure.
            if let Ok(connection) = dial.await {
                idle.add(connection);
            }
        });
    }

    /// Returns a connection to the pool after its response was read.
    pub(super) fn release(&self, mut connection: Connection) {
        if connection.is_ready() {
            return self.idle.add(connection);
        }
        let idle = self.idle.clone();
        tokio::spawn(async move {
            if connection.ready().await.is_ok() {
                idle.add(connection);
            }
        });
    }
}

/// A connection that carries no request.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

#[derive(Default)]
struct IdleList {
    /// Ordered by the time at which they became idle, and therefore also by expiry.
    connections: Vec<IdleConnection>,
    /// Whether a task is running that closes expired connections.
    has_expiry_task: bool,
}

/// The connections that carry no request, and the notification for callers that wait for one.
struct IdleConnections {
    timeout: Duration,
    list: Mutex<IdleList>,
    /// Notified whenever a connection becomes idle.
    released: Notify,
}

impl IdleConnections {
    fn list(&self) -> MutexGuard<'_, IdleList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the connection that became idle last, since the backend is least likely to have closed that one.
    fn take(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut list = self.list();
        while let Some(idle) = list.connections.pop() {
            if idle.connection.is_ready() && now < idle.expires_at {
                return Some(idle.connection);
            }
        }
        None
    }

    fn add(self: &Arc<Self>, connection: Connection) {
        let expires_at = Instant::now() + self.timeout;
        let mut list = self.list();
        list.connections.push(IdleConnection { connection, expires_at });
        if !std::mem::replace(&mut list.has_expiry_task, true) {
            tokio::spawn(close_expired(Arc::downgrade(self)));
        }
        self.released.notify_one();
    }

    /// Removes the connections that have expired or were closed by the backend. Returns when the next one expires.
    fn remove_expired(&self) -> Option<Instant> {
        let now = Instant::now();
        let mut list = self.list();
        list.connections.retain(|idle| idle.connection.is_ready() && now < idle.expires_at);
        let next = list.connections.first().map(|idle| idle.expires_at);
        list.has_expiry_task = next.is_some();
        next
    }
}

/// Closes idle connections as they expire, until none are left.
async fn close_expired(idle: Weak<IdleConnections>) {
    loop {
        let next = idle.upgrade().and_then(|idle| idle.remove_expired());
        let Some(next) = next else { return };
        sleep_until(next).await;
    }
}
