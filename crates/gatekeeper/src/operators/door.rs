//! The operators' door: one line a connection, one answer, and the connection is closed.

use crate::clients::side::ClientSide;
use crate::config::CALLERS_MAX;
use crate::events::Own;
use crate::operators::by_hand::ByHand;
use crate::peers::Peers;
use granitelead_base::{log_throttled, ACCEPT_PAUSE};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{timeout, Duration};

/// The longest call, bytes.
const CALL_MAX: usize = 256;
/// How long a caller may take over its call, and over taking the answer.
const CALL_TIME: Duration = Duration::from_secs(5);

/// A call, read.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Telemetry,
    Exclude(String),
    Include(String),
    Evacuate,
    Activate,
}

impl Call {
    fn parse(line: &str) -> Option<Call> {
        let mut words = line.split_ascii_whitespace();
        let call = match words.next()? {
            "readyz" => Call::Ready,
            "telemetry" => Call::Telemetry,
            "exclude" => Call::Exclude(words.next()?.into()),
            "include" => Call::Include(words.next()?.into()),
            "evacuate" => Call::Evacuate,
            "activate" => Call::Activate,
            _ => return None,
        };
        words.next().is_none().then_some(call)
    }
}

/// What operators call on.
pub struct Door {
    side: Rc<ClientSide>,
    by_hand: Rc<ByHand>,
    peers: Option<Rc<Peers>>,
    callers: RefCell<VecDeque<(u64, Rc<Notify>)>>,
    next: Cell<u64>,
    odd: Cell<u64>,
}

impl Door {
    /// A door to this gatekeeper.
    pub fn new(side: Rc<ClientSide>, by_hand: Rc<ByHand>, peers: Option<Rc<Peers>>) -> Rc<Door> {
        let callers = RefCell::default();
        Rc::new(Door { side, by_hand, peers, callers, next: Cell::new(0), odd: Cell::new(0) })
    }

    /// Answers calls for ever.
    pub async fn answer_calls(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    log_throttled(&self.odd, format_args!("operators' door: {e}"));
                    self.side.shed();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let mut callers = self.callers.borrow_mut();
        if callers.len() >= CALLERS_MAX {
            if let Some((_, longest)) = callers.pop_front() {
                longest.notify_one();
            }
        }
        self.next.set(self.next.get() + 1);
        let (number, leave) = (self.next.get(), Rc::new(Notify::new()));
        callers.push_back((number, leave.clone()));
        let door = self.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = timeout(CALL_TIME, door.serve(stream)) => {}
                () = leave.notified() => {}
            }
            door.callers.borrow_mut().retain(|(n, _)| *n != number);
        });
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut line = Vec::with_capacity(CALL_MAX);
        let mut end = None;
        while end.is_none() && line.len() <= CALL_MAX {
            match stream.read_buf(&mut line).await {
                // The end of what a caller sends ends its line as well.
                Ok(0) | Err(_) => end = Some(line.len()),
                Ok(_) => end = line.iter().position(|b| *b == b'\n'),
            }
        }
        if line.is_empty() {
            return;
        }
        let call = end.and_then(|end| std::str::from_utf8(&line[..end]).ok()).and_then(Call::parse);
        let answer = match call {
            Some(call) => self.carry_out(call),
            None => "NO not a call\n".into(),
        };
        // Whoever does not wait for the answer needs none.
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    }

    fn carry_out(&self, call: Call) -> String {
        match call {
            Call::Ready if self.side.takes_clients() => "YES\n".into(),
            Call::Ready => "NO not yet\n".into(),
            Call::Telemetry => {
                let mut figures = self.side.figures();
                figures.extend(self.peers.iter().flat_map(|peers| peers.figures()));
                self.by_hand.driver.report(figures) + "END\n"
            }
            Call::Exclude(uid) if self.by_hand.set(&uid, true) => "YES\n".into(),
            Call::Include(uid) if self.by_hand.set(&uid, false) => "YES\n".into(),
            Call::Exclude(_) | Call::Include(_) => "NO never listed\n".into(),
            Call::Evacuate => {
                self.side.evacuate();
                self.by_hand.driver.says.says(&Own::Evacuates);
                "YES\n".into()
            }
            Call::Activate => {
                self.side.activate();
                self.by_hand.driver.says.says(&Own::Activates);
                "YES\n".into()
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Call;

    #[test]
    fn a_call_is_one_known_word_and_nothing_more() {
        assert_eq!(Call::parse("readyz\r"), Some(Call::Ready));
        assert_eq!(Call::parse(" evacuate "), Some(Call::Evacuate));
        assert_eq!(Call::parse("exclude s-1"), Some(Call::Exclude("s-1".into())));
        for bad in ["exclude", "include s-1 s-2", "", "ready", "READYZ", "readyz now", "activate evacuate"] {
            assert_eq!(Call::parse(bad), None, "{bad}");
        }
    }
}
