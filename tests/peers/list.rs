//! Runs the list service as a process.

use super::TempDir;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;

/// A list service or mirror process, killed on drop.
pub struct Service {
    child: Child,
    pub addr: SocketAddr,
    args: Vec<String>,
}

impl Service {
    pub fn start(args: &[&str]) -> Service {
        Service::start_at("127.0.0.1:0", args.iter().map(|arg| (*arg).to_owned()).collect())
    }

    /// Starts a list service with a new data directory below `dir`.
    pub fn writer(dir: &TempDir, more: &[&str]) -> Service {
        let data = dir.path("list");
        Service::start(&[&["--data", data.to_str().unwrap(), "--new"], more].concat())
    }

    pub fn mirror_of(at: SocketAddr) -> Service {
        Service::start(&["--mirror-of", &at.to_string()])
    }

    fn start_at(listen: &str, args: Vec<String>) -> Service {
        let mut child = Command::new(env!("CARGO_BIN_EXE_granitelead-discovery"))
            .args(["--listen", listen])
            .args(&args)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let addr = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "the service exits without logging its address");
            if let Some((_, addr)) = line.trim().split_once("listening on ") {
                break addr.parse().unwrap();
            }
        };
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
        Service { child, addr, args }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Restarts the process on the same address, without `--new`.
    pub fn restart(&mut self, more: &[&str]) {
        self.kill();
        let mut args = self.args.clone();
        args.retain(|arg| arg != "--new");
        args.extend(more.iter().map(|arg| (*arg).to_owned()));
        *self = Service::start_at(&self.addr.to_string(), args);
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// The resident memory of the process, in kB.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
    }
}
