//! Events that a replica reports to its caller.

use crate::paxos::Value;
use crate::{Digest, ReplicaId, ReplicaStatus, Slot};

/// An event in a replica, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaEvent {
    /// The last missing chunk of a document was received.
    DocumentReceived {
        /// The document's digest.
        digest: Digest,
    },
    /// A version was decided.
    Decided {
        /// The decided version.
        slot: Slot,
        /// Its value.
        value: Value,
    },
    /// A version became active on this replica.
    Activated {
        /// The active version.
        slot: Slot,
        /// The active document; `None` before the first change.
        digest: Option<Digest>,
    },
    /// A peer told this replica, which had missed versions, what an undo of the active version returns to.
    PreviousDocumentLearned {
        /// The version.
        slot: Slot,
        /// The document that an undo returns to, if there is one.
        digest: Option<Digest>,
    },
    /// A change proposed by this replica was not decided; another change was, or none.
    ProposalLost {
        /// The version that the change was proposed for.
        slot: Slot,
    },
    /// A change proposed by this replica was abandoned because required replicas did not answer in time.
    ProposalUnanswered {
        /// The version that the change was proposed for.
        slot: Slot,
        /// Required replicas that have not promised.
        replicas: Vec<ReplicaId>,
    },
    /// The replica's status changed.
    StatusChanged(ReplicaStatus),
}
