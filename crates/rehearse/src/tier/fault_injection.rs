//! Fault injection: suspended processes, kills at a protocol step, lost services, and faults of the network.

use rustix::process::Signal;
use tokio::sync::watch;

use super::service_links::LinkState;
use super::{DatagramCounts, NetworkConditions, Service, Tier, Trigger};

impl Tier {
    /// Suspends a process; its sockets stay open.
    pub fn freeze(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::STOP);
    }

    /// Lets a suspended process go on.
    pub fn thaw(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::CONT);
    }

    /// Ends the first `count` backends with all their connections; discovery still names them.
    pub fn lose_backends(&self, count: usize) {
        self.stand_ins.lose_backends(count);
    }

    /// From now on the quota counter responds to nothing.
    pub fn lose_counter(&self) {
        self.stand_ins.counter.stop_answering();
    }

    /// The links between limiters and to services.
    pub fn links(&self) -> Links<'_> {
        Links(self)
    }

    /// Kills `victim` as a trigger fires, before that datagram is forwarded.
    pub fn schedule_kill(&self, trigger: Trigger, victim: u32) -> ScheduledKill<'_> {
        let pid = self.process(victim).pid.clone();
        let kill = Box::new(move || pid.signal(Signal::KILL));
        ScheduledKill { tier: self, victim, done: self.stand_ins.relay.schedule(trigger, kill) }
    }

    /// Cancels the kills whose triggers have not fired yet.
    pub fn cancel_scheduled(&self) {
        self.stand_ins.relay.cancel_scheduled();
    }
}

/// A kill that waits for its trigger.
pub struct ScheduledKill<'a> {
    tier: &'a Tier,
    victim: u32,
    done: watch::Receiver<bool>,
}

impl ScheduledKill<'_> {
    /// Waits until the trigger has fired and the process has ended.
    pub fn wait(self) {
        self.tier.expect_eventually("the trigger", || *self.done.borrow());
        self.tier.wait_for_exit(self.victim);
    }
}

/// What can be done to the links of a tier.
pub struct Links<'a>(&'a Tier);

impl Links<'_> {
    /// Sets what happens on the links between limiters that are not cut.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.0.stand_ins.relay.set_conditions(conditions);
    }

    /// Cuts the link from one limiter to another; the way back stays open.
    pub fn cut(&self, from: u32, to: u32) {
        self.0.stand_ins.relay.cut(from, to);
    }

    /// Cuts all links between groups of limiters.
    pub fn partition(&self, groups: &[&[u32]]) {
        self.0.stand_ins.relay.partition(groups);
    }

    /// Sets the state of a limiter's link to a service.
    pub fn set_service(&self, limiter: u32, service: Service, state: LinkState) {
        self.0.stand_ins.service_links[limiter as usize].to(service).set(state);
    }

    /// Opens all links again, those to services among them.
    pub fn restore(&self) {
        self.0.stand_ins.restore_links();
    }

    /// Datagrams between limiters so far, by what became of them.
    pub fn counts(&self) -> DatagramCounts {
        self.0.stand_ins.relay.counts()
    }
}
