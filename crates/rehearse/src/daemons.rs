//! Real daemons: started with a configuration of their own, watched until they are ready, ended by SIGTERM.

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
use crate::{io, DaemonUse, Failure, Rehearsal};

/// A daemon that is not ready, or not gone, after this has failed.
const READY_WITHIN: Duration = Duration::from_secs(10);
const GONE_WITHIN: Duration = Duration::from_secs(20);
/// Readiness is asked for this often.
const ASK_EVERY: Duration = Duration::from_millis(20);
/// Lines kept of a log, from its end.
const LINES_KEPT: usize = 200;
/// Key of the captures that rehearsals leave: their customers are made up, so nothing is hidden by it.
const SECRET: &str = "73656467657374616b2d726568656172";

struct Daemon {
    name: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    address: watch::Receiver<Option<SocketAddr>>,
    /// CPU seconds that its start took.
    started: f64,
    /// The capture that it is to leave.
    capture: Option<PathBuf>,
}

/// All daemons of a rehearsal.
pub struct Daemons {
    pub addresses: Vec<SocketAddr>,
    daemons: Vec<Daemon>,
    _folder: TempDir,
}

impl Daemons {
    /// Starts a daemon for each limiter and waits until all are ready.
    pub async fn start(
        rehearsal: &Rehearsal<'_>,
        backends: &Backends,
        counter: SocketAddr,
        discovery: &Discovery,
    ) -> Result<Daemons, Failure> {
        let folder = TempDir::with_prefix("sedgestack-rehearsal-").map_err(io("a folder"))?;
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
            let file = folder.path().join(format!("{name}.json"));
            std::fs::write(&file, config.to_string()).map_err(io("a configuration"))?;
            let mut command = Command::from(command(&rehearsal.daemon, &file));
            let capture = rehearsal.captures.as_ref().and_then(|c| c.of(number));
            if let Some(capture) = &capture {
                let settings = folder.path().join(format!("{name}.hcl"));
                std::fs::write(&settings, capture_settings(capture)).map_err(io("settings"))?;
                command.arg("--settings").arg(settings);
            }
            command.kill_on_drop(true);
            daemons.push(start(name, command, &rehearsal.daemon, capture)?);
        }
        let mut addresses = Vec::new();
        for daemon in &mut daemons {
            addresses.push(daemon.ready().await?);
        }
        Ok(Daemons { addresses, daemons, _folder: folder })
    }

    /// Ends all daemons in order and tells what they used.
    pub async fn stop(self) -> Result<Vec<DaemonUse>, Failure> {
        let mut used = Vec::new();
        for daemon in &self.daemons {
            let pid = daemon.child.id().unwrap_or(0);
            used.push((cpu(pid).unwrap_or(0.0) - daemon.started, peak_mb(pid).unwrap_or(0.0)));
            if let Some(pid) = rustix::process::Pid::from_raw(pid as i32) {
                let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            }
        }
        let mut told = Vec::new();
        for (mut daemon, (cpu_s, peak_mb)) in self.daemons.into_iter().zip(used) {
            let gone = timeout_at(Instant::now() + GONE_WITHIN, daemon.child.wait()).await;
            if gone.is_err() {
                let _ = daemon.child.kill().await;
            }
            let taken = daemon.counter("taken").await;
            if daemon.capture.as_ref().is_some_and(|file| !file.is_file()) {
                return Err(Failure::NoCapture { name: daemon.name.clone(), log: daemon.log() });
            }
            let cpu_us_per_request = if taken > 0 { cpu_s * 1e6 / taken as f64 } else { 0.0 };
            told.push(DaemonUse { name: daemon.name, cpu_s, peak_mb, taken, cpu_us_per_request });
        }
        Ok(told)
    }
}

/// The daemon on a configuration, without the environment of whoever rehearses; its log is piped.
pub fn command(binary: &Path, config: &Path) -> std::process::Command {
    let mut command = std::process::Command::new(binary);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS"] {
        command.env_remove(variable);
    }
    command.env("LB_CONFIG", config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

fn capture_settings(file: &Path) -> String {
    let file = file.display().to_string().replace('\\', "\\\\").replace('"', "\\\"");
    format!("capture {{\n  file = \"{file}\"\n  key = \"{SECRET}\"\n  queue = 8192\n}}\n")
}

fn start(
    name: String,
    mut command: Command,
    binary: &Path,
    capture: Option<PathBuf>,
) -> Result<Daemon, Failure> {
    let mut child = command.spawn().map_err(io(format!("{}", binary.display())))?;
    let stderr = child.stderr.take().expect("it is piped");
    let log = Arc::new(Mutex::new(Vec::new()));
    let (tell, address) = watch::channel(None);
    let kept = log.clone();
    tokio::spawn(async move {
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some((_, listening)) = line.split_once("listening on ") {
                tell.send_replace(listening.trim().parse().ok());
            }
            let mut kept = locked(&kept);
            if kept.len() >= LINES_KEPT {
                kept.remove(0);
            }
            kept.push(line);
        }
    });
    Ok(Daemon { name, child, log, address, started: 0.0, capture })
}

impl Daemon {
    fn log(&self) -> String {
        locked(&self.log).join(" | ")
    }

    /// Waits until it listens and says that it is ready.
    async fn ready(&mut self) -> Result<SocketAddr, Failure> {
        let deadline = Instant::now() + READY_WITHIN;
        // Copied out at once: what the watch lends would hold on to the daemon.
        let address = match timeout_at(deadline, self.address.wait_for(Option::is_some)).await {
            Ok(Ok(address)) => Ok(*address),
            Ok(Err(_)) => Err(()),
            Err(_) => Ok(None),
        };
        let Ok(address) = address else {
            return Err(Failure::DaemonEnded { name: self.name.clone(), log: self.log() });
        };
        if let Some(address) = address {
            while Instant::now() < deadline {
                if is_ready(address).await {
                    self.started = self.child.id().and_then(cpu).unwrap_or(0.0);
                    return Ok(address);
                }
                sleep(ASK_EVERY).await;
            }
        }
        let seconds = READY_WITHIN.as_secs();
        Err(Failure::NotReady { name: self.name.clone(), seconds, log: self.log() })
    }

    /// A counter that it printed at its end; its log is read to the end by then, or soon.
    async fn counter(&self, name: &str) -> u64 {
        let mark = format!(" {name}=");
        let deadline = Instant::now() + GONE_WITHIN;
        while Instant::now() < deadline {
            let found = {
                let log = locked(&self.log);
                log.iter().rev().find(|l| l.starts_with("counters:")).cloned()
            };
            if let Some(line) = found {
                let value = line.split_once(&mark).and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
                return value.unwrap_or(0);
            }
            sleep(ASK_EVERY).await;
        }
        0
    }
}

/// Whether the limiter at `address` says that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    ask_ready(address).await.unwrap_or(false)
}

async fn ask_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: limiter\r\nConnection: close\r\n\r\n").await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}

/// CPU seconds of a process so far.
fn cpu(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold spaces; the figures follow its closing bracket.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(ticks as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// Most memory that a process had resident, MB.
fn peak_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches("kB").trim().parse::<f64>().ok().map(|kb| kb / 1024.0)
}
