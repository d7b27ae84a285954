//! Lists that arrive slowly, stall or never end.

use super::*;

/// Number of entries of a list.
const ENTRIES: usize = 400;

/// Returns the text of a complete list in which all servers drain, split into its entries.
fn long_list() -> Vec<String> {
    let entry = |n: usize| {
        let entry = json!({"id": format!("s-{n}"), "addr": "127.0.0.1:80", "state": "Terminating"});
        let start = if n == 0 { "{\"version\":2,\"full\":true,\"servers\":[" } else { "," };
        let end = if n == ENTRIES - 1 { "]}\n" } else { "" };
        format!("{start}{entry}{end}")
    };
    (0..ENTRIES).map(entry).collect()
}

impl TestDiscovery {
    /// Returns the drains reported before the list is complete, until nothing is reported any more.
    async fn early_drains(&mut self) -> usize {
        let mut drains = 0;
        while let Ok(update) = self.changes.try_recv() {
            if let EndpointsUpdate::Draining(notice) = update {
                drains += notice.entries.len();
            }
        }
        drains
    }
}

#[tokio::test(start_paused = true)]
async fn watch_is_kept_and_drains_are_reported_while_a_list_arrives() {
    for seconds in [1, 4, 8, 20] {
        let mut discovery = TestDiscovery::new();
        let mut call = discovery.next_call().await;
        call.answer("").await;
        let pause = Duration::from_secs(seconds) / ENTRIES as u32;
        let entries = long_list();
        for (n, entry) in entries.iter().enumerate().take(ENTRIES - 1) {
            call.send(entry).await;
            sleep_until(Instant::now() + pause).await;
            assert_eq!(discovery.early_drains().await, 1, "entry {n} of a list over {seconds} s");
        }
        call.send(&entries[ENTRIES - 1]).await;
        assert_eq!(discovery.next_change().await.0, 2, "over {seconds} s");
        assert!(discovery.calls.try_recv().is_err(), "the watch ended over {seconds} s");
    }
}

/// Bytes that complete no entry are no progress, and a list that goes on forever is given up.
#[tokio::test(start_paused = true)]
async fn list_without_progress_or_end_ends_the_watch() {
    for (piece, limit) in [("x", Duration::from_secs(4)), ("{},", Duration::from_secs(31))] {
        let mut discovery = TestDiscovery::new();
        let mut call = discovery.next_call().await;
        let started = Instant::now();
        call.answer("{\"version\":2,\"full\":true,\"servers\":[").await;
        if piece == "x" {
            call.send("{\"id\":\"").await;
        }
        while call.stream.write_all(piece.as_bytes()).await.is_ok() {
            sleep_until(Instant::now() + Duration::from_millis(500)).await;
            assert!(started.elapsed() < limit, "{piece:?}");
        }
        discovery.next_call().await;
    }
}
