//! A crowd of clients that are slow, stop half way, don't read or send too much. They must not keep others from being
//! served, exceed the limiter's memory, or have their requests run after they left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::body::{AnswerRequest, Framing};
use super::client::{new_request_id, Phase};
use super::deployment::Deployment;
use super::records::{ClientEnd, Records, RequestRecord};

/// Time for which a member holds its connection at most.
const HOLD_MS: std::ops::Range<u64> = 200..4_000;
/// Announced length of bodies that stop before their end.
const BODY_LENGTH: usize = 65_536;
/// Bytes of such a body that are sent.
const BODY_SENT: usize = 65_000;
/// Announced length of bodies that stop before their end, behind a head of many short fields.
const SHORT_BODY_LENGTH: usize = 4_096;
/// Fields of a head that does not end, and the length of each.
const FIELDS: usize = 90;
const FIELD_LENGTH: usize = 680;
/// Length of an answer that is not read.
const UNREAD_ANSWER: usize = 1_500_000;
/// Bytes that follow a request whose client then leaves.
const UNREAD_REQUEST: usize = 8 << 20;
/// Part of what follows such a request.
const EXCESS_PART: &[u8] = &[b'x'; 64 << 10];
/// Pause between two bytes of a head.
const BYTE_PAUSE: Duration = Duration::from_millis(15);

/// What a member of the crowd does.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    StopWithinBody,
    StopWithinHead,
    StopBehindShortFields,
    SendByteByByte,
    DoNotRead,
    LeaveBehindManyBytes,
}

const CONDUCTS: [Conduct; 6] = [
    Conduct::StopWithinBody,
    Conduct::StopBehindShortFields,
    Conduct::StopWithinHead,
    Conduct::SendByteByByte,
    Conduct::DoNotRead,
    Conduct::LeaveBehindManyBytes,
];

/// One client of the crowd.
pub struct CrowdMember {
    /// Number of the limiter.
    pub limiter: usize,
    /// Address of the limiter.
    pub address: SocketAddr,
    /// Deadline of its requests, which are of the first class if they are complete.
    pub deadline: Duration,
    pub records: Arc<Records>,
    pub rng: StdRng,
    pub phase: watch::Receiver<Phase>,
}

/// Starts the slow and excessive clients of the limiters at `addresses`.
pub fn start_crowd(
    deployment: &Deployment,
    addresses: &[SocketAddr],
    records: &Arc<Records>,
    rng: &mut StdRng,
    phase: &watch::Sender<Phase>,
) -> Vec<JoinHandle<()>> {
    let members = (0..deployment.crowd * addresses.len()).map(|number| {
        let limiter = number % addresses.len();
        let member = CrowdMember {
            limiter,
            address: addresses[limiter],
            deadline: deployment.classes[0].deadline,
            records: records.clone(),
            rng: StdRng::seed_from_u64(rng.random()),
            phase: phase.subscribe(),
        };
        tokio::spawn(member.run())
    });
    members.collect()
}

impl CrowdMember {
    /// Connects again and again until the clients finish.
    pub async fn run(mut self) {
        while *self.phase.borrow() == Phase::Load {
            let conduct = *CONDUCTS.choose(&mut self.rng).expect("there are conducts");
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                let _ = self.act(conduct, &mut stream).await;
            }
            let pause = self.rng.random_range(HOLD_MS.start..HOLD_MS.start * 2);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn act(&mut self, conduct: Conduct, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = new_request_id();
        match conduct {
            Conduct::StopWithinBody => {
                let head = self.post_head(&id, BODY_LENGTH);
                stream.write_all(&[head.as_bytes(), &vec![b'x'; BODY_SENT]].concat()).await?;
            }
            Conduct::StopWithinHead => {
                let mut head = self.get_head(&id, "").trim_end().to_string();
                for number in 0..FIELDS {
                    head += &format!("\r\nX-Field-{number}: {}", "y".repeat(FIELD_LENGTH));
                }
                stream.write_all(head.as_bytes()).await?;
            }
            Conduct::StopBehindShortFields => {
                let fields: String = (0..FIELDS).map(|number| format!("a{number}: b\r\n")).collect();
                let head =
                    self.post_head(&id, SHORT_BODY_LENGTH).replacen("\r\n", &format!("\r\n{fields}"), 1);
                let body = vec![b'x'; self.rng.random_range(0..SHORT_BODY_LENGTH)];
                stream.write_all(&[head.as_bytes(), &body].concat()).await?;
            }
            Conduct::SendByteByByte => {
                for byte in self.get_head(&id, "").bytes() {
                    stream.write_all(&[byte]).await?;
                    sleep(BYTE_PAUSE).await;
                }
            }
            Conduct::DoNotRead => {
                let answer = AnswerRequest {
                    length: UNREAD_ANSWER,
                    framing: Framing::Length,
                    rate: 0,
                    break_off: None,
                };
                stream.write_all(self.get_head(&id, &answer.query()).as_bytes()).await?;
                sleep(self.hold_time()).await;
                return Ok(());
            }
            Conduct::LeaveBehindManyBytes => return self.leave_behind_many_bytes(stream, id).await,
        }
        let _ = timeout(self.hold_time(), stream.read_u8()).await;
        Ok(())
    }

    fn hold_time(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(HOLD_MS))
    }

    /// Sends a whole request and as much behind it as the connection takes for a while, and closes the connection.
    async fn leave_behind_many_bytes(&mut self, stream: &mut TcpStream, id: String) -> std::io::Result<()> {
        stream.write_all(self.get_head(&id, "").as_bytes()).await?;
        let index = self.records.add_request(RequestRecord {
            id,
            class: 0,
            limiter: self.limiter,
            deadline: self.deadline,
            sent_at: self.records.now(),
            on_reused_connection: false,
            end: None,
        });
        let excess = async {
            for _ in 0..UNREAD_REQUEST / EXCESS_PART.len() {
                stream.write_all(EXCESS_PART).await?;
            }
            std::io::Result::Ok(())
        };
        let _ = timeout(Duration::from_millis(100), excess).await;
        self.records.end_request(index, ClientEnd::Left);
        Ok(())
    }

    fn get_head(&self, id: &str, query: &str) -> String {
        format!("GET /read/00000000b4d65522{query} HTTP/1.1\r\n{}\r\n", self.headers("read", id))
    }

    fn post_head(&self, id: &str, length: usize) -> String {
        let headers = self.headers("once", id);
        format!("POST /once/00000000b4d65522 HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n")
    }

    fn headers(&self, class: &str, id: &str) -> String {
        format!(
            "Host: backend.local\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Contract: large\r\n\
             X-Deadline-Ms: {}\r\nX-Metering: units=1,spread=1,first=0\r\n",
            self.deadline.as_millis()
        )
    }
}
