//! A tier of three limiters that agree on versions of their runtime configuration, the network between them, an operator,
//! and clients. Used by the cases on the tier.
#![allow(dead_code)]

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::standins::*;

pub const LIMITERS: usize = 3;
/// Time within which something that has to happen must have happened, or the case could not run.
const PATIENCE: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{
"caps": {"cancel": true, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "keepaliveMs": 30000.0,
 "maxAttempts": 4, "maxOpen": 20000, "maxRetryAfterMs": 500.0, "peerMessages": true, "probes": true, "retryAfter": true,
 "secondCopies": true, "streamsPerConn": 100},
"clientHabits": {"marksRetry": false}, "discovery": "push", "failureDomains": ["room-a", "room-b", "room-c"],
"familyInfo": {"costAfter": false, "countWaitMs": 30.0, "counterPrice": 0.02, "hasCounter": true, "mailPerS": 40.0,
 "meteringMs": 0.0, "mostUnits": 4},
"granularityMs": 4.0, "locality": "room-a", "machineTypes": ["small-2c"], "nInstances": 3, "selfIndex": SELF,
"plans": [{"beyondEarns": 0.0, "capRate": 0.0, "hardBurst": 0.0, "mostAtOnce": 31.0, "name": "faculdade", "open": 0,
 "overrunCost": 0.5, "rate": 7.2, "tolerance": 0.0, "valueFactor": 1.3},
 {"beyondEarns": 0.0, "capRate": 0.0, "hardBurst": 0.0, "mostAtOnce": 37.0, "name": "universidade", "open": 0,
 "overrunCost": 0.6, "rate": 17.0, "tolerance": 0.0, "valueFactor": 1.6}],
"profiles": [{"credit": 1.0, "deadlineMs": 3000.0, "goalTimeMs": 800.0, "keyScope": "all", "lateValue": 0.0,
 "name": "report-read", "repeat": "safe", "stream": false, "windowMs": 5000.0}],
"report": {"columns": ["util", "latency_ms"], "source": "piggyback"},
"rules": {"askEveryMs": 10000.0, "coldFrom": 0.23, "coldMs": 15000.0, "fallMs": 2000.0, "fallMultiple": 4.0,
 "graceToAnswerMs": 16.0, "stopSendingWithinMs": 250.0},
"tier": 0, "tiers": ["report-workers"], "weightSource": "nominal", "workload": "gate"}"#;

/// The network between the limiters: each datagram passes through it, unless its link is cut.
pub struct Network {
    /// By sender and receiver: the socket to which the sender sends, and from which the receiver's datagrams come.
    sockets: Vec<Vec<Option<UdpSocket>>>,
    listen: Vec<SocketAddr>,
    cut: Mutex<HashSet<(usize, usize)>>,
    /// The link on which the next heartbeat is to be late.
    pub delays_next: Mutex<Option<(usize, usize)>>,
    pub late: Mutex<Option<Vec<u8>>>,
}

/// Whether a datagram is a heartbeat: behind the head of six bytes stand the sender, its time and the kind.
fn is_heartbeat(bytes: &[u8]) -> bool {
    let mut rest = bytes.get(6..).unwrap_or_default().iter();
    for _ in 0..2 {
        while rest.next().is_some_and(|byte| byte & 0x80 != 0) {}
    }
    bytes.first() == Some(&0xa7) && rest.next() == Some(&0)
}

impl Network {
    pub fn start() -> Arc<Network> {
        let socket = || UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
        let listen = (0..LIMITERS).map(|_| socket().local_addr().expect("it is bound")).collect();
        let row = |from| (0..LIMITERS).map(|to| (from != to).then(socket)).collect();
        let network = Arc::new(Network {
            sockets: (0..LIMITERS).map(row).collect(),
            listen,
            cut: Mutex::default(),
            delays_next: Mutex::default(),
            late: Mutex::default(),
        });
        for from in 0..LIMITERS {
            for to in (0..LIMITERS).filter(|to| *to != from) {
                let network = network.clone();
                thread::spawn(move || network.forward(from, to));
            }
        }
        network
    }

    fn socket(&self, from: usize, to: usize) -> &UdpSocket {
        self.sockets[from][to].as_ref().expect("there is a link between any two")
    }

    /// Returns the addresses of all limiters as limiter `own` has to use them.
    pub fn peers(&self, own: usize) -> Vec<SocketAddr> {
        (0..LIMITERS)
            .map(|to| match to == own {
                true => self.listen[own],
                false => self.socket(own, to).local_addr().expect("it is bound"),
            })
            .collect()
    }

    fn forward(&self, from: usize, to: usize) {
        let mut buffer = [0; 512];
        while let Ok(length) = self.socket(from, to).recv(&mut buffer) {
            let bytes = &buffer[..length];
            let is_late = is_heartbeat(bytes)
                && self.delays_next.lock().unwrap().take_if(|link| *link == (from, to)).is_some();
            if is_late {
                *self.late.lock().unwrap() = Some(bytes.to_vec());
            } else if !self.cut.lock().unwrap().contains(&(from, to)) {
                self.deliver(from, to, bytes);
            }
        }
    }

    pub fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.socket(to, from).send_to(bytes, self.listen[to]);
    }

    /// Cuts or restores all links of a limiter.
    pub fn set_cut(&self, limiter: usize, is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        for other in (0..LIMITERS).filter(|other| *other != limiter) {
            for link in [(limiter, other), (other, limiter)] {
                if is_cut {
                    cut.insert(link);
                } else {
                    cut.remove(&link);
                }
            }
        }
    }

    pub fn set_link_cut(&self, one: usize, other: usize, is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        for link in [(one, other), (other, one)] {
            if is_cut {
                cut.insert(link);
            } else {
                cut.remove(&link);
            }
        }
    }
}

pub struct Tier {
    pub record: Record,
    pub ops: Vec<SocketAddr>,
}

impl Tier {
    pub fn status(&self, limiter: usize) -> Json {
        let answer = call_admin(self.ops[limiter], "GET", "rules", "");
        answer.and_then(|(_, body)| Json::parse(&body)).unwrap_or(Json::Null)
    }

    pub fn put(&self, limiter: usize, path: &str, body: &str) -> (u16, String) {
        let (status, body) = call_admin(self.ops[limiter], "PUT", path, body).unwrap_or_default();
        let shown: String = body.trim().chars().take(100).collect();
        self.record.note(format!("operator: PUT {path} at n{limiter}: {status} {shown}"));
        (status, body)
    }

    pub fn wait(&self, what: &str, is_so: impl Fn() -> bool) {
        let give_up_at = Instant::now() + PATIENCE;
        while !is_so() {
            if Instant::now() > give_up_at {
                self.note_all();
                cannot_run(&format!("not within {PATIENCE:?}: {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.note(format!("seen: {what}"));
    }

    /// Notes what each limiter says of the versions.
    pub fn note_all(&self) {
        for limiter in 0..LIMITERS {
            let status = self.status(limiter);
            self.record.note(format!(
                "n{limiter}: {}, version {}, document {}, decided {}; history: {}",
                status.get("standing").text(),
                status.get("version").number(),
                status.get("digest").text(),
                status.get("decided").number(),
                history(&status).iter().map(|(v, d)| format!("{v}={d}")).collect::<Vec<_>>().join(" "),
            ));
        }
    }

    pub fn is_current(&self, limiter: usize, version: f64) -> bool {
        let status = self.status(limiter);
        status.get("standing").text() == "current" && status.get("version").number() == version
    }

    /// Begins a change of the plan `faculdade` at a limiter. Returns whether the limiter took it up.
    pub fn begin(&self, limiter: usize, rate: f64) -> bool {
        let status = self.status(limiter);
        let text = status.get("text").text();
        let (_, rest) = text.split_once("\n}\n").unwrap_or_default();
        let (before, after) = rest.split_once("plan \"faculdade\" {\n").unwrap_or_default();
        let (_, after) = after.split_once('\n').unwrap_or_default();
        let document = format!(
            "version {{\n  parent = {}\n  author = \"n{limiter}\"\n  reason = \"faculdade at {rate}\"\n}}\n\
             {before}plan \"faculdade\" {{\n  rate  = {rate}\n{after}",
            status.get("version").number()
        );
        let (code, answer) = self.put(limiter, "rules/stage", &document);
        let digest = Json::parse(&answer).unwrap_or(Json::Null).get("digest").text().to_string();
        code == 200 && self.put(limiter, &format!("rules/commit?digest={digest}"), "").0 == 200
    }

    /// Whether the change begun at a limiter was made, as that limiter reports it.
    pub fn is_made(&self, limiter: usize) -> bool {
        self.status(limiter).get("begun_here").get("outcome").text() == "made"
    }
}

/// Returns the versions that a limiter reports as decided, with their documents.
pub fn history(status: &Json) -> Vec<(u64, String)> {
    let entries = status.get("history").list().iter();
    entries.map(|e| (e.get("version").number() as u64, e.get("digest").text().to_string())).collect()
}

/// Sends a request to a limiter each 200 ms, until `stop`, and notes the status and the version of each answer.
pub fn run_client(limiter: usize, address: SocketAddr, record: &Record, stop: &AtomicBool) {
    let mut sequence = 0u64;
    while !stop.load(Relaxed) {
        sequence += 1;
        thread::sleep(Duration::from_millis(200));
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let id = format!("{:08x}{sequence:08x}", limiter + 1);
        let sent = write!(
            stream,
            "GET /report-read/0000000000000001 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\n\
             X-Class: report-read\r\nX-Contract: faculdade\r\nX-Deadline-Ms: 3000\r\n\
             X-Metering: units=1,spread=3,first=0\r\nConnection: close\r\n\r\n"
        );
        let answer = sent.ok().and_then(|()| read_message(&mut BufReader::new(stream)));
        let (status, version) = answer
            .map(|a| (a.status(), a.header("x-rules").unwrap_or("-").to_string()))
            .unwrap_or((0, "-".to_string()));
        record.note(format!("client of n{limiter}: {id} gets {status}, version {version}"));
    }
}

pub fn start_limiter(number: usize, own_settings: &str, tier: &Setup) -> Limiter {
    let peers: Vec<String> = tier.network.peers(number).iter().map(|a| format!("\"{a}\"")).collect();
    let config = LimiterConfig {
        number,
        listen: tier.listen[number],
        discovery: tier.discovery,
        counter: tier.counter,
        known: tier.known.clone(),
        settings: SETTINGS.replace("SELF", &number.to_string()),
        further: format!(
            "\"ops\":\"{}\",\"peer_listen\":\"{}\",\"peers\":[{}],",
            tier.ops[number],
            tier.network.listen[number],
            peers.join(",")
        ),
        own_settings: Some(own_settings.to_string()),
    };
    Limiter::spawn(&tier.root, &tier.temporary, &config)
}

pub struct Setup {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub network: Arc<Network>,
    pub listen: Vec<SocketAddr>,
    pub ops: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: Vec<String>,
}


/// Starts the stand-ins of a tier, but no limiter.
pub fn set_up(root: PathBuf, temporary: PathBuf) -> Setup {
    let known: Vec<String> = (0..3)
        .map(|server| {
            let address = listen("127.0.0.1:0", |mut stream| {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while read_message(&mut reader).is_some() {
                    thread::sleep(Duration::from_millis(20));
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
            entry(&format!("s-{server}"), address, 1, "Ready", 0)
        })
        .collect();
    Setup {
        root,
        temporary,
        network: Network::start(),
        listen: (0..LIMITERS).map(|_| free_address()).collect(),
        ops: (0..LIMITERS).map(|_| free_address()).collect(),
        discovery: Discovery::start(&known).address,
        counter: counter(),
        known,
    }
}

impl Tier {
    /// Waits until all limiters answer, and has the new tier adopted, as its operators do.
    pub fn adopt(&self) {
        for limiter in 0..LIMITERS {
            self.wait(&format!("n{limiter} answers operators"), || self.status(limiter) != Json::Null);
        }
        for limiter in 0..LIMITERS {
            if self.put(limiter, "rules/adopt", "").0 != 200 {
                cannot_run("a new tier can't be adopted");
            }
        }
        self.wait("all limiters are current at version 0", || self.are_current(0.0));
    }

    pub fn are_current(&self, version: f64) -> bool {
        (0..LIMITERS).all(|limiter| self.is_current(limiter, version))
    }

    /// Begins a change at a limiter, if it takes one up within 4 s, and gives it time to be decided.
    pub fn try_to_begin(&self, limiter: usize, rate: f64) {
        let give_up_at = Instant::now() + Duration::from_secs(4);
        let mut is_begun = false;
        while !is_begun && Instant::now() < give_up_at {
            is_begun = self.begin(limiter, rate);
            if !is_begun {
                thread::sleep(Duration::from_millis(500));
            }
        }
        let outcome = if is_begun { "begun" } else { "not begun" };
        self.record.note(format!("the change at n{limiter} was {outcome}"));
        if is_begun {
            thread::sleep(Duration::from_millis(1500));
        }
        self.note_all();
    }

    /// Compares what the limiters report as decided. Returns whether no version has two documents.
    pub fn have_one_history(&self) -> bool {
        self.note_all();
        let statuses: Vec<Json> = (0..LIMITERS).map(|limiter| self.status(limiter)).collect();
        if statuses.iter().any(|status| *status == Json::Null) {
            cannot_run("a limiter does not answer operators at the end");
        }
        let histories: Vec<Vec<(u64, String)>> = statuses.iter().map(history).collect();
        let mut is_one = true;
        for one in 0..LIMITERS {
            for other in one + 1..LIMITERS {
                for (version, document) in &histories[one] {
                    let differs = histories[other].iter().find(|(v, d)| v == version && d != document);
                    if let Some((_, theirs)) = differs {
                        is_one = false;
                        let line = format!(
                            "version {version} is {document} at n{one} ({}) and {theirs} at n{other} ({})",
                            statuses[one].get("standing").text(),
                            statuses[other].get("standing").text()
                        );
                        println!("{line}");
                        self.record.note(format!("BROKEN: {line}"));
                    }
                }
            }
        }
        if is_one {
            println!("each version has one document");
            self.record.note("each version has one document".to_string());
        }
        is_one
    }
}

/// Starts a client of each limiter. They run until the returned flag is set.
pub fn start_clients(setup: &Setup, record: &Record) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for limiter in 0..LIMITERS {
        let (address, record, stop) = (setup.listen[limiter], record.clone(), stop.clone());
        thread::spawn(move || run_client(limiter, address, &record, &stop));
    }
    stop
}
