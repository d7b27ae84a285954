//! Tests of the limit on log lines.

use super::*;

#[test]
fn excess_lines_are_left_out_and_counted() {
    let rate = LineRate::new(MAX_LINES_PER_SECOND);
    let written = (0..50).filter(|_| rate.admit(7) == Some(0)).count() as u64;
    assert_eq!(written, MAX_LINES_PER_SECOND);
    assert_eq!(rate.admit(8), Some(50 - MAX_LINES_PER_SECOND));
    assert_eq!(rate.admit(8), Some(0));
    assert_eq!(rate.admit(9), Some(0));
}
