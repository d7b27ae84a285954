//! `sedgestack-kit config stage|commit|undo|status|history|adopt`: a running tier through its operators' addresses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use serde_json::{json, Value};

use sedgestack_report::text::table;

use crate::output::{Format, Verdict};
use crate::Fault;

/// One call has so long; limiters answer within 0.8 s.
const CALL: Duration = Duration::from_secs(2);
/// Between two looks at how a change goes.
const LOOK: Duration = Duration::from_millis(250);

/// Where a tier is asked.
#[derive(Args)]
pub struct At {
    /// Operators' addresses of limiters, as 10.0.0.4:9901; the first that answers is the one that is told
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required = true)]
    at: Vec<SocketAddr>,
}

/// Who must answer a change.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scope {
    /// More than half of all limiters; the others don't serve until they know of it
    Majority,
    /// All limiters but those left out: one that does not answer within the lead voids the change
    All,
}

#[derive(Args)]
pub struct Commit {
    /// The document to make the next version
    file: PathBuf,
    #[command(flatten)]
    at: At,
    /// Who must answer
    #[arg(long, value_enum, default_value = "majority")]
    scope: Scope,
    /// A limiter that is known to be gone, by its number, as 7 or n7
    #[arg(long, value_name = "LIMITER", value_parser = number)]
    except: Vec<u32>,
    /// Also where the version in force is pinned
    #[arg(long)]
    force: bool,
    /// Says that the change is begun and does not wait for what becomes of it
    #[arg(long)]
    begin_only: bool,
}

fn number(text: &str) -> Result<u32, String> {
    let digits = text.strip_prefix('n').unwrap_or(text);
    digits.parse().map_err(|_| format!("{text}: expected a limiter's number, as 7 or n7"))
}

fn call(address: SocketAddr, method: &str, call: &str, body: &str) -> Result<Value, Fault> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(CALL)).http_status_as_error(false).build().into();
    let url = format!("http://{address}/admin/{call}");
    let asked = match method {
        "GET" => agent.get(&url).call(),
        _ => agent.put(&url).send(body),
    };
    let mut answer = asked.map_err(|e| format!("{address}: {e}"))?;
    let text = answer.body_mut().read_to_string().map_err(|e| format!("{address}: {e}"))?;
    if answer.status() != 200 {
        return Err(format!("{address}: {} {}", answer.status().as_u16(), text.trim_end()));
    }
    serde_json::from_str(&text).map_err(|e| format!("{address}: not JSON: {e}"))
}

impl At {
    fn all(&self) -> Vec<(SocketAddr, Result<Value, Fault>)> {
        self.at.iter().map(|a| (*a, call(*a, "GET", "rules", ""))).collect()
    }

    /// The first limiter that answers.
    fn first(&self) -> Result<SocketAddr, Fault> {
        let all = self.all();
        let found = all.iter().find_map(|(a, told)| told.is_ok().then_some(*a));
        found.ok_or_else(|| all.into_iter().filter_map(|(_, told)| told.err()).collect::<Vec<_>>().join("\n"))
    }
}

fn shown(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}

/// How the watch of the version in force stands at a limiter that judges it.
fn watched(watch: &Value, pinned: bool) -> String {
    let told = match (shown(&watch["state"]).as_str(), watch["judges"] == true) {
        ("watched", true) => {
            format!("version {}: {} s judged", watch["version"], watch["seconds_after"])
        }
        ("watched", false) => format!("version {}: others judge it", watch["version"]),
        ("undo" | "undone", _) => format!(
            "version {}: undone, fell by {:.2}",
            watch["version"],
            watch["drop"].as_f64().unwrap_or(0.0)
        ),
        ("held", _) => format!("version {} was held", watch["version"]),
        ("stands", _) => format!("version {} stands", watch["version"]),
        _ => String::new(),
    };
    let pin = if pinned { "pinned" } else { "" };
    [pin, &told].into_iter().filter(|t| !t.is_empty()).collect::<Vec<_>>().join(", ")
}

/// Each limiter's version, standing, and what is pending; no where they differ or one does not answer.
pub fn status(at: &At, format: Format) -> Result<Verdict, Fault> {
    let all = at.all();
    let told: Vec<&Value> = all.iter().filter_map(|(_, t)| t.as_ref().ok()).collect();
    let key = |v: &&Value| (v["version"].to_string(), v["digest"].to_string());
    let alike = told.windows(2).all(|w| key(&w[0]) == key(&w[1]));
    let current = told.iter().all(|v| v["standing"] == "current");
    if format == Format::Json {
        let list: Vec<Value> = all
            .iter()
            .map(|(a, told)| match told {
                Ok(told) => json!({"at": a.to_string(), "told": told}),
                Err(why) => json!({"at": a.to_string(), "fault": why}),
            })
            .collect();
        println!("{}", json!({"limiters": list, "alike": alike}));
    } else {
        let rows = all.iter().map(|(a, told)| match told {
            Ok(v) => {
                let pending = v["next"]["version"].as_u64().map(|n| format!("version {n} is decided"));
                let open = (v["begun_here"]["outcome"] == "open")
                    .then(|| format!("version {} is being decided", v["begun_here"]["version"]));
                let waits = (v["waits_for_adopt"] == true).then(|| "waits for adopt".to_string());
                vec![
                    a.to_string(),
                    format!("n{}", v["member"]),
                    v["version"].to_string(),
                    shown(&v["digest"]),
                    shown(&v["standing"]),
                    format!("{} ms", v["known_for_ms"]),
                    pending.or(open).or(waits).unwrap_or_default(),
                    watched(&v["watch"], v["pinned"] == true),
                ]
            }
            Err(why) => vec![a.to_string(), "?".into(), String::new(), String::new(), why.clone()],
        });
        let head = ["at", "limiter", "version", "document", "standing", "known for", "pending", "watch"];
        let rows = rows.map(|mut row: Vec<String>| {
            row.resize(head.len(), String::new());
            row
        });
        println!("{}", table(&head, rows.collect()));
    }
    let whole = alike && current && told.len() == all.len();
    Ok(if whole { Verdict::Done } else { Verdict::No })
}

/// What was decided, the latest last, as the first limiter that answers tells it.
pub fn history(at: &At, format: Format) -> Result<Verdict, Fault> {
    let told = call(at.first()?, "GET", "rules", "")?;
    if format == Format::Json {
        println!("{}", told["history"]);
        return Ok(Verdict::Done);
    }
    let past = told["history"].as_array().cloned().unwrap_or_default();
    let rows = past.iter().map(|p| {
        let what = if p["void"] == true { "void".into() } else { shown(&p["digest"]) };
        vec![p["version"].to_string(), what, shown(&p["author"]), shown(&p["reason"])]
    });
    println!("{}", table(&["version", "document", "author", "reason"], rows.collect()));
    Ok(Verdict::Done)
}

fn staged(file: &PathBuf, at: &At) -> Result<(SocketAddr, Value), Fault> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let first = at.first()?;
    let named = |why: Fault| why.replace(" document:", &format!(" {}:", file.display()));
    Ok((first, call(first, "PUT", "rules/stage", &text).map_err(named)?))
}

/// Checks a document against the one in force, at a limiter.
pub fn stage(file: &PathBuf, at: &At, format: Format) -> Result<Verdict, Fault> {
    let (first, staged) = staged(file, at)?;
    if format == Format::Json {
        println!("{staged}");
        return Ok(Verdict::Done);
    }
    for change in staged["changes"].as_array().into_iter().flatten() {
        println!("  {}", shown(&change["words"]));
    }
    println!("{first}: staged {} for version {}", shown(&staged["digest"]), staged["parent"]);
    Ok(Verdict::Done)
}

/// Stages a document, begins the change, and waits for what becomes of it.
pub fn commit(arguments: &Commit, format: Format) -> Result<Verdict, Fault> {
    let (first, staged) = staged(&arguments.file, &arguments.at)?;
    let mut query = format!("rules/commit?digest={}", shown(&staged["digest"]));
    if arguments.scope == Scope::All {
        query += "&scope=all";
    }
    if arguments.force {
        query += "&force=yes";
    }
    arguments.except.iter().for_each(|n| query += &format!("&except={n}"));
    follow(first, call(first, "PUT", &query, "")?, arguments.begin_only, format)
}

/// Begins a change that needs no document (undo, hold, pin), and waits for what becomes of it.
pub fn begin(at: &At, what: &str, format: Format) -> Result<Verdict, Fault> {
    let first = at.first()?;
    follow(first, call(first, "PUT", &format!("rules/{what}"), "")?, false, format)
}

/// Waits for what becomes of a change that was begun at a limiter.
fn follow(first: SocketAddr, begun: Value, begin_only: bool, format: Format) -> Result<Verdict, Fault> {
    let tell = |outcome: &str, more: &Value| {
        if format == Format::Json {
            println!("{}", json!({"version": begun["version"], "outcome": outcome, "unanswered": more}));
        } else {
            println!("version {}: {outcome}", begun["version"]);
        }
    };
    if begin_only {
        tell("begun", &json!([]));
        return Ok(Verdict::Done);
    }
    // A vote ends within its lead and some rounds; one that hangs longer is told as it stands.
    let at_us = begun["at_us"].as_u64().unwrap_or(0);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let lead = Duration::from_micros(at_us.saturating_sub(now.as_micros() as u64));
    let deadline = Instant::now() + 3 * lead + Duration::from_secs(30);
    while Instant::now() < deadline {
        let told = call(first, "GET", "rules", "")?;
        let own = &told["begun_here"];
        if own["version"] != begun["version"] {
            tell("another change was begun there since: see config history", &json!([]));
            return Ok(Verdict::No);
        }
        let in_force = told["version"].as_u64() >= begun["version"].as_u64();
        match own["outcome"].as_str() {
            Some("made") if in_force => {
                tell("made, in force", &json!([]));
                return Ok(Verdict::Done);
            }
            Some("void") => {
                let missing = &own["unanswered"];
                let silent = missing.as_array().is_some_and(|m| !m.is_empty());
                let why =
                    if silent { format!("void: no answer from limiters {missing}") } else { "void".into() };
                tell(&why, missing);
                return Ok(Verdict::No);
            }
            _ => std::thread::sleep(LOOK),
        }
    }
    tell("not ended yet: see config status", &json!([]));
    Ok(Verdict::No)
}

/// Tells limiters that have all forgotten to go on from what is left: a new tier, or one whose stores are lost.
pub fn adopt(at: &At, format: Format) -> Result<Verdict, Fault> {
    let all = at.all();
    let mut faults = Vec::new();
    for (address, told) in &all {
        match told {
            Err(why) => faults.push(why.clone()),
            Ok(told) if told["waits_for_adopt"] != true => {
                faults.push(format!("{address}: knows its votes, version {}", told["version"]));
            }
            Ok(told) if told["members"].as_u64() != Some(all.len() as u64) => {
                faults.push(format!(
                    "{address}: the tier has {} limiters, {} are named",
                    told["members"],
                    all.len()
                ));
            }
            Ok(_) => {}
        }
    }
    if !faults.is_empty() {
        return Err(format!(
            "adopt is for tiers in which every limiter waits; nothing was done\n{}",
            faults.join("\n")
        ));
    }
    for (address, _) in &all {
        // One that heard a majority of those told before it needs no telling any more.
        match call(*address, "PUT", "rules/adopt", "") {
            Err(why) if !why.contains(": 409 ") => return Err(why),
            _ => {}
        }
    }
    if format == Format::Json {
        println!("{}", json!({"adopted": all.len()}));
    } else {
        println!("{} limiters go on from what is left", all.len());
    }
    Ok(Verdict::Done)
}
