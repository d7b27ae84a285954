//! Heartbeats: their contents, the peers that receive them each round, and the handling of received ones.

use crate::message::{Body, Heartbeat, PeerObservation, AGE_STEP};
use crate::random::splitmix64;
use crate::replica::Replica;
use crate::settings::Settings;
use crate::{Micros, ReplicaId};

/// Maximum number of observations in a heartbeat. In a larger group successive heartbeats cover the replicas in turn.
const MAX_OBSERVATIONS: u16 = 96;
/// Bits by which the shared random number is rotated for each further target.
const TARGET_ROTATION: u32 = 7;

/// Returns the replicas that receive this round's heartbeat.
///
/// The targets lie at pseudo-random distances from the sender, derived from the clock and therefore equal for all
/// replicas: each replica receives as many heartbeats as it sends. Independently drawn targets would overload some.
fn targets(settings: &Settings, now: Micros) -> Vec<ReplicaId> {
    let peers = u64::from(settings.replicas - 1);
    let count = u64::from(settings.fanout).min(peers);
    if count == 0 {
        return Vec::new();
    }
    let draw = splitmix64(now / settings.heartbeat_interval);
    let span = peers / count;
    let distance = |n: u64| (n * span + draw.rotate_left(n as u32 * TARGET_ROTATION) % span + 1) as u32;
    let (own, replicas) = (u32::from(settings.replica), u32::from(settings.replicas));
    (0..count).map(|n| ((own + distance(n)) % replicas) as ReplicaId).collect()
}

impl Replica {
    /// Sends this round's heartbeat to its targets.
    pub(crate) fn send_heartbeats(&mut self) {
        let heartbeat = self.heartbeat();
        for to in targets(&self.settings, self.now) {
            self.send(to, Body::Heartbeat(heartbeat.clone()));
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let highest_accepted = self.highest_accepted();
        let first = self.first_observed();
        let replicas = u32::from(self.settings.replicas);
        let observed = (0..self.settings.replicas.min(MAX_OBSERVATIONS)).map(|offset| {
            let replica = (u32::from(first) + u32::from(offset)) % replicas;
            self.peers.observation(replica as ReplicaId, self.now, highest_accepted)
        });
        Heartbeat {
            highest_accepted,
            decided: self.learner.decided(),
            value: self.learner.value(),
            is_active: self.learner.is_active(),
            has_lost_votes: !self.votes.may_vote(self.learner.open_slot()),
            first,
            observations: observed.collect(),
        }
    }

    /// Returns the replica that this round's first observation is about.
    fn first_observed(&self) -> ReplicaId {
        let replicas = self.settings.replicas;
        if replicas <= MAX_OBSERVATIONS {
            return 0;
        }
        (self.rounds * u64::from(MAX_OBSERVATIONS) % u64::from(replicas)) as ReplicaId
    }

    /// Handles a heartbeat; `sent` is the sender's clock when it was sent.
    pub(crate) fn handle_heartbeat(&mut self, from: ReplicaId, sent: Micros, heartbeat: &Heartbeat) {
        let decided = self.learner.decided();
        if !heartbeat.has_lost_votes {
            self.peers.record(from, sent, heartbeat.highest_accepted, decided);
        }
        let replicas = u32::from(self.settings.replicas);
        for (position, observation) in (u32::from(heartbeat.first)..).zip(&heartbeat.observations) {
            let replica = (position % replicas) as ReplicaId;
            if replica != self.settings.replica && replica != from {
                self.record_observation(replica, sent, heartbeat, observation);
            }
        }
        self.learn(heartbeat.decided, heartbeat.value, heartbeat.is_active);
    }

    /// Records a heartbeat's observation of a replica other than its sender and this one.
    fn record_observation(
        &mut self,
        replica: ReplicaId,
        sent: Micros,
        heartbeat: &Heartbeat,
        observation: &PeerObservation,
    ) {
        if !observation.is_known() {
            return;
        }
        let at = sent.saturating_sub(u64::from(observation.age_steps) * AGE_STEP);
        let highest_accepted = heartbeat.highest_accepted.saturating_sub(u64::from(observation.slots_below));
        self.peers.record(replica, at, highest_accepted, self.learner.decided());
    }
}
