//! Timelines of faults. They are written in HCL or generated from a seed, and played on a tier. A failing timeline can
//! be reduced to the steps that it needs to fail.

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
