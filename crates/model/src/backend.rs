//! A backend as a state machine without I/O: the model steps it in virtual time, a stand-in in real time.
//!
//! Requests in work share the cores equally, no request takes more than one; behind them is a queue, and
//! beyond that requests are rejected. While a backend warms up its capacity rises evenly to the full.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use sedgestack_fleet::{BackendKind, Cancel, Micros, PlatformRules};

/// While a backend warms up its capacity is computed anew this often.
const WARM_UP_STEP: Micros = 50_000;
/// Weight of the newest request in the service time that a backend reports.
const LATENCY_WEIGHT: f64 = 0.1;
/// Work left that counts as none: less than a microsecond of a core.
const NO_WORK: f64 = 0.5;

/// A request at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Names it to its caller.
    pub id: u64,
    /// Microseconds of a core of speed 1.
    pub work: f64,
    /// When its caller gives up.
    pub expires: Micros,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is processed.
    Started,
    /// It is queued.
    Queued,
    /// It is rejected: the queue is full.
    QueueFull,
    /// It was more than the backend, which is warming up, could take; the backend is gone.
    Crashed,
}

/// A request that left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedJob {
    /// Names it to its caller.
    pub id: u64,
    /// When it left.
    pub at: Micros,
    /// Whether it was worked to its end; else it was dropped unworked, as its caller had given up.
    pub is_completed: bool,
}

/// A backend's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Share of its cores that was busy since the report before, 0 to 1.
    pub utilization: f64,
    /// Recent mean service time without queueing, microseconds.
    pub latency: f64,
}

#[derive(PartialEq)]
struct InWork {
    /// Attained service at which it is done.
    until: f64,
    order: u64,
    id: u64,
    begun: Micros,
}

impl Eq for InWork {}

impl Ord for InWork {
    fn cmp(&self, other: &Self) -> Ordering {
        other.until.total_cmp(&self.until).then(other.order.cmp(&self.order))
    }
}

impl PartialOrd for InWork {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A backend that runs.
pub struct SimulatedBackend {
    kind: BackendKind,
    rules: PlatformRules,
    speed: f64,
    /// When its process started; `None` for long ago.
    started: Option<Micros>,
    now: Micros,
    /// Service that each request in work has had since the beginning, microseconds of a core of speed 1.
    attained: f64,
    in_work: BinaryHeap<InWork>,
    waiting: VecDeque<Job>,
    orders: u64,
    /// Work sent within the fall window, while it warms up.
    sent: VecDeque<(Micros, f64)>,
    sent_sum: f64,
    /// Core-microseconds busy since the beginning, and at the last report.
    busy: f64,
    reported: (Micros, f64),
    latency: f64,
}

impl SimulatedBackend {
    /// A backend of `kind` that does `speed` times the work of a core of speed 1, up at `now`; one with a moment
    /// `started` warms up from then on.
    pub fn new(
        kind: &BackendKind,
        rules: &PlatformRules,
        speed: f64,
        started: Option<Micros>,
        now: Micros,
    ) -> SimulatedBackend {
        SimulatedBackend {
            kind: kind.clone(),
            rules: *rules,
            speed,
            started,
            now,
            attained: 0.0,
            in_work: BinaryHeap::new(),
            waiting: VecDeque::new(),
            orders: 0,
            sent: VecDeque::new(),
            sent_sum: 0.0,
            busy: 0.0,
            reported: (now, 0.0),
            latency: 0.0,
        }
    }

    /// Share of its full capacity that it has at `at`, 0 to 1.
    pub fn capacity_share(&self, at: Micros) -> f64 {
        match self.started {
            Some(started) if self.kind.slow_start > 0 => {
                let age = at.saturating_sub(started) as f64 / self.kind.slow_start as f64;
                (self.kind.slow_start_share + (1.0 - self.kind.slow_start_share) * age).min(1.0)
            }
            _ => 1.0,
        }
    }

    fn is_warming_up(&self, at: Micros) -> bool {
        self.started.is_some_and(|s| at < s + self.kind.slow_start)
    }

    /// Service that each request in work gets a microsecond.
    fn rate(&self) -> f64 {
        let n = self.in_work.len() as f64;
        let cores = f64::from(self.kind.cores);
        let crowded = (n / cores - self.kind.thrash_at).max(0.0) / self.kind.thrash_at.max(1.0);
        let thrash = 1.0 - self.kind.thrash * crowded.min(1.0);
        self.speed * self.capacity_share(self.now) * thrash * (cores / n.max(1.0)).min(1.0)
    }

    /// When something happens next, if nothing arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        let first = self.in_work.peek()?;
        let left = ((first.until - self.attained).max(0.0) / self.rate()).ceil() as Micros;
        let done = self.now + left.max(1);
        let step = if self.is_warming_up(self.now) { self.now + WARM_UP_STEP } else { Micros::MAX };
        Some(done.min(step))
    }

    /// Goes on to `to`; what left on the way is added to `left`.
    pub fn advance(&mut self, to: Micros, left: &mut Vec<FinishedJob>) {
        while self.now < to {
            let until = self.next_event_at().map_or(to, |next| next.min(to));
            let span = (until - self.now) as f64;
            self.busy += span * (self.in_work.len() as f64).min(f64::from(self.kind.cores));
            self.attained += span * self.rate();
            self.now = until;
            while self.in_work.peek().is_some_and(|first| first.until <= self.attained + NO_WORK) {
                let done = self.in_work.pop().expect("it was seen");
                let service = (self.now - done.begun) as f64;
                let weight = if self.latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
                self.latency += weight * (service - self.latency);
                left.push(FinishedJob { id: done.id, at: self.now, is_completed: true });
                self.begin_next(left);
            }
        }
    }

    fn begin_next(&mut self, left: &mut Vec<FinishedJob>) {
        while self.in_work.len() < self.kind.slots as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            if self.kind.drops_expired && job.expires <= self.now {
                left.push(FinishedJob { id: job.id, at: self.now, is_completed: false });
                continue;
            }
            self.begin(job);
        }
    }

    fn begin(&mut self, job: Job) {
        self.orders += 1;
        let until = self.attained + job.work;
        self.in_work.push(InWork { until, order: self.orders, id: job.id, begun: self.now });
    }

    /// Takes a request that has come whole. Call [`advance`](SimulatedBackend::advance) to the same moment first.
    pub fn offer(&mut self, job: Job) -> Admission {
        if self.is_warming_up(self.now) {
            let since = self.now.saturating_sub(self.rules.fall_window);
            while self.sent.front().is_some_and(|(at, _)| *at < since) {
                self.sent_sum -= self.sent.pop_front().map_or(0.0, |(_, work)| work);
            }
            self.sent.push_back((self.now, job.work));
            self.sent_sum += job.work;
            let capacity = f64::from(self.kind.cores) * self.speed * self.capacity_share(self.now);
            let most = self.rules.fall_multiple * capacity * self.rules.fall_window as f64;
            if self.sent_sum > most {
                return Admission::Crashed;
            }
        }
        if self.in_work.len() < self.kind.slots as usize {
            self.begin(job);
            return Admission::Started;
        }
        if self.waiting.len() >= self.kind.queue_capacity as usize {
            return Admission::QueueFull;
        }
        self.waiting.push_back(job);
        Admission::Queued
    }

    /// A caller gave up: returns whether its request was dropped from the queue.
    pub fn cancel(&mut self, id: u64) -> bool {
        let index = self.waiting.iter().position(|j| j.id == id);
        match index.filter(|_| self.kind.cancel == Cancel::Queued) {
            Some(index) => self.waiting.remove(index).is_some(),
            None => false,
        }
    }

    /// Requests in work and waiting.
    pub fn running_and_queued(&self) -> (usize, usize) {
        (self.in_work.len(), self.waiting.len())
    }

    /// Core-microseconds that were busy since it came up.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Its load since the last call.
    pub fn report(&mut self) -> Report {
        let (at, busy) = self.reported;
        let span = self.now.saturating_sub(at).max(1) as f64 * f64::from(self.kind.cores);
        self.reported = (self.now, self.busy);
        Report { utilization: ((self.busy - busy) / span).clamp(0.0, 1.0), latency: self.latency }
    }
}

#[cfg(test)]
mod tests;
