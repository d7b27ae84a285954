//! The state that the consensus actor keeps across restarts.

use std::collections::VecDeque;
use std::time::Duration;

use sedgestack::Micros;
use sedgestack_consensus::{PreviousDocument, Replica, Slot, Snapshot};
use sedgestack_store::{Store, StoreError};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, Instant};

use crate::info;
use crate::net::runtime::metrics::COUNTERS;

/// Maximum time that a replaced process holds the store after it has released its sockets. A process that exits
/// releases files and sockets in no fixed order.
const LOCK_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between attempts to open a store that another process holds.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of versions that are stored and that `GET /admin/rules` lists.
const MAX_HISTORY: usize = 32;

/// A decided version. It is stored, and shown to operators, in this form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub version: Slot,
    pub digest: String,
    /// Whether the change was voided, so that the document of the previous version stays active.
    #[serde(rename = "void")]
    pub is_void: bool,
    /// Time of activation, in Unix microseconds; 0 if the change was voided.
    #[serde(rename = "at")]
    pub activates_at: Micros,
    pub author: String,
    pub reason: String,
}

/// The latest decided versions, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History {
    entries: VecDeque<HistoryEntry>,
}

impl History {
    /// Adds the latest version, and removes the oldest if there are too many.
    pub fn push(&mut self, entry: HistoryEntry) {
        self.entries.push_back(entry);
        while self.entries.len() > MAX_HISTORY {
            self.entries.pop_front();
        }
    }
}

/// The contents of the store.
#[derive(Serialize, Deserialize)]
pub struct StoredState {
    snapshot: Vec<u8>,
    pub history: History,
    /// The text of the document that an undo returns to.
    #[serde(rename = "before")]
    pub previous: Option<String>,
    /// Whether the limiter missed versions and does not have that document yet.
    #[serde(rename = "before_missed", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_previous_missed: bool,
}

impl StoredState {
    /// Returns the replica's state, or `None` if it can't be decoded.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Snapshot::decode(&self.snapshot)
    }
}

/// The file that stores the state, if the settings name one.
pub struct StateStore {
    store: Option<Store>,
    /// The snapshot that was stored last.
    saved_snapshot: Vec<u8>,
    /// Whether anything besides the snapshot has changed since it was stored.
    has_unsaved_events: bool,
}

impl StateStore {
    /// Creates a state store that writes to `store`, or keeps nothing if there is none.
    fn new(store: Option<Store>) -> StateStore {
        StateStore { store, saved_snapshot: Vec::new(), has_unsaved_events: false }
    }

    /// Whether the state is stored in a file.
    pub fn is_persistent(&self) -> bool {
        self.store.is_some()
    }

    /// Records that something besides the snapshot has changed.
    pub fn mark_changed(&mut self) {
        self.has_unsaved_events = true;
    }

    /// Stores the state if it has changed. Returns false if it can't be stored.
    pub fn save(&mut self, replica: &Replica, history: &History) -> bool {
        let Some(store) = &self.store else { return true };
        let snapshot = replica.snapshot().encode();
        if snapshot == self.saved_snapshot && !self.has_unsaved_events {
            return true;
        }
        let previous = previous_text(replica);
        let state = StoredState {
            snapshot: snapshot.clone(),
            history: history.clone(),
            is_previous_missed: previous.is_none() && replica.previous_document() != PreviousDocument::None,
            previous,
        };
        let bytes = serde_json::to_vec(&state).expect("the state can be expressed as JSON");
        if let Err(e) = store.save(&bytes) {
            COUNTERS.tier_unsaved.increment();
            info!("tier: {e}; no datagrams are sent");
            return false;
        }
        COUNTERS.tier_saved.increment();
        (self.saved_snapshot, self.has_unsaved_events) = (snapshot, false);
        true
    }
}

/// Returns the text of the document that an undo returns to, unless it is unknown or still in transfer.
fn previous_text(replica: &Replica) -> Option<String> {
    let PreviousDocument::Digest(digest) = replica.previous_document() else { return None };
    let bytes = replica.document(&digest)?;
    Some(String::from_utf8_lossy(bytes).into_owned())
}

/// Opens the store that the settings name for the limiter `name`, and reads its state. A file that can't be used is
/// set aside, logged and counted.
///
/// # Errors
/// Returns an error if neither the existing file nor a new one can be opened.
pub async fn open(file: Option<&str>, name: &str) -> Result<(StateStore, Option<StoredState>), StoreError> {
    let Some(file) = file else { return Ok((StateStore::new(None), None)) };
    let path = file.replace("{name}", name);
    let deadline = Instant::now() + LOCK_RELEASE_TIMEOUT;
    let opened = loop {
        match Store::open(path.as_ref()) {
            Err(e) if e.locked && Instant::now() < deadline => sleep(OPEN_RETRY_INTERVAL).await,
            other => break other?,
        }
    };
    if let Some(aside) = opened.quarantined {
        COUNTERS.tier_set_aside.increment();
        info!(
            "tier: store: {path}: {}; set aside as {}, its votes are lost",
            aside.reason,
            aside.moved_to.display()
        );
    }
    let state = opened.value.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    Ok((StateStore::new(Some(opened.store)), state))
}
