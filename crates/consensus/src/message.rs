//! Datagrams between replicas. Each has at most 256 bytes and can be handled without any other.
//!
//! Postcard encodes neither names nor tags of fields, so the order of variants and fields defines the wire format.

use serde::{Deserialize, Serialize};

use crate::documents::DocumentChunk;
use crate::error::DatagramError;
use crate::paxos::{AcceptedValue, Ballot, Value};
use crate::{Digest, Micros, ReplicaId, Slot};

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte of every consensus datagram.
pub const CONSENSUS_MAGIC: u8 = 0xa7;
/// Version of the datagram format, the second byte of every datagram.
pub const FORMAT_VERSION: u8 = 1;
/// Unit of the ages of observations, which are rounded up.
pub(crate) const AGE_STEP: Micros = 50_000;
const CHECKSUM_BYTES: usize = 4;
/// Bytes before the contents: magic byte, format version and checksum.
const HEADER_BYTES: usize = 2 + CHECKSUM_BYTES;

/// What the sender of a heartbeat knows about another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerObservation {
    /// Time since the replica was last seen, in units of [`AGE_STEP`].
    pub(crate) age_steps: u8,
    /// How far the replica's highest accepted slot lies below the sender's.
    pub(crate) slots_below: u8,
}

impl PeerObservation {
    /// Marks either field as unknown.
    const UNKNOWN_FIELD: u8 = u8::MAX;
    /// The replica has not been seen, or a value does not fit into its field.
    pub(crate) const UNKNOWN: PeerObservation =
        PeerObservation { age_steps: Self::UNKNOWN_FIELD, slots_below: Self::UNKNOWN_FIELD };

    /// Returns [`Self::UNKNOWN`] if a value does not fit into its field, or if `slots_below` is `None` because the
    /// replica is ahead of the sender.
    pub(crate) fn new(age_steps: u64, slots_below: Option<Slot>) -> PeerObservation {
        let to_field = |value: u64| u8::try_from(value).ok().filter(|value| *value != Self::UNKNOWN_FIELD);
        match (to_field(age_steps), slots_below.and_then(to_field)) {
            (Some(age_steps), Some(slots_below)) => PeerObservation { age_steps, slots_below },
            _ => PeerObservation::UNKNOWN,
        }
    }

    /// Whether the sender knew the observed replica's state.
    pub(crate) fn is_known(&self) -> bool {
        self.age_steps != Self::UNKNOWN_FIELD && self.slots_below != Self::UNKNOWN_FIELD
    }
}

/// A replica's state, sent every round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The highest slot that the sender has accepted a value in or knows to be decided.
    pub(crate) highest_accepted: Slot,
    /// The latest version that the sender knows to be decided.
    pub(crate) decided: Slot,
    /// The value that was decided for that version.
    pub(crate) value: Value,
    /// Whether the sender has activated that version.
    pub(crate) is_active: bool,
    /// Whether the sender has lost its votes for the open slot. Its heartbeat then extends no lease.
    pub(crate) has_lost_votes: bool,
    /// The replica that the first observation is about. The others follow in order, wrapping around to 0.
    pub(crate) first: ReplicaId,
    /// Observations of all replicas if they fit, otherwise of a range of them.
    pub(crate) observations: Vec<PeerObservation>,
}

/// Asks an acceptor to accept a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct AcceptRequest {
    pub(crate) slot: Slot,
    pub(crate) ballot: Ballot,
    pub(crate) value: Value,
    /// Whether a replica accepted the value in an earlier ballot. The value may then have been decided, so it is
    /// accepted even if its activation is too close.
    pub(crate) previously_accepted: bool,
}

/// The message-specific part of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// The sender's periodic report of its state.
    Heartbeat(Heartbeat),
    /// Asks an acceptor to promise a ballot.
    Prepare {
        slot: Slot,
        ballot: Ballot,
        /// The proposed document, so that acceptors can fetch it before they are asked to accept it.
        document: Option<Digest>,
    },
    /// Answers [`Body::Prepare`]: the sender will reject all lower ballots.
    Promise {
        slot: Slot,
        ballot: Ballot,
        /// The value that the sender has accepted in this slot, if any.
        accepted: Option<AcceptedValue>,
    },
    /// Asks an acceptor to accept a value.
    Accept(AcceptRequest),
    /// Answers [`Body::Accept`]: the sender has accepted the value.
    Accepted { slot: Slot, ballot: Ballot },
    /// Answers [`Body::Prepare`] or [`Body::Accept`]: the sender has promised `ballot`, which is higher.
    Rejected { slot: Slot, ballot: Ballot },
    /// Asks for chunks of a document, starting with `first_chunk`.
    DocumentRequest { digest: Digest, first_chunk: u8 },
    /// A chunk of a document.
    DocumentChunk(DocumentChunk),
    /// Asks which document preceded the active version `slot`, of a replica that missed the versions before it.
    PreviousDocumentRequest { slot: Slot },
    /// Answers [`Body::PreviousDocumentRequest`]: the document before version `slot` that had other values; `None` if
    /// there is none.
    PreviousDocument { slot: Slot, digest: Option<Digest> },
}

/// A datagram's contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) from: ReplicaId,
    /// When the message was sent, by the sender's clock.
    pub(crate) sent: Micros,
    pub(crate) body: Body,
}

/// Returns the first bytes of the BLAKE3 digest. This detects corruption by the network; it is no protection against
/// attackers.
fn checksum(contents: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let digest = blake3::hash(contents);
    std::array::from_fn(|n| digest.as_bytes()[n])
}

/// Encodes a datagram: the magic byte, the format version, a checksum and the contents.
///
/// # Panics
/// If the datagram is longer than [`MAX_DATAGRAM_BYTES`], which cannot happen with valid settings.
pub fn encode_datagram(magic: u8, contents: &impl Serialize) -> Vec<u8> {
    let contents = postcard::to_stdvec(contents).expect("the contents can be encoded");
    let bytes = [&[magic, FORMAT_VERSION][..], &checksum(&contents), &contents].concat();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "datagram too long: {} bytes", bytes.len());
    bytes
}

/// Decodes the contents of a datagram that must start with the given magic byte.
///
/// # Errors
/// If the datagram belongs to another protocol, has an unknown format or is corrupt.
pub fn decode_datagram<'a, T: Deserialize<'a>>(magic: u8, bytes: &'a [u8]) -> Result<T, DatagramError> {
    let format = match bytes {
        [first, format, ..] if *first == magic => *format,
        _ => return Err(DatagramError::OtherProtocol),
    };
    if format != FORMAT_VERSION {
        return Err(DatagramError::UnknownFormat(format));
    }
    if bytes.len() <= HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Corrupt);
    }
    let (header, contents) = bytes.split_at(HEADER_BYTES);
    if header[2..] != checksum(contents) {
        return Err(DatagramError::Corrupt);
    }
    postcard::from_bytes(contents).map_err(|_| DatagramError::Corrupt)
}

/// Returns the kind of a consensus datagram, for tests that record datagrams or inject faults; `None` if the bytes
/// cannot be decoded.
pub fn datagram_kind(bytes: &[u8]) -> Option<&'static str> {
    Some(match Message::decode(bytes).ok()?.body {
        Body::Heartbeat(_) => "beat",
        Body::Prepare { .. } => "prepare",
        Body::Promise { .. } => "promise",
        Body::Accept(_) => "accept",
        Body::Accepted { .. } => "accepted",
        Body::Rejected { .. } => "passed",
        Body::DocumentRequest { .. } => "want",
        Body::DocumentChunk(_) => "piece",
        Body::PreviousDocumentRequest { .. } => "want-previous",
        Body::PreviousDocument { .. } => "previous",
    })
}

impl Message {
    /// Encodes the message as a datagram.
    ///
    /// # Panics
    /// If the datagram is longer than [`MAX_DATAGRAM_BYTES`], which cannot happen with valid settings.
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode_datagram(CONSENSUS_MAGIC, self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// If the datagram belongs to another protocol, has an unknown format or is corrupt.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Message, DatagramError> {
        decode_datagram(CONSENSUS_MAGIC, bytes)
    }
}

#[cfg(test)]
mod tests;
