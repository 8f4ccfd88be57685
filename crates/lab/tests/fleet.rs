//! Small fleets of real processes with faults between them. Verdicts come from histories: a rule that was broken fails on
//! any machine; a run in which the machine stood still may be not decided, and is then as good as no run.

mod common;

use common::children;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const SMALL: &str = include_str!("../src/loopback/small.toml");
/// Longer than anything here takes on the slowest machine.
const PATIENCE: Duration = Duration::from_secs(120);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("granitelead-fleet-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// A file of the small fleet with these faults.
    fn file(&self, name: &str, seconds: u32, faults: &str) -> PathBuf {
        let small = SMALL.replace("seconds = 14", &format!("seconds = {seconds}"));
        let small =
            small.replace("gatekeepers = 4", "gatekeepers = 3").replace("settles_s = 5", "settles_s = 3");
        let path = self.0.join(format!("{name}.toml"));
        std::fs::write(&path, small + faults).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn lab(out: &Path, words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_granitelead-lab"));
    // What a rig that is killed leaves goes with the test.
    command.env("TMPDIR", out);
    command.arg("fleet").args(words).arg("--out").arg(out).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Faults of several kinds at once, each file beside the others; no rule is broken, and each has its report.
#[test]
fn the_program_keeps_its_rules_while_parts_of_its_system_fail() {
    let folder = Folder::new("keeps");
    let fault = |kind: &str, at: u32, lasts: u32, more: &str| {
        format!("\n[[fault]]\nkind = '{kind}'\nat = {at}\nlasts = {lasts}\n{more}\n")
    };
    let files = [
        ("killed", fault("kill_gatekeepers", 1, 1, "share = 0.3") + &fault("release", 1, 2, "share = 0.3")),
        (
            "paused",
            fault("pause_gatekeepers", 1, 2, "share = 1.0") + &fault("kill_servers", 2, 1, "share = 0.2"),
        ),
        ("cut", fault("zone_cut", 1, 1, "zone = 'b'") + &fault("kill_list", 1, 2, "folder = 'older'")),
        (
            "peers",
            fault("split", 1, 3, "times = 2.0")
                + &fault("kill_gatekeepers", 1, 3, "share = 0.3")
                + &fault("link", 1, 3, "of = 'gatekeepers'\nto = 'gatekeepers'\nshare = 0.6\nhow = 'double'"),
        ),
        (
            "links",
            fault("link", 1, 2, "of = 'lists'\nto = 'gatekeepers'\nshare = 1.0\nhow = 'stall'")
                + &fault("link", 1, 2, "of = 'counter'\nshare = 1.0\nhow = 'delay'\nms = 60.0")
                + &fault("link", 2, 1, "of = 'servers'\nshare = 0.4\nhow = 'reset'"),
        ),
    ];
    let runs = files.map(|(name, faults)| {
        let file = folder.file(name, 10, &faults);
        if name == "peers" {
            // They tell each other who lives, and find each other again.
            let text = std::fs::read_to_string(&file).unwrap();
            let text = text.replace("settles_s = 3", "settles_s = 12\npeers = true");
            std::fs::write(&file, text.replace("seconds = 10", "seconds = 19")).unwrap();
        }
        (name, lab(&folder.0, &[file.to_str().unwrap()]).spawn().unwrap())
    });
    for (name, run) in runs {
        let output = run.wait_with_output().unwrap();
        let said = said(&output);
        assert!(output.status.success(), "{name}: {said}");
        assert!(said.contains("kept") || said.contains("not decided"), "{name}: {said}");
        let page = std::fs::read_to_string(folder.0.join(format!("{name}.html"))).unwrap();
        assert!(page.contains("<h2>Processes</h2>") && page.contains("<svg"), "{name}");
        assert!(!folder.0.join(format!("{name}-1.history.jsonl")).exists(), "{name}");
    }
}

/// What a drawn schedule that breaks a rule would need: the same seed, the same schedule, and proper files.
#[test]
fn a_file_that_makes_no_sense_is_refused_before_anything_starts() {
    let folder = Folder::new("refused");
    let file = folder.file("late", 10, "\n[[fault]]\nkind = 'pause_list'\nat = 4\nlasts = 3\n");
    let output = lab(&folder.0, &[file.to_str().unwrap()]).output().unwrap();
    let said = said(&output);
    assert!(!output.status.success() && said.contains("line") && said.contains("fault.lasts"), "{said}");
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn runs(pid: u32) -> bool {
    // A process that nobody has waited for yet is no more either.
    std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .is_ok_and(|stat| stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z')))
}

fn state(pid: u32) -> char {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(')').and_then(|(_, rest)| rest.trim_start().chars().next()).unwrap_or('?')
}

/// However it ends: killed, interrupted, by a failure of its own. Also those that are paused, and can't see that the rig is
/// gone. (`tests/demo.rs` has the ends with success and with an error.)
#[test]
fn a_rig_that_ends_in_any_way_leaves_nothing_not_even_paused_processes() {
    let folder = Folder::new("ends");
    let pause = "\n[[fault]]\nkind = 'pause_gatekeepers'\nat = 0.2\nlasts = 20\nshare = 1.0\n";
    let panics = format!("{pause}\n[[fault]]\nkind = 'rig_panics'\nat = 3\nlasts = 1\n");
    for (how, faults, status) in
        [("-KILL", pause, None), ("-INT", pause, Some(1)), ("panic", panics.as_str(), Some(101))]
    {
        let file = folder.file("ends", 30, faults);
        let mut rig: Child = lab(&folder.0, &[file.to_str().unwrap()]).spawn().unwrap();
        let paused = || children(rig.id()).into_iter().filter(|pid| state(*pid) == 'T').count();
        until("they are paused", || paused() == 3);
        let all = children(rig.id());
        assert_eq!(all.len(), 4);
        if how != "panic" {
            assert!(Command::new("kill").args([how, &rig.id().to_string()]).status().unwrap().success());
        }
        assert_eq!(rig.wait().unwrap().code(), status, "{how}");
        until("nothing is left", || !all.iter().any(|pid| runs(*pid)));
    }
}

/// A gatekeeper that does one thing wrong is caught, so that a clean verdict means something. All doubles are played by
/// `granitelead-lab fleet --doubles`.
#[test]
fn a_double_is_caught() {
    let output = lab(&Folder::new("doubles").0, &["--doubles", "--only", "silent,dies"]).output().unwrap();
    let said = said(&output);
    assert!(output.status.success(), "{said}");
    assert!(said.contains("silent: caught: ") && said.contains("dies: caught: "), "{said}");
}
