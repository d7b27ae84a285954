//! Daemon processes: each is started with its own configuration, awaited until it is ready, and stopped by SIGTERM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout_at, Instant};

use sedgestack_fleet::platform;
use sedgestack_model::streams::mix_bits;

use crate::backends::Backends;
use crate::discovery::Discovery;
use crate::sync::locked;
use crate::{io, DaemonUsage, Failure, Rehearsal};

/// Maximum time for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a daemon to exit after SIGTERM, and for its counters to appear in the log.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness and the log are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of log lines kept, the newest ones.
const MAX_LOG_LINES: usize = 200;
/// Key that pseudonymizes customers in captures. It need not be secret, as the customers of a rehearsal are generated.
const CAPTURE_KEY: &str = "73656467657374616b2d726568656172";

struct Daemon {
    name: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// The listen address, once the daemon has logged it.
    address: watch::Receiver<Option<SocketAddr>>,
    /// CPU time used until the daemon was ready, in seconds.
    startup_cpu_s: f64,
    /// Path of the capture that the daemon should record.
    capture: Option<PathBuf>,
}

/// All daemons of a rehearsal.
pub struct Daemons {
    /// The listen address of each daemon.
    pub addresses: Vec<SocketAddr>,
    daemons: Vec<Daemon>,
    _directory: TempDir,
}

impl Daemons {
    /// Starts a daemon for each limiter and waits until all are ready.
    pub async fn start(
        rehearsal: &Rehearsal<'_>,
        backends: &Backends,
        counter: SocketAddr,
        discovery: &Discovery,
    ) -> Result<Daemons, Failure> {
        let directory = TempDir::with_prefix("sedgestack-rehearsal-").map_err(io("temporary directory"))?;
        let fleet = rehearsal.fleet;
        let mut daemons = Vec::new();
        for number in 0..fleet.limiter_count() {
            let name = format!("n{number}");
            let config = json!({
                "name": name, "listen": "127.0.0.1:0",
                "discovery": discovery.addresses[number as usize].to_string(),
                "seed": format!("{:016x}", mix_bits(rehearsal.seed ^ mix_bits(u64::from(number)))),
                "limits": {"cores": fleet.limiter.cores, "memory_mb": fleet.limiter.memory_mb,
                           "sockets": fleet.limiter.sockets},
                "counter": counter.to_string(),
                "known": {"version": 1, "full": true, "servers": backends.endpoints()},
                "settings": platform::settings_json(fleet, number),
            });
            let file = directory.path().join(format!("{name}.json"));
            std::fs::write(&file, config.to_string()).map_err(io("configuration file"))?;
            let mut command = Command::from(command(&rehearsal.daemon, &file));
            let capture = rehearsal.captures.as_ref().and_then(|captures| captures.path_for(number));
            if let Some(capture) = &capture {
                let settings = directory.path().join(format!("{name}.hcl"));
                std::fs::write(&settings, capture_settings(capture)).map_err(io("settings file"))?;
                command.arg("--settings").arg(settings);
            }
            command.kill_on_drop(true);
            daemons.push(start(name, command, &rehearsal.daemon, capture)?);
        }
        let mut addresses = Vec::new();
        for daemon in &mut daemons {
            addresses.push(daemon.wait_until_ready().await?);
        }
        Ok(Daemons { addresses, daemons, _directory: directory })
    }

    /// Stops all daemons gracefully and returns the resources that they used.
    pub async fn stop(self) -> Result<Vec<DaemonUsage>, Failure> {
        let mut resources = Vec::new();
        for daemon in &self.daemons {
            let pid = daemon.child.id().unwrap_or(0);
            resources
                .push((cpu_seconds(pid).unwrap_or(0.0) - daemon.startup_cpu_s, peak_mb(pid).unwrap_or(0.0)));
            if let Some(pid) = rustix::process::Pid::from_raw(pid as i32) {
                let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            }
        }
        let mut usages = Vec::new();
        for (mut daemon, (cpu_s, peak_mb)) in self.daemons.into_iter().zip(resources) {
            let exited = timeout_at(Instant::now() + EXIT_TIMEOUT, daemon.child.wait()).await;
            if exited.is_err() {
                let _ = daemon.child.kill().await;
            }
            let taken = daemon.logged_counter("taken").await;
            if daemon.capture.as_ref().is_some_and(|path| !path.is_file()) {
                return Err(Failure::NoCapture { name: daemon.name.clone(), log: daemon.joined_log() });
            }
            let cpu_us_per_request = if taken > 0 { cpu_s * 1e6 / taken as f64 } else { 0.0 };
            usages.push(DaemonUsage { name: daemon.name, cpu_s, peak_mb, taken, cpu_us_per_request });
        }
        Ok(usages)
    }
}

/// Returns the command that starts a daemon with a configuration file and its log piped. The daemon's settings in the
/// current environment are removed.
pub fn command(binary: &Path, config: &Path) -> std::process::Command {
    let mut command = std::process::Command::new(binary);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS"] {
        command.env_remove(variable);
    }
    command.env("LB_CONFIG", config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Settings that make a daemon record a capture.
fn capture_settings(file: &Path) -> String {
    let file = file.display().to_string().replace('\\', "\\\\").replace('"', "\\\"");
    format!("capture {{\n  file = \"{file}\"\n  key = \"{CAPTURE_KEY}\"\n  queue = 8192\n}}\n")
}

/// Starts a daemon's process and follows its log.
fn start(
    name: String,
    mut command: Command,
    binary: &Path,
    capture: Option<PathBuf>,
) -> Result<Daemon, Failure> {
    let mut child = command.spawn().map_err(io(format!("{}", binary.display())))?;
    let stderr = child.stderr.take().expect("stderr is piped");
    let log = Arc::new(Mutex::new(Vec::new()));
    let (address_sender, address) = watch::channel(None);
    let shared_log = log.clone();
    tokio::spawn(async move {
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some((_, address)) = line.split_once("listening on ") {
                address_sender.send_replace(address.trim().parse().ok());
            }
            let mut log = locked(&shared_log);
            if log.len() >= MAX_LOG_LINES {
                log.remove(0);
            }
            log.push(line);
        }
    });
    Ok(Daemon { name, child, log, address, startup_cpu_s: 0.0, capture })
}

impl Daemon {
    fn joined_log(&self) -> String {
        locked(&self.log).join(" | ")
    }

    /// Waits until the daemon listens and reports that it is ready. Returns its listen address.
    async fn wait_until_ready(&mut self) -> Result<SocketAddr, Failure> {
        let deadline = Instant::now() + READY_TIMEOUT;
        // Copies the address at once: the reference from `wait_for` would keep `self.address` borrowed.
        let address = match timeout_at(deadline, self.address.wait_for(Option::is_some)).await {
            Ok(Ok(address)) => Ok(*address),
            Ok(Err(_)) => Err(()),
            Err(_) => Ok(None),
        };
        let Ok(address) = address else {
            return Err(Failure::DaemonEnded { name: self.name.clone(), log: self.joined_log() });
        };
        if let Some(address) = address {
            while Instant::now() < deadline {
                if is_ready(address).await {
                    self.startup_cpu_s = self.child.id().and_then(cpu_seconds).unwrap_or(0.0);
                    return Ok(address);
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        let seconds = READY_TIMEOUT.as_secs();
        Err(Failure::NotReady { name: self.name.clone(), seconds, log: self.joined_log() })
    }

    /// Returns a counter that the daemon logged at its exit. Waits for the line, as the log may be read after the exit.
    async fn logged_counter(&self, name: &str) -> u64 {
        let prefix = format!(" {name}=");
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            let line = {
                let log = locked(&self.log);
                log.iter().rev().find(|l| l.starts_with("counters:")).cloned()
            };
            if let Some(line) = line {
                let value =
                    line.split_once(&prefix).and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
                return value.unwrap_or(0);
            }
            sleep(POLL_INTERVAL).await;
        }
        0
    }
}

/// Whether the limiter at `address` responds that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    fetch_ready(address).await.unwrap_or(false)
}

async fn fetch_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: limiter\r\nConnection: close\r\n\r\n").await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response.starts_with("HTTP/1.1 200"))
}

/// CPU time that a process has used, in seconds.
fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name may contain spaces; the other fields follow its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(ticks as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// Peak resident memory of a process, in MB.
fn peak_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches("kB").trim().parse::<f64>().ok().map(|kb| kb / 1024.0)
}
