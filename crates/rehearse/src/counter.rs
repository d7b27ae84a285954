//! The stand-in quota counter: serves the model's counter over the platform's text protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sedgestack_fleet::{Counter as CounterSettings, Micros};
use sedgestack_model::counter::{Answer, Counter as CounterModel};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::sync::locked;
use crate::{io, Failure};

/// Maximum number of answers of one connection that wait to be written.
const MAX_PENDING_ANSWERS: usize = 1_024;

struct Shared {
    model: Mutex<CounterModel<String>>,
    /// Whether calls stay unanswered.
    is_lost: AtomicBool,
    /// Zero of the model's clock.
    origin: Instant,
}

/// A running counter.
#[derive(Clone)]
pub struct Counter {
    /// The address that the counter listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Counter {
    /// Leaves all further calls unanswered.
    pub fn stop_answering(&self) {
        self.shared.is_lost.store(true, Relaxed);
    }

    /// Answers calls again, with all totals deleted.
    pub fn resume_empty(&self) {
        locked(&self.shared.model).clear();
        self.shared.is_lost.store(false, Relaxed);
    }
}

/// Starts a counter on a free port of loopback.
pub async fn start(settings: &CounterSettings) -> Result<Counter, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("quota counter socket"))?;
    let address = listener.local_addr().map_err(io("quota counter address"))?;
    let model = Mutex::new(CounterModel::new(settings));
    let shared = Arc::new(Shared { model, is_lost: AtomicBool::new(false), origin: Instant::now() });
    let server_shared = shared.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, server_shared.clone()));
        }
    });
    Ok(Counter { address, shared })
}

/// Parses an `add` call into name, amount and lifetime; the call gives the lifetime in milliseconds.
fn parse_add(line: &str) -> Option<(String, f64, Micros)> {
    let mut words = line.split(' ');
    let (command, name) = (words.next()?, words.next()?);
    let amount: f64 = words.next()?.parse().ok().filter(|a: &f64| a.abs() <= 1e9)?;
    let lifetime_ms: f64 = words.next()?.parse().ok()?;
    let is_valid = command == "add"
        && !name.is_empty()
        && name.len() <= 64
        && lifetime_ms >= 1.0
        && words.next().is_none();
    is_valid.then(|| (name.to_string(), amount, (lifetime_ms.min(60_000.0) * 1e3) as Micros))
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (answers, mut pending) = mpsc::channel::<(Instant, String)>(MAX_PENDING_ANSWERS);
    // Answers are written in the order of the calls, each at the time that the model gives for it.
    let writer = tokio::spawn(async move {
        while let Some((at, text)) = pending.recv().await {
            sleep_until(at).await;
            if write.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if shared.is_lost.load(Relaxed) {
            continue;
        }
        let now = Instant::now();
        let answer = match parse_add(&line) {
            Some((name, amount, lifetime)) => {
                let micros = now.duration_since(shared.origin).as_micros() as Micros;
                let mut model = locked(&shared.model);
                match model.add(micros, name, amount, lifetime) {
                    Answer::Total(total, at) => {
                        (shared.origin + Duration::from_micros(at), format!("ok {total}\r\n"))
                    }
                    Answer::Busy => (now, "busy\r\n".to_string()),
                }
            }
            None if line == "ping" => (now, "pong\r\n".to_string()),
            None => (now, "error\r\n".to_string()),
        };
        if answers.send(answer).await.is_err() {
            break;
        }
    }
    writer.abort();
}

#[cfg(test)]
mod tests;
