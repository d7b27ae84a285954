//! Runs the daemon, reads its log and sends it admin calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

/// Time without output after which a daemon counts as hung, and the test fails.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// A directory for one test. Dropping the value deletes the directory.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    pub fn new() -> TestDirectory {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("compatibility-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir(&path).expect("the target directory can be written");
        TestDirectory(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, content).expect("the test directory can be written");
        path
    }

    /// Replaces what differs between runs: the directory's path, and the digits of numbers.
    pub fn normalize(&self, text: &str) -> String {
        let text = text.replace(&self.0.display().to_string(), "FOLDER");
        let mut normalized = String::new();
        for character in text.chars() {
            let digit = character.is_ascii_digit();
            if !(digit && normalized.ends_with('#')) {
                normalized.push(if digit { '#' } else { character });
            }
        }
        normalized
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the configuration of `tests/limiter/start.json`, with an address for admin calls.
pub fn configuration() -> Value {
    let text = include_str!("../limiter/start.json");
    let mut configuration: Value = serde_json::from_str(text).expect("valid JSON");
    configuration["ops"] = json!("127.0.0.1:0");
    configuration
}

/// Returns a command for the program, without the limiter's variables of the surrounding environment. Its temporary
/// files go to the test directory.
pub fn command(directory: &TestDirectory) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgestack"));
    for name in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_OPS", "LB_DISCOVERY"] {
        command.env_remove(name);
    }
    command.env("TMPDIR", &directory.0).stdin(Stdio::null());
    command
}

/// Answer to an admin call.
pub struct Answer {
    pub status: u16,
    pub content_type: String,
    pub body: String,
}

/// A running daemon.
pub struct Daemon {
    child: Child,
    log: Receiver<String>,
    /// Lines of the log that have been read.
    lines: Vec<String>,
    admin_address: SocketAddr,
}

impl Daemon {
    /// Starts the daemon with a configuration and HCL settings, and waits until it listens.
    pub fn start(directory: &TestDirectory, configuration: &Value, settings: &str) -> Daemon {
        let configuration = directory.write("config.json", configuration.to_string());
        let settings = directory.write("settings.hcl", settings);
        let mut command = command(directory);
        command.env("LB_CONFIG", configuration).arg("--settings").arg(settings).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let log = read_lines(child.stderr.take().expect("stderr is piped"));
        let admin_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon { child, log, lines: Vec::new(), admin_address };
        daemon.admin_address = daemon.wait_for_listener("ops");
        daemon.wait_for_listener("front");
        daemon
    }

    /// Waits until a part of the daemon listens, and returns its address.
    fn wait_for_listener(&mut self, part: &str) -> SocketAddr {
        let line = self.wait_for_line(&format!("{part}: listening on "));
        let (_, address) = line.rsplit_once(' ').expect("the line ends with an address");
        let end = address.find('"').unwrap_or(address.len());
        address[..end].parse().expect("an address")
    }

    /// Waits for a line of the log that contains `text`, and returns the line.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(HANG_TIMEOUT);
            let line = line.unwrap_or_else(|e| panic!("{e}, no '{text}' in: {:#?}", self.lines));
            self.lines.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until the log has a line for each of `texts`, in any order.
    pub fn wait_for_lines(&mut self, texts: &[&str]) {
        let missing = |lines: &[String]| {
            texts.iter().copied().find(|text| !lines.iter().any(|line| line.contains(text)))
        };
        while let Some(text) = missing(&self.lines) {
            self.wait_for_line(text);
        }
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.expect("kill can be started").success());
    }

    /// Stops the daemon gracefully, and returns all lines of its log.
    pub fn stop(mut self) -> Vec<String> {
        self.signal("TERM");
        let mut lines = std::mem::take(&mut self.lines);
        lines.extend(self.log.iter());
        assert!(self.child.wait().expect("the daemon ends").success(), "{lines:#?}");
        lines
    }

    /// Sends an admin call on its own connection and returns the answer.
    pub fn call_admin(&self, method: &str, path: &str, body: &str) -> Answer {
        let mut stream = TcpStream::connect(self.admin_address).expect("the daemon accepts");
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the timeout can be set");
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        // The call is one write, because the daemon may close the connection without reading the body.
        let call = format!("{method} {path} HTTP/1.1\r\nHost: limiter\r\n{length}\r\n{body}");
        stream.write_all(call.as_bytes()).expect("the daemon reads");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("the daemon answers and closes the connection");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a complete head");
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
        let content_type = head.lines().find_map(|line| line.strip_prefix("content-type: "));
        Answer { status, content_type: content_type.unwrap_or("none").into(), body: body.into() }
    }

    /// Like [`Daemon::call_admin`], for calls that answer with status 200 and JSON.
    pub fn call_admin_json(&self, method: &str, path: &str, body: &str) -> Value {
        let answer = self.call_admin(method, path, body);
        assert_eq!(answer.status, 200, "{method} {path}: {}", answer.body);
        serde_json::from_str(&answer.body).expect("valid JSON")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads lines on a thread, so that waiting for one can time out.
fn read_lines(log: impl Read + Send + 'static) -> Receiver<String> {
    let (send, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            if send.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// Asserts that a text is equal to a recorded one. A failure shows the first line that differs.
pub fn assert_matches_recording(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures").join(name);
    let recorded = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    for (found, recorded) in found.lines().zip(recorded.lines()) {
        assert_eq!(found, recorded, "{name}");
    }
    assert_eq!(found, recorded, "{name}");
}

/// Replaces the numbers of the process's sizes in memory, which differ between runs.
pub fn without_sizes(text: &str) -> String {
    ["\"allocated\":", "\"resident\":"].into_iter().fold(text.to_string(), |text, key| {
        let Some((before, after)) = text.split_once(key) else { return text };
        let after = after.trim_start_matches(|character: char| character.is_ascii_digit());
        format!("{before}{key}#{after}")
    })
}

/// Returns the distinct lines in sorted order, normalized. How often a line is logged, and the order in which parts of
/// the daemon log, differ between runs.
pub fn distinct_lines(directory: &TestDirectory, lines: &[String]) -> String {
    let distinct: std::collections::BTreeSet<String> =
        lines.iter().map(|line| directory.normalize(line) + "\n").collect();
    distinct.into_iter().collect()
}
