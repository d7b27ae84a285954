//! The relay between the limiters of a tier. It forwards every datagram between limiters, applies the network
//! conditions, drops datagrams on cut links, and runs the scheduled actions.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sedgestack_consensus::datagram_kind;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use super::network_conditions::{DatagramCounts, NetworkConditions};
use super::trigger::{Action, Schedule, Trigger};
use crate::sync::locked;
use crate::{io, Failure};

/// Size of the receive buffer, in bytes: one more than the longest valid datagram, so that a longer one does not become
/// valid by truncation.
const BUFFER_BYTES: usize = 257;

struct State {
    conditions: NetworkConditions,
    /// The cut links, as sender and receiver.
    cut: HashSet<(u32, u32)>,
    schedule: Schedule,
    rng: StdRng,
    counts: DatagramCounts,
}

/// All links between the limiters of a tier.
#[derive(Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    /// `addresses[i][j]` is where limiter `i` sends datagrams for limiter `j`.
    pub addresses: Vec<Vec<SocketAddr>>,
}

/// One direction of the link between two limiters.
struct DirectedLink {
    from: u32,
    to: u32,
    receive: Arc<UdpSocket>,
    send: Arc<UdpSocket>,
    /// The address at which the receiving limiter listens.
    target: SocketAddr,
}

impl Relay {
    /// Starts the links between limiters that receive datagrams at `listen`.
    pub async fn start(listen: &[SocketAddr], seed: u64) -> Result<Relay, Failure> {
        let sockets = bind_sockets(listen.len()).await?;
        let address = |s: &Arc<UdpSocket>| s.local_addr().map_err(io("relay address"));
        let addresses: Result<Vec<Vec<_>>, _> =
            sockets.iter().map(|row| row.iter().map(address).collect()).collect();
        let state = State {
            conditions: NetworkConditions::default(),
            cut: HashSet::new(),
            schedule: Schedule::default(),
            rng: StdRng::seed_from_u64(seed),
            counts: DatagramCounts::default(),
        };
        let relay = Relay { state: Arc::new(Mutex::new(state)), addresses: addresses? };
        for (from, row) in sockets.iter().enumerate() {
            for (to, receive) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                let link = DirectedLink {
                    from: from as u32,
                    to: to as u32,
                    receive: receive.clone(),
                    // The receiver identifies a peer by address, so its datagrams must arrive from the address to which
                    // the receiver sends datagrams for that peer.
                    send: sockets[to][from].clone(),
                    target: listen[to],
                };
                tokio::spawn(relay.clone().forward(link));
            }
        }
        Ok(relay)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// Forwards the datagrams of one link until its socket fails.
    async fn forward(self, link: DirectedLink) {
        let mut buffer = [0; BUFFER_BYTES];
        while let Ok((length, _)) = link.receive.recv_from(&mut buffer).await {
            let mut bytes = buffer[..length].to_vec();
            self.run_due_actions(link.from, &bytes);
            for delay in self.copy_delays(link.from, link.to, &mut bytes) {
                let (send, target, bytes) = (link.send.clone(), link.target, bytes.clone());
                tokio::spawn(async move {
                    sleep(delay).await;
                    let _ = send.send_to(&bytes, target).await;
                });
            }
        }
    }

    /// Runs the actions that a datagram triggers. The lock on the state is not held while they run.
    fn run_due_actions(&self, from: u32, bytes: &[u8]) {
        let Some(kind) = datagram_kind(bytes) else { return };
        let due = self.state().schedule.take_due(from, kind);
        for action in due {
            action.run();
        }
    }

    /// Returns the delay of each copy of a datagram to forward; empty if the datagram is dropped. May corrupt `bytes`.
    fn copy_delays(&self, from: u32, to: u32, bytes: &mut [u8]) -> Vec<Duration> {
        let mut state = self.state();
        state.counts.received += 1;
        if state.cut.contains(&(from, to)) {
            state.counts.dropped_on_cut_links += 1;
            return Vec::new();
        }
        let conditions = state.conditions;
        if state.rng.random::<f64>() < conditions.loss {
            state.counts.lost += 1;
            return Vec::new();
        }
        if state.rng.random::<f64>() < conditions.corruption {
            let index = state.rng.random_range(0..bytes.len());
            let bit = state.rng.random_range(0..8);
            bytes[index] ^= 1 << bit;
        }
        let copies = if state.rng.random::<f64>() < conditions.duplication { 2 } else { 1 };
        state.counts.forwarded += copies;
        (0..copies).map(|_| conditions.max_delay.mul_f64(state.rng.random::<f64>())).collect()
    }

    /// Sets the conditions of all links that are not cut.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.state().conditions = conditions;
    }

    /// Cuts the link from one limiter to another. The opposite direction stays open.
    pub fn cut(&self, from: u32, to: u32) {
        self.state().cut.insert((from, to));
    }

    /// Cuts all links between limiters of different groups.
    pub fn partition(&self, groups: &[&[u32]]) {
        let mut state = self.state();
        for (n, group) in groups.iter().enumerate() {
            for (_, other) in groups.iter().enumerate().filter(|(m, _)| *m != n) {
                state.cut.extend(group.iter().flat_map(|a| other.iter().map(|b| (*a, *b))));
            }
        }
    }

    /// Opens all cut links again.
    pub fn restore(&self) {
        self.state().cut.clear();
    }

    /// Schedules an action. The returned receiver holds `true` once the action has run.
    pub fn schedule(&self, trigger: Trigger, action: Action) -> watch::Receiver<bool> {
        self.state().schedule.add(trigger, action)
    }

    /// Cancels all actions whose triggers have not fired yet.
    pub fn cancel_scheduled(&self) {
        self.state().schedule.clear();
    }

    /// Returns the numbers of datagrams since the relay started.
    pub fn counts(&self) -> DatagramCounts {
        self.state().counts
    }
}

/// Binds a socket for each ordered pair of limiters.
async fn bind_sockets(limiters: usize) -> Result<Vec<Vec<Arc<UdpSocket>>>, Failure> {
    let mut sockets = Vec::new();
    for _ in 0..limiters {
        let mut row = Vec::new();
        for _ in 0..limiters {
            row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await.map_err(io("relay socket"))?));
        }
        sockets.push(row);
    }
    Ok(sockets)
}
