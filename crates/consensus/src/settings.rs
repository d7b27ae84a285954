//! Settings of a replica, and the timeouts and rates derived from them.

use crate::error::SettingsError;
use crate::{Micros, ReplicaId};

/// Maximum number of replicas in a group: the largest group in which all replicas were observed to be current. Changes
/// were tested with up to 300 replicas.
pub(crate) const MAX_REPLICAS: u16 = 1_100;
/// Minimum length of a lease in heartbeat intervals, so that a lost heartbeat does not end it.
const MIN_LEASE_INTERVALS: u64 = 4;
/// Answers to a proposer may use one in this many of the datagrams that its replica may receive.
const VOTE_TRAFFIC_DIVISOR: u64 = 5;
/// Rounds added to the two phases of a vote, for lost datagrams and the transfer of the document.
const SPARE_ROUNDS: u64 = 6;
/// Additional rounds that a proposer has to finish a ballot before other replicas take over the vote.
const TAKEOVER_GRACE_ROUNDS: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Settings of a replica. Apart from `replica`, they must be equal in the whole group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Number of this replica.
    pub replica: ReplicaId,
    /// Number of replicas in the group.
    pub replicas: ReplicaId,
    /// Time between heartbeats, which is the length of a round.
    pub heartbeat_interval: Micros,
    /// Number of replicas that receive each heartbeat. They are selected anew every round.
    pub fanout: u16,
    /// Maximum age of a majority's heartbeats for the replica to rely on the version that it knows.
    pub lease: Micros,
    /// Maximum difference between the clocks of two replicas.
    pub max_clock_skew: Micros,
    /// Time from the proposal of a change to its activation.
    pub activation_delay: Micros,
    /// Maximum number of datagrams that a replica may receive per second.
    pub max_datagrams_per_second: u32,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Names the first invalid setting and the expected values.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.replicas == 0 || self.replicas > MAX_REPLICAS || self.replica >= self.replicas {
            return Err(SettingsError::InvalidReplicas);
        }
        if self.heartbeat_interval == 0 || self.lease < MIN_LEASE_INTERVALS * self.heartbeat_interval {
            return Err(SettingsError::InvalidHeartbeatInterval);
        }
        let least = self.lease_margin() + self.vote_rounds() * self.heartbeat_interval;
        if self.activation_delay < least {
            return Err(SettingsError::ActivationDelayTooShort { least_ms: least / 1_000 });
        }
        let peers = u64::from(self.replicas - 1).min(u64::from(self.fanout));
        let per_second = peers * MICROS_PER_SECOND / self.heartbeat_interval;
        if per_second * 2 > u64::from(self.max_datagrams_per_second) {
            return Err(SettingsError::TooManyHeartbeats {
                per_second,
                max_datagrams_per_second: self.max_datagrams_per_second,
            });
        }
        Ok(())
    }

    /// Returns how long a lease may outlast the state of the majority that it was granted on. New changes are not
    /// accepted closer to their activation than this, so that every lease that covers the activation was granted by
    /// replicas that know of the change.
    pub(crate) fn lease_margin(&self) -> Micros {
        self.lease + self.max_clock_skew
    }

    /// Returns the number of replicas that form a majority.
    pub(crate) fn quorum(&self) -> usize {
        usize::from(self.replicas) / 2 + 1
    }

    /// Returns how many replicas a proposer asks per round, so that their answers use a limited share of the datagrams
    /// that its replica may receive.
    pub(crate) fn requests_per_round(&self) -> u64 {
        let datagrams =
            u64::from(self.max_datagrams_per_second) * self.heartbeat_interval / MICROS_PER_SECOND;
        (datagrams / VOTE_TRAFFIC_DIVISOR).max(1)
    }

    /// Returns the number of rounds that one phase of a vote takes if no datagram is lost.
    fn phase_rounds(&self) -> u64 {
        (self.quorum() as u64).div_ceil(self.requests_per_round())
    }

    /// Returns the number of rounds reserved for a vote: both of its phases, lost datagrams and the document.
    fn vote_rounds(&self) -> u64 {
        2 * self.phase_rounds() + SPARE_ROUNDS
    }

    /// Returns the time after which a ballot is considered abandoned. Both phases are counted twice, as lost datagrams
    /// may double their duration.
    pub(crate) fn ballot_timeout(&self) -> Micros {
        let rounds = TAKEOVER_GRACE_ROUNDS + self.vote_rounds() + 2 * self.phase_rounds();
        rounds * self.heartbeat_interval
    }
}
