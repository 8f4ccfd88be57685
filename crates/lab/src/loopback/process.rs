//! Processes of the product's programs: started, asked to stop, killed, paused, continued, and started again with their
//! folder, with an empty one or with an older copy of it. They end with the rig however it ends.

use super::FleetError;
use crate::experiment::Folder;
use rustix::process::{getppid, kill_process, set_parent_process_death_signal, Pid, Signal};
use std::ffi::OsString;
use std::fs;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::process::{Child, ChildStdout, Command};

/// The word by which this program is one of the fleet's.
pub const WORD: &str = "as-child";
/// A process that was asked to stop is killed after this.
const STOPS: Duration = Duration::from_secs(15);

/// Which program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Program {
    /// A gatekeeper.
    Gatekeeper,
    /// The list service, or a mirror of it.
    ListService,
    /// A gatekeeper that does one thing wrong, by its name.
    Double(String),
    /// A marker of the system.
    Marker,
    /// A gatekeeper of the system.
    Proxy,
}

impl Program {
    fn words(&self) -> Vec<&str> {
        match self {
            Program::Gatekeeper => vec!["gatekeeper"],
            Program::ListService => vec!["list-service"],
            Program::Double(name) => vec!["double", name],
            Program::Marker => vec!["marker"],
            Program::Proxy => vec!["granitelead-proxy"],
        }
    }

    /// The built program's name, for those that are shipped.
    fn file(&self) -> Option<&'static str> {
        match self {
            Program::Gatekeeper => Some("granitelead"),
            Program::ListService => Some("granitelead-discovery"),
            Program::Double(_) => None,
            Program::Marker => Some("marker"),
            Program::Proxy => Some("granitelead-proxy"),
        }
    }
}

/// Is a child of a rig: dies with it, and then runs what it is told to, a file or a part of this program.
pub fn be(parent: i32, words: &[OsString]) -> ExitCode {
    let dies = set_parent_process_death_signal(Some(Signal::KILL));
    let gone = getppid().is_none_or(|now| now.as_raw_nonzero().get() != parent);
    if let (Err(_), _) | (_, true) = (dies, gone) {
        eprintln!("granitelead-lab: nobody to be a child of");
        return ExitCode::FAILURE;
    }
    let text: Vec<&str> = words.iter().filter_map(|word| word.to_str()).collect();
    match text[..] {
        ["gatekeeper"] => granitelead_gatekeeper::run(),
        ["list-service", ..] => granitelead_list_service::run_with(words[1..].iter().cloned()),
        ["marker"] => marker::start(),
        ["granitelead-proxy"] => granitelead_proxy::start(),
        ["double", name] => super::double::run(name),
        ["file", path, ..] => {
            let error = std::process::Command::new(path).args(&words[2..]).exec();
            eprintln!("granitelead-lab: {path}: {error}");
            ExitCode::FAILURE
        }
        _ => ExitCode::FAILURE,
    }
}

/// One process, and what stays of it while it does not run.
pub struct Process {
    /// For people, and of its folder and log.
    pub name: String,
    program: Program,
    /// Where the shipped programs lie; this program is they where it is absent.
    programs: Option<PathBuf>,
    words: Vec<String>,
    variables: Vec<(&'static str, String)>,
    folder: PathBuf,
    child: Option<Child>,
    /// Whether it was told to end, and by when it has to have done so.
    asked: bool,
    until: Option<Instant>,
}

impl Process {
    /// One that is not started yet. `at` is the folder in which its own folder and its log lie.
    pub fn new(name: String, program: Program, programs: Option<PathBuf>, at: &Path) -> io::Result<Process> {
        let folder = at.join(&name);
        fs::create_dir_all(&folder)?;
        let (words, variables) = (Vec::new(), Vec::new());
        Ok(Process {
            name,
            program,
            programs,
            words,
            variables,
            folder,
            child: None,
            asked: false,
            until: None,
        })
    }

    /// Its own folder, which it finds as `$TMPDIR`.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// What it is started with.
    pub fn tell(&mut self, words: Vec<String>, variables: Vec<(&'static str, String)>) {
        (self.words, self.variables) = (words, variables);
    }

    /// Starts it; gives what it says on standard output.
    pub fn start(&mut self) -> Result<Option<ChildStdout>, FleetError> {
        let log = fs::File::options().create(true).append(true).open(self.folder.with_extension("log"))?;
        let mut command = Command::new(std::env::current_exe()?);
        for variable in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG", "RELAY_ADMIN_ADDR"]
        {
            command.env_remove(variable);
        }
        command.arg(WORD).arg(std::process::id().to_string()).arg("--");
        match self.programs.as_deref().zip(self.program.file()) {
            Some((folder, file)) => command.arg("file").arg(folder.join(file)),
            None => command.args(self.program.words()),
        };
        command.args(&self.words).envs(self.variables.iter().cloned()).env("TMPDIR", &self.folder);
        // A group of its own: an interrupt at the terminal is the rig's, which ends it.
        command.process_group(0).kill_on_drop(true);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn()?;
        let said = child.stdout.take();
        (self.child, self.asked, self.until) = (Some(child), false, None);
        Ok(said)
    }

    /// Whether it is there, paused or not.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Its number, while it is there.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// How it has ended since it was last asked, and whether it was told to.
    pub fn ended(&mut self) -> Option<(ExitStatus, bool)> {
        // What can't be asked for is taken for running.
        let status = self.child.as_mut()?.try_wait().ok().flatten();
        if status.is_none() && self.until.is_some_and(|until| Instant::now() > until) {
            self.signal(Signal::KILL);
        }
        let status = status?;
        self.child = None;
        Some((status, self.asked))
    }

    /// Sends it a signal; one that is no more needs none.
    pub fn signal(&self, signal: Signal) {
        let id = self.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(id) = id {
            // It was not waited for yet, so the number is its own.
            let _ = kill_process(id, signal);
        }
    }

    /// Asks it to end; [`Self::ended`] says when it has.
    pub fn asks_to_stop(&mut self) {
        (self.asked, self.until) = (true, Some(Instant::now() + STOPS));
        self.signal(Signal::TERM);
    }

    /// Kills it; [`Self::ended`] says when it is gone.
    pub fn kill(&mut self) {
        self.asked = true;
        self.signal(Signal::KILL);
    }

    /// Keeps a copy of its folder as it is now.
    pub fn keep_copy(&self) -> io::Result<()> {
        copy(&self.folder, &self.copy())
    }

    fn copy(&self) -> PathBuf {
        self.folder.with_extension("older")
    }

    /// Brings its folder to what it is to start with next; it must not run.
    pub fn set_folder(&self, folder: Folder) -> io::Result<()> {
        if folder == Folder::Kept {
            return Ok(());
        }
        fs::remove_dir_all(&self.folder)?;
        fs::create_dir_all(&self.folder)?;
        if folder == Folder::Older {
            copy(&self.copy(), &self.folder)?;
        }
        Ok(())
    }

    /// The last lines of its log.
    pub fn last_words(&self) -> String {
        let log = fs::read(self.folder.with_extension("log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }
}

/// Copies the plain files of a folder, and of folders in it.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let to = to.join(entry.file_name());
        match entry.file_type()? {
            kind if kind.is_dir() => copy(&entry.path(), &to)?,
            kind if kind.is_file() => drop(fs::copy(entry.path(), to)?),
            // Sockets are nobody's copy.
            _ => {}
        }
    }
    Ok(())
}
