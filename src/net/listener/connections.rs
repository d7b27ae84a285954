//! The open downstream connections. Closes those whose time is up, and some when capacity runs short.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::{yield_now, AbortHandle};
use tokio::time::Instant;

use super::connection_table::{Capacity, ConnectionTable, OverdueConnection, Stage};
use super::downstream_io::Downstream;
use crate::net::runtime::clock::sleep_until_some;
use crate::net::runtime::memory_budget::{BytePool, MemoryBudget};
use crate::net::runtime::metrics::COUNTERS;
use crate::{exchange_info, info};

/// Maximum number of connections that only get refusals, and maximum share of all connections, as a divisor.
const MAX_REFUSALS: usize = 16;
const REFUSALS_DIVISOR: usize = 16;
/// Time for which clients must have been waiting to be accepted before some are accepted for a refusal.
const MIN_TIME_BEFORE_REFUSALS: Duration = Duration::from_millis(250);

/// What a connection may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// All requests.
    Requests,
    /// One request, which is rejected: all connections for requests have one in flight.
    Refusal,
}

/// The downstream connections of the process, at most `max_open` at a time.
pub(super) struct Connections {
    max_open: usize,
    /// How many of them are for requests. The others are for refusals.
    max_for_requests: usize,
    /// Since when clients have been waiting, as no connection for requests was free or could be closed.
    full_since: Mutex<Option<Instant>>,
    memory: MemoryBudget,
    /// Whether the budget was used up at the last sweep.
    was_memory_used_up: AtomicBool,
    table: Mutex<ConnectionTable>,
    ended: Notify,
}

/// Interval between two checks whether memory is free again, while no connection can be closed for it.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Connections {
    /// Returns an empty set.
    pub(super) fn new(max_open: usize, memory: MemoryBudget) -> Arc<Connections> {
        let refusals = MAX_REFUSALS.min(max_open / REFUSALS_DIVISOR);
        Arc::new(Connections {
            max_open,
            max_for_requests: max_open - refusals,
            full_since: Mutex::default(),
            memory,
            was_memory_used_up: AtomicBool::new(false),
            table: Mutex::default(),
            ended: Notify::new(),
        })
    }

    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until one more connection may be accepted, closing the oldest connections if necessary. This keeps
    /// normal clients served when others open hundreds of connections without sending, or never close connections
    /// they used once. While all connections for requests have one in flight, clients are accepted for a refusal.
    pub(super) async fn wait_for_capacity(&self) {
        let mut candidate = None;
        loop {
            let ended = self.ended.notified();
            let not_before = match self.capacity_now(candidate) {
                Capacity::Available => return,
                // A request may have arrived while this process was not scheduled, so all connections are read before
                // one of them is closed.
                Capacity::AfterClosing(id) => {
                    candidate = Some(id);
                    yield_now().await;
                    continue;
                }
                Capacity::NotBefore(not_before) => not_before,
            };
            let not_before = match not_before {
                None if self.memory.is_heap_full() => Some(Instant::now() + MEMORY_CHECK_INTERVAL),
                not_before => not_before,
            };
            let next_check = not_before.into_iter().chain(self.refusals_from()).min();
            tokio::select! { () = ended => {} () = sleep_until_some(next_check) => {} }
        }
    }

    /// Returns whether there is capacity. Closes `candidate` if it is still the connection to close.
    fn capacity_now(&self, candidate: Option<u64>) -> Capacity {
        let (mut table, now) = (self.table(), Instant::now());
        // While all memory is in use, a connection is accepted only in place of another one.
        let is_heap_full = self.memory.is_heap_full();
        let max_open = if is_heap_full { table.open.len().min(self.max_open) } else { self.max_for_requests };
        let capacity = match table.capacity(max_open, now) {
            Capacity::AfterClosing(id) if candidate == Some(id) => {
                let is_idle = table.open.get(&id).is_some_and(|e| e.stage == Stage::Idle);
                let counter = if is_idle {
                    &COUNTERS.downstream_room_idle
                } else {
                    &COUNTERS.downstream_room_unfinished
                };
                counter.increment();
                table.close(id);
                table.capacity(max_open, now)
            }
            capacity => capacity,
        };
        let may_refuse = !table.has_closing() && self.has_spare(&table);
        match capacity {
            Capacity::NotBefore(_) if self.record_full(now) <= now && may_refuse => Capacity::Available,
            capacity => capacity,
        }
    }

    /// Records that no client waits to be accepted.
    pub(super) fn on_none_waiting(&self) {
        *self.full_since() = None;
    }

    fn full_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.full_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that no connection for requests is free or may be closed. Returns from when on clients are accepted for a
    /// refusal, unless there is a moment before in which none waits.
    fn record_full(&self, now: Instant) -> Instant {
        *self.full_since().get_or_insert(now) + MIN_TIME_BEFORE_REFUSALS
    }

    /// Whether there is a connection left for a refusal.
    fn has_spare(&self, table: &ConnectionTable) -> bool {
        !self.memory.is_heap_full() && table.open.len() < self.max_open
    }

    /// Returns from when on clients are accepted for a refusal, if there is a connection left for one.
    fn refusals_from(&self) -> Option<Instant> {
        let has_spare = self.has_spare(&self.table());
        self.full_since().filter(|_| has_spare).map(|since| since + MIN_TIME_BEFORE_REFUSALS)
    }

    /// Closes the connections whose time is up.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let mut table = self.table();
        while let Some(OverdueConnection { id, counter }) = table.find_overdue(self.max_open, now) {
            counter.increment();
            table.close(id);
        }
        self.evict_for_memory(&mut table, &self.memory.requests, Stage::Unfinished, now);
        self.evict_for_memory(&mut table, &self.memory.responses, Stage::Responding, now);
        drop(table);
        self.log_memory_state();
    }

    /// Logs when the budget is used up, and when it is free again.
    fn log_memory_state(&self) {
        let is_used_up = self.memory.is_used_up();
        if self.was_memory_used_up.swap(is_used_up, Relaxed) != is_used_up {
            let state = if is_used_up { "used up" } else { "free again" };
            info!("memory: the budget is {state}: {}", self.memory.json());
        }
    }

    /// Closes connections at `stage` that hold memory of `pool` and progressed least, one for each caller that waits.
    fn evict_for_memory(&self, table: &mut ConnectionTable, pool: &BytePool, stage: Stage, now: Instant) {
        for id in table.memory_holders(stage, pool.waiting(), now) {
            COUNTERS.memory_evicted.increment();
            let reserved = pool.reserved();
            exchange_info!("connection {id} closed for memory: {stage:?}, {reserved} bytes reserved by all");
            let downstream = table.open.get(&id).and_then(|entry| entry.downstream.clone());
            if let Some(downstream) = downstream.filter(|_| stage == Stage::Unfinished) {
                downstream.reject_unfinished();
            }
            table.close(id);
        }
    }

    /// Registers an accepted connection.
    pub(super) fn register(self: &Arc<Connections>, downstream: Arc<Downstream>) -> Arc<ConnectionEntry> {
        let mut table = self.table();
        let has_room = table.open.len() < self.max_for_requests;
        let admission = if has_room { Admission::Requests } else { Admission::Refusal };
        let id = table.insert(Instant::now());
        if let Some(entry) = table.open.get_mut(&id) {
            entry.downstream = Some(downstream);
        }
        drop(table);
        Arc::new(ConnectionEntry { connections: self.clone(), id, admission })
    }
}

/// The registration of a downstream connection, removed from the open ones when it is dropped.
pub(super) struct ConnectionEntry {
    connections: Arc<Connections>,
    id: u64,
    /// What the connection may be used for.
    pub(super) admission: Admission,
}

impl ConnectionEntry {
    /// Sets the task that serves the connection; aborting the task closes the connection.
    pub(super) fn set_task(&self, task: AbortHandle) {
        if let Some(entry) = self.connections.table().open.get_mut(&self.id) {
            entry.task = Some(task);
        }
    }

    /// Records whether the connection holds memory that others may wait for.
    pub(super) fn set_holds_memory(&self, holds_memory: bool) {
        if let Some(entry) = self.connections.table().open.get_mut(&self.id) {
            entry.holds_memory = holds_memory;
        }
    }

    /// Records that bytes of a request's body arrived.
    pub(super) fn record_body_bytes(&self, count: usize) {
        self.connections.table().record_body_bytes(self.id, count, Instant::now());
    }

    /// Records that the connection has entered `stage`.
    pub(super) fn set_stage(&self, stage: Stage) {
        self.connections.table().set_stage(self.id, stage, Instant::now());
    }

    /// Moves the connection from stage `from` to stage `to` if it is at `from`. Returns whether it was.
    pub(super) fn advance_stage(&self, from: Stage, to: Stage) -> bool {
        let mut table = self.connections.table();
        let is_from = table.open.get(&self.id).is_some_and(|e| e.stage == from);
        if is_from {
            table.set_stage(self.id, to, Instant::now());
        }
        is_from
    }

    /// Whether a response has begun on the connection.
    pub(super) fn has_responded(&self) -> bool {
        self.connections.table().open.get(&self.id).is_some_and(|e| e.has_responded)
    }

    /// Whether part of a further request has arrived on a connection that has had a response.
    pub(super) fn has_partial_request(&self) -> bool {
        let table = self.connections.table();
        table.open.get(&self.id).is_some_and(|e| e.has_responded && e.stage == Stage::Unfinished)
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.connections.table().remove(self.id);
        self.connections.ended.notify_one();
    }
}
