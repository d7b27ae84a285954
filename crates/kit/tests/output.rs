//! Compares the kit's exit status, standard output and standard error with recorded transcripts, byte for byte.
//!
//! `tests/inputs` holds the input files. `fleet.hcl` and `rules.hcl` are copies of the samples in `deploy`, so that the
//! kit must still accept a setting's present name after the samples have changed to a clearer one.

mod limiter;
mod transcript;

use limiter::StandInLimiter;
use transcript::{assert_as_recorded, Transcript};

const FLEET: &str = include_str!("inputs/fleet.hcl");
const EVERY_KEY: &str = include_str!("inputs/every-key.hcl");
const RULES: &str = include_str!("inputs/rules.hcl");

/// Replaces parts of a text, each of which must occur.
fn replaced(text: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "'{from}' is not in the text");
        text.replacen(from, to, 1)
    })
}

/// The sample fleet with a short run and few numbers of workers, so that a plan is computed quickly.
fn short_fleet() -> String {
    replaced(
        FLEET,
        &[
            ("length              = \"40s\"", "length = \"8s\""),
            ("workers     = [6, 24]", "workers = [8, 12]"),
        ],
    )
}

#[test]
fn help_and_version() {
    assert_as_recorded("helps", |t| {
        t.run("--version");
        t.run("--help");
        t.run("");
        for command in ["bound", "plan", "rehearse", "prove", "campaign", "completions"] {
            t.run(&format!("{command} --help"));
        }
        for command in ["show", "check", "merge", "draw"] {
            t.run(&format!("capture {command} --help"));
        }
        t.run("capture --help");
        t.run("config --help");
        for command in
            ["check", "diff", "status", "stage", "commit", "undo", "hold", "pin", "history", "adopt"]
        {
            t.run(&format!("config {command} --help"));
        }
    });
}

#[test]
fn completions() {
    assert_as_recorded("completions", |t| {
        for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
            t.run_with_digest(&format!("completions {shell}"));
        }
    });
}

#[test]
fn invalid_arguments() {
    assert_as_recorded("unknown-words", |t| {
        t.write("fleet.hcl", FLEET);
        for line in [
            "planned fleet.hcl",
            "plan",
            "plan fleet.hcl --sedes 3",
            "plan fleet.hcl --seeds 1",
            "plan fleet.hcl --format yaml",
            "capture draw fleet.hcl --scenario quiet --out drawn",
            "capture show",
            "prove fleet.hcl --only quiet --daemon none",
            "rehearse fleet.hcl --scenario quiet",
            "rehearse fleet.hcl --limiters 10",
            "bound fleet.hcl --share 10 --at-most 110",
            "config status",
            "config status --at 10.0.0.4",
            "config commit next.hcl --at 10.0.0.4:9901 --except x7",
            "config check rules.hcl",
            "completions tcsh",
        ] {
            t.run(line);
        }
        t.run("rehearse fleet.hcl --list");
    });
}

#[test]
fn plan_of_the_described_load() {
    assert_as_recorded("plan-described", |t| {
        t.write("fleet.hcl", short_fleet());
        t.run("plan fleet.hcl --seeds 2 --html plan.html");
        t.record_file("plan.html");
        t.run("plan fleet.hcl --seeds 2 --format json");
    });
}

#[test]
fn plan_with_growth_and_with_unreachable_aims() {
    assert_as_recorded("plan-grown", |t| {
        t.write(
            "grown.hcl",
            replaced(&short_fleet(), &[("clients {", "growth {\n  load = 1.3\n}\n\nclients {")]),
        );
        t.run("plan grown.hcl --seeds 2 --html grown.html");
        t.record_file("grown.html");
        t.write(
            "beyond.hcl",
            replaced(&short_fleet(), &[("in_time = 0.99", "in_time = 1"), ("= 74", "= 240")]),
        );
        t.run("plan beyond.hcl --seeds 2");
    });
}

#[test]
fn plan_of_a_fleet_file_with_every_key() {
    assert_as_recorded("plan-every-key", |t| {
        t.write("fleet.hcl", EVERY_KEY);
        t.run("plan fleet.hcl");
        t.run("plan fleet.hcl --format json --html plan.html");
        t.record_file("plan.html");
        t.run("bound fleet.hcl");
    });
}

#[test]
fn capture_commands_and_plan_from_captures() {
    assert_as_recorded("captures", |t| {
        t.write("fleet.hcl", short_fleet());
        t.run("capture draw fleet.hcl --out drawn");
        t.run("capture draw fleet.hcl --out drawn");
        for limiter in ["n0", "n1", "n2"] {
            t.record_file(&format!("drawn/{limiter}.sedgecap"));
        }
        t.run("capture show drawn/n0.sedgecap");
        t.run("capture show drawn/n1.sedgecap --records 30");
        t.run("capture show drawn/n2.sedgecap --format json");
        t.run("capture check drawn/n0.sedgecap drawn/n1.sedgecap drawn/n2.sedgecap");
        t.run("capture merge drawn/n0.sedgecap drawn/n1.sedgecap drawn/n2.sedgecap --out day.sedgecap");
        t.record_file("day.sedgecap");
        t.run("capture show day.sedgecap --records 30");
        t.run("capture merge drawn/n0.sedgecap drawn/n1.sedgecap --out day.sedgecap");
        t.run("capture merge drawn/n0.sedgecap drawn/n2.sedgecap --out two.sedgecap --format json");
        t.run("capture merge drawn/n0.sedgecap drawn/n0.sedgecap --out twice.sedgecap");
        t.run("capture draw fleet.hcl --scenario busy --seed 3 --out busy --format json");
        t.record_file("busy/n0.sedgecap");
        t.run("plan fleet.hcl --seeds 2 --capture day.sedgecap --html plan.html");
        t.record_file("plan.html");
        t.run(
            "plan fleet.hcl --seeds 2 --capture drawn/n0.sedgecap --capture drawn/n2.sedgecap --format json",
        );
    });
}

#[test]
fn capture_draw_of_every_scenario() {
    assert_as_recorded("scenarios", |t| {
        t.write("fleet.hcl", short_fleet());
        for scenario in [
            "calm",
            "described",
            "text-submit-surge",
            "room-lost",
            "workers-dead",
            "counter-lost",
            "busy",
            "beyond-capacity",
        ] {
            t.run(&format!("capture draw fleet.hcl --scenario {scenario} --seed 7 --out {scenario}"));
            t.record_file(&format!("{scenario}/n0.sedgecap"));
            t.run(&format!("capture show {scenario}/n0.sedgecap"));
        }
    });
}

#[test]
fn damaged_captures_and_captures_of_another_fleet() {
    assert_as_recorded("captures-damaged", |t| {
        t.write("fleet.hcl", FLEET);
        t.run("capture draw fleet.hcl --out drawn");
        let whole = t.read("drawn/n0.sedgecap");
        t.write("cut.sedgecap", &whole[..whole.len() * 3 / 4]);
        let mut flipped = whole.clone();
        flipped[whole.len() * 2 / 3] ^= 0x10;
        t.write("flipped.sedgecap", flipped);
        t.write("empty.sedgecap", "");
        t.write("text.sedgecap", FLEET);
        t.run("capture check drawn/n0.sedgecap cut.sedgecap flipped.sedgecap empty.sedgecap text.sedgecap");
        t.run("capture check cut.sedgecap text.sedgecap missing.sedgecap --format json");
        t.run("capture show cut.sedgecap");
        t.run("capture show cut.sedgecap --format json");
        t.run("capture show text.sedgecap");
        t.run("capture show missing.sedgecap");
        t.run("capture merge drawn/n1.sedgecap cut.sedgecap --out damaged.sedgecap");
        t.write("other.hcl", replaced(FLEET, &[("plan \"faculdade\"", "plan \"gold\"")]));
        t.run("plan other.hcl --seeds 2 --capture drawn/n0.sedgecap");
        t.write("two.hcl", replaced(FLEET, &[("limiters = 1", "limiters = 0")]).replace("[2, 3]", "[1, 2]"));
        t.run("plan two.hcl --seeds 2 --capture drawn/n0.sedgecap");
        t.run("plan fleet.hcl --seeds 2 --capture missing.sedgecap");
    });
}

#[test]
fn bounds() {
    assert_as_recorded("bound", |t| {
        t.write("fleet.hcl", FLEET);
        t.run("bound fleet.hcl");
        t.run("bound fleet.hcl --format json");
        t.run("bound fleet.hcl --share 25 --counters 2");
        t.run("bound fleet.hcl --share 5 --counter 60 --lent 35 --skew-ms 250 --under-way-ms 400");
        t.run("bound fleet.hcl --at-most 110");
        t.run("bound fleet.hcl --at-most 110 --format json");
        t.run("bound fleet.hcl --at-most 130 --counters 2");
        t.run("bound fleet.hcl --at-most 101 --skew-ms 5000 --format json");
        t.run("bound fleet.hcl --share 300");
    });
}

#[test]
fn invalid_fleet_files() {
    assert_as_recorded("fleet-faults", |t| {
        t.run("plan missing.hcl");
        t.run("bound missing.hcl");
        let sample = |from, to| replaced(FLEET, &[(from, to)]);
        let faulty = [
            ("no-cores", sample("cores        = 2", "cores        = 0")),
            ("no-number", sample("cores        = 2", "cores        = \"two\"")),
            ("late-aim", sample("aim        = \"800ms\"", "aim        = \"8s\"")),
            ("no-span", sample("aim        = \"800ms\"", "aim        = \"800 parsecs\"")),
            ("no-rate", sample("rate         = 7.2", "")),
            ("unknown", sample("price        = 1.3", "prise        = 1.3")),
            ("unknown-block", sample("clients {", "patrons {")),
            ("shares", sample("share        = 0.23", "share        = 0.33")),
            ("word", sample("\"keyed\"", "\"once\"")),
            ("room", sample("room             = \"room-a\"", "room             = \"room-d\"")),
            ("twice", sample("room \"room-b\"", "room \"room-a\"")),
            ("kind", sample("workers \"small-2c\"", "workers \"large\"")),
            ("spread", sample("spread       = [2, 3]", "spread       = [2, 5]")),
            ("no-counter", sample("counter {", "counted {")),
            ("no-hcl", sample("counter {", "counter {{")),
            ("empty", String::new()),
        ];
        for (name, text) in faulty {
            t.write(&format!("{name}.hcl"), text);
            t.run(&format!("bound {name}.hcl"));
        }
    });
}

#[test]
fn config_check_and_diff() {
    assert_as_recorded("config", |t| {
        let next = |changes: &[(&str, &str)]| {
            let head = ("reason = \"as the sample fleet runs today\"", "reason = \"asked for by support\"");
            replaced(RULES, &[&[head], changes].concat())
        };
        let tenfold = ("rate  = 7.2", "rate  = 0.72");
        let overriding = ("support\"", "support\"\n  overrides = [\"plan.faculdade.rate\"]");
        let gold = ("limits {", "plan \"gold\" {\n  rate = 30\n  burst = 90\n}\n\nlimits {");
        let addresses = "addresses {\n  counter = \"10.0.0.9:6400\"\n  discovery = \"10.0.0.9:6500\"\n}\n";
        t.write("fleet.hcl", short_fleet());
        t.write("current.hcl", RULES);
        t.write(
            "larger.hcl",
            next(&[("rate  = 7.2", "rate  = 9"), ("aim      = \"800ms\"", "aim = \"1s\"")]),
        );
        t.write("tenth.hcl", next(&[tenfold]));
        t.write("meant.hcl", next(&[tenfold, overriding]));
        t.write("needless.hcl", next(&[overriding]));
        t.write("fewer.hcl", next(&[("plan \"escola\"", "plan \"curso\"")]));
        t.write("more.hcl", next(&[gold, ("support\"", "support\"\n  watch = false\n  pinned = true")]));
        t.write("wait.hcl", next(&[("\"500ms\"", "\"750ms\"")]) + addresses);
        t.write("same.hcl", next(&[]));
        for name in ["larger", "tenth", "meant", "needless", "fewer", "more", "wait", "same"] {
            t.run(&format!("config diff current.hcl {name}.hcl"));
            t.run(&format!("config diff current.hcl {name}.hcl --format json"));
            t.run(&format!("config check {name}.hcl --before current.hcl"));
            t.run(&format!("config check {name}.hcl --before current.hcl --format json"));
        }
        t.run("config check meant.hcl --before current.hcl --fleet fleet.hcl");
        t.run("config check meant.hcl --before current.hcl --fleet fleet.hcl --format json");
        t.run("capture draw fleet.hcl --out drawn");
        t.run("capture merge drawn/n0.sedgecap drawn/n1.sedgecap drawn/n2.sedgecap --out day.sedgecap");
        t.run("config check tenth.hcl --before current.hcl --fleet fleet.hcl --capture day.sedgecap");
    });
}

#[test]
fn invalid_runtime_configurations() {
    assert_as_recorded("config-faults", |t| {
        t.write("current.hcl", RULES);
        let faulty = [
            ("no-reason", replaced(RULES, &[("as the sample fleet runs today", "because")])),
            ("no-author", replaced(RULES, &[("platform", " ")])),
            ("no-parent", replaced(RULES, &[("parent = 0", "")])),
            ("no-version", replaced(RULES, &[("version {", "versions {")])),
            ("unknown", replaced(RULES, &[("burst = 6.5", "bursts = 6.5")])),
            ("twice", replaced(RULES, &[("plan \"escola\"", "plan \"basico\"")])),
            ("late-aim", replaced(RULES, &[("\"800ms\"", "\"8s\"")])),
            ("no-flag", replaced(RULES, &[("parent = 0", "parent = 0\n  watch = \"no\"")])),
            ("address", RULES.to_string() + "addresses {\n  counter = \"here\"\n}\n"),
            ("no-hcl", replaced(RULES, &[("limits {", "limits [")])),
            ("empty", String::new()),
        ];
        for (name, text) in faulty {
            t.write(&format!("{name}.hcl"), text);
            t.run(&format!("config check {name}.hcl --before current.hcl"));
        }
        t.run("config check missing.hcl --before current.hcl");
        t.run("config diff current.hcl missing.hcl");
        t.run("config diff missing.hcl current.hcl --format json");
    });
}

#[test]
fn invalid_timelines() {
    assert_as_recorded("timeline-faults", |t| {
        t.write("fleet.hcl", FLEET);
        for (name, text) in [
            ("unknown-step", "step \"explode\" {}\n"),
            ("unknown-block", "stage \"mend\" {}\n"),
            ("unknown-key", "step \"mend\" {\n  at = 1\n}\n"),
            ("no-label", "step {}\n"),
            ("no-key", "step \"kill\" {}\n"),
            ("no-such-limiter", "step \"kill\" {\n  limiter = 5\n}\n"),
            ("kind", "step \"kill\" {\n  limiter = 1\n  from = 0\n  kind = \"gossip\"\n}\n"),
            ("store", "step \"restart\" {\n  limiter = 1\n  store = \"half\"\n}\n"),
            ("service", "step \"link\" {\n  limiter = 1\n  to = \"worker\"\n  state = \"cut\"\n}\n"),
            ("state", "step \"link\" {\n  limiter = 1\n  to = \"roster\"\n  state = \"slow\"\n}\n"),
            ("rate", "step \"change\" {\n  at = 1\n  rate = 20\n}\n"),
            ("span", "step \"pause\" {\n  for = 3\n}\n"),
            ("no-hcl", "step \"mend\" {\n"),
        ] {
            t.write(&format!("{name}.hcl"), text);
            t.run(&format!("rehearse fleet.hcl --daemon none --faults {name}.hcl"));
        }
        t.run("rehearse fleet.hcl --daemon none --faults missing.hcl");
    });
}

#[test]
fn deploy_samples_match_the_copies() {
    assert_as_recorded("shipped", |t| {
        t.write("fleet.hcl", include_str!("../../../deploy/fleet-sample.hcl"));
        t.write("rules.hcl", include_str!("../../../deploy/rules-sample.hcl"));
        t.write("copy.hcl", RULES);
        t.run("bound fleet.hcl");
        t.run("capture draw fleet.hcl --out drawn");
        t.record_file("drawn/n0.sedgecap");
        t.run("config diff copy.hcl rules.hcl");
    });
}

/// The state of the runtime configuration at a limiter with the active version.
const IN_FORCE: &str = r#"{"version": 8, "digest": "5d1f", "standing": "current", "known_for_ms": 1200, "member": 0,
"members": 2, "waits_for_adopt": false, "pinned": false, "next": null,
"begun_here": {"version": 8, "outcome": "made", "unanswered": []},
"watch": {"state": "watched", "judges": true, "version": 8, "seconds_after": 12},
"history": [{"version": 7, "digest": "77aa", "void": false, "author": "platform", "reason": "first of all"},
{"version": 8, "digest": "5d1f", "void": false, "author": "support", "reason": "a larger plan"}]}"#;
/// The state at a limiter that is one version behind.
const BEHIND: &str = r#"{"version": 7, "digest": "77aa", "standing": "behind", "known_for_ms": 90, "member": 1,
"members": 2, "waits_for_adopt": false, "pinned": true, "next": {"version": 8},
"begun_here": {"version": 8, "outcome": "void", "unanswered": [3, 4]},
"watch": {"state": "undone", "judges": true, "version": 6, "drop": 0.31}, "history": []}"#;
/// The state at a limiter that has lost its votes and waits for adoption.
const VOTES_LOST: &str = r#"{"version": 0, "digest": "0000", "standing": "unknown", "known_for_ms": 0, "member": 2,
"members": 1, "waits_for_adopt": true, "pinned": false, "next": null, "begun_here": null, "watch": null,
"history": []}"#;
/// The response to a call that begins a change.
const CHANGE_BEGUN: &str = r#"{"version": 8, "at_us": 0}"#;
/// The response to a call that stages a document.
const STAGED: &str = r#"{"digest": "5d1f", "parent": 7, "changes": [{"words": "escola, rate: 2 to 3"}]}"#;

#[test]
fn config_commands_on_a_running_tier() {
    assert_as_recorded("operators", |t| {
        let made = StandInLimiter::start(&[
            ("GET /admin/rules ", 200, IN_FORCE),
            ("PUT /admin/rules/stage ", 200, STAGED),
            ("PUT /admin/rules/", 200, CHANGE_BEGUN),
        ]);
        let void = StandInLimiter::start(&[
            ("GET /admin/rules ", 200, BEHIND),
            ("PUT /admin/rules/stage ", 422, "the document:3:1: plan: is missing\n"),
            ("PUT /admin/rules/", 200, CHANGE_BEGUN),
        ]);
        let lost = StandInLimiter::start(&[
            ("GET /admin/rules ", 200, VOTES_LOST),
            ("PUT /admin/rules/adopt ", 200, "{}"),
        ]);
        t.write("next.hcl", RULES);
        let limiters = [("MADE", &made), ("VOID", &void), ("LOST", &lost)];
        let names = limiters.map(|(name, limiter)| (name, limiter.address.to_string()));
        let mut run = |line: &str| run_on_tier(t, line, &names, &limiters);
        run("config status --at MADE");
        run("config status --at MADE VOID LOST");
        run("config status --at MADE VOID --format json");
        run("config history --at MADE");
        run("config history --at MADE --format json");
        for limiter in ["MADE", "VOID"] {
            run(&format!("config stage next.hcl --at {limiter}"));
            run(&format!("config commit next.hcl --at {limiter}"));
            run(&format!("config undo --at {limiter}"));
            run(&format!("config undo --force --at {limiter} --format json"));
            run(&format!("config hold --at {limiter}"));
            run(&format!("config pin --at {limiter}"));
            run(&format!("config pin --off --at {limiter}"));
            run(&format!("config adopt --at {limiter}"));
        }
        run("config commit next.hcl --at MADE --scope all --except n7 --except 4 --force --begin-only");
        run("config stage next.hcl --at MADE --format json");
        run("config stage missing.hcl --at MADE");
        run("config adopt --at LOST");
        run("config adopt --at LOST --format json");
        run("config hold --at LOST");
    });
}

/// Runs a command line and records the requests that each limiter received.
fn run_on_tier(
    t: &mut Transcript,
    line: &str,
    names: &[(&str, String)],
    limiters: &[(&str, &StandInLimiter)],
) {
    t.run_with_names(line, names);
    for (name, limiter) in limiters {
        for request in limiter.take_requests() {
            t.record_line(&format!("-- {name} was asked: {request}"));
        }
    }
}
