//! Service discovery: a watch on the service that names the endpoints, and what the module is told of each change.

pub mod endpoints;
mod list_decoder;
mod pending_calls;
mod watch;

pub use watch::{connector, run};

#[cfg(test)]
mod tests;
