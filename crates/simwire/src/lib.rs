//! Runs gatekeepers behind the simulator's text protocol: reads batches of events, writes batches of actions.
//!
//! Malformed input ends the program with an error that names the line and the field.

mod wire;

use granitelead_decisions::settings::{Fault, FieldError, Fields, Names};
use granitelead_decisions::{Action, Event, Gatekeeper};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;
use wire::Input;

/// Runs the adapter on standard input and output until the input ends.
pub fn run() -> ExitCode {
    match run_session(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("granitelead-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Errors that end a session before its input does.
#[derive(Debug, Error)]
enum SessionError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("line {line}: {error}")]
    Input { line: u64, error: io::Error },
    #[error("line {0}: input ends inside a batch")]
    EndsInBatch(u64),
    #[error("input ends inside a list")]
    EndsInList,
    #[error("output: {0}")]
    Output(io::Error),
}

/// Line reader that counts lines for error messages.
struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Result<Option<String>, SessionError> {
        self.number += 1;
        let mut line = String::new();
        let read = self
            .input
            .read_line(&mut line)
            .map_err(|error| SessionError::Input { line: self.number, error })?;
        while line.ends_with(['\n', '\r']) {
            line.pop();
        }
        Ok((read > 0).then_some(line))
    }
}

fn run_session(input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
    let mut lines = Lines { input, number: 0 };
    let mut instances: BTreeMap<u32, (Gatekeeper, Names)> = BTreeMap::new();
    while let Some(head) = lines.next()? {
        if head.is_empty() {
            continue;
        }
        let head = Fields::parse(&head, lines.number)?;
        if head.name != "MARK" {
            return Err(head.error("name", Fault::Expected("MARK")).into());
        }
        let (now, turn) = (head.int("nowUs")?, head.int("turn")?);
        let mut reply = String::new();
        loop {
            let line = lines.next()?.ok_or(SessionError::EndsInBatch(lines.number))?;
            if line == "GO" {
                break;
            }
            let fields = Fields::parse(&line, lines.number)?;
            let instance = fields.number("gatekeeper")?;
            let event = match wire::parse_input(&fields, instances.get(&instance).map(|(_, names)| names))? {
                Input::Launch { settings, seed, names } => {
                    instances.insert(instance, (Gatekeeper::new(*settings, seed, now), *names));
                    continue;
                }
                Input::Teardown => {
                    instances.remove(&instance);
                    continue;
                }
                Input::Ignored => continue,
                Input::Servers { scope, rows } => {
                    let mut servers = Vec::new();
                    for _ in 0..rows {
                        let line = lines.next()?.ok_or(SessionError::EndsInList)?;
                        servers.push(wire::parse_server(&Fields::parse(&line, lines.number)?)?);
                    }
                    Event::Servers(granitelead_decisions::ServerList { scope, servers })
                }
                Input::Event(event) => event,
            };
            let Some((gatekeeper, _)) = instances.get_mut(&instance) else {
                return Err(fields.error("gatekeeper", Fault::UnknownInstance).into());
            };
            let mut actions: Vec<Action> = Vec::new();
            // A panic is a defect in the decision code; the protocol has a message for it.
            match panic::catch_unwind(AssertUnwindSafe(|| gatekeeper.handle(now, event, &mut actions))) {
                Ok(()) => actions.iter().for_each(|action| wire::write_action(&mut reply, instance, action)),
                Err(_) => wire::write_internal_error(&mut reply, instance, "panic in the decision code"),
            }
        }
        reply.push_str(&format!("DONE\tturn={turn}\n"));
        output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(SessionError::Output)?;
    }
    Ok(())
}
