//! The steps of a timeline, and the HCL keywords of their values.

use crate::tier::service_links::LinkState;
use crate::tier::{NetworkConditions, Service, StoreState};

/// Kinds of datagrams that can trigger a kill, as HCL keywords.
pub const DATAGRAM_KINDS: [&str; 6] = ["beat", "prepare", "promise", "accept", "accepted", "want"];

/// Services and their HCL keywords.
pub const SERVICES: [(Service, &str); 2] = [(Service::Counter, "counter"), (Service::Discovery, "roster")];

/// States of links to services, and their HCL keywords.
pub const LINK_STATES: [(LinkState, &str); 3] =
    [(LinkState::Open, "open"), (LinkState::Stalled, "stalled"), (LinkState::Cut, "cut")];

/// States of the store at a restart, and their HCL keywords. The first one is the default.
pub const STORE_STATES: [(StoreState, &str); 3] =
    [(StoreState::Intact, "whole"), (StoreState::Missing, "gone"), (StoreState::Truncated, "torn")];

/// Returns the HCL keyword of a value. `keywords` is one of the tables above, which contain every value.
pub fn keyword_of<T: PartialEq>(keywords: &[(T, &'static str)], value: &T) -> &'static str {
    let entry = keywords.iter().find(|(known, _)| known == value);
    entry.map_or("", |(_, keyword)| keyword)
}

/// A step of a timeline. Each step begins when the previous one is finished.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Begins a change of the first plan's rate at a limiter.
    Change {
        /// The number of the limiter that is asked for the change.
        at: u32,
        /// The new rate, in units per second, for a plan with the reference rate of timelines. It is scaled to the
        /// plan's rate in the fleet file.
        rate: f64,
    },
    /// Begins an undo of the last change at a limiter.
    Undo {
        /// The number of the limiter that is asked for the undo.
        at: u32,
    },
    /// Waits until canary analysis has a baseline to compare with, then changes a plan so that practically all its
    /// requests are rejected.
    HarmfulChange {
        /// The number of the limiter that is asked for the change.
        at: u32,
        /// Whether the tier runs canary analysis, which can roll the change back.
        undo: bool,
    },
    /// Kills a limiter immediately.
    Kill {
        /// The number of the limiter to kill.
        limiter: u32,
    },
    /// Kills a limiter when `from` sends its `nth` datagram of a kind, counted from this step on.
    KillAt {
        /// The number of the limiter to kill.
        limiter: u32,
        /// The number of the limiter whose datagrams are counted.
        from: u32,
        /// The kind of datagram counted, one of `DATAGRAM_KINDS`.
        kind: &'static str,
        /// Which datagram of the kind triggers the kill; 1 is the first.
        nth: u32,
    },
    /// Restarts a limiter. If it is still running, it is killed first.
    Restart {
        /// The number of the limiter to restart.
        limiter: u32,
        /// The state of the store when the new process starts.
        store: StoreState,
    },
    /// Suspends a limiter's process.
    Freeze {
        /// The number of the limiter to suspend.
        limiter: u32,
    },
    /// Resumes a limiter's suspended process.
    Thaw {
        /// The number of the limiter to resume.
        limiter: u32,
    },
    /// Cuts the link from one limiter to another. The opposite direction stays open.
    Cut {
        /// The number of the limiter whose datagrams are dropped.
        from: u32,
        /// The number of the limiter that no longer receives them.
        to: u32,
    },
    /// Cuts all links between two groups of limiters.
    Split {
        /// Limiters with numbers less than this form one group, the others the second group.
        below: u32,
    },
    /// Sets the state of a limiter's link to a service.
    Link {
        /// The number of the limiter whose link changes.
        limiter: u32,
        /// The service at the far end of the link.
        to: Service,
        /// The new state of the link.
        state: LinkState,
    },
    /// Opens all links between limiters and to services again.
    RestoreLinks,
    /// Sets the network conditions of the links between limiters.
    SetNetworkConditions(NetworkConditions),
    /// Waits before the next step.
    Pause {
        /// Duration of the pause, in milliseconds.
        ms: u64,
    },
}
