//! A limiter process under test.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::sync::locked;
use crate::{daemons, io, Failure};

/// Maximum time for a limiter to become ready, and to close the descriptors that a load opened.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which readiness and open descriptors are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running limiter.
pub struct Limiter {
    pub name: String,
    pub address: SocketAddr,
    /// Number of open descriptors once the limiter was ready.
    pub descriptors_at_start: usize,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Limiter {
    /// Starts a limiter and waits until it is ready.
    pub async fn start(name: String, binary: &Path, config: &Path) -> Result<Limiter, Failure> {
        let mut command = Command::from(daemons::command(binary, config));
        command.kill_on_drop(true);
        let mut child = command.spawn().map_err(io(format!("{}", binary.display())))?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let mut listening = follow_log(child.stderr.take().expect("stderr is piped"), log.clone());
        let address = timeout(SETTLE_TIMEOUT, listening.wait_for(Option::is_some)).await;
        let address = address.ok().and_then(Result::ok).and_then(|address| *address);
        let Some(address) = address else {
            return Err(Failure::DaemonEnded { name, log: locked(&log).join(" | ") });
        };
        let mut limiter = Limiter { name, address, descriptors_at_start: 0, child, log };
        limiter.wait_until_ready().await?;
        limiter.descriptors_at_start = limiter.descriptors();
        Ok(limiter)
    }

    /// Waits until the limiter reports that it is ready; its watch on discovery is then open.
    async fn wait_until_ready(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while !daemons::is_ready(self.address).await {
            if Instant::now() > deadline {
                let (name, log) = (self.name.clone(), locked(&self.log).join(" | "));
                return Err(Failure::NotReady { name, seconds: SETTLE_TIMEOUT.as_secs(), log });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the process id while the process runs.
    pub fn pid(&self) -> Option<Pid> {
        self.child.id().and_then(|pid| Pid::from_raw(pid as i32))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.start_kill();
    }

    /// Returns how the process ended, if it is no longer running.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(format!("{} exited unexpectedly: {status}", self.name))
    }

    /// Returns the first log line that reports a panic.
    pub fn panic_line(&self) -> Option<String> {
        let log = locked(&self.log);
        let line = log.iter().find(|line| line.contains("panicked"))?;
        Some(format!("{}: {line}", self.name))
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let directory = self.child.id().map(|pid| format!("/proc/{pid}/fd"));
        directory.and_then(|directory| std::fs::read_dir(directory).ok()).map_or(0, Iterator::count)
    }

    /// Returns the peak resident memory, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        let file = self.child.id().map(|pid| format!("/proc/{pid}/status"));
        let text = file.and_then(|file| std::fs::read_to_string(file).ok()).unwrap_or_default();
        let fields: HashMap<&str, &str> = text.lines().filter_map(|line| line.split_once(':')).collect();
        let peak = fields.get("VmHWM").and_then(|value| value.split_whitespace().next());
        peak.and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Appends the lines of a process's stderr to `log`. The returned channel carries the listen address once it is logged.
fn follow_log(stderr: ChildStderr, log: Arc<Mutex<Vec<String>>>) -> watch::Receiver<Option<SocketAddr>> {
    let (address_sender, listening) = watch::channel(None);
    tokio::spawn(async move {
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some((_, address)) = line.split_once("front: listening on ") {
                address_sender.send_replace(address.trim().parse().ok());
            }
            locked(&log).push(line);
        }
    });
    listening
}
