//! Single-decree Paxos (Lamport, "Paxos Made Simple", 2001) for one slot. It does no I/O and reads no clock.

mod acceptor;
mod ballot;
mod proposer;
mod value;

pub use acceptor::{AcceptedValue, Acceptor};
pub use ballot::Ballot;
pub use proposer::{Phase, Proposer};
pub use value::Value;
