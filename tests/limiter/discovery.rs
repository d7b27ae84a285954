//! Discovery lost, back, or silent, against what the limiter holds and does meanwhile.

use std::os::unix::process::CommandExt;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::script::FullBacklogListener;

/// As few descriptors as the program works with, of which the machine gives no more.
const FEW: u64 = 96;

fn with_few_descriptors(config: &mut Value) -> Limiter {
    config["limits"]["sockets"] = json!(FEW);
    Limiter::start_as(config, |command| {
        let few = libc::rlimit { rlim_cur: FEW, rlim_max: FEW };
        // SAFETY: between fork and exec only this system call is made, which takes no lock.
        unsafe {
            command.pre_exec(move || match libc::setrlimit(libc::RLIMIT_NOFILE, &few) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            })
        };
    })
}

/// Clients that rest hold all descriptors that clients may have while discovery and the counter are down: both are
/// reached once they are back, and so are destinations.
#[test]
fn clients_at_rest_take_no_descriptor_from_discovery_the_counter_or_destinations() {
    let known = Destination::answering("a report");
    let (lists, counts) = (FullBacklogListener::listen(), FullBacklogListener::listen());
    let mut config = config(lists.address, counts.address, vec![known.entry("s-1", "Ready")]);
    let mut limiter = with_few_descriptors(&mut config);
    let mut resting = Vec::new();
    while limiter.count("downstream_room_idle") < 20 {
        let mut client = limiter.connect();
        client.write(&read("large", 1));
        // None of those that were closed for room is missed: what they asked was answered before.
        assert_eq!(client.answer().expect("an answer").status(), 200);
        resting.push(client);
    }
    assert_eq!(limiter.count("downstream_accept_failed"), 0);
    let next = Destination::answering("the next");
    let (_, push) = discovery_on(lists.open(), std::string::ToString::to_string);
    let servers = [known.entry("s-1", "Gone"), next.entry("s-2", "Ready")];
    push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
    let (_, _connected) = counter_on(counts.open(), true);
    limiter.until(|count| count("list_changes") == 1);
    assert_eq!(limiter.ask(&read("large", 1)).body, "the next");
    limiter.until(|count| count("counter_connects") > 0);
    assert!(limiter.descriptors() <= FEW as usize);
}

/// Many start at once, with discovery silent and the counter not there: each is ready by what it knew.
#[test]
fn limiters_that_start_together_are_ready_though_discovery_is_silent() {
    let destination = Destination::answering("a report");
    let (lists, counts) = (FullBacklogListener::listen(), FullBacklogListener::listen());
    let config = config(lists.address, counts.address, vec![destination.entry("s-1", "Ready")]);
    let begun = Instant::now();
    let limiters: Vec<Limiter> = std::thread::scope(|scope| {
        let starts: Vec<_> = (0..12).map(|_| scope.spawn(|| Limiter::start(&config))).collect();
        starts.into_iter().map(|start| start.join().expect("it starts")).collect()
    });
    for limiter in &limiters {
        limiter.until_ready();
        assert_eq!(limiter.ask(&read("large", 1)).status(), 200);
    }
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
}

/// Discovery comes back having lost its versions: its whole list counts, though its version steps back, and so does
/// what it tells after; a server told to drain before stays so until it starts anew.
#[test]
fn a_whole_list_whose_version_steps_back_counts() {
    let (old, drains, new) =
        (Destination::answering("old"), Destination::answering("drains"), Destination::answering("new"));
    let (mut limiter, push) = crate::limiter(vec![old.entry("s-1", "Ready")]);
    let servers = [old.entry("s-1", "Ready"), drains.entry("s-2", "Terminating")];
    push.send(json!({"version": 50, "full": true, "servers": servers})).unwrap();
    limiter.until(|count| count("list_changes") == 1);
    push.send(Value::Null).unwrap();
    let servers = [drains.entry("s-2", "Ready"), new.entry("s-3", "Ready")];
    push.send(json!({"version": 3, "full": true, "servers": servers})).unwrap();
    limiter.until(|count| count("list_changes") == 2);
    for _ in 0..10 {
        assert_eq!(limiter.ask(&read("large", 1)).body, "new");
    }
    push.send(json!({"version": 4, "full": false, "servers": [new.entry("s-3", "Terminating")]})).unwrap();
    limiter.until(|count| count("list_changes") == 3);
    assert_ne!(limiter.ask(&read("large", 1)).status(), 200, "none is left");
}
