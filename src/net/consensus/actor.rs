//! The actor that runs the replica. It receives datagrams, operators' calls and outcome counts, and sends datagrams
//! to peers and reports to the control actor.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgestack::Micros;
use sedgestack_canary::OUTCOME_SUMS_MAGIC;
use sedgestack_consensus::{
    DatagramError, Digest, PreviousDocument, Replica, ReplicaEvent, ReplicaId, Settings, SettingsError, Slot,
    Value, VersionLease,
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
use crate::info;
use crate::net::canary::{CanaryMonitor, CanaryStep, Rollback, SecondOutcomes};
use crate::net::config::settings::TierSettings;
use crate::net::control::message::{ActiveVersions, ControlCommand, ScheduledConfigVersion};
use crate::net::peers::OutgoingDatagram;
use crate::net::runtime::clock::Clock;
use crate::net::runtime::metrics::COUNTERS;

/// Interval at which the replica's timers are checked, in addition to each datagram and call.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why the consensus on versions can't start.
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

/// The parts from which [`ConsensusActor`] is created.
pub struct ConsensusActorParts {
    pub clock: Clock,
    pub settings: TierSettings,
    /// How many limiters the tier has.
    pub replicas: u32,
    /// The number of this limiter.
    pub own: u32,
    pub configured: ConfiguredRules,
    pub store: StateStore,
    /// The state that was stored before this start.
    pub stored: Option<StoredState>,
    pub seed: u64,
    pub peers: mpsc::Sender<OutgoingDatagram>,
    pub control: mpsc::Sender<ControlCommand>,
}

/// The latest report to the control actor.
struct Report {
    version: Slot,
    lease: VersionLease,
}

/// State of the actor. No other task writes it.
pub struct ConsensusActor {
    pub(super) replica: Replica,
    pub(super) replicas: ReplicaId,
    pub(super) own: ReplicaId,
    pub(super) settings: TierSettings,
    pub(super) configured: ConfiguredRules,
    /// Documents that were checked and may be committed, by digest.
    pub(super) staged: BTreeMap<Digest, Document>,
    pub(super) history: History,
    /// The active document.
    pub(super) served_document: Document,
    /// The version that was served last. Only a change that is based on it can be analyzed.
    served_version: Slot,
    pub(super) proposal: Option<Proposal>,
    pub(super) store: StateStore,
    pub(super) intake: DatagramIntake,
    pub(super) canary: Option<CanaryMonitor>,
    last_report: Option<Report>,
    clock: Clock,
    peers: mpsc::Sender<OutgoingDatagram>,
    control: mpsc::Sender<ControlCommand>,
}

impl ConsensusActor {
    /// Creates the actor, with the active document from the stored state, or from the configuration if none is
    /// stored.
    ///
    /// # Errors
    /// Returns an error if the settings contradict each other.
    pub fn new(parts: ConsensusActorParts) -> Result<ConsensusActor, ConsensusStartError> {
        let (own, replicas) = (parts.own as ReplicaId, parts.replicas as ReplicaId);
        let settings = parts.settings;
        let snapshot = parts.stored.as_ref().and_then(StoredState::snapshot);
        let replica_settings = replica_settings(&settings, own, replicas);
        let mut replica = Replica::new(replica_settings, parts.seed, snapshot, replicas == 1)?;
        let history = parts.stored.map_or_else(History::default, |state| {
            restore_previous(&mut replica, state.previous, state.is_previous_missed);
            state.history
        });
        let canary = settings.canary.clone().map(|canary| CanaryMonitor::new(canary, own, replicas));
        let mut actor = ConsensusActor {
            served_version: replica.active_version().0,
            replica,
            replicas,
            own,
            served_document: parts.configured.document().clone(),
            configured: parts.configured,
            staged: BTreeMap::new(),
            history,
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
            actor.served_document = document;
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
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(bytes) = datagrams.recv() => self.on_datagram(&bytes),
                Some((call, reply)) = calls.recv() => {
                    let result = self.on_operator_call(call);
                    self.advance();
                    let _ = reply.send(result);
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

    /// Returns the time of day that the replica uses, which includes the clock offset.
    pub(super) fn now(&self) -> Micros {
        self.clock.now().saturating_add_signed(self.settings.clock_offset)
    }

    /// Converts a time of the replicas to the control actor's time.
    fn to_control_time(&self, at: Micros) -> Micros {
        at.saturating_add_signed(-self.settings.clock_offset)
    }

    fn on_datagram(&mut self, bytes: &[u8]) {
        let now = self.now();
        if !self.intake.accept(now) {
            COUNTERS.tier_over.increment();
            return;
        }
        if bytes.first() == Some(&OUTCOME_SUMS_MAGIC) {
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

    /// Records the outcomes that this limiter counted in one second of its own clock.
    fn on_second_outcomes(&mut self, mut outcomes: SecondOutcomes) {
        let offset_s = (self.settings.clock_offset as f64 / 1e6).round() as i64;
        outcomes.second = outcomes.second.saturating_add_signed(offset_s);
        if let Some(canary) = &mut self.canary {
            canary.record_second(outcomes);
        }
    }

    /// Advances the replica to the current time, stores what must survive a restart, and then sends its datagrams.
    fn advance(&mut self) {
        let now = self.now();
        let datagrams = self.replica.tick(now);
        for event in self.replica.take_events() {
            self.store.mark_changed();
            self.on_replica_event(event);
        }
        // Datagrams may contain votes. They are sent only if the state that they depend on has been stored.
        if !self.store.save(&self.replica, &self.history) {
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
            ReplicaEvent::DocumentReceived { digest } => info!("tier: received document {digest}"),
            ReplicaEvent::PreviousDocumentLearned { slot, digest } => {
                let digest = digest.map_or("none".into(), |digest| digest.to_string());
                info!("tier: learned the document before version {slot}, whose predecessors were missed: {digest}");
            }
            ReplicaEvent::Decided { slot, value } => self.on_decided(slot, value),
            ReplicaEvent::Activated { slot, digest } => self.on_activated(slot, digest),
            ReplicaEvent::ProposalLost { slot } => info!("tier: version {slot}, proposed here, was not made"),
            ReplicaEvent::ProposalUnanswered { slot, replicas } => {
                info!("tier: gave up version {slot}: replicas {replicas:?} did not answer");
                if let Some(proposal) = self.proposal.as_mut().filter(|p| p.version == slot) {
                    proposal.unanswered = replicas;
                }
            }
            ReplicaEvent::StatusChanged(status) => info!("tier: replica status {status:?}"),
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
        info!("tier: version {slot} is decided: {value:?}");
        if self.has_missed_versions_before(slot) {
            self.replica.recover_previous_document(slot);
        }
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
        info!("tier: version {slot} is active");
        let mut replaced = None;
        if digest.is_some_and(|digest| digest != self.served_document.digest()) {
            if let Some(document) = self.active_document() {
                replaced = self.serve(slot, document);
            }
        }
        self.update_previous_document(slot, replaced);
        self.served_version = slot;
    }

    /// Whether this limiter did not serve the version before `slot`.
    fn has_missed_versions_before(&self, slot: Slot) -> bool {
        slot != self.served_version + 1
    }

    /// Updates what an undo of version `slot` returns to. `replaced` is the document that was served until now, if its
    /// values differ. It is the one before version `slot` only if no version was missed.
    fn update_previous_document(&mut self, slot: Slot, replaced: Option<Document>) {
        if self.has_missed_versions_before(slot) {
            self.replica.recover_previous_document(slot);
        } else if let Some(document) = replaced {
            self.replica.replace_previous_document(slot, document.text.into_bytes());
        } else {
            self.replica.keep_previous_document(slot);
        }
    }

    /// Serves under another document from now on. Returns the former document if its values differ: a hold or a pin has
    /// the same values, so it is not a change that an undo could revert.
    fn serve(&mut self, slot: Slot, document: Document) -> Option<Document> {
        let has_same_values = self.served_document.has_same_values(&document);
        self.analyze_change(slot, &document, has_same_values);
        let previous = std::mem::replace(&mut self.served_document, document);
        (!has_same_values).then_some(previous)
    }

    /// Reports a newly active document to the canary analysis, and starts its analysis if the document asks for that.
    fn analyze_change(&mut self, slot: Slot, document: &Document, has_same_values: bool) {
        let Some(canary) = &mut self.canary else { return };
        let digest = document.digest();
        canary.on_version_active(digest, has_same_values);
        // If the document is not based on the version served here until now, it is an undo, or this limiter missed
        // versions. Then there is nothing to compare it with.
        let (decided, value) = self.replica.decided();
        let follows_served = document.provenance.parent == self.served_version && decided == slot;
        let Some(activated_at) = value.activates_at() else { return };
        if follows_served && document.provenance.has_canary_analysis {
            let names = changed_plans(&self.served_document, document);
            let touched = self.configured.plans_where(|name| names.contains(name));
            canary.begin(slot, digest, activated_at, touched);
        }
    }

    /// Sends the datagrams of the canary analysis, and proposes to roll the change back if service fell.
    fn step_canary(&mut self) {
        let now = self.now();
        let Some(canary) = &mut self.canary else { return };
        let CanaryStep { datagrams, rollback } = canary.step(now);
        for (to, bytes) in datagrams {
            self.send(to, bytes);
        }
        // Roll back only while the document that failed is the active one, so that nothing is undone twice. If
        // another limiter proposes the rollback too, both propose the same next version, and one of them is made.
        let is_active = |rollback: &Rollback| rollback.digest == self.served_document.digest();
        let Some(Rollback { drop, .. }) = rollback.filter(is_active) else { return };
        let PreviousDocument::Digest(previous) = self.replica.previous_document() else { return };
        if self.propose_undo(previous).is_ok() {
            COUNTERS.undone.increment();
            info!("tier: service fell by {drop:.3} compared with the other plans; rolling the change back automatically");
            self.advance();
        }
    }

    /// Returns the active document, if any was ever decided.
    fn active_document(&self) -> Option<Document> {
        let (_, bytes) = self.replica.active_version();
        parse_version(bytes?)
    }

    /// Reports to the control actor when the versions have changed, or when the lease has been extended by at least
    /// half a heartbeat interval.
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
            current: self.configured.version_of(version, &self.served_document),
            scheduled,
            valid_until: if is_known { self.to_control_time(lease.valid_until) } else { 0 },
        };
        if self.control.send(ControlCommand::VersionsChanged(Box::new(versions))).await.is_ok() {
            self.last_report = Some(Report { version, lease });
        }
    }

    /// Whether the control actor already knows these versions, with a lease that is shorter by less than half a
    /// heartbeat interval.
    fn is_reported(&self, version: Slot, lease: &VersionLease) -> bool {
        let half_heartbeat = self.settings.heartbeat_interval / 2;
        self.last_report.as_ref().is_some_and(|last| {
            let extension = lease.valid_until.checked_sub(last.lease.valid_until);
            (last.version, last.lease.scheduled) == (version, lease.scheduled)
                && extension.is_some_and(|extension| extension < half_heartbeat)
        })
    }
}

/// Restores what an undo returns to, from the state that was stored before this start.
fn restore_previous(replica: &mut Replica, text: Option<String>, is_missed: bool) {
    let (active, _) = replica.active_version();
    match text {
        _ if is_missed => replica.recover_previous_document(active),
        Some(text) => replica.replace_previous_document(active, text.into_bytes()),
        None => replica.keep_previous_document(active),
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
