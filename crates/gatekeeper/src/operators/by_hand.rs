//! Servers that operators have left out: the names, in force and kept for the next process of this
//! gatekeeper.

use crate::driver::Driver;
use crate::events::Own;
use crate::list::Book;
use granitelead_base::log_throttled;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file's name in `$TMPDIR`.
const FILE: &str = "hingestage.excluded";
/// The longest file, bytes, and the longest name that is taken.
const FILE_MAX: u64 = 1 << 20;
/// See `FILE_MAX`.
const NAME_MAX: usize = 256;

/// What is left out by hand.
pub struct ByHand {
    /// Carries what is decided here to the decisions.
    pub driver: Rc<Driver>,
    book: Rc<Book>,
    place: Option<PathBuf>,
    names: RefCell<BTreeSet<String>>,
    odd: Cell<u64>,
}

impl ByHand {
    /// Nothing left out yet; `folder` is shared with the next process.
    pub fn new(driver: Rc<Driver>, book: Rc<Book>, folder: Option<&Path>) -> Rc<ByHand> {
        let place = folder.map(|folder| folder.join(FILE));
        Rc::new(ByHand { driver, book, place, names: RefCell::default(), odd: Cell::new(0) })
    }

    /// Leaves a server out or puts it back; false where none of that name was ever listed.
    pub fn set(&self, uid: &str, out: bool) -> bool {
        let Some(id) = self.book.listed(uid) else { return false };
        let changed = match out {
            true => self.names.borrow_mut().insert(uid.to_owned()),
            false => self.names.borrow_mut().remove(uid),
        };
        self.driver.by_hand(id, out);
        if changed {
            self.driver.says.says(&Own::ByHand { server: uid, out });
            eprintln!("granitelead: {uid} {}", if out { "left out" } else { "put back" });
            if let Err(e) = self.keep() {
                log_throttled(&self.odd, format_args!("left out until this process ends only: {e}"));
            }
        }
        true
    }

    fn keep(&self) -> io::Result<()> {
        let Some(place) = &self.place else { return Ok(()) };
        let text: String = self.names.borrow().iter().flat_map(|name| [name.as_str(), "\n"]).collect();
        let new = place.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, place)
    }

    /// Brings what is left out to what the other process of this gatekeeper has written.
    pub fn follow(&self) {
        let Some(place) = &self.place else { return };
        match read(place) {
            Ok(kept) => {
                let names = self.names.replace(kept.clone());
                names.difference(&kept).for_each(|uid| self.driver.by_hand(self.book.id(uid), false));
                kept.difference(&names).for_each(|uid| self.driver.by_hand(self.book.id(uid), true));
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => log_throttled(&self.odd, format_args!("{}: {e}", place.display())),
        }
    }
}

/// Reads the file whole, or not at all.
fn read(place: &Path) -> io::Result<BTreeSet<String>> {
    if std::fs::metadata(place)?.len() > FILE_MAX {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "too long"));
    }
    let text = std::fs::read_to_string(place)?;
    let bad = |name: &str| name.is_empty() || name.len() > NAME_MAX || name.contains(char::is_whitespace);
    if text.lines().any(bad) {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "not a list of names"));
    }
    Ok(text.lines().map(str::to_owned).collect())
}
