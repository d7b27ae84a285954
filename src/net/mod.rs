//! The limiter on sockets: everything between the wire and the library's decisions.

pub mod clock;
pub mod config;
pub mod counter;
pub mod destination;
pub mod front;
pub mod list;
pub mod log;
pub mod metrics;
pub mod module;
pub mod peers;
pub mod shutdown;
