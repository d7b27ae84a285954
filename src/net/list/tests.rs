use super::*;
use crate::net::fixed;
use proptest::prelude::*;
use serde_json::json;

/// A change of one entry, in one line or indented.
fn list(version: u64, indented: bool) -> String {
    let state = ["Ready", "Terminating", "Gone"][version as usize % 3];
    let list = json!({"version": version, "full": false, "servers": [
        {"id": format!("s-{version} \\\"}}]"), "addr": "127.0.0.1:80", "state": state, "started_ms": 7, "new": 1}]});
    (if indented { serde_json::to_string_pretty(&list).expect("JSON") } else { list.to_string() }) + "\n"
}

proptest! {
    #![proptest_config(fixed(256))]
    /// However a watch is cut into pieces, it tells the same changes in the same order, indented or not.
    #[test]
    fn pieces_make_the_same_changes(beats in prop::collection::vec(any::<(bool, bool)>(), 1..12),
                                    cuts in prop::collection::vec(1usize..90, 1..40)) {
        let told = |(n, (beat, indented)): (usize, &(bool, bool))| {
            if *beat { "\n".into() } else { list(n as u64, *indented) }
        };
        let text: String = beats.iter().enumerate().map(told).collect();
        let expected = beats.iter().enumerate().filter(|(_, (beat, _))| !*beat).map(|(n, _)| n as u64);
        let (mut lists, mut rest, mut versions) = (Lists::default(), text.as_bytes(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            for change in lists.feed(piece).map_err(TestCaseError::fail)? {
                prop_assert_eq!(change.entries[0].listed.started, 7_000);
                versions.push(change.version);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(versions, expected.collect::<Vec<_>>());
        prop_assert!(lists.rest.is_empty(), "nothing is kept between lists");
    }
}

/// The others stand, and none is taken for gone as its entry could not be read.
#[test]
fn an_entry_that_cannot_be_read_costs_only_itself() {
    let text = list(7, false).replace("\"servers\":[", "\"servers\":[{\"id\":\"s-8\",\"state\":\"Odd\"},3,");
    let text = text.replace("\"full\":false", "\"full\":true");
    let changes = Lists::default().feed(text.as_bytes()).expect("a list");
    let ids = changes[0].entries.iter().map(|e| &*e.listed.backend);
    let expected = (7, false, vec!["s-7 \\\"}]"]);
    assert_eq!((changes[0].version, changes[0].whole, ids.collect::<Vec<_>>()), expected);
}

/// What follows is not lost: the watch is opened anew.
#[test]
fn a_list_that_breaks_off_ends_the_watch_at_the_next_heartbeat_or_string() {
    let whole = list(7, true);
    for cut in 1..whole.len() - 2 {
        let mut lists = Lists::default();
        let ends = lists.feed(&whole.as_bytes()[..cut]).is_err() || lists.feed(b"\n\n").is_err();
        assert!(ends, "cut after {cut} bytes: {}", &whole[..cut]);
    }
}

#[test]
fn what_is_no_pool_config_ends_the_watch() {
    for text in ["{\"version\":1}\n", "x", "]", "7\n"] {
        assert!(Lists::default().feed(text.as_bytes()).is_err(), "{text}");
    }
    let endless = [b"{\"version\":\"", &*vec![b'x'; LONGEST_LIST]].concat();
    assert!(Lists::default().feed(&endless).is_err());
}
