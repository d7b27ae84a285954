//! Compares evictions and time limits with a model.

use super::*;
use crate::net::fixed_seed_config;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Accept,
    SetStage(usize, Stage),
    End(usize),
    PassMilliseconds(u64),
    Sweep,
}

/// A connection in the model.
struct ModelConnection {
    id: u64,
    stage: Stage,
    since: Instant,
    is_closing: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let stage =
        prop::sample::select(vec![Stage::Unfinished, Stage::Idle, Stage::Responding, Stage::InFlight]);
    prop_oneof![
        3 => Just(Step::Accept),
        4 => (0usize..8, stage).prop_map(|(index, stage)| Step::SetStage(index, stage)),
        1 => (0usize..8).prop_map(Step::End),
        2 => (1u64..3_000).prop_map(Step::PassMilliseconds),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(512))]
    /// Compares which connection is closed, for lack of capacity or because its time is up, with a model that scans
    /// all connections.
    #[test]
    fn oldest_idle_connection_closes_first_and_none_in_flight(steps in prop::collection::vec(step(), 1..80)) {
        const MAX_OPEN: usize = 4;
        let (mut table, mut now) = (ConnectionTable::default(), Instant::now());
        let mut model: Vec<ModelConnection> = Vec::new();
        for step in steps {
            match step {
                Step::Accept => match table.capacity(MAX_OPEN, now) {
                    Capacity::Available => {
                        prop_assert!(model.len() < MAX_OPEN);
                        let id = table.insert(now);
                        model.push(ModelConnection { id, stage: Stage::Unfinished, since: now, is_closing: false });
                    }
                    Capacity::AfterClosing(id) => {
                        prop_assert!(model.len() >= MAX_OPEN && model.iter().all(|c| !c.is_closing));
                        let rank = |c: &ModelConnection| match (c.stage, (now - c.since).as_millis()) {
                            (Stage::Idle, 500..) => Some(0),
                            (Stage::Unfinished, 250..) => Some(1),
                            (Stage::Idle, 50..) => Some(2),
                            (Stage::Unfinished, 50..) => Some(3),
                            _ => None,
                        };
                        let candidates = model.iter_mut().filter(|c| rank(c).is_some());
                        let first = candidates.min_by_key(|c| (rank(c), c.since, c.id)).expect("a connection may be closed");
                        prop_assert_eq!(first.id, id);
                        first.is_closing = true;
                        table.close(id);
                    }
                    Capacity::NotBefore(_) => prop_assert!(model.len() >= MAX_OPEN),
                },
                Step::SetStage(index, stage) => if let Some(connection) = model.get_mut(index) {
                    table.set_stage(connection.id, stage, now);
                    if !connection.is_closing {
                        (connection.stage, connection.since) = (stage, now);
                    }
                },
                Step::End(index) => if index < model.len() {
                    table.remove(model.remove(index).id);
                },
                Step::PassMilliseconds(ms) => now += Duration::from_millis(ms),
                Step::Sweep => {
                    while let Some(OverdueConnection { id, .. }) = table.find_overdue(MAX_OPEN, now) {
                        table.close(id);
                        model.iter_mut().filter(|c| c.id == id).for_each(|c| c.is_closing = true);
                    }
                    for ModelConnection { stage, since, is_closing, .. } in &model {
                        let is_crowded = *stage == Stage::Idle && model.len() > MAX_OPEN / 2;
                        let limit = if is_crowded { Some(CROWDED_IDLE_TIMEOUT) } else { stage.limit().map(|l| l.timeout) };
                        let is_late = limit.is_some_and(|limit| *since + limit <= now);
                        prop_assert!(*is_closing || !is_late);
                        prop_assert!(*stage != Stage::InFlight || !*is_closing || is_late, "a request is in flight");
                    }
                }
            }
            prop_assert_eq!(table.closing, model.iter().filter(|c| c.is_closing).count());
            prop_assert_eq!(table.open.len(), model.len());
            let timed = model.iter().filter(|c| !c.is_closing && c.stage != Stage::InFlight).count();
            prop_assert_eq!(table.by_stage.iter().map(BTreeSet::len).sum::<usize>(), timed);
        }
    }
}
