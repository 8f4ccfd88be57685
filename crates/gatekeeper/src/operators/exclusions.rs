//! Servers that operators have excluded: applies the exclusions and stores them in a file for the next
//! process of this gatekeeper.

use crate::driver::Driver;
use crate::events::StateChange;
use crate::list::ServerIds;
use granitelead_base::log_throttled;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file's name in `$TMPDIR`.
const FILE: &str = "hingestage.excluded";
/// Maximum size of the file, in bytes.
const FILE_MAX: u64 = 1 << 20;
/// Maximum length of a server name that is read from the file, in bytes.
const NAME_MAX: usize = 256;

/// The servers that operators have excluded.
pub struct Exclusions {
    /// Passes exclusions on to the decision logic.
    pub driver: Rc<Driver>,
    server_ids: Rc<ServerIds>,
    path: Option<PathBuf>,
    names: RefCell<BTreeSet<String>>,
    event_count: Cell<u64>,
}

impl Exclusions {
    /// Creates an empty set of exclusions; `directory` is shared with the next process.
    pub fn new(driver: Rc<Driver>, server_ids: Rc<ServerIds>, directory: Option<&Path>) -> Rc<Exclusions> {
        let path = directory.map(|directory| directory.join(FILE));
        Rc::new(Exclusions { driver, server_ids, path, names: RefCell::default(), event_count: Cell::new(0) })
    }

    /// Excludes a server or includes it again. Returns false if no server of that name was ever listed.
    pub fn set(&self, uid: &str, excluded: bool) -> bool {
        let Some(id) = self.server_ids.listed(uid) else { return false };
        let changed = match excluded {
            true => self.names.borrow_mut().insert(uid.to_owned()),
            false => self.names.borrow_mut().remove(uid),
        };
        self.driver.set_excluded(id, excluded);
        if changed {
            self.driver.events.emit(&StateChange::Exclusion { server: uid, excluded });
            eprintln!("granitelead: {uid} {}", if excluded { "excluded" } else { "included" });
            if let Err(e) = self.save() {
                log_throttled(
                    &self.event_count,
                    format_args!("exclusions not saved, lost when this process ends: {e}"),
                );
            }
        }
        true
    }

    fn save(&self) -> io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        let text: String = self.names.borrow().iter().flat_map(|name| [name.as_str(), "\n"]).collect();
        let new = path.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, path)
    }

    /// Applies the exclusions that the other process of this gatekeeper has saved.
    pub fn reload(&self) {
        let Some(path) = &self.path else { return };
        match read(path) {
            Ok(saved) => {
                let names = self.names.replace(saved.clone());
                names
                    .difference(&saved)
                    .for_each(|uid| self.driver.set_excluded(self.server_ids.id(uid), false));
                saved
                    .difference(&names)
                    .for_each(|uid| self.driver.set_excluded(self.server_ids.id(uid), true));
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => log_throttled(&self.event_count, format_args!("{}: {e}", path.display())),
        }
    }
}

/// Reads the file; an invalid file is rejected as a whole.
fn read(path: &Path) -> io::Result<BTreeSet<String>> {
    if std::fs::metadata(path)?.len() > FILE_MAX {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "file too large"));
    }
    let text = std::fs::read_to_string(path)?;
    let bad = |name: &str| name.is_empty() || name.len() > NAME_MAX || name.contains(char::is_whitespace);
    if text.lines().any(bad) {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "invalid server name"));
    }
    Ok(text.lines().map(str::to_owned).collect())
}
