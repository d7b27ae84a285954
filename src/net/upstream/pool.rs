//! The pool of open connections to one backend.

use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use super::connection::Connection;
use super::dialer::Dialer;

/// Idle connections are closed here after this part of the time at which the backend closes them.
const KEEPALIVE_DIVISOR: u32 = 3;

/// The connections to one backend. A connection is out of the pool while it carries a request, so that its holder alone
/// knows how far the request has come; clones share the connections.
#[derive(Clone)]
pub(super) struct Pool {
    dialer: Dialer,
    idle: Arc<IdleConnections>,
}

impl Pool {
    /// A pool whose connections `dialer` opens.
    pub(super) fn new(dialer: Dialer) -> Pool {
        let idle = IdleConnections {
            timeout: dialer.shared.keepalive / KEEPALIVE_DIVISOR,
            list: Mutex::default(),
            released: Notify::new(),
        };
        Pool { dialer, idle: Arc::new(idle) }
    }

    /// Takes the connection that became idle last, else opens one. Where one becomes idle while it is being opened, that
    /// one is taken; the new one is kept for the next request, or closed when it has been idle for too long.
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
                        self.keep_once_dialled(dial);
                        return Ok(connection);
                    }
                }
                dialled = &mut dial => return dialled,
            }
        }
    }

    fn keep_once_dialled(&self, dial: impl Future<Output = io::Result<Connection>> + Send + 'static) {
        let idle = self.idle.clone();
        tokio::spawn(async move {
            // The dialer counts and logs failures.
            if let Ok(connection) = dial.await {
                idle.add(connection);
            }
        });
    }

    /// Gives a connection back whose answer was read, for the next request.
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
    /// In the order in which they became idle, and so in that in which they expire.
    connections: Vec<IdleConnection>,
    /// A task closes those that expire.
    is_watched: bool,
}

/// The connections that carry no request, and who waits for one.
struct IdleConnections {
    timeout: Duration,
    list: Mutex<IdleList>,
    /// Notified for each connection that becomes idle.
    released: Notify,
}

impl IdleConnections {
    fn list(&self) -> MutexGuard<'_, IdleList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the one that became idle last, as it is the least likely to be closed by the backend.
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
        if !std::mem::replace(&mut list.is_watched, true) {
            tokio::spawn(close_expired(Arc::downgrade(self)));
        }
        self.released.notify_one();
    }

    /// Closes those that have expired or were closed by the backend; when the next one expires, if there is one.
    fn remove_expired(&self) -> Option<Instant> {
        let now = Instant::now();
        let mut list = self.list();
        list.connections.retain(|idle| idle.connection.is_ready() && now < idle.expires_at);
        let next = list.connections.first().map(|idle| idle.expires_at);
        list.is_watched = next.is_some();
        next
    }
}

/// Closes connections as they expire, for as long as there are any.
async fn close_expired(idle: Weak<IdleConnections>) {
    loop {
        let next = idle.upgrade().and_then(|idle| idle.remove_expired());
        let Some(next) = next else { return };
        sleep_until(next).await;
    }
}
