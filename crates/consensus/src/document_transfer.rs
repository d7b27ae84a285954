//! Transfer of documents between replicas: missing documents are requested from peers in chunks, and every available
//! chunk is sent on request, even if its document is incomplete.

use crate::documents::DocumentChunk;
use crate::event::ReplicaEvent;
use crate::message::{AcceptRequest, Body};
use crate::replica::Replica;
use crate::{Digest, Micros, ReplicaId};

/// Number of chunks sent in answer to one request.
const CHUNKS_PER_REQUEST: u8 = 4;
/// Minimum time between two requests for the same document, in percent of a round. It is less than a whole round
/// because the lengths of rounds vary.
const REQUEST_INTERVAL_PERCENT: u64 = 90;

/// A document that this replica needs before it can vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct NeededDocument {
    digest: Digest,
    /// When the document was last requested; 0 if it has not been.
    requested_at: Micros,
    /// The replica that asked for the vote; it has the complete document.
    source: ReplicaId,
}

/// A request to accept a value that waits for the value's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DeferredAccept {
    from: ReplicaId,
    request: AcceptRequest,
}

/// The latest document that a vote needs, and the latest accept request that waits for its document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DocumentTransfer {
    needed: Option<NeededDocument>,
    deferred: Option<DeferredAccept>,
}

impl DocumentTransfer {
    /// Keeps a request until its document is complete, in place of any earlier deferred request.
    pub(crate) fn defer_accept(&mut self, from: ReplicaId, request: AcceptRequest) {
        self.deferred = Some(DeferredAccept { from, request });
    }

    /// Records that a vote needs a document, and which replica has it.
    fn record_needed(&mut self, digest: Digest, source: ReplicaId) {
        let requested_at = self.needed_document(&digest).map_or(0, |needed| needed.requested_at);
        self.needed = Some(NeededDocument { digest, requested_at, source });
    }

    fn needed_document(&self, digest: &Digest) -> Option<&NeededDocument> {
        self.needed.as_ref().filter(|needed| needed.digest == *digest)
    }

    /// Whether a document may be requested now. For a document that a vote needs this limits requests to one per
    /// round, and `now` is recorded as the time of its latest request.
    fn start_request(&mut self, digest: &Digest, now: Micros, heartbeat_interval: Micros) -> bool {
        let Some(needed) = self.needed.as_mut().filter(|needed| needed.digest == *digest) else {
            return true;
        };
        if now < needed.requested_at + heartbeat_interval * REQUEST_INTERVAL_PERCENT / 100 {
            return false;
        }
        needed.requested_at = now;
        true
    }
}

impl Replica {
    /// Returns the documents that must be kept: those of accepted values, of the active and the decided version, and of
    /// a change proposed by this replica. They are sorted and unique.
    pub(crate) fn documents_in_use(&self) -> Vec<Digest> {
        let mut digests: Vec<Digest> = self.votes.documents().collect();
        digests.extend(self.learner.active_document());
        digests.extend(self.learner.value().active_document());
        digests.extend(self.proposals.local_document());
        digests.sort_unstable();
        digests.dedup();
        digests
    }

    /// Drops all documents except those in use and the one that an undo returns to, which the caller stores itself.
    pub(crate) fn drop_unused_documents(&mut self) {
        let mut digests = self.documents_in_use();
        digests.extend(self.previous.digest());
        self.documents.retain(&digests);
    }

    /// Returns the documents that are needed but missing. The decided version's document comes first, because the one
    /// that a vote needs may have been lost with its proposer. The one that an undo returns to comes last.
    fn missing_documents(&self) -> impl Iterator<Item = Digest> + '_ {
        let decided = self.learner.value().active_document();
        let needed = self.transfer.needed.map(|needed| needed.digest);
        decided
            .into_iter()
            .chain(needed)
            .chain(self.previous.digest())
            .filter(|digest| !self.documents.has(digest))
    }

    /// Records that a vote requested by `source` needs a document, and requests the document from there.
    ///
    /// If the source is this replica itself, it proposes a value that others have accepted before: some peer has the
    /// document, and the next round requests it from one.
    pub(crate) fn fetch_for_vote(&mut self, source: ReplicaId, digest: Digest) {
        self.transfer.record_needed(digest, source);
        if source != self.settings.replica {
            self.request_document(source, digest);
        }
    }

    /// Requests a document from a peer, starting at a randomly chosen missing chunk.
    pub(crate) fn request_document(&mut self, to: ReplicaId, digest: Digest) {
        if !self.transfer.start_request(&digest, self.now, self.settings.heartbeat_interval) {
            return;
        }
        let draw = self.random.next();
        let first_chunk = self.documents.missing_chunk(&digest, draw);
        self.send(to, Body::DocumentRequest { digest, first_chunk });
    }

    /// Requests a missing document; called once per round.
    ///
    /// As all replicas request the document from the same source, each does so only in its turn. The source thus
    /// receives no more requests than a proposer receives answers. In other rounds a random peer is asked, which may
    /// have the document or some of its chunks.
    pub(crate) fn request_missing_document(&mut self) {
        let Some(digest) = self.missing_documents().next() else { return };
        let own = self.settings.replica;
        let turns = u64::from(self.settings.replicas).div_ceil(self.settings.requests_per_round()).max(2);
        let is_turn = (u64::from(own) + self.rounds).is_multiple_of(turns);
        let source = self.transfer.needed_document(&digest).map(|needed| needed.source);
        let to = match source.filter(|source| is_turn && *source != own) {
            Some(source) => Some(source),
            None => self.random_peer(),
        };
        if let Some(to) = to {
            self.request_document(to, digest);
        }
    }

    /// Returns a random peer, or `None` in a group of one.
    pub(crate) fn random_peer(&mut self) -> Option<ReplicaId> {
        let peers = u64::from(self.settings.replicas - 1);
        if peers == 0 {
            return None;
        }
        let drawn = (self.random.next() % peers) as ReplicaId;
        let is_below_own = drawn < self.settings.replica;
        Some(if is_below_own { drawn } else { drawn + 1 })
    }

    /// Handles a peer's request for chunks of a document, starting at `first_chunk`.
    pub(crate) fn handle_document_request(&mut self, from: ReplicaId, digest: Digest, first_chunk: u8) {
        for index in first_chunk..first_chunk.saturating_add(CHUNKS_PER_REQUEST) {
            if let Some(chunk) = self.documents.chunk(&digest, index) {
                self.send(from, Body::DocumentChunk(chunk));
            }
        }
    }

    /// Handles a chunk of a document. When the document is complete, the deferred accept request is handled.
    pub(crate) fn handle_document_chunk(&mut self, chunk: DocumentChunk) {
        let digest = chunk.digest;
        let is_missing = self.missing_documents().any(|missing| missing == digest);
        if !is_missing || !self.documents.insert_chunk(chunk) {
            return;
        }
        self.events.push(ReplicaEvent::DocumentReceived { digest });
        if let Some(DeferredAccept { from, request }) = self.transfer.deferred.take() {
            self.handle_accept(from, request);
        }
    }
}
