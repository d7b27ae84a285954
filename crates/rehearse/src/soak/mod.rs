//! Soak tests: short runs of real limiters under randomly generated deployments, faults and signals. What the stand-ins
//! record of each run is checked against the platform's rules.
//!
//! The seed determines the deployment, the faults and the signals, but real sockets and timers order events differently
//! in each run. A seed therefore does not always reproduce a violation, so a finding carries the records that show it.

mod backend;
mod body;
mod broken_answer;
mod checker;
mod client;
mod client_form;
mod crowd;
mod deployment;
mod discovery;
mod lateness;
mod limiter;
mod records;
mod response;
mod run;
mod stalls;

pub use checker::{check, CheckContext, Finding, Rule, StopTimes};
pub use deployment::{ClassSettings, Deployment, Idempotency, ListSettings};
pub use records::{AttemptEnd, AttemptRecord, ClientEnd, DrainNotice, Records, RequestRecord};
pub use run::{soak, SoakOptions, SoakReport};
