//! Service discovery: watches the service that lists the endpoints and reports each change to the control actor.

pub mod endpoints;
mod list_decoder;
mod list_scanner;
mod pending_calls;
mod watch;

pub use watch::{connector, run};

#[cfg(test)]
mod tests;
