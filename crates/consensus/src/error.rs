//! Errors of settings, proposals and received datagrams.

use crate::documents::MAX_DOCUMENT_BYTES;
use crate::settings::MAX_REPLICAS;
use crate::{ReplicaId, Slot};

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The group is empty or too large, or this replica's number is not in it.
    #[error("replicas: expected 1 to {MAX_REPLICAS}, and this replica's number below that count")]
    InvalidReplicas,
    /// The heartbeat interval is zero, or too long for the lease.
    #[error("round: expected a duration above 0, and a lease of at least four rounds")]
    InvalidHeartbeatInterval,
    /// A vote could not end before the activation of its change.
    #[error("lead: expected at least {least_ms} ms: lease, skew and the rounds that a vote among this many replicas takes")]
    ActivationDelayTooShort {
        /// The shortest valid activation delay, in milliseconds.
        least_ms: u64,
    },
    /// Heartbeats would take more than half of the datagrams that a replica may receive.
    #[error("fanout: each replica would receive {per_second} heartbeats per second; expected at most half of the intake of {max_datagrams_per_second} datagrams per second")]
    TooManyHeartbeats {
        /// Heartbeats that each replica would receive per second.
        per_second: u64,
        /// Maximum number of datagrams that a replica may receive per second.
        max_datagrams_per_second: u32,
    },
}

/// Reason why a change cannot be proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The status of this replica is not [`ReplicaStatus::Current`](crate::ReplicaStatus::Current).
    #[error("this limiter does not know the active version: it is detached or behind")]
    NotCurrent,
    /// A vote on this slot is in progress.
    #[error("version {0} is being decided: try again afterwards")]
    InProgress(Slot),
    /// The change is based on an earlier version than the latest decided one.
    #[error("the document is based on version {parent}, but version {current} is the latest")]
    StaleParent {
        /// The version that the change is based on.
        parent: Slot,
        /// The latest decided version.
        current: Slot,
    },
    /// The document is longer than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {0} bytes; at most {MAX_DOCUMENT_BYTES} are allowed")]
    DocumentTooLong(usize),
    /// A required replica is not in the group.
    #[error("there is no limiter {0}")]
    UnknownReplica(ReplicaId),
    /// This replica restarted without its votes and may not vote on this slot yet.
    #[error("this limiter lost its votes and cannot propose version {0} yet: propose it at another limiter")]
    VotesLost(Slot),
}

/// Reason why a received datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The first byte is not the magic byte of the expected protocol.
    #[error("the datagram belongs to another protocol")]
    OtherProtocol,
    /// The datagram was encoded by a release with another format.
    #[error("unknown datagram format {0}")]
    UnknownFormat(u8),
    /// The checksum or the contents are wrong: the datagram was corrupted on its way.
    #[error("the datagram is corrupt")]
    Corrupt,
    /// The sender is not in the group, or is the receiving replica itself.
    #[error("the sender is not a peer in this group")]
    UnknownSender,
}
