//! Clients that keep their connections and use them until they end, leave early at times, and come again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::deployment::{Deployment, Effect};
use super::records::{ClientEnd, Records, RequestRecord};

/// After its deadline a client waits for so long; an answer later than that is lost.
const GRACE: Duration = Duration::from_millis(500);
/// How often a client leaves before its answer.
const LEAVING_SHARE: f64 = 0.08;
/// How often a client pauses amid a request, and for how long at most, milliseconds; a limiter waits for 2 s.
const SLOW_SHARE: f64 = 0.15;
const MAX_SLOW_MS: u64 = 1_500;
/// The longest pause between two requests of a client, milliseconds.
const MAX_PAUSE_MS: u64 = 80;
/// The latest that a client leaves, milliseconds.
const MAX_STAY_MS: u64 = 300;
const BODY: &str = "a thesis";

/// A client of one limiter.
pub struct Client {
    pub limiter: usize,
    pub address: SocketAddr,
    pub deployment: Arc<Deployment>,
    pub records: Arc<Records>,
    pub draws: StdRng,
    pub phase: watch::Receiver<Phase>,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// They connect and send.
    Load,
    /// They use the connections that are open.
    NoNewConnections,
    /// They end what they have under way.
    End,
}

/// What is left of a connection after a request.
#[derive(PartialEq)]
enum Connection {
    Open,
    Ended,
}

impl Client {
    /// Sends requests until its phase ends and no connection is open.
    pub async fn run(mut self) {
        while *self.phase.borrow() == Phase::Load {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                let _ = stream.set_nodelay(true);
                let mut is_reused = false;
                while *self.phase.borrow() != Phase::End
                    && self.send_request(&mut stream, is_reused).await == Connection::Open
                {
                    is_reused = true;
                    self.pause().await;
                }
            }
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let pause_ms = self.draws.random_range(0..=MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    async fn send_request(&mut self, stream: &mut TcpStream, is_reused: bool) -> Connection {
        let class = self.draws.random_range(0..self.deployment.classes.len());
        let id = new_id();
        let text = self.request(class, &id);
        if self.write(stream, &text).await.is_err() {
            return Connection::Ended;
        }
        let place = self.records.add_request(RequestRecord {
            id,
            class,
            limiter: self.limiter,
            sent_at: self.records.now(),
            on_reused_connection: is_reused,
            end: None,
        });
        let stays = self.draws.random_bool(1.0 - LEAVING_SHARE);
        let wait = if stays {
            self.deployment.classes[class].deadline + GRACE
        } else {
            Duration::from_millis(self.draws.random_range(0..=MAX_STAY_MS))
        };
        let end = match timeout(wait, read_status(stream)).await {
            Ok(Some(status)) => ClientEnd::Answered(status),
            Ok(None) => ClientEnd::Closed,
            Err(_) if stays => ClientEnd::Unanswered,
            Err(_) => ClientEnd::Left,
        };
        self.records.end_request(place, end);
        match end {
            ClientEnd::Answered(200) => Connection::Open,
            // After an error answer the limiter may close the connection; the next request goes on a new one.
            _ => Connection::Ended,
        }
    }

    async fn write(&mut self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let is_slow = self.draws.random_bool(SLOW_SHARE);
        let (first, rest) = text.split_at(if is_slow { text.len() / 2 } else { 0 });
        if is_slow {
            stream.write_all(first.as_bytes()).await?;
            sleep(Duration::from_millis(self.draws.random_range(0..=MAX_SLOW_MS))).await;
        }
        stream.write_all(rest.as_bytes()).await
    }

    fn request(&self, class: usize, id: &str) -> String {
        let class = &self.deployment.classes[class];
        let (method, key, body) = match class.effect {
            Effect::Safe => ("GET", String::new(), ""),
            Effect::Keyed { .. } => ("POST", format!("Idempotency-Key: {id}\r\n"), BODY),
            Effect::Unsafe => ("POST", String::new(), BODY),
        };
        let length =
            if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "{method} /{name}/00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\n\
             X-Class: {name}\r\nX-Contract: large\r\nX-Deadline-Ms: {deadline}\r\n{key}\
             X-Metering: units=1,spread=1,first=0\r\n{length}\r\n{body}",
            name = class.name,
            deadline = class.deadline.as_millis(),
        )
    }
}

/// An id that no other request has.
fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Relaxed))
}

/// Reads a whole answer; `None` where the connection ends before it does.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = std::str::from_utf8(&bytes).ok()?;
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            return head.split(' ').nth(1)?.parse().ok();
        }
    }
}
