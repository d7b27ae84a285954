//! Case 7: a server's second copy of an answer, some milliseconds late, is served to another client.

#[path = "../rig.rs"]
mod rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

use rig::{Case, Discovery, Record, Setup, Tier, BROKEN, HELD, PLANS};

/// One way between limiter and servers, as between two rooms.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Work of a request at a server.
const WORK: Duration = Duration::from_millis(10);
/// How long after an answer its second copy comes, if nothing waits on the connection.
const COPY_AFTER: Duration = Duration::from_millis(3);
/// One answer in so many has a second copy.
const SPOILT_ONE_IN: u64 = 20;
const SERVERS: usize = 4;
const CLIENTS: u64 = 24;
const SECONDS: u64 = 30;
const CLASS: &str = r#"[{"name":"report-read","credit":1.0,"deadlineMs":3000.0,"goalTimeMs":800.0,"lateValue":0.0,"repeat":"safe","keyScope":"all","windowMs":5000.0,"stream":false}]"#;

/// Forwards connections with the given delay each way. Bytes keep their order.
fn start_delay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            for (mut from, mut into) in [(near.try_clone().unwrap(), far.try_clone().unwrap()), (far, near)] {
                let (queue, queued) = mpsc::channel::<(Instant, Vec<u8>)>();
                std::thread::spawn(move || {
                    let mut chunk = [0u8; 8192];
                    while let Ok(count) = from.read(&mut chunk) {
                        if queue.send((Instant::now() + ONE_WAY, chunk[..count].to_vec())).is_err()
                            || count == 0
                        {
                            return;
                        }
                    }
                });
                std::thread::spawn(move || {
                    for (due, bytes) in queued {
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        if bytes.is_empty() || into.write_all(&bytes).is_err() {
                            break;
                        }
                    }
                    let _ = into.shutdown(std::net::Shutdown::Both);
                });
            }
        }
    });
    addr
}

/// A server whose answers are good. Behind one in `SPOILT_ONE_IN` comes a second copy of it, if nothing waits on the
/// connection by then.
fn start_server(id: usize, record: &Record, trouble: bool, copies: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (record, copies, answers) = (record.clone(), copies.clone(), Arc::new(AtomicU64::new(id as u64)));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (record, copies, answers) = (record.clone(), copies.clone(), answers.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some(heard) = rig::read_request(&mut stream, &mut rest) {
                    let request = heard.header("x-request-id").unwrap_or("").to_string();
                    std::thread::sleep(WORK);
                    let answer =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{request}", request.len());
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    record.line(format!("server s-{id} ran {request}"));
                    if !trouble || answers.fetch_add(1, SeqCst) % SPOILT_ONE_IN != 0 {
                        continue;
                    }
                    std::thread::sleep(COPY_AFTER);
                    // Nothing waits if no byte of a further request has come.
                    stream.set_nonblocking(true).unwrap();
                    let waits = !rest.is_empty() || stream.peek(&mut [0u8]).is_ok();
                    stream.set_nonblocking(false).unwrap();
                    if !waits {
                        copies.fetch_add(1, SeqCst);
                        record.line(format!("server s-{id}: second copy of the answer to {request}"));
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    addr
}

fn main() {
    let case = Case::new(7);
    let copies = Arc::new(AtomicU64::new(0));
    let entries: Vec<String> = (0..SERVERS)
        .map(|id| {
            let addr = start_delay(start_server(id, &case.record, case.trouble, &copies));
            format!("{{\"id\":\"s-{id}\",\"addr\":\"{addr}\",\"zone\":\"room-a\",\"kind\":\"small-2c\",\"cell\":1,\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}}")
        })
        .collect();
    let discovery = Discovery::start(entries.clone());
    let setup = Setup {
        count: 1,
        settings: String::new(),
        discovery: discovery.addr,
        known: entries,
        with_links: false,
        classes: CLASS.into(),
        plans: PLANS.replace("\"rate\":6.0,\"mostAtOnce\":25.0", "\"rate\":600.0,\"mostAtOnce\":600.0"),
        more: String::new(),
    };
    let mut tier = Tier::prepare(&case, &setup);
    tier.start(0);
    case.need(tier.wait_until(10_000, |tier| tier.is_ready(0)), "the limiter is not ready");

    let stop = Arc::new(AtomicBool::new(false));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let listen = tier.limiters[0].listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, foreign, served, other, record) =
                (stop.clone(), foreign.clone(), served.clone(), other.clone(), case.record.clone());
            std::thread::spawn(move || {
                let mut stream: Option<TcpStream> = None;
                let mut number = 0u64;
                while !stop.load(SeqCst) {
                    number += 1;
                    // Between 0 and 250 ms from one request to the next.
                    std::thread::sleep(Duration::from_millis((number * 7_919 + client * 104_729) % 250));
                    let id = format!("{client:04x}{number:012x}");
                    let customer = client;
                    let request = format!(
                        "GET /report-read/{customer:016x} HTTP/1.1\r\nHost: limiter\r\nX-Request-Id: {id}\r\nX-Class: report-read\r\n\
                         X-Contract: faculdade\r\nX-Deadline-Ms: 3000\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n"
                    );
                    if stream.is_none() {
                        stream = TcpStream::connect(listen).ok();
                        if let Some(stream) = &stream {
                            let _ = stream.set_nodelay(true);
                            let _ = stream.set_read_timeout(Some(Duration::from_millis(4_000)));
                        }
                    }
                    let Some(open) = &mut stream else { continue };
                    let answer = open.write_all(request.as_bytes()).ok().and_then(|()| rig::read_answer(open));
                    match answer {
                        Some(answer) if answer.status == 200 && answer.body == id => {
                            served.fetch_add(1, SeqCst);
                        }
                        Some(answer) if answer.status == 200 => {
                            record.line(format!("client {client}: sent {id}, was served the answer to {}", answer.body));
                            foreign.lock().unwrap().push(format!("{id} <- {}", answer.body));
                        }
                        Some(answer) => {
                            record.line(format!("client {client}: sent {id}, was answered {}", answer.status));
                            other.fetch_add(1, SeqCst);
                        }
                        None => {
                            record.line(format!("client {client}: sent {id}, no answer"));
                            other.fetch_add(1, SeqCst);
                            stream = None;
                        }
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(SECONDS));
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let foreign = foreign.lock().unwrap();
    case.record.say(format!(
        "served {}, refused or failed {}, second copies sent {}, served with the answer to another request: {}",
        served.load(SeqCst), other.load(SeqCst), copies.load(SeqCst), foreign.len()
    ));
    if foreign.is_empty() {
        case.end(HELD, "every client was served the answer to its own request");
    }
    case.end(BROKEN, &format!("clients were served the answers to other requests, first: {}", foreign[0]));
}
