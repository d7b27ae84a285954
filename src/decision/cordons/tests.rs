use std::collections::BTreeSet;

use crate::interface::{BackendId, BackendState};

use super::effective_state;

#[test]
fn cordon_affects_only_backends_in_service() {
    let cordoned: BTreeSet<BackendId> = ["w1".into()].into();
    let (w1, w2): (BackendId, BackendId) = ("w1".into(), "w2".into());
    assert_eq!(effective_state(&cordoned, &w1, BackendState::InService), BackendState::Draining);
    assert_eq!(effective_state(&cordoned, &w1, BackendState::Gone), BackendState::Gone);
    assert_eq!(effective_state(&cordoned, &w2, BackendState::InService), BackendState::InService);
}
