//! Runs the kit in a temporary directory and compares its output with a recorded transcript, byte for byte.
//!
//! The kit runs in the temporary directory and is given relative paths, so that the output does not depend on the path
//! of the directory. Only loopback addresses are replaced by names, because their ports vary.
//!
//! `RECORD_OUTPUT=1` overwrites the transcripts and fails each test that does so. Record only where an output is meant
//! to change, and list the changes in the commit.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// The environment variable that, set to 1, makes tests overwrite the transcripts instead of comparing them.
const RECORD_VARIABLE: &str = "RECORD_OUTPUT";
/// Numbers of worker threads; the output must be the same with each.
const THREADS: [&str; 2] = ["1", "8"];
/// Number of characters printed on either side of the first difference in a line.
const DIFFERENCE_CONTEXT: usize = 80;

/// The transcript of one test case: its command lines and their output.
pub struct Transcript {
    directory: tempfile::TempDir,
    threads: &'static str,
    text: String,
}

impl Transcript {
    fn new(threads: &'static str) -> Transcript {
        let directory = tempfile::tempdir().expect("a temporary directory");
        Transcript { directory, threads, text: String::new() }
    }

    /// Writes a file that later runs can read.
    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) {
        fs::write(self.directory.path().join(name), content).expect("the directory can be written");
    }

    /// Reads a file that the test or a run has written.
    pub fn read(&self, name: &str) -> Vec<u8> {
        fs::read(self.directory.path().join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
    }

    /// Runs the kit with the arguments in a line, and records the exit status and the output.
    pub fn run(&mut self, line: &str) {
        self.run_with_names(line, &[]);
    }

    /// Like [`Transcript::run`], but records only the length and the digest of standard output.
    pub fn run_with_digest(&mut self, line: &str) {
        let output = self.execute(line);
        self.record_command(line, &output);
        self.record_line(&format!("-- stdout: {}", length_and_digest(&output.stdout)));
        self.record_stream("stderr", &text(output.stderr));
    }

    /// Like [`Transcript::run`], but replaces each name in the line by its value, and each value in the output by its
    /// name.
    pub fn run_with_names(&mut self, line: &str, names: &[(&str, String)]) {
        let output = self
            .execute(&names.iter().fold(line.to_string(), |line, (name, value)| line.replace(name, value)));
        let named = |stream| names.iter().fold(text(stream), |text, (name, value)| text.replace(value, name));
        self.record_command(line, &output);
        self.record_stream("stdout", &named(output.stdout));
        self.record_stream("stderr", &named(output.stderr));
    }

    /// Records the length and the digest of a file that a run has written.
    pub fn record_file(&mut self, name: &str) {
        let content = self.read(name);
        self.record_line(&format!("-- {name}: {}", length_and_digest(&content)));
    }

    /// Appends a line to the transcript.
    pub fn record_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// Runs the kit with the arguments in a line.
    fn execute(&self, line: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_sedgestack-kit"))
            .args(line.split_whitespace())
            .current_dir(self.directory.path())
            .env_clear()
            .env("RAYON_NUM_THREADS", self.threads)
            .stdin(Stdio::null())
            .output()
            .expect("the kit can be started")
    }

    /// Records a command line and its exit status.
    fn record_command(&mut self, line: &str, output: &Output) {
        self.record_line(&format!("$ sedgestack-kit {line}"));
        self.record_line(&format!("-- {}", output.status));
    }

    /// Records one output stream of a run, unless it is empty.
    fn record_stream(&mut self, name: &str, text: &str) {
        if text.is_empty() {
            return;
        }
        self.record_line(&format!("-- {name}:"));
        self.text.push_str(text);
        if !text.ends_with('\n') {
            self.record_line("");
            self.record_line("-- no newline at the end");
        }
    }
}

fn text(stream: Vec<u8>) -> String {
    String::from_utf8(stream).expect("UTF-8")
}

/// Runs a case once for each number of threads, and asserts that the transcripts are equal to the recorded one.
pub fn assert_as_recorded(name: &str, case: impl Fn(&mut Transcript)) {
    let [first, second] = THREADS.map(|threads| {
        let mut transcript = Transcript::new(threads);
        case(&mut transcript);
        transcript.text
    });
    assert_same(&format!("{name} with {} and with {} threads", THREADS[0], THREADS[1]), &first, &second);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(format!("{name}.txt"));
    if std::env::var(RECORD_VARIABLE).is_ok_and(|set| set == "1") {
        fs::write(&path, &second).expect("the transcript can be written");
        panic!("{name}: the transcript was overwritten, not compared; run again without {RECORD_VARIABLE}");
    }
    let expected = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    if expected != second {
        fs::write(actual_path(name), &second).expect("the target directory can be written");
    }
    assert_same(
        &format!("{name}, recorded and actual (in {})", actual_path(name).display()),
        &expected,
        &second,
    );
}

/// Returns the path that a transcript is written to if it differs from the recorded one.
fn actual_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.txt"))
}

/// Asserts that two transcripts are equal; otherwise panics with the first difference.
fn assert_same(what: &str, expected: &str, found: &str) {
    if expected == found {
        return;
    }
    let mut lines = expected.split('\n').zip(found.split('\n')).enumerate();
    let Some((n, (old, new))) = lines.find(|(_, (old, new))| old != new) else {
        panic!("{what}: one transcript is a prefix of the other");
    };
    let alike = old.chars().zip(new.chars()).take_while(|(old, new)| old == new).count();
    let near = |line: &str| -> String {
        line.chars().skip(alike.saturating_sub(DIFFERENCE_CONTEXT)).take(2 * DIFFERENCE_CONTEXT).collect()
    };
    let (old, new) = (near(old), near(new));
    panic!(
        "{what}: line {} differs from character {} on\nexpected: {old}\n   found: {new}",
        n + 1,
        alike + 1
    );
}

/// Formats the length and the digest (FNV-1a, 64 bits) of content that is not recorded in full.
fn length_and_digest(content: &[u8]) -> String {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let digest = content.iter().fold(BASIS, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(PRIME));
    format!("{} bytes, fnv1a {digest:016x}", content.len())
}
