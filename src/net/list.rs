//! The actor that watches discovery and tells the module each change of the endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::addresses::Addresses;
use super::endpoints::{Change, WireItem, WireList};
use super::metrics::COUNTERS;
use crate::say;

/// A watch that says nothing for this long is dead: its empty lines come every 2 s.
const SILENCE: Duration = Duration::from_secs(5);
/// Rests between watches that failed, doubled from the first to the last.
const FIRST_REST: Duration = Duration::from_millis(50);
const LAST_REST: Duration = Duration::from_secs(1);
/// A list longer than this is no endpoints.
const LONGEST_LIST: usize = 4 << 20;

/// Where a list ends in what arrives, byte by byte: each is looked at once, however long the list is.
#[derive(Default)]
struct Seen {
    /// Bytes looked at of the list that is not whole yet.
    bytes: usize,
    /// Brackets open, and whether the last byte stands within a string, or behind its backslash.
    depth: usize,
    text: bool,
    escaped: bool,
    /// Nothing but white space has come since the last line break.
    blank: bool,
}

impl Seen {
    /// The length of the list at the start of `bytes`, with the white space before it; `None` while it is not whole.
    /// Guards what follows a list that breaks off, which would be read as its rest: no list has a line break within a
    /// string, nor an empty line, as heartbeats are.
    fn end_of(&mut self, bytes: &[u8]) -> Result<Option<usize>, String> {
        for (at, byte) in bytes.iter().enumerate().skip(self.bytes) {
            if *byte == b'\n' && (self.text || (self.depth > 0 && self.blank)) {
                return Err(format!("a list breaks off after {at} bytes"));
            }
            self.blank = *byte == b'\n' || (self.blank && byte.is_ascii_whitespace());
            match (byte, self.text) {
                _ if self.escaped => self.escaped = false,
                (b'\\', true) => self.escaped = true,
                (b'"', _) => self.text = !self.text,
                (b'{' | b'[', false) => self.depth += 1,
                (b'}' | b']', false) => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            let closed = !self.text && self.depth == 0 && !byte.is_ascii_whitespace();
            if closed {
                *self = Seen::default();
                return Ok(Some(at + 1));
            }
        }
        self.bytes = bytes.len();
        Ok(None)
    }
}

/// The lists of a watch, put together from what arrives.
#[derive(Default)]
struct Lists {
    rest: BytesMut,
    seen: Seen,
}

impl Lists {
    /// Takes in bytes and gives the changes that they complete. White space between lists is a heartbeat. Guards lists
    /// that come indented: a line break within one does not end it.
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Change>, String> {
        self.rest.extend_from_slice(bytes);
        let mut changes = Vec::new();
        while let Some(end) = self.seen.end_of(&self.rest)? {
            let list = self.rest.split_to(end);
            let list: WireList<WireItem> =
                serde_json::from_slice(&list).map_err(|e| format!("a list: {e}"))?;
            changes.push(list.into());
        }
        if self.rest.len() > LONGEST_LIST {
            return Err("a list without end".into());
        }
        // Guards memory: heartbeats of days would add up.
        if !self.is_partial() {
            (self.rest, self.seen) = (BytesMut::new(), Seen::default());
        }
        Ok(changes)
    }

    /// Whether a list has come in part.
    fn is_partial(&self) -> bool {
        self.seen.depth > 0 || self.seen.text
    }
}

/// A watch of one discovery; it ends when this is dropped.
struct Watch(AbortHandle);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Watch {
    /// Watches `discovery` from `version` on. The watch that this one `replaces` goes on until this one has
    /// told its first list. Guards drains: what the former discovery still tells meanwhile is not missed.
    fn start(
        discovery: SocketAddr,
        version: u64,
        replaces: Option<Watch>,
        module: mpsc::Sender<Change>,
    ) -> Watch {
        Watch(tokio::spawn(follow(discovery, version, replaces, module)).abort_handle())
    }
}

/// Watches discovery from `version` on, for as long as the module listens, and moves with its address.
pub async fn run(mut addresses: watch::Receiver<Addresses>, version: u64, module: mpsc::Sender<Change>) {
    let mut discovery = addresses.borrow_and_update().discovery;
    let mut watch = Watch::start(discovery, version, None, module.clone());
    while addresses.changed().await.is_ok() {
        let next = addresses.borrow_and_update().discovery;
        if next != discovery {
            say!("list: discovery moves from {discovery} to {next}");
            discovery = next;
            // A version counts at one discovery only: of another the whole list is asked.
            watch = Watch::start(discovery, 0, Some(watch), module.clone());
        }
    }
    drop(watch);
}

async fn follow(
    discovery: SocketAddr,
    mut version: u64,
    mut replaces: Option<Watch>,
    module: mpsc::Sender<Change>,
) {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector);
    let mut rest = FIRST_REST;
    while !module.is_closed() {
        COUNTERS.list_watches.one();
        let before = version;
        let Err(why) = watch_once(&client, discovery, &mut version, &mut replaces, &module).await;
        say!("list: watch from version {before} ended: {why}");
        rest = if version == before { (rest * 2).min(LAST_REST) } else { FIRST_REST };
        sleep_until(Instant::now() + rest).await;
    }
}

enum Never {}

async fn watch_once(
    client: &Client<HttpConnector, Empty<Bytes>>,
    discovery: SocketAddr,
    version: &mut u64,
    replaces: &mut Option<Watch>,
    module: &mpsc::Sender<Change>,
) -> Result<Never, String> {
    let uri = format!("http://{discovery}/v1/endpoints?stream=1&index={version}");
    let uri = uri.parse().map_err(|e| format!("address: {e}"))?;
    let quiet = |_| "silent".to_string();
    let answer = timeout_at(Instant::now() + SILENCE, client.get(uri)).await.map_err(quiet)?;
    let answer = answer.map_err(|e| format!("{e:?}"))?;
    if answer.status() != hyper::StatusCode::OK {
        return Err(format!("status {}", answer.status()));
    }
    let (mut body, mut lists) = (answer.into_body(), Lists::default());
    let mut heard_by = Instant::now() + SILENCE;
    loop {
        let frame = timeout_at(heard_by, body.frame()).await.map_err(quiet)?;
        let frame = frame.ok_or("closed")?.map_err(|e| e.to_string())?;
        let Some(bytes) = frame.data_ref() else { continue };
        let was_partial = lists.is_partial();
        let changes = lists.feed(bytes)?;
        // A list that never comes whole is as good as silence.
        if !changes.is_empty() || !was_partial || !lists.is_partial() {
            heard_by = Instant::now() + SILENCE;
        }
        for mut change in changes {
            *version = change.version;
            change.moved = replaces.take().is_some();
            COUNTERS.list_changes.one();
            module.send(change).await.map_err(|_| "the module has ended")?;
        }
    }
}

#[cfg(test)]
mod tests;
