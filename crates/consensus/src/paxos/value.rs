//! Values that can be decided for a slot.

use serde::{Deserialize, Serialize};

use crate::{Digest, Micros};

/// The value of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// A document that becomes active at a given time.
    Change {
        /// Digest of the document.
        digest: Digest,
        /// When the document becomes active.
        at: Micros,
    },
    /// No change: a proposed change was not decided, and the previous document stays active.
    Void {
        /// Document of the previous version; `None` before the first change.
        keeps: Option<Digest>,
    },
}

impl Value {
    /// Returns when a change becomes active; `None` for a void value, which takes effect at once.
    pub fn activates_at(&self) -> Option<Micros> {
        match self {
            Value::Change { at, .. } => Some(*at),
            Value::Void { .. } => None,
        }
    }

    /// Returns the document that is active under this version; `None` before the first change.
    pub fn active_document(&self) -> Option<Digest> {
        match self {
            Value::Change { digest, .. } => Some(*digest),
            Value::Void { keeps } => *keeps,
        }
    }

    /// Whether the activation is less than `margin` away or has passed; false for a void value.
    pub(crate) fn activates_within(&self, margin: Micros, now: Micros) -> bool {
        self.activates_at().is_some_and(|at| now + margin > at)
    }
}
