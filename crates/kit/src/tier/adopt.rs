//! `sedgestack-kit config adopt`: starts a tier whose limiters have all lost their votes.

use serde_json::json;

use super::{client, LimiterAnswer, TierAddresses};
use crate::error::{AdoptObstacle, KitError, TierError};
use crate::output::{Format, Verdict};

/// The HTTP status of a limiter that no longer waits for adoption.
const CONFLICT: u16 = 409;

/// Lets limiters that have all lost their votes continue from the state that is left: a new tier, or one whose stores
/// are lost.
pub fn adopt(at: &TierAddresses, format: Format) -> Result<Verdict, KitError> {
    let answers = at.ask_all();
    let named = answers.len();
    let addresses: Vec<_> = answers.iter().map(|answer| answer.address).collect();
    let obstacles: Vec<_> = answers.into_iter().filter_map(|answer| obstacle(answer, named)).collect();
    if !obstacles.is_empty() {
        return Err(TierError::NotAdoptable(obstacles).into());
    }
    for address in addresses {
        match client::put(address, "rules/adopt", "") {
            // A limiter stops waiting as soon as it hears from a majority that was adopted before it.
            Ok(_) | Err(TierError::Status { status: CONFLICT, .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    match format {
        Format::Json => println!("{}", json!({"adopted": named})),
        Format::Table => println!("{named} limiters adopted; they continue from the state that is left"),
    }
    Ok(Verdict::Done)
}

/// Returns why a limiter can't be adopted; `None` if it can.
fn obstacle(answer: LimiterAnswer, named: usize) -> Option<AdoptObstacle> {
    let address = answer.address;
    let state = match answer.result {
        Ok(state) => state,
        Err(error) => return Some(AdoptObstacle::Unreachable(error)),
    };
    if state["waits_for_adopt"] != true {
        return Some(AdoptObstacle::HasVotes { address, version: state["version"].clone() });
    }
    if state["members"].as_u64() != Some(named as u64) {
        return Some(AdoptObstacle::WrongCount { address, members: state["members"].clone(), named });
    }
    None
}
