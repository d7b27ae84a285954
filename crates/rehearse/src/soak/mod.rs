//! Soak: short lives of real limiters under drawn deployments, faults and signals, checked against the platform's rules by
//! what the stand-ins saw.
//!
//! Everything drawn comes from the seed. Real sockets and timers add orders of events that no seed repeats, which is the
//! point: what matters is that a broken rule is found, with the records that show it.

mod backend;
mod checker;
mod client;
mod deployment;
mod discovery;
mod lateness;
mod limiter;
mod records;
mod run;

pub use checker::{check, Circumstances, Finding, Rule, StopTimes};
pub use deployment::{ClassSettings, Deployment, Effect};
pub use records::{AttemptEnd, AttemptRecord, ClientEnd, DrainNotice, Records, RequestRecord};
pub use run::{soak, SoakOptions, SoakReport};
