//! The simulator's line protocol: decodes lines to settings and events, and encodes actions as lines.

mod actions;
mod error;
mod events;
mod line;

pub use actions::write_action;
pub use error::WireError;
pub use events::{endpoint, event, settings, EndpointLists};
pub use line::Line;
