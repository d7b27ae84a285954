//! Helpers shared by unit tests.

use sedgestack_fleet::Fleet;

/// Returns the sample fleet.
pub fn sample() -> Fleet {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    Fleet::parse("fleet-sample.hcl", text).expect("the sample fleet file is valid")
}
