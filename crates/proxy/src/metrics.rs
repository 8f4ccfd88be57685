//! The gatekeeper's metrics as text, one per line: name, labels, value. Served by `GET /metrics` at the
//! readiness address.

use crate::gate::Gate;
use std::fmt::Write;

/// Number of tenants shown: those with the most requests.
const TENANTS_SHOWN: usize = 32;

/// All metrics of a gatekeeper.
pub fn text(gate: &Gate) -> String {
    let mut text = String::new();
    let membership = gate.tenants.membership();
    let home = gate.control.attached_marker().map_or("none".to_owned(), |ip| ip.to_string());
    let version = gate.configuration.as_ref().map_or(0, |c| c.version);
    // Writing to a string can't fail.
    let _ = writeln!(text, "configuration_version {version}");
    let _ = writeln!(text, "ready {}", u8::from(gate.is_ready()));
    let _ = writeln!(text, "quota_gatekeepers {}", membership.gatekeepers);
    let _ = writeln!(text, "quota_gatekeepers_missed {}", membership.missing);
    let _ = writeln!(text, "quota_in_touch{{home=\"{home}\"}} {}", u8::from(membership.in_sync));
    for (tenant, standing) in gate.tenants.busiest(TENANTS_SHOWN) {
        let label = format!("{{tenant=\"{}\"}}", tenant.escape_default());
        let _ = writeln!(text, "quota_admitted{label} {}", standing.admitted);
        let _ = writeln!(text, "quota_refused{label} {}", standing.refused);
        let _ = writeln!(text, "quota_level{label} {:.1}", standing.level);
        let _ = writeln!(text, "quota_room{label} {:.1}", standing.allowance);
    }
    text
}
