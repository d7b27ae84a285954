//! Management of the limiters' processes: writes their configurations, and starts, stops and replaces them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicI32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use sedgestack_fleet::{platform, Fleet};

use super::stand_ins::StandIns;
use super::{Options, Service, Tier, POLL_INTERVAL, WAIT_LIMIT};
use crate::sync::locked;
use crate::{daemons, io, Failure};

/// The state of a limiter's store when the limiter is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// As the previous process left it.
    Intact,
    /// Deleted, as after a replacement of the machine.
    Missing,
    /// Truncated, as by a full or failing disk.
    Truncated,
}

/// A limiter of the tier. Its process can be replaced; the log covers all its processes.
pub(super) struct LimiterProcess {
    number: u32,
    pub(super) listen: SocketAddr,
    pub(super) admin: SocketAddr,
    /// Path of the platform's configuration file.
    config: PathBuf,
    /// Path of the settings file.
    settings: PathBuf,
    /// Path of the store.
    store: PathBuf,
    /// Lines of standard error.
    log: Arc<Mutex<Vec<String>>>,
    child: Mutex<Option<Child>>,
    pub(super) pid: ProcessId,
}

/// The id of the current process. Clones share the id, so a scheduled action reads the id that is current when its
/// trigger fires.
#[derive(Clone, Default)]
pub(super) struct ProcessId(Arc<AtomicI32>);

impl ProcessId {
    /// Returns the raw id, or 0 if there is no process.
    pub(super) fn raw(&self) -> i32 {
        self.0.load(Relaxed)
    }

    fn set(&self, pid: i32) {
        self.0.store(pid, Relaxed);
    }

    /// Sends a signal to the process, if there is one.
    pub(super) fn signal(&self, signal: Signal) {
        signal_process(self.raw(), signal);
    }
}

fn signal_process(pid: i32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid) {
        let _ = kill_process(pid, signal);
    }
}

impl LimiterProcess {
    /// Creates a limiter whose files are in `directory`. Writes and starts nothing.
    pub(super) fn new(
        directory: &Path,
        number: u32,
        listen: SocketAddr,
        admin: SocketAddr,
    ) -> LimiterProcess {
        let file = |extension: &str| directory.join(format!("n{number}.{extension}"));
        LimiterProcess {
            number,
            listen,
            admin,
            config: file("json"),
            settings: file("hcl"),
            store: file("redb"),
            log: Arc::default(),
            child: Mutex::new(None),
            pid: ProcessId::default(),
        }
    }

    fn name(&self) -> String {
        format!("n{}", self.number)
    }

    /// Writes the platform's configuration file and the settings file.
    pub(super) fn write_configuration(
        &self,
        fleet: &Fleet,
        options: &Options,
        stand_ins: &StandIns,
        peer_listen: SocketAddr,
    ) -> Result<(), Failure> {
        let mut settings = platform::settings_json(fleet, self.number);
        settings["caps"]["peerMessages"] = json!(true);
        let links = &stand_ins.service_links[self.number as usize];
        let peers = &stand_ins.relay.addresses[self.number as usize];
        let config = json!({
            "name": self.name(), "listen": self.listen.to_string(), "ops": self.admin.to_string(),
            "discovery": links.to(Service::Discovery).address.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "counter": links.to(Service::Counter).address.to_string(),
            "peer_listen": peer_listen.to_string(),
            "peers": peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "known": {"version": 1, "full": true, "servers": stand_ins.endpoints}, "settings": settings,
        });
        std::fs::write(&self.config, config.to_string()).map_err(io("configuration file"))?;
        std::fs::write(&self.settings, self.settings_text(options)).map_err(io("settings file"))
    }

    /// Returns the text of the settings file: the `tier` block, or nothing for a limiter without consensus.
    fn settings_text(&self, options: &Options) -> String {
        if options.tier_block.is_empty() {
            return String::new();
        }
        let store = if options.has_stores {
            format!("store = {:?}\n  ", self.store.display().to_string())
        } else {
            String::new()
        };
        let offset_ms = options.clock_offsets_ms.get(self.number as usize).copied().unwrap_or(0);
        format!("tier {{\n  {store}{}  clock_offset_ms = {offset_ms}\n}}\n", options.tier_block)
    }

    /// Puts the store into the given state before a restart.
    fn prepare_store(&self, state: StoreState) -> Result<(), Failure> {
        match state {
            StoreState::Intact => Ok(()),
            StoreState::Missing => {
                let _ = std::fs::remove_file(&self.store);
                Ok(())
            }
            StoreState::Truncated => {
                let bytes = std::fs::read(&self.store).map_err(io("store"))?;
                std::fs::write(&self.store, &bytes[..bytes.len() / 3]).map_err(io("store"))
            }
        }
    }

    /// Returns an error if the process has exited, which it must not do before it is ready.
    fn check_running(&self) -> Result<(), Failure> {
        let (reason, signal) = match locked(&self.child).as_mut().map(Child::try_wait) {
            Some(Ok(None)) => return Ok(()),
            Some(Ok(Some(status))) => (status.to_string(), status.signal()),
            Some(Err(error)) => (error.to_string(), None),
            None => ("no process".into(), None),
        };
        if signal == Some(Signal::KILL.as_raw()) {
            return Err(Failure::Killed { name: self.name() });
        }
        Err(Failure::DaemonEnded { name: self.name(), log: format!("{} | {reason}", self.joined_log()) })
    }

    fn joined_log(&self) -> String {
        locked(&self.log).join(" | ")
    }
}

impl Tier {
    fn command(&self, limiter: u32) -> Command {
        let process = self.process(limiter);
        let mut command = daemons::command(&self.daemon, &process.config);
        command.env("TMPDIR", self.directory.path()).arg("--settings").arg(&process.settings);
        command
    }

    /// Starts a process of a limiter and collects its log.
    pub(super) fn spawn(&self, limiter: u32) -> Result<(), Failure> {
        let process = self.process(limiter);
        let mut child = self.command(limiter).spawn().map_err(io(self.daemon.display().to_string()))?;
        let stderr = child.stderr.take().expect("standard error is piped");
        let log = process.log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                locked(&log).push(line);
            }
        });
        process.pid.set(child.id() as i32);
        *locked(&process.child) = Some(child);
        Ok(())
    }

    /// Waits until the health check at a limiter's admin endpoint succeeds.
    pub(super) fn wait_until_listening(&self, limiter: u32) -> Result<(), Failure> {
        let process = self.process(limiter);
        let deadline = Instant::now() + WAIT_LIMIT;
        while self.call(limiter, "GET", "health", "").is_none_or(|response| response.status != 200) {
            process.check_running()?;
            if Instant::now() > deadline {
                return Err(Failure::NotReady {
                    name: process.name(),
                    seconds: WAIT_LIMIT.as_secs(),
                    log: process.joined_log(),
                });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the lines that all processes of a limiter have logged.
    pub fn log(&self, limiter: u32) -> Vec<String> {
        locked(&self.process(limiter).log).clone()
    }

    /// Whether a limiter's process has exited or does not exist.
    pub fn has_exited(&self, limiter: u32) -> bool {
        let mut child = locked(&self.process(limiter).child);
        child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills a limiter's process by SIGKILL and waits until it has exited.
    pub fn kill(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::KILL);
        self.wait_for_exit(limiter);
    }

    /// Shuts a limiter's process down gracefully by SIGTERM and waits until it has exited.
    pub fn terminate(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::TERM);
        self.wait_for_exit(limiter);
    }

    /// Waits until a limiter's process, which was killed or told to shut down, has exited.
    pub(super) fn wait_for_exit(&self, limiter: u32) {
        let process = self.process(limiter);
        if let Some(mut child) = locked(&process.child).take() {
            let _ = child.wait();
        }
        process.pid.set(0);
    }

    /// Makes a limiter's process reload its configuration, by SIGHUP.
    pub fn reload(&self, limiter: u32) {
        self.process(limiter).pid.signal(Signal::HUP);
    }

    /// Waits until a limiter's process has exited, puts the store into the given state and starts a new process.
    ///
    /// # Errors
    /// If the new process does not become ready, or the store can't be changed.
    pub fn restart(&self, limiter: u32, store: StoreState) -> Result<(), Failure> {
        self.wait_for_exit(limiter);
        self.process(limiter).prepare_store(store)?;
        self.spawn(limiter)?;
        self.wait_until_listening(limiter)
    }

    /// Starts a second process of a running limiter and waits until the second process exits. Returns its exit code, or
    /// `None` if a signal ended it.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_second_process(&self, limiter: u32) -> Result<Option<i32>, Failure> {
        let child = self.command(limiter).spawn().map_err(io(self.daemon.display().to_string()))?;
        let output = child.wait_with_output().map_err(io("second process"))?;
        let mut log = locked(&self.process(limiter).log);
        log.extend(String::from_utf8_lossy(&output.stderr).lines().map(String::from));
        Ok(output.status.code())
    }

    /// Replaces a limiter's process by a handover: starts the new process beside the old one, then tells the old one to
    /// shut down.
    ///
    /// # Errors
    /// If the new process does not become ready.
    pub fn upgrade(&self, limiter: u32) -> Result<(), Failure> {
        let process = self.process(limiter);
        let old_child = locked(&process.child).take();
        let old_pid = process.pid.raw();
        self.spawn(limiter)?;
        self.expect_eventually("the new process waits for the handover", || {
            self.log(limiter).iter().any(|line| line.contains("hand-over: waits"))
        });
        signal_process(old_pid, Signal::TERM);
        if let Some(mut child) = old_child {
            let _ = child.wait();
        }
        self.wait_until_listening(limiter)
    }
}
