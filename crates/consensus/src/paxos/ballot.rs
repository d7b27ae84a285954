//! Ballots, the numbered attempts to decide a slot.

use serde::{Deserialize, Serialize};

use crate::ReplicaId;

/// A ballot number, ordered by round and then by replica. The replica makes it unique.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the attempt. A proposer chooses a round above all that it has seen.
    pub round: u32,
    /// The replica that started the ballot.
    pub replica: ReplicaId,
}
