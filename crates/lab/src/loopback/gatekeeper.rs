//! Real gatekeepers as processes of this program's own: the program is the laboratory, told to be a gatekeeper.

use super::FleetError;
use crate::experiment::{Effect, Experiment};
use crate::world::settings;
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
    let zones = &experiment.fleet.zones;
    let it = settings(experiment);
    let services = experiment.classes.iter().zip(&it.classes).map(|(named, class)| {
        let effect = match named.effect {
            Effect::Idempotent => "idempotent",
            Effect::Deduplicated => "deduplicated",
            Effect::AtMostOnce => "at_most_once",
        };
        json!({"name": named.name, "aimUs": class.aim, "giveUpUs": class.deadline,
               "effect": effect, "group": "all", "keyTtlUs": class.key_window})
    });
    let plans = experiment.plans.iter().zip(&it.plans).map(|(named, plan)| {
        json!({"name": named.name, "rate": plan.rate, "storeSize": plan.burst, "hardRate": plan.ceiling_rate,
               "capDepth": plan.ceiling_burst, "ceilingSlack": plan.ceiling_slack,
               "beyondEarns": plan.over_earns, "overCost": plan.over_cost})
    });
    json!({
        "name": format!("n{me}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "counter": it.counter.then(|| counter.to_string()), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": LIMITS.1, "sockets": LIMITS.0},
        "settings": {
            "instances": it.instances, "me": me, "resolutionUs": it.resolution, "zone": zones[me % zones.len()],
            "registryMode": "pushed",
            "familyInfo": {"mayCount": it.counter, "mostUnits": it.most_units, "costAfter": it.settles,
                           "countWaitUs": it.counter_timeout},
            "limits": {"maxAttempts": it.limits.max_attempts, "mayCancel": it.limits.cancel,
                       "mayDuplicate": it.limits.second_copies, "retryAfter": true,
                       "maxRetryAfterUs": it.limits.max_retry_after, "connIdleUs": 30_000_000,
                       "connectTimeoutUs": 250_000},
            "rules": {"coldFrom": it.rules.cold_from, "coldUs": it.rules.cold_for,
                      "fallMultiple": it.rules.fall_multiple, "tipAfterUs": it.rules.fall_after},
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
