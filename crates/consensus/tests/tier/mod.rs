//! Simulation of a tier of replicas in virtual time: datagrams are lost, delayed, duplicated and reordered, the network
//! is partitioned, replicas restart and clocks differ.
//!
//! Used by the tests and by the `mixing` example.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use sedgestack_consensus::{
    Digest, Micros, OutgoingDatagram, ProposeError, Replica, ReplicaEvent, ReplicaId, ReplicaStatus,
    Settings, Slot, Snapshot,
};

pub const MS: Micros = 1_000;
/// Time between two ticks of every replica.
pub const STEP: Micros = 5 * MS;
/// Share of datagrams that are sent twice.
const DUPLICATED: f64 = 0.02;
/// Virtual time at the start; not 0, so that clocks can be set back.
const START: Micros = 1_000_000_000;

pub fn settings(replica: ReplicaId, replicas: ReplicaId) -> Settings {
    Settings {
        replica,
        replicas,
        heartbeat_interval: 250 * MS,
        fanout: 2,
        // In large tiers it takes longer until the replicas hear of each other: observations are passed on by
        // heartbeats, each of which describes only some of the replicas.
        lease: match replicas {
            0..=50 => 3_000 * MS,
            51..=100 => 6_000 * MS,
            _ => 12_000 * MS,
        },
        max_clock_skew: 400 * MS,
        activation_delay: match replicas {
            0..=5 => 6_000 * MS,
            6..=10 => 15_000 * MS,
            11..=50 => 25_000 * MS,
            51..=100 => 60_000 * MS,
            _ => 180_000 * MS,
        },
        max_datagrams_per_second: 40,
    }
}

/// A datagram on its way, ordered by arrival and then by the order of sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Micros,
    sequence: u64,
    to: ReplicaId,
    bytes: Vec<u8>,
}

/// Measures how long replicas serve different versions.
#[derive(Default)]
struct MixedVersions {
    since: Option<Micros>,
    longest: Micros,
}

impl MixedVersions {
    fn record(&mut self, now: Micros, documents: &[Option<Digest>]) {
        let are_mixed = documents.windows(2).any(|pair| pair[0] != pair[1]);
        self.since = if are_mixed { self.since.or(Some(now)) } else { None };
        self.longest = self.longest.max(self.since.map_or(0, |since| now - since));
    }
}

pub struct Tier {
    now: Micros,
    /// The replicas by number; `None` for a replica that is down.
    pub replicas: Vec<Option<Replica>>,
    /// Offset of each replica's clock from the virtual time.
    pub clocks: Vec<i64>,
    rng: Xoshiro256PlusPlus,
    loss: f64,
    /// Partition of each replica. Replicas in different partitions cannot reach each other.
    pub partitions: Vec<u8>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    sequence: u64,
    /// Documents that have been active at any replica, by version.
    pub documents: BTreeMap<Slot, Digest>,
    mixed_current: MixedVersions,
    mixed_any: MixedVersions,
    /// Events that each replica has reported, including those before a restart.
    pub events: Vec<Vec<ReplicaEvent>>,
    received_this_second: Vec<u64>,
    /// Most datagrams that any replica has received within a second.
    pub busiest_second: u64,
    second: Micros,
    pub datagrams: DatagramDigest,
}

/// Digest of all sent datagrams in order, with the time, sender, receiver and bytes of each. It is 64-bit FNV-1a
/// (Fowler, Noll and Vo, 1991), because it must be the same in every release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramDigest {
    pub count: u64,
    pub hash: u64,
}

impl DatagramDigest {
    const EMPTY: DatagramDigest = DatagramDigest { count: 0, hash: 0xcbf2_9ce4_8422_2325 };

    pub fn absorb(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn record(&mut self, now: Micros, from: usize, to: ReplicaId, bytes: &[u8]) {
        self.count += 1;
        self.absorb(&now.to_le_bytes());
        self.absorb(&(from as u64).to_le_bytes());
        self.absorb(&to.to_le_bytes());
        self.absorb(bytes);
    }
}

impl Tier {
    pub fn new(replicas: ReplicaId, loss: f64, seed: u64) -> Tier {
        let replica = |number| {
            let replica_seed = seed * 1_000 + u64::from(number) + 1;
            Replica::new(settings(number, replicas), replica_seed, None, true)
                .expect("the settings are valid")
        };
        let count = usize::from(replicas);
        Tier {
            now: START,
            replicas: (0..replicas).map(|number| Some(replica(number))).collect(),
            clocks: vec![0; count],
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            loss,
            partitions: vec![0; count],
            in_flight: BinaryHeap::new(),
            sequence: 0,
            documents: BTreeMap::new(),
            mixed_current: MixedVersions::default(),
            mixed_any: MixedVersions::default(),
            events: vec![Vec::new(); count],
            received_this_second: vec![0; count],
            busiest_second: 0,
            second: START,
            datagrams: DatagramDigest::EMPTY,
        }
    }

    /// Returns the time on a replica's clock.
    pub fn clock(&self, replica: usize) -> Micros {
        self.now.saturating_add_signed(self.clocks[replica])
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for number in 0..self.replicas.len() {
            let clock = self.clock(number);
            let Some(replica) = &mut self.replicas[number] else { continue };
            let outgoing = replica.tick(clock);
            let events = replica.take_events();
            self.events[number].extend(events);
            for datagram in outgoing {
                self.transmit(number, &datagram);
            }
        }
        self.count_received();
        self.check();
    }

    /// Delivers the datagrams that have arrived.
    fn deliver(&mut self) {
        while self.in_flight.peek().is_some_and(|Reverse(next)| next.arrives_at <= self.now) {
            let Some(Reverse(InFlight { to, bytes, .. })) = self.in_flight.pop() else { break };
            let to = usize::from(to);
            let clock = self.clock(to);
            if let Some(replica) = &mut self.replicas[to] {
                self.received_this_second[to] += 1;
                replica.receive(clock, &bytes).expect("the datagram is valid");
            }
        }
    }

    /// Sends a datagram once or twice; each copy is lost or arrives after a random delay.
    fn transmit(&mut self, from: usize, datagram: &OutgoingDatagram) {
        assert!(datagram.bytes.len() <= 256);
        self.datagrams.record(self.now, from, datagram.to, &datagram.bytes);
        let is_partitioned = self.partitions[from] != self.partitions[usize::from(datagram.to)];
        let copies = if self.rng.random::<f64>() < DUPLICATED { 2 } else { 1 };
        for _ in 0..copies {
            let is_lost = self.rng.random::<f64>() < self.loss;
            let delay = self.rng.random_range(3 * MS..24 * MS);
            if !is_partitioned && !is_lost {
                self.sequence += 1;
                self.in_flight.push(Reverse(InFlight {
                    arrives_at: self.now + delay,
                    sequence: self.sequence,
                    to: datagram.to,
                    bytes: datagram.bytes.clone(),
                }));
            }
        }
    }

    fn count_received(&mut self) {
        if self.now >= self.second + 1_000 * MS {
            self.second = self.now;
            let most = self.received_this_second.iter().copied().max().unwrap_or(0);
            self.busiest_second = self.busiest_second.max(most);
            self.received_this_second.fill(0);
        }
    }

    /// Checks that all replicas agree on the document of each version, and measures how long they serve different ones.
    fn check(&mut self) {
        let mut current = Vec::new();
        let mut any = Vec::new();
        for replica in self.replicas.iter().flatten() {
            let (slot, document) = replica.active_version();
            let digest = document.map(Digest::of);
            if let Some(digest) = digest {
                // A void version keeps the document of the version before it.
                let (decided, value) = replica.decided();
                if decided == slot {
                    assert_eq!(value.active_document(), Some(digest));
                    assert_eq!(*self.documents.entry(slot).or_insert(digest), digest, "version {slot}");
                }
            }
            any.push(digest);
            if replica.status() == ReplicaStatus::Current {
                current.push(digest);
            }
        }
        self.mixed_current.record(self.now, &current);
        self.mixed_any.record(self.now, &any);
    }

    /// Returns the longest time during which two replicas with status current served different versions.
    pub fn longest_mixed_current(&self) -> Micros {
        self.mixed_current.longest
    }

    /// Returns the longest time during which two running replicas of any status served different versions.
    pub fn longest_mixed(&self) -> Micros {
        self.mixed_any.longest
    }

    /// Advances the virtual time by `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis * MS;
        while self.now < until {
            self.step();
        }
    }

    /// Proposes a change at a replica, based on the latest version that the replica knows to be decided.
    pub fn propose(&mut self, replica: usize, document: &[u8]) -> Result<Slot, ProposeError> {
        let clock = self.clock(replica);
        let replica = self.replicas[replica].as_mut().expect("the replica is running");
        let (parent, _) = replica.decided();
        replica.propose(clock, document.to_vec(), parent)
    }

    /// Returns the active version of each running replica.
    pub fn active_versions(&self) -> Vec<Slot> {
        self.replicas.iter().flatten().map(|replica| replica.active_version().0).collect()
    }

    /// Returns the digest of a replica's active document.
    pub fn active_document(&self, replica: usize) -> Option<Digest> {
        self.replicas[replica].as_ref().and_then(|replica| replica.active_version().1).map(Digest::of)
    }

    /// Stops a replica and returns its snapshot.
    pub fn kill(&mut self, replica: usize) -> Option<Snapshot> {
        self.replicas[replica].take().map(|replica| replica.snapshot())
    }

    /// Starts a replica that was stopped; without a snapshot it has lost its votes.
    pub fn restart(&mut self, replica: usize, snapshot: Option<Snapshot>) {
        let seed = self.rng.random();
        let settings = settings(replica as ReplicaId, self.replicas.len() as ReplicaId);
        let restarted = Replica::new(settings, seed, snapshot, false).expect("the settings are valid");
        self.replicas[replica] = Some(restarted);
    }
}
