//! The admin socket: each connection carries one command line and one reply, and is then closed.

use crate::clients::http_server::HttpServer;
use crate::config::ADMIN_CONNECTIONS_MAX;
use crate::events::StateChange;
use crate::operators::exclusions::Exclusions;
use crate::peers::Peers;
use granitelead_base::{log_throttled, ACCEPT_PAUSE};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{timeout, Duration};

/// Maximum length of a command line, in bytes.
const COMMAND_MAX: usize = 256;
/// Maximum duration of an admin connection, from accept until the reply is read.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// A parsed command.
#[derive(Debug, PartialEq, Eq)]
enum Command {
    Ready,
    Telemetry,
    Exclude(String),
    Include(String),
    Evacuate,
    Activate,
}

impl Command {
    fn parse(line: &str) -> Option<Command> {
        let mut words = line.split_ascii_whitespace();
        let command = match words.next()? {
            "readyz" => Command::Ready,
            "telemetry" => Command::Telemetry,
            "exclude" => Command::Exclude(words.next()?.into()),
            "include" => Command::Include(words.next()?.into()),
            "evacuate" => Command::Evacuate,
            "activate" => Command::Activate,
            _ => return None,
        };
        words.next().is_none().then_some(command)
    }
}

/// Serves the admin socket.
pub struct AdminServer {
    side: Rc<HttpServer>,
    exclusions: Rc<Exclusions>,
    peers: Option<Rc<Peers>>,
    /// Open connections by number, oldest first, each with the signal that closes it.
    connections: RefCell<VecDeque<(u64, Rc<Notify>)>>,
    last_number: Cell<u64>,
    event_count: Cell<u64>,
}

impl AdminServer {
    /// Creates the admin server of this gatekeeper.
    pub fn new(
        side: Rc<HttpServer>,
        exclusions: Rc<Exclusions>,
        peers: Option<Rc<Peers>>,
    ) -> Rc<AdminServer> {
        let connections = RefCell::default();
        Rc::new(AdminServer {
            side,
            exclusions,
            peers,
            connections,
            last_number: Cell::new(0),
            event_count: Cell::new(0),
        })
    }

    /// Accepts and serves connections; never returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    log_throttled(&self.event_count, format_args!("admin socket: accept failed: {e}"));
                    self.side.evict_for_descriptors();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= ADMIN_CONNECTIONS_MAX {
            if let Some((_, oldest)) = connections.pop_front() {
                oldest.notify_one();
            }
        }
        self.last_number.set(self.last_number.get() + 1);
        let (number, close) = (self.last_number.get(), Rc::new(Notify::new()));
        connections.push_back((number, close.clone()));
        let server = self.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = timeout(CONNECTION_TIMEOUT, server.serve(stream)) => {}
                () = close.notified() => {}
            }
            server.connections.borrow_mut().retain(|(n, _)| *n != number);
        });
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut line = Vec::with_capacity(COMMAND_MAX);
        let mut end = None;
        while end.is_none() && line.len() <= COMMAND_MAX {
            match stream.read_buf(&mut line).await {
                // The end of the stream also ends the line.
                Ok(0) | Err(_) => end = Some(line.len()),
                Ok(_) => end = line.iter().position(|b| *b == b'\n'),
            }
        }
        if line.is_empty() {
            return;
        }
        let command = end.and_then(|end| std::str::from_utf8(&line[..end]).ok()).and_then(Command::parse);
        let reply = match command {
            Some(command) => self.execute(command),
            None => "NO not a call\n".into(),
        };
        // A write error means that the client has disconnected, and nothing else is left to do.
        let _ = stream.write_all(reply.as_bytes()).await;
        let _ = stream.shutdown().await;
    }

    fn execute(&self, command: Command) -> String {
        match command {
            Command::Ready if self.side.accepts_clients() => "YES\n".into(),
            Command::Ready => "NO not yet\n".into(),
            Command::Telemetry => {
                let mut metrics = self.side.metrics();
                metrics.extend(self.peers.iter().flat_map(|peers| peers.metrics()));
                self.exclusions.driver.report(metrics) + "END\n"
            }
            Command::Exclude(uid) if self.exclusions.set(&uid, true) => "YES\n".into(),
            Command::Include(uid) if self.exclusions.set(&uid, false) => "YES\n".into(),
            Command::Exclude(_) | Command::Include(_) => "NO never listed\n".into(),
            Command::Evacuate => {
                self.side.evacuate();
                self.exclusions.driver.events.emit(&StateChange::Evacuates);
                "YES\n".into()
            }
            Command::Activate => {
                self.side.activate();
                self.exclusions.driver.events.emit(&StateChange::Activates);
                "YES\n".into()
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Command;

    #[test]
    fn a_command_line_is_one_known_command_without_extra_arguments() {
        assert_eq!(Command::parse("readyz\r"), Some(Command::Ready));
        assert_eq!(Command::parse(" evacuate "), Some(Command::Evacuate));
        assert_eq!(Command::parse("exclude s-1"), Some(Command::Exclude("s-1".into())));
        for bad in ["exclude", "include s-1 s-2", "", "ready", "READYZ", "readyz now", "activate evacuate"] {
            assert_eq!(Command::parse(bad), None, "{bad}");
        }
    }
}
