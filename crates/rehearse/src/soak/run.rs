//! One run: daemons, load, faults, signals in series, the kill, and the check.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde::Serialize;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use super::backend::Backends;
use super::checker::{check, Circumstances, Finding, Rule, StopTimes};
use super::client::{Client, Phase};
use super::deployment::Deployment;
use super::discovery::{Discovery, State};
use super::lateness::LatenessMonitor;
use super::limiter::{Limiter, LOOK_EVERY, SETTLE_WITHIN};
use super::records::Records;
use crate::{io, Failure};

/// After the first signal to stop, new connections go on coming for so long.
const CONNECTS_AFTER_STOP: Duration = Duration::from_millis(200);
/// "SIGKILL comes after SIGTERM no sooner than the longest deadline (counted as 3 s where it is longer) plus 0.7 s."
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Signals of a series at most, and the longest pause between two of them, milliseconds.
const MAX_SIGNALS: usize = 5;
const MAX_SIGNAL_PAUSE_MS: u64 = 250;
/// The load before the first signal of the last phase, milliseconds.
const LOAD_BEFORE_SIGNALS_MS: std::ops::Range<u64> = 300..900;
/// The pause between two faults, milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..700;
/// How long discovery is silent, milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 300..2_500;
/// How often connections to a new backend come up late, and how late, milliseconds.
const LATE_SHARE: f64 = 0.7;
const LATE_MS: std::ops::Range<u64> = 100..900;
/// A backend that drains is gone after so long.
const DRAIN_LASTS: Duration = Duration::from_millis(600);
/// Stand-ins whose timers are later than this could not play the run.
const VOID_LATENESS: Duration = Duration::from_millis(50);
/// "32 MB".
const MEMORY_LIMIT_KB: u64 = 32 << 10;

/// What is soaked, and how.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Determines everything that is drawn.
    pub seed: u64,
    /// How long the load with faults lasts before the signals.
    pub load: Duration,
    /// The daemon's binary.
    pub daemon: PathBuf,
}

/// What a run found.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Requests that clients wrote.
    pub requests: usize,
    /// Attempts that backends saw.
    pub attempts: usize,
    /// Requests answered with 200.
    pub served: usize,
    /// How late a timer of the stand-ins was at most.
    pub lateness: Duration,
    /// The machine was too busy for times to mean anything, so that only what rests on none was judged.
    pub is_void: bool,
    /// Rules that were broken.
    pub findings: Vec<Finding>,
}

/// Plays one run on a runtime of its own.
///
/// # Errors
/// Where a socket, file or daemon can't be had.
pub fn soak(options: &SoakOptions) -> Result<SoakReport, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(io("runtime"))?.block_on(async { Run::start(options).await?.play().await })
}

/// A backend in service.
struct RunningBackend {
    /// Counted over all lives.
    number: usize,
    address: SocketAddr,
    started_ms: u64,
}

impl RunningBackend {
    fn announce(&self, discovery: &Discovery, state: State) {
        discovery.set(self.number, self.address, state, self.started_ms);
    }
}

struct Run {
    options: SoakOptions,
    deployment: Arc<Deployment>,
    records: Arc<Records>,
    draws: StdRng,
    discovery: Arc<Discovery>,
    backends: Arc<Backends>,
    in_service: Vec<RunningBackend>,
    next_backend: usize,
    limiters: Vec<Limiter>,
    findings: Vec<Finding>,
    lateness: LatenessMonitor,
    _folder: TempDir,
}

impl Run {
    async fn start(options: &SoakOptions) -> Result<Run, Failure> {
        let deployment = Arc::new(Deployment::draw(options.seed));
        let mut draws = StdRng::seed_from_u64(options.seed.wrapping_add(1));
        let records = Arc::new(Records::new());
        let backends =
            Backends::new(records.clone(), deployment.max_work, StdRng::seed_from_u64(draws.random()));
        let mut run = Run {
            options: options.clone(),
            discovery: Discovery::new(records.clone()),
            deployment,
            records,
            draws,
            backends,
            in_service: Vec::new(),
            next_backend: 0,
            limiters: Vec::new(),
            findings: Vec::new(),
            lateness: LatenessMonitor::start(),
            _folder: TempDir::with_prefix("sedgestack-soak-").map_err(io("a folder"))?,
        };
        for _ in 0..run.deployment.backends {
            run.add_backend(Duration::ZERO).await?;
        }
        for limiter in 0..run.deployment.limiters {
            run.start_limiter(limiter).await?;
        }
        Ok(run)
    }

    async fn play(mut self) -> Result<SoakReport, Failure> {
        let (idle, mut clients) = (self.connect_idle_clients().await, self.start_clients());
        self.play_faults().await?;
        clients.end().await;
        drop(idle);
        self.check_resources().await;

        let (idle, mut clients) = (self.connect_idle_clients().await, self.start_clients());
        self.pause(LOAD_BEFORE_SIGNALS_MS).await;
        let stop = self.stop_limiters(&clients).await;
        clients.end().await;
        drop(idle);
        let is_void = self.lateness.largest() > VOID_LATENESS;
        self.findings.extend(check(&self.deployment, &self.records, Circumstances { stop, is_void }));
        Ok(self.report(is_void))
    }

    fn report(self, is_void: bool) -> SoakReport {
        let requests = self.records.requests();
        let is_served = |end| matches!(end, Some((_, super::ClientEnd::Answered(200))));
        SoakReport {
            seed: self.options.seed,
            served: requests.iter().filter(|request| is_served(request.end)).count(),
            requests: requests.len(),
            attempts: self.records.attempts().len(),
            lateness: self.lateness.largest(),
            is_void,
            findings: self.findings,
        }
    }

    async fn pause(&mut self, range_ms: std::ops::Range<u64>) {
        let pause_ms = self.draws.random_range(range_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    async fn add_backend(&mut self, late_by: Duration) -> Result<(), Failure> {
        let backend = self.next_backend;
        self.next_backend += 1;
        let address = self.backends.start(backend, late_by).await?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Those of the start are warm, and those that connections reach late, so that they get their share at once.
        let is_warm = self.limiters.is_empty() || !late_by.is_zero();
        let started_ms = if is_warm { 0 } else { started.as_millis() as u64 };
        let running = RunningBackend { number: backend, address, started_ms };
        running.announce(&self.discovery, State::Ready);
        self.in_service.push(running);
        Ok(())
    }

    async fn start_limiter(&mut self, number: usize) -> Result<(), Failure> {
        let agent = self.discovery.start_agent(number).await?;
        let config = self.deployment.config(number, agent, &self.discovery.servers());
        let file = self._folder.path().join(format!("n{number}.json"));
        std::fs::write(&file, config.to_string()).map_err(io("a configuration"))?;
        let limiter = Limiter::start(format!("n{number}"), &self.options.daemon, &file).await?;
        self.limiters.push(limiter);
        Ok(())
    }

    /// Connections that say nothing.
    async fn connect_idle_clients(&self) -> Vec<TcpStream> {
        let mut idle = Vec::new();
        for limiter in &self.limiters {
            for _ in 0..self.deployment.idle_clients {
                idle.extend(TcpStream::connect(limiter.address).await);
            }
        }
        idle
    }

    fn start_clients(&mut self) -> Clients {
        let (phase, followed) = watch::channel(Phase::Load);
        let clients = (0..self.deployment.clients).map(|number| {
            let limiter = number % self.limiters.len();
            let client = Client {
                limiter,
                address: self.limiters[limiter].address,
                deployment: self.deployment.clone(),
                records: self.records.clone(),
                draws: StdRng::seed_from_u64(self.draws.random()),
                phase: followed.clone(),
            };
            tokio::spawn(client.run())
        });
        let tasks = clients.collect();
        Clients { phase, tasks }
    }

    /// Drains and replaces backends, resets watches and silences discovery, until the load's time is over.
    async fn play_faults(&mut self) -> Result<(), Failure> {
        let ends_at = Instant::now() + self.options.load;
        while Instant::now() < ends_at {
            self.pause(FAULT_PAUSE_MS).await;
            match self.draws.random_range(0..4) {
                0 | 1 => self.replace_backend().await?,
                2 => self.discovery.reset_watches(),
                _ => {
                    self.discovery.set_silent(true);
                    self.pause(SILENCE_MS).await;
                    self.discovery.set_silent(false);
                }
            }
        }
        Ok(())
    }

    async fn replace_backend(&mut self) -> Result<(), Failure> {
        let late_ms = if self.draws.random_bool(LATE_SHARE) { self.draws.random_range(LATE_MS) } else { 0 };
        self.add_backend(Duration::from_millis(late_ms)).await?;
        let leaving = self.draws.random_range(0..self.in_service.len() - 1);
        let leaving = self.in_service.remove(leaving);
        leaving.announce(&self.discovery, State::Terminating);
        let discovery = self.discovery.clone();
        tokio::spawn(async move {
            sleep(DRAIN_LASTS).await;
            leaving.announce(&discovery, State::Gone);
        });
        Ok(())
    }

    /// Without load, descriptors come back to what they were after the start, and memory is within its limit.
    async fn check_resources(&mut self) {
        let deadline = Instant::now() + SETTLE_WITHIN;
        let too_many = |limiter: &Limiter| limiter.descriptors() > limiter.descriptors_at_start;
        while self.limiters.iter().any(too_many) && Instant::now() < deadline {
            sleep(LOOK_EVERY).await;
        }
        for limiter in &self.limiters {
            let name = &limiter.name;
            if too_many(limiter) {
                let (now, before) = (limiter.descriptors(), limiter.descriptors_at_start);
                let detail = format!("{name} holds {now} descriptors, {before} after its start");
                self.findings.push(Finding::new(Rule::Descriptors, detail));
            }
            let peak_kb = limiter.peak_memory_kb();
            if peak_kb > MEMORY_LIMIT_KB {
                self.findings.push(Finding::new(Rule::Memory, format!("{name} used {peak_kb} KB")));
            }
        }
    }

    /// Sends each limiter a series of signals that tell it to stop, and kills it at the earliest that is allowed.
    async fn stop_limiters(&mut self, clients: &Clients) -> StopTimes {
        self.check_alive();
        let mut told_at = None;
        let mut signals = self.draw_signals();
        while let Some(signal) = signals.pop() {
            self.signal_all(signal);
            if matches!(signal, Signal::TERM | Signal::INT) {
                told_at.get_or_insert(self.records.now());
            }
            if !signals.is_empty() {
                self.pause(0..MAX_SIGNAL_PAUSE_MS).await;
            }
        }
        let told_at = told_at.expect("a series holds a signal to stop");
        self.sleep_until(told_at + CONNECTS_AFTER_STOP).await;
        clients.phase.send_replace(Phase::NoNewConnections);
        let deadline = self.deployment.longest_deadline().min(LONGEST_COUNTED_DEADLINE);
        self.sleep_until(told_at + deadline + KILL_MARGIN).await;
        let killed_at = self.records.now();
        self.limiters.iter_mut().for_each(Limiter::kill);
        self.check_logs();
        StopTimes { told_at, killed_at }
    }

    async fn sleep_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.records.now())).await;
    }

    /// The last is sent first.
    fn draw_signals(&mut self) -> Vec<Signal> {
        let all = [Signal::TERM, Signal::INT, Signal::HUP];
        let count = self.draws.random_range(1..=MAX_SIGNALS);
        let mut signals: Vec<Signal> =
            (0..count).map(|_| all[self.draws.random_range(0..all.len())]).collect();
        if signals.iter().all(|signal| *signal == Signal::HUP) {
            signals.insert(0, Signal::TERM);
        }
        signals
    }

    fn signal_all(&self, signal: Signal) {
        self.limiters.iter().for_each(|limiter| limiter.signal(signal));
    }

    fn check_alive(&mut self) {
        let ended = self.limiters.iter_mut().filter_map(Limiter::ended_by_itself);
        self.findings.extend(ended.map(|detail| Finding::new(Rule::Crash, detail)));
    }

    fn check_logs(&mut self) {
        let panics = self.limiters.iter().filter_map(Limiter::panic_line);
        self.findings.extend(panics.map(|line| Finding::new(Rule::Crash, line)));
    }
}

/// Clients that run.
struct Clients {
    phase: watch::Sender<Phase>,
    tasks: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Lets them end what they have under way.
    async fn end(&mut self) {
        self.phase.send_replace(Phase::End);
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
    }
}
