//! The document that an undo returns to: the latest one before the active version that had other values.
//!
//! The caller compares documents and reports the result for each version that becomes active. A replica that missed
//! versions can't compare them; it asks peers, which have served them all, for the digest, and fetches the document.

use crate::event::ReplicaEvent;
use crate::message::Body;
use crate::replica::Replica;
use crate::{Digest, ReplicaId, Slot};

/// The document that an undo of the active version returns to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PreviousDocument {
    /// All versions so far had the same values.
    None,
    /// The document with this digest. It may still be in transfer.
    Digest(Digest),
    /// This replica missed versions, and no peer has answered yet.
    Missed,
}

/// The previous document of the version in `slot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreviousOfVersion {
    slot: Slot,
    document: PreviousDocument,
}

impl PreviousOfVersion {
    /// Returns the state of a replica that knows only version 0.
    pub(crate) fn none() -> PreviousOfVersion {
        PreviousOfVersion { slot: 0, document: PreviousDocument::None }
    }

    /// Returns the digest of the document, if it is known.
    pub(crate) fn digest(&self) -> Option<Digest> {
        match self.document {
            PreviousDocument::Digest(digest) => Some(digest),
            PreviousDocument::None | PreviousDocument::Missed => None,
        }
    }
}

impl Replica {
    /// Returns the document that an undo of the active version returns to.
    pub fn previous_document(&self) -> PreviousDocument {
        self.previous.document
    }

    /// Records that version `slot`, which follows the one that was active here, has other values than `document`, the
    /// document of that one. An undo of `slot` returns to it.
    pub fn replace_previous_document(&mut self, slot: Slot, document: Vec<u8>) {
        let digest = self.documents.insert(document);
        self.previous = PreviousOfVersion { slot, document: PreviousDocument::Digest(digest) };
    }

    /// Records that version `slot` has the same values as the one before it, so an undo of either returns to the same
    /// document.
    pub fn keep_previous_document(&mut self, slot: Slot) {
        self.previous.slot = slot;
        self.request_previous_document();
    }

    /// Records that this replica missed versions before version `slot`, and asks peers for the digest of the document
    /// that an undo of `slot` returns to.
    pub fn recover_previous_document(&mut self, slot: Slot) {
        if self.previous.slot == slot {
            return;
        }
        self.previous = PreviousOfVersion { slot, document: PreviousDocument::Missed };
        for _ in 0..self.settings.fanout {
            self.request_previous_document();
        }
    }

    /// Asks a random peer for the previous document if it is missed; called once per round.
    pub(crate) fn request_previous_document(&mut self) {
        if self.previous.document != PreviousDocument::Missed {
            return;
        }
        if let Some(to) = self.random_peer() {
            self.send(to, Body::PreviousDocumentRequest { slot: self.previous.slot });
        }
    }

    /// Answers a peer that missed versions, if this replica knows the previous document of the same version.
    pub(crate) fn handle_previous_document_request(&mut self, from: ReplicaId, slot: Slot) {
        let digest = match self.previous.document {
            PreviousDocument::None => None,
            PreviousDocument::Digest(digest) => Some(digest),
            PreviousDocument::Missed => return,
        };
        if self.previous.slot == slot {
            self.send(from, Body::PreviousDocument { slot, digest });
        }
    }

    /// Handles a peer's answer. The document itself is requested like any other that is missing.
    pub(crate) fn handle_previous_document(&mut self, from: ReplicaId, slot: Slot, digest: Option<Digest>) {
        if self.previous != (PreviousOfVersion { slot, document: PreviousDocument::Missed }) {
            return;
        }
        self.previous.document = digest.map_or(PreviousDocument::None, PreviousDocument::Digest);
        self.events.push(ReplicaEvent::PreviousDocumentLearned { slot, digest });
        if let Some(digest) = digest.filter(|digest| !self.documents.has(digest)) {
            self.request_document(from, digest);
        }
    }
}
