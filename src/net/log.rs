//! The log: lines on standard error, so many a second at most.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};

const LINES_A_SECOND: u64 = 20;

static SECOND: AtomicU64 = AtomicU64::new(0);
static LINES: AtomicU64 = AtomicU64::new(0);

/// Whether a line may be written now, and how many were left out since the last one that was.
pub fn admit() -> Option<u64> {
    let second = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let before = if SECOND.swap(second, Relaxed) == second { 0 } else { LINES.swap(0, Relaxed) };
    let written = LINES.fetch_add(1, Relaxed);
    (written < LINES_A_SECOND).then(|| before.saturating_sub(LINES_A_SECOND))
}

/// Writes a line to the log, unless this second has had its share.
#[macro_export]
macro_rules! say {
    ($($words:tt)*) => {
        if let Some(left_out) = $crate::net::log::admit() {
            if left_out > 0 {
                eprintln!("({left_out} lines left out)");
            }
            eprintln!($($words)*);
        }
    };
}
