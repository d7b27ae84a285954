//! The Paxos acceptor of one slot.

use serde::{Deserialize, Serialize};

use crate::paxos::{Ballot, Value};

/// An accepted value and the ballot in which it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot in which the value was accepted.
    pub ballot: Ballot,
    /// The accepted value.
    pub value: Value,
}

/// State of an acceptor in one slot. If it is lost in a restart, the replica must not vote on that slot again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    /// The highest promised ballot; requests of lower ballots are rejected.
    pub promised: Ballot,
    /// The value accepted in the highest ballot so far, if any.
    pub accepted: Option<AcceptedValue>,
}

impl Acceptor {
    /// Promises a ballot unless a higher one was promised; returns whether it did.
    pub fn prepare(&mut self, ballot: Ballot) -> bool {
        if ballot < self.promised {
            return false;
        }
        self.promised = ballot;
        true
    }

    /// Accepts a value unless a higher ballot was promised; returns whether it did.
    pub fn accept(&mut self, ballot: Ballot, value: Value) -> bool {
        if ballot < self.promised {
            return false;
        }
        self.promised = ballot;
        self.accepted = Some(AcceptedValue { ballot, value });
        true
    }
}
