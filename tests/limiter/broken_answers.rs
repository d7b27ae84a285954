//! Answers that a backend breaks off, near the clocks and at every point. A client gets a whole answer, or one that has
//! begun and can be told from a whole one; never nothing.

use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::client_forms::*;
use crate::harness::*;
use crate::paced_answers::{content, Framing};

/// Number of backends, so that a broken answer may be retried.
const BACKENDS: usize = 4;
/// Number of clients that send at the same time, and of requests that each of them sends.
const CLIENTS: usize = 10;
const REQUESTS: usize = 4;

/// How a backend breaks an answer off.
#[derive(Clone, Copy, Debug)]
struct BrokenAnswer {
    framing: Framing,
    /// Length of the body that it announces or means to send, and bytes of it that it sends.
    length: usize,
    sent: usize,
    /// Time from the request to the first byte of the answer, and from its last byte to the break.
    delay: Duration,
    gap: Duration,
    /// Whether it resets the connection, or closes it.
    resets: bool,
}

impl BrokenAnswer {
    const fn new(framing: Framing, length: usize, sent: usize, delay_ms: u64, gap_ms: u64) -> BrokenAnswer {
        let (delay, gap) = (Duration::from_millis(delay_ms), Duration::from_millis(gap_ms));
        BrokenAnswer { framing, length, sent, delay, gap, resets: true }
    }

    fn write(self, stream: &mut TcpStream) {
        thread::sleep(self.delay);
        write_start(stream, self.framing, self.length, &content(self.length)[..self.sent]);
        thread::sleep(self.gap);
        if self.resets {
            reset(stream);
        } else {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn start_limiter(self) -> (Limiter, std::sync::mpsc::Sender<Value>) {
        let backends: Vec<Backend> =
            (0..BACKENDS).map(|_| Backend::start(move |stream| self.write(stream))).collect();
        start_ready_limiter(entries(&backends, "Ready"))
    }
}

/// Returns the endpoint list's entries of backends.
fn entries(backends: &[Backend], state: &str) -> Vec<Value> {
    backends.iter().enumerate().map(|(n, backend)| backend.entry(&format!("s-{n}"), state)).collect()
}

/// Starts a limiter of these backends and waits until it is ready.
fn start_ready_limiter(servers: Vec<Value>) -> (Limiter, std::sync::mpsc::Sender<Value>) {
    let (limiter, push) = crate::start_limiter(servers);
    limiter.wait_until_ready();
    (limiter, push)
}

/// Sends requests from several clients at once, and returns what each of them got.
fn received_by_clients(limiter: &Limiter, form: ClientForm, deadline_ms: u64) -> Vec<ReceivedAnswer> {
    thread::scope(|scope| {
        let client = || -> Vec<ReceivedAnswer> {
            (0..REQUESTS).map(|_| form.send_and_receive(limiter, deadline_ms)).collect()
        };
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    })
}

fn assert_none_is_lost(answer: BrokenAnswer, form: ClientForm, deadline_ms: u64) {
    let (mut limiter, _push) = answer.start_limiter();
    let context = format!("{answer:?}, {form:?}, {deadline_ms} ms");
    for received in received_by_clients(&limiter, form, deadline_ms) {
        assert_ne!(received.end, End::NoByte, "{context}: {}", limiter.counters());
        let is_false = received.status == Some(200) && received.end == End::Whole;
        assert!(!is_false, "{context}: a cut answer of {} bytes looks whole", received.body.len());
    }
    assert_eq!(limiter.counter("responses_unwritten"), 0, "{context}");
}

/// Guards against a client's connection that ends with no byte, as its backend breaks off near the client's deadline.
#[test]
fn answer_broken_off_near_the_deadline_leaves_no_client_without_a_byte() {
    use Framing::{Chunked, UntilClose};
    for (answer, deadline_ms) in [
        (BrokenAnswer::new(UntilClose, 400, 200, 470, 0), 500),
        (BrokenAnswer { resets: false, ..BrokenAnswer::new(Chunked, 400, 20, 470, 0) }, 500),
        (BrokenAnswer::new(Chunked, 400, 200, 470, 1), 500),
        (BrokenAnswer::new(Chunked, 400, 200, 470, 3), 500),
        (BrokenAnswer::new(UntilClose, 20_000, 1, 450, 0), 500),
        (BrokenAnswer::new(UntilClose, 100, 0, 470, 0), 500),
    ] {
        assert_none_is_lost(answer, ClientForm::KeepAlive11, deadline_ms);
    }
}

/// Guards against a client with little time left whose connection ends with no byte.
#[test]
fn answer_broken_off_with_little_time_left_leaves_no_client_without_a_byte() {
    use Framing::{Chunked, UntilClose};
    for deadline_ms in [10, 23, 40, 60] {
        for framing in [Chunked, UntilClose] {
            for delay_ms in [0, 5, 15] {
                let answer = BrokenAnswer::new(framing, 400, 20, delay_ms, 0);
                assert_none_is_lost(answer, ClientForm::KeepAlive11, deadline_ms);
            }
        }
    }
}

/// Guards against an announced long answer of which nothing reaches the client, as it breaks off behind its first part.
#[test]
fn long_answer_broken_off_at_once_leaves_no_client_without_a_byte() {
    for (sent, gap_ms) in [(20, 0), (20, 1), (9_000, 0), (9_000, 1), (40_000, 0)] {
        let answer = BrokenAnswer::new(Framing::Length, 200_000, sent, 0, gap_ms);
        assert_none_is_lost(answer, ClientForm::KeepAlive11, 800);
    }
    let unannounced = BrokenAnswer::new(Framing::UntilClose, 60_000, 17_000, 0, 0);
    assert_none_is_lost(unannounced, ClientForm::KeepAlive11, 800);
}

/// Guards against a cut answer that looks whole, as neither a length nor chunks tell a client of HTTP/1.0 its end.
#[test]
fn cut_answer_without_framing_is_reset() {
    for form in [ClientForm::Plain10, ClientForm::KeepAlive10] {
        for (framing, sent) in
            [(Framing::Chunked, 48 << 10), (Framing::UntilClose, 48 << 10), (Framing::Chunked, 20)]
        {
            assert_none_is_lost(BrokenAnswer::new(framing, 100 << 10, sent, 0, 0), form, 800);
            assert_none_is_lost(BrokenAnswer::new(framing, 100 << 10, sent, 770, 0), form, 800);
        }
    }
}

/// Guards against a short answer near the deadline that is passed on and breaks, though a backend could be asked again.
#[test]
fn short_answer_broken_off_at_once_is_not_passed_on() {
    for framing in [Framing::Chunked, Framing::UntilClose] {
        for (delay_ms, gap_ms, deadline_ms) in [(15, 0, 23), (15, 1, 40), (470, 1, 500)] {
            let answer = BrokenAnswer::new(framing, 400, 20, delay_ms, gap_ms);
            let (limiter, _push) = answer.start_limiter();
            let received = received_by_clients(&limiter, ClientForm::KeepAlive11, deadline_ms);
            let begun = received.iter().filter(|received| received.end == End::BrokenOff).count();
            assert_eq!(begun, 0, "{answer:?}, {deadline_ms} ms: answers were begun and broken off");
        }
    }
}

/// How a backend ends an answer of `length` bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BackendEnd {
    Sound,
    Reset,
    ClosedEarly,
    /// Whole, and with bytes behind it.
    Excess,
    Silent,
}

const BACKEND_ENDS: [BackendEnd; 5] =
    [BackendEnd::Sound, BackendEnd::Reset, BackendEnd::ClosedEarly, BackendEnd::Excess, BackendEnd::Silent];

fn write_with_end(stream: &mut TcpStream, framing: Framing, body: &[u8], end: BackendEnd) {
    let is_whole = matches!(end, BackendEnd::Sound | BackendEnd::Excess);
    let sent = if is_whole { body } else { &body[..body.len() / 2] };
    write_start(stream, framing, body.len(), sent);
    if is_whole {
        write_end(stream, framing, end == BackendEnd::Excess);
    }
    match end {
        BackendEnd::Sound if framing != Framing::UntilClose => {}
        BackendEnd::Reset => reset(stream),
        BackendEnd::Silent => thread::sleep(Duration::from_secs(3)),
        _ => _ = stream.shutdown(Shutdown::Both),
    }
}

/// Plays every cell of client's form, backend's framing and end for one client's form and two lengths: one that is read
/// whole, and one that is passed on while it arrives.
fn assert_every_cell_holds(form: ClientForm) {
    thread::scope(|scope| {
        for length in [200, 48 << 10, 200_000] {
            for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
                for end in BACKEND_ENDS {
                    scope.spawn(move || assert_cell_holds(form, framing, end, length));
                }
            }
        }
    });
}

fn assert_cell_holds(form: ClientForm, framing: Framing, end: BackendEnd, length: usize) {
    let context = format!("{form:?}, {framing:?}, {end:?}, {length} bytes");
    let body = Arc::new(content(length));
    let sent = body.clone();
    let backend = Backend::start(move |stream| write_with_end(stream, framing, &sent, end));
    let (mut limiter, _push) = start_ready_limiter(vec![backend.entry("s-1", "Ready")]);
    let received = form.send_and_receive(&limiter, 800);
    assert_ne!(received.end, End::NoByte, "{context}");
    // Without a length or chunks, a close is the end that the backend meant.
    let closed_is_whole = framing == Framing::UntilClose && end == BackendEnd::ClosedEarly;
    let is_sound = closed_is_whole || matches!(end, BackendEnd::Sound | BackendEnd::Excess);
    if received.status == Some(200) && received.end == End::Whole {
        assert!(is_sound, "{context}: a cut answer of {} bytes looks whole", received.body.len());
        let expected = if closed_is_whole { &body[..length / 2] } else { &body[..] };
        assert!(received.body.starts_with(expected), "{context}: {} wrong bytes", received.body.len());
        let may_be_longer = framing == Framing::UntilClose && end == BackendEnd::Excess;
        assert!(may_be_longer || received.body.len() == expected.len(), "{context}: excess bytes");
    } else if is_sound && end != BackendEnd::Excess {
        panic!("{context}: a sound answer did not come whole: {:?} {:?}", received.status, received.end);
    }
    assert_eq!(limiter.counter("responses_unwritten"), 0, "{context}");
}

macro_rules! cells {
    ($($name:ident: $form:ident),*) => {
        $(
            /// Guards against an answer that is lost, or is cut and looks whole, for clients of one form.
            #[test]
            fn $name() {
                assert_every_cell_holds(ClientForm::$form);
            }
        )*
    };
}

cells! {
    answers_of_every_end_to_http_11_clients: KeepAlive11,
    answers_of_every_end_to_http_11_clients_that_close: Close11,
    answers_of_every_end_to_http_10_clients: Plain10,
    answers_of_every_end_to_http_10_clients_that_keep_alive: KeepAlive10,
    answers_of_every_end_to_pipelined_requests: Pipelined11
}

/// Guards against a body behind the head of an answer to HEAD, which would be read as the next answer.
#[test]
fn head_request_gets_an_answer_without_a_body() {
    let backend = Backend::answering("a report");
    let (mut limiter, _push) = start_ready_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    client.write(&get_request("large", 1).replace("GET", "HEAD"));
    let bytes = read_to_end(&mut client.into_stream()).bytes;
    let text = String::from_utf8(bytes).expect("text");
    assert!(text.starts_with("HTTP/1.1 4") && text.ends_with("\r\n\r\n"), "{text:?}");
    assert_eq!(limiter.counter("responses_unwritten"), 0);
}

/// Guards against whole answers that are lost as their backends drain, and close or reset right behind the last byte.
#[test]
fn drain_during_whole_answers_loses_none() {
    for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
        let backends: Vec<Backend> = (0..BACKENDS).map(|_| draining_backend(framing)).collect();
        let (mut limiter, push) = start_ready_limiter(entries(&backends, "Ready"));
        let received = thread::scope(|scope| {
            let received = scope.spawn(|| received_by_clients(&limiter, ClientForm::KeepAlive11, 60));
            thread::sleep(Duration::from_millis(30));
            for (version, drained) in (2..).zip(&entries(&backends, "Terminating")[..BACKENDS - 1]) {
                push.send(json!({"version": version, "full": false, "servers": [drained]})).expect("a watch");
                thread::sleep(Duration::from_millis(15));
            }
            received.join().expect("the clients")
        });
        let all_whole = received.iter().all(|answer| answer.end == End::Whole && answer.status == Some(200));
        assert!(all_whole, "{framing:?}: {:?}", limiter.counters());
        assert_eq!(limiter.counter("responses_unwritten"), 0);
    }
}

/// Starts a backend that works for 17 ms, and closes behind the last byte of each answer.
fn draining_backend(framing: Framing) -> Backend {
    Backend::start(move |stream| {
        thread::sleep(Duration::from_millis(17));
        write_with_end(stream, framing, b"a report", BackendEnd::Sound);
        let _ = stream.shutdown(Shutdown::Both);
    })
}

/// Guards against an answer that looks whole to a client of HTTP/1.0, as the process that passes it on is killed.
#[test]
fn kill_of_the_process_resets_an_answer_without_framing() {
    let backend = Backend::start(|stream| {
        write_start(stream, Framing::Chunked, 100_000, &content(50_000));
        thread::sleep(HANG_TIMEOUT);
    });
    let (limiter, _push) = start_ready_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    client.write(&get_request("large", 1).replace("HTTP/1.1", "HTTP/1.0"));
    let mut stream = client.into_stream();
    let first = read_first(&mut stream);
    limiter.signal("KILL");
    let rest = read_to_end(&mut stream);
    assert!(rest.is_reset, "{} bytes and an ordinary end", first + rest.bytes.len());
}

/// Guards against a request with hardly any time left that is answered as failed though it was never sent.
#[test]
fn request_with_hardly_any_time_left_is_refused_or_served() {
    let backend = Backend::answering("a report");
    let (mut limiter, _push) = start_ready_limiter(vec![backend.entry("s-1", "Ready")]);
    for deadline_ms in (0..=12).chain([20, 40, 60]) {
        let sent_before = backend.request_count();
        for received in received_by_clients(&limiter, ClientForm::KeepAlive11, deadline_ms) {
            let is_harmless = matches!(received.status, Some(200 | 429));
            let may_have_run = backend.request_count() > sent_before;
            assert!(is_harmless || may_have_run, "{deadline_ms} ms: {received:?}");
        }
    }
    assert_eq!(limiter.counter("responses_unwritten"), 0);
}
