//! Decoding of documents and checks against the previous version, with the positions of errors.

use sedgestack_fleet::Fleet;
use sedgestack_runtime_config::{differences, Document};

const FIRST: &str = r#"version {
  parent = 0
  author = "platform"
  reason = "as the fleet runs today"
}

plan "basico" {
  rate  = 1.6
  burst = 6.5
  price = 0.5
}

plan "faculdade" {
  rate  = 5.3
  burst = 31
  price = 1.3
}

class "report-read" {
  aim      = "800ms"
  deadline = "3s"
}

limits {
  max_retry_after = "500ms"
}

addresses {
  counter = "127.0.0.1:6400"
}
"#;

fn first_version() -> Document {
    Document::parse("first.hcl", FIRST).expect("the first version is valid")
}

fn next_version(from: &str, to: &str) -> Document {
    let text = FIRST.replacen(from, to, 1);
    assert_ne!(text, FIRST, "'{from}' is in the first version");
    Document::parse("next.hcl", &text).expect("the version decodes")
}

fn check_errors(document: &Document) -> Vec<String> {
    document.check("next.hcl", &first_version()).iter().map(ToString::to_string).collect()
}

#[test]
fn unconfirmed_large_change_is_rejected() {
    let errors = check_errors(&next_version("rate  = 5.3", "rate  = 0.53"));
    assert_eq!(
        errors,
        ["next.hcl:14:11: plan \"faculdade\".rate: changes to a tenth (from 5.3 units/s to 0.53 units/s); expected a \
          factor of at most 2, or \"plan.faculdade.rate\" in version.overrides"]
    );
}

#[test]
fn override_confirms_large_change_and_unused_override_is_rejected() {
    let text = FIRST.replacen("rate  = 5.3", "rate  = 53", 1).replacen(
        "today\"",
        "today\"\n  overrides = [\"plan.faculdade.rate\"]",
        1,
    );
    let confirmed = Document::parse("next.hcl", &text).expect("the version decodes");
    assert_eq!(check_errors(&confirmed), Vec::<String>::new());
    let unused = next_version("today\"", "today\"\n  overrides = [\"plan.basico.rate\"]");
    assert!(check_errors(&unused)[0]
        .contains("next.hcl:5:15: version.overrides: overrides plan.basico.rate, which does not"));
}

#[test]
fn removed_plans_and_versions_without_changes_are_rejected() {
    let without_plan = next_version("plan \"basico\"", "plan \"novo\"");
    assert!(check_errors(&without_plan)
        .iter()
        .any(|error| error.contains("the plan \"basico\" of version 0 is missing")));
    assert!(check_errors(&first_version())[0].contains("changes nothing"));
}

#[test]
fn decoding_errors_state_their_position() {
    let error = |from: &str, to: &str| {
        Document::parse("f.hcl", &FIRST.replacen(from, to, 1)).expect_err("an error").to_string()
    };
    assert!(error("aim      = \"800ms\"", "").contains("class \"report-read\".aim: is missing"));
    assert!(error("\"800ms\"", "\"800\"")
        .starts_with("f.hcl:20:14: class \"report-read\".aim: expected a duration"));
    assert!(error("\"800ms\"", "\"9s\"").contains("no longer than deadline"));
    assert!(error("price = 1.3", "prize = 1.3").contains("plan \"faculdade\".prize: unknown key or block"));
    assert!(
        error("127.0.0.1:6400", "localhost").contains("addresses.counter: expected an IP address and a port")
    );
    assert!(error("as the fleet runs today", "because").contains("version.reason: expected a reason"));
    assert!(error("plan \"faculdade\"", "plan \"basico\"").contains("a name that no other plan has"));
}

#[test]
fn differences_are_described_in_words() {
    let text = FIRST.replacen("rate  = 5.3", "rate  = 0.53", 1).replacen("\"800ms\"", "\"1s\"", 1).replacen(
        "127.0.0.1:6400",
        "127.0.0.1:6401",
        1,
    );
    let words: Vec<String> =
        differences(&first_version(), &Document::parse("f", &text).expect("the version decodes"))
            .into_iter()
            .map(|d| d.words)
            .collect();
    assert_eq!(
        words,
        [
            "faculdade, rate: 5.3 units/s to 0.53 units/s, to a tenth",
            "report-read, wanted within: 800 ms to 1 s, by 25% more",
            "quota counter: 127.0.0.1:6400 to 127.0.0.1:6401"
        ]
    );
}

#[test]
fn fleet_applies_the_values_of_a_version() {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample is valid");
    let changed_fleet = fleet.with_runtime_config(&next_version("rate  = 5.3", "rate  = 4"));
    assert_eq!(changed_fleet.plans[2].rate, 4.0);
    assert_eq!((changed_fleet.plans[3].rate, changed_fleet.classes[0].latency_objective), (18.0, 800_000));
}

#[test]
fn the_digest_changes_with_the_text() {
    assert_eq!(first_version().digest(), first_version().digest());
    assert_ne!(first_version().digest(), next_version("500ms", "501ms").digest());
}
