//! The replica: dispatches received datagrams, runs the periodic work, and collects outgoing datagrams and events.

use std::collections::BTreeSet;

use crate::document_transfer::DocumentTransfer;
use crate::documents::Documents;
use crate::error::{DatagramError, SettingsError};
use crate::event::ReplicaEvent;
use crate::learner::Learner;
use crate::lease::ReplicaStatus;
use crate::message::{Body, Message};
use crate::paxos::Value;
use crate::peers::Peers;
use crate::previous_document::PreviousOfVersion;
use crate::proposals::Proposals;
use crate::random::Random;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::voting::Votes;
use crate::{Digest, Micros, ReplicaId, Slot};

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutgoingDatagram {
    /// The replica to send to.
    pub to: ReplicaId,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// A limiter as a member of the consensus group.
///
/// Each part of its state is a type of its own, in the module that also holds the replica's methods for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(crate) settings: Settings,
    /// The latest time passed to any call; it never decreases.
    pub(crate) now: Micros,
    next_round_at: Micros,
    /// Rounds since the start of the replica. A round is one heartbeat interval.
    pub(crate) rounds: u64,
    pub(crate) random: Random,
    pub(crate) documents: Documents,
    pub(crate) votes: Votes,
    pub(crate) proposals: Proposals,
    pub(crate) learner: Learner,
    pub(crate) peers: Peers,
    /// Peers whose latest datagram was sent in the future of this replica's clock.
    pub(crate) peers_ahead: BTreeSet<ReplicaId>,
    pub(crate) transfer: DocumentTransfer,
    pub(crate) previous: PreviousOfVersion,
    pub(crate) status: ReplicaStatus,
    outgoing: Vec<OutgoingDatagram>,
    pub(crate) events: Vec<ReplicaEvent>,
}

impl Replica {
    /// Creates a replica that has just started. Without a snapshot it has lost its votes, unless `first` states that
    /// the whole group starts for the first time.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(
        settings: Settings,
        seed: u64,
        snapshot: Option<Snapshot>,
        first: bool,
    ) -> Result<Replica, SettingsError> {
        settings.check()?;
        let mut replica = Replica {
            peers: Peers::new(settings.replicas),
            now: 0,
            next_round_at: 0,
            rounds: 0,
            random: Random::new(seed),
            documents: Documents::default(),
            votes: if first { Votes::none_cast() } else { Votes::lost() },
            proposals: Proposals::new(0),
            learner: Learner::new(),
            peers_ahead: BTreeSet::new(),
            transfer: DocumentTransfer::default(),
            previous: PreviousOfVersion::none(),
            status: ReplicaStatus::Detached,
            outgoing: Vec::new(),
            events: Vec::new(),
            settings,
        };
        if let Some(snapshot) = snapshot {
            replica.restore(snapshot);
        }
        Ok(replica)
    }

    /// Restores the state from before a restart.
    fn restore(&mut self, snapshot: Snapshot) {
        let Snapshot { acceptors, decided, value, active, active_document, documents, highest_round } =
            snapshot;
        for document in documents {
            self.documents.insert(document);
        }
        self.votes = Votes::restore(acceptors);
        self.learner = Learner::restore(decided, value, active, active_document);
        self.proposals = Proposals::new(highest_round);
    }

    /// Returns the state to be kept across a restart.
    pub fn snapshot(&self) -> Snapshot {
        let digests = self.documents_in_use();
        let documents = digests.iter().filter_map(|digest| self.documents.get(digest));
        Snapshot {
            acceptors: self.votes.acceptors().clone(),
            decided: self.learner.decided(),
            value: self.learner.value(),
            active: self.learner.active(),
            active_document: self.learner.active_document(),
            documents: documents.map(<[u8]>::to_vec).collect(),
            highest_round: self.proposals.highest_round(),
        }
    }

    /// Returns the active version and its document, which is `None` before the first change.
    pub fn active_version(&self) -> (Slot, Option<&[u8]>) {
        let document = self.learner.active_document().and_then(|digest| self.documents.get(&digest));
        (self.learner.active(), document)
    }

    /// Returns a document if this replica has all of it.
    pub fn document(&self, digest: &Digest) -> Option<&[u8]> {
        self.documents.get(digest)
    }

    /// Returns the latest version that this replica knows to be decided, and its value.
    pub fn decided(&self) -> (Slot, Value) {
        (self.learner.decided(), self.learner.value())
    }

    /// Returns whether this replica may rely on the version that it knows.
    pub fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// Returns the events since the last call of this method.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this replica has lost its votes and has not seen a majority since. [`Replica::adopt`] also ends this
    /// state.
    pub fn awaits_adoption(&self) -> bool {
        self.votes.are_lost()
    }

    /// Lets a replica that has lost its votes vote from the next version onward. An operator orders this to make the
    /// remaining replicas go on from the latest version that any of them knows.
    ///
    /// This is never needed if a majority of the replicas has kept its votes. If no majority has, later versions that
    /// were decided are lost.
    pub fn adopt(&mut self) {
        self.votes.allow_from(self.highest_accepted_anywhere() + 1);
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    /// If the datagram cannot be decoded, or its sender is not a peer in the group.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DatagramError> {
        self.advance_clock(now);
        let Message { from, sent, body } = Message::decode(bytes)?;
        if from >= self.settings.replicas || from == self.settings.replica {
            return Err(DatagramError::UnknownSender);
        }
        self.check_clock(from, sent);
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(from, sent, &heartbeat),
            Body::Prepare { slot, ballot, document } => self.handle_prepare(from, slot, ballot, document),
            Body::Promise { slot, ballot, accepted } => self.handle_promise(from, slot, ballot, accepted),
            Body::Accept(request) => self.handle_accept(from, request),
            Body::Accepted { slot, ballot } => self.handle_accepted(from, slot, ballot),
            Body::Rejected { slot, ballot } => self.handle_rejected(slot, ballot),
            Body::DocumentRequest { digest, first_chunk } => {
                self.handle_document_request(from, digest, first_chunk);
            }
            Body::DocumentChunk(chunk) => self.handle_document_chunk(chunk),
            Body::PreviousDocumentRequest { slot } => self.handle_previous_document_request(from, slot),
            Body::PreviousDocument { slot, digest } => self.handle_previous_document(from, slot, digest),
        }
        Ok(())
    }

    /// Advances the replica to `now` and returns the datagrams to send. Must be called at least once per round.
    pub fn tick(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        self.advance_clock(now);
        self.recover_votes();
        self.update_state();
        if self.now >= self.next_round_at {
            self.next_round_at = self.now + self.settings.heartbeat_interval;
            self.rounds += 1;
            self.run_round();
            self.update_state();
        }
        std::mem::take(&mut self.outgoing)
    }

    pub(crate) fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Updates the state that depends on the time and on received datagrams.
    fn update_state(&mut self) {
        self.activate_if_due();
        self.track_open_vote();
        self.update_status();
    }

    fn run_round(&mut self) {
        self.advance_ballot();
        self.request_missing_document();
        self.request_previous_document();
        self.send_heartbeats();
    }

    /// Queues a message; the current or next [`Replica::tick`] returns it.
    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message { from: self.settings.replica, sent: self.now, body };
        self.outgoing.push(OutgoingDatagram { to, bytes: message.encode() });
    }
}

#[cfg(test)]
mod tests;
