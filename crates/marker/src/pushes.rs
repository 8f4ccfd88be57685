//! Encodes the newest configuration for a gatekeeper: as a difference from the configuration that it has, or
//! as a whole.
//!
//! Earlier configurations are kept within the limits [`PREDECESSORS_MAX`] and [`PREDECESSOR_BYTES_MAX`]: a
//! gatekeeper that has one of them gets a difference, any other the whole. So the cost of catching up does
//! not grow with the number of versions that were missed.

use granitelead_control_protocol::messages::{Difference, Document, Revision, Update};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of earlier configurations that are kept: one second's worth at eight changes a second.
pub const PREDECESSORS_MAX: usize = 8;
/// Maximum size of the earlier configurations together, bytes; the latest of them is always kept.
pub const PREDECESSOR_BYTES_MAX: usize = 256 << 10;

/// An earlier configuration.
struct Predecessor {
    document: Arc<Document>,
    revision: Revision,
    /// The difference from it to the newest, computed on first use; `Some(None)` where sending the whole
    /// costs no more.
    difference: Option<Option<Difference>>,
}

/// The newest configuration and its recent predecessors.
#[derive(Default)]
pub struct Pushes {
    newest: Option<(Arc<Document>, Revision)>,
    predecessors: VecDeque<Predecessor>,
}

impl Pushes {
    /// Takes in a configuration; an older one than the newest is ignored.
    pub fn set_newest(&mut self, document: &Arc<Document>) {
        if self.newest.as_ref().is_some_and(|(_, newest)| newest.version >= document.version) {
            return;
        }
        let revision = document.revision();
        let previous = self.newest.replace((document.clone(), revision));
        for predecessor in &mut self.predecessors {
            predecessor.difference = None;
        }
        if let Some((document, revision)) = previous {
            self.predecessors.push_front(Predecessor { document, revision, difference: None });
        }
        let mut bytes = 0;
        let mut fits = |predecessor: &Predecessor| {
            bytes += predecessor.document.bytes.len();
            bytes <= PREDECESSOR_BYTES_MAX
        };
        let kept = self.predecessors.iter().take(PREDECESSORS_MAX).take_while(|f| fits(f)).count();
        self.predecessors.truncate(kept.max(1));
    }

    /// The version and digest of the newest configuration.
    pub fn revision(&self) -> Option<Revision> {
        self.newest.as_ref().map(|(_, revision)| *revision)
    }

    /// The message that brings a gatekeeper with the configuration `has` to the newest one; none while there
    /// is no configuration.
    pub fn update_for(&mut self, has: Option<Revision>) -> Option<Update> {
        let (newest, _) = self.newest.as_ref()?;
        let known = self.predecessors.iter_mut().find(|predecessor| Some(predecessor.revision) == has);
        let change = known.and_then(|predecessor| {
            let Predecessor { document, difference, .. } = predecessor;
            difference.get_or_insert_with(|| Difference::between(document, newest)).clone()
        });
        Some(
            change.map_or_else(
                || Update::Configuration(Document::clone(newest)),
                Update::ConfigurationDifference,
            ),
        )
    }
}
