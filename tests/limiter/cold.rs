//! Slow start of a backend behind thirty limiters that learn of its start at the same time. The backend's stand-in
//! counts the requests of all limiters.

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
/// Factor and capacity share of the slow-start budget, as in the settings `fallMultiple` and `coldFrom`.
const OVERLOAD_MULTIPLE: f64 = 4.0;
const INITIAL_SHARE: f64 = 0.23;
/// Duration of slow start, as in the setting `coldMs`.
const SLOW_START: Duration = Duration::from_secs(15);
/// Window of the slow-start budget, as in the setting `fallMs`.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);

/// A backend that answers each request after a short delay and records its time of arrival.
struct TimedBackend {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl TimedBackend {
    fn start() -> TimedBackend {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = arrivals.clone();
        let address = listen(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            while read_message(&mut reader).is_some() {
                recorded.lock().expect("no script panics").push(Instant::now());
                sleep(Duration::from_millis(5));
                respond_ok(&mut stream, "a report");
            }
        });
        TimedBackend { address, arrivals }
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("no script panics").clone()
    }

    fn entry(&self, id: &str, state: &str, started_ms: u64) -> Value {
        entry(self.address, id, state, started_ms)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Returns the number of requests in the first window that exceeds its limit, and that limit. The limit is the
/// slow-start budget at the end of the window for a backend of at least `capacity` requests per second, with an
/// allowance for random variation.
fn exceeded_budget(arrivals: &[Instant], started: Instant, capacity: f64) -> Option<(usize, f64)> {
    let mut first = 0;
    arrivals.iter().enumerate().find_map(|(last, at)| {
        while arrivals[first] + OVERLOAD_WINDOW < *at {
            first += 1;
        }
        let age = at.duration_since(started).as_secs_f64() / SLOW_START.as_secs_f64();
        let share = (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age).min(1.0);
        let budget = OVERLOAD_MULTIPLE * share * capacity * OVERLOAD_WINDOW.as_secs_f64();
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        let count = last + 1 - first;
        (count as f64 > limit).then_some((count, limit))
    })
}

#[test]
fn thirty_limiters_together_respect_the_slow_start_budget() {
    let warm: Vec<TimedBackend> = (0..4).map(|_| TimedBackend::start()).collect();
    let cold = TimedBackend::start();
    let entries: Vec<Value> =
        warm.iter().enumerate().map(|(n, s)| s.entry(&format!("s-{n}"), "Ready", 0)).collect();
    let (limiters, list_senders): (Vec<Limiter>, Vec<Sender<Value>>) = (0..LIMITERS)
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
    // One client per limiter sends requests one after another, with a pause in milliseconds between two.
    let (pause_ms, is_over) = (AtomicU64::new(40), AtomicBool::new(false));
    let push_to_all = |entry: Value, version: u64| {
        for list_sender in &list_senders {
            list_sender.send(json!({"version": version, "full": false, "servers": [entry.clone()]})).unwrap();
        }
    };
    let starts = scope(|scope| {
        for limiter in &limiters {
            scope.spawn(|| {
                let mut client = limiter.connect();
                while !is_over.load(Relaxed) {
                    client.request(&get_request("large", 1));
                    sleep(Duration::from_millis(pause_ms.load(Relaxed)));
                }
            });
        }
        sleep(Duration::from_secs(6));
        let mut starts = Vec::new();
        for version in [2, 4] {
            starts.push((Instant::now(), cold.arrivals().len()));
            push_to_all(cold.entry("s-cold", "Ready", unix_ms()), version);
            sleep(Duration::from_secs(1));
            pause_ms.store(15, Relaxed);
            sleep(Duration::from_millis(2_500));
            pause_ms.store(40, Relaxed);
            push_to_all(cold.entry("s-cold", "Gone", 0), version + 1);
            sleep(Duration::from_millis(700));
        }
        is_over.store(true, Relaxed);
        starts
    });
    let all_arrivals = cold.arrivals();
    for (number, (started, first)) in starts.iter().enumerate() {
        let last = starts.get(number + 1).map_or(all_arrivals.len(), |next| next.1);
        let arrivals = &all_arrivals[*first..last];
        // The largest rate of a warm backend just before is a capacity that each backend has.
        let since = *started - Duration::from_secs(2);
        let recent =
            |b: &TimedBackend| b.arrivals().iter().filter(|at| (since..*started).contains(at)).count();
        let capacity = warm.iter().map(recent).max().unwrap_or(0) as f64 / 2.0;
        assert!(capacity > 20.0, "warm backends got too few requests: {capacity} per second");
        assert!(arrivals.len() > 10, "the cold backend got too few requests: {}", arrivals.len());
        assert_eq!(
            exceeded_budget(arrivals, *started, capacity),
            None,
            "start {number}, capacity of a warm backend: {capacity} per second"
        );
    }
}
