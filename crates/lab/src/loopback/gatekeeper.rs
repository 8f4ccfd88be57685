//! Real gatekeepers as processes of this program's own: the program is the laboratory, told to be a gatekeeper.

use super::FleetError;
use crate::experiment::{Effect, Experiment};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The word by which this program is a gatekeeper.
pub const WORD: &str = "as-gatekeeper";
/// Time to say where it listens.
const START: Duration = Duration::from_secs(10);
/// Descriptors and memory that it is told it has.
const LIMITS: (usize, u32) = (1_024, 192);

/// Is a gatekeeper, for as long as whoever started it holds the other end of standard input: nothing is left where that
/// one is killed.
pub fn be() -> std::process::ExitCode {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
    granitelead_gatekeeper::run()
}

/// A gatekeeper that runs.
pub struct Gatekeeper {
    /// Where clients connect.
    pub at: SocketAddr,
    number: usize,
    child: Child,
}

/// What gatekeeper number `me` of an experiment is told.
pub fn config(
    experiment: &Experiment,
    me: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    seed: u64,
) -> Value {
    let (fleet, limits) = (&experiment.fleet, &experiment.limits);
    let micros = |seconds: f64| (seconds * 1e6) as u64;
    let services = experiment.classes.iter().map(|class| {
        let effect = match class.effect {
            Effect::Idempotent => "idempotent",
            Effect::Deduplicated => "deduplicated",
            Effect::AtMostOnce => "at_most_once",
        };
        json!({"name": class.name, "aimUs": micros(class.aim_s.0), "giveUpUs": micros(class.deadline_s.0),
               "effect": effect, "group": "all", "keyTtlUs": micros(class.key_s.0)})
    });
    let plans = experiment.plans.iter().map(|plan| {
        let burst = (plan.rate.0 * plan.burst_s.0).max(4.0);
        let ceiling = plan.ceiling.map_or(0.0, |ceiling| ceiling.0);
        json!({"name": plan.name, "rate": plan.rate.0, "storeSize": burst, "hardRate": plan.rate.0 * ceiling,
               "capDepth": burst * ceiling, "ceilingSlack": (0.1 * burst * ceiling).max(4.0),
               "beyondEarns": plan.over_earns, "overCost": plan.over_cost})
    });
    json!({
        "name": format!("n{me}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "counter": experiment.counter.there.then(|| counter.to_string()), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": LIMITS.1, "sockets": LIMITS.0},
        "settings": {
            "instances": fleet.gatekeepers.0, "me": me, "resolutionUs": 1_000,
            "zone": fleet.zones[me % fleet.zones.len()], "registryMode": "pushed",
            "familyInfo": {"mayCount": experiment.counter.there, "mostUnits": 4, "costAfter": true,
                           "countWaitUs": micros(experiment.counter.timeout_ms.0 / 1e3)},
            "limits": {"maxAttempts": limits.max_attempts.0, "mayCancel": limits.cancel,
                       "mayDuplicate": limits.second_copies, "retryAfter": true,
                       "maxRetryAfterUs": micros(limits.max_retry_after_s.0), "connIdleUs": 30_000_000,
                       "connectTimeoutUs": 250_000},
            "rules": {"coldFrom": fleet.cold_from.0, "coldUs": micros(fleet.cold_s.0),
                      "fallMultiple": fleet.fall_multiple.0, "tipAfterUs": micros(fleet.fall_s.0)},
            "services": services.collect::<Vec<_>>(),
            "tiersOfService": plans.collect::<Vec<_>>(),
        }
    })
}

impl Gatekeeper {
    /// Starts one, with its files in that folder.
    pub async fn start(number: usize, config: &Value, folder: &Path) -> Result<Gatekeeper, FleetError> {
        let bad = |why: String| FleetError::NoStart { number, why };
        let own = folder.join(format!("gatekeeper-{number}"));
        std::fs::create_dir_all(&own)?;
        let file = own.join("config.json");
        std::fs::write(&file, config.to_string())?;
        let mut command = Command::new(std::env::current_exe()?);
        for variable in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_ADMIN_ADDR"] {
            command.env_remove(variable);
        }
        command.arg(WORD).env("RELAY_CONFIG", file).env("TMPDIR", own).kill_on_drop(true);
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| bad(e.to_string()))?;
        let log = child.stderr.take().ok_or_else(|| bad("no standard error".into()))?;
        let mut lines = BufReader::new(log).lines();
        let mut said = String::new();
        let at = timeout(START, async {
            while let Ok(Some(line)) = lines.next_line().await {
                let at = line.rsplit(' ').next().and_then(|word| word.parse::<SocketAddr>().ok());
                if at.is_some() {
                    return at;
                }
                said = line;
            }
            None
        });
        let at = at.await.ok().flatten().ok_or_else(|| bad(format!("its last word was `{said}`")))?;
        // Its log is drained, so that it never waits for it.
        spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Gatekeeper { at, number, child })
    }

    /// Says so where it has ended.
    pub fn check(&mut self) -> Result<(), FleetError> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(status) => Err(FleetError::Ended { number: self.number, status: status.to_string() }),
        }
    }

    /// Ends it, and waits until it has.
    pub async fn end(&mut self) {
        // One that has ended before is as good.
        let _ = self.child.kill().await;
    }
}
