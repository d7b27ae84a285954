//! Runs a backend's state machine in real time.

use std::collections::HashMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand_distr::{Distribution, Normal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

use sedgestack_fleet::{BackendKind, BackendLocation};
use sedgestack_model::backend::{Admission, FinishedJob, Job, SimulatedBackend};

use super::Shared;
use crate::sync::locked;

/// How a job ended.
pub enum JobOutcome {
    Done,
    /// The job was not processed before its deadline.
    Expired,
    QueueFull,
}

/// Commands from connections to the machine.
pub enum Command {
    Submit {
        job: Job,
        outcome: oneshot::Sender<JobOutcome>,
    },
    /// Cancels the job with this id.
    Cancel(u64),
}

/// A load report that responses carry only after a delay.
struct DelayedReport {
    visible_at: Instant,
    text: String,
}

/// A backend's state machine and the connections that wait for its jobs.
pub struct Machine {
    backend: SimulatedBackend,
    kind: BackendKind,
    shared: Arc<Shared>,
    /// The load report that responses carry.
    load_report: Arc<Mutex<String>>,
    /// The newest load report, until its delay is over.
    pending_report: Option<DelayedReport>,
    next_report_at: Instant,
    /// Where to send the outcome of each unfinished job, by job id.
    waiting: HashMap<u64, oneshot::Sender<JobOutcome>>,
}

/// The backend crashed under too much load during warm-up.
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
        let next_report_at = Instant::now() + Duration::from_micros(kind.report_interval);
        Machine {
            backend,
            kind,
            shared,
            load_report,
            pending_report: None,
            next_report_at,
            waiting: HashMap::new(),
        }
    }

    /// Runs until the mailbox is closed or the backend crashes.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<Command>) {
        loop {
            let command = tokio::select! {
                biased;
                command = mailbox.recv() => match command {
                    Some(command) => Some(command),
                    None => return,
                },
                () = sleep_until(self.wake_at()) => None,
            };
            let now = Instant::now();
            self.finish_jobs();
            self.update_load_report(now);
            if let Some(command) = command {
                if self.handle(command).is_err() {
                    return;
                }
            }
        }
    }

    /// When the machine has to act without a command.
    fn wake_at(&self) -> Instant {
        let job_due = self.backend.next_event_at().map(|at| self.shared.origin + Duration::from_micros(at));
        let report_visible = self.pending_report.as_ref().map(|report| report.visible_at);
        [job_due, report_visible].into_iter().flatten().fold(self.next_report_at, Instant::min)
    }

    fn finish_jobs(&mut self) {
        let mut finished = Vec::new();
        self.backend.advance(self.shared.now(), &mut finished);
        for FinishedJob { id, is_completed, .. } in finished {
            if let Some(outcome) = self.waiting.remove(&id) {
                let _ = outcome.send(if is_completed { JobOutcome::Done } else { JobOutcome::Expired });
            }
        }
    }

    fn update_load_report(&mut self, now: Instant) {
        if let Some(report) = self.pending_report.take_if(|report| report.visible_at <= now) {
            *locked(&self.load_report) = report.text;
        }
        if now >= self.next_report_at {
            self.next_report_at = now + Duration::from_micros(self.kind.report_interval);
            let visible_at = now + Duration::from_micros(self.kind.report_delay);
            self.pending_report = Some(DelayedReport { visible_at, text: self.report() });
        }
    }

    fn handle(&mut self, command: Command) -> Result<(), Crashed> {
        match command {
            Command::Submit { job, outcome } => match self.backend.offer(job) {
                Admission::Started | Admission::Queued => {
                    self.waiting.insert(job.id, outcome);
                }
                Admission::QueueFull => {
                    let _ = outcome.send(JobOutcome::QueueFull);
                }
                Admission::Crashed => {
                    self.shared.warmup_crashes.fetch_add(1, Relaxed);
                    return Err(Crashed);
                }
            },
            Command::Cancel(id) => {
                if self.backend.cancel(id) {
                    self.waiting.remove(&id);
                }
            }
        }
        Ok(())
    }

    /// Formats a load report, with random noise as configured in the fleet file.
    fn report(&mut self) -> String {
        let report = self.backend.report();
        let noise =
            Normal::new(1.0, self.kind.report_noise).expect("a validated standard deviation is finite");
        let factor: f64 = noise.sample(&mut *locked(&self.shared.rng)).max(0.0);
        let utilization = (report.utilization * factor).clamp(0.0, 1.0);
        format!("util={utilization:.3},latency_ms={:.2}", report.latency * factor / 1e3)
    }
}
