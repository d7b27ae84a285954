//! A backend as a state machine without I/O. The model advances it in virtual time, a stand-in in real time.
//!
//! Running requests share the cores equally, with at most one core each. Requests beyond the number of slots are
//! queued, and rejected once the queue is full. While a backend warms up, its capacity grows linearly to its full
//! value.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use sedgestack_fleet::{BackendKind, CancelPolicy, Micros, PlatformRules};

/// Interval at which the capacity is recomputed while a backend warms up.
const WARM_UP_STEP: Micros = 50_000;
/// Weight of the latest request in the moving average of the service time that a backend reports.
const LATENCY_WEIGHT: f64 = 0.1;
/// Remaining work at or below which a request counts as finished: half a core-microsecond, below the resolution of
/// the clock.
const NEGLIGIBLE_WORK: f64 = 0.5;

/// A request sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Identifies the request to its caller.
    pub id: u64,
    /// Work of the request, in microseconds on a core of speed 1.
    pub work: f64,
    /// When the caller gives up waiting for the request.
    pub expires: Micros,
}

/// What a backend does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Started,
    /// The request is queued.
    Queued,
    /// The request is rejected because the queue is full.
    QueueFull,
    /// The backend crashed: it received more work than it can take while it warms up.
    Crashed,
}

/// A request that left a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedJob {
    /// Identifies the request to its caller.
    pub id: u64,
    /// When the request left.
    pub at: Micros,
    /// Whether the request was completed. If not, it was dropped from the queue after its caller had given up.
    pub is_completed: bool,
}

/// A backend's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Share of the cores that was busy since the previous report, 0 to 1.
    pub utilization: f64,
    /// Moving average of the service time without time in the queue, in microseconds.
    pub latency: f64,
}

/// A running request. The greatest in [`Ord`] is the one that finishes first.
#[derive(PartialEq)]
struct RunningJob {
    /// Attained service at which the request is finished.
    finish_at: f64,
    /// Breaks ties: of two requests that finish together, the one that started first leaves first.
    sequence: u64,
    id: u64,
    started_at: Micros,
}

impl Eq for RunningJob {}

impl Ord for RunningJob {
    fn cmp(&self, other: &Self) -> Ordering {
        other.finish_at.total_cmp(&self.finish_at).then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for RunningJob {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The process of a running backend.
pub struct SimulatedBackend {
    kind: BackendKind,
    rules: PlatformRules,
    speed: f64,
    /// When the process started; `None` if that was long before the run, so that it does not warm up.
    started: Option<Micros>,
    now: Micros,
    /// Service that a request running since the beginning would have received by `now`, in microseconds on a core of
    /// speed 1. All running requests receive service at the same rate, so one sum is enough for all of them.
    attained_service: f64,
    running: BinaryHeap<RunningJob>,
    queue: VecDeque<Job>,
    /// Number of requests started so far.
    jobs_started: u64,
    /// Time and work of each request that arrived within the last `overload_window`; kept during warm-up only.
    recent_arrivals: VecDeque<(Micros, f64)>,
    /// Sum of the work in `recent_arrivals`.
    recent_work: f64,
    /// Busy core-microseconds since the beginning.
    busy: f64,
    /// Time of the last load report and the busy core-microseconds until then.
    last_report: (Micros, f64),
    /// Moving average of the service time; 0 before the first request has finished.
    latency: f64,
}

impl SimulatedBackend {
    /// Creates a backend that runs from `now` on and whose cores have the given `speed`. It warms up from `started`
    /// on, if that is set.
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
            attained_service: 0.0,
            running: BinaryHeap::new(),
            queue: VecDeque::new(),
            jobs_started: 0,
            recent_arrivals: VecDeque::new(),
            recent_work: 0.0,
            busy: 0.0,
            last_report: (now, 0.0),
            latency: 0.0,
        }
    }

    /// Share of the full capacity that the backend has at `at`, 0 to 1. Below 1 only while it warms up.
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

    /// Service that each running request receives per microsecond. Above `thrash_at` requests per core, contention
    /// reduces the throughput, by up to the share `thrash` at twice that number.
    fn service_rate(&self) -> f64 {
        let n = self.running.len() as f64;
        let cores = f64::from(self.kind.cores);
        let overload = (n / cores - self.kind.thrash_at).max(0.0) / self.kind.thrash_at.max(1.0);
        let thrash = 1.0 - self.kind.thrash * overload.min(1.0);
        self.speed * self.capacity_share(self.now) * thrash * (cores / n.max(1.0)).min(1.0)
    }

    /// When the backend must be advanced next, unless a request arrives earlier.
    pub fn next_event_at(&self) -> Option<Micros> {
        let first = self.running.peek()?;
        let remaining =
            ((first.finish_at - self.attained_service).max(0.0) / self.service_rate()).ceil() as Micros;
        let done = self.now + remaining.max(1);
        let step = if self.is_warming_up(self.now) { self.now + WARM_UP_STEP } else { Micros::MAX };
        Some(done.min(step))
    }

    /// Advances the backend to `to` and adds the requests that leave until then to `finished`.
    pub fn advance(&mut self, to: Micros, finished: &mut Vec<FinishedJob>) {
        while self.now < to {
            let until = self.next_event_at().map_or(to, |next| next.min(to));
            let span = (until - self.now) as f64;
            self.busy += span * (self.running.len() as f64).min(f64::from(self.kind.cores));
            self.attained_service += span * self.service_rate();
            self.now = until;
            while self
                .running
                .peek()
                .is_some_and(|first| first.finish_at <= self.attained_service + NEGLIGIBLE_WORK)
            {
                let done = self.running.pop().expect("the heap is not empty");
                let service = (self.now - done.started_at) as f64;
                let weight = if self.latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
                self.latency += weight * (service - self.latency);
                finished.push(FinishedJob { id: done.id, at: self.now, is_completed: true });
                self.start_queued(finished);
            }
        }
    }

    /// Starts queued requests while there are free slots.
    fn start_queued(&mut self, finished: &mut Vec<FinishedJob>) {
        while self.running.len() < self.kind.slots as usize {
            let Some(job) = self.queue.pop_front() else { return };
            if self.kind.drops_expired && job.expires <= self.now {
                finished.push(FinishedJob { id: job.id, at: self.now, is_completed: false });
                continue;
            }
            self.start(job);
        }
    }

    fn start(&mut self, job: Job) {
        self.jobs_started += 1;
        let finish_at = self.attained_service + job.work;
        self.running.push(RunningJob {
            finish_at,
            sequence: self.jobs_started,
            id: job.id,
            started_at: self.now,
        });
    }

    /// Handles a request that has been received completely. Call [`advance`](SimulatedBackend::advance) to the same
    /// moment first.
    pub fn offer(&mut self, job: Job) -> Admission {
        if self.is_warming_up(self.now) {
            let window_start = self.now.saturating_sub(self.rules.overload_window);
            while self.recent_arrivals.front().is_some_and(|(at, _)| *at < window_start) {
                self.recent_work -= self.recent_arrivals.pop_front().map_or(0.0, |(_, work)| work);
            }
            self.recent_arrivals.push_back((self.now, job.work));
            self.recent_work += job.work;
            let capacity = f64::from(self.kind.cores) * self.speed * self.capacity_share(self.now);
            let max_work = self.rules.overload_multiple * capacity * self.rules.overload_window as f64;
            if self.recent_work > max_work {
                return Admission::Crashed;
            }
        }
        if self.running.len() < self.kind.slots as usize {
            self.start(job);
            return Admission::Started;
        }
        if self.queue.len() >= self.kind.queue_capacity as usize {
            return Admission::QueueFull;
        }
        self.queue.push_back(job);
        Admission::Queued
    }

    /// Handles the cancellation of a request. Returns whether the request was removed from the queue.
    pub fn cancel(&mut self, id: u64) -> bool {
        let index = self.queue.iter().position(|j| j.id == id);
        match index.filter(|_| self.kind.cancel == CancelPolicy::Queued) {
            Some(index) => self.queue.remove(index).is_some(),
            None => false,
        }
    }

    /// Returns the numbers of running and of queued requests.
    pub fn running_and_queued(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// Returns the busy core-microseconds since the process started.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Returns the load report for the time since the last call.
    pub fn report(&mut self) -> Report {
        let (at, busy) = self.last_report;
        let span = self.now.saturating_sub(at).max(1) as f64 * f64::from(self.kind.cores);
        self.last_report = (self.now, self.busy);
        Report { utilization: ((self.busy - busy) / span).clamp(0.0, 1.0), latency: self.latency }
    }
}

#[cfg(test)]
mod tests;
