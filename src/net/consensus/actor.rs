//! The actor round the replica: datagrams, operators' calls and outcome counts in; datagrams and reports to the
//! control actor out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sedgestack::Micros;
use sedgestack_canary::TALLIES_MAGIC;
use sedgestack_consensus::{
    DatagramError, Digest, Replica, ReplicaEvent, ReplicaId, Settings, SettingsError, Slot, Value,
    VersionLease,
};
use sedgestack_hcl::ConfigError;
use sedgestack_runtime_config::{changed_plans, Document};
use sedgestack_store::StoreError;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};

use super::configured_rules::ConfiguredRules;
use super::intake::DatagramIntake;
use super::operator_calls::{OperatorRequest, Proposal, ProposalOutcome};
use super::store::{History, HistoryEntry, StateStore, StoredState};
use crate::net::canary::{CanaryStep, CanaryWatch, Rollback, SecondOutcomes};
use crate::net::config::settings::TierSettings;
use crate::net::control::message::{ActiveVersions, Control, ScheduledConfigVersion};
use crate::net::peers::OutgoingDatagram;
use crate::net::runtime::clock::Clock;
use crate::net::runtime::metrics::COUNTERS;
use crate::say;

/// The replica's timers are checked this often, and whenever a datagram or a call comes.
const TICK_EVERY: Duration = Duration::from_millis(50);

/// Why the agreement on versions can't start.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusStartError {
    #[error("tier: {0}")]
    ConfiguredRules(#[source] ConfigError),
    #[error("tier: expected caps.peerMessages, peer_listen and peers in the configuration")]
    NoPeers,
    #[error("tier: store: {0}")]
    Store(#[from] StoreError),
    #[error("tier: {0}")]
    Settings(#[from] SettingsError),
}

/// What the actor is made of.
pub struct ConsensusActorParts {
    pub clock: Clock,
    pub settings: TierSettings,
    /// The limiters of the tier, and the number of this one.
    pub replicas: u32,
    pub own: u32,
    pub configured: ConfiguredRules,
    pub store: StateStore,
    /// The state as stored before this start.
    pub stored: Option<StoredState>,
    pub seed: u64,
    pub peers: mpsc::Sender<OutgoingDatagram>,
    pub control: mpsc::Sender<Control>,
}

/// What the control actor was told last.
struct Report {
    version: Slot,
    lease: VersionLease,
}

/// The actor's state. Nothing else writes it.
pub struct ConsensusActor {
    pub(super) replica: Replica,
    pub(super) replicas: ReplicaId,
    pub(super) own: ReplicaId,
    pub(super) settings: TierSettings,
    pub(super) configured: ConfiguredRules,
    /// Documents that were checked and may be committed.
    pub(super) staged: BTreeMap<Digest, Document>,
    pub(super) history: History,
    /// The document that is active, and the one that was before it and had other figures.
    pub(super) serving: Document,
    pub(super) previous: Option<Document>,
    /// The version that was served last: the one that the next one to be activated should be made of.
    served_version: Slot,
    pub(super) proposal: Option<Proposal>,
    pub(super) store: StateStore,
    pub(super) intake: DatagramIntake,
    pub(super) canary: Option<CanaryWatch>,
    last_report: Option<Report>,
    clock: Clock,
    peers: mpsc::Sender<OutgoingDatagram>,
    control: mpsc::Sender<Control>,
}

impl ConsensusActor {
    /// An actor that has just started.
    ///
    /// # Errors
    /// Where the settings contradict each other.
    pub fn new(parts: ConsensusActorParts) -> Result<ConsensusActor, ConsensusStartError> {
        let (own, replicas) = (parts.own as ReplicaId, parts.replicas as ReplicaId);
        let settings = parts.settings;
        let snapshot = parts.stored.as_ref().and_then(StoredState::snapshot);
        let replica_settings = replica_settings(&settings, own, replicas);
        let replica = Replica::new(replica_settings, parts.seed, snapshot, replicas == 1)?;
        let (history, previous) =
            parts.stored.map_or((History::default(), None), |state| (state.history, state.previous));
        let canary = settings.canary.clone().map(|canary| CanaryWatch::new(canary, own, replicas));
        let mut actor = ConsensusActor {
            served_version: replica.active_version().0,
            replica,
            replicas,
            own,
            serving: parts.configured.document().clone(),
            configured: parts.configured,
            staged: BTreeMap::new(),
            history,
            previous: previous.and_then(|text| Document::parse("store", &text).ok()),
            proposal: None,
            store: parts.store,
            intake: DatagramIntake::new(settings.max_datagrams_per_second),
            settings,
            canary,
            last_report: None,
            clock: parts.clock,
            peers: parts.peers,
            control: parts.control,
        };
        if let Some(document) = actor.active_document() {
            actor.serving = document;
        }
        Ok(actor)
    }

    /// Runs until the control actor has ended.
    pub async fn run(
        mut self,
        mut datagrams: mpsc::Receiver<Vec<u8>>,
        mut calls: mpsc::Receiver<OperatorRequest>,
        mut outcomes: mpsc::Receiver<SecondOutcomes>,
    ) {
        let mut ticks = interval(TICK_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(bytes) = datagrams.recv() => self.on_datagram(&bytes),
                Some((call, reply)) = calls.recv() => {
                    let answer = self.on_operator_call(call);
                    self.advance();
                    let _ = reply.send(answer);
                }
                Some(second) = outcomes.recv() => self.on_second_outcomes(second),
                _ = ticks.tick() => {}
                () = self.control.closed() => return,
            }
            self.advance();
            self.step_canary();
            self.report().await;
        }
    }

    /// The time of day as the replicas use it.
    pub(super) fn now(&self) -> Micros {
        self.clock.now().saturating_add_signed(self.settings.clock_offset)
    }

    /// The control actor's time for one of the replicas'.
    fn to_control_time(&self, at: Micros) -> Micros {
        at.saturating_add_signed(-self.settings.clock_offset)
    }

    fn on_datagram(&mut self, bytes: &[u8]) {
        let now = self.now();
        if !self.intake.accept(now) {
            COUNTERS.tier_over.increment();
            return;
        }
        if bytes.first() == Some(&TALLIES_MAGIC) {
            return self.on_outcome_counts(bytes);
        }
        COUNTERS.tier_taken_in.increment();
        match self.replica.receive(now, bytes) {
            Ok(()) => {}
            Err(DatagramError::UnknownFormat(_)) => COUNTERS.tier_unknown_format.increment(),
            Err(_) => COUNTERS.tier_unheard.increment(),
        }
    }

    fn on_outcome_counts(&mut self, bytes: &[u8]) {
        if !self.intake.accept_outcome_counts() {
            COUNTERS.tallies_over.increment();
            return;
        }
        COUNTERS.tallies_taken_in.increment();
        let received = self.canary.as_mut().map(|canary| canary.receive(bytes));
        if !matches!(received, Some(Ok(()))) {
            COUNTERS.tallies_unheard.increment();
        }
    }

    /// Takes in what this limiter counted in a second of its own clock.
    fn on_second_outcomes(&mut self, mut outcomes: SecondOutcomes) {
        let offset_s = (self.settings.clock_offset as f64 / 1e6).round() as i64;
        outcomes.second = outcomes.second.saturating_add_signed(offset_s);
        if let Some(canary) = &mut self.canary {
            canary.record_second(outcomes);
        }
    }

    /// Brings the replica up to now, stores what must survive a restart, and then sends.
    fn advance(&mut self) {
        let now = self.now();
        let datagrams = self.replica.tick(now);
        for event in self.replica.take_events() {
            self.store.mark_changed();
            self.on_replica_event(event);
        }
        // Guards votes: where the state can't be stored, nothing is sent that depends on it.
        let previous = self.previous.as_ref().map(|document| document.text.as_str());
        if !self.store.save(&self.replica, &self.history, previous) {
            return;
        }
        for datagram in datagrams {
            self.send(datagram.to, datagram.bytes);
        }
    }

    fn send(&self, to: ReplicaId, bytes: Vec<u8>) {
        COUNTERS.tier_sent.increment();
        let _ = self.peers.try_send(OutgoingDatagram::To(to.into(), bytes));
    }

    fn on_replica_event(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::DocumentReceived { digest } => say!("tier: document {digest} has come"),
            ReplicaEvent::Decided { slot, value } => self.on_decided(slot, value),
            ReplicaEvent::Activated { slot, digest } => self.on_activated(slot, digest),
            ReplicaEvent::ProposalLost { slot } => say!("tier: version {slot}, begun here, was not made"),
            ReplicaEvent::ProposalUnanswered { slot, replicas } => {
                say!("tier: version {slot} is given up, as {replicas:?} did not answer");
                if let Some(proposal) = self.proposal.as_mut().filter(|p| p.version == slot) {
                    proposal.unanswered = replicas;
                }
            }
            ReplicaEvent::StatusChanged(status) => say!("tier: stands {status:?}"),
        }
    }

    fn on_decided(&mut self, slot: Slot, value: Value) {
        let digest = value.active_document();
        let bytes = digest.and_then(|digest| self.replica.document(&digest));
        let text = bytes.map(String::from_utf8_lossy);
        let document = text.and_then(|text| Document::parse("a version", &text).ok());
        let (author, reason) = document
            .map(|document| (document.provenance.author, document.provenance.reason))
            .unwrap_or_default();
        say!("tier: version {slot} is decided: {value:?}");
        self.history.push(HistoryEntry {
            version: slot,
            digest: digest.map_or("configuration".into(), |digest| digest.to_string()),
            is_void: value.activates_at().is_none(),
            activates_at: value.activates_at().unwrap_or(0),
            author,
            reason,
        });
        if let Some(proposal) = self.proposal.as_mut().filter(|p| p.version == slot) {
            let is_made = value.activates_at().is_some() && digest == Some(proposal.digest);
            proposal.outcome = if is_made { ProposalOutcome::Made } else { ProposalOutcome::Void };
        }
    }

    fn on_activated(&mut self, slot: Slot, digest: Option<Digest>) {
        say!("tier: version {slot} is in force");
        if digest.is_some_and(|digest| digest != self.serving.digest()) {
            if let Some(document) = self.active_document() {
                self.serve(slot, document);
            }
        }
        self.served_version = slot;
    }

    /// Serves under another document from now on.
    fn serve(&mut self, slot: Slot, document: Document) {
        let has_same_values = self.serving.has_same_values(&document);
        self.watch_change(slot, &document, has_same_values);
        let previous = std::mem::replace(&mut self.serving, document);
        // A hold or a pin changes nothing that an undo could return from.
        if !has_same_values {
            self.previous = Some(previous);
        }
    }

    /// Tells the canary analysis of a document that becomes active, and begins to watch it where it asks for that.
    fn watch_change(&mut self, slot: Slot, document: &Document, has_same_values: bool) {
        let Some(canary) = &mut self.canary else { return };
        let digest = document.digest();
        canary.on_version_active(digest, has_same_values);
        // A change that was not made of the version served here until now is an undo, or versions between were
        // missed: there is nothing to compare it with.
        let (decided, value) = self.replica.decided();
        let follows_served = document.provenance.parent == self.served_version && decided == slot;
        let Some(activated_at) = value.activates_at() else { return };
        if follows_served && document.provenance.has_canary_analysis {
            let names = changed_plans(&self.serving, document);
            let touched = self.configured.plans_where(|name| names.contains(name));
            canary.begin(slot, digest, activated_at, touched);
        }
    }

    /// Sends what the canary analysis has to tell the other limiters, and rolls the watched change back where service
    /// fell under it.
    fn step_canary(&mut self) {
        let now = self.now();
        let Some(canary) = &mut self.canary else { return };
        let CanaryStep { datagrams, rollback } = canary.step(now);
        for (to, bytes) in datagrams {
            self.send(to, bytes);
        }
        // Guards against a second undo: only while the document that failed is the active one. Where another limiter
        // proposes it too, both are changes of one version, and one of them is made.
        let is_active = |rollback: &Rollback| rollback.digest == self.serving.digest();
        let Some(Rollback { drop, .. }) = rollback.filter(is_active) else { return };
        let Some(previous) = self.previous.clone() else { return };
        if self.propose(previous, BTreeSet::new()).is_ok() {
            COUNTERS.undone.increment();
            say!("tier: service fell by {drop:.3} beside the other plans: the change is undone by itself");
            self.advance();
        }
    }

    /// The active document, where one was ever decided.
    fn active_document(&self) -> Option<Document> {
        let (_, bytes) = self.replica.active_version();
        parse_version(bytes?)
    }

    /// Reports to the control actor whenever the versions have changed, and every half heartbeat that the lease holds
    /// for longer.
    async fn report(&mut self) {
        let (version, _) = self.replica.active_version();
        let lease = self.replica.version_lease();
        if self.is_reported(version, &lease) {
            return;
        }
        let scheduled = lease.scheduled.and_then(|(from, slot, digest)| {
            let document = parse_version(self.replica.document(&digest)?)?;
            let version = self.configured.version_of(slot, &document);
            Some(ScheduledConfigVersion { activates_at: self.to_control_time(from), version })
        });
        let is_known = lease.valid_until != 0;
        let versions = ActiveVersions {
            current: self.configured.version_of(version, &self.serving),
            scheduled,
            valid_until: if is_known { self.to_control_time(lease.valid_until) } else { 0 },
        };
        if self.control.send(Control::VersionsChanged(Box::new(versions))).await.is_ok() {
            self.last_report = Some(Report { version, lease });
        }
    }

    /// Whether the control actor knows this already, but for less than half a heartbeat of the lease.
    fn is_reported(&self, version: Slot, lease: &VersionLease) -> bool {
        let half_heartbeat = self.settings.heartbeat_interval / 2;
        self.last_report.as_ref().is_some_and(|last| {
            let longer = lease.valid_until.checked_sub(last.lease.valid_until);
            (last.version, last.lease.scheduled) == (version, lease.scheduled)
                && longer.is_some_and(|longer| longer < half_heartbeat)
        })
    }
}

fn replica_settings(settings: &TierSettings, own: ReplicaId, replicas: ReplicaId) -> Settings {
    Settings {
        replica: own,
        replicas,
        heartbeat_interval: settings.heartbeat_interval,
        fanout: settings.fanout,
        lease: settings.lease,
        max_clock_skew: settings.max_clock_skew,
        activation_delay: settings.activation_delay,
        max_datagrams_per_second: settings.max_datagrams_per_second,
    }
}

fn parse_version(bytes: &[u8]) -> Option<Document> {
    Document::parse("a version", std::str::from_utf8(bytes).ok()?).ok()
}
