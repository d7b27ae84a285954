//! `sedgestack-kit config status|history`: prints each limiter's active version, or the versions that were decided.

use serde_json::{json, Value};

use sedgestack_report::text::{table, Table};

use super::{client, plain_text, LimiterAnswer, TierAddresses};
use crate::error::KitError;
use crate::output::{Format, Verdict};

/// Prints each limiter's version, standing and pending change. The verdict is `No` if versions differ, or if a limiter
/// is not current or does not respond.
pub fn status(at: &TierAddresses, format: Format) -> Result<Verdict, KitError> {
    let answers = at.ask_all();
    let states: Vec<&Value> = answers.iter().filter_map(|answer| answer.result.as_ref().ok()).collect();
    let key = |state: &Value| (state["version"].to_string(), state["digest"].to_string());
    let alike = states.windows(2).all(|pair| key(pair[0]) == key(pair[1]));
    let current = states.iter().all(|state| state["standing"] == "current");
    match format {
        Format::Json => {
            let limiters: Vec<Value> = answers.iter().map(as_json).collect();
            println!("{}", json!({"limiters": limiters, "alike": alike}));
        }
        Format::Table => println!("{}", status_table(&answers)),
    }
    Ok(Verdict::from_bool(alike && current && states.len() == answers.len()))
}

fn as_json(answer: &LimiterAnswer) -> Value {
    let address = answer.address.to_string();
    match &answer.result {
        Ok(state) => json!({"at": address, "told": state}),
        Err(error) => json!({"at": address, "fault": error.to_string()}),
    }
}

fn status_table(answers: &[LimiterAnswer]) -> Table {
    let head = ["at", "limiter", "version", "document", "standing", "known for", "pending", "watch"];
    let rows = answers.iter().map(|answer| {
        let mut row = status_row(answer);
        row.resize(head.len(), String::new());
        row
    });
    table(&head, rows.collect())
}

/// Returns the cells of one limiter's row; the last is the error if the limiter did not respond.
fn status_row(answer: &LimiterAnswer) -> Vec<String> {
    let address = answer.address.to_string();
    match &answer.result {
        Ok(state) => vec![
            address,
            format!("n{}", state["member"]),
            state["version"].to_string(),
            plain_text(&state["digest"]),
            plain_text(&state["standing"]),
            format!("{} ms", state["known_for_ms"]),
            pending(state),
            canary(&state["watch"], state["pinned"] == true),
        ],
        Err(error) => vec![address, "?".into(), String::new(), String::new(), error.to_string()],
    }
}

/// Describes what a limiter waits for; empty if it waits for nothing.
fn pending(state: &Value) -> String {
    let begun_here = &state["begun_here"];
    if let Some(version) = state["next"]["version"].as_u64() {
        format!("version {version} is decided")
    } else if begun_here["outcome"] == "open" {
        format!("version {} is being decided", begun_here["version"])
    } else if state["waits_for_adopt"] == true {
        "waits for adopt".into()
    } else {
        String::new()
    }
}

/// Describes the state of canary analysis at a limiter, and whether the active version is pinned.
fn canary(watch: &Value, pinned: bool) -> String {
    let version = &watch["version"];
    let state = match (plain_text(&watch["state"]).as_str(), watch["judges"] == true) {
        ("watched", true) => format!("version {version}: {} s judged", watch["seconds_after"]),
        ("watched", false) => format!("version {version}: others judge it"),
        ("undo" | "undone", _) => {
            format!("version {version}: undone, fell by {:.2}", watch["drop"].as_f64().unwrap_or(0.0))
        }
        ("held", _) => format!("version {version} was held"),
        ("stands", _) => format!("version {version} stands"),
        _ => String::new(),
    };
    let pin = if pinned { "pinned" } else { "" };
    [pin, &state].into_iter().filter(|part| !part.is_empty()).collect::<Vec<_>>().join(", ")
}

/// Prints the versions that were decided, the latest last, from the history of the first limiter that responds.
pub fn history(at: &TierAddresses, format: Format) -> Result<Verdict, KitError> {
    let state = client::get(at.first_answering()?, client::RULES)?;
    if format == Format::Json {
        println!("{}", state["history"]);
        return Ok(Verdict::Done);
    }
    let rows = state["history"].as_array().into_iter().flatten().map(|decided| {
        let document = if decided["void"] == true { "void".into() } else { plain_text(&decided["digest"]) };
        vec![
            decided["version"].to_string(),
            document,
            plain_text(&decided["author"]),
            plain_text(&decided["reason"]),
        ]
    });
    println!("{}", table(&["version", "document", "author", "reason"], rows.collect()));
    Ok(Verdict::Done)
}
