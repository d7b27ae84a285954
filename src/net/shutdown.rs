//! Signals: SIGTERM ends the program in order, SIGUSR1 prints the counters.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use super::metrics::COUNTERS;

/// Connections go on coming for up to this long after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(400);
/// The platform counts a longest deadline under this as this ...
const LEAST_LONGEST: Duration = Duration::from_secs(3);
/// ... and kills no sooner than this after it; what is left of it is for leaving.
const BEFORE_THE_KILL: Duration = Duration::from_millis(600);

/// How far the program is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Told to stop: answers all, and still accepts.
    Stopping,
    /// Accepts no more.
    Closing,
}

/// Follows the signals. Ends when the program must, even if requests are still open.
pub async fn follow(phase: watch::Sender<Phase>, longest_deadline: Duration) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut print = signal(SignalKind::user_defined1())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = print.recv() => eprintln!("{COUNTERS}"),
        }
    }
    let told = Instant::now();
    phase.send_replace(Phase::Stopping);
    sleep_until(told + STILL_COMING).await;
    phase.send_replace(Phase::Closing);
    sleep_until(told + longest_deadline.max(LEAST_LONGEST) + BEFORE_THE_KILL).await;
    Ok(())
}
