//! The client of the quota counter: an actor that pipelines calls on one connection. Each call gets exactly one reply.

mod connection;
mod pipeline;
mod protocol;

use std::net::SocketAddr;
use std::time::Duration;

use sedgestack::{CounterName, Micros, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use self::connection::{
    dial, dial_next_address, drain, on_read, on_wakeup, on_written, ConnectionEnd, ConnectionError,
    ConnectionEvent,
};
use self::pipeline::CallPipeline;
use crate::info;
use crate::net::config::addresses::Addresses;
use crate::net::control::message::{CounterReply, Message};
use crate::net::runtime::metrics::COUNTERS;

/// Initial and maximum backoff after a failed connection. It doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Size in bytes of the read buffer.
const READ_BYTES: usize = 4096;

/// A call that adds `amount` to the counter `name`. It times out at `deadline`.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    pub name: CounterName,
    pub amount: f64,
    /// Time for which the service keeps the counter, if this call creates it.
    pub lifetime: Micros,
    pub deadline: Instant,
}

/// The actor that calls the quota counter.
pub struct QuotaCounter {
    addresses: watch::Receiver<Addresses>,
    /// The address that was dialled last.
    dialled: Option<SocketAddr>,
    connect_timeout: Duration,
    mailbox: mpsc::Receiver<CounterCall>,
    control: mpsc::Sender<Message>,
}

impl QuotaCounter {
    /// Creates an actor that connects to the counter's current address in `addresses` and takes calls from `mailbox`. A
    /// connection that is not open within `connect_timeout` has failed. Replies are sent to `control`.
    pub fn new(
        addresses: watch::Receiver<Addresses>,
        connect_timeout: Duration,
        mailbox: mpsc::Receiver<CounterCall>,
        control: mpsc::Sender<Message>,
    ) -> QuotaCounter {
        QuotaCounter { addresses, dialled: None, connect_timeout, mailbox, control }
    }

    /// Serves calls until all of their senders are gone.
    pub async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let started_at = Instant::now();
            let Some(error) = self.connect_and_serve().await else { return };
            info!("counter: {error}");
            let was_up = started_at.elapsed() > MAX_BACKOFF;
            backoff = if was_up { INITIAL_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
            if !self.fail_calls_until(Instant::now() + backoff).await {
                return;
            }
        }
    }

    /// Connects and serves calls. Switches to a new connection when the counter's address changes. Returns the error
    /// that ended the last connection, or `None` once all senders of calls are gone.
    async fn connect_and_serve(&mut self) -> Option<ConnectionError> {
        let mut connected = self.connect().await?;
        loop {
            let stream = match connected {
                Ok(stream) => stream,
                Err(error) => return Some(error),
            };
            COUNTERS.counter_connects.increment();
            match self.serve(stream).await {
                ConnectionEnd::Failed(error) => return Some(error),
                ConnectionEnd::Replaced(next) => connected = Ok(next),
                ConnectionEnd::MailboxClosed => return None,
            }
        }
    }

    /// Fails all calls until `until`. Returns false once all senders of calls are gone.
    async fn fail_calls_until(&mut self, until: Instant) -> bool {
        loop {
            tokio::select! {
                call = self.mailbox.recv() => match call {
                    Some(call) => fail_call(&self.control, &call).await,
                    None => return false,
                },
                () = sleep_until(until) => return true,
            }
        }
    }

    /// Opens a connection. Calls that arrive before it is open fail immediately. Returns `None` once all senders of
    /// calls are gone.
    async fn connect(&mut self) -> Option<Result<TcpStream, ConnectionError>> {
        let deadline = Instant::now() + self.connect_timeout;
        self.dialled = self.addresses.borrow_and_update().counter;
        let dial = dial(self.dialled, deadline);
        tokio::pin!(dial);
        loop {
            tokio::select! {
                result = &mut dial => return Some(result),
                call = self.mailbox.recv() => fail_call(&self.control, &call?).await,
            }
        }
    }

    /// Serves calls on a connection until it fails or is replaced.
    async fn serve(&mut self, mut stream: TcpStream) -> ConnectionEnd {
        let next = dial_next_address(&mut self.addresses, &mut self.dialled, self.connect_timeout);
        tokio::pin!(next);
        let (mut reader, mut writer) = stream.split();
        let mut pipeline = CallPipeline::new(Instant::now());
        let mut replies = Vec::new();
        let mut input = [0u8; READ_BYTES];
        loop {
            let wakeup = pipeline.next_wakeup();
            let event = tokio::select! {
                call = self.mailbox.recv() => ConnectionEvent::Call(call),
                dialled = &mut next => ConnectionEvent::Redialled(dialled),
                written = writer.write(pipeline.output()), if !pipeline.output().is_empty() => {
                    ConnectionEvent::Written(written)
                }
                read = reader.read(&mut input) => ConnectionEvent::Read(read),
                () = sleep_until(wakeup) => ConnectionEvent::Wakeup,
            };
            let result = match event {
                ConnectionEvent::Call(Some(call)) => {
                    pipeline.push_call(call, Instant::now());
                    Ok(())
                }
                ConnectionEvent::Call(None) => return ConnectionEnd::MailboxClosed,
                // The old connection has served until now. Its outstanding answers are still read, so that a change of
                // address loses no call.
                ConnectionEvent::Redialled(Ok(next)) => {
                    tokio::spawn(drain(stream, pipeline, self.control.clone()));
                    return ConnectionEnd::Replaced(next);
                }
                ConnectionEvent::Redialled(Err(error)) => Err(error),
                ConnectionEvent::Written(written) => on_written(&mut pipeline, written),
                ConnectionEvent::Read(read) => on_read(&mut pipeline, read, &input, &mut replies),
                ConnectionEvent::Wakeup => on_wakeup(&mut pipeline, &mut replies),
            };
            if let Err(error) = result {
                pipeline.close(&mut replies);
                send_replies(&self.control, &mut replies).await;
                return ConnectionEnd::Failed(error);
            }
            send_replies(&self.control, &mut replies).await;
        }
    }
}

/// Replies to a call that cannot be sent because there is no connection.
async fn fail_call(control: &mpsc::Sender<Message>, call: &CounterCall) {
    let reply = CounterReply { name: call.name, outcome: Outcome::ConnectFailed, total: None };
    send_replies(control, &mut vec![reply]).await;
}

/// Counts replies and sends them to the control actor.
async fn send_replies(control: &mpsc::Sender<Message>, replies: &mut Vec<CounterReply>) {
    for reply in replies.drain(..) {
        match reply.outcome {
            Outcome::Ok => &COUNTERS.counter_ok,
            Outcome::Rejected => &COUNTERS.counter_turned_away,
            Outcome::ConnectFailed => &COUNTERS.counter_connect_failed,
            _ => &COUNTERS.counter_timed_out,
        }
        .increment();
        // The control actor never waits for this actor, so this wait cannot deadlock.
        let _ = control.send(Message::CounterReplied(reply)).await;
    }
}

#[cfg(test)]
mod tests;
