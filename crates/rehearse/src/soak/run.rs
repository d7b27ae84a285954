//! A soak run: starts limiters under load, injects faults, stops the limiters with signals, and checks the records.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::{Pid, Signal};
use serde::Serialize;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use super::backend::Backends;
use super::checker::{check, CheckContext, Finding, Rule, StopTimes};
use super::client::{Client, Phase};
use super::crowd::start_crowd;
use super::deployment::Deployment;
use super::discovery::{Discovery, State};
use super::lateness::LatenessMonitor;
use super::limiter::{Limiter, POLL_INTERVAL, SETTLE_TIMEOUT};
use super::records::Records;
use super::stalls::stall_processes;
use crate::{io, Failure};

/// How long clients open new connections after the first signal to stop.
const NEW_CONNECTIONS_AFTER_STOP: Duration = Duration::from_millis(200);
/// SIGKILL follows the first signal to stop after the longest deadline, of which at most this much counts, plus
/// [`KILL_MARGIN`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time that a limiter has to exit after the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of signals that a limiter receives before SIGKILL.
const MAX_SIGNALS: usize = 5;
/// Maximum pause between two signals, in milliseconds.
const MAX_SIGNAL_PAUSE_MS: u64 = 250;
/// Duration of the load before the first signal, in milliseconds.
const LOAD_BEFORE_SIGNALS_MS: std::ops::Range<u64> = 300..900;
/// Pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..700;
/// Duration of a silence of discovery, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 300..2_500;
/// Probability that a new backend accepts connections only after a delay.
const ACCEPT_DELAY_PROBABILITY: f64 = 0.7;
/// Time before a new backend accepts connections, if delayed, in milliseconds.
const ACCEPT_DELAY_MS: std::ops::Range<u64> = 100..900;
/// Time from the start of a backend's drain until it is gone.
const DRAIN_DURATION: Duration = Duration::from_millis(600);
/// Largest lateness of the stand-ins' timers above which a run is void.
const VOID_LATENESS: Duration = Duration::from_millis(50);
/// Memory limit of a limiter, in KB.
const MEMORY_LIMIT_KB: u64 = 32 << 10;

/// Options of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the deployment, the faults and the signals.
    pub seed: u64,
    /// Duration of the load with faults, before the load with signals.
    pub load: Duration,
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
}

/// The results of a soak run.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed of the run.
    pub seed: u64,
    /// Number of requests that clients wrote completely.
    pub requests: usize,
    /// Number of attempts that backends received.
    pub attempts: usize,
    /// Number of requests answered with 200.
    pub served: usize,
    /// Largest lateness of the stand-ins' timers.
    pub lateness: Duration,
    /// Whether the machine was too busy for times to be meaningful. If so, rules that depend on times were not checked.
    pub is_void: bool,
    /// The violations found.
    pub findings: Vec<Finding>,
}

/// Runs a soak on its own Tokio runtime.
///
/// # Errors
/// If a socket or file operation fails, or a limiter does not start.
pub fn soak(options: &SoakOptions) -> Result<SoakReport, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(io("runtime"))?.block_on(async { Run::start(options).await?.play().await })
}

/// A backend in service.
struct RunningBackend {
    /// Number of the backend, unique within the run.
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
    rng: StdRng,
    discovery: Arc<Discovery>,
    backends: Arc<Backends>,
    in_service: Vec<RunningBackend>,
    next_backend: usize,
    limiters: Vec<Limiter>,
    findings: Vec<Finding>,
    lateness: LatenessMonitor,
    _directory: TempDir,
}

impl Run {
    /// Starts the backends and limiters of a run.
    async fn start(options: &SoakOptions) -> Result<Run, Failure> {
        let deployment = Arc::new(Deployment::draw(options.seed));
        let mut rng = StdRng::seed_from_u64(options.seed.wrapping_add(1));
        let records = Arc::new(Records::new());
        let backends =
            Backends::new(records.clone(), deployment.max_work, StdRng::seed_from_u64(rng.random()));
        let mut run = Run {
            options: options.clone(),
            discovery: Discovery::new(records.clone(), deployment.lists),
            deployment,
            records,
            rng,
            backends,
            in_service: Vec::new(),
            next_backend: 0,
            limiters: Vec::new(),
            findings: Vec::new(),
            lateness: LatenessMonitor::start(),
            _directory: TempDir::with_prefix("sedgestack-soak-").map_err(io("temporary directory"))?,
        };
        for _ in 0..run.deployment.backends {
            run.add_backend(Duration::ZERO).await?;
        }
        if run.deployment.lists.fillers > 0 {
            let filler = run.next_backend;
            run.next_backend += 1;
            let address = run.backends.start(filler, Duration::ZERO).await?;
            run.discovery.set_filler(filler, address);
        }
        for limiter in 0..run.deployment.limiters {
            run.start_limiter(limiter).await?;
        }
        Ok(run)
    }

    /// Plays the load with faults, then the load with signals, and checks the records.
    async fn play(mut self) -> Result<SoakReport, Failure> {
        let (idle, mut clients) = (self.connect_idle_clients().await, self.start_clients());
        self.play_faults().await?;
        clients.finish().await;
        drop(idle);
        self.check_resources().await;

        let (idle, mut clients) = (self.connect_idle_clients().await, self.start_clients());
        self.pause(LOAD_BEFORE_SIGNALS_MS).await;
        let stop = self.stop_limiters(&clients).await;
        clients.finish().await;
        drop(idle);
        let is_void = self.lateness.largest() > VOID_LATENESS;
        self.findings.extend(check(&self.deployment, &self.records, CheckContext { stop, is_void }));
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

    /// Sleeps for a random time.
    async fn pause(&mut self, range_ms: std::ops::Range<u64>) {
        let pause_ms = self.rng.random_range(range_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Starts a backend that accepts connections after `accept_delay`, and announces it.
    async fn add_backend(&mut self, accept_delay: Duration) -> Result<(), Failure> {
        let backend = self.next_backend;
        self.next_backend += 1;
        let address = self.backends.start(backend, accept_delay).await?;
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Initial backends count as warm. Delayed ones do so too: limiters then send them their full share at once, and
        // connections to them hang until the delay is over.
        let is_warm = self.limiters.is_empty() || !accept_delay.is_zero();
        let started_ms = if is_warm { 0 } else { started_at.as_millis() as u64 };
        let running = RunningBackend { number: backend, address, started_ms };
        running.announce(&self.discovery, State::Ready);
        self.in_service.push(running);
        Ok(())
    }

    async fn start_limiter(&mut self, number: usize) -> Result<(), Failure> {
        let agent = self.discovery.start_agent(number).await?;
        let config = self.deployment.config(number, agent, &self.discovery.servers());
        let file = self._directory.path().join(format!("n{number}.json"));
        std::fs::write(&file, config.to_string()).map_err(io("configuration file"))?;
        let limiter = Limiter::start(format!("n{number}"), &self.options.daemon, &file).await?;
        self.limiters.push(limiter);
        Ok(())
    }

    /// Opens the connections of idle clients, on which no request is sent.
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
        let (phase, phase_receiver) = watch::channel(Phase::Load);
        let clients = (0..self.deployment.clients).map(|number| {
            let limiter = number % self.limiters.len();
            let client = Client {
                limiter,
                address: self.limiters[limiter].address,
                deployment: self.deployment.clone(),
                records: self.records.clone(),
                rng: StdRng::seed_from_u64(self.rng.random()),
                phase: phase_receiver.clone(),
            };
            tokio::spawn(client.run())
        });
        let mut tasks: Vec<JoinHandle<()>> = clients.collect();
        let addresses: Vec<SocketAddr> = self.limiters.iter().map(|limiter| limiter.address).collect();
        tasks.extend(start_crowd(&self.deployment, &addresses, &self.records, &mut self.rng, &phase));
        let processes: Vec<Pid> = self.limiters.iter().filter_map(Limiter::pid).collect();
        if self.deployment.has_stalls && !processes.is_empty() {
            let rng = StdRng::seed_from_u64(self.rng.random());
            tasks.push(tokio::spawn(stall_processes(processes, rng, phase.subscribe())));
        }
        Clients { phase, tasks }
    }

    /// Injects faults until the end of the load: replaces backends, resets watches, and silences discovery.
    async fn play_faults(&mut self) -> Result<(), Failure> {
        let ends_at = Instant::now() + self.options.load;
        while Instant::now() < ends_at {
            self.pause(FAULT_PAUSE_MS).await;
            match self.rng.random_range(0..4) {
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

    /// Starts a new backend and drains an older one.
    async fn replace_backend(&mut self) -> Result<(), Failure> {
        let accept_delay_ms = if self.rng.random_bool(ACCEPT_DELAY_PROBABILITY) {
            self.rng.random_range(ACCEPT_DELAY_MS)
        } else {
            0
        };
        self.add_backend(Duration::from_millis(accept_delay_ms)).await?;
        let leaving = self.rng.random_range(0..self.in_service.len() - 1);
        let leaving = self.in_service.remove(leaving);
        leaving.announce(&self.discovery, State::Terminating);
        let discovery = self.discovery.clone();
        tokio::spawn(async move {
            sleep(DRAIN_DURATION).await;
            leaving.announce(&discovery, State::Gone);
        });
        Ok(())
    }

    /// Checks that each limiter closes the descriptors that the load opened, and that its memory stayed within the
    /// limit. Called without load.
    async fn check_resources(&mut self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let has_extra_descriptors = |limiter: &Limiter| limiter.descriptors() > limiter.descriptors_at_start;
        while self.limiters.iter().any(has_extra_descriptors) && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        for limiter in &self.limiters {
            let name = &limiter.name;
            if has_extra_descriptors(limiter) {
                let (now, before) = (limiter.descriptors(), limiter.descriptors_at_start);
                let detail = format!("{name} has {now} open descriptors, {before} after its start");
                self.findings.push(Finding::new(Rule::Descriptors, detail));
            }
            let peak_kb = limiter.peak_memory_kb();
            if peak_kb > MEMORY_LIMIT_KB {
                self.findings.push(Finding::new(Rule::Memory, format!("{name} used {peak_kb} KB")));
            }
        }
    }

    /// Sends a random series of signals to all limiters, and kills them at the earliest time that the platform's rules
    /// permit.
    async fn stop_limiters(&mut self, clients: &Clients) -> StopTimes {
        self.check_alive();
        let mut signaled_at = None;
        let mut signals = self.draw_signals();
        while let Some(signal) = signals.pop() {
            self.signal_all(signal);
            if matches!(signal, Signal::TERM | Signal::INT) {
                signaled_at.get_or_insert(self.records.now());
            }
            if !signals.is_empty() {
                self.pause(0..MAX_SIGNAL_PAUSE_MS).await;
            }
        }
        let signaled_at = signaled_at.expect("the series has a signal to stop");
        self.sleep_until(signaled_at + NEW_CONNECTIONS_AFTER_STOP).await;
        clients.phase.send_replace(Phase::NoNewConnections);
        let deadline = self.deployment.longest_deadline().min(MAX_COUNTED_DEADLINE);
        self.sleep_until(signaled_at + deadline + KILL_MARGIN).await;
        let killed_at = self.records.now();
        self.limiters.iter_mut().for_each(Limiter::kill);
        self.check_logs();
        StopTimes { signaled_at, killed_at }
    }

    /// Sleeps until a time on the records' clock.
    async fn sleep_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.records.now())).await;
    }

    /// Draws a series of signals with at least one that stops a limiter. The last element is sent first.
    fn draw_signals(&mut self) -> Vec<Signal> {
        let all = [Signal::TERM, Signal::INT, Signal::HUP];
        let count = self.rng.random_range(1..=MAX_SIGNALS);
        let mut signals: Vec<Signal> = (0..count).map(|_| all[self.rng.random_range(0..all.len())]).collect();
        if signals.iter().all(|signal| *signal == Signal::HUP) {
            signals.insert(0, Signal::TERM);
        }
        signals
    }

    fn signal_all(&self, signal: Signal) {
        self.limiters.iter().for_each(|limiter| limiter.signal(signal));
    }

    /// Reports limiters that exited before any signal.
    fn check_alive(&mut self) {
        let exits = self.limiters.iter_mut().filter_map(Limiter::unexpected_exit);
        self.findings.extend(exits.map(|detail| Finding::new(Rule::Crash, detail)));
    }

    /// Reports panics in the limiters' logs.
    fn check_logs(&mut self) {
        let panics = self.limiters.iter().filter_map(Limiter::panic_line);
        self.findings.extend(panics.map(|line| Finding::new(Rule::Crash, line)));
    }
}

/// The running clients.
struct Clients {
    phase: watch::Sender<Phase>,
    tasks: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Lets all clients finish the request in progress, and waits for them.
    async fn finish(&mut self) {
        self.phase.send_replace(Phase::Finish);
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
    }
}
