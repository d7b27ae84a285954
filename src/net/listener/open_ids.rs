//! The ids of the open requests.
//!
//! Clients name each request by an id. While a request is open, its id can't be used by a second one: the backend
//! would take the second request for a duplicate.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use axum::http::HeaderValue;

type SharedIds = Arc<Mutex<HashSet<HeaderValue>>>;

/// The set of claimed ids.
#[derive(Default)]
pub struct OpenRequestIds(SharedIds);

impl OpenRequestIds {
    /// Claims an id. Returns `None` if it is already claimed.
    pub fn claim(&self, id: HeaderValue) -> Option<OpenRequestId> {
        let is_new = self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        is_new.then(|| OpenRequestId { id, ids: self.0.clone() })
    }
}

/// A claim on an id, released when it is dropped.
#[derive(Debug)]
pub struct OpenRequestId {
    id: HeaderValue,
    ids: SharedIds,
}

impl OpenRequestId {
    /// Returns the id as the client sent it.
    pub fn value(&self) -> &HeaderValue {
        &self.id
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
