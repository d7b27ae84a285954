//! The stage of each open downstream connection, without its I/O. Decides which connection is closed when its time is
//! up or capacity runs short.
//!
//! The table never closes a connection whose request is in flight.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::downstream_io::Downstream;
use crate::net::request_body::MIN_BODY_RATE;
use crate::net::runtime::metrics::{Counter, COUNTERS};

/// Time within which the head of a request must arrive, and by which its body may lag behind `MIN_BODY_RATE`. The platform requires that a client that sends
/// invalid data, or nothing, is disconnected within 3 s of connecting.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time within which a client must read its response, or some of a response that is passed on while it arrives.
const RESPONSE_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection stays open between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an idle connection stays open when more than half of the capacity is used: the shortest time that the
/// platform allows. It keeps clients that never close their connections from holding all descriptors.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Describes which connections may be closed when capacity runs short.
struct EvictionRule {
    /// The stage of the connection, as an index into `TIMED_STAGES`.
    stage_index: usize,
    /// How long the connection must have been at that stage.
    min_time: Duration,
}

/// The order in which connections are closed when capacity runs short. Idle clients that have had a response can
/// reconnect without harm, while a client that is slow to send loses its request. Normal requests arrive in less than
/// the shortest of these times.
const EVICTION_ORDER: [EvictionRule; 4] = [
    EvictionRule { stage_index: IDLE, min_time: Duration::from_millis(500) },
    EvictionRule { stage_index: UNFINISHED, min_time: Duration::from_millis(250) },
    EvictionRule { stage_index: IDLE, min_time: MIN_TIME_BEFORE_EVICTION },
    EvictionRule { stage_index: UNFINISHED, min_time: MIN_TIME_BEFORE_EVICTION },
];
/// Time without progress after which a connection may be closed because others wait for its memory.
const MIN_TIME_BEFORE_MEMORY_EVICTION: Duration = Duration::from_millis(250);
/// Time for which no connection is evicted after it has entered its stage.
const MIN_TIME_BEFORE_EVICTION: Duration = Duration::from_millis(50);

/// Progress of a downstream connection with its current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// A new connection awaits its first request, part of a request has arrived, or the rest of a request is being
    /// skipped after an error response.
    Unfinished,
    /// No response is outstanding; the next request may arrive.
    Idle,
    /// The response is being written.
    Responding,
    /// The request was passed to the control actor and is not answered yet.
    InFlight,
}

/// How long a connection may stay at a stage.
struct StageLimit {
    timeout: Duration,
    /// Counts the connections that were closed because they exceeded `timeout`.
    counter: &'static Counter,
}

impl Stage {
    fn limit(self) -> Option<StageLimit> {
        let (timeout, counter) = match self {
            Stage::Unfinished => (REQUEST_TIMEOUT, &COUNTERS.downstream_closed_unfinished),
            Stage::Idle => (IDLE_TIMEOUT, &COUNTERS.downstream_closed_idle),
            Stage::Responding => (RESPONSE_READ_TIMEOUT, &COUNTERS.downstream_closed_unread),
            Stage::InFlight => return None,
        };
        Some(StageLimit { timeout, counter })
    }
}

/// The stages that are limited in time.
const TIMED_STAGES: [Stage; 3] = [Stage::Unfinished, Stage::Idle, Stage::Responding];
/// Index of `Stage::Unfinished` in `TIMED_STAGES`.
const UNFINISHED: usize = 0;
/// Index of `Stage::Idle` in `TIMED_STAGES`.
const IDLE: usize = 1;

/// Whether one more connection may be accepted.
#[derive(Debug, PartialEq)]
pub(super) enum Capacity {
    Available,
    /// A connection may be accepted once the one with this id is closed.
    AfterClosing(u64),
    /// No connection may be closed before this time; capacity becomes free earlier only if a connection ends by
    /// itself.
    NotBefore(Option<Instant>),
}

/// State of an open connection.
pub(super) struct Entry {
    pub(super) stage: Stage,
    /// When the connection entered its stage.
    since: Instant,
    /// The task that serves the connection.
    pub(super) task: Option<AbortHandle>,
    /// Whether the connection is being closed.
    is_closing: bool,
    /// Whether a response has begun on the connection.
    pub(super) has_responded: bool,
    /// Whether the connection holds memory that others may wait for.
    pub(super) holds_memory: bool,
    /// The connection itself; `None` only in tests.
    pub(super) downstream: Option<Arc<Downstream>>,
}

/// A connection that has exceeded the time limit of its stage.
pub(super) struct OverdueConnection {
    pub(super) id: u64,
    /// Counts the connections closed for this reason.
    pub(super) counter: &'static Counter,
}

/// The open connections, indexed by id and by the time at which they entered their stage.
#[derive(Default)]
pub(super) struct ConnectionTable {
    last_id: u64,
    pub(super) open: HashMap<u64, Entry>,
    /// For each stage of `TIMED_STAGES`, its connections by the time at which they entered it.
    by_stage: [BTreeSet<(Instant, u64)>; TIMED_STAGES.len()],
    /// Number of connections that are being closed.
    closing: usize,
}

impl ConnectionTable {
    /// Adds a new connection and returns its id.
    pub(super) fn insert(&mut self, now: Instant) -> u64 {
        self.last_id += 1;
        let entry = Entry {
            stage: Stage::Unfinished,
            since: now,
            task: None,
            is_closing: false,
            has_responded: false,
            holds_memory: false,
            downstream: None,
        };
        self.open.insert(self.last_id, entry);
        self.by_stage[UNFINISHED].insert((now, self.last_id));
        self.last_id
    }

    /// Removes a connection from the time limits.
    fn stop_timing(&mut self, id: u64) {
        let Some(entry) = self.open.get(&id) else { return };
        if let Some(index) = TIMED_STAGES.iter().position(|s| *s == entry.stage) {
            self.by_stage[index].remove(&(entry.since, id));
        }
    }

    /// Records that a connection has entered `stage`.
    pub(super) fn set_stage(&mut self, id: u64, stage: Stage, now: Instant) {
        self.stop_timing(id);
        let Some(entry) = self.open.get_mut(&id).filter(|e| !e.is_closing) else { return };
        entry.has_responded |= stage == Stage::Responding;
        (entry.stage, entry.since) = (stage, now);
        if let Some(index) = TIMED_STAGES.iter().position(|s| *s == stage) {
            self.by_stage[index].insert((now, id));
        }
    }

    /// Records that bytes of a request's body arrived. A body that comes at `MIN_BODY_RATE` never exceeds its time.
    pub(super) fn record_body_bytes(&mut self, id: u64, count: usize, now: Instant) {
        let Some(entry) = self.open.get(&id).filter(|e| e.stage == Stage::Unfinished) else { return };
        let allowance = Duration::from_secs(count as u64) / MIN_BODY_RATE;
        self.set_stage(id, Stage::Unfinished, (entry.since + allowance).min(now));
    }

    /// Returns up to `count` connections at `stage` that hold memory and have not progressed for a while, the one that
    /// progressed least first.
    pub(super) fn memory_holders(&self, stage: Stage, count: usize, now: Instant) -> Vec<u64> {
        let index = TIMED_STAGES.iter().position(|s| *s == stage);
        let oldest = index.into_iter().flat_map(|index| &self.by_stage[index]);
        oldest
            .take_while(|(since, _)| *since + MIN_TIME_BEFORE_MEMORY_EVICTION <= now)
            .filter(|(_, id)| self.open.get(id).is_some_and(|entry| entry.holds_memory))
            .take(count)
            .map(|(_, id)| *id)
            .collect()
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, id: u64) {
        self.stop_timing(id);
        if self.open.remove(&id).is_some_and(|e| e.is_closing) {
            self.closing -= 1;
        }
    }

    /// Returns a connection that has exceeded its time limit, if any. `max_open` is the capacity.
    pub(super) fn find_overdue(&self, max_open: usize, now: Instant) -> Option<OverdueConnection> {
        let is_crowded = self.open.len() * 2 > max_open;
        TIMED_STAGES.iter().zip(&self.by_stage).find_map(|(stage, connections)| {
            let ((since, id), limit) = connections.first().zip(stage.limit())?;
            let timeout =
                if is_crowded && *stage == Stage::Idle { CROWDED_IDLE_TIMEOUT } else { limit.timeout };
            (*since + timeout <= now).then_some(OverdueConnection { id: *id, counter: limit.counter })
        })
    }

    /// Returns whether a table of at most `max_open` connections has capacity for one more, or which connection to
    /// close for it: the first match in `EVICTION_ORDER`, and within a stage the oldest connection.
    pub(super) fn capacity(&self, max_open: usize, now: Instant) -> Capacity {
        if self.open.len() < max_open {
            return Capacity::Available;
        }
        if self.closing > 0 {
            return Capacity::NotBefore(None);
        }
        let oldest = |stage_index: usize| self.by_stage[stage_index].first();
        let evicted = EVICTION_ORDER
            .iter()
            .find_map(|rule| oldest(rule.stage_index).filter(|(since, _)| *since + rule.min_time <= now));
        match evicted {
            Some((_, id)) => Capacity::AfterClosing(*id),
            None => {
                let oldest = oldest(IDLE).into_iter().chain(oldest(UNFINISHED)).min();
                Capacity::NotBefore(oldest.map(|(since, _)| *since + MIN_TIME_BEFORE_EVICTION))
            }
        }
    }

    /// Whether connections are being closed, so that there is about to be capacity.
    pub(super) fn has_closing(&self) -> bool {
        self.closing > 0
    }

    /// Starts closing a connection. It counts as open until it has ended.
    pub(super) fn close(&mut self, id: u64) {
        self.stop_timing(id);
        let Some(entry) = self.open.get_mut(&id) else { return };
        (entry.stage, entry.is_closing) = (Stage::InFlight, true);
        self.closing += 1;
        if let Some(task) = &entry.task {
            task.abort();
        }
    }
}

#[cfg(test)]
mod tests;
