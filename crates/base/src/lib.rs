//! What every program of the project stands on: its start, its log, waits between tries, connections to
//! others.

pub mod linger;
pub mod wire;

use std::future::Future;
use std::process::ExitCode;
use thiserror::Error;
use tokio::task::{spawn_local, JoinError, LocalSet};
use tokio::time::Duration;

/// Pause where the system has no descriptor left for a new connection.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a program ends with a failure.
#[derive(Debug, Error)]
enum Failure<L, S> {
    #[error(transparent)]
    Load(L),
    #[error("no runtime: {0}")]
    Runtime(std::io::Error),
    #[error("its task: {0}")]
    Task(JoinError),
    #[error(transparent)]
    Serve(S),
}

/// Runs a program of one thread to its end: what `load` gives is served. A failure is one line on standard error,
/// and exit status 1.
pub fn run<T, L, S, F>(
    program: &str,
    load: impl FnOnce() -> Result<T, L>,
    serve: impl FnOnce(T) -> F,
) -> ExitCode
where
    L: std::error::Error + 'static,
    S: std::error::Error + 'static,
    F: Future<Output = Result<(), S>> + 'static,
{
    // Requests would wait for ever behind a port that still accepts: better to end and be started again.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
    let run = || -> Result<(), Failure<L, S>> {
        let loaded = load().map_err(Failure::Load)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(Failure::Runtime)?;
        // As a task of its own: what `block_on` is given itself is polled at every turn of the loop.
        let served = async { spawn_local(serve(loaded)).await };
        LocalSet::new().block_on(&runtime, served).map_err(Failure::Task)?.map_err(Failure::Serve)
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{program}: {failure}");
            ExitCode::FAILURE
        }
    }
}

/// Has the system end a connection whose peer acknowledges nothing for so long. Where it does not, that is
/// said once, and time limits of our own hold.
pub fn set_user_timeout(stream: &tokio::net::TcpStream, time: Duration, refused: &std::cell::Cell<u64>) {
    if let Err(e) = rustix::net::sockopt::set_tcp_user_timeout(stream, time.as_millis() as u32) {
        if refused.replace(1) == 0 {
            eprintln!("granitelead: no limit on data that is not acknowledged: {e}");
        }
    }
}

/// Reports something odd from outside, sparsely: what repeats says so at powers of two only.
pub fn note(count: &std::cell::Cell<u64>, what: impl std::fmt::Display) {
    count.set(count.get() + 1);
    if count.get().is_power_of_two() {
        eprintln!("granitelead: {what} (time {})", count.get());
    }
}

/// A plain decimal number above 0, and nothing else: a sign, an exponent or a word is no amount of anything.
pub fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && *n > 0.0)
}

/// Waits between tries at a peer that may be down: doubling up to a longest, so that it is neither flooded
/// nor missed, and drawn at random, so that gatekeepers that lost it together do not come back together.
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    const FIRST: Duration = Duration::from_millis(50);
    const LONGEST: Duration = Duration::from_secs(1);
    /// What a gatekeeper adds to the mean waits of all at a peer that they share.
    const EACH: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(100));

    /// For a peer that takes a try without much work; `seed` draws.
    pub fn new(seed: u64) -> Self {
        Backoff::shared(1, Duration::MAX, seed)
    }

    /// For a peer of which each try takes work that it does for so many gatekeepers: their tries stay about
    /// as many in a second, however many they are, as long as the first comes within half of `within` and
    /// each further one within twice that.
    pub fn shared(gatekeepers: u32, within: Duration, seed: u64) -> Self {
        let first = Self::FIRST.max((Self::EACH.0 * gatekeepers).min(within / 4));
        let longest = Self::LONGEST.max((Self::EACH.1 * gatekeepers).min(within));
        Backoff { first, longest, next: first, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Starts again with the shortest wait.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// The next wait: anything up to twice the mean, which doubles.
    pub fn draw(&mut self) -> Duration {
        let mean = self.next;
        self.next = (mean * 2).min(self.longest);
        mean.mul_f64(2.0 * self.rng.f64())
    }

    /// Waits, the longer the more often in a row.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.draw()).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Duration = Duration::from_secs(10);

    /// Tries in each second of a minute, of gatekeepers that lose a peer together and never reach it.
    fn tries(gatekeepers: u32) -> Vec<usize> {
        let mut by_second = vec![0; 60];
        for gatekeeper in 0..gatekeepers {
            let mut backoff = Backoff::shared(gatekeepers, WITHIN, u64::from(gatekeeper));
            let mut at = backoff.draw();
            while at < Duration::from_secs(60) {
                by_second[at.as_secs() as usize] += 1;
                at += backoff.draw();
            }
        }
        by_second
    }

    #[test]
    fn many_gatekeepers_do_not_flood_what_they_share() {
        let many = tries(100);
        assert!(many.iter().all(|n| *n <= 40), "{many:?}");
        assert!(many[10..].iter().sum::<usize>() <= 50 * 15, "{many:?}");
        assert!(many[10..].iter().sum::<usize>() >= 50 * 5, "they must go on: {many:?}");
        let few = tries(3);
        assert!(few[10..].iter().sum::<usize>() >= 100, "a few may ask once a second each: {few:?}");
    }

    #[test]
    fn however_many_gatekeepers_each_asks_within_the_time_that_the_rules_leave() {
        for gatekeepers in [1, 100, 300, 10_000] {
            for seed in 0..300 {
                let mut backoff = Backoff::shared(gatekeepers, WITHIN, seed);
                assert!(backoff.draw() <= WITHIN / 2, "{gatekeepers}");
                assert!((0..20).all(|_| backoff.draw() <= 2 * WITHIN), "{gatekeepers}");
            }
        }
    }

    #[test]
    fn waits_grow_to_a_cap_and_start_again() {
        let mut backoff = Backoff::new(7);
        let waits: Vec<Duration> = (0..200).map(|_| backoff.draw()).collect();
        assert!(waits[0] <= Duration::from_millis(100), "{waits:?}");
        assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(2)), "{waits:?}");
        assert!(waits.iter().sum::<Duration>() >= Duration::from_secs(150), "{waits:?}");
        backoff.reset();
        assert!(backoff.draw() <= Duration::from_millis(100));
    }
}
