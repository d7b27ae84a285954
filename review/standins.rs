//! Small stand-ins for discovery, the quota counter, servers and clients, as the protocol page describes them, and the
//! limiter's process. All of them use loopback addresses and the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a run: one line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn note(&self, text: String) -> Duration {
        let mut lines = self.lines.lock().unwrap();
        let at = self.started_at.elapsed();
        lines.push((at, text));
        at
    }

    pub fn write(&self, path: &Path) {
        let mut file = File::create(path).expect("record.txt can be written");
        for (at, text) in self.lines.lock().unwrap().iter() {
            writeln!(file, "{:10.3} {text}", at.as_secs_f64() * 1e3).expect("record.txt can be written");
        }
    }
}

/// A generator of pseudo-random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("loopback has a port")
}

/// A request as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a content length; `None` if the connection ends before its last byte.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        let count = reader.read_line(&mut text).ok()?;
        (count > 0 && text.ends_with('\n')).then(|| text.trim_end().to_string())
    };
    let start_line = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_lowercase(), value.trim().to_string()));
    }
    let mut message = Message { start_line, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

/// Accepts connections and runs `serve` on a thread of its own for each.
pub fn listen(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().expect("it is bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// An entry of discovery's list.
pub fn entry(id: &str, address: SocketAddr, cell: u32, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"room-a","kind":"small-2c","cell":{cell},"state":"{state}","weight":1.0,"started_ms":{started_ms}}}"#
    )
}

/// Discovery's agent: gives the whole list to each new watch, then the changes, and an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    lists: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: &[String]) -> Discovery {
        let lists = Arc::new((Mutex::new(vec![Self::list(1, true, entries)]), Condvar::new()));
        let shared: Arc<(Mutex<Vec<String>>, Condvar)> = lists.clone();
        let address = listen("127.0.0.1:0", move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            if read_message(&mut reader).is_none() {
                return;
            }
            if write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
                return;
            }
            let mut sent = 0;
            loop {
                let (lists, changed) = &*shared;
                let mut lists = lists.lock().unwrap();
                if lists.len() == sent {
                    lists = changed.wait_timeout(lists, Duration::from_secs(2)).unwrap().0;
                }
                let new = lists[sent..].to_vec();
                drop(lists);
                let text = if new.is_empty() { "\n".to_string() } else { new.join("\n") + "\n" };
                sent += new.len();
                if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                    return;
                }
            }
        });
        Discovery { address, lists }
    }

    fn list(version: usize, full: bool, entries: &[String]) -> String {
        format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
    }

    /// Tells all watches a change.
    pub fn tell(&self, entries: &[String]) {
        let (lists, changed) = &*self.lists;
        let mut lists = lists.lock().unwrap();
        let version = lists.len() + 1;
        lists.push(Self::list(version, false, entries));
        changed.notify_all();
    }
}

/// The quota counter: adds amounts to named numbers.
pub fn counter() -> SocketAddr {
    let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    listen("127.0.0.1:0", move |mut stream| {
        for line in BufReader::new(stream.try_clone().expect("a second handle")).lines() {
            let Ok(line) = line else { return };
            let words: Vec<&str> = line.split_whitespace().collect();
            let answer = match words[..] {
                ["add", name, amount, _] => {
                    let mut totals = totals.lock().unwrap();
                    let total = totals.entry(name.to_string()).or_default();
                    *total += amount.parse::<f64>().unwrap_or(0.0);
                    format!("ok {total}\r\n")
                }
                ["ping"] => "pong\r\n".to_string(),
                _ => "error\r\n".to_string(),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// What differs between the limiters of a deployment, and its settings.
pub struct LimiterConfig {
    pub number: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: Vec<String>,
    /// The settings object, as JSON.
    pub settings: String,
    /// Further keys of the configuration, as JSON, each with a comma behind it.
    pub further: String,
    /// The text of the project's own settings file, if there is one.
    pub own_settings: Option<String>,
}

impl LimiterConfig {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"n{n}","listen":"{listen}","discovery":"{discovery}","counter":"{counter}",
"seed":"8c1f30d27a5be96{n}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
{further}"known":{{"version":1,"full":true,"servers":[{known}]}},"settings":{settings}}}"#,
            further = self.further,
            n = self.number,
            listen = self.listen,
            discovery = self.discovery,
            counter = self.counter,
            known = self.known.join(","),
            settings = self.settings,
        )
    }
}

/// A running limiter. Dropping it kills the process and waits for it.
pub struct Limiter {
    pub address: SocketAddr,
    child: Child,
}

impl Limiter {
    /// Starts the program, and waits until it is ready.
    pub fn start(root: &Path, folder: &Path, config: &LimiterConfig) -> Limiter {
        let mut limiter = Limiter::spawn(root, folder, config);
        let give_up_at = Instant::now() + Duration::from_secs(30);
        while !limiter.is_ready() {
            if Instant::now() > give_up_at || !limiter.is_running() {
                cannot_run("the limiter does not become ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        limiter
    }

    /// Starts the program with the command of the deploy file, from the repository's root.
    pub fn spawn(root: &Path, folder: &Path, config: &LimiterConfig) -> Limiter {
        let own = folder.join(format!("n{}", config.number));
        let tmp = own.join("tmp");
        fs::create_dir_all(&tmp).expect("the temporary folder can be written");
        let file = own.join("config.json");
        fs::write(&file, config.json()).expect("the temporary folder can be written");
        let log = File::options().create(true).append(true).open(own.join("log.txt"));
        let log = log.expect("the temporary folder can be written");
        let mut command = run_command(root);
        if let Some(text) = &config.own_settings {
            let file = own.join("settings.hcl");
            fs::write(&file, text).expect("the temporary folder can be written");
            command = format!("{command} --settings '{}'", file.display());
        }
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root)
            .env("LB_CONFIG", &file)
            .env("LB_NAME", format!("n{}", config.number))
            .env("LB_LISTEN", config.listen.to_string())
            .env("LB_DISCOVERY", config.discovery.to_string())
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the limiter does not start: {e}")));
        PROCESSES.lock().unwrap().push(child.id());
        Limiter { address: config.listen, child }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
        asked.is_ok() && read_message(&mut BufReader::new(stream)).is_some_and(|m| m.status() == 200)
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub fn stop(&mut self) {
        self.signal("TERM");
        let _ = self.child.wait();
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal can be sent");
    }
}

/// A call to an operators' address. Returns the status and the body; `None` if there is no answer.
pub fn call_admin(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let length = if method == "PUT" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    write!(stream, "{method} /admin/{path} HTTP/1.1\r\nHost: ops.local\r\n{length}\r\n{body}").ok()?;
    let answer = read_message(&mut BufReader::new(stream))?;
    Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        Json::value(&mut text.chars().peekable())
    }

    /// Returns the value of a key of an object.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(pairs) => pairs.iter().find(|(k, _)| k == key).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { -1.0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<Json> {
        while chars.next_if(|c| c.is_whitespace()).is_some() {}
        match *chars.peek()? {
            '{' => {
                let mut pairs = Vec::new();
                chars.next();
                loop {
                    while chars.next_if(|c| c.is_whitespace() || *c == ',').is_some() {}
                    if chars.next_if_eq(&'}').is_some() {
                        return Some(Json::Object(pairs));
                    }
                    let key = Json::value(chars)?.text().to_string();
                    while chars.next_if(|c| c.is_whitespace() || *c == ':').is_some() {}
                    pairs.push((key, Json::value(chars)?));
                }
            }
            '[' => {
                let mut list = Vec::new();
                chars.next();
                loop {
                    while chars.next_if(|c| c.is_whitespace() || *c == ',').is_some() {}
                    if chars.next_if_eq(&']').is_some() {
                        return Some(Json::List(list));
                    }
                    list.push(Json::value(chars)?);
                }
            }
            '"' => {
                let mut text = String::new();
                chars.next();
                loop {
                    match chars.next()? {
                        '"' => return Some(Json::Text(text)),
                        '\\' => match chars.next()? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'u' => {
                                let hex: String = (0..4).filter_map(|_| chars.next()).collect();
                                text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            }
                            other => text.push(other),
                        },
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let mut word = String::new();
                while let Some(c) = chars.next_if(|c| !c.is_whitespace() && !",]}".contains(*c)) {
                    word.push(c);
                }
                Some(match word.as_str() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    "null" => Json::Null,
                    number => Json::Number(number.parse().ok()?),
                })
            }
        }
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|process| *process != self.child.id());
    }
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command.map(str::to_string).unwrap_or_else(|| cannot_run("deploy/balancer.toml has no run"))
}

/// The processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and the case with status 2.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for process in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
    std::process::exit(2);
}

/// The repository's root, the case's folder and a temporary folder, from the command line.
pub fn folders() -> (PathBuf, PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    match (arguments.next(), arguments.next(), arguments.next()) {
        (Some(root), Some(case), Some(temporary)) => (root, case, temporary),
        _ => cannot_run("expected three folders"),
    }
}

/// Whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
