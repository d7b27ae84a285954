use super::*;

fn id(n: usize) -> BackendId {
    format!("s-{n}").into()
}

#[test]
fn only_the_removed_process_is_remembered() {
    let mut removed = RemovedBackends::default();
    removed.insert(&id(1), 7, 3);
    assert_eq!(removed.numbering_of(&id(1), 7), Some(3));
    assert_eq!(removed.numbering_of(&id(1), 8), None, "a process that started later");
    assert_eq!(removed.numbering_of(&id(2), 7), None);
    removed.remove(&id(1));
    assert_eq!(removed.numbering_of(&id(1), 7), None);
}

#[test]
fn memory_for_removed_backends_is_bounded() {
    let mut removed = RemovedBackends::default();
    for n in 0..3 * MAX_REMOVED {
        removed.insert(&id(n), 0, 0);
        removed.remove(&id(n / 2));
    }
    assert!(removed.processes.len() <= MAX_REMOVED && removed.order.len() <= MAX_REMOVED);
    assert_eq!(removed.numbering_of(&id(3 * MAX_REMOVED - 1), 0), Some(0), "the newest is remembered");
}
