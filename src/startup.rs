//! Startup of the limiter's daemon: creates the actors and connects them.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use sedgestack::{Limiter, SettingsError};
use sedgestack_capture::Header;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Mutex, Semaphore};
use tokio::task::JoinError;
use tokio::time::Instant;

use crate::info;
use crate::net::admin::stats::AdminStats;
use crate::net::admin::{self, Admin};
use crate::net::canary::{OutcomeRecorder, SecondOutcomes};
use crate::net::capture::CaptureRecorder;
use crate::net::config::addresses::Addresses;
use crate::net::config::settings::{Settings, TierSettings};
use crate::net::config::{self, Config};
use crate::net::consensus::{
    self, ConfiguredRules, ConsensusActor, ConsensusActorParts, ConsensusStartError, OperatorRequest,
};
use crate::net::control::actor::{ControlActor, ControlActorParts, VersionSettings};
use crate::net::control::cordons;
use crate::net::control::message::{ControlCommand, Message};
use crate::net::discovery;
use crate::net::discovery::endpoints::EndpointsUpdate;
use crate::net::listener::{self, Listener, ListenerParts};
use crate::net::peers::{OutgoingDatagram, Peers};
use crate::net::quota_counter::{CounterCall, QuotaCounter};
use crate::net::runtime::clock::Clock;
use crate::net::runtime::handover;
use crate::net::runtime::memory_budget::MemoryBudget;
use crate::net::runtime::memory_plan::MemoryPlan;
use crate::net::runtime::shutdown::{Phase, ShutdownDeadline, Signals};
use crate::net::upstream::{PassOnMargin, UpstreamShared};

/// Capacity of the mailbox of the control actor.
const MESSAGE_MAILBOX: usize = 4096;
/// Capacity of the mailboxes for endpoint changes, quota counter calls, peer datagrams and outcome counts.
const SMALL_MAILBOX: usize = 256;
/// Capacity of the mailboxes for operators' calls.
const CONTROL_MAILBOX: usize = 16;

/// How long before the time at which the decisions give a request up an answer under way is passed on: a few turns of the
/// control actor.
const PASS_ON_MARGIN: Duration = Duration::from_millis(30);

/// Reason why the limiter could not start, or why it stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The Tokio runtime could not be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The decision logic rejected the settings.
    #[error("configuration: {0}")]
    Configuration(#[from] SettingsError),
    /// The address for operators' calls could not be bound.
    #[error(transparent)]
    AdminListen(#[from] admin::BindError),
    /// The address for datagrams between limiters could not be bound.
    #[error("peer_listen: {address}: {source}")]
    PeerListen { address: SocketAddr, source: io::Error },
    /// The endpoints from the configuration did not fit into the mailbox for endpoint changes.
    #[error("the mailbox for endpoint changes is full")]
    EndpointMailbox,
    /// The consensus on versions of the runtime configuration could not start.
    #[error(transparent)]
    Consensus(#[from] ConsensusStartError),
    /// The listener for clients failed.
    #[error("listen: {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The control actor ended before the process had to exit.
    #[error("the control actor ended: {0:?}")]
    ControlActor(Result<(), JoinError>),
    /// The thread that writes the capture panicked.
    #[error("the capture thread ended with a panic")]
    CaptureThread,
}

/// Starts all actors and serves until the process must exit.
///
/// # Errors
/// Returns an error that names the component that could not start or that ended early.
pub async fn run(
    config: Config,
    tier: Option<TierSettings>,
    capture: Option<CaptureRecorder>,
) -> Result<(), RunError> {
    wait_for_predecessor(&config, tier.as_ref()).await;
    let signals = Signals::install().map_err(RunError::Signals)?;
    let clock = Clock::start();
    let limiter = Limiter::new(config.settings.clone(), config.seed)?;
    let (messages, mailbox) = mpsc::channel(MESSAGE_MAILBOX);
    let admin_listener = bind_admin(&config).await?;
    let stats = Arc::new(AdminStats::new(config.settings.classes.iter().map(|class| class.name.as_str())));
    let MemoryPlan { connections, customers, budget: memory } = MemoryPlan::of_config(&config);
    let limiter = limiter.with_max_customers(customers);
    let upstream = Arc::new(upstream_shared(&config, &messages, &stats, &memory, connections.upstream));
    let (address_updates, addresses) = watch::channel(config.addresses);
    let counter = start_quota_counter(&config, &addresses, &messages);
    let tier = tier.map(|settings| with_configured_rules(settings, &config)).transpose()?;
    let (replica_datagrams, replica_mailbox) = mpsc::channel(SMALL_MAILBOX);
    let replica_datagrams = tier.is_some().then_some(replica_datagrams);
    let peers = start_peers(&config, &messages, replica_datagrams).await?;
    let (outcomes, second_outcomes) = outcome_recorder(&config, tier.as_ref());
    let endpoint_changes = start_discovery(&config, addresses)?;
    let ready = Arc::new(AtomicBool::new(false));
    let parts = ControlActorParts {
        clock,
        upstream,
        max_open_requests: config.limits.max_open,
        max_attempts: config.settings.max_attempts,
        counter,
        counter_timeout: config::to_duration(config.settings.counter_timeout.unwrap_or(0)),
        peers: peers.clone(),
        capture,
        ready: ready.clone(),
        stats: stats.clone(),
        cordoned: config
            .cordon_file
            .as_deref()
            .map(cordons::read)
            .unwrap_or_default()
            .into_iter()
            .map(Into::into)
            .collect(),
        versions: tier.as_ref().map(Tier::version_settings),
        outcomes,
    };
    let (control, controls) = mpsc::channel(CONTROL_MAILBOX);
    let operator_calls = match tier {
        Some(tier) => {
            let inputs = ReplicaInputs { datagrams: replica_mailbox, outcomes: second_outcomes };
            Some(start_consensus(&config, tier, clock, peers, &control, inputs).await?)
        }
        None => None,
    };
    let control_actor =
        tokio::spawn(ControlActor::new(limiter, parts).run(endpoint_changes, controls, mailbox));

    let (phase, stopping) = watch::channel(Phase::Serving);
    if let Some(listener) = admin_listener {
        let (stats, memory) = (stats.clone(), memory.clone());
        start_admin(listener, &config, stats, memory, phase.clone(), control, operator_calls);
    }
    let longest_deadline = config::to_duration(config.limits.longest_deadline);
    let shutdown_deadline = ShutdownDeadline::default();
    let listener = Listener::new(
        &config.settings,
        ListenerParts {
            names: config.names,
            max_timeout: longest_deadline,
            is_ready: ready,
            phase: stopping,
            shutdown_deadline: shutdown_deadline.clone(),
            control: messages,
            stats,
            memory,
        },
    );
    let address = config.listen;
    tokio::select! {
        served = listener::serve(address, connections.downstream, listener) => {
            served.map_err(|source| RunError::Listen { address, source })
        }
        () = signals.handle(phase, address_updates, longest_deadline, shutdown_deadline) => Ok(()),
        ended = control_actor => Err(RunError::ControlActor(ended)),
    }
}

/// Settings of a limiter that belongs to a tier.
struct Tier {
    settings: TierSettings,
    /// The configuration file's values for what documents may change.
    configured: ConfiguredRules,
}

impl Tier {
    fn version_settings(&self) -> VersionSettings {
        VersionSettings {
            policy: self.settings.unknown_version_policy,
            wait: self.settings.unknown_version_wait,
        }
    }
}

/// What the consensus actor receives besides operators' calls.
struct ReplicaInputs {
    datagrams: mpsc::Receiver<Vec<u8>>,
    outcomes: mpsc::Receiver<SecondOutcomes>,
}

/// Waits until the process that this one replaces has released its addresses, if a handover wait is configured.
async fn wait_for_predecessor(config: &Config, tier: Option<&TierSettings>) {
    if let Some(tier) = tier.filter(|tier| tier.handover_wait > 0) {
        let deadline = Instant::now() + config::to_duration(tier.handover_wait);
        handover::wait_for_predecessor(config.admin_listen, config.peer_listen, deadline).await;
    }
}

async fn bind_admin(config: &Config) -> Result<Option<TcpListener>, RunError> {
    let Some(address) = config.admin_listen else { return Ok(None) };
    Ok(Some(admin::bind(address).await?))
}

fn upstream_shared(
    config: &Config,
    messages: &mpsc::Sender<Message>,
    stats: &Arc<AdminStats>,
    memory: &MemoryBudget,
    max_connections: usize,
) -> UpstreamShared {
    UpstreamShared {
        names: config.names.clone(),
        connect_timeout: config::to_duration(config.limits.connect_timeout),
        keepalive: config::to_duration(config.limits.keepalive),
        sockets: Arc::new(Semaphore::new(max_connections)),
        control: messages.clone(),
        stats: stats.clone(),
        memory: memory.clone(),
        pass_on_margin: PassOnMargin {
            before_deadline: config::to_duration(sedgestack::ANSWER_TICKS * config.settings.tick),
            before_giving_up: PASS_ON_MARGIN,
        },
    }
}

/// Starts the actor that calls the quota counter, if the platform has one.
fn start_quota_counter(
    config: &Config,
    addresses: &watch::Receiver<Addresses>,
    messages: &mpsc::Sender<Message>,
) -> Option<mpsc::Sender<CounterCall>> {
    config.settings.counter_timeout?;
    let connect_timeout = config::to_duration(config.limits.connect_timeout);
    let (calls, mailbox) = mpsc::channel(SMALL_MAILBOX);
    let actor = QuotaCounter::new(addresses.clone(), connect_timeout, mailbox, messages.clone());
    tokio::spawn(actor.run());
    Some(calls)
}

fn with_configured_rules(settings: TierSettings, config: &Config) -> Result<Tier, ConsensusStartError> {
    let configured = ConfiguredRules::from_config(config).map_err(ConsensusStartError::ConfiguredRules)?;
    Ok(Tier { settings, configured })
}

/// Starts the actor that exchanges datagrams with the other limiters, if there are any and the platform allows it.
async fn start_peers(
    config: &Config,
    messages: &mpsc::Sender<Message>,
    replica_datagrams: Option<mpsc::Sender<Vec<u8>>>,
) -> Result<Option<mpsc::Sender<OutgoingDatagram>>, RunError> {
    let (Some(address), true) = (config.peer_listen, config.settings.peer_messages) else {
        return Ok(None);
    };
    // With consensus, only one process may hold the address: two processes with the same limiter number would be one
    // replica that votes twice.
    let is_shared = replica_datagrams.is_none();
    let (peers, own) = (config.peers.clone(), config.settings.limiter);
    let actor = Peers::bind(address, peers, config.peer_broadcast, own, is_shared)
        .await
        .map_err(|source| RunError::PeerListen { address, source })?;
    let (datagrams, mailbox) = mpsc::channel(SMALL_MAILBOX);
    tokio::spawn(actor.run(mailbox, messages.clone(), replica_datagrams));
    Ok(Some(datagrams))
}

/// Returns the recorder of outcomes (`None` without canary analysis) and the receiver of the counts that it reports.
fn outcome_recorder(
    config: &Config,
    tier: Option<&Tier>,
) -> (Option<OutcomeRecorder>, mpsc::Receiver<SecondOutcomes>) {
    let (outcomes, second_outcomes) = mpsc::channel(SMALL_MAILBOX);
    let is_watched = tier.is_some_and(|tier| tier.settings.canary.is_some());
    let recorder = is_watched.then(|| OutcomeRecorder::new(config.settings.plans.len(), outcomes));
    (recorder, second_outcomes)
}

/// Starts the discovery watch. The first change that it reports has the endpoints from the configuration.
fn start_discovery(
    config: &Config,
    addresses: watch::Receiver<Addresses>,
) -> Result<mpsc::Receiver<EndpointsUpdate>, RunError> {
    let (sender, changes) = mpsc::channel(SMALL_MAILBOX);
    sender
        .try_send(EndpointsUpdate::Configured(config.initial_endpoints.clone()))
        .map_err(|_| RunError::EndpointMailbox)?;
    tokio::spawn(discovery::run(discovery::connector(), addresses, config.initial_endpoints.version, sender));
    Ok(changes)
}

/// Starts the consensus on versions of the runtime configuration.
async fn start_consensus(
    config: &Config,
    tier: Tier,
    clock: Clock,
    peers: Option<mpsc::Sender<OutgoingDatagram>>,
    control: &mpsc::Sender<ControlCommand>,
    inputs: ReplicaInputs,
) -> Result<mpsc::Sender<OperatorRequest>, ConsensusStartError> {
    let peers = peers.ok_or(ConsensusStartError::NoPeers)?;
    let (store, stored) = consensus::open(tier.settings.store.as_deref(), &config.name).await?;
    let actor = ConsensusActor::new(ConsensusActorParts {
        clock,
        settings: tier.settings,
        replicas: config.settings.limiters,
        own: config.settings.limiter,
        configured: tier.configured,
        store,
        stored,
        seed: config.seed,
        peers,
        control: control.clone(),
    })?;
    let (calls, operator_calls) = mpsc::channel(CONTROL_MAILBOX);
    tokio::spawn(actor.run(inputs.datagrams, operator_calls, inputs.outcomes));
    Ok(calls)
}

/// Starts the server for operators' calls, and watches the cordon file, which other processes may change.
fn start_admin(
    listener: TcpListener,
    config: &Config,
    admin_stats: Arc<AdminStats>,
    memory: MemoryBudget,
    phase: watch::Sender<Phase>,
    control: mpsc::Sender<ControlCommand>,
    operator_calls: Option<mpsc::Sender<OperatorRequest>>,
) {
    let (cordon_file, cordon_lock) = (config.cordon_file.clone(), Arc::<Mutex<()>>::default());
    if let Some(file) = cordon_file.clone() {
        tokio::spawn(cordons::watch_file(file, cordon_lock.clone(), control.clone()));
    }
    let admin = Admin {
        stats: admin_stats,
        memory,
        phase,
        control,
        cordon_file,
        cordon_lock,
        consensus: operator_calls,
    };
    tokio::spawn(admin::serve(listener, admin));
}

/// A running capture.
pub struct Capture {
    /// The control actor's handle to the capture.
    pub recorder: CaptureRecorder,
    /// The thread that writes the file.
    pub thread: JoinHandle<()>,
}

/// Starts the capture, if the settings configure one. If it can't start, this is logged and the limiter serves without
/// a capture.
pub fn start_capture(settings: &Settings, config: &Config) -> Option<Capture> {
    let capture = settings.capture.as_ref()?;
    let started = Clock::start().now();
    let header = Header {
        limiter: config.name.clone(),
        number: config.settings.limiter,
        limiters: config.settings.limiters,
        started,
        key_id: capture.hash.id(),
        classes: config.settings.classes.iter().map(|class| class.name.clone()).collect(),
        plans: config.settings.plans.iter().map(|plan| plan.name.clone()).collect(),
        merged_from: Vec::new(),
    };
    let path = capture.path(&config.name, started / 1_000_000);
    match CaptureRecorder::start(capture, &path, &header) {
        Ok((recorder, thread)) => {
            info!("capture: to {}", path.display());
            Some(Capture { recorder, thread })
        }
        Err(e) => {
            info!("capture: {}: {e}; nothing is captured", path.display());
            None
        }
    }
}
