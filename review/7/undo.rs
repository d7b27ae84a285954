//! Case 7: an undo that is begun at a limiter which was down for two changes takes both of them back.

#[path = "../rig.rs"]
mod rig;

use rig::{document, rate_of, Case, Discovery, Server, Setup, Tier, BROKEN, CLASSES, HELD, PLANS};

const SETTINGS: &str = "tier {\n  store = \"{dir}/{name}.redb\"\n  unknown = \"refuse\"\n}\n";

/// The rates of two plans in the document that is active at a limiter.
fn rates(tier: &Tier, limiter: usize) -> (Option<f64>, Option<f64>) {
    let text = tier.rule(limiter, "text").unwrap_or_default();
    (rate_of(&text, "basico"), rate_of(&text, "escola"))
}

fn main() {
    let case = Case::new(7);
    let server = Server::start("s-1", &case.record, None);
    let discovery = Discovery::start(vec![server.entry("Ready")]);
    let setup = Setup {
        count: 3,
        settings: SETTINGS.into(),
        discovery: discovery.addr,
        known: vec![server.entry("Ready")],
        with_links: false,
        classes: CLASSES.into(),
        plans: PLANS.into(),
        more: String::new(),
    };
    let mut tier = Tier::prepare(&case, &setup);
    tier.start_and_adopt(&case);

    // Two changes are made, each told to its operator as made and in force. n2 is down meanwhile.
    let down_at = std::time::Instant::now();
    if case.trouble {
        tier.kill(2);
    }
    let first = document(0, "more for basico in the exam weeks", [3.0, 3.0, 6.0], "");
    case.need(tier.commit(0, &first) == Some(1), "the first change is not begun as version 1");
    case.need(tier.wait_made(0, 1, 20_000), "the first change is not made");
    let second = document(1, "more for escola in the exam weeks", [3.0, 5.0, 6.0], "");
    case.need(tier.commit(0, &second) == Some(2), "the second change is not begun as version 2");
    case.need(tier.wait_made(0, 2, 20_000), "the second change is not made");
    if case.trouble {
        tier.start(2);
        case.need(tier.wait_listening(2), "n2 does not start again");
    }
    let all_current = tier.wait_until(10_000, |tier| {
        (0..3).all(|limiter| {
            let view = (tier.rule(limiter, "standing"), tier.rule(limiter, "version"));
            view == (Some("current".into()), Some("2".into()))
        })
    });
    case.need(all_current, "not all limiters stand current under version 2");
    case.record.say(format!(
        "all stand current under version 2; n2 was away for {:.1} s at most",
        down_at.elapsed().as_secs_f64()
    ));
    for limiter in 0..3 {
        case.record.say(format!("n{limiter}: basico and escola {:?}", rates(&tier, limiter)));
    }

    // The second change is undone. The last other figures are those of version 1.
    let begun = tier.ops(2, "PUT", "rules/undo", "");
    case.need(begun.is_some_and(|answer| answer.status == 200), "the undo is not begun");
    case.need(tier.wait_made(2, 3, 20_000), "the undo is not made");
    tier.wait_until(5_000, |tier| {
        (0..3).all(|limiter| tier.rule(limiter, "version").as_deref() == Some("3"))
    });
    let mut lost = false;
    for limiter in 0..3 {
        let now = rates(&tier, limiter);
        case.record.say(format!(
            "n{limiter}: version {:?}, basico and escola {now:?} after the undo; of version 1: (3.0, 3.0)",
            tier.rule(limiter, "version")
        ));
        lost |= now != (Some(3.0), Some(3.0));
    }
    if lost {
        case.end(BROKEN, "the undo of version 2 has taken back version 1 as well");
    }
    case.end(HELD, "the undo of version 2 brought back the figures of version 1");
}
