//! Stand-in backends: they record each attempt, and respond, reject, fail, hang or reset at random.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::body::{content, AnswerRequest, ContentCheck, Framing};
use super::records::{AttemptEnd, AttemptRecord, Records};
use crate::sync::locked;
use crate::{io, Failure};

/// How long a backend hangs, which is longer than any client waits.
const HANG_DURATION: Duration = Duration::from_secs(6);
/// Probability that a backend does not serve a request.
const FAULT_PROBABILITY: f64 = 0.25;

/// A connection that is not established within this time shows that the accept queue is full.
const FILL_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Answers up to this size may be retried by a limiter, which then closes the connection.
const WHOLE_ANSWER_BYTES: usize = 64 << 10;
/// Length of the parts in which a long answer is written.
const ANSWER_PART: usize = 8 << 10;
/// Body of each request that has no long one.
const SHORT_BODY: &[u8] = b"a thesis";
/// Listen backlog of an unblocked listener.
const BACKLOG: i32 = 128;

/// How a backend responds to a request.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Serve,
    /// Responds that the request was not processed.
    Reject,
    Fail,
    HangBeforeResponse,
    HangWithinBody,
    HangAfterHead,
    ResetBeforeResponse,
    ResetWithinBody,
}

const FAULTS: [Behavior; 7] = [
    Behavior::Reject,
    Behavior::Fail,
    Behavior::HangBeforeResponse,
    Behavior::HangWithinBody,
    Behavior::HangAfterHead,
    Behavior::ResetBeforeResponse,
    Behavior::ResetWithinBody,
];

/// The backends of a run.
pub struct Backends {
    records: Arc<Records>,
    max_work: Duration,
    rng: Mutex<StdRng>,
}

impl Backends {
    /// Creates the state that all backends share. `rng` determines how they respond.
    pub fn new(records: Arc<Records>, max_work: Duration, rng: StdRng) -> Arc<Backends> {
        Arc::new(Backends { records, max_work, rng: Mutex::new(rng) })
    }

    /// Starts a backend and returns its address. Connections to it are established only after `accept_delay`.
    pub async fn start(
        self: &Arc<Self>,
        backend: usize,
        accept_delay: Duration,
    ) -> Result<SocketAddr, Failure> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(io("backend socket"))?;
        listener.set_nonblocking(true).map_err(io("backend socket"))?;
        let address = listener.local_addr().map_err(io("backend address"))?;
        let backends = self.clone();
        if accept_delay.is_zero() {
            let listener = TcpListener::from_std(listener).map_err(io("backend socket"))?;
            tokio::spawn(backends.accept(backend, listener));
        } else {
            let blocked = tokio::task::spawn_blocking(move || BlockedListener::block(listener, address));
            let blocked =
                blocked.await.expect("blocking a listener does not panic").map_err(io("backend socket"))?;
            tokio::spawn(async move {
                sleep(accept_delay).await;
                if let Ok(listener) = blocked.unblock() {
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
                // The limiter handles the end of the connection.
                let _ = backends.serve(backend, stream).await;
            });
        }
    }

    async fn serve(&self, backend: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while let Some(attempt) = self.read_request(backend, &mut stream, &mut bytes).await? {
            let behavior = self.draw_behavior();
            if matches!(behavior, Behavior::Reject) {
                self.records.end_attempt(attempt.index, AttemptEnd::NotRun);
            }
            match (behavior, attempt.answer) {
                (Behavior::Serve, Some(answer @ AnswerRequest { break_off: Some(break_off), .. })) => {
                    return break_off.write(&mut stream, answer).await;
                }
                (Behavior::Serve, Some(answer)) => {
                    sleep(self.draw_work()).await;
                    if let Err(taken) = write_answer(&mut stream, answer).await {
                        if taken > WHOLE_ANSWER_BYTES {
                            self.records.add_cut_off(attempt.id);
                        }
                        return Ok(());
                    }
                    if answer.framing == Framing::UntilClose {
                        return stream.shutdown().await;
                    }
                }
                _ => self.respond(behavior, &mut stream).await?,
            }
        }
        Ok(())
    }

    /// Reads and records a request. Returns `None` if the connection ended before the request was complete.
    async fn read_request(
        &self,
        backend: usize,
        stream: &mut TcpStream,
        bytes: &mut Vec<u8>,
    ) -> std::io::Result<Option<CompleteRequest>> {
        bytes.clear();
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
        let began_at = self.records.now();
        loop {
            if let Some(request) = Request::parse(bytes) {
                let index = self.records.add_attempt(AttemptRecord {
                    id: request.id.clone(),
                    backend,
                    began_at,
                    told_ms: request.deadline_ms,
                    end: AttemptEnd::Partial,
                });
                while bytes.len() < request.length {
                    if stream.read_buf(bytes).await? == 0 {
                        return Ok(None);
                    }
                }
                self.records.end_attempt(index, AttemptEnd::MayHaveRun);
                self.check_body(&request, bytes);
                return Ok(Some(CompleteRequest { index, id: request.id, answer: request.answer }));
            }
            if stream.read_buf(bytes).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Compares the body of a complete request with what its client sent. Short bodies are the same in all requests.
    fn check_body(&self, request: &Request, bytes: &[u8]) {
        let body = &bytes[request.length - request.body_length..];
        let mut check = ContentCheck::default();
        check.update(body);
        if !check.is_whole(request.body_length) && body != SHORT_BODY {
            let problem = format!("a request body of {} bytes was changed", request.body_length);
            self.records.add_bad_body(&request.id, problem);
        }
    }

    /// Draws how long a request is processed.
    fn draw_work(&self) -> Duration {
        self.max_work.mul_f64(locked(&self.rng).random())
    }

    fn draw_behavior(&self) -> Behavior {
        let mut rng = locked(&self.rng);
        if rng.random_bool(FAULT_PROBABILITY) {
            FAULTS[rng.random_range(0..FAULTS.len())]
        } else {
            Behavior::Serve
        }
    }

    async fn respond(&self, behavior: Behavior, stream: &mut TcpStream) -> std::io::Result<()> {
        sleep(self.draw_work()).await;
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
        match behavior {
            Behavior::Serve => stream.write_all(&[&head[..], b"a report"].concat()).await,
            Behavior::Reject => {
                stream.write_all(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await
            }
            Behavior::Fail => stream.write_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n").await,
            Behavior::HangBeforeResponse => hang(stream).await,
            Behavior::HangWithinBody => {
                stream.write_all(&[&head[..], b"a re"].concat()).await?;
                hang(stream).await
            }
            Behavior::HangAfterHead => {
                stream.write_all(head).await?;
                hang(stream).await
            }
            Behavior::ResetBeforeResponse => {
                reset(stream)?;
                stream.shutdown().await
            }
            Behavior::ResetWithinBody => {
                stream.write_all(&[&head[..], b"a re"].concat()).await?;
                reset(stream)?;
                stream.shutdown().await
            }
        }
    }
}

/// Writes a long answer, at its rate. If the connection ends before, returns how many bytes were
/// taken.
async fn write_answer(stream: &mut TcpStream, answer: AnswerRequest) -> Result<(), usize> {
    stream.write_all(answer.head().as_bytes()).await.map_err(|_| 0_usize)?;
    let mut taken = 0;
    for part in content(answer.length).chunks(ANSWER_PART) {
        let framed = match answer.framing {
            Framing::Chunked => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
            Framing::Length | Framing::UntilClose => part.to_vec(),
        };
        stream.write_all(&framed).await.map_err(|_| taken)?;
        taken += part.len();
        if let Some(pause_ms) = (part.len() as u64).checked_div(answer.rate) {
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    if answer.framing == Framing::Chunked {
        stream.write_all(b"0\r\n\r\n").await.map_err(|_| taken)?;
    }
    Ok(())
}

/// Hangs until the limiter closes the connection, at most for [`HANG_DURATION`].
async fn hang(stream: &mut TcpStream) -> std::io::Result<()> {
    let _ = tokio::time::timeout(HANG_DURATION, stream.read_u8()).await;
    Err(std::io::ErrorKind::ConnectionAborted.into())
}

/// Makes a connection end with a reset when it is closed.
pub fn reset(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// A listener whose accept queue is full, so that connections to it are neither established nor refused.
struct BlockedListener {
    listener: std::net::TcpListener,
    /// The connections that fill the accept queue.
    filling: Vec<std::net::TcpStream>,
}

impl BlockedListener {
    /// Connects to the listener until a connection is not established, which shows that the accept queue is full.
    fn block(listener: std::net::TcpListener, address: SocketAddr) -> std::io::Result<BlockedListener> {
        SockRef::from(&listener).listen(0)?;
        let mut filling = Vec::new();
        while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, FILL_CONNECT_TIMEOUT) {
            filling.push(stream);
        }
        Ok(BlockedListener { listener, filling })
    }

    /// Closes the connections that fill the accept queue, and lets all others be established, waiting ones included.
    fn unblock(self) -> std::io::Result<TcpListener> {
        SockRef::from(&self.listener).listen(BACKLOG)?;
        drop(self.filling);
        TcpListener::from_std(self.listener)
    }
}

/// The parsed head of a request.
struct Request {
    id: String,
    deadline_ms: u64,
    /// Length of the request in bytes, body included.
    length: usize,
    body_length: usize,
    /// The long answer that the request asks for.
    answer: Option<AnswerRequest>,
}

/// A request that arrived completely.
struct CompleteRequest {
    /// Index of the attempt's record.
    index: usize,
    id: String,
    answer: Option<AnswerRequest>,
}

impl Request {
    /// Parses the head of a request; `None` while it is incomplete.
    fn parse(bytes: &[u8]) -> Option<Request> {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(": ")?;
                key.eq_ignore_ascii_case(name).then_some(value)
            })
        };
        let body: usize = header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        Some(Request {
            id: header("x-request-id")?.to_string(),
            deadline_ms: header("x-deadline-ms")?.parse().ok()?,
            length: head.len() + 4 + body,
            body_length: body,
            answer: AnswerRequest::parse(head.lines().next()?),
        })
    }
}
