//! What the newest configuration is told as: what differs from one that a gatekeeper has, or the whole.
//!
//! The configurations before the newest are kept as far as [`KEPT`] and [`BYTES`] go, so that whoever is near is told a
//! change and whoever is far the whole: what it costs to catch up does not grow with how many were missed.

use granitelead_control_protocol::messages::{Difference, Document, Revision, Update};
use std::collections::VecDeque;
use std::sync::Arc;

/// Configurations before the newest that are kept: a second's worth, where operators send eight at a time.
pub const KEPT: usize = 8;
/// Bytes of them; at least the last is kept.
pub const BYTES: usize = 256 << 10;

/// A configuration that was the newest.
struct Former {
    document: Arc<Document>,
    revision: Revision,
    /// What differs from it, once that was wanted; nothing where the whole costs no more.
    difference: Option<Option<Difference>>,
}

/// The newest configuration, and those before it.
#[derive(Default)]
pub struct Pushes {
    newest: Option<(Arc<Document>, Revision)>,
    former: VecDeque<Former>,
}

impl Pushes {
    /// Takes in what may be newer.
    pub fn newest(&mut self, document: &Arc<Document>) {
        if self.newest.as_ref().is_some_and(|(_, newest)| newest.version >= document.version) {
            return;
        }
        let revision = document.revision();
        let before = self.newest.replace((document.clone(), revision));
        for former in &mut self.former {
            former.difference = None;
        }
        if let Some((document, revision)) = before {
            self.former.push_front(Former { document, revision, difference: None });
        }
        let mut bytes = 0;
        let mut fits = |former: &Former| {
            bytes += former.document.bytes.len();
            bytes <= BYTES
        };
        let kept = self.former.iter().take(KEPT).take_while(|f| fits(f)).count();
        self.former.truncate(kept.max(1));
    }

    /// The newest, by its number and digest.
    pub fn revision(&self) -> Option<Revision> {
        self.newest.as_ref().map(|(_, revision)| *revision)
    }

    /// What to tell whoever has this.
    pub fn news(&mut self, has: Option<Revision>) -> Option<Update> {
        let (newest, _) = self.newest.as_ref()?;
        let known = self.former.iter_mut().find(|former| Some(former.revision) == has);
        let change = known.and_then(|former| {
            let Former { document, difference, .. } = former;
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
