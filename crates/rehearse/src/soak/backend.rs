//! Scripted backends: they record what came, and hang, reset or turn away as the seed draws.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::records::{AttemptEnd, AttemptRecord, Records};
use crate::sync::locked;
use crate::{io, Failure};

/// An answer that hangs is held for so long, longer than any client waits.
const HANG: Duration = Duration::from_secs(6);
/// How often a backend that is in order does something else than serve.
const FAULT_SHARE: f64 = 0.25;

/// A connection that is not up by then finds the queue full.
const FILLING_TIMEOUT: Duration = Duration::from_millis(50);
/// Connections that a listener queues.
const BACKLOG: i32 = 128;

/// What a backend does with a request.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    Serve,
    TurnAway,
    Fail,
    HangBeforeAnswer,
    HangWithinAnswer,
    HangAfterHead,
    ResetBeforeAnswer,
    ResetWithinAnswer,
}

const FAULTS: [Conduct; 7] = [
    Conduct::TurnAway,
    Conduct::Fail,
    Conduct::HangBeforeAnswer,
    Conduct::HangWithinAnswer,
    Conduct::HangAfterHead,
    Conduct::ResetBeforeAnswer,
    Conduct::ResetWithinAnswer,
];

/// What the backends of a run share.
pub struct Backends {
    records: Arc<Records>,
    max_work: Duration,
    draws: Mutex<StdRng>,
}

impl Backends {
    /// Backends that record what they see; `draws` decides what they do.
    pub fn new(records: Arc<Records>, max_work: Duration, draws: StdRng) -> Arc<Backends> {
        Arc::new(Backends { records, max_work, draws: Mutex::new(draws) })
    }

    /// Starts a backend, and returns its address. Connections to it come up only once `late_by` is over.
    pub async fn start(self: &Arc<Self>, backend: usize, late_by: Duration) -> Result<SocketAddr, Failure> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(io("a backend's socket"))?;
        listener.set_nonblocking(true).map_err(io("a backend's socket"))?;
        let address = listener.local_addr().map_err(io("a backend's address"))?;
        let backends = self.clone();
        if late_by.is_zero() {
            let listener = TcpListener::from_std(listener).map_err(io("a backend's socket"))?;
            tokio::spawn(backends.accept(backend, listener));
        } else {
            let shut = tokio::task::spawn_blocking(move || ShutListener::fill(listener, address));
            let shut = shut.await.expect("it does not panic").map_err(io("a backend's socket"))?;
            tokio::spawn(async move {
                sleep(late_by).await;
                if let Ok(listener) = shut.open() {
                    backends.accept(backend, listener).await;
                }
            });
        }
        Ok(address)
    }

    async fn accept(self: Arc<Self>, backend: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let backends = self.clone();
            tokio::spawn(async move {
                // How a connection ends is the limiter's to handle.
                let _ = backends.serve(backend, stream).await;
            });
        }
    }

    async fn serve(&self, backend: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while let Some(id) = self.read_request(backend, &mut stream, &mut bytes).await? {
            let conduct = self.draw_conduct();
            if matches!(conduct, Conduct::TurnAway) {
                self.records.end_attempt(id, AttemptEnd::NotRun);
            }
            self.answer(conduct, &mut stream).await?;
        }
        Ok(())
    }

    /// Reads a request and records it; `None` where the connection ends between requests.
    async fn read_request(
        &self,
        backend: usize,
        stream: &mut TcpStream,
        bytes: &mut Vec<u8>,
    ) -> std::io::Result<Option<usize>> {
        bytes.clear();
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
        let began_at = self.records.now();
        loop {
            if let Some(request) = Request::parse(bytes) {
                let place = self.records.add_attempt(AttemptRecord {
                    id: request.id,
                    backend,
                    began_at,
                    told_ms: request.told_ms,
                    end: AttemptEnd::Partial,
                });
                while bytes.len() < request.length {
                    if stream.read_buf(bytes).await? == 0 {
                        return Ok(None);
                    }
                }
                self.records.end_attempt(place, AttemptEnd::MayHaveRun);
                return Ok(Some(place));
            }
            if stream.read_buf(bytes).await? == 0 {
                return Ok(None);
            }
        }
    }

    fn draw_conduct(&self) -> Conduct {
        let mut draws = locked(&self.draws);
        if draws.random_bool(FAULT_SHARE) {
            FAULTS[draws.random_range(0..FAULTS.len())]
        } else {
            Conduct::Serve
        }
    }

    async fn answer(&self, conduct: Conduct, stream: &mut TcpStream) -> std::io::Result<()> {
        let work = self.max_work.mul_f64(locked(&self.draws).random());
        sleep(work).await;
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
        match conduct {
            Conduct::Serve => stream.write_all(&[&head[..], b"a report"].concat()).await,
            Conduct::TurnAway => {
                stream.write_all(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await
            }
            Conduct::Fail => stream.write_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n").await,
            Conduct::HangBeforeAnswer => hang(stream).await,
            Conduct::HangWithinAnswer => {
                stream.write_all(&[&head[..], b"a re"].concat()).await?;
                hang(stream).await
            }
            Conduct::HangAfterHead => {
                stream.write_all(head).await?;
                hang(stream).await
            }
            Conduct::ResetBeforeAnswer => {
                reset(stream)?;
                stream.shutdown().await
            }
            Conduct::ResetWithinAnswer => {
                stream.write_all(&[&head[..], b"a re"].concat()).await?;
                reset(stream)?;
                stream.shutdown().await
            }
        }
    }
}

/// Holds a connection, until the limiter closes it at the latest.
async fn hang(stream: &mut TcpStream) -> std::io::Result<()> {
    let _ = tokio::time::timeout(HANG, stream.read_u8()).await;
    Err(std::io::ErrorKind::ConnectionAborted.into())
}

/// Lets a connection end by a reset.
pub fn reset(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// A listener whose queue is full: connections to it neither come up nor are refused.
struct ShutListener {
    listener: std::net::TcpListener,
    filling: Vec<std::net::TcpStream>,
}

impl ShutListener {
    /// Connections come up until the queue is full; the first that does not shows that it is.
    fn fill(listener: std::net::TcpListener, address: SocketAddr) -> std::io::Result<ShutListener> {
        SockRef::from(&listener).listen(0)?;
        let mut filling = Vec::new();
        while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, FILLING_TIMEOUT) {
            filling.push(stream);
        }
        Ok(ShutListener { listener, filling })
    }

    /// From now on connections come up, also those that wait; the filling ones end.
    fn open(self) -> std::io::Result<TcpListener> {
        SockRef::from(&self.listener).listen(BACKLOG)?;
        drop(self.filling);
        TcpListener::from_std(self.listener)
    }
}

/// The head of a request.
struct Request {
    id: String,
    told_ms: u64,
    /// With its body.
    length: usize,
}

impl Request {
    /// `None` while the head is not whole.
    fn parse(bytes: &[u8]) -> Option<Request> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (head, _) = text.split_once("\r\n\r\n")?;
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(": ")?;
                key.eq_ignore_ascii_case(name).then_some(value)
            })
        };
        let body: usize = header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        Some(Request {
            id: header("x-request-id")?.to_string(),
            told_ms: header("x-deadline-ms")?.parse().ok()?,
            length: head.len() + 4 + body,
        })
    }
}
