//! A backend's state machine, run against the clock.

use std::collections::HashMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand_distr::{Distribution, Normal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

use sedgestack_fleet::{BackendKind, BackendLocation};
use sedgestack_model::backend::{FinishedJob, Job, Offer, SimulatedBackend};

use super::Shared;
use crate::sync::locked;

/// What becomes of a request.
pub enum JobOutcome {
    Done,
    /// Never begun, as its sender had given up.
    Expired,
    QueueFull,
}

/// What connections ask of the machine.
pub enum Order {
    Offer { job: Job, outcome: oneshot::Sender<JobOutcome> },
    Cancel(u64),
}

/// A load report that becomes visible after the platform's delay.
struct DelayedReport {
    visible_at: Instant,
    text: String,
}

/// The state machine and who waits for it.
pub struct Machine {
    backend: SimulatedBackend,
    kind: BackendKind,
    shared: Arc<Shared>,
    /// The report that responses carry.
    load_report: Arc<Mutex<String>>,
    next_report: Option<DelayedReport>,
    report_at: Instant,
    waiting: HashMap<u64, oneshot::Sender<JobOutcome>>,
}

/// The process crashed.
struct Crashed;

impl Machine {
    pub fn new(
        shared: Arc<Shared>,
        location: BackendLocation,
        speed: f64,
        is_cold: bool,
        load_report: Arc<Mutex<String>>,
    ) -> Machine {
        let kind = shared.fleet.backend_kinds[location.kind].clone();
        let now = shared.now();
        let started = is_cold.then_some(now);
        let backend = SimulatedBackend::new(&kind, &shared.fleet.rules, speed, started, now);
        let report_at = Instant::now() + Duration::from_micros(kind.report_every);
        Machine { backend, kind, shared, load_report, next_report: None, report_at, waiting: HashMap::new() }
    }

    /// Runs until the mailbox is closed or the backend crashes.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<Order>) {
        loop {
            let order = tokio::select! {
                biased;
                order = mailbox.recv() => match order {
                    Some(order) => Some(order),
                    None => return,
                },
                () = sleep_until(self.wake_at()) => None,
            };
            let now = Instant::now();
            self.finish_jobs();
            self.update_load_report(now);
            if let Some(order) = order {
                if self.handle(order).is_err() {
                    return;
                }
            }
        }
    }

    /// When something is due without an order.
    fn wake_at(&self) -> Instant {
        let job_due = self.backend.next().map(|at| self.shared.origin + Duration::from_micros(at));
        let report_visible = self.next_report.as_ref().map(|report| report.visible_at);
        [job_due, report_visible].into_iter().flatten().fold(self.report_at, Instant::min)
    }

    fn finish_jobs(&mut self) {
        let mut finished = Vec::new();
        self.backend.advance(self.shared.now(), &mut finished);
        for FinishedJob { id, worked, .. } in finished {
            if let Some(outcome) = self.waiting.remove(&id) {
                let _ = outcome.send(if worked { JobOutcome::Done } else { JobOutcome::Expired });
            }
        }
    }

    fn update_load_report(&mut self, now: Instant) {
        if let Some(report) = self.next_report.take_if(|report| report.visible_at <= now) {
            *locked(&self.load_report) = report.text;
        }
        if now >= self.report_at {
            self.report_at = now + Duration::from_micros(self.kind.report_every);
            let visible_at = now + Duration::from_micros(self.kind.report_delay);
            self.next_report = Some(DelayedReport { visible_at, text: self.report() });
        }
    }

    fn handle(&mut self, order: Order) -> Result<(), Crashed> {
        match order {
            Order::Offer { job, outcome } => match self.backend.offer(job) {
                Offer::Begun | Offer::Waits => {
                    self.waiting.insert(job.id, outcome);
                }
                Offer::Full => {
                    let _ = outcome.send(JobOutcome::QueueFull);
                }
                Offer::Fell => {
                    self.shared.warmup_crashes.fetch_add(1, Relaxed);
                    return Err(Crashed);
                }
            },
            Order::Cancel(id) => {
                if self.backend.cancel(id) {
                    self.waiting.remove(&id);
                }
            }
        }
        Ok(())
    }

    /// A load report with the noise that the fleet file describes.
    fn report(&mut self) -> String {
        let report = self.backend.report();
        let noise = Normal::new(1.0, self.kind.report_noise).expect("a checked spread is finite");
        let factor: f64 = noise.sample(&mut *locked(&self.shared.draws)).max(0.0);
        let utilization = (report.utilization * factor).clamp(0.0, 1.0);
        format!("util={utilization:.3},latency_ms={:.2}", report.latency * factor / 1e3)
    }
}
