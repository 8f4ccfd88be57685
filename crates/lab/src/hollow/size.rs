//! How large a hollow fleet is, what it needs, and which sizes are refused.

use clap::Args;
use rustix::process::{getrlimit, Resource};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Sessions that a gatekeeper holds, as its own code has it.
const SESSIONS: usize = granitelead_proxy::control::SESSIONS;
/// Markers that one knows at once (`KNOWN_MAX` of `marker::core`), and itself.
const MARKERS_MAX: usize = 65;
/// Tenants that a marker counts at once (`TENANTS_MAX` of `marker::tally`).
const TENANTS_MAX: usize = 100_000;
/// Longest run, s.
const LONGEST: u64 = 600;
/// Descriptors for anything but sessions and beats.
const DESCRIPTORS: u64 = 400;
/// Memory, bytes: of a marker, of a hollow gatekeeper, of a server at each marker and of a tenant at each gatekeeper and
/// its home. Taken from runs, rounded up: a guess for refusals only, no result.
const MEMORY: (u64, u64, u64, u64) = (16 << 20, 128 << 10, 2 << 10, 256);

/// The size of a hollow fleet.
#[derive(Args, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Hollow gatekeepers; a real one more is measured beside them.
    #[arg(long, default_value_t = 100)]
    pub gatekeepers: usize,
    /// Hollow servers, each of which beats.
    #[arg(long, default_value_t = 200)]
    pub servers: usize,
    /// Tenants of the configuration, all in use.
    #[arg(long, default_value_t = 100)]
    pub tenants: usize,
    /// Routes of the configuration.
    #[arg(long, default_value_t = 100)]
    pub routes: usize,
    /// Changes of the configuration, spread evenly.
    #[arg(long, default_value_t = 12)]
    pub changes_a_minute: u64,
    /// How long it is measured once all have joined, s.
    #[arg(long = "for", default_value_t = 15)]
    pub seconds: u64,
    /// Markers, of which three are the core (one where there are fewer than three).
    #[arg(long, default_value_t = 3)]
    pub markers: usize,
    /// What each hollow gatekeeper says it has let in, requests a second, each of a drawn tenant.
    #[arg(long, default_value_t = 1.0)]
    pub requests: f64,
    /// Kills the primary after that, starts it again a second later and measures the time until all is whole.
    #[arg(long)]
    pub kill: bool,
}

/// Why a size is refused.
#[derive(Debug, Error, PartialEq)]
#[error("--{option} {given}: {why}; {would} would do")]
pub struct Refusal {
    /// Which option.
    pub option: &'static str,
    /// What it was.
    pub given: String,
    /// What is wrong.
    pub why: String,
    /// What would not be.
    pub would: String,
}

/// What there is of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory, bytes.
    pub memory: u64,
    /// Descriptors that one process may have.
    pub descriptors: u64,
}

impl Machine {
    /// This one.
    pub fn here() -> Machine {
        let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let memory = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kb: Option<u64> = memory.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok());
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        Machine { memory: kb.unwrap_or(0) * 1_024, descriptors }
    }
}

fn refusal(option: &'static str, given: impl ToString, why: String, would: impl ToString) -> Refusal {
    Refusal { option, given: given.to_string(), why, would: would.to_string() }
}

impl Size {
    /// The options that give this size.
    pub fn words(&self) -> Vec<String> {
        let numbers = [
            ("gatekeepers", self.gatekeepers as f64),
            ("servers", self.servers as f64),
            ("tenants", self.tenants as f64),
            ("routes", self.routes as f64),
            ("changes-a-minute", self.changes_a_minute as f64),
            ("for", self.seconds as f64),
            ("markers", self.markers as f64),
            ("requests", self.requests),
        ];
        let words = numbers.iter().flat_map(|(name, number)| [format!("--{name}"), number.to_string()]);
        words.chain(self.kill.then(|| "--kill".to_owned())).collect()
    }

    /// Services: as many servers in each as at the operators' target, 110,000 in 2,500.
    pub fn services(&self) -> usize {
        (self.servers / 44).clamp(1, 2_500)
    }

    /// Sessions of all gatekeepers.
    pub fn sessions(&self) -> usize {
        self.gatekeepers * SESSIONS.min(self.markers)
    }

    /// Part of the gatekeepers that may have a session with a marker of the core. Its first one a gatekeeper draws of
    /// the core, the others of all that it is told and of the core once more; a fifth on top, as one that is not told
    /// in time draws of the core again. Seen with 6 markers: 0.73, with 12: 0.66.
    fn core_part(&self) -> f64 {
        (1.2 * (1.0 / 3.0 + 3.0 / (self.markers as f64 + 1.0))).min(1.0)
    }

    /// Memory that it may come to with a configuration of so many bytes: each session may have one waiting at the
    /// marker and one half read here.
    pub fn memory(&self, document: u64) -> u64 {
        let (markers, gatekeepers) = (self.markers as u64, self.gatekeepers as u64);
        let sessions = self.sessions() as u64;
        markers * (MEMORY.0 + 12 * document + self.servers as u64 * MEMORY.2)
            + gatekeepers * MEMORY.1
            + sessions * 2 * document
            + gatekeepers * self.tenants as u64 * MEMORY.3
    }

    /// Whether the code's own bounds and this machine allow it. It takes half of the memory at the most.
    ///
    /// # Errors
    ///
    /// The first option that is refused, why, and what would do.
    pub fn fits(&self, machine: &Machine, document: u64) -> Result<(), Refusal> {
        let between = |option, given: u64, least: u64, most: u64, of: &str| {
            let why = || format!("{least} to {most} are allowed{of}");
            let fits = (least..=most).contains(&given);
            fits.then_some(()).ok_or_else(|| refusal(option, given, why(), given.clamp(least, most)))
        };
        between("markers", self.markers as u64, 1, MARKERS_MAX as u64, ", as many as one marker knows")?;
        between("for", self.seconds, 1, LONGEST, " s, so that a run ends")?;
        between("changes-a-minute", self.changes_a_minute, 0, 600, "")?;
        let servers = marker::registry::SERVERS_MAX as u64;
        between("servers", self.servers as u64, 0, servers, ", as many as a marker knows")?;
        between("tenants", self.tenants as u64, 1, TENANTS_MAX as u64, ", as many as a marker counts")?;
        between("routes", self.routes as u64, 1, 1 << 20, "")?;
        if !(0.0..=1_000.0).contains(&self.requests) {
            let why = "0 to 1000 a second are allowed".into();
            return Err(refusal("requests", self.requests, why, 1));
        }
        let body = granitelead_common::configuration::BODY_MAX as u64;
        if document > body {
            let why = format!(
                "with {} tenants a configuration of {document} bytes, {body} are taken",
                self.tenants
            );
            return Err(refusal("routes", self.routes, why, self.routes as u64 * body / document * 9 / 10));
        }
        let bound = marker::sessions::SESSIONS_MAX;
        let most = (bound as f64 / self.core_part()) as usize;
        let most = most.min(((machine.descriptors.saturating_sub(DESCRIPTORS)) / 3) as usize);
        let why = format!(
            "1 to {most} are allowed: {bound} sessions a marker, of which a marker of the core has {:.2} of all \
             gatekeepers'; {} descriptors in one process",
            self.core_part(),
            machine.descriptors
        );
        if !(1..=most).contains(&self.gatekeepers) {
            return Err(refusal("gatekeepers", self.gatekeepers, why, self.gatekeepers.clamp(1, most)));
        }
        let (needs, has) = (self.memory(document), machine.memory / 2);
        if needs > has {
            let why = format!("may need {} MB, half of this machine's memory is {}", needs >> 20, has >> 20);
            let part = has as f64 / needs as f64;
            return Err(refusal(
                "gatekeepers",
                self.gatekeepers,
                why,
                (self.gatekeepers as f64 * part * 0.9) as u64,
            ));
        }
        Ok(())
    }
}

/// The zone of the marker, gatekeeper or server of that number.
pub fn zone(number: usize, zones: usize) -> String {
    format!("zone-{:02}", number % zones)
}
