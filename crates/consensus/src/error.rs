//! Why a call was not carried out.

use crate::documents::MAX_DOCUMENT_BYTES;
use crate::settings::MAX_REPLICAS;
use crate::{ReplicaId, Slot};

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The group is empty or too large, or this replica is not of it.
    #[error("members: expected 1 to {MAX_REPLICAS}, and the member's own number below it")]
    InvalidReplicas,
    /// The heartbeat interval is zero, or too long for the lease.
    #[error("round: expected a span over 0, and lease of four rounds at least")]
    InvalidHeartbeatInterval,
    /// A vote could not end before the activation of its change.
    #[error("lead: expected {least_ms} ms at least: lease, skew and the rounds that a vote of so many members takes")]
    ActivationDelayTooShort {
        /// The shortest activation delay that would do.
        least_ms: u64,
    },
    /// Heartbeats alone would take more than half of what a replica takes in.
    #[error("fanout: {per_second} beats a second would reach a member, of {max_datagrams_per_second} that it takes in; expected half of them at most")]
    TooManyHeartbeats {
        /// Heartbeats that would reach a replica in a second.
        per_second: u64,
        /// Datagrams that a replica takes in a second.
        max_datagrams_per_second: u32,
    },
}

/// Why a change is not proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica's status is another than current.
    #[error("this limiter is not in touch with a majority")]
    NotCurrent,
    /// A vote on that slot is open.
    #[error("version {0} is being decided: try again once it is")]
    InProgress(Slot),
    /// Another version was decided since the change was made.
    #[error("the change was made for version {parent}, and version {current} is in force by now")]
    StaleParent {
        /// The version that the change was made for.
        parent: Slot,
        /// The latest decided version.
        current: Slot,
    },
    /// The document is longer than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {0} bytes; at most {MAX_DOCUMENT_BYTES} fit")]
    DocumentTooLong(usize),
    /// A replica whose promise is required is not of the group.
    #[error("there is no member {0}")]
    UnknownReplica(ReplicaId),
    /// This replica restarted without its votes and may not vote on that slot yet.
    #[error("this limiter has forgotten its votes and can't begin version {0} yet: begin it at another one")]
    VotesLost(Slot),
}

/// Why a datagram was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// Its first byte is another protocol's.
    #[error("it is none of the agreement's")]
    NotConsensus,
    /// It was written by a release with another format.
    #[error("its format {0} is not known here")]
    UnknownFormat(u8),
    /// Its checksum or its contents are wrong: it was damaged on its way.
    #[error("it is damaged")]
    Corrupt,
    /// Its sender is not of the group, or is this replica itself.
    #[error("its sender is no member")]
    UnknownSender,
}
