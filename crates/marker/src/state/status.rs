//! The status report of a marker, for operators.

use super::Marker;
use crate::types::Millis;
use granitelead_control_protocol::messages::Node;

impl Marker {
    pub(super) fn status(&self, now: Millis) -> String {
        let view = self.core.view();
        let ip = |node: &Node| node.ip.to_string();
        let epoch = view.epoch.as_ref().map(|e| {
            serde_json::json!({
                "round": e.number.round,
                "core": e.core.iter().map(ip).collect::<Vec<_>>(),
                "primary": e.primary.as_ref().map(ip),
                "backups": e.backups.iter().map(ip).collect::<Vec<_>>(),
            })
        });
        let duties = view.duties.iter().map(|(duty, holder)| {
            let holder =
                holder.map(|(node, number)| serde_json::json!({"holder": ip(&node), "number": number.round}));
            (format!("{duty:?}").to_lowercase(), holder.unwrap_or_default())
        });
        let duties: serde_json::Map<String, serde_json::Value> = duties.collect();
        let (kept, handed, dropped) = self.repair.counters();
        let (have, of) = view.committed.map_or((0, 0), |version| self.sessions.count_in_force(version));
        serde_json::json!({
            "marker": self.me().ip.to_string(),
            "leads": view.is_primary,
            "contact": self.in_quorum,
            "contact-for-ms": now - self.quorum_changed_at,
            "epoch": epoch,
            "version": view.committed.map(|v| format!("{v:08x}")),
            "numbers-held": view.versions.0,
            "numbers-forgotten": view.versions.1.map(|v| format!("{v:08x}")),
            "orders-refused": view.refused,
            "sessions": of,
            "sessions-with-version": have,
            "gatekeepers": self.members.names(),
            "markers": self.markers().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "servers": self.registry.live().len(),
            "duties": duties,
            "ends-kept": kept,
            "ends-handed-over": handed,
            "ends-dropped": dropped,
            "core-needed": view.needed.0,
            "copies-needed": view.needed.1,
            "too-few": view.shortages,
            "leaves": view.shutting_down,
            "rounds-begun": view.rounds.0,
            "rounds-won": view.rounds.1,
        })
        .to_string()
    }
}
