//! A limiter's process.

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

/// A limiter that is not ready, or has not given descriptors back, after this has failed.
pub const SETTLE_WITHIN: Duration = Duration::from_secs(10);
/// How often something is looked at again.
pub const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A limiter that runs.
pub struct Limiter {
    pub name: String,
    pub address: SocketAddr,
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
        let mut listening = keep_log(child.stderr.take().expect("it is piped"), log.clone());
        let address = timeout(SETTLE_WITHIN, listening.wait_for(Option::is_some)).await;
        let address = address.ok().and_then(Result::ok).and_then(|address| *address);
        let Some(address) = address else {
            return Err(Failure::DaemonEnded { name, log: locked(&log).join(" | ") });
        };
        let mut limiter = Limiter { name, address, descriptors_at_start: 0, child, log };
        limiter.wait_until_ready().await?;
        limiter.descriptors_at_start = limiter.descriptors();
        Ok(limiter)
    }

    /// Its watch on discovery is open by then.
    async fn wait_until_ready(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + SETTLE_WITHIN;
        while !daemons::is_ready(self.address).await {
            if Instant::now() > deadline {
                let (name, log) = (self.name.clone(), locked(&self.log).join(" | "));
                return Err(Failure::NotReady { name, seconds: SETTLE_WITHIN.as_secs(), log });
            }
            sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id().and_then(|pid| Pid::from_raw(pid as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it by SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.start_kill();
    }

    /// How it ended, if it has.
    pub fn ended_by_itself(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(format!("{} ended by itself: {status}", self.name))
    }

    /// The line of its log that tells of a panic.
    pub fn panic_line(&self) -> Option<String> {
        let log = locked(&self.log);
        let line = log.iter().find(|line| line.contains("panicked"))?;
        Some(format!("{}: {line}", self.name))
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        let folder = self.child.id().map(|pid| format!("/proc/{pid}/fd"));
        folder.and_then(|folder| std::fs::read_dir(folder).ok()).map_or(0, Iterator::count)
    }

    /// The most memory that it had resident, KB.
    pub fn peak_memory_kb(&self) -> u64 {
        let file = self.child.id().map(|pid| format!("/proc/{pid}/status"));
        let text = file.and_then(|file| std::fs::read_to_string(file).ok()).unwrap_or_default();
        let fields: HashMap<&str, &str> = text.lines().filter_map(|line| line.split_once(':')).collect();
        let peak = fields.get("VmHWM").and_then(|value| value.split_whitespace().next());
        peak.and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Keeps the lines of a log, and tells the address that it names.
fn keep_log(stderr: ChildStderr, log: Arc<Mutex<Vec<String>>>) -> watch::Receiver<Option<SocketAddr>> {
    let (tell, listening) = watch::channel(None);
    tokio::spawn(async move {
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some((_, address)) = line.split_once("front: listening on ") {
                tell.send_replace(address.trim().parse().ok());
            }
            locked(&log).push(line);
        }
    });
    listening
}
