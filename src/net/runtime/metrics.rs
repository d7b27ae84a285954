//! Counters of what the limiter receives, sends and answers.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A counter that only increases.
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Relaxed);
    }

    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Raises the counter to `n` if it is lower: it then holds the largest value seen.
    pub fn raise_to(&self, n: u64) {
        self.0.fetch_max(n, Relaxed);
    }

    /// Returns the current count.
    #[cfg(test)]
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters. They are printed as `name=value` pairs.
        pub struct Counters { $($(#[$doc])* pub $name: Counter,)* }

        /// The counters of this process.
        pub static COUNTERS: Counters = Counters { $($name: Counter(AtomicU64::new(0)),)* };

        impl Counters {
            /// Returns all counters as one line of JSON.
            pub fn json(&self) -> String {
                let pairs = [$((stringify!($name), self.$name.0.load(Relaxed))),*];
                let pairs: serde_json::Map<_, _> =
                    pairs.into_iter().map(|(name, value)| (name.to_string(), value.into())).collect();
                serde_json::json!({"counters": pairs}).to_string()
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, " {}={}", stringify!($name), self.$name.0.load(Relaxed))?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Downstream connections accepted, and accepts that failed.
    downstream_accepted,
    downstream_accept_failed,
    /// Downstream connections closed because their request did not arrive in time, because they were idle, or because
    /// the client did not read its response. The last two count connections closed for lack of capacity: with an
    /// unfinished request, and idle.
    downstream_closed_unfinished,
    downstream_closed_idle,
    downstream_closed_unread,
    downstream_room_unfinished,
    downstream_room_idle,
    /// Requests passed to the control actor.
    taken,
    /// Requests answered without the control actor: 400, 404, 409, 413, and 429 because its mailbox was full.
    malformed,
    unknown_path,
    already_open,
    too_large,
    turned_away_full,
    /// Responses to accepted requests.
    served,
    rejections,
    failed,
    /// Requests answered with 504 because the control actor's reply did not come in time.
    last_resort,
    /// Clients that disconnected before their response.
    abandoned,
    /// Attempts started, and how they ended.
    attempts,
    attempts_ok,
    attempts_error,
    attempts_rejected,
    attempts_timed_out,
    attempts_connect_failed,
    attempts_reset,
    attempts_canceled,
    attempts_not_sent,
    /// Attempts moved to another connection because theirs had been closed while idle.
    attempts_redialled,
    /// Connections opened to backends, and connection attempts that failed.
    dials,
    dials_failed,
    /// Connections of any kind that are used although TCP_NODELAY could not be set, and calls on sockets that failed
    /// because of this machine rather than the other side. Each failed call costs a connection, a check of a
    /// connection or a datagram.
    sockets_delayed,
    sockets_failed,
    probes,
    /// Calls to the quota counter, and how they ended.
    counter_calls,
    counter_ok,
    counter_turned_away,
    counter_timed_out,
    counter_connect_failed,
    counter_connects,
    /// Changes of the endpoint list, and watches opened.
    list_changes,
    list_watches,
    /// Endpoints that could not be parsed.
    list_unreadable,
    /// Consensus datagrams: sent, received, dropped because of the limit per second, of unknown format, and damaged
    /// or not from a replica.
    tier_sent,
    tier_taken_in,
    tier_over,
    tier_unknown_format,
    tier_unheard,
    /// Datagrams of canary analysis: received, dropped because of their part of the limit, and damaged or about a
    /// version that is not under analysis here. The last counts automatic rollbacks proposed here.
    tallies_taken_in,
    tallies_over,
    tallies_unheard,
    undone,
    /// Writes of the consensus state: successful, failed; and files quarantined at a start.
    tier_saved,
    tier_unsaved,
    tier_set_aside,
    /// Requests rejected because the active version of the runtime configuration was unknown.
    rules_unknown,
    peer_sent,
    peer_received,
    /// Reloads of the configuration, and reloads refused because of an error in it.
    reloads,
    reloads_refused,
    /// Records written to the capture, and records dropped.
    captured,
    capture_dropped,
    /// Batches of events passed to the decision logic, and the events in them.
    batches,
    events,
    /// Calls to the operators' address that succeeded, and calls answered with an error.
    ops_calls,
    ops_refused,
    /// Connections to the operators' address closed because their call was incomplete in time.
    ops_unfinished,
    /// Files of cordons that could not be read, and that could not be written.
    cordons_unreadable,
    cordons_unwritten,
    /// Drains that took effect before their list was complete.
    list_early_drains,
    /// Longest time from the first part of a list to its end, in milliseconds.
    list_longest_ms,
    /// Longest turn of the control actor, in microseconds: no change of the endpoints takes effect meanwhile.
    turn_longest_us,
    /// Requests whose first byte was written to a backend that was known to be draining or gone. The guard in
    /// `net/upstream` keeps this at 0.
    drain_violations,
    /// Reservations of memory that had to wait, requests rejected because they waited too long, and connections closed
    /// because others waited and they progressed least.
    memory_waits,
    memory_refused,
    memory_evicted,
    /// Largest number of bytes reserved by requests, or by responses.
    memory_reserved_most,
    /// Requests with a long body that was passed on while it arrived.
    requests_streamed,
    /// Long responses that were passed on while they arrived, and those of them that the backend broke off.
    responses_streamed,
    responses_broken_off,
    /// Connections that ended although their client had not left and was owed a response, of which no byte was written.
    /// The guard in `net/listener/response_progress` keeps this at 0.
    responses_unwritten,
}
