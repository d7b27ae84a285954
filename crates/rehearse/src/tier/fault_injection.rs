//! Fault injection: suspending processes, killing them at a protocol step, stopping services, and network faults.

use rustix::process::Signal;
use tokio::sync::watch;

use super::service_links::LinkState;
use super::{DatagramCounts, NetworkConditions, Service, Tier, Trigger};

impl Tier {
    /// Suspends a limiter's process. Its sockets stay open.
    pub fn freeze(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::STOP);
    }

    /// Resumes a limiter's suspended process.
    pub fn thaw(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::CONT);
    }

    /// Stops the first `count` backends and closes their connections. They stay in the endpoint list.
    pub fn lose_backends(&self, count: usize) {
        self.stand_ins.lose_backends(count);
    }

    /// Makes the quota counter leave all further calls unanswered.
    pub fn lose_counter(&self) {
        self.stand_ins.counter.stop_answering();
    }

    /// Returns access to the links between limiters and to services.
    pub fn links(&self) -> Links<'_> {
        Links(self)
    }

    /// Schedules a kill of the limiter `victim`. When the trigger fires, the limiter is killed before the triggering
    /// datagram is forwarded.
    pub fn schedule_kill(&self, trigger: Trigger, victim: u32) -> ScheduledKill<'_> {
        let pid = self.process(victim).pid.clone();
        let kill = Box::new(move || pid.signal(Signal::KILL));
        ScheduledKill { tier: self, victim, done: self.stand_ins.relay.schedule(trigger, kill) }
    }

    /// Cancels all kills whose triggers have not fired yet.
    pub fn cancel_scheduled(&self) {
        self.stand_ins.relay.cancel_scheduled();
    }
}

/// A scheduled kill whose trigger may not have fired yet.
pub struct ScheduledKill<'a> {
    tier: &'a Tier,
    victim: u32,
    done: watch::Receiver<bool>,
}

impl ScheduledKill<'_> {
    /// Waits until the trigger has fired and the process has exited.
    pub fn wait(self) {
        self.tier.expect_eventually("the trigger fires", || *self.done.borrow());
        self.tier.wait_for_exit(self.victim);
    }
}

/// Access to the links of a tier, to inject and remove network faults.
pub struct Links<'a>(&'a Tier);

impl Links<'_> {
    /// Sets the conditions of all links between limiters that are not cut.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.0.stand_ins.relay.set_conditions(conditions);
    }

    /// Cuts the link from one limiter to another. The opposite direction stays open.
    pub fn cut(&self, from: u32, to: u32) {
        self.0.stand_ins.relay.cut(from, to);
    }

    /// Cuts all links between limiters of different groups.
    pub fn partition(&self, groups: &[&[u32]]) {
        self.0.stand_ins.relay.partition(groups);
    }

    /// Sets the state of a limiter's link to a service.
    pub fn set_service(&self, limiter: u32, service: Service, state: LinkState) {
        self.0.stand_ins.service_links[limiter as usize].to(service).set(state);
    }

    /// Opens all links again, including those to services.
    pub fn restore(&self) {
        self.0.stand_ins.restore_links();
    }

    /// Returns the numbers of datagrams between limiters since the tier started.
    pub fn counts(&self) -> DatagramCounts {
        self.0.stand_ins.relay.counts()
    }
}
