//! The stand-in quota counter: the platform's text protocol in front of the model's counter.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sedgestack_fleet::{Counter as Spec, Micros};
use sedgestack_model::counter::{Answer, Counter as Machine};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::sync::locked;
use crate::{io, Failure};

/// Answers of one connection that may wait to be written.
const ANSWERS: usize = 1_024;

struct Shared {
    machine: Mutex<Machine<String>>,
    lost: AtomicBool,
    origin: Instant,
}

/// A counter that listens.
#[derive(Clone)]
pub struct Counter {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Counter {
    /// From now on it answers nothing.
    pub fn stop_answering(&self) {
        self.shared.lost.store(true, Relaxed);
    }

    /// It answers again, empty.
    pub fn resume_empty(&self) {
        locked(&self.shared.machine).empty();
        self.shared.lost.store(false, Relaxed);
    }
}

/// Starts a counter on a free port.
pub async fn start(spec: &Spec) -> Result<Counter, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("the counter's socket"))?;
    let address = listener.local_addr().map_err(io("the counter's address"))?;
    let machine = Mutex::new(Machine::new(spec));
    let shared = Arc::new(Shared { machine, lost: AtomicBool::new(false), origin: Instant::now() });
    let serving = shared.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, serving.clone()));
        }
    });
    Ok(Counter { address, shared })
}

/// Reads a call: name, amount, life in milliseconds.
fn parse(line: &str) -> Option<(String, f64, Micros)> {
    let mut words = line.split(' ');
    let (add, name) = (words.next()?, words.next()?);
    let amount: f64 = words.next()?.parse().ok().filter(|a: &f64| a.abs() <= 1e9)?;
    let keep: f64 = words.next()?.parse().ok()?;
    let fits = add == "add" && !name.is_empty() && name.len() <= 64 && keep >= 1.0 && words.next().is_none();
    fits.then(|| (name.to_string(), amount, (keep.min(60_000.0) * 1e3) as Micros))
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (answers, mut pending) = mpsc::channel::<(Instant, String)>(ANSWERS);
    // Answers leave in the order of the calls, each when its turn is over.
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
        if shared.lost.load(Relaxed) {
            continue;
        }
        let now = Instant::now();
        let answer = match parse(&line) {
            Some((name, amount, keep)) => {
                let micros = now.duration_since(shared.origin).as_micros() as Micros;
                let mut machine = locked(&shared.machine);
                match machine.add(micros, name, amount, keep) {
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
