//! The demo on loopback: it ends by itself with a report, and leaves nothing behind however it ends.

mod common;

use common::children;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes on the slowest machine: running into it is a failure.
const PATIENCE: Duration = Duration::from_secs(60);

struct Demo {
    child: Child,
    out: PathBuf,
}

impl Demo {
    /// Starts it, to ask for so many seconds.
    fn start(name: &str, seconds: u32) -> Demo {
        let out = std::env::temp_dir().join(format!("granitelead-demo-{name}-{}", std::process::id()));
        let mut command = Command::new(env!("CARGO_BIN_EXE_granitelead-lab"));
        // What a demo that is killed leaves goes with the test.
        std::fs::create_dir_all(&out).unwrap();
        command.env("TMPDIR", &out);
        command.arg("demo").arg("--out").arg(&out).arg("--seconds").arg(seconds.to_string());
        let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        Demo { child, out }
    }

    /// Waits for its first second; gives its gatekeepers.
    fn until_it_serves(&mut self) -> Vec<u32> {
        let mut line = String::new();
        let mut lines = BufReader::new(self.child.stdout.as_mut().unwrap());
        assert!(lines.read_line(&mut line).unwrap() > 0 && line.contains("answered"), "{line}");
        let gatekeepers = children(self.child.id());
        // The list service is the fourth.
        assert_eq!(gatekeepers.len(), 4);
        assert!(words(gatekeepers[0]).contains("list-service"));
        gatekeepers
    }

    fn signal(&self, to: u32, name: &str) {
        assert!(Command::new("kill").args([name, &to.to_string()]).status().unwrap().success());
    }

    /// Its exit status, and the rest of what it says on both its streams.
    fn end(&mut self) -> (Option<i32>, String) {
        let mut said = String::new();
        self.child.stdout.take().unwrap().read_to_string(&mut said).unwrap();
        self.child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        (self.child.wait().unwrap().code(), said)
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.out);
    }
}

fn words(pid: u32) -> String {
    std::fs::read_to_string(format!("/proc/{pid}/cmdline")).unwrap_or_default()
}

fn none_is_left(gatekeepers: &[u32]) {
    let runs =
        |pid: &u32| words(*pid).contains("as-child") && Path::new(&format!("/proc/{pid}/exe")).exists();
    let until = Instant::now() + PATIENCE;
    while gatekeepers.iter().any(&runs) {
        assert!(Instant::now() < until, "gatekeepers are left");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn it_ends_by_itself_with_a_report() {
    let mut demo = Demo::start("ends", 2);
    let gatekeepers = demo.until_it_serves();
    let report = demo.out.join("demo.html");
    let (status, said) = demo.end();
    assert_eq!(status, Some(0), "{said}");
    assert!(said.trim_end().ends_with(report.to_str().unwrap()), "{said}");
    let page = std::fs::read_to_string(report).unwrap();
    assert!(page.contains("loopback") && page.contains("<svg"));
    none_is_left(&gatekeepers);
}

#[test]
fn however_it_ends_nothing_is_left() {
    for name in ["-INT", "-KILL"] {
        let mut demo = Demo::start(name, 30);
        let gatekeepers = demo.until_it_serves();
        demo.signal(demo.child.id(), name);
        demo.child.wait().unwrap();
        none_is_left(&gatekeepers);
    }
}

#[test]
fn a_gatekeeper_that_dies_ends_it_with_a_line_that_says_so() {
    let mut demo = Demo::start("dies", 30);
    let gatekeepers = demo.until_it_serves();
    demo.signal(gatekeepers[1], "-KILL");
    let (status, said) = demo.end();
    assert_eq!(status, Some(1), "{said}");
    assert!(said.contains("gatekeeper") && said.contains("has ended"), "{said}");
    none_is_left(&gatekeepers);
}
