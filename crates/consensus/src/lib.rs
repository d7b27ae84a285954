//! Consensus among limiters on the versions of their runtime configuration.
//!
//! A [`Replica`] represents one limiter in the consensus group. The caller passes it the time, received datagrams and
//! operators' requests; the replica returns the datagrams to send and reports which version is active. It does no I/O
//! and reads no clock, and the same calls always give the same results. Its guarantees, and the reasons for them, are
//! described in `docs/design/0002-configuration-transactions.md`.
//!
//! Each version is one slot, and slots are decided in order, each by single-decree Paxos ([`Ballot`], [`Value`]).
//! The modules are:
//!
//! - `replica`: dispatches datagrams and the passage of time to the other modules;
//! - `paxos`: acceptor and proposer of a single slot;
//! - `voting`, `proposals`, `learner`: the replica in each Paxos role, across all slots;
//! - `heartbeat`, `peers`, `lease`: the state that replicas exchange every round, and how long it remains valid;
//! - `documents`, `document_transfer`: storage of configuration documents, and their transfer in chunks;
//! - `previous_document`: the document that an undo returns to, and its recovery after missed versions;
//! - `message`, `snapshot`: the wire format and the format on disk.
#![forbid(unsafe_code)]

mod document_transfer;
mod documents;
mod error;
mod event;
mod heartbeat;
mod learner;
mod lease;
mod message;
mod paxos;
mod peers;
mod previous_document;
mod proposals;
mod random;
mod replica;
mod settings;
mod snapshot;
mod voting;

pub use documents::{Digest, MAX_DOCUMENT_BYTES};
pub use error::{DatagramError, ProposeError, SettingsError};
pub use event::ReplicaEvent;
pub use lease::{ReplicaStatus, VersionLease};
pub use message::{
    datagram_kind, decode_datagram, encode_datagram, CONSENSUS_MAGIC, FORMAT_VERSION, MAX_DATAGRAM_BYTES,
};
pub use paxos::{Ballot, Value};
pub use previous_document::PreviousDocument;
pub use replica::{OutgoingDatagram, Replica};
pub use settings::Settings;
pub use snapshot::Snapshot;

/// Time in microseconds, by clocks that differ between replicas by at most [`Settings::max_clock_skew`].
pub type Micros = u64;
/// Number of a replica in its group, starting at 0.
pub type ReplicaId = u16;
/// Number of a version, which is also the slot that decides it. Every replica starts with version 0.
pub type Slot = u64;
