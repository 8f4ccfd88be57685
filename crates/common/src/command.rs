//! What the programs of the system share of their start.

use crate::{logs, settings};
use std::process::ExitCode;

/// Exit status for a command line or a settings file that can't be used.
pub const UNUSABLE: u8 = 2;

/// Reads the command line of a program that takes no arguments but these. Gives the exit status where that is all
/// there is to do.
pub fn options(program: &str, help: &str) -> Option<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{help}");
        return Some(ExitCode::SUCCESS);
    }
    if arguments.contains(["-V", "--version"]) {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return Some(ExitCode::SUCCESS);
    }
    let rest = arguments.finish();
    if rest.is_empty() {
        return None;
    }
    eprintln!("{program}: {rest:?}: not known; --help tells what is");
    Some(ExitCode::from(UNUSABLE))
}

/// Starts the log and reads the settings.
///
/// # Errors
///
/// The exit status, once one message has named every faulty field.
pub fn begin(program: &str) -> Result<settings::Settings, ExitCode> {
    logs::start();
    settings::load().map_err(|faults| {
        eprintln!("{program}: settings: {faults}");
        ExitCode::from(UNUSABLE)
    })
}
