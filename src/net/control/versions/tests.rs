//! The active version as time passes, with and without updates.

use super::*;

const SECOND: Micros = 1_000_000;

fn version(number: Slot) -> Version {
    Version {
        number,
        indices: Arc::default(),
        deadlines: Arc::default(),
        latency_objectives: Arc::default(),
        max_retry_after: 0,
    }
}

fn active_version(unknown: UnknownVersionPolicy, scheduled: Option<ScheduledVersion>) -> ActiveVersion {
    ActiveVersion::new(
        VersionUpdate { current: version(1), scheduled, valid_until: 10 * SECOND },
        unknown,
        2 * SECOND,
    )
}

fn number_at(versions: &mut ActiveVersion, now: Micros) -> Option<Slot> {
    versions.active_at(now).map(|v| v.number)
}

#[test]
fn scheduled_version_activates_without_another_update() {
    let mut versions = active_version(
        UnknownVersionPolicy::Reject,
        Some(ScheduledVersion { activates_at: 5 * SECOND, version: version(2) }),
    );
    assert_eq!(number_at(&mut versions, 5 * SECOND - 1), Some(1));
    assert_eq!(number_at(&mut versions, 5 * SECOND), Some(2));
}

#[test]
fn resumed_process_waits_before_it_serves_under_last_known_version() {
    let mut versions = active_version(UnknownVersionPolicy::Serve, None);
    assert_eq!(number_at(&mut versions, 10 * SECOND), Some(1));
    // The process was suspended for a minute: the wait starts when it resumes.
    assert_eq!(number_at(&mut versions, 70 * SECOND), None);
    assert_eq!(number_at(&mut versions, 72 * SECOND - 1), None);
    assert_eq!(number_at(&mut versions, 72 * SECOND), Some(1));
    versions.update(VersionUpdate { current: version(3), scheduled: None, valid_until: 75 * SECOND });
    assert_eq!(number_at(&mut versions, 73 * SECOND), Some(3));
    assert_eq!(
        number_at(&mut versions, 76 * SECOND),
        None,
        "a new wait starts when the version becomes unknown again"
    );
}

#[test]
fn reject_policy_lasts_while_active_version_is_unknown() {
    let mut versions = active_version(UnknownVersionPolicy::Reject, None);
    assert_eq!(number_at(&mut versions, 11 * SECOND), None);
    assert_eq!(number_at(&mut versions, 1_000 * SECOND), None);
}
