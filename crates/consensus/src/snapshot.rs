//! The state that a replica keeps across a restart, and its encoding.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::paxos::{Acceptor, Value};
use crate::{Digest, Slot};

/// The state that a replica needs after a restart to keep voting. It must be stored before the datagrams that the same
/// call returned are sent.
///
/// Postcard encodes the fields in their order and without names, so the order defines the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub(crate) acceptors: BTreeMap<Slot, Acceptor>,
    pub(crate) decided: Slot,
    pub(crate) value: Value,
    pub(crate) active: Slot,
    pub(crate) active_document: Option<Digest>,
    pub(crate) documents: Vec<Vec<u8>>,
    pub(crate) highest_round: u32,
}

impl Snapshot {
    /// Encodes the snapshot for storage.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a snapshot can be encoded")
    }

    /// Decodes a snapshot; `None` if the bytes are not a valid one.
    pub fn decode(bytes: &[u8]) -> Option<Snapshot> {
        postcard::from_bytes(bytes).ok()
    }
}

#[cfg(test)]
mod tests;
