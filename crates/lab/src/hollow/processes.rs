//! The real processes of a hollow fleet, and what the system counts of them.

use super::servers::BEAT;
use super::size::zone;
use crate::loopback::process::{Process, Program};
use crate::loopback::{FleetError, Own};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The clock of `/proc/PID/stat`, ticks a second: as `sysconf(_SC_CLK_TCK)` gives on every Linux.
const TICKS: f64 = 100.0;

/// What the system has counted of a process so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all its threads, s.
    pub processor: f64,
    /// The most memory that it had, bytes.
    pub memory: u64,
    /// Descriptors that are open.
    pub descriptors: u64,
    /// Bytes written to files (sockets don't count).
    pub written: u64,
}

fn text(pid: u32, name: &str) -> String {
    std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default()
}

/// The number after a name at the begin of a line; 0 where there is none.
fn number(text: &str, name: &str) -> u64 {
    let found = text.lines().find_map(|line| line.strip_prefix(name));
    found.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The memory that a process has now, bytes; nothing where it is no more. For looks each second, which need not list
/// descriptors as [`usage`] does.
pub fn resident(pid: u32) -> u64 {
    number(&text(pid, "status"), "VmRSS:") << 10
}

/// What the system has counted of a process; nothing where it is no more.
pub fn usage(pid: u32) -> Usage {
    let text = |name: &str| text(pid, name);
    let stat = text("stat");
    let fields: Vec<&str> = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let (status, io) = (text("status"), text("io"));
    let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    Usage {
        // Fields 14 and 15 of the line, the first two of which stand before the bracket.
        processor: (ticks(11) + ticks(12)) / TICKS,
        memory: number(&status, "VmHWM:") << 10,
        descriptors: open as u64,
        written: number(&io, "wchar:"),
    }
}

/// Where processes listen and what they are told of each other.
pub struct Places {
    own: Own,
    markers: usize,
    zones: usize,
}

impl Places {
    /// For so many markers in so many zones.
    pub(crate) fn new(own: Own, markers: usize, zones: usize) -> Places {
        Places { own, markers, zones }
    }

    /// Where markers are called.
    pub fn control(&self) -> Vec<SocketAddr> {
        (0..self.markers).map(|n| self.own.marker(n)).collect()
    }

    /// The core, which all settings name.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let core = if self.markers < 3 { 1 } else { 3 };
        (0..core).map(|n| self.own.marker(n)).collect()
    }

    /// Where markers are talked to.
    pub fn internal(&self) -> u16 {
        self.own.marker(0).port() + 1
    }

    fn settings(&self, name: &str, number: usize, ip: SocketAddr, folder: &Path, listens: &str) -> String {
        let seeds: Vec<String> = self.seeds().iter().map(|at| format!("\"{at}\"")).collect();
        format!(
            r#"node-name = "{name}"
zone = "{zone}"
ip-address = "{ip}"
internal-port-range = [{internal}, {internal}]
seed-nodes = [{seeds}]
first-start = true
data-directory = "{folder}"
heartbeat-interval-ms = {beat}
[listen-addresses]
{listens}
[limits]
memory-mb = 256
file-descriptors = 20000
[fault-tolerance]
machine-losses = {losses}
"#,
            zone = zone(number, self.zones),
            ip = ip.ip(),
            internal = self.internal(),
            seeds = seeds.join(", "),
            folder = folder.display(),
            beat = BEAT.as_millis(),
            losses = usize::from(self.markers >= 3),
        )
    }

    fn begin(
        &self,
        program: Program,
        programs: &Option<PathBuf>,
        name: String,
        at: &Path,
        text: impl FnOnce(&Path) -> String,
    ) -> Result<Process, FleetError> {
        let mut process = Process::new(name, program, programs.clone(), at)?;
        let file = process.folder().with_extension("toml");
        std::fs::write(&file, text(process.folder()))?;
        process.tell(Vec::new(), vec![("GRANITELEAD_NODE_FILE", file.display().to_string())]);
        process.start()?;
        Ok(process)
    }

    /// Starts a marker.
    ///
    /// # Errors
    ///
    /// Why there is no process.
    pub fn marker(&self, n: usize, programs: &Option<PathBuf>, at: &Path) -> Result<Process, FleetError> {
        let name = format!("marker-{n}");
        let listens = format!("control-plane = \"{}\"", self.own.marker(n));
        self.begin(Program::Marker, programs, name.clone(), at, |folder| {
            self.settings(&name, n, self.own.marker(n), folder, &listens)
        })
    }

    /// Starts a real gatekeeper.
    ///
    /// # Errors
    ///
    /// Why there is no process.
    pub fn proxy(&self, programs: &Option<PathBuf>, at: &Path) -> Result<Process, FleetError> {
        let (front, name) = (self.own.proxy(0), "granitelead-proxy".to_owned());
        let readiness = SocketAddr::new(front.ip(), front.port() + 1);
        let listens = format!("front = \"{front}\"\nreadiness = \"{readiness}\"");
        self.begin(Program::Proxy, programs, name.clone(), at, |folder| {
            self.settings(&name, 0, front, folder, &listens)
        })
    }
}
