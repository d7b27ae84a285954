//! The rig of the second review's cases: limiters as processes, stand-ins for servers, discovery, clients and the
//! links between limiters, all on loopback addresses. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The option of `prctl` that has a process signalled when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// The numbers of SIGCONT and SIGSTOP, which are the same on Linux for x86-64 and arm64.
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// How a case ends: the exit status of its script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.started.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Writes a line into the record and onto standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// What a case is given by its script.
pub struct Case {
    pub record: Record,
    pub root: PathBuf,
    pub directory: PathBuf,
    /// Whether the disruption is made (`TROUBLE=0` leaves it out).
    pub trouble: bool,
    run: String,
}

impl Case {
    /// `number` is the case's folder under `review/`. Call it from the root of the repository.
    pub fn new(number: u32) -> Case {
        // What a script doesn't foresee is no verdict: it could not run.
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            report(panic);
            finish(NOT_RUN);
        }));
        let root = std::env::current_dir().expect("a working directory");
        let record = Record::new(&root.join(format!("review/{number}/record.txt")));
        let directory = std::env::temp_dir().join(format!("review-{number}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
        let line = deploy.lines().find(|line| line.starts_with("run ")).expect("the run line");
        let run = line.split('"').nth(1).expect("a quoted command").to_string();
        *FOLDER.lock().unwrap() = Some(directory.clone());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        // Whatever happens, the case ends within its time: the script exits with 2 then.
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            eprintln!("the case took too long");
            finish(NOT_RUN);
        });
        record.line(format!("run command: {run}; disruption: {trouble}"));
        Case { record, root, directory, trouble, run }
    }

    pub fn end(&self, status: i32, text: &str) -> ! {
        self.record.say(format!("exit {status}: {text}"));
        finish(status)
    }

    /// Ends the case as one that could not run, unless `condition` holds.
    pub fn need(&self, condition: bool, text: &str) {
        if !condition {
            self.end(NOT_RUN, &format!("could not run: {text}"));
        }
    }
}

static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends what the case started, removes its temporary folder and exits.
fn finish(status: i32) -> ! {
    end_all();
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(status)
}

/// Starts a process that doesn't outlive the case, however the case ends.
pub fn spawn(command: &mut Command) -> Child {
    // SAFETY: `prctl` with this option takes an integer and touches no memory of the process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    let child = command.spawn().expect("the process starts");
    STARTED.lock().unwrap().push(child.id() as i32);
    child
}

/// Ends every process that the case started and that has not been waited for.
fn end_all() {
    for pid in STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        signal_pid(pid, SIGKILL);
    }
}

fn signal_pid(pid: i32, signal: i32) {
    if pid > 0 {
        // SAFETY: `kill` takes two integers and touches no memory of this process.
        unsafe { kill(pid, signal) };
    }
}

/// The loopback address of a limiter, its own: no connection of a stand-in takes a port there while the limiter is down.
fn home(number: usize) -> String {
    format!("127.77.{}.{}:0", std::process::id() & 255, number + 1)
}

/// A free TCP port at a limiter's address.
pub fn free_tcp(number: usize) -> SocketAddr {
    TcpListener::bind(home(number)).unwrap().local_addr().unwrap()
}

pub fn free_udp(number: usize) -> SocketAddr {
    UdpSocket::bind(home(number)).unwrap().local_addr().unwrap()
}

/// An answer over HTTP.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// One call on a connection of its own. `None` if no whole answer came in time.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    wait_ms: u64,
) -> Option<Answer> {
    let wait = Duration::from_millis(wait_ms);
    let mut stream = TcpStream::connect_timeout(&to, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let request =
        format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n{headers}{length}\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut stream)
}

/// Reads an answer with a Content-Length, or up to the end of the connection.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 4096];
    loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let mut answer = Answer { status, head, body: String::new() };
            let length: Option<usize> = answer.header("content-length").and_then(|text| text.parse().ok());
            loop {
                let body = &bytes[end + 4..];
                if length.is_some_and(|length| body.len() >= length) {
                    answer.body = String::from_utf8_lossy(body).to_string();
                    return Some(answer);
                }
                match stream.read(&mut chunk) {
                    Ok(0) if length.is_none() => {
                        answer.body = String::from_utf8_lossy(body).to_string();
                        return Some(answer);
                    }
                    Ok(0) | Err(_) => return None,
                    Ok(count) => bytes.extend_from_slice(&chunk[..count]),
                }
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// The value of a key in flat JSON text: the text up to the next comma or brace, without quotes.
pub fn json_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &text[start..];
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next();
    }
    Some(rest.split([',', '}', ']']).next()?.trim())
}

/// A whole request as a server or discovery reads it.
pub struct Heard {
    pub head: String,
    pub body: Vec<u8>,
}

impl Heard {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the next request of a connection; `rest` holds bytes that came behind the one before.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Heard> {
    let mut chunk = [0u8; 4096];
    loop {
        if let Some(end) = find(rest, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).to_string();
            let heard = Heard { head, body: Vec::new() };
            let length: usize =
                heard.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if rest.len() >= end + 4 + length {
                let body = rest[end + 4..end + 4 + length].to_vec();
                rest.drain(..end + 4 + length);
                return Some(Heard { body, ..heard });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&chunk[..count]),
        }
    }
}

/// What a server does with a request; the stand-in's default serves it at once.
pub type Behaviour = Arc<dyn Fn(&Heard, &mut TcpStream) -> bool + Send + Sync>;

/// A server that serves each request with its id, and records what ran.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub ran: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub fn start(id: &str, record: &Record, behaviour: Option<Behaviour>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let (name, record, runs) = (id.to_string(), record.clone(), ran.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, runs, behaviour) =
                    (name.clone(), record.clone(), runs.clone(), behaviour.clone());
                thread::spawn(move || serve_connection(stream, &name, &record, &runs, behaviour.as_ref()));
            }
        });
        Server { id: id.to_string(), addr, ran }
    }

    /// The server's entry in discovery's list.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"room-a\",\"kind\":\"small-2c\",\"cell\":1,\"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}",
            self.id, self.addr
        )
    }
}

fn serve_connection(
    mut stream: TcpStream,
    name: &str,
    record: &Record,
    runs: &Mutex<Vec<String>>,
    behaviour: Option<&Behaviour>,
) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(heard) = read_request(&mut stream, &mut rest) {
        let id = heard.header("x-request-id").unwrap_or("").to_string();
        runs.lock().unwrap().push(id.clone());
        record.line(format!("server {name} ran {id} {}", heard.path()));
        if let Some(behaviour) = behaviour {
            if !behaviour(&heard, &mut stream) {
                return;
            }
            continue;
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Discovery: the whole list at the start of a watch, then an empty line every 2 s, and each change as it is made.
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<(u64, Vec<String>)>>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new((1u64, entries)));
        let shared = state.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let mut rest = Vec::new();
                    let _ = read_request(&mut stream, &mut rest);
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    if stream.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                    let mut told = 0;
                    let mut spoke = Instant::now();
                    loop {
                        let (version, list) = {
                            let state = shared.lock().unwrap();
                            (state.0, state.1.join(","))
                        };
                        let line = if version != told {
                            told = version;
                            format!("{{\"version\":{version},\"full\":true,\"servers\":[{list}]}}\n")
                        } else if spoke.elapsed() >= Duration::from_secs(2) {
                            "\n".to_string()
                        } else {
                            sleep_ms(20);
                            continue;
                        };
                        spoke = Instant::now();
                        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Discovery { addr, state }
    }

    pub fn set(&self, entries: Vec<String>) {
        let mut state = self.state.lock().unwrap();
        *state = (state.0 + 1, entries);
    }
}

/// A relay under the links between limiters, which may cut a link in one direction.
pub struct Links {
    /// `addresses[i][j]` is the address by which limiter i reaches limiter j.
    addresses: Vec<Vec<SocketAddr>>,
    cut: Arc<Vec<Vec<AtomicBool>>>,
    /// How many datagrams each limiter has sent.
    sent: Arc<Vec<AtomicU64>>,
}

impl Links {
    pub fn start(listen: &[SocketAddr]) -> Links {
        let count = listen.len();
        let mut addresses: Vec<Vec<SocketAddr>> = vec![listen.to_vec(); count];
        let cut: Arc<Vec<Vec<AtomicBool>>> =
            Arc::new((0..count).map(|_| (0..count).map(|_| AtomicBool::new(false)).collect()).collect());
        let sent: Arc<Vec<AtomicU64>> = Arc::new((0..count).map(|_| AtomicU64::new(0)).collect());
        for i in 0..count {
            for j in i + 1..count {
                // Limiter i knows `a` as limiter j, and limiter j knows `b` as limiter i.
                let a = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
                let b = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
                addresses[i][j] = a.local_addr().unwrap();
                addresses[j][i] = b.local_addr().unwrap();
                for (from, to, input, output) in [(i, j, a.clone(), b.clone()), (j, i, b, a)] {
                    let (cut, sent, target) = (cut.clone(), sent.clone(), listen[to]);
                    thread::spawn(move || {
                        let mut bytes = [0u8; 512];
                        loop {
                            let Ok((length, _)) = input.recv_from(&mut bytes) else { continue };
                            sent[from].fetch_add(1, SeqCst);
                            if !cut[from][to].load(SeqCst) {
                                let _ = output.send_to(&bytes[..length], target);
                            }
                        }
                    });
                }
            }
        }
        Links { addresses, cut, sent }
    }

    /// Waits until a limiter sends the next datagram, 2 s at most: the next of its heartbeats.
    pub fn wait_for_heartbeat(&self, from: usize) {
        let (count, end) = (self.sent[from].load(SeqCst), Instant::now() + Duration::from_secs(2));
        while self.sent[from].load(SeqCst) == count && Instant::now() < end {
            sleep_ms(1);
        }
    }

    /// Cuts or heals the link from one limiter to another, in that direction only.
    pub fn set_cut(&self, from: usize, to: usize, cut: bool) {
        self.cut[from][to].store(cut, SeqCst);
    }
}

/// What the limiters of a case are started with.
pub struct Setup {
    pub count: usize,
    /// The text of the file that `--settings` names; `{dir}` is the limiter's own folder.
    pub settings: String,
    pub discovery: SocketAddr,
    pub known: Vec<String>,
    /// A relay under the links, or direct datagrams.
    pub with_links: bool,
    /// The platform's classes and plans as JSON.
    pub classes: String,
    pub plans: String,
    pub more: String,
}

pub const CLASSES: &str = r#"[{"name":"report-read","credit":1.0,"deadlineMs":3000.0,"goalTimeMs":800.0,"lateValue":0.0,"repeat":"safe","keyScope":"all","windowMs":5000.0,"stream":false},{"name":"text-submit","credit":3.0,"deadlineMs":8000.0,"goalTimeMs":2000.0,"lateValue":0.0,"repeat":"keyed","keyScope":"cell","windowMs":15000.0,"stream":false}]"#;

pub const PLANS: &str = r#"[{"name":"basico","rate":1.6,"mostAtOnce":8.0,"overrunCost":0.6,"valueFactor":0.5},{"name":"escola","rate":3.0,"mostAtOnce":12.0,"overrunCost":0.5,"valueFactor":0.8},{"name":"faculdade","rate":6.0,"mostAtOnce":25.0,"overrunCost":0.5,"valueFactor":1.3}]"#;

pub struct Limiter {
    pub number: usize,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub peer: SocketAddr,
    pub folder: PathBuf,
    child: Option<Child>,
}

/// The limiters of a case.
pub struct Tier {
    pub limiters: Vec<Limiter>,
    pub links: Option<Links>,
    command: String,
    root: PathBuf,
    record: Record,
    ids: AtomicU64,
}

impl Tier {
    /// Writes the configurations; starts nothing.
    pub fn prepare(case: &Case, setup: &Setup) -> Tier {
        let listen: Vec<SocketAddr> = (0..setup.count).map(free_tcp).collect();
        let ops: Vec<SocketAddr> = (0..setup.count).map(free_tcp).collect();
        let peers: Vec<SocketAddr> = (0..setup.count).map(free_udp).collect();
        let links = setup.with_links.then(|| Links::start(&peers));
        let limiters = (0..setup.count).map(|number| {
            let folder = case.directory.join(format!("n{number}"));
            fs::create_dir_all(folder.join("tmp")).unwrap();
            let known_peers = links.as_ref().map_or(&peers, |links| &links.addresses[number]);
            let peer_list: Vec<String> = known_peers.iter().map(|address| format!("\"{address}\"")).collect();
            let config = format!(
                "{{\"name\":\"n{number}\",\"listen\":\"{}\",\"ops\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be9{:02x}\",\
                 \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}},\"peer_listen\":\"{}\",\"peers\":[{}],\
                 \"known\":{{\"version\":1,\"full\":true,\"servers\":[{}]}},\
                 \"settings\":{{\"caps\":{{\"cancel\":true,\"connectTimeoutMs\":250.0,\"keepaliveMs\":30000.0,\"maxAttempts\":4,\
                 \"maxOpen\":20000,\"maxRetryAfterMs\":500.0,\"peerMessages\":true,\"probes\":false,\"retryAfter\":true,\
                 \"secondCopies\":true,\"streamsPerConn\":1}},\"discovery\":\"push\",\"familyInfo\":{{\"hasCounter\":false,\
                 \"mostUnits\":4,\"mailPerS\":40.0}},\"granularityMs\":4.0,\"locality\":\"room-a\",\"failureDomains\":[\"room-a\"],\
                 \"nInstances\":{},\"selfIndex\":{number},\"plans\":{},\"profiles\":{},\
                 \"report\":{{\"columns\":[\"util\",\"latency_ms\"],\"source\":\"piggyback\"}},\
                 \"rules\":{{\"coldFrom\":0.23,\"coldMs\":15000.0,\"fallMs\":2000.0,\"fallMultiple\":4.0,\
                 \"graceToAnswerMs\":16.0,\"stopSendingWithinMs\":250.0}}{}}}}}",
                listen[number], ops[number], setup.discovery, number + 1, peers[number], peer_list.join(","),
                setup.known.join(","), setup.count, setup.plans, setup.classes, setup.more,
            );
            fs::write(folder.join("config.json"), config).unwrap();
            let settings = setup.settings.replace("{dir}", &folder.display().to_string());
            fs::write(folder.join("settings.hcl"), settings).unwrap();
            Limiter { number, listen: listen[number], ops: ops[number], peer: peers[number], folder, child: None }
        });
        Tier {
            limiters: limiters.collect(),
            links,
            command: case.run.clone(),
            root: case.root.clone(),
            record: case.record.clone(),
            ids: AtomicU64::new(unix_ms() << 8),
        }
    }

    pub fn start(&mut self, number: usize) {
        let limiter = &mut self.limiters[number];
        let log = File::options().create(true).append(true).open(limiter.folder.join("log.txt")).unwrap();
        let command =
            format!("{} --settings {}", self.command, limiter.folder.join("settings.hcl").display());
        let child = spawn(
            Command::new("/bin/sh")
                .args(["-c", &command])
                .current_dir(&self.root)
                .env("LB_CONFIG", limiter.folder.join("config.json"))
                .env("TMPDIR", limiter.folder.join("tmp"))
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log),
        );
        self.record.line(format!("n{number}: process started"));
        limiter.child = Some(child);
    }

    /// Sends a signal to a limiter's process.
    pub fn signal(&self, number: usize, signal: i32) {
        self.record.line(format!("n{number}: signal {signal}"));
        if let Some(child) = &self.limiters[number].child {
            signal_pid(child.id() as i32, signal);
        }
    }

    /// Kills a limiter's process and waits for its end.
    pub fn kill(&mut self, number: usize) {
        self.signal(number, SIGKILL);
        self.wait_for_exit(number);
    }

    pub fn wait_for_exit(&mut self, number: usize) {
        if let Some(mut child) = self.limiters[number].child.take() {
            let pid = child.id() as i32;
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|started| *started != pid);
            self.record.line(format!("n{number}: process ended"));
        }
    }

    /// Whether a limiter's process has ended by itself.
    pub fn has_ended(&mut self, number: usize) -> bool {
        self.limiters[number].child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn log(&self, number: usize) -> String {
        fs::read_to_string(self.limiters[number].folder.join("log.txt")).unwrap_or_default()
    }

    /// A call to a limiter's operators' address.
    pub fn ops(&self, number: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let answer = http(self.limiters[number].ops, method, &format!("/admin/{path}"), "", body, 2_000);
        if method != "GET" {
            let shown = answer
                .as_ref()
                .map(|answer| (answer.status, answer.body.trim().chars().take(160).collect::<String>()));
            self.record.line(format!("operator: {method} /admin/{path} at n{number}: {shown:?}"));
        }
        answer
    }

    /// A limiter's view of the versions: the text of `GET /admin/rules`.
    pub fn rules(&self, number: usize) -> Option<String> {
        self.ops(number, "GET", "rules", "").filter(|answer| answer.status == 200).map(|answer| answer.body)
    }

    /// A value of `GET /admin/rules` at its top level: the value of a key that occurs once, or last.
    pub fn rule(&self, number: usize, key: &str) -> Option<String> {
        let text = self.rules(number)?;
        top_level(&text, key)
    }

    /// One client's request, on a connection of its own. Returns the answer, if a whole one came.
    pub fn request(
        &self,
        number: usize,
        class: &str,
        plan: &str,
        customer: u64,
        deadline_ms: u64,
    ) -> Option<Answer> {
        let id = format!("{:016x}", self.ids.fetch_add(1, SeqCst));
        self.request_with(number, class, plan, customer, deadline_ms, &id)
    }

    pub fn request_with(
        &self,
        number: usize,
        class: &str,
        plan: &str,
        customer: u64,
        deadline_ms: u64,
        id: &str,
    ) -> Option<Answer> {
        let (method, key) = if class == "report-read" {
            ("GET", String::new())
        } else {
            ("POST", format!("Idempotency-Key: k{id}\r\n"))
        };
        let headers = format!(
            "X-Request-Id: {id}\r\nX-Class: {class}\r\nX-Contract: {plan}\r\nX-Deadline-Ms: {deadline_ms}\r\n{key}\
             X-Metering: units=1,spread={},first=0\r\n",
            self.limiters.len()
        );
        let path = format!("/{class}/{customer:016x}");
        let answer = http(self.limiters[number].listen, method, &path, &headers, "", deadline_ms + 1_500);
        let shown = answer
            .as_ref()
            .map(|answer| (answer.status, answer.header("x-rules").unwrap_or("-").to_string()));
        self.record.line(format!("client: {id} {class} {plan} at n{number}: {shown:?}"));
        answer
    }

    /// Waits until `condition` holds, at most `ms`.
    pub fn wait_until(&self, ms: u64, condition: impl Fn(&Tier) -> bool) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if condition(self) {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Waits until a limiter answers its operators.
    pub fn wait_listening(&self, number: usize) -> bool {
        self.wait_until(10_000, |tier| {
            tier.ops(number, "GET", "health", "").is_some_and(|answer| answer.status == 200)
        })
    }

    pub fn is_ready(&self, number: usize) -> bool {
        http(self.limiters[number].listen, "GET", "/ready", "", "", 1_000)
            .is_some_and(|answer| answer.status == 200)
    }

    /// Starts all limiters of a new tier and adopts them, as an operator does once.
    pub fn start_and_adopt(&mut self, case: &Case) {
        let count = self.limiters.len();
        (0..count).for_each(|number| self.start(number));
        for number in 0..count {
            let listening = self.wait_listening(number);
            case.need(listening, &format!("n{number} does not listen: {}", self.log(number)));
        }
        for number in 0..count {
            self.ops(number, "PUT", "rules/adopt", "");
        }
        let all_ready = self.wait_until(15_000, |tier| (0..count).all(|number| tier.is_ready(number)));
        case.need(all_ready, "the limiters of the new tier are not ready");
    }

    /// Stages and commits a document at a limiter. Returns the version that it will be.
    pub fn commit(&self, number: usize, document: &str) -> Option<u64> {
        let digest = self.stage(number, document)?;
        self.commit_staged(number, &digest)
    }

    pub fn stage(&self, number: usize, document: &str) -> Option<String> {
        let staged = self.ops(number, "PUT", "rules/stage", document)?;
        Some(json_value(&staged.body, "digest")?.to_string())
    }

    pub fn commit_staged(&self, number: usize, digest: &str) -> Option<u64> {
        let begun = self.ops(number, "PUT", &format!("rules/commit?digest={digest}"), "")?;
        json_value(&begun.body, "version")?.parse().ok()
    }

    /// Waits until a change that was begun at a limiter is made and in force there, as `config commit` does.
    pub fn wait_made(&self, number: usize, version: u64, ms: u64) -> bool {
        let made = self.wait_until(ms, |tier| {
            let Some(text) = tier.rules(number) else { return false };
            let begun = text.find("\"begun_here\":{").map(|at| &text[at..]);
            let is_made = begun.and_then(|text| json_value(text, "outcome")) == Some("made");
            is_made && top_level(&text, "version").and_then(|text| text.parse::<u64>().ok()) >= Some(version)
        });
        self.record.line(format!("version {version}, begun at n{number}: made and in force: {made}"));
        made
    }
}

/// The value of a key at the top level of JSON text.
pub fn top_level(text: &str, key: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let (mut depth, mut at, mut in_string) = (0i32, 0usize, false);
    let wanted = format!("\"{key}\":");
    while at < bytes.len() {
        let byte = bytes[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => in_string = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' => {
                    if depth == 1 && text[at..].starts_with(&wanted) {
                        return Some(json_text(&text[at + wanted.len()..]));
                    }
                    in_string = true;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        at += 1;
    }
    None
}

/// The JSON value at the start of `text`: a string without quotes and escapes, or the text of a number or word.
fn json_text(text: &str) -> String {
    let Some(quoted) = text.strip_prefix('"') else {
        return text.split([',', '}', ']']).next().unwrap_or("").trim().to_string();
    };
    let (mut value, mut escaped) = (String::new(), false);
    for letter in quoted.chars() {
        match (escaped, letter) {
            (true, 'n') => value.push('\n'),
            (true, other) => value.push(other),
            (false, '\\') => {
                escaped = true;
                continue;
            }
            (false, '"') => break,
            (false, other) => value.push(other),
        }
        escaped = false;
    }
    value
}

/// A document of the runtime configuration with the given rates of the three plans.
pub fn document(parent: u64, reason: &str, rates: [f64; 3], more: &str) -> String {
    let names = ["basico", "escola", "faculdade"];
    let bursts = [8, 12, 25];
    let prices = [0.5, 0.8, 1.3];
    let mut text = format!(
        "version {{\n  parent = {parent}\n  author = \"platform\"\n  reason = \"{reason}\"\n  watch  = false\n{more}}}\n"
    );
    for n in 0..3 {
        text += &format!(
            "\nplan \"{}\" {{\n  rate  = {}\n  burst = {}\n  price = {}\n}}\n",
            names[n], rates[n], bursts[n], prices[n]
        );
    }
    text += "\nclass \"report-read\" {\n  aim      = \"800ms\"\n  deadline = \"8s\"\n}\n";
    text += "\nclass \"text-submit\" {\n  aim      = \"2s\"\n  deadline = \"8s\"\n}\n";
    text += "\nlimits {\n  max_retry_after = \"500ms\"\n}\n";
    text
}

/// The rate of a plan in a document's text.
pub fn rate_of(text: &str, plan: &str) -> Option<f64> {
    let block = &text[text.find(&format!("plan \"{plan}\""))?..];
    let line = block.lines().find(|line| line.trim_start().starts_with("rate"))?;
    line.split('=').nth(1)?.trim().parse().ok()
}

/// Counts of something by name.
pub type Counts = HashMap<String, u64>;

/// The quota counter: adds at once, and answers each call in order.
pub struct Counter {
    pub addr: SocketAddr,
    pub answered: Arc<AtomicU64>,
}

impl Counter {
    pub fn start() -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let answered = Arc::new(AtomicU64::new(0));
        let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
        let count = answered.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (totals, count) = (totals.clone(), count.clone());
                let _ = stream.set_nodelay(true);
                thread::spawn(move || {
                    let (mut rest, mut chunk) = (Vec::new(), [0u8; 8192]);
                    loop {
                        let read = match stream.read(&mut chunk) {
                            Ok(0) | Err(_) => return,
                            Ok(read) => read,
                        };
                        rest.extend_from_slice(&chunk[..read]);
                        let mut answers = String::new();
                        while let Some(end) = find(&rest, b"\r\n") {
                            let line = String::from_utf8_lossy(&rest[..end]).to_string();
                            rest.drain(..end + 2);
                            answers += &Counter::answer(&line, &totals, &count);
                        }
                        if stream.write_all(answers.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Counter { addr, answered }
    }

    fn answer(line: &str, totals: &Mutex<HashMap<String, (f64, Instant)>>, count: &AtomicU64) -> String {
        let parts: Vec<&str> = line.split(' ').collect();
        match parts[..] {
            ["ping"] => "pong\r\n".into(),
            ["add", name, amount, life] => {
                let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>()) else {
                    return "error\r\n".into();
                };
                let mut totals = totals.lock().unwrap();
                let now = Instant::now();
                if totals.len() > 50_000 {
                    totals.retain(|_, (_, until)| *until > now);
                }
                let until = now + Duration::from_millis(life.min(60_000));
                let entry = totals.entry(name.to_string()).or_insert((0.0, until));
                if entry.1 <= now {
                    *entry = (0.0, until);
                }
                entry.0 += amount;
                count.fetch_add(1, SeqCst);
                format!("ok {}\r\n", entry.0)
            }
            _ => "error\r\n".into(),
        }
    }
}
