//! A cold server before thirty limiters that were told of its start in one instant, and a stand-in that adds up what all
//! of them send it.

use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use crate::harness::*;

const LIMITERS: usize = 30;
const MULTIPLE: f64 = 4.0;
const SHARE: f64 = 0.23;
const WARM_AFTER: Duration = Duration::from_secs(15);
const WINDOW: Duration = Duration::from_secs(2);

/// A server that answers each request a little later and keeps when each came.
struct Server {
    address: SocketAddr,
    came: Arc<Mutex<Vec<Instant>>>,
}

impl Server {
    fn start() -> Server {
        let came = Arc::new(Mutex::new(Vec::new()));
        let kept = came.clone();
        let address = listen(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            while read_message(&mut reader).is_some() {
                kept.lock().expect("no script panics").push(Instant::now());
                sleep(Duration::from_millis(5));
                ok(&mut stream, "a report");
            }
        });
        Server { address, came }
    }

    fn came(&self) -> Vec<Instant> {
        self.came.lock().expect("no script panics").clone()
    }

    fn entry(&self, id: &str, state: &str, started_ms: u64) -> Value {
        entry(self.address, id, state, started_ms)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// The most that came within a window, against what may have come: the budget of the settings at the window's end, by
/// the least capacity that the server surely has, and what the page puts down to chance.
fn over_budget(came: &[Instant], started: Instant, capacity: f64) -> Option<(usize, f64)> {
    let mut first = 0;
    came.iter().enumerate().find_map(|(last, at)| {
        while came[first] + WINDOW < *at {
            first += 1;
        }
        let age = at.duration_since(started).as_secs_f64() / WARM_AFTER.as_secs_f64();
        let share = (SHARE + (1.0 - SHARE) * age).min(1.0);
        let budget = MULTIPLE * share * capacity * WINDOW.as_secs_f64();
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        let count = last + 1 - first;
        (count as f64 > most).then_some((count, most))
    })
}

#[test]
fn thirty_limiters_keep_a_cold_servers_budget_in_sum_also_under_a_burst_and_cold_twice() {
    let warm: Vec<Server> = (0..4).map(|_| Server::start()).collect();
    let cold = Server::start();
    let entries: Vec<Value> =
        warm.iter().enumerate().map(|(n, s)| s.entry(&format!("s-{n}"), "Ready", 0)).collect();
    let (limiters, lists): (Vec<Limiter>, Vec<Sender<Value>>) = (0..LIMITERS)
        .map(|number| {
            let (discovery, push) = discovery();
            let mut config = config(discovery, discovery, entries.clone());
            config["name"] = json!(format!("n{number}"));
            config["settings"]["familyInfo"]["hasCounter"] = json!(false);
            config["settings"]["nInstances"] = json!(LIMITERS);
            config["settings"]["selfIndex"] = json!(number);
            config["settings"]["plans"][1]["rate"] = json!(0.0);
            (Limiter::start(&config), push)
        })
        .unzip();
    // Clients of each limiter ask one request after another, and rest so long between two.
    let (rest, over) = (AtomicU64::new(40), AtomicBool::new(false));
    let told = |entry: Value, version: u64| {
        for list in &lists {
            list.send(json!({"version": version, "full": false, "servers": [entry.clone()]})).unwrap();
        }
    };
    let starts = scope(|scope| {
        for limiter in &limiters {
            scope.spawn(|| {
                let mut client = limiter.connect();
                while !over.load(Relaxed) {
                    client.ask(&read("large", 1));
                    sleep(Duration::from_millis(rest.load(Relaxed)));
                }
            });
        }
        sleep(Duration::from_secs(6));
        let mut starts = Vec::new();
        for version in [2, 4] {
            starts.push((Instant::now(), cold.came().len()));
            told(cold.entry("s-cold", "Ready", unix_ms()), version);
            sleep(Duration::from_secs(1));
            rest.store(15, Relaxed);
            sleep(Duration::from_millis(2_500));
            rest.store(40, Relaxed);
            told(cold.entry("s-cold", "Gone", 0), version + 1);
            sleep(Duration::from_millis(700));
        }
        over.store(true, Relaxed);
        starts
    });
    let all = cold.came();
    for (number, (started, first)) in starts.iter().enumerate() {
        let last = starts.get(number + 1).map_or(all.len(), |next| next.1);
        let came = &all[*first..last];
        // What any warm one took before, each of them can do.
        let quiet = *started - Duration::from_secs(2);
        let took = |s: &Server| s.came().iter().filter(|at| (quiet..*started).contains(at)).count();
        let capacity = warm.iter().map(took).max().unwrap_or(0) as f64 / 2.0;
        assert!(capacity > 20.0, "warm servers were not used: {capacity} a second");
        assert!(came.len() > 10, "the cold one is brought in: {}", came.len());
        assert_eq!(
            over_budget(came, *started, capacity),
            None,
            "start {number}, {capacity} a second when warm"
        );
    }
}
