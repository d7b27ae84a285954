//! Runs tiers of real limiters with injected faults. Each limiter is a process, and a relay forwards every datagram
//! between limiters.
//!
//! A fault can be triggered by a protocol event, such as the first accept that limiter 2 sends, so that it hits the
//! intended protocol step regardless of the machine's speed. [`invariants`] decides from the recorded answers whether a
//! run was correct.

mod admin;
mod cluster;
mod documents;
mod fault_injection;
mod http_client;
pub mod invariants;
mod load;
mod network_conditions;
mod observation;
mod options;
mod relay;
pub mod service_links;
mod stand_ins;
pub mod timeline;
mod trigger;

use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::Duration;

use tempfile::TempDir;
use tokio::runtime::Runtime;

use sedgestack_fleet::Fleet;

use crate::{io, Failure};
pub use admin::{AdminResponse, ChangeError};
pub use cluster::StoreState;
pub use fault_injection::{Links, ScheduledKill};
pub use load::PendingRequest;
pub use network_conditions::{DatagramCounts, NetworkConditions};
pub use observation::ResourceUse;
pub use options::{Options, CANARY_SETTINGS, QUICK_SETTINGS};
pub use service_links::Service;
pub use trigger::Trigger;

use cluster::LimiterProcess;
use load::{Customers, LoadThreads};
use stand_ins::StandIns;

/// Maximum time to wait for a condition or for a limiter to become ready.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Port for client requests. Each limiter has its own address, so all limiters use the same ports.
const LISTEN_PORT: u16 = 5000;
/// Port for datagrams from peers.
const PEER_PORT: u16 = 7946;
/// Port of the admin endpoint.
const ADMIN_PORT: u16 = 9901;

/// A running tier. Dropping it stops the load and kills the limiters.
pub struct Tier {
    limiters: Vec<LimiterProcess>,
    stand_ins: StandIns,
    /// Path of the daemon's binary.
    daemon: PathBuf,
    fleet: Fleet,
    customers: Customers,
    load: Mutex<Option<LoadThreads>>,
    /// Directory of the limiters' configurations, settings and stores.
    directory: TempDir,
    _runtime: Runtime,
}

impl Tier {
    /// Starts a tier and waits until all its limiters listen. They have no active version before [`Tier::adopt`].
    ///
    /// # Errors
    /// If a socket or file operation fails, or a limiter does not start.
    pub fn start(fleet: &Fleet, options: Options) -> Result<Tier, Failure> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Relaxed) % 256;
        let mut fleet = fleet.clone();
        fleet.zones.iter_mut().for_each(|zone| zone.limiters = 0);
        fleet.zones[0].limiters = options.limiters;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(io("runtime"))?;
        let peers: Vec<SocketAddr> =
            (0..options.limiters).map(|limiter| address(number, limiter, PEER_PORT)).collect();
        let stand_ins = runtime.block_on(StandIns::start(&fleet, &options, &peers))?;
        let directory = TempDir::with_prefix("sedgestack-tier-").map_err(io("temporary directory"))?;
        let limiters: Result<Vec<LimiterProcess>, Failure> = (0..options.limiters)
            .map(|limiter| {
                let listen = address(number, limiter, LISTEN_PORT);
                let admin = address(number, limiter, ADMIN_PORT);
                let process = LimiterProcess::new(directory.path(), limiter, listen, admin);
                process.write_configuration(&fleet, &options, &stand_ins, peers[limiter as usize])?;
                Ok(process)
            })
            .collect();
        let tier = Tier {
            limiters: limiters?,
            stand_ins,
            daemon: options.daemon,
            customers: Customers::new(fleet.clone(), options.customers),
            fleet,
            load: Mutex::new(None),
            directory,
            _runtime: runtime,
        };
        for limiter in tier.limiter_numbers() {
            tier.spawn(limiter)?;
        }
        for limiter in tier.limiter_numbers() {
            tier.wait_until_listening(limiter)?;
        }
        Ok(tier)
    }

    fn limiter_numbers(&self) -> Range<u32> {
        0..self.limiters.len() as u32
    }

    fn process(&self, limiter: u32) -> &LimiterProcess {
        &self.limiters[limiter as usize]
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.stop_load();
        for limiter in self.limiter_numbers() {
            self.kill(limiter);
        }
    }
}

/// Returns a loopback address that is derived from this process's id, the tier and the limiter. Tiers that run at the
/// same time on one machine thus use different addresses.
fn address(tier: u32, limiter: u32, port: u16) -> SocketAddr {
    let process = std::process::id();
    let host = [127, 64 + (process & 63) as u8, tier as u8, (1 + (process >> 6 & 15) * 15 + limiter) as u8];
    (host, port).into()
}
