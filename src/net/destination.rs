//! The actor of one destination: its route steps, its pool of connections, its probes.

use std::collections::HashMap;
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::http::uri::{Authority, PathAndQuery, Scheme};
use axum::http::{header, Extensions, HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use bytes::Bytes;
use futures_util::future::{abortable, AbortHandle, Aborted};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection, Connected, Connection};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use sedgestack::platform::Names;
use sedgestack::{BackendId, LoadReport, Outcome, RequestId};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout_at, Instant};

use super::calls;
use super::figures::Figures;
use super::mail::{Forward, Mail, StepEnd};
use super::metrics::COUNTERS;

/// The largest body that the platform knows.
pub const LARGEST_BODY: usize = 64 << 10;
/// A head longer than this is no answer's.
const LARGEST_HEAD: usize = 64 << 10;
/// Route steps that may wait in a destination's mailbox.
const MAILBOX: usize = 1024;
/// Idle connections are retired after this part of the time at which the other side closes them.
const RETIRE: u32 = 3;

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const X_LOAD: HeaderName = HeaderName::from_static("x-load");
const X_METER: HeaderName = HeaderName::from_static("x-meter");
const X_SETTLED: HeaderName = HeaderName::from_static("x-settled");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// One attempt at a request.
pub struct RouteStep {
    pub request: RequestId,
    pub attempt: u32,
    pub forward: Arc<Forward>,
    pub begun: Instant,
    pub deadline: Instant,
}

/// What a destination is asked to do.
pub enum Order {
    Step(RouteStep),
    Cancel { request: RequestId, attempt: u32 },
    Probe { begun: Instant, deadline: Instant },
}

/// What all destinations share.
pub struct Fleet {
    pub names: Names,
    pub connect_wait: Duration,
    pub keepalive: Duration,
    /// Descriptors for connections to destinations.
    pub sockets: Arc<Semaphore>,
    pub module: mpsc::Sender<Mail>,
    pub figures: Arc<Figures>,
}

impl Fleet {
    fn is_short(&self) -> bool {
        self.sockets.available_permits() == 0
    }
}

/// The module's hold on a destination's actor; once all are dropped, the actor finishes what it has and ends.
#[derive(Clone)]
pub struct Handle {
    pub id: BackendId,
    pub addr: SocketAddr,
    orders: mpsc::Sender<Order>,
    closed: Arc<AtomicBool>,
}

impl Handle {
    /// Starts a destination's actor.
    pub fn start(backend: BackendId, addr: SocketAddr, fleet: Arc<Fleet>) -> Handle {
        let (orders, mailbox) = mpsc::channel(MAILBOX);
        let closed = Arc::new(AtomicBool::new(false));
        let dialer = Dialer { addr, closed: closed.clone(), fleet: fleet.clone() };
        tokio::spawn(Destination::new(backend.clone(), dialer, fleet).run(mailbox));
        Handle { id: backend, addr, orders, closed }
    }

    /// From now on no first byte of a request is written there; what is under way goes on.
    pub fn close(&self) {
        self.closed.store(true, Relaxed);
    }

    /// Puts an order into the mailbox, without waiting; false if there is no room.
    pub fn order(&self, order: Order) -> bool {
        self.orders.try_send(order).is_ok()
    }
}

/// How far the exchange on a connection has come, as seen on its socket.
#[derive(Debug, Default)]
struct Wire {
    /// Requests of which a byte was written, and answers whose head was read.
    started: AtomicU64,
    answered: AtomicU64,
    /// Of the request under way: how much of the blank line after its head has come, and body bytes.
    head: AtomicU64,
    body: AtomicU64,
    /// An answer came before its request was whole: the counts tell nothing any more.
    doubtful: AtomicBool,
}

/// Length of the blank line that ends a head, with the line break before it.
const BLANK: u64 = 4;

impl Wire {
    fn between_requests(&self) -> bool {
        self.started.load(Relaxed) == self.answered.load(Relaxed)
    }

    /// Guards drains: a request that waited for its connection while the destination began to drain must
    /// not begin to be written. Its route step ends as never sent.
    fn may_write(&self, closed: bool) -> bool {
        !(closed && self.between_requests())
    }

    /// Whether it served before, and then took no byte of the request that it was given.
    fn ended_idle(&self) -> bool {
        self.started.load(Relaxed) > 0 && self.between_requests()
    }

    fn whole(&self, body: usize) -> bool {
        self.head.load(Relaxed) == BLANK && self.body.load(Relaxed) >= body as u64
    }

    /// A request with such a body is written whole and not answered.
    fn is_out(&self, body: usize) -> bool {
        !self.between_requests() && self.whole(body)
    }

    /// Counts bytes that the socket took.
    fn wrote(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.between_requests() {
            self.started.fetch_add(1, Relaxed);
            self.head.store(0, Relaxed);
            self.body.store(0, Relaxed);
        }
        let mut seen = self.head.load(Relaxed);
        let mut rest = bytes;
        while let (Some((byte, after)), true) = (rest.split_first(), seen < BLANK) {
            let expected = if seen.is_multiple_of(2) { b'\r' } else { b'\n' };
            seen = match *byte {
                b if b == expected => seen + 1,
                b'\r' => 1,
                _ => 0,
            };
            rest = after;
        }
        self.head.store(seen, Relaxed);
        self.body.fetch_add(rest.len() as u64, Relaxed);
    }

    /// The head of an answer to a request with such a body was read.
    fn answered(&self, body: usize) {
        if !self.whole(body) {
            self.doubtful.store(true, Relaxed);
        }
        self.answered.store(self.started.load(Relaxed), Relaxed);
    }

    /// What an exchange that broke off proves of a request with such a body.
    fn broke(&self, body: usize) -> Outcome {
        let never = self.between_requests() || !self.whole(body);
        if never && !self.doubtful.load(Relaxed) {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        }
    }
}

/// A connection to a destination that counts what is written.
struct Counted {
    inner: TokioIo<TcpStream>,
    wire: Arc<Wire>,
    addr: SocketAddr,
    closed: Arc<AtomicBool>,
    _descriptor: OwnedSemaphorePermit,
}

impl Counted {
    fn check(&self) -> io::Result<()> {
        if !self.wire.may_write(self.closed.load(Relaxed)) {
            return Err(io::Error::other("the destination drains"));
        }
        // Guards answers: bytes that wait here before a request belong to none, and would be read as its
        // answer. The runtime may not have seen them yet, nor that the other side has closed.
        if self.wire.ended_idle() {
            let mut byte = [MaybeUninit::uninit()];
            match SockRef::from(self.inner.inner()).peek(&mut byte) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                seen => {
                    let _ = seen.inspect_err(|e| calls::failed(self.addr, "look", e));
                    return Err(io::Error::other("the connection is of no further use"));
                }
            }
        }
        Ok(())
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        calls::told(self.addr, "read", done)
    }
}

impl Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check()?;
        let done = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = done {
            self.wire.wrote(&buf[..count]);
        }
        calls::told(self.addr, "write", done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let done = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(mut count)) = done {
            for buf in bufs {
                let taken = count.min(buf.len());
                self.wire.wrote(&buf[..taken]);
                count -= taken;
            }
        }
        calls::told(self.addr, "write", done)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Connection for Counted {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.wire.clone())
    }
}

/// Opens connections to one destination.
#[derive(Clone)]
struct Dialer {
    addr: SocketAddr,
    closed: Arc<AtomicBool>,
    fleet: Arc<Fleet>,
}

impl Dialer {
    async fn dial(self) -> io::Result<Counted> {
        let deadline = Instant::now() + self.fleet.connect_wait;
        let descriptor = self.fleet.sockets.clone().try_acquire_owned().map_err(io::Error::other)?;
        let stream = timeout_at(deadline, TcpStream::connect(self.addr)).await??;
        Ok(self.counted(stream, descriptor))
    }

    /// Takes a connection that came up into use. Guards it: one that refuses an option set for speed alone
    /// serves all the same, and to drop it would be to dial for every route step.
    fn counted(self, stream: TcpStream, descriptor: OwnedSemaphorePermit) -> Counted {
        calls::send_at_once(&stream, self.addr);
        let inner = TokioIo::new(stream);
        let (addr, wire) = (self.addr, Arc::default());
        Counted { inner, wire, addr, closed: self.closed, _descriptor: descriptor }
    }
}

impl tower_service::Service<Uri> for Dialer {
    type Response = Counted;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Counted>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        COUNTERS.dials.one();
        let (dial, addr) = (self.clone().dial(), self.addr);
        let failed = move |e: &io::Error| {
            COUNTERS.dials_failed.one();
            calls::failed(addr, "dial", e);
        };
        Box::pin(async move { dial.await.inspect_err(failed) })
    }
}

type Pool = Client<Dialer, Full<Bytes>>;
type Step = Pin<Box<dyn Future<Output = ((RequestId, u32), Instant, Result<StepEnd, Aborted>)> + Send>>;
type Probe = Pin<Box<dyn Future<Output = (Instant, Outcome, LoadReport)> + Send>>;

struct Destination {
    backend: BackendId,
    pool: Pool,
    authority: Authority,
    closed: Arc<AtomicBool>,
    fleet: Arc<Fleet>,
    steps: FuturesUnordered<Step>,
    cancels: HashMap<(RequestId, u32), AbortHandle>,
    probes: FuturesUnordered<Probe>,
}

impl Destination {
    fn new(backend: BackendId, dialer: Dialer, fleet: Arc<Fleet>) -> Destination {
        let authority = dialer.addr.to_string().try_into().expect("an address is an authority");
        let closed = dialer.closed.clone();
        // Spare connections: where one becomes free while another is dialled, the client goes on with the
        // dial and keeps it. It is used by the next step or retired; `dials` against `steps` shows them.
        let pool = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(fleet.keepalive / RETIRE)
            .http1_max_buf_size(LARGEST_HEAD)
            .retry_canceled_requests(false)
            .build(dialer);
        Destination {
            backend,
            pool,
            authority,
            closed,
            fleet,
            steps: FuturesUnordered::new(),
            cancels: HashMap::new(),
            probes: FuturesUnordered::new(),
        }
    }

    async fn run(mut self, mut mailbox: mpsc::Receiver<Order>) {
        let mut open = true;
        while open || !self.steps.is_empty() || !self.probes.is_empty() {
            tokio::select! {
                order = mailbox.recv(), if open => match order {
                    Some(order) => self.take(order),
                    None => open = false,
                },
                Some((key, begun, end)) = self.steps.next(), if !self.steps.is_empty() => {
                    self.cancels.remove(&key);
                    let canceled = |_| StepEnd::bare(key.0, key.1, Outcome::Canceled, begun.elapsed());
                    tell(&self.fleet.module, end.unwrap_or_else(canceled)).await;
                }
                Some((begun, outcome, report)) = self.probes.next(), if !self.probes.is_empty() => {
                    let (backend, latency) = (self.backend.clone(), begun.elapsed());
                    let _ = self.fleet.module.send(Mail::Probed { backend, outcome, latency, report }).await;
                }
            }
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Step(step) => {
                COUNTERS.steps.one();
                let (key, begun) = ((step.request, step.attempt), step.begun);
                let (work, cancel) = abortable(self.step(step));
                self.cancels.insert(key, cancel);
                self.steps.push(Box::pin(async move { (key, begun, work.await) }));
            }
            Order::Cancel { request, attempt } => {
                if let Some(cancel) = self.cancels.get(&(request, attempt)) {
                    cancel.abort();
                }
            }
            Order::Probe { begun, deadline } => {
                COUNTERS.probes.one();
                let probe = self.probe(deadline);
                self.probes.push(Box::pin(async move {
                    let (outcome, report) = probe.await;
                    (begun, outcome, report)
                }));
            }
        }
    }

    /// What an attempt writes.
    fn request(authority: &Authority, step: &RouteStep) -> Request<Full<Bytes>> {
        let forward = &step.forward;
        let mut request = Request::new(Full::new(forward.body.clone()));
        *request.method_mut() = forward.method.clone();
        *request.uri_mut() = uri(authority, forward.path.clone());
        let headers = request.headers_mut();
        headers.insert(X_REQUEST_ID, forward.id.value().clone());
        if let Some(key) = &forward.key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        let left = step.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(X_DEADLINE_MS, HeaderValue::from(left));
        if forward.method != Method::GET {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(forward.body.len()));
        }
        request
    }

    /// One attempt, from finding a connection to the answer's last byte. Its deadline, and a cancel, drop
    /// the exchange, and the client closes a connection whose exchange was dropped.
    fn step(&self, step: RouteStep) -> impl Future<Output = StepEnd> + Send + 'static {
        let (pool, authority) = (self.pool.clone(), self.authority.clone());
        let (fleet, closed) = (self.fleet.clone(), self.closed.clone());
        async move {
            let mut end = StepEnd::bare(step.request, step.attempt, Outcome::NotSent, Duration::ZERO);
            // Guards drains: a step may have waited in the mailbox while its destination began to drain, or its
            // client went away.
            while !closed.load(Relaxed) && !step.forward.left.is_cancelled() {
                let mut request = Self::request(&authority, &step);
                let used = capture_connection(&mut request);
                let body = step.forward.body.len();
                let ended = {
                    let exchange = exchange(&pool, request, &used, body, &fleet, &mut end);
                    let exchange = timeout_at(step.deadline, exchange);
                    tokio::pin!(exchange);
                    tokio::select! {
                        biased;
                        ended = &mut exchange => Some(ended),
                        // Guards against beginning, or going on to write, what nobody waits for: a dial may be late
                        // by seconds. What was written whole runs, and its end is waited for.
                        () = step.forward.left.cancelled() => match wire(&used).is_some_and(|w| w.is_out(body)) {
                            true => Some(exchange.await),
                            false => None,
                        },
                    }
                };
                let Some(ended) = ended else {
                    end.outcome = Outcome::Canceled;
                    break;
                };
                end.outcome = match ended {
                    Ok(Outcome::ConnectFailed) if closed.load(Relaxed) => Outcome::NotSent,
                    // Guards against blaming a destination for a connection that ended while it stood idle:
                    // nothing was written to it, and there are others.
                    Ok(Outcome::ConnectFailed) if wire(&used).is_some_and(|w| w.ended_idle()) => {
                        COUNTERS.steps_redialled.one();
                        continue;
                    }
                    // Guards against blaming a destination for want of descriptors here.
                    Ok(Outcome::ConnectFailed) if wire(&used).is_none() && fleet.is_short() => {
                        Outcome::NotSent
                    }
                    Ok(outcome) => outcome,
                    // Guards repeats: without a connection nothing was written; with one, the client may
                    // yet write what it holds before it closes.
                    Err(_) if wire(&used).is_none() => Outcome::ConnectFailed,
                    Err(_) => Outcome::TimedOut,
                };
                break;
            }
            end.latency = step.begun.elapsed();
            end
        }
    }

    fn probe(&self, deadline: Instant) -> impl Future<Output = (Outcome, LoadReport)> + Send + 'static {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = uri(&self.authority, PathAndQuery::from_static("/health"));
        let (pool, fleet) = (self.pool.clone(), self.fleet.clone());
        async move {
            match timeout_at(deadline, pool.request(request)).await {
                Ok(Ok(answer)) => {
                    let ok = answer.status() == StatusCode::OK;
                    let outcome = if ok { Outcome::Ok } else { Outcome::Error };
                    (outcome, report(answer.headers(), &fleet.names))
                }
                Ok(Err(_)) => (Outcome::ConnectFailed, LoadReport::default()),
                Err(_) => (Outcome::TimedOut, LoadReport::default()),
            }
        }
    }
}

fn uri(authority: &Authority, path: PathAndQuery) -> Uri {
    let mut parts = axum::http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority.clone());
    parts.path_and_query = Some(path);
    Uri::from_parts(parts).expect("scheme, authority and path make an address")
}

/// Tells the module how a route step ended.
async fn tell(module: &mpsc::Sender<Mail>, end: StepEnd) {
    match end.outcome {
        Outcome::Ok => &COUNTERS.steps_ok,
        Outcome::Error => &COUNTERS.steps_error,
        Outcome::Rejected => &COUNTERS.steps_rejected,
        Outcome::TimedOut => &COUNTERS.steps_timed_out,
        Outcome::ConnectFailed => &COUNTERS.steps_connect_failed,
        Outcome::Reset => &COUNTERS.steps_reset,
        Outcome::Canceled => &COUNTERS.steps_canceled,
        Outcome::NotSent => &COUNTERS.steps_not_sent,
    }
    .one();
    // The module never waits for a destination, so this wait ends.
    let _ = module.send(Mail::StepEnded(end)).await;
}

/// The state of the connection that a request was given, if it was given one.
fn wire(used: &CaptureConnection) -> Option<Arc<Wire>> {
    let mut extras = Extensions::new();
    used.connection_metadata().as_ref()?.get_extras(&mut extras);
    extras.remove()
}

async fn exchange(
    pool: &Pool,
    request: Request<Full<Bytes>>,
    used: &CaptureConnection,
    body: usize,
    fleet: &Fleet,
    end: &mut StepEnd,
) -> Outcome {
    let names = &fleet.names;
    let asked = pool.request(request).await;
    let wire = wire(used);
    // Written whole: the last byte was taken before the answer's head was read, or the exchange broke.
    if wire.as_ref().is_some_and(|w| w.is_out(body)) {
        fleet.figures.written();
    }
    let Ok(answer) = asked else {
        // Guards repeats: "could not connect" only where the socket did not take the last byte.
        return wire.map_or(Outcome::ConnectFailed, |wire| wire.broke(body));
    };
    if let Some(wire) = wire {
        wire.answered(body);
    }
    let (head, content) = answer.into_parts();
    // Guards answers: which of two framings was meant nobody can tell, nor where the next answer begins.
    let framings = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING].map(|n| head.headers.contains_key(n));
    if framings == [true, true] {
        used.connection_metadata().as_ref().inspect(|c| c.poison());
        return Outcome::Reset;
    }
    end.report = report(&head.headers, names);
    let figure = |name| head.headers.get(name)?.to_str().ok()?.parse::<f64>().ok();
    end.metered = figure(X_METER).filter(|f| *f >= 1.0 && f.is_finite()).map(|f| (f - 1.0) / 100.0);
    end.cost = figure(X_SETTLED).filter(|f| *f > 0.0 && f.is_finite());
    match Limited::new(content, LARGEST_BODY).collect().await {
        Ok(content) if head.status == StatusCode::OK => {
            end.body = Some(content.to_bytes());
            Outcome::Ok
        }
        Ok(_) if turned_away(head.status, &head.headers) => Outcome::Rejected,
        Ok(_) => Outcome::Error,
        Err(_) => Outcome::Reset,
    }
}

/// Whether an answer proves that the request never ran. Guards repeats: 503 or 504 alone proves nothing.
fn turned_away(status: StatusCode, headers: &HeaderMap) -> bool {
    let refused = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    refused && headers.get(X_NOT_RUN).is_some_and(|v| v == "1")
}

/// The load report that an answer carries; one that makes no sense is none.
fn report(headers: &HeaderMap, names: &Names) -> LoadReport {
    let text = headers.get(X_LOAD).and_then(|v| v.to_str().ok());
    text.and_then(|t| names.load_report(t, '=').ok()).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::fixed;
    use crate::net::ids::OpenIds;
    use proptest::prelude::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio_util::sync::CancellationToken;

    #[derive(Clone, Debug)]
    enum Move {
        /// Writes up to so many bytes of the request under way; a new one with such a body if there is none.
        Write(usize, usize),
        Answer,
        Drain,
    }

    fn a_move() -> impl Strategy<Value = Move> {
        prop_oneof![
            6 => (1usize..80, 0usize..40).prop_map(|(bytes, body)| Move::Write(bytes, body)),
            2 => Just(Move::Answer),
            1 => Just(Move::Drain),
        ]
    }

    proptest! {
        #![proptest_config(fixed(512))]
        /// A connection's states against a model that knows each request's bytes.
        #[test]
        fn what_a_break_proves_is_what_was_written(moves in prop::collection::vec(a_move(), 1..80)) {
            let wire = Wire::default();
            // The request under way, its body's length and how much of it is written; whether it drains.
            let mut request: Option<(Vec<u8>, usize, usize)> = None;
            let mut drains = false;
            for one in moves {
                match one {
                    Move::Write(most, body) => {
                        let begins = request.is_none();
                        prop_assert_eq!(wire.may_write(drains), !(begins && drains));
                        if begins && drains {
                            continue;
                        }
                        let (bytes, _, written) = request.get_or_insert_with(|| {
                            let mut bytes = b"POST /send/1 HTTP/1.1\r\nX-Odd: \r \r\r\n\r\n".to_vec();
                            bytes.extend(b"\r\n\r\n".iter().cycle().take(body));
                            (bytes, body, 0)
                        });
                        let end = (*written + most).min(bytes.len());
                        wire.wrote(&bytes[*written..end]);
                        *written = end;
                    }
                    Move::Answer => {
                        let whole = |r: &mut (Vec<u8>, usize, usize)| r.2 == r.0.len();
                        if let Some((_, body, _)) = request.take_if(whole) {
                            wire.answered(body);
                        }
                    }
                    Move::Drain => drains = true,
                }
                let (body, ran) = match &request {
                    Some((bytes, body, written)) => (*body, *written == bytes.len()),
                    None => (0, false),
                };
                let proved = if ran { Outcome::Reset } else { Outcome::ConnectFailed };
                prop_assert_eq!(wire.broke(body), proved);
            }
        }
    }

    /// What a scripted destination does with a request; its name is the request's path.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Conduct {
        Serve,
        TurnAway,
        PlainBusy,
        Error,
        Close,
        Half,
        Silent,
        Cancel,
        /// Good answers, with more than belongs to them.
        Early,
        Odd,
        Behind,
        Twice,
        /// Spoilt answers on a connection that stays open.
        Noise,
        Endless,
        Huge,
        Lengths,
        Framings,
        Negative,
    }
    use Conduct::*;

    const ALL: [Conduct; 18] = [
        Serve, TurnAway, PlainBusy, Error, Close, Half, Silent, Cancel, Early, Odd, Behind, Twice, Noise,
        Endless, Huge, Lengths, Framings, Negative,
    ];

    impl Conduct {
        fn answer(self) -> &'static [u8] {
            match self {
                Serve => b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok",
                TurnAway => b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                PlainBusy => b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                Error => b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
                Half => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
                Close | Silent | Cancel => b"",
                Early => {
                    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n\
                    HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok"
                }
                Odd => {
                    b"HTTP/1.1 200 OK\r\nX-Load: util=much\r\nX-Meter: NaN\r\nX-Settled: inf\r\n\
                    Content-Length: 2\r\n\r\nok"
                }
                Behind => b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok\x07\x00noise",
                Twice => {
                    b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok\
                    HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok"
                }
                Noise => b"\x16\x03\x01 no answer at all\r\n\r\n",
                Endless => b"HTTP/1.1 200 OK\r\nX-More: and more",
                Huge => b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand more",
                Lengths => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                Framings => {
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
                    2\r\nok\r\n0\r\n\r\n"
                }
                Negative => b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
            }
        }

        /// The outcome, and whether the connection can be used again.
        fn proves(self) -> (Outcome, bool) {
            match self {
                Serve => (Outcome::Ok, true),
                TurnAway => (Outcome::Rejected, true),
                PlainBusy | Error => (Outcome::Error, true),
                Early | Odd => (Outcome::Ok, true),
                Behind | Twice => (Outcome::Ok, false),
                Noise | Endless | Huge | Lengths | Framings | Negative => (Outcome::Reset, false),
                Close | Half => (Outcome::Reset, false),
                Silent => (Outcome::TimedOut, false),
                Cancel => (Outcome::Canceled, false),
            }
        }
    }

    /// Accepts connections and tells of each, of each request that came whole, and of each end.
    async fn script(listener: TcpListener, told: mpsc::UnboundedSender<&'static str>) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = told.send("accepted");
            let told = told.clone();
            tokio::spawn(async move {
                let (mut text, mut buffer) = (String::new(), [0; 1024]);
                loop {
                    match stream.read(&mut buffer).await {
                        Ok(count) if count > 0 => text += std::str::from_utf8(&buffer[..count]).unwrap(),
                        _ => break,
                    }
                    if !text.ends_with("\r\n\r\nbody") {
                        continue;
                    }
                    let conduct = ALL.iter().find(|c| text.starts_with(&format!("POST /{c:?} "))).unwrap();
                    text.clear();
                    let _ = told.send("read");
                    let _ = stream.write_all(conduct.answer()).await;
                    // What has no end goes on for as long as it is read.
                    while matches!(conduct, Endless | Huge) && stream.write_all(&[b'x'; 4096]).await.is_ok() {
                    }
                    if matches!(conduct, Close | Half) {
                        break;
                    }
                }
                drop(stream);
                let _ = told.send("ended");
            });
        }
    }

    fn a_step(conduct: Conduct, attempt: u32, wait: Duration) -> RouteStep {
        let forward = Forward {
            method: Method::POST,
            path: format!("/{conduct:?}").try_into().unwrap(),
            id: OpenIds::default().claim(HeaderValue::from_static("9b1f03aa5c7e2d41")).unwrap(),
            key: None,
            body: Bytes::from_static(b"body"),
            left: CancellationToken::new(),
        };
        let begun = Instant::now();
        RouteStep { request: 1, attempt, forward: Arc::new(forward), begun, deadline: begun + wait }
    }

    const LONG: Duration = Duration::from_secs(60);

    fn fleet() -> (Arc<Fleet>, mpsc::Receiver<Mail>) {
        let (module, mail) = mpsc::channel(64);
        let sockets = Arc::new(Semaphore::new(8));
        let names = Names::new(["read"], ["small"], ["util"]);
        let figures = Arc::new(Figures::new(["read"]));
        (Arc::new(Fleet { names, connect_wait: LONG, keepalive: LONG, sockets, module, figures }), mail)
    }

    async fn end(mail: &mut mpsc::Receiver<Mail>) -> StepEnd {
        match mail.recv().await {
            Some(Mail::StepEnded(end)) => end,
            _ => panic!("a destination tells how steps ended"),
        }
    }

    /// A destination's actor before a scripted listener: what the listener tells, and the module's mail.
    async fn scripted() -> (Handle, mpsc::UnboundedReceiver<&'static str>, mpsc::Receiver<Mail>, AbortHandle)
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (told, news) = mpsc::unbounded_channel();
        let (served, end) = abortable(script(listener, told));
        tokio::spawn(served);
        let (fleet, mail) = fleet();
        (Handle::start("s-1".into(), addr, fleet), news, mail, end)
    }

    /// Plays steps one after another; the model knows whether a connection stands.
    async fn play(conducts: Vec<Conduct>) {
        let (handle, mut news, mut mail, served) = scripted().await;
        let mut stands = false;
        for (attempt, conduct) in conducts.into_iter().enumerate() {
            let attempt = attempt as u32;
            // A deadline can be told from a dial that failed only where no dial is needed.
            if conduct == Silent && !stands {
                continue;
            }
            let wait = if conduct == Silent { Duration::from_millis(5) } else { LONG };
            assert!(handle.order(Order::Step(a_step(conduct, attempt, wait))));
            if !stands {
                assert_eq!(news.recv().await, Some("accepted"), "{conduct:?}");
            }
            assert_eq!(news.recv().await, Some("read"), "{conduct:?}");
            if conduct == Cancel {
                handle.order(Order::Cancel { request: 1, attempt });
            }
            let end = end(&mut mail).await;
            let (outcome, again) = conduct.proves();
            assert_eq!((end.attempt, end.outcome), (attempt, outcome), "{conduct:?}");
            let good = outcome == Outcome::Ok;
            assert_eq!(end.body.as_deref(), good.then_some(&b"ok"[..]), "{conduct:?}");
            assert_eq!(end.report.utilization.is_some(), good && conduct != Odd, "{conduct:?}");
            assert_eq!((end.metered, end.cost), (None, None), "{conduct:?}");
            // Guards against an attempt that goes on unseen: its connection ends with it.
            if !again {
                assert_eq!(news.recv().await, Some("ended"), "{conduct:?}");
            }
            stands = again;
        }
        handle.close();
        handle.order(Order::Step(a_step(Serve, 99, LONG)));
        assert_eq!(end(&mut mail).await.outcome, Outcome::NotSent, "it drains");
        assert!(news.try_recv().is_err());
        served.abort();
    }

    proptest! {
        #![proptest_config(fixed(48))]
        /// Route steps on real sockets: each ends as what the destination did proves, on the connection that
        /// stands or on a new one.
        #[test]
        fn steps_end_as_their_destination_did(
            conducts in prop::collection::vec(
                prop::sample::select(ALL.to_vec()),
                1..12,
            )
        ) {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(play(conducts));
        }
    }

    /// A request that waited for its connection while its destination began to drain is never written.
    #[tokio::test]
    async fn a_connection_that_comes_up_in_a_drain_takes_no_request() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (fleet, _mail) = fleet();
        let closed = Arc::new(AtomicBool::new(false));
        let addr = listener.local_addr().unwrap();
        let dialer = Dialer { addr, closed: closed.clone(), fleet: fleet.clone() };
        let destination = Destination::new("s-1".into(), dialer, fleet);
        let step = destination.step(a_step(Serve, 0, LONG));
        tokio::pin!(step);
        assert!(futures_util::poll!(step.as_mut()).is_pending(), "it dials");
        closed.store(true, Relaxed);
        assert_eq!(step.await.outcome, Outcome::NotSent);
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(destination);
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0, "nothing was written");
    }

    /// A copy of an answer that comes behind it, before the runtime looks, is not the next request's answer.
    #[tokio::test]
    async fn bytes_that_wait_before_a_request_are_not_its_answer() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (fleet, mut mail) = fleet();
        let handle = Handle::start("s-1".into(), listener.local_addr().unwrap(), fleet);
        let mut streams = Vec::new();
        for (attempt, answer) in [b"ok", b"no"].into_iter().enumerate() {
            handle.order(Order::Step(a_step(Serve, attempt as u32, LONG)));
            let (mut stream, _) = tokio::select! {
                accepted = listener.accept() => accepted.unwrap(),
                end = end(&mut mail) => panic!("answered by what came before: {end:?}"),
            };
            let mut text = Vec::new();
            while !text.ends_with(b"\r\n\r\nbody") {
                stream.read_buf(&mut text).await.unwrap();
            }
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
            stream.write_all(&[&head[..], answer].concat()).await.unwrap();
            assert_eq!(end(&mut mail).await.body.as_deref(), Some(&answer[..]));
            stream.try_write(Serve.answer()).unwrap();
            streams.push(stream);
        }
    }

    /// Connections at a server are scarce and a new one costs: steps that follow each other share one.
    #[tokio::test]
    async fn route_steps_one_after_another_use_one_connection() {
        let (handle, mut news, mut mail, served) = scripted().await;
        for attempt in 0..20 {
            handle.order(Order::Step(a_step(Serve, attempt, LONG)));
            assert_eq!(end(&mut mail).await.outcome, Outcome::Ok);
        }
        let mut all = Vec::new();
        while let Ok(one) = news.try_recv() {
            all.push(one);
        }
        assert_eq!(all.iter().filter(|n| **n == "accepted").count(), 1, "{all:?}");
        served.abort();
    }

    /// A socket that can't be told to send at once (here one of another family under a stream's name) is
    /// used as it is.
    #[tokio::test]
    async fn a_connection_that_refuses_an_option_is_used_all_the_same() {
        let (near, far) = std::os::unix::net::UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let near = std::net::TcpStream::from(std::os::fd::OwnedFd::from(near));
        let stream = TcpStream::from_std(near).unwrap();
        assert!(stream.set_nodelay(true).is_err(), "it has no such option");
        let (fleet, _mail) = fleet();
        let descriptor = fleet.sockets.clone().try_acquire_owned().unwrap();
        let addr = "127.0.0.1:1".parse().unwrap();
        let dialer = Dialer { addr, closed: Arc::default(), fleet };
        let mut counted = dialer.counted(stream, descriptor);
        let wrote = std::future::poll_fn(|cx| Pin::new(&mut counted).poll_write(cx, b"POST /")).await;
        assert_eq!(wrote.unwrap(), 6);
        let mut read = [0; 6];
        std::io::Read::read_exact(&mut { far }, &mut read).unwrap();
        assert_eq!(&read, b"POST /");
    }

    #[tokio::test]
    async fn a_probe_tells_the_load() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (fleet, mut mail) = fleet();
        let handle = Handle::start("s-1".into(), listener.local_addr().unwrap(), fleet);
        let begun = Instant::now();
        handle.order(Order::Probe { begun, deadline: begun + LONG });
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.unwrap();
        assert_eq!(&head, b"GET /health ");
        stream.write_all(Serve.answer()).await.unwrap();
        match mail.recv().await {
            Some(Mail::Probed { outcome: Outcome::Ok, report, .. }) => {
                assert_eq!(report.utilization, Some(0.5))
            }
            _ => panic!("a probe that was answered"),
        }
    }

    /// A destination that never lets a connection come up ends a step as proved never to have run.
    #[tokio::test]
    async fn a_dial_that_cannot_be_made_proves_that_nothing_ran() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (fleet, mut mail) = fleet();
        let all = fleet.sockets.clone().acquire_many_owned(8).await.unwrap();
        let handle = Handle::start("s-1".into(), listener.local_addr().unwrap(), fleet);
        handle.order(Order::Step(a_step(Serve, 0, LONG)));
        assert_eq!(end(&mut mail).await.outcome, Outcome::NotSent, "no descriptor is left");
        drop((all, listener));
        handle.order(Order::Step(a_step(Serve, 1, LONG)));
        assert_eq!(end(&mut mail).await.outcome, Outcome::ConnectFailed, "nobody listens");
    }

    /// After an answer to half a request nothing is proved by counts, so a break may have run.
    #[test]
    fn an_early_answer_leaves_no_proof() {
        let wire = Wire::default();
        wire.wrote(b"POST /");
        wire.answered(8);
        assert_eq!(wire.broke(8), Outcome::Reset);
    }

    #[test]
    fn only_a_marked_503_or_504_is_turned_away() {
        let mut headers = HeaderMap::new();
        assert!(!turned_away(StatusCode::SERVICE_UNAVAILABLE, &headers));
        headers.insert(X_NOT_RUN, HeaderValue::from_static("1"));
        assert!(turned_away(StatusCode::SERVICE_UNAVAILABLE, &headers));
        assert!(turned_away(StatusCode::GATEWAY_TIMEOUT, &headers));
        assert!(!turned_away(StatusCode::INTERNAL_SERVER_ERROR, &headers));
    }
}
