//! The replica as a proposer: its own proposals, and open votes that it takes over from other replicas.

use std::collections::BTreeSet;

use crate::documents::MAX_DOCUMENT_BYTES;
use crate::error::ProposeError;
use crate::event::ReplicaEvent;
use crate::lease::ReplicaStatus;
use crate::message::{AcceptRequest, Body};
use crate::paxos::{AcceptedValue, Ballot, Phase, Proposer, Value};
use crate::replica::Replica;
use crate::{Digest, Micros, ReplicaId, Slot};

/// Number of turns, one per round, in which replicas may take over an open vote. Larger groups share turns.
const TAKEOVER_TURNS: u64 = 8;
/// Maximum factor by which a proposer increases the number of replicas that it asks per round when answers are lost.
const MAX_REQUESTS_MULTIPLE: u64 = 4;

/// A change proposed at this replica whose slot is not decided yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LocalProposal {
    slot: Slot,
    digest: Digest,
}

impl LocalProposal {
    /// Whether a decided value is the proposed change.
    fn is_decided_by(&self, slot: Slot, value: Value) -> bool {
        slot == self.slot && value.active_document() == Some(self.digest) && value.activates_at().is_some()
    }
}

/// A slot whose vote has begun at any replica and is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenVote {
    slot: Slot,
    /// When this replica learned of the vote, or last saw a proposer work on it.
    last_progress: Micros,
}

/// This replica's ballot and proposal, and the open vote that it may take over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposals {
    /// The proposer of this replica's current ballot.
    proposer: Option<Proposer>,
    /// The replica that the proposer asks next.
    next_recipient: ReplicaId,
    /// The highest round of any ballot seen. A new ballot uses the next higher one.
    highest_round: u32,
    local: Option<LocalProposal>,
    open_vote: Option<OpenVote>,
}

impl Proposals {
    /// Returns a state without proposals; ballots up to `highest_round` were seen before a restart.
    pub(crate) fn new(highest_round: u32) -> Proposals {
        Proposals { proposer: None, next_recipient: 0, highest_round, local: None, open_vote: None }
    }

    /// Returns the highest round of any ballot seen, for the snapshot.
    pub(crate) fn highest_round(&self) -> u32 {
        self.highest_round
    }

    /// Records the round of a ballot seen.
    pub(crate) fn observe_round(&mut self, round: u32) {
        self.highest_round = self.highest_round.max(round);
    }

    /// Returns the document of the change proposed at this replica.
    pub(crate) fn local_document(&self) -> Option<Digest> {
        self.local.map(|local| local.digest)
    }

    /// Restarts the wait before a takeover of the open vote. Called when another proposer works on the vote, as a
    /// takeover would only compete with it.
    pub(crate) fn postpone_takeover(&mut self, now: Micros) {
        if let Some(vote) = &mut self.open_vote {
            vote.last_progress = now;
        }
    }

    /// Closes the vote on a decided slot. Returns the slot of a change proposed at this replica that was not decided.
    pub(crate) fn on_decided(&mut self, slot: Slot, value: Value) -> Option<Slot> {
        self.proposer = None;
        self.open_vote = None;
        let local = self.local.take_if(|local| local.slot <= slot)?;
        (!local.is_decided_by(slot, value)).then_some(local.slot)
    }

    /// Records whether the vote on a slot is open.
    fn track_open_vote(&mut self, slot: Slot, is_open: bool, now: Micros) {
        if !is_open {
            self.open_vote = None;
        } else if self.open_vote.is_none_or(|vote| vote.slot != slot) {
            self.open_vote = Some(OpenVote { slot, last_progress: now });
        }
    }

    /// Whether a change proposed at this replica is not decided and this replica no longer works on it, because
    /// another proposer's ballot was higher.
    fn has_stalled_proposal(&self, decided: Slot) -> bool {
        self.proposer.is_none() && self.local.is_some_and(|local| local.slot > decided)
    }

    /// Starts a ballot with a round above all that were seen.
    fn start_ballot(
        &mut self,
        replica: ReplicaId,
        proposal: Value,
        required: BTreeSet<ReplicaId>,
        now: Micros,
    ) {
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, replica };
        self.proposer = Some(Proposer::new(ballot, proposal, required, now));
    }

    /// Returns the proposer if it works on the given ballot.
    fn proposer_of(&mut self, ballot: Ballot) -> Option<&mut Proposer> {
        self.proposer.as_mut().filter(|proposer| proposer.ballot == ballot)
    }

    /// Returns the request that the proposer sends to other replicas in its current phase.
    fn request(&self, slot: Slot) -> Option<Body> {
        let proposer = self.proposer.as_ref()?;
        let ballot = proposer.ballot;
        Some(match proposer.phase {
            Phase::Preparing { .. } => {
                Body::Prepare { slot, ballot, document: proposer.proposal.active_document() }
            }
            Phase::Accepting { value, previously_accepted, .. } => {
                Body::Accept(AcceptRequest { slot, ballot, value, previously_accepted })
            }
        })
    }

    /// Returns up to `count` replicas other than `own` whose answers are missing, starting after those returned last.
    fn next_recipients(&mut self, own: ReplicaId, replicas: ReplicaId, count: u64) -> Vec<ReplicaId> {
        let Some(proposer) = &self.proposer else { return Vec::new() };
        let mut asked = Vec::new();
        for step in 0..replicas {
            let replica = (self.next_recipient + step) % replicas;
            if replica == own || !proposer.awaits(replica) {
                continue;
            }
            asked.push(replica);
            if asked.len() as u64 >= count {
                self.next_recipient = (replica + 1) % replicas;
                break;
            }
        }
        asked
    }
}

impl Replica {
    /// Proposes a change that is based on version `parent`. Returns the version that the change becomes if it is
    /// decided.
    ///
    /// # Errors
    /// If this replica cannot propose the change now.
    pub fn propose(&mut self, now: Micros, document: Vec<u8>, parent: Slot) -> Result<Slot, ProposeError> {
        self.propose_requiring(now, document, parent, BTreeSet::new())
    }

    /// Proposes a change like [`Replica::propose`], with the condition that all `required` replicas promise its ballot.
    /// If some do not answer in time, the change is abandoned and [`ReplicaEvent::ProposalUnanswered`] names them.
    ///
    /// # Errors
    /// If this replica cannot propose the change now.
    pub fn propose_requiring(
        &mut self,
        now: Micros,
        document: Vec<u8>,
        parent: Slot,
        required: BTreeSet<ReplicaId>,
    ) -> Result<Slot, ProposeError> {
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(ProposeError::DocumentTooLong(document.len()));
        }
        self.advance_clock(now);
        self.check_proposal(parent, &required)?;
        let digest = self.documents.insert(document);
        Ok(self.start_change(digest, required))
    }

    /// Proposes the change back to the document before the active version `parent`. The document may still be in
    /// transfer: peers that have it can vote for it.
    ///
    /// # Errors
    /// If this replica cannot propose the change now.
    pub fn propose_undo(&mut self, now: Micros, digest: Digest, parent: Slot) -> Result<Slot, ProposeError> {
        self.advance_clock(now);
        self.check_proposal(parent, &BTreeSet::new())?;
        Ok(self.start_change(digest, BTreeSet::new()))
    }

    /// Starts the vote on the change to a document. Returns the version that the change becomes if it is decided.
    fn start_change(&mut self, digest: Digest, required: BTreeSet<ReplicaId>) -> Slot {
        let slot = self.learner.open_slot();
        self.proposals.local = Some(LocalProposal { slot, digest });
        let change = Value::Change { digest, at: self.now + self.settings.activation_delay };
        self.start_ballot(change, required);
        slot
    }

    /// Checks whether this replica can propose a change now.
    fn check_proposal(&self, parent: Slot, required: &BTreeSet<ReplicaId>) -> Result<(), ProposeError> {
        if self.status != ReplicaStatus::Current {
            return Err(ProposeError::NotCurrent);
        }
        let current = self.learner.decided();
        if parent != current {
            return Err(ProposeError::StaleParent { parent, current });
        }
        let slot = self.learner.open_slot();
        let is_open = self.highest_accepted_anywhere() >= slot || self.proposals.proposer.is_some();
        if is_open || !self.learner.is_active() {
            return Err(ProposeError::InProgress(slot));
        }
        // A replica that may not vote starts no ballot, so the operator would never get an answer.
        if !self.votes.may_vote(slot) {
            return Err(ProposeError::VotesLost(slot));
        }
        match required.iter().find(|replica| **replica >= self.settings.replicas) {
            Some(unknown) => Err(ProposeError::UnknownReplica(*unknown)),
            None => Ok(()),
        }
    }

    fn start_ballot(&mut self, proposal: Value, required: BTreeSet<ReplicaId>) {
        self.proposals.start_ballot(self.settings.replica, proposal, required, self.now);
        self.drive_ballot();
    }

    /// Starts a ballot for a void value. It decides a change nevertheless if a replica has accepted one.
    fn start_void_ballot(&mut self) {
        self.start_ballot(self.learner.void_value(), BTreeSet::new());
    }

    /// Records whether the vote on the open slot has begun.
    ///
    /// The vote also counts as open if a change proposed at this replica was superseded by a higher ballot, even if no
    /// replica has accepted anything: the other proposer may have died, and the operator waits for an answer.
    pub(crate) fn track_open_vote(&mut self) {
        let decided = self.learner.decided();
        let is_open =
            self.proposals.has_stalled_proposal(decided) || self.highest_accepted_anywhere() > decided;
        self.proposals.track_open_vote(self.learner.open_slot(), is_open, self.now);
    }

    /// Continues this replica's ballot, or takes over an abandoned vote; called once per round.
    ///
    /// A ballot continues until a rejection shows that a higher one was promised, as a new ballot would have to ask all
    /// replicas again. A ballot that times out is abandoned only if the activation of its change is too close, because
    /// a new change is not accepted then.
    pub(crate) fn advance_ballot(&mut self) {
        let timeout = self.settings.ballot_timeout();
        match &self.proposals.proposer {
            Some(proposer) => {
                let is_late = proposer.proposal.activates_within(self.settings.lease_margin(), self.now);
                if is_late && self.now - proposer.started_at >= timeout {
                    self.give_up_ballot(proposer.missing_promises());
                } else {
                    self.drive_ballot();
                }
            }
            None => self.take_over_if_due(timeout),
        }
    }

    /// Replaces a ballot that cannot finish in time; `missing` are the required replicas that have not promised.
    fn give_up_ballot(&mut self, missing: Vec<ReplicaId>) {
        if !missing.is_empty() {
            let slot = self.learner.open_slot();
            self.events.push(ReplicaEvent::ProposalUnanswered { slot, replicas: missing });
        }
        self.start_void_ballot();
    }

    /// Takes over an open vote without progress for longer than `timeout`, when it is this replica's turn.
    fn take_over_if_due(&mut self, timeout: Micros) {
        let Some(vote) = self.proposals.open_vote else { return };
        let turn = (u64::from(self.settings.replica) + self.rounds) % TAKEOVER_TURNS;
        let is_due = self.now - vote.last_progress >= timeout + turn * self.settings.heartbeat_interval;
        if is_due && self.votes.may_vote(self.learner.open_slot()) {
            self.start_void_ballot();
        }
    }

    /// Casts this replica's own vote in its ballot, then sends the ballot's requests for this round.
    fn drive_ballot(&mut self) {
        let slot = self.learner.open_slot();
        if !self.votes.may_vote(slot) {
            self.proposals.proposer = None;
            return;
        }
        self.promise_own_ballot(slot);
        self.accept_own_value(slot);
        // There is no request if this replica's own vote completed the ballot or was rejected.
        let Some(request) = self.proposals.request(slot) else { return };
        let count = self.requests_this_round();
        let (own, replicas) = (self.settings.replica, self.settings.replicas);
        for to in self.proposals.next_recipients(own, replicas, count) {
            self.send(to, request.clone());
        }
    }

    /// Promises this replica's own ballot. If it has promised a higher one, its ballot ends.
    fn promise_own_ballot(&mut self, slot: Slot) {
        let own = self.settings.replica;
        let Some(proposer) = &mut self.proposals.proposer else { return };
        if !proposer.is_preparing() || !proposer.awaits(own) {
            return;
        }
        let acceptor = self.votes.acceptor_mut(slot);
        if acceptor.prepare(proposer.ballot) {
            proposer.record_promise(own, acceptor.accepted, self.settings.quorum());
        } else {
            self.proposals.proposer = None;
        }
    }

    /// Asks this replica's own acceptor to accept the value of its ballot, in the second phase.
    fn accept_own_value(&mut self, slot: Slot) {
        let own = self.settings.replica;
        let is_awaited = self.proposals.proposer.as_ref().is_some_and(|proposer| proposer.awaits(own));
        if !is_awaited {
            return;
        }
        if let Some(Body::Accept(request)) = self.proposals.request(slot) {
            self.handle_accept(own, request);
        }
    }

    /// Returns how many replicas to ask in this round: as many as may answer in a round, or proportionally more if
    /// fewer answers than expected have arrived.
    fn requests_this_round(&self) -> u64 {
        let per_round = self.settings.requests_per_round();
        let Some(proposer) = &self.proposals.proposer else { return per_round };
        let rounds = (self.now - proposer.started_at) / self.settings.heartbeat_interval;
        // The answers to the requests of the last round are still on their way.
        let expected = (rounds * per_round).saturating_sub(per_round).max(1);
        let received = proposer.answers(self.settings.quorum()).max(1) as u64;
        (per_round * expected / received).clamp(per_round, MAX_REQUESTS_MULTIPLE * per_round)
    }

    /// Handles a promise, which reports the value that its sender has accepted.
    pub(crate) fn handle_promise(
        &mut self,
        from: ReplicaId,
        slot: Slot,
        ballot: Ballot,
        accepted: Option<AcceptedValue>,
    ) {
        if slot != self.learner.open_slot() {
            return;
        }
        let quorum = self.settings.quorum();
        let Some(proposer) = self.proposals.proposer_of(ballot).filter(|proposer| proposer.is_preparing())
        else {
            return;
        };
        proposer.record_promise(from, accepted, quorum);
        if !proposer.is_preparing() {
            self.drive_ballot();
        }
    }

    /// Handles a replica's acceptance of the value of a ballot.
    pub(crate) fn handle_accepted(&mut self, from: ReplicaId, slot: Slot, ballot: Ballot) {
        if slot != self.learner.open_slot() {
            return;
        }
        let quorum = self.settings.quorum();
        let Some(proposer) = self.proposals.proposer_of(ballot) else { return };
        if let Some(value) = proposer.record_acceptance(from, quorum) {
            self.learn(slot, value, false);
        }
    }

    /// Handles a rejection, whose sender has promised a higher ballot.
    pub(crate) fn handle_rejected(&mut self, slot: Slot, promised: Ballot) {
        self.proposals.observe_round(promised.round);
        if slot == self.learner.open_slot() {
            self.proposals.proposer.take_if(|proposer| proposer.ballot < promised);
        }
    }
}
