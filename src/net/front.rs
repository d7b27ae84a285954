//! The front sockets: the platform's requests in, final answers out.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::request::Parts;
use axum::http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::Router;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use sedgestack::platform::Names;
use sedgestack::{Effect, Micros, Request, RequestId, Settings};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout_at, Instant};

use super::destination::{Forward, LARGEST_BODY};
use super::metrics::COUNTERS;
use super::module::{Mail, Reply, Taken};
use super::shutdown::Phase;
use crate::say;

/// A client's deadline counts from when it sent; its request took up to this long to come.
const ON_THE_WAY: Duration = Duration::from_millis(2);
/// The last-resort answer leaves this long before the client gives up, after any answer of the module's.
const LAST_RESORT: Duration = Duration::from_millis(4);
/// A front socket whose next request does not come whole for so long is closed.
const LONGEST_HEAD: Duration = Duration::from_secs(75);
/// Bytes of a request held unread at once: bounds memory over all front sockets.
const LARGEST_HEAD: usize = 64 << 10;
/// After an accept that failed, the next one waits: descriptors come free in this time, and not at once.
const ACCEPT_REST: Duration = Duration::from_millis(10);
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// What the front sockets share.
pub struct Front {
    names: Names,
    effects: Vec<Effect>,
    ready: Arc<AtomicBool>,
    stopping: watch::Receiver<Phase>,
    module: mpsc::Sender<Mail>,
    next: AtomicU64,
}

impl Front {
    /// Front sockets for the classes and plans of `settings`, before the mailbox of `module`.
    pub fn new(
        names: Names,
        settings: &Settings,
        ready: Arc<AtomicBool>,
        stopping: watch::Receiver<Phase>,
        module: mpsc::Sender<Mail>,
    ) -> Front {
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Front { names, effects, ready, stopping, module, next: AtomicU64::new(1) }
    }
}

/// Why a request does not reach the module.
#[derive(Debug, PartialEq)]
enum Unfit {
    UnknownPath,
    Malformed(&'static str),
}

impl IntoResponse for Unfit {
    fn into_response(self) -> Response {
        match self {
            Unfit::UnknownPath => {
                COUNTERS.unknown_path.one();
                (StatusCode::NOT_FOUND, "no such path\n").into_response()
            }
            Unfit::Malformed(what) => {
                COUNTERS.malformed.one();
                (StatusCode::BAD_REQUEST, format!("{what}\n")).into_response()
            }
        }
    }
}

/// A request's head, understood.
struct Head {
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
    spread: u32,
    patience: Duration,
    id: HeaderValue,
    key: Option<HeaderValue>,
}

fn hex16(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Reads the platform's path and headers.
fn understand(front: &Front, head: &Parts) -> Result<Head, Unfit> {
    let headers = &head.headers;
    let mut parts = head.uri.path().strip_prefix('/').unwrap_or_default().split('/');
    let (Some(class), Some(customer), None) = (parts.next(), parts.next(), parts.next()) else {
        return Err(Unfit::UnknownPath);
    };
    let place = front.names.class(class).ok_or(Unfit::UnknownPath)?;
    let need = |ok: bool, what| if ok { Ok(()) } else { Err(Unfit::Malformed(what)) };
    let text = |name: &'static str| headers.get(name).and_then(|v| v.to_str().ok());
    let customer = hex16(customer).filter(|c| *c < CUSTOMERS);
    let customer = customer.ok_or(Unfit::Malformed("the customer is not 16 hex digits below 2^33"))?;
    need(text("x-class") == Some(class), "X-Class is missing or not the path's class")?;
    let plan = text("x-contract").and_then(|n| front.names.plan(n));
    let plan = plan.ok_or(Unfit::Malformed("X-Contract is missing or unknown"))?;
    // No form is set for it: it passes on as it came.
    let id = headers.get("x-request-id").filter(|v| !v.is_empty());
    let id = id.cloned().ok_or(Unfit::Malformed("X-Request-Id is missing"))?;
    let patience = text("x-deadline-ms").and_then(|t| t.parse::<u32>().ok());
    let patience = patience.ok_or(Unfit::Malformed("X-Deadline-Ms is not a whole number"))?;
    let (units, spread) =
        metering(text("x-metering")).ok_or(Unfit::Malformed("X-Metering lacks units, spread or first"))?;
    let key = headers.get("idempotency-key").cloned();
    match front.effects[place] {
        Effect::Safe => need(head.method == Method::GET, "this class uses GET")?,
        Effect::Keyed { .. } => {
            need(head.method == Method::POST, "this class uses POST")?;
            need(key.as_ref().is_some_and(|k| !k.is_empty()), "Idempotency-Key is missing")?;
        }
        Effect::Unsafe => need(head.method == Method::POST, "this class uses POST")?,
    }
    let patience = Duration::from_millis(patience.into());
    Ok(Head { class: place, plan, customer, units, spread, patience, id, key })
}

/// Units and spread of `units=2,spread=3,first=1`.
fn metering(text: Option<&str>) -> Option<(f64, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text?.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        match name {
            "units" => units = value.parse::<f64>().ok().filter(|u| u.is_finite() && *u >= 0.0),
            "spread" => spread = value.parse::<u32>().ok().filter(|s| *s > 0),
            "first" => first = value.parse::<u32>().ok(),
            _ => {}
        }
    }
    first.and(units.zip(spread))
}

/// The body, if it is small enough.
async fn whole(headers: &HeaderMap, body: Body) -> Result<Bytes, Response> {
    let too_large = || {
        COUNTERS.too_large.one();
        StatusCode::PAYLOAD_TOO_LARGE.into_response()
    };
    let told = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if told.is_some_and(|length| length > LARGEST_BODY as u64) {
        return Err(too_large());
    }
    match Limited::new(body, LARGEST_BODY).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_large()),
        Err(_) => Err(Unfit::Malformed("the body broke off").into_response()),
    }
}

/// Tells the module when a client goes away: the handler of its request is dropped then.
struct Waiting {
    id: RequestId,
    module: mpsc::Sender<Mail>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Err(mpsc::error::TrySendError::Full(mail)) = self.module.try_send(Mail::Abandoned(self.id)) {
            let module = self.module.clone();
            tokio::spawn(async move { module.send(mail).await });
        }
    }
}

async fn take(State(front): State<Arc<Front>>, request: axum::extract::Request) -> Response {
    let came = Instant::now();
    let (parts, body) = request.into_parts();
    let head = match understand(&front, &parts) {
        Ok(head) => head,
        Err(unfit) => return unfit.into_response(),
    };
    let body = match whole(&parts.headers, body).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let deadline = came + head.patience.saturating_sub(ON_THE_WAY);
    let id = front.next.fetch_add(1, Relaxed);
    let request = Request {
        id,
        class: head.class,
        plan: head.plan,
        customer: head.customer,
        units: head.units,
        patience: 0,
        spread: head.spread,
    };
    let path = parts.uri.into_parts().path_and_query;
    let path = path.expect("a path that was understood is there");
    let forward = Arc::new(Forward { method: parts.method, path, id: head.id, key: head.key, body });
    let (reply, answer) = oneshot::channel();
    if front.module.try_send(Mail::Taken(Taken { request, forward, deadline, reply })).is_err() {
        COUNTERS.turned_away_full.one();
        return busy(0);
    }
    let mut waiting = Waiting { id, module: front.module.clone(), answered: false };
    let reply = timeout_at(deadline - LAST_RESORT.min(head.patience), answer).await;
    let mut response = match reply {
        Ok(Ok(reply)) => {
            waiting.answered = true;
            match reply {
                Reply::Served(body) => Response::new(Body::from(body)),
                Reply::Busy { retry_after } => busy(retry_after),
                Reply::Failed => StatusCode::BAD_GATEWAY.into_response(),
            }
        }
        // Guards the one answer in time against a reply lost inside: nobody knows whether it ran, so it
        // has failed. The module hears of it as of a client that went away.
        _ => {
            COUNTERS.last_resort.one();
            StatusCode::GATEWAY_TIMEOUT.into_response()
        }
    };
    if *front.stopping.borrow() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A busy reply, with the time after which to come again in seconds.
fn busy(retry_after: Micros) -> Response {
    let mut response = StatusCode::TOO_MANY_REQUESTS.into_response();
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after.max(1_000) as f64 / 1e6);
        let value = HeaderValue::try_from(seconds).expect("a number is a header's value");
        response.headers_mut().insert(const { HeaderName::from_static("retry-after") }, value);
    }
    response
}

async fn ready(State(front): State<Arc<Front>>) -> StatusCode {
    let ready = front.ready.load(Relaxed) && *front.stopping.borrow() == Phase::Serving;
    if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn routes(front: Front) -> Router {
    Router::new().route("/ready", get(ready)).fallback(take).with_state(Arc::new(front))
}

/// Accepts front sockets until the program stops, then answers what they brought and returns.
pub async fn serve(listen: SocketAddr, sockets: usize, front: Front) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    say!("front: listening on {}", listener.local_addr()?);
    let room = Arc::new(Semaphore::new(sockets));
    let mut stopping = front.stopping.clone();
    let routes = routes(front);
    let (finished, mut all_finished) = mpsc::channel::<()>(1);
    loop {
        let accept = async {
            let descriptor = room.clone().acquire_owned().await.expect("the semaphore is never closed");
            (listener.accept().await, descriptor)
        };
        let (accepted, descriptor) = tokio::select! {
            accepted = accept => accepted,
            _ = stopping.wait_for(|p| *p == Phase::Closing) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                COUNTERS.front_accept_failed.one();
                say!("front: accept: {e}");
                sleep_until(Instant::now() + ACCEPT_REST).await;
                continue;
            }
        };
        tokio::spawn(connection(
            stream,
            routes.clone(),
            stopping.clone(),
            (Some(descriptor), finished.clone()),
        ));
    }
    // What the machine accepted before the listener closes counts as taken too.
    while let Some(Ok((stream, _))) = futures_util::FutureExt::now_or_never(listener.accept()) {
        tokio::spawn(connection(stream, routes.clone(), stopping.clone(), (None, finished.clone())));
    }
    drop((listener, finished));
    all_finished.recv().await;
    Ok(())
}

/// Serves one front socket. One that stands idle when the program is told to stop is closed at once, one
/// that comes later when the listener is. `held` is let go with it: its descriptor, its share in the end.
fn connection(
    stream: TcpStream,
    routes: Router,
    mut stopping: watch::Receiver<Phase>,
    held: (Option<OwnedSemaphorePermit>, mpsc::Sender<()>),
) -> impl Future<Output = ()> + Send + 'static {
    COUNTERS.front_accepted.one();
    let _ = stream.set_nodelay(true);
    let came_late = *stopping.borrow() != Phase::Serving;
    async move {
        let _held = held;
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(LONGEST_HEAD)
            .max_buf_size(LARGEST_HEAD)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(routes));
        tokio::pin!(connection);
        let last = if came_late { Phase::Closing } else { Phase::Stopping };
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|p| *p >= last) => connection.as_mut().graceful_shutdown(),
        }
        // An error here is the client's: it went away, or spoke no HTTP.
        let _ = connection.await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tower_service::Service;

    /// The routes before a module of the test's own, whose mailbox holds one letter.
    fn front() -> (Router, mpsc::Receiver<Mail>, watch::Sender<Phase>) {
        let (module, mail) = mpsc::channel(1);
        let (phase, stopping) = watch::channel(Phase::Serving);
        let names = Names::new(["read"], ["small"], []);
        let front = Front {
            names,
            effects: vec![Effect::Safe],
            ready: Arc::default(),
            stopping,
            module,
            next: AtomicU64::new(1),
        };
        (routes(front), mail, phase)
    }

    fn request(patience: &str) -> axum::extract::Request {
        axum::http::Request::get("/read/00000000b4d65521")
            .header("X-Request-Id", "9b1f03aa5c7e2d41")
            .header("X-Class", "read")
            .header("X-Contract", "small")
            .header("X-Deadline-Ms", patience)
            .header("X-Metering", "units=2,spread=3,first=1")
            .body(Body::empty())
            .expect("a request")
    }

    fn taken(mail: Option<Mail>) -> Taken {
        match mail {
            Some(Mail::Taken(taken)) => taken,
            _ => panic!("the front hands over a request"),
        }
    }

    /// A reply that never comes, or is lost, is made up for before the client gives up.
    #[tokio::test(start_paused = true)]
    async fn a_lost_reply_is_made_up_for_in_time() {
        let (mut routes, mut mail, _phase) = front();
        let begun = Instant::now();
        let mut answer = routes.call(request("480"));
        assert!(futures_util::poll!(&mut answer).is_pending());
        let kept = taken(mail.recv().await);
        assert_eq!((kept.request.units, kept.request.spread), (2.0, 3));
        assert_eq!(answer.await.map(|a| a.status()), Ok(StatusCode::GATEWAY_TIMEOUT));
        assert!(begun.elapsed() < Duration::from_millis(480));
        assert!(matches!(mail.recv().await, Some(Mail::Abandoned(id)) if id == kept.request.id));

        let mut answer = routes.call(request("480"));
        assert!(futures_util::poll!(&mut answer).is_pending());
        let begun = Instant::now();
        drop(taken(mail.recv().await).reply);
        assert_eq!(answer.await.map(|a| a.status()), Ok(StatusCode::GATEWAY_TIMEOUT));
        assert_eq!(begun.elapsed(), Duration::ZERO, "at once");
    }

    /// A client that goes away is told of even when the mailbox is full, and a request is then turned away.
    #[tokio::test]
    async fn a_full_mailbox_loses_no_news() {
        let (mut routes, mut mail, _phase) = front();
        let mut gone = routes.call(request("480"));
        assert!(futures_util::poll!(&mut gone).is_pending());
        assert_eq!(routes.call(request("480")).await.map(|a| a.status()), Ok(StatusCode::TOO_MANY_REQUESTS));
        drop(gone);
        let id = taken(mail.recv().await).request.id;
        assert!(matches!(mail.recv().await, Some(Mail::Abandoned(gone)) if gone == id));
    }

    #[tokio::test]
    async fn answers_say_what_the_module_decided() {
        let (mut routes, mut mail, phase) = front();
        let replies = [
            (Reply::Served("a report".into()), 200, None),
            (Reply::Busy { retry_after: 250_000 }, 429, Some("0.250")),
            (Reply::Busy { retry_after: 0 }, 429, None),
            (Reply::Failed, 502, None),
        ];
        for (reply, status, after) in replies {
            let mut answer = routes.call(request("480"));
            assert!(futures_util::poll!(&mut answer).is_pending());
            taken(mail.recv().await).reply.send(reply).expect("the front waits");
            let answer = answer.await.expect("an answer");
            assert_eq!(answer.status().as_u16(), status);
            let header = |name| answer.headers().get(name).map(|v: &HeaderValue| v.to_str().expect("text"));
            assert_eq!((header("retry-after"), header("connection")), (after, None));
        }
        phase.send_replace(Phase::Stopping);
        let ready = axum::http::Request::get("/ready").body(Body::empty()).expect("a request");
        assert_eq!(routes.call(ready).await.map(|a| a.status()), Ok(StatusCode::SERVICE_UNAVAILABLE));
    }
}
