//! Startup code that the programs of the system share: the command line, the log and the settings.

use crate::{logs, settings};
use std::process::ExitCode;

/// Exit status for an invalid command line or settings file.
pub const EXIT_INVALID_INPUT: u8 = 2;

/// Parses the command line of a program that takes only `--help` and `--version`. Returns the exit status if
/// the program is to end, and `None` if it is to run.
pub fn parse_command_line(program: &str, help: &str) -> Option<ExitCode> {
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
    eprintln!("{program}: unknown arguments {rest:?}; see --help");
    Some(ExitCode::from(EXIT_INVALID_INPUT))
}

/// Starts the log and reads the settings.
///
/// # Errors
///
/// The exit status, after a message that names every invalid field has been printed.
pub fn initialize(program: &str) -> Result<settings::Settings, ExitCode> {
    logs::start();
    settings::load().map_err(|errors| {
        eprintln!("{program}: settings: {errors}");
        ExitCode::from(EXIT_INVALID_INPUT)
    })
}
