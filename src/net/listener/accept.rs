//! Accepts clients' connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep_until, Instant, Interval, MissedTickBehavior};

use super::connection::{serve_connection, ClientConnection};
use super::connections::Connections;
use super::downstream_io::Downstream;
use super::handler::routes;
use super::Listener;
use crate::info;
use crate::net::runtime::memory_budget::BytePool;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::shutdown::Phase;
use crate::net::runtime::{socket_errors, socket_reuse};

/// Interval between two checks for connections whose time is up.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Backoff after a failed accept: file descriptors become free within this time, but not at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts downstream connections until a shutdown closes the listener, then waits until the last one has ended.
///
/// At most `max_connections` are open at a time.
///
/// # Errors
/// Returns an error if the address can't be bound or its socket can't be used.
pub async fn serve(listen: SocketAddr, max_connections: usize, listener: Listener) -> io::Result<()> {
    let socket = bind(listen)?;
    let acceptor = Acceptor {
        connections: Connections::new(max_connections, listener.memory.clone()),
        memory: listener.memory.requests.clone(),
        phase: listener.phase.clone(),
        routes: routes(listener),
    };
    let (finished, all_finished) = mpsc::channel(1);
    let mut sweep = interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    acceptor.accept_until_closing(&socket, &mut sweep, &finished).await;
    acceptor.accept_backlog(socket, finished)?;
    acceptor.wait_until_finished(all_finished, sweep).await;
    Ok(())
}

/// Binds the address for clients with SO_REUSEPORT, so that the process that replaces this one can listen on it at
/// the same time. Returns an error if the address can't be bound.
fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let listener = socket_reuse::bind_listener(listen)?;
    info!("front: listening on {}", listener.local_addr()?);
    Ok(listener)
}

/// Starts the tasks that serve connections. Each task holds a clone of the sender `finished` while it runs, so that
/// the channel closes when the last task has ended.
struct Acceptor {
    connections: Arc<Connections>,
    phase: watch::Receiver<Phase>,
    memory: Arc<BytePool>,
    routes: Router,
}

impl Acceptor {
    fn start(&self, stream: TcpStream, finished: &mpsc::Sender<()>) {
        COUNTERS.downstream_accepted.increment();
        socket_errors::disable_nagle(&stream, "front");
        let downstream = Downstream::new(stream);
        let entry = self.connections.register(downstream.clone());
        let task = serve_connection(
            ClientConnection { entry: entry.clone(), downstream },
            self.memory.clone(),
            self.routes.clone(),
            self.phase.clone(),
            finished.clone(),
        );
        entry.set_task(tokio::spawn(task).abort_handle());
    }

    async fn accept_until_closing(
        &self,
        listener: &TcpListener,
        sweep: &mut Interval,
        finished: &mpsc::Sender<()>,
    ) {
        let mut phase = self.phase.clone();
        loop {
            let accept = async {
                self.connections.wait_for_capacity().await;
                self.accept_next(listener).await
            };
            tokio::select! {
                accepted = accept => match accepted {
                    Ok((stream, _)) => self.start(stream, finished),
                    Err(e) => {
                        COUNTERS.downstream_accept_failed.increment();
                        info!("front: accept: {e}");
                        sleep_until(Instant::now() + ACCEPT_BACKOFF).await;
                    }
                },
                _ = sweep.tick() => self.connections.sweep(),
                _ = phase.wait_for(|p| *p == Phase::Closing) => return,
            }
        }
    }

    async fn accept_next(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        match listener.accept().now_or_never() {
            Some(accepted) => accepted,
            None => {
                self.connections.on_none_waiting();
                listener.accept().await
            }
        }
    }

    /// Starts to serve the connections that the kernel accepted before the listener closes, and closes the listener.
    /// These count as accepted too. They are taken from the socket itself, because the runtime may not have noticed yet
    /// that connections are waiting.
    fn accept_backlog(&self, listener: TcpListener, finished: mpsc::Sender<()>) -> io::Result<()> {
        let listener = listener.into_std()?;
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true)?;
            self.start(TcpStream::from_std(stream)?, &finished);
        }
        Ok(())
    }

    /// Waits until the last connection has ended.
    async fn wait_until_finished(&self, mut all_finished: mpsc::Receiver<()>, mut sweep: Interval) {
        loop {
            tokio::select! {
                _ = all_finished.recv() => return,
                _ = sweep.tick() => self.connections.sweep(),
            }
        }
    }
}
