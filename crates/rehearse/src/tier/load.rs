//! The load on a tier: requests of customers. Each answer is recorded with the version that it names.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sedgestack_fleet::Fleet;

use super::http_client;
use super::invariants::{AnswerRecord, Micros};
use super::Tier;
use crate::sync::locked;

/// Pause between the requests to one limiter.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// Additional pause after a limiter did not respond.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(5);

/// The threads that send requests.
pub(super) struct LoadThreads {
    /// Tells the threads to stop.
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// The customers of a fleet and the record of the answers that they received. Clones share the record.
#[derive(Clone)]
pub(super) struct Customers {
    fleet: Fleet,
    /// Number of customers.
    count: u64,
    answers: Arc<Mutex<Vec<AnswerRecord>>>,
}

/// A request that was sent and is not answered yet.
pub struct PendingRequest {
    limiter: u32,
    /// Index of the plan in the fleet file.
    plan: u32,
    sent: Micros,
    stream: TcpStream,
}

impl Customers {
    pub(super) fn new(fleet: Fleet, count: u64) -> Customers {
        Customers { fleet, count, answers: Arc::default() }
    }

    /// Calls `read` with the answers recorded so far.
    pub(super) fn with_answers<T>(&self, read: impl FnOnce(&[AnswerRecord]) -> T) -> T {
        read(&locked(&self.answers))
    }

    /// Sends a request of the next customer. Returns `None` if the limiter can't be reached.
    fn start_request(&self, limiter: u32, address: SocketAddr) -> Option<PendingRequest> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Relaxed);
        let class = &self.fleet.classes[0].name;
        let plan_index = number % self.fleet.plans.len() as u64;
        let plan = &self.fleet.plans[plan_index as usize].name;
        let request = format!(
            "GET /{class}/{:016x} HTTP/1.1\r\nHost: n\r\nX-Request-Id: {number:016x}\r\nX-Class: {class}\r\n\
             X-Contract: {plan}\r\nX-Deadline-Ms: 1000\r\nX-Metering: units=1,spread=1,first={limiter}\r\n\r\n",
            number % self.count
        );
        let sent = unix_micros_now();
        let stream = http_client::send_request(address, &request)?;
        Some(PendingRequest { limiter, plan: plan_index as u32, sent, stream })
    }

    /// Waits for the answer to a request and records it. Returns `None` if there is no answer.
    fn finish_request(&self, pending: PendingRequest) -> Option<AnswerRecord> {
        let response = http_client::read_response(pending.stream)?;
        let record = AnswerRecord {
            limiter: pending.limiter,
            sent: pending.sent,
            answered: unix_micros_now(),
            plan: pending.plan,
            status: response.status,
            version: response.header("x-rules").and_then(|version| version.parse().ok()),
        };
        locked(&self.answers).push(record.clone());
        Some(record)
    }

    fn send_request(&self, limiter: u32, address: SocketAddr) -> Option<AnswerRecord> {
        let pending = self.start_request(limiter, address)?;
        self.finish_request(pending)
    }

    /// Sends requests to one limiter until `stop` is set.
    fn send_until_stopped(&self, limiter: u32, address: SocketAddr, stop: &AtomicBool) {
        while !stop.load(Relaxed) {
            if self.send_request(limiter, address).is_none() {
                std::thread::sleep(PAUSE_AFTER_FAILURE);
            }
            std::thread::sleep(REQUEST_INTERVAL);
        }
    }
}

impl Tier {
    /// Sends a customer's request to a limiter and records the answer. Returns `None` if there is no answer.
    pub fn send_request(&self, limiter: u32) -> Option<AnswerRecord> {
        self.customers.send_request(limiter, self.process(limiter).listen)
    }

    /// Sends a request to a limiter, which may be suspended, without waiting for the answer. Returns `None` if the
    /// limiter can't be reached.
    pub fn start_request(&self, limiter: u32) -> Option<PendingRequest> {
        self.customers.start_request(limiter, self.process(limiter).listen)
    }

    /// Waits for the answer to a request sent by [`Tier::start_request`] and records it. Returns `None` if there is no
    /// answer.
    pub fn finish_request(&self, pending: PendingRequest) -> Option<AnswerRecord> {
        self.customers.finish_request(pending)
    }

    /// Starts one thread for each limiter that sends requests to it until [`Tier::stop_load`] is called.
    pub fn start_load(&self) {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = self.limiter_numbers().map(|limiter| {
            let (stop, customers) = (stop.clone(), self.customers.clone());
            let address = self.process(limiter).listen;
            std::thread::spawn(move || customers.send_until_stopped(limiter, address, &stop))
        });
        let threads = threads.collect();
        *locked(&self.load) = Some(LoadThreads { stop, threads });
    }

    /// Stops the load and waits until its last requests are finished.
    pub fn stop_load(&self) {
        if let Some(load) = locked(&self.load).take() {
            load.stop.store(true, Relaxed);
            load.threads.into_iter().for_each(|thread| drop(thread.join()));
        }
    }
}

fn unix_micros_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}
