//! Decoding of endpoint lists from a byte stream.

use proptest::prelude::*;

use super::*;
use crate::net::discovery::list_decoder::{ListDecoder, MAX_LIST_BYTES};
use crate::net::fixed_seed_config;

proptest! {
    #![proptest_config(fixed_seed_config(256))]
    /// A watch reports the same changes in the same order however its bytes are split, indented or not.
    #[test]
    fn changes_do_not_depend_on_how_bytes_are_split(
        heartbeats in prop::collection::vec(any::<(bool, bool)>(), 1..12),
        cuts in prop::collection::vec(1usize..90, 1..40)
    ) {
        let line = |(n, (is_heartbeat, indented)): (usize, &(bool, bool))| {
            if *is_heartbeat { "\n".into() } else { list(n as u64, *indented) }
        };
        let text: String = heartbeats.iter().enumerate().map(line).collect();
        let expected =
            heartbeats.iter().enumerate().filter(|(_, (is_heartbeat, _))| !*is_heartbeat).map(|(n, _)| n as u64);
        let (mut decoder, mut rest, mut versions) = (ListDecoder::default(), text.as_bytes(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            for change in decoder.decode(piece).map_err(|e| TestCaseError::fail(e.to_string()))?.changes {
                prop_assert_eq!(change.entries[0].endpoint.started_at, 7_000);
                versions.push(change.version);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(versions, expected.collect::<Vec<_>>());
        prop_assert!(decoder.buffer.is_empty(), "nothing is buffered between lists");
    }
}

/// The readable entries are used, and no backend is treated as gone because its entry cannot be read.
#[test]
fn unreadable_entry_does_not_affect_others() {
    let text = list(7, false).replace("\"servers\":[", "\"servers\":[{\"id\":\"s-8\",\"state\":\"Odd\"},3,");
    let text = text.replace("\"full\":false", "\"full\":true");
    let changes = ListDecoder::default().decode(text.as_bytes()).expect("a list").changes;
    let ids = changes[0].entries.iter().map(|e| &*e.endpoint.backend);
    let expected = (7, false, vec!["s-7 \\\"}]"]);
    assert_eq!((changes[0].version, changes[0].complete, ids.collect::<Vec<_>>()), expected);
}

/// The bytes after a truncated list are not lost, because the watch is reopened.
#[test]
fn truncated_list_ends_the_watch_at_the_next_heartbeat() {
    let whole = list(7, true);
    for cut in 1..whole.len() - 2 {
        let mut decoder = ListDecoder::default();
        let is_error = decoder.decode(&whole.as_bytes()[..cut]).is_err() || decoder.decode(b"\n\n").is_err();
        assert!(is_error, "cut after {cut} bytes: {}", &whole[..cut]);
    }
}

#[test]
fn invalid_list_ends_the_watch() {
    for text in ["{\"version\":1}\n", "x", "]", "7\n"] {
        assert!(ListDecoder::default().decode(text.as_bytes()).is_err(), "{text}");
    }
    let endless = [b"{\"version\":\"", &*vec![b'x'; MAX_LIST_BYTES]].concat();
    assert!(ListDecoder::default().decode(&endless).is_err());
}

/// The log gives these texts as the reason for the end of a watch.
#[test]
fn errors_describe_what_is_wrong_with_a_list() {
    let error = |text: &[u8]| ListDecoder::default().decode(text).err().expect("an invalid list").to_string();
    assert_eq!(error(b"{\"version\":\n\n"), "list ends unexpectedly after 12 bytes");
    assert!(error(b"7\n").starts_with("invalid list: invalid type: integer `7`, expected struct WireList"));
    assert_eq!(error(&[b"{\"", &*vec![b'x'; MAX_LIST_BYTES]].concat()), "list is too long");
}

/// Each drain is reported with the read that completes its entry, once, and not again before the list is complete.
#[test]
fn drains_are_reported_before_their_list_is_complete() {
    let entry = |id: &str, state: &str| json!({"id": id, "addr": "127.0.0.1:80", "state": state});
    let servers = [entry("s-1", "Terminating"), entry("s-2", "Ready"), entry("s-3", "Gone")];
    let text = json!({"full": true, "servers": servers, "version": 7}).to_string();
    let mut decoder = ListDecoder::default();
    let mut drains = Vec::new();
    let mut changes = Vec::new();
    for byte in text.as_bytes() {
        let decoded = decoder.decode(&[*byte]).expect("a list");
        let ids = decoded.drains.into_iter().flat_map(|notice| notice.entries);
        drains.extend(ids.map(|entry| entry.endpoint.backend.to_string()));
        changes.extend(decoded.changes);
    }
    assert_eq!(drains, ["s-1", "s-3"]);
    assert_eq!((changes.len(), changes[0].version, changes[0].complete), (1, 7, true));
    assert_eq!(changes[0].entries.len(), 3, "the complete list has all entries");
}

/// Only the array `servers` of a list holds entries, whatever else the list contains.
#[test]
fn other_arrays_of_a_list_hold_no_entries() {
    let entry = |id: &str| json!({"id": id, "addr": "127.0.0.1:80", "state": "Gone"});
    let text = format!(
        "{{\"xservers\":[{}],\"o\":{{\"servers\":[{}]}},\"version\":7,\"full\":false,\"servers\" : [{}, [], 3 ,null]}}",
        entry("s-1"),
        entry("s-2"),
        entry("s-3")
    );
    for piece in 1..text.len() {
        let mut decoder = ListDecoder::default();
        let decoded: Vec<_> =
            text.as_bytes().chunks(piece).map(|bytes| decoder.decode(bytes).expect("a list")).collect();
        let changes: Vec<_> = decoded.into_iter().flat_map(|decoded| decoded.changes).collect();
        let ids: Vec<_> = changes[0].entries.iter().map(|e| &*e.endpoint.backend).collect();
        assert_eq!((changes.len(), ids), (1, vec!["s-3"]));
    }
}

/// An entry that is not JSON, or separators that are missing, make the list invalid.
#[test]
fn list_with_malformed_entries_ends_the_watch() {
    for servers in ["[{\"id\":}]", "[{}{}]", "[{},]", "[1 2]", "[{}],"] {
        let text = format!("{{\"version\":1,\"full\":true,\"servers\":{servers}}}\n");
        assert!(ListDecoder::default().decode(text.as_bytes()).is_err(), "{text}");
    }
}
