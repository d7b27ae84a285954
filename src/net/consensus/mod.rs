//! Consensus of limiters on versions of the runtime configuration. The actor runs a
//! [`Replica`](sedgestack_consensus::Replica) over the peers' datagrams, stores its state, answers operators' calls,
//! and reports to the control actor which version is active and until when that is known.
//!
//! State that must survive a restart is written before any datagram that depends on it is sent. The protocol itself
//! is in `sedgestack-consensus`, and the documents are in `sedgestack-runtime-config`.

mod actor;
mod configured_rules;
mod intake;
mod operator_calls;
mod status;
mod store;

pub use actor::{ConsensusActor, ConsensusActorParts, ConsensusStartError};
pub use configured_rules::ConfiguredRules;
pub use operator_calls::{OperatorCall, OperatorRequest};
pub use store::open;
