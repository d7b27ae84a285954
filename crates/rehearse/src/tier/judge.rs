//! The judge of a tier's rules: it reads what was recorded, and nothing else.
//!
//! One history: whoever tells of a version tells the same. One version at a time: an answer's version was in force,
//! give or take the clocks' difference, at some moment between the request's leaving and the answer's coming.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// Unix time in microseconds.
pub type Micros = u64;

/// One request as its client saw it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Seen {
    pub limiter: u32,
    pub sent: Micros,
    pub answered: Micros,
    pub status: u16,
    /// The version that the answer names; refusals of a limiter that does not know one name none.
    pub version: Option<u64>,
}

/// What is wrong with a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Broken {
    /// Two limiters tell differently of one version.
    TwoHistories { version: u64, one: String, other: String },
    /// An answer names a version that nobody tells of.
    Unknown { seen: Seen },
    /// An answer came under a version that was not in force yet, or no longer: so much beyond the bound.
    OutOfForce { seen: Seen, by_us: u64 },
    /// A served answer names no version.
    Unversioned { seen: Seen },
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Found {
    pub answers: usize,
    pub versions: usize,
    /// How far outside its version's time an answer was at the most, within the bound or not.
    pub largest_mixing_us: u64,
    pub broken: Vec<Broken>,
}

/// Judges the answers by the histories that limiters tell; `bound` is how far two versions may be mixed.
pub fn judge(seen: &[Seen], histories: &[Value], bound: Micros) -> Found {
    let mut found = Found { answers: seen.len(), ..Found::default() };
    let mut told: BTreeMap<u64, (String, bool, Micros)> = BTreeMap::new();
    for past in histories.iter().flat_map(|h| h.as_array().into_iter().flatten()) {
        let version = past["version"].as_u64().unwrap_or(0);
        let word = (past["digest"].to_string(), past["void"] == true, past["at"].as_u64().unwrap_or(0));
        let before = told.entry(version).or_insert_with(|| word.clone());
        if *before != word {
            let (one, other) = (format!("{before:?}"), format!("{word:?}"));
            found.broken.push(Broken::TwoHistories { version, one, other });
        }
    }
    found.versions = told.len();
    // From when to when each version's document was in force; a void version goes on with the one before.
    let made: Vec<(u64, Micros)> =
        told.iter().filter(|(_, (_, void, _))| !void).map(|(v, (_, _, at))| (*v, *at)).collect();
    for s in seen {
        let Some(version) = s.version else {
            if s.status == 200 {
                found.broken.push(Broken::Unversioned { seen: s.clone() });
            }
            continue;
        };
        if version > 0 && !told.contains_key(&version) {
            found.broken.push(Broken::Unknown { seen: s.clone() });
            continue;
        }
        let next = made.partition_point(|(v, _)| *v <= version);
        let from = next.checked_sub(1).map_or(0, |n| made[n].1);
        let until = made.get(next).map_or(Micros::MAX, |(_, at)| *at);
        let early = from.saturating_sub(s.answered);
        let late = s.sent.saturating_sub(until);
        let by = early.max(late);
        found.largest_mixing_us = found.largest_mixing_us.max(by);
        if by > bound {
            found.broken.push(Broken::OutOfForce { seen: s.clone(), by_us: by - bound });
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn seen(sent: Micros, version: u64) -> Seen {
        Seen { limiter: 0, sent, answered: sent + 10, status: 200, version: Some(version) }
    }

    fn history() -> Value {
        json!([{"version": 1, "digest": "a", "void": false, "at": 1_000},
               {"version": 2, "digest": "a", "void": true, "at": 0},
               {"version": 3, "digest": "b", "void": false, "at": 2_000}])
    }

    #[test]
    fn each_answer_is_held_to_the_time_of_its_version() {
        let good = [seen(0, 0), seen(1_000, 1), seen(1_500, 2), seen(2_050, 3), seen(2_090, 2)];
        let found = judge(&good, &[history()], 100);
        assert_eq!((found.broken, found.largest_mixing_us), (vec![], 90));
        for bad in [seen(1_101, 0), seen(800, 1), seen(2_101, 1), seen(1_500, 3)] {
            let found = judge(std::slice::from_ref(&bad), &[history()], 100);
            assert!(matches!(found.broken[..], [Broken::OutOfForce { .. }]), "{bad:?}: {found:?}");
        }
        assert!(matches!(judge(&[seen(1, 9)], &[history()], 100).broken[..], [Broken::Unknown { .. }]));
        let bare = Seen { version: None, ..seen(1, 0) };
        assert!(matches!(judge(&[bare], &[history()], 100).broken[..], [Broken::Unversioned { .. }]));
    }

    #[test]
    fn two_histories_are_found() {
        let mut other = history();
        other[2]["digest"] = json!("c");
        let found = judge(&[], &[history(), other], 0);
        assert!(matches!(found.broken[..], [Broken::TwoHistories { version: 3, .. }]));
    }
}
