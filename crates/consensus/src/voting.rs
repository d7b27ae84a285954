//! The replica as an acceptor: its votes, the slots on which it may vote, and its answers to proposers.

use std::collections::BTreeMap;

use crate::message::{AcceptRequest, Body};
use crate::paxos::{Acceptor, Ballot};
use crate::replica::Replica;
use crate::{Digest, Micros, ReplicaId, Slot};

/// Distance between the highest slot accepted by any peer and the first slot on which a replica that has lost its
/// votes may vote. It may already have voted on lower slots.
const LOST_VOTES_GAP: Slot = 2;
/// Number of slots whose votes are kept, up to and including the latest decided one.
const RETAINED_SLOTS: Slot = 8;

/// The votes of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Votes {
    acceptors: BTreeMap<Slot, Acceptor>,
    /// The first slot on which the replica may vote; `None` while its votes are lost and it has not heard from a
    /// majority.
    first_slot: Option<Slot>,
    /// When the replica first accepted a value in the open slot.
    accepted_at: Option<Micros>,
}

impl Votes {
    /// Votes of a replica that has never cast any.
    pub(crate) fn none_cast() -> Votes {
        Votes::restore(BTreeMap::new())
    }

    /// Votes of a replica that restarted without a snapshot and does not know which votes it cast.
    pub(crate) fn lost() -> Votes {
        Votes { first_slot: None, ..Votes::none_cast() }
    }

    /// Restores the votes from before a restart.
    pub(crate) fn restore(acceptors: BTreeMap<Slot, Acceptor>) -> Votes {
        Votes { acceptors, first_slot: Some(0), accepted_at: None }
    }

    /// Returns the acceptors by slot, for the snapshot.
    pub(crate) fn acceptors(&self) -> &BTreeMap<Slot, Acceptor> {
        &self.acceptors
    }

    /// Whether the replica may vote on a slot.
    pub(crate) fn may_vote(&self, slot: Slot) -> bool {
        self.first_slot.is_some_and(|first| slot >= first)
    }

    /// Whether the votes are lost and the first slot on which the replica may vote again is still unknown.
    pub(crate) fn are_lost(&self) -> bool {
        self.first_slot.is_none()
    }

    /// Allows votes again, once a majority of peers is known to have accepted nothing above `highest_accepted`.
    fn recover(&mut self, highest_accepted: Slot) {
        self.first_slot = Some(highest_accepted + LOST_VOTES_GAP);
    }

    /// Allows votes from `slot` onward, unless an earlier first slot is already allowed.
    pub(crate) fn allow_from(&mut self, slot: Slot) {
        self.first_slot = Some(self.first_slot.map_or(slot, |first| first.min(slot)));
    }

    /// Returns the acceptor of a slot, which is created if missing.
    pub(crate) fn acceptor_mut(&mut self, slot: Slot) -> &mut Acceptor {
        self.acceptors.entry(slot).or_default()
    }

    /// Returns the highest slot in which a value was accepted, or 0 if there is none.
    pub(crate) fn highest_accepted(&self) -> Slot {
        let accepted = self.acceptors.iter().rev().find(|(_, acceptor)| acceptor.accepted.is_some());
        accepted.map_or(0, |(slot, _)| *slot)
    }

    /// Returns when a value was first accepted in the open slot.
    pub(crate) fn accepted_at(&self) -> Option<Micros> {
        self.accepted_at
    }

    /// Records that a value was accepted in the open slot.
    fn on_accepted(&mut self, now: Micros) {
        self.accepted_at.get_or_insert(now);
    }

    /// Handles the decision of a slot: opens the next slot and drops old votes.
    pub(crate) fn on_decided(&mut self, decided: Slot) {
        self.accepted_at = None;
        self.acceptors.retain(|slot, _| *slot + RETAINED_SLOTS > decided);
    }

    /// Returns the documents of all accepted values.
    pub(crate) fn documents(&self) -> impl Iterator<Item = Digest> + '_ {
        let accepted = self.acceptors.values().filter_map(|acceptor| acceptor.accepted);
        accepted.filter_map(|accepted| accepted.value.active_document())
    }
}

impl Replica {
    /// Returns the highest slot in which this replica has accepted a value or that it knows to be decided.
    pub(crate) fn highest_accepted(&self) -> Slot {
        self.votes.highest_accepted().max(self.learner.decided())
    }

    /// Returns the highest slot in which any replica, as far as this one knows, has accepted a value.
    pub(crate) fn highest_accepted_anywhere(&self) -> Slot {
        self.peers.highest_accepted().max(self.highest_accepted())
    }

    /// Lets a replica that has lost its votes vote again once it has seen a quorum of peers.
    pub(crate) fn recover_votes(&mut self) {
        if self.votes.are_lost() && self.peers.seen_count() >= self.settings.quorum() {
            self.votes.recover(self.peers.highest_accepted());
        }
    }

    /// Whether `slot` is the open slot and this replica may vote on it.
    fn can_vote_on(&self, slot: Slot) -> bool {
        slot == self.learner.open_slot() && self.votes.may_vote(slot)
    }

    /// Handles a request to promise a ballot, and starts to fetch the proposed document if it is missing.
    pub(crate) fn handle_prepare(
        &mut self,
        from: ReplicaId,
        slot: Slot,
        ballot: Ballot,
        document: Option<Digest>,
    ) {
        self.proposals.observe_round(ballot.round);
        if !self.can_vote_on(slot) {
            return;
        }
        if let Some(digest) = document.filter(|digest| !self.documents.has(digest)) {
            self.fetch_for_vote(from, digest);
        }
        let acceptor = self.votes.acceptor_mut(slot);
        if ballot > acceptor.promised {
            self.proposals.postpone_takeover(self.now);
        }
        let answer = if acceptor.prepare(ballot) {
            Body::Promise { slot, ballot, accepted: acceptor.accepted }
        } else {
            Body::Rejected { slot, ballot: acceptor.promised }
        };
        self.send(from, answer);
    }

    /// Handles a request to accept a value, which may come from this replica's own proposer.
    pub(crate) fn handle_accept(&mut self, from: ReplicaId, request: AcceptRequest) {
        let AcceptRequest { slot, ballot, value, previously_accepted } = request;
        self.proposals.observe_round(ballot.round);
        if !self.can_vote_on(slot) {
            return;
        }
        // A replica may only vote for a document that it could serve, so the vote waits for the document.
        if let Some(digest) = value.active_document().filter(|digest| !self.documents.has(digest)) {
            self.transfer.defer_accept(from, request);
            self.fetch_for_vote(from, digest);
            return;
        }
        // A new change is not accepted if its activation is too close. A change that a replica accepted in an earlier
        // ballot may have been decided and must be accepted nevertheless.
        let is_late = value.activates_within(self.settings.lease_margin(), self.now);
        if is_late && !previously_accepted {
            return;
        }
        let is_own = from == self.settings.replica;
        let acceptor = self.votes.acceptor_mut(slot);
        if !acceptor.accept(ballot, value) {
            let promised = acceptor.promised;
            if !is_own {
                self.send(from, Body::Rejected { slot, ballot: promised });
            }
            return;
        }
        self.votes.on_accepted(self.now);
        if is_own {
            self.handle_accepted(from, slot, ballot);
        } else {
            self.send(from, Body::Accepted { slot, ballot });
        }
    }
}
