//! The configuration: the only code that reads the environment and the file that it names.

pub mod addresses;
pub mod settings;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sedgestack::platform::{Document, NameIndex, ResourceLimits, SettingError};
use sedgestack::Settings;
use serde::Deserialize;

use crate::net::config::addresses::Addresses;
use crate::net::control::cordons;
use crate::net::discovery::endpoints::{EndpointsChange, WireList};

/// Descriptors reserved for discovery, the quota counter, peers and the runtime. Client and backend connections do
/// not use them.
const RESERVED_SOCKETS: usize = 40;
/// Divisor of the other descriptors that gives the number for backend connections. Clients get the rest, because
/// requests share backend connections but not client connections.
const UPSTREAM_DIVISOR: usize = 4;
/// Minimum number of descriptors that the process can work with.
const MIN_SOCKETS: usize = 96;

const BYTES_PER_MIB: f64 = 1_048_576.0;
/// Minimum memory that the process can work with, in MiB.
const MIN_MEMORY_MB: f64 = 16.0;
/// Memory of a process whose configuration names none, in MiB: the least that the platform gives.
const DEFAULT_MEMORY_MB: f64 = 32.0;

/// Everything that the process is configured with at its start.
pub struct Config {
    /// The limiter's name.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators, if any.
    pub admin_listen: Option<SocketAddr>,
    /// File that stores the cordons, if there is an address for operators.
    pub cordon_file: Option<PathBuf>,
    pub addresses: Addresses,
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all limiters, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all limiters at once, if there is one.
    pub peer_broadcast: Option<SocketAddr>,
    pub seed: u64,
    pub max_downstream_connections: usize,
    /// Maximum number of connections to backends.
    pub upstream_sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Endpoints that are known before discovery answers.
    pub initial_endpoints: EndpointsChange,
    pub settings: Settings,
    pub names: NameIndex,
    pub limits: ResourceLimits,
}

/// Reason why the configuration could not be read. The message names the file, the key and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("configuration: LB_CONFIG is not set")]
    NoFile,
    #[error("configuration: LB_CONFIG: {path}: {source}", path = .path.display())]
    FileOfEnvironment { path: PathBuf, source: InvalidConfig },
    #[error("configuration: {path}: {source}", path = .path.display())]
    File { path: PathBuf, source: InvalidConfig },
}

/// What is wrong with a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    #[error("{key}: {error}", key = .0.path(), error = .0.inner())]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("{variable}: '{text}' is not an address")]
    NotAnAddress { variable: &'static str, text: String },
    #[error("{variable} is not set and key {key} is missing")]
    NoAddress { variable: &'static str, key: &'static str },
    #[error("seed: '{0}' is not a hex number")]
    Seed(String),
    #[error("limits.sockets: {0} is below the minimum of {MIN_SOCKETS}")]
    TooFewSockets(usize),
    #[error("limits.memory_mb: {0} is below the minimum of {MIN_MEMORY_MB}")]
    TooLittleMemory(f64),
    #[error("{0}")]
    Setting(#[from] SettingError),
    #[error("counter is missing, but settings.familyInfo.hasCounter is true")]
    NoCounter,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: MachineLimits,
    counter: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: WireList,
    settings: Document,
}

#[derive(Deserialize)]
#[serde(default)]
struct MachineLimits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits { sockets: 1024, memory_mb: DEFAULT_MEMORY_MB }
    }
}

/// Looks up an environment variable. Returns its value if it is set and not empty.
type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

fn read_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads the file that `LB_CONFIG` names. `LB_NAME`, `LB_LISTEN`, `LB_OPS` and `LB_DISCOVERY` override its keys. If
/// there is an address for operators, cordons are stored in `$TMPDIR`, or else in the system's directory for
/// temporary files.
///
/// # Errors
/// Returns an error that names the file and key at fault, and what was expected there.
pub fn read() -> Result<Config, ConfigError> {
    let path = PathBuf::from(read_variable("LB_CONFIG").ok_or(ConfigError::NoFile)?);
    decode_file(&path).map_err(|source| ConfigError::FileOfEnvironment { path, source })
}

/// Reads the configuration file at `path`. The environment overrides its keys, as in [`read`].
///
/// # Errors
/// The same as for [`read`].
pub fn read_file(path: &Path) -> Result<Config, ConfigError> {
    decode_file(path).map_err(|source| ConfigError::File { path: path.to_path_buf(), source })
}

/// Reads the configuration again and returns the addresses to use from now on. The whole file is checked, so an
/// invalid file changes nothing.
///
/// # Errors
/// The same as for [`read`].
pub fn read_addresses(now: Addresses) -> Result<Addresses, ConfigError> {
    Ok(now.after_reload(read()?.addresses))
}

fn decode_file(path: &Path) -> Result<Config, InvalidConfig> {
    decode(&std::fs::read_to_string(path)?, &read_variable)
}

fn decode(text: &str, environment: Environment<'_>) -> Result<Config, InvalidConfig> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut json)?;
    let seed = parse_seed(&file.seed)?;
    let sockets = SocketShares::from_limit(file.limits.sockets)?;
    if !file.limits.memory_mb.is_finite() || file.limits.memory_mb < MIN_MEMORY_MB {
        return Err(InvalidConfig::TooLittleMemory(file.limits.memory_mb));
    }
    let (settings, names, limits) = file.settings.decode()?;
    if settings.counter_timeout.is_some() && file.counter.is_none() {
        return Err(InvalidConfig::NoCounter);
    }
    let listen = read_address(environment, "LB_LISTEN", "listen", file.listen)?;
    let admin_listen = match environment("LB_OPS") {
        Some(_) => Some(read_address(environment, "LB_OPS", "ops", file.ops)?),
        None => file.ops,
    };
    let discovery = read_address(environment, "LB_DISCOVERY", "discovery", file.discovery)?;
    let temporary = environment("TMPDIR").map_or_else(std::env::temp_dir, PathBuf::from);
    Ok(Config {
        name: environment("LB_NAME").or(file.name).unwrap_or_else(|| "sedgestack".into()),
        listen,
        admin_listen,
        cordon_file: admin_listen.map(|_| cordons::path(&temporary, listen)),
        addresses: Addresses { discovery, counter: file.counter, discovery_in_file: file.discovery },
        peer_listen: file.peer_listen,
        peers: file.peers,
        peer_broadcast: file.peers_all,
        seed,
        max_downstream_connections: sockets.downstream,
        upstream_sockets: sockets.upstream,
        memory_bytes: (file.limits.memory_mb * BYTES_PER_MIB) as usize,
        initial_endpoints: file.known.into(),
        settings,
        names,
        limits,
    })
}

/// Returns an address from the environment, or else from the file.
fn read_address(
    environment: Environment<'_>,
    variable: &'static str,
    key: &'static str,
    in_file: Option<SocketAddr>,
) -> Result<SocketAddr, InvalidConfig> {
    match environment(variable) {
        Some(text) => text.parse().map_err(|_| InvalidConfig::NotAnAddress { variable, text }),
        None => in_file.ok_or(InvalidConfig::NoAddress { variable, key }),
    }
}

/// Parses a seed in hex. The default is the process id.
fn parse_seed(text: &str) -> Result<u64, InvalidConfig> {
    if text.is_empty() {
        return Ok(std::process::id().into());
    }
    u64::from_str_radix(text, 16).map_err(|_| InvalidConfig::Seed(text.to_string()))
}

/// How many descriptors downstream and upstream connections may use.
struct SocketShares {
    downstream: usize,
    upstream: usize,
}

impl SocketShares {
    fn from_limit(sockets: usize) -> Result<SocketShares, InvalidConfig> {
        if sockets < MIN_SOCKETS {
            return Err(InvalidConfig::TooFewSockets(sockets));
        }
        let shared = sockets - RESERVED_SOCKETS;
        let upstream = shared / UPSTREAM_DIVISOR;
        Ok(SocketShares { downstream: shared - upstream, upstream })
    }
}

/// Converts a time span of the settings to the runtime's type.
pub fn to_duration(micros: sedgestack::Micros) -> Duration {
    Duration::from_micros(micros)
}
