//! The replica as a proposer: changes that are proposed here, and open votes that it takes over from others.

use std::collections::BTreeSet;

use crate::documents::MAX_DOCUMENT_BYTES;
use crate::error::ProposeError;
use crate::event::ReplicaEvent;
use crate::lease::ReplicaStatus;
use crate::message::{AcceptRequest, Body};
use crate::paxos::{AcceptedValue, Ballot, Phase, Proposer, Value};
use crate::replica::Replica;
use crate::{Digest, Micros, ReplicaId, Slot};

/// Replicas take over an open vote in turns, one a round; beyond so many they share a turn.
const TAKEOVER_TURNS: u64 = 8;
/// Where answers are lost a proposer asks up to so many times as many replicas in a round.
const MAX_REQUEST_FACTOR: u64 = 4;

/// A change that was proposed at this replica and is not decided yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LocalProposal {
    slot: Slot,
    digest: Digest,
}

impl LocalProposal {
    /// Whether a decided value is the one that was proposed.
    fn is_made_by(&self, slot: Slot, value: Value) -> bool {
        slot == self.slot && value.active_document() == Some(self.digest) && value.activates_at().is_some()
    }
}

/// A slot whose vote has begun somewhere and is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenVote {
    slot: Slot,
    /// When this replica learned of it, or saw somebody work on it.
    since: Micros,
}

/// What this replica proposes, and the vote that it would take over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposals {
    /// The ballot that this replica works on.
    proposer: Option<Proposer>,
    /// The replica that the proposer asks next.
    next_asked: ReplicaId,
    /// The highest round of a ballot that was seen: a new ballot takes the one above.
    highest_round: u32,
    local: Option<LocalProposal>,
    open_vote: Option<OpenVote>,
}

impl Proposals {
    /// Nothing is proposed yet; rounds up to `highest_round` were used before a restart.
    pub(crate) fn new(highest_round: u32) -> Proposals {
        Proposals { proposer: None, next_asked: 0, highest_round, local: None, open_vote: None }
    }

    /// The highest round of a ballot that was seen, to be kept across a restart.
    pub(crate) fn highest_round(&self) -> u32 {
        self.highest_round
    }

    /// Takes note of a round that a ballot has.
    pub(crate) fn observe_round(&mut self, round: u32) {
        self.highest_round = self.highest_round.max(round);
    }

    /// The document of the change that was proposed here.
    pub(crate) fn local_document(&self) -> Option<Digest> {
        self.local.map(|local| local.digest)
    }

    /// Somebody works on the open vote: a replica that took it over at once would only compete.
    pub(crate) fn postpone_takeover(&mut self, now: Micros) {
        if let Some(vote) = &mut self.open_vote {
            vote.since = now;
        }
    }

    /// A slot was decided: its vote is closed. Gives the slot of a change that was proposed here and lost.
    pub(crate) fn on_decided(&mut self, slot: Slot, value: Value) -> Option<Slot> {
        self.proposer = None;
        self.open_vote = None;
        let local = self.local.take_if(|local| local.slot <= slot)?;
        (!local.is_made_by(slot, value)).then_some(local.slot)
    }

    /// Takes note of whether the vote on a slot is open.
    fn track_open_vote(&mut self, slot: Slot, is_open: bool, now: Micros) {
        if !is_open {
            self.open_vote = None;
        } else if self.open_vote.is_none_or(|vote| vote.slot != slot) {
            self.open_vote = Some(OpenVote { slot, since: now });
        }
    }

    /// Whether a change that was proposed here is not decided and nobody here works on it: another ballot passed it.
    fn has_stalled(&self, decided: Slot) -> bool {
        self.proposer.is_none() && self.local.is_some_and(|local| local.slot > decided)
    }

    /// Starts a ballot above all that were seen.
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

    /// The proposer, if it works on this ballot.
    fn proposer_of(&mut self, ballot: Ballot) -> Option<&mut Proposer> {
        self.proposer.as_mut().filter(|proposer| proposer.ballot == ballot)
    }

    /// What the proposer asks of other replicas in its phase.
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

    /// Up to `count` replicas beside `own` whose answer the proposer waits for, each in its turn.
    fn take_next_asked(&mut self, own: ReplicaId, replicas: ReplicaId, count: u64) -> Vec<ReplicaId> {
        let Some(proposer) = &self.proposer else { return Vec::new() };
        let mut asked = Vec::new();
        for step in 0..replicas {
            let replica = (self.next_asked + step) % replicas;
            if replica == own || !proposer.awaits(replica) {
                continue;
            }
            asked.push(replica);
            if asked.len() as u64 >= count {
                self.next_asked = (replica + 1) % replicas;
                break;
            }
        }
        asked
    }
}

impl Replica {
    /// Proposes a change of version `parent`; the version that it will be, if it is made.
    ///
    /// # Errors
    /// Where it can't be proposed here and now.
    pub fn propose(&mut self, now: Micros, document: Vec<u8>, parent: Slot) -> Result<Slot, ProposeError> {
        self.propose_requiring(now, document, parent, BTreeSet::new())
    }

    /// As [`Replica::propose`]; where a replica of `required` does not answer within the activation delay, the change
    /// is not made, and [`ReplicaEvent::ProposalUnanswered`] names it.
    ///
    /// # Errors
    /// Where it can't be proposed here and now.
    pub fn propose_requiring(
        &mut self,
        now: Micros,
        document: Vec<u8>,
        parent: Slot,
        required: BTreeSet<ReplicaId>,
    ) -> Result<Slot, ProposeError> {
        self.advance_clock(now);
        self.check_proposal(&document, parent, &required)?;
        let slot = self.learner.open_slot();
        let digest = self.documents.insert(document);
        self.proposals.local = Some(LocalProposal { slot, digest });
        let change = Value::Change { digest, at: self.now + self.settings.activation_delay };
        self.start_ballot(change, required);
        Ok(slot)
    }

    /// Checks whether a change can be proposed here and now.
    fn check_proposal(
        &self,
        document: &[u8],
        parent: Slot,
        required: &BTreeSet<ReplicaId>,
    ) -> Result<(), ProposeError> {
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(ProposeError::DocumentTooLong(document.len()));
        }
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
        // Without a vote of its own the replica would start no ballot, and the operator would never be answered.
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

    /// Starts a ballot that changes nothing, unless a replica has accepted a change.
    fn start_void_ballot(&mut self) {
        self.start_ballot(self.learner.void_value(), BTreeSet::new());
    }

    /// Takes note of whether the vote on the open slot has begun. A change that was proposed here and passed by a
    /// proposer that has died since counts too, though nobody has accepted anything: its operator waits for an answer.
    pub(crate) fn track_open_vote(&mut self) {
        let decided = self.learner.decided();
        let is_open = self.proposals.has_stalled(decided) || self.highest_accepted_anywhere() > decided;
        self.proposals.track_open_vote(self.learner.open_slot(), is_open, self.now);
    }

    /// The proposer's part in a round. A ballot goes on until a higher one is promised, which a rejection says:
    /// started anew it would ask all replicas twice. Only one whose activation has come too near ends: what was not
    /// decided by now is not made. A vote that nobody finishes is taken over.
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

    /// Replaces a ballot that can't be finished in time; `missing` are required replicas that have not promised.
    fn give_up_ballot(&mut self, missing: Vec<ReplicaId>) {
        if !missing.is_empty() {
            let slot = self.learner.open_slot();
            self.events.push(ReplicaEvent::ProposalUnanswered { slot, replicas: missing });
        }
        self.start_void_ballot();
    }

    /// Takes over a vote that was open for longer than a ballot takes, once it is this replica's turn.
    fn take_over_if_due(&mut self, timeout: Micros) {
        let Some(vote) = self.proposals.open_vote else { return };
        let turn = (u64::from(self.settings.replica) + self.rounds) % TAKEOVER_TURNS;
        let is_due = self.now - vote.since >= timeout + turn * self.settings.heartbeat_interval;
        if is_due && self.votes.may_vote(self.learner.open_slot()) {
            self.start_void_ballot();
        }
    }

    /// Sends again what the proposer waits for, after this replica's own vote.
    fn drive_ballot(&mut self) {
        let slot = self.learner.open_slot();
        if !self.votes.may_vote(slot) {
            self.proposals.proposer = None;
            return;
        }
        self.promise_own_ballot(slot);
        self.accept_own_value(slot);
        // None where the own vote was the last that was missing, or was refused.
        let Some(request) = self.proposals.request(slot) else { return };
        let count = self.requests_this_round();
        let (own, replicas) = (self.settings.replica, self.settings.replicas);
        for to in self.proposals.take_next_asked(own, replicas, count) {
            self.send(to, request.clone());
        }
    }

    /// This replica's own promise to its ballot; without it the ballot ends, as a higher one was promised.
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

    /// This replica's own acceptance of the value that its ballot has settled on.
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

    /// Replicas to ask in this round: as many as may answer in one; more, by the share of answers that are missing,
    /// where some were lost.
    fn requests_this_round(&self) -> u64 {
        let per_round = self.settings.requests_per_round();
        let Some(proposer) = &self.proposals.proposer else { return per_round };
        let rounds = (self.now - proposer.started_at) / self.settings.heartbeat_interval;
        // The answers of the last round are on their way still.
        let expected = (rounds * per_round).saturating_sub(per_round).max(1);
        let received = proposer.answers(self.settings.quorum()).max(1) as u64;
        (per_round * expected / received).clamp(per_round, MAX_REQUEST_FACTOR * per_round)
    }

    /// A replica promised a ballot, and says what it had accepted.
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

    /// A replica accepted the value of a ballot.
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

    /// A replica has promised a higher ballot.
    pub(crate) fn handle_rejected(&mut self, slot: Slot, promised: Ballot) {
        self.proposals.observe_round(promised.round);
        if slot == self.learner.open_slot() {
            self.proposals.proposer.take_if(|proposer| proposer.ballot < promised);
        }
    }
}
