//! Timelines of faults: written in HCL or drawn from a seed, played on a tier, and shortened where they fail.

mod draw;
mod hcl;
mod play;
mod step;

pub use draw::draw;
pub use hcl::read;
pub use play::{PlayResult, PlaySetup};
pub use step::Step;

#[cfg(test)]
mod tests;
