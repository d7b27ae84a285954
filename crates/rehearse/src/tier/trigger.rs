//! Actions triggered by specific datagrams, so that a fault hits the intended protocol step regardless of the machine's
//! speed.

use tokio::sync::watch;

/// Fires when a limiter sends its `nth` datagram of a kind, counted from when the action is scheduled.
#[derive(Clone, Copy, Debug)]
pub struct Trigger {
    /// The number of the sending limiter.
    pub from: u32,
    /// The kind of datagram, as [`sedgestack_consensus::datagram_kind`] returns it.
    pub kind: &'static str,
    /// Which matching datagram fires the trigger; 1 is the first.
    pub nth: u32,
}

/// An action, which the relay runs before it forwards the triggering datagram.
pub type Action = Box<dyn FnOnce() + Send>;

struct ScheduledAction {
    trigger: Trigger,
    /// Number of matching datagrams since the action was scheduled.
    matched: u32,
    /// `None` once the trigger has fired.
    action: Option<Action>,
    done: watch::Sender<bool>,
}

/// An action whose trigger has fired.
pub struct DueAction {
    action: Action,
    done: watch::Sender<bool>,
}

impl DueAction {
    /// Runs the action and notifies the receiver that [`Schedule::add`] returned.
    pub fn run(self) {
        (self.action)();
        self.done.send_replace(true);
    }
}

/// All scheduled actions.
#[derive(Default)]
pub struct Schedule(Vec<ScheduledAction>);

impl Schedule {
    /// Schedules an action. The returned receiver holds `true` once the action has run.
    pub fn add(&mut self, trigger: Trigger, action: Action) -> watch::Receiver<bool> {
        let (done, receiver) = watch::channel(false);
        self.0.push(ScheduledAction { trigger, matched: 0, action: Some(action), done });
        receiver
    }

    /// Counts a datagram and returns the actions that it triggers.
    pub fn take_due(&mut self, from: u32, kind: &str) -> Vec<DueAction> {
        let mut due = Vec::new();
        for scheduled in &mut self.0 {
            let trigger = scheduled.trigger;
            if trigger.from != from || trigger.kind != kind {
                continue;
            }
            scheduled.matched += 1;
            if scheduled.matched == trigger.nth {
                let done = scheduled.done.clone();
                due.extend(scheduled.action.take().map(|action| DueAction { action, done }));
            }
        }
        due
    }

    /// Cancels all actions whose triggers have not fired yet.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
