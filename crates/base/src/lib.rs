//! Helpers shared by all programs of the workspace: program startup, rate-limited logging, retry backoff and
//! TCP connections.

pub mod connection;
pub mod linger;

use std::future::Future;
use std::process::ExitCode;
use thiserror::Error;
use tokio::task::{spawn_local, JoinError, LocalSet};
use tokio::time::Duration;

/// Pause before the next `accept` after one has failed because the process or system is out of file
/// descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a program exits with a failure.
#[derive(Debug, Error)]
enum Failure<L, S> {
    #[error(transparent)]
    Load(L),
    #[error("can't start the async runtime: {0}")]
    Runtime(std::io::Error),
    #[error("the main task failed: {0}")]
    Task(JoinError),
    #[error(transparent)]
    Serve(S),
}

/// Runs a single-threaded program until it finishes: passes the value that `load` returns to `serve`. A
/// failure is reported as one line on standard error, and the exit status is 1. A panic in any task ends the
/// process with status 101.
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
    // After a panic in a task the port could still accept connections whose requests would wait forever, so
    // the process exits and is restarted.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(101);
    }));
    let run = || -> Result<(), Failure<L, S>> {
        let loaded = load().map_err(Failure::Load)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(Failure::Runtime)?;
        // Spawned as a separate task, because the future given to `block_on` itself is polled at every
        // iteration of the event loop.
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

/// Sets TCP_USER_TIMEOUT: the kernel closes the connection if sent data stays unacknowledged for `time`. If
/// the option can't be set, that is logged once per `refused` counter, and only the program's own timeouts
/// apply.
pub fn set_user_timeout(stream: &tokio::net::TcpStream, time: Duration, refused: &std::cell::Cell<u64>) {
    if let Err(e) = rustix::net::sockopt::set_tcp_user_timeout(stream, time.as_millis() as u32) {
        if refused.replace(1) == 0 {
            eprintln!("granitelead: can't set TCP_USER_TIMEOUT: {e}");
        }
    }
}

/// Logs a recurring event at a reduced rate: only when its count, which this increments, is a power of two.
pub fn log_throttled(count: &std::cell::Cell<u64>, message: impl std::fmt::Display) {
    count.set(count.get() + 1);
    if count.get().is_power_of_two() {
        eprintln!("granitelead: {message} (occurrence {})", count.get());
    }
}

/// Parses a positive number in plain decimal notation. Signs, exponents and names such as `inf` are rejected.
pub fn parse_positive_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| is_plain && *n > 0.0)
}

/// Exponential backoff with jitter between attempts to reach a peer that may be down. The mean wait doubles
/// up to a maximum, so that the peer is not flooded yet its return is noticed soon; the wait is random, so
/// that gatekeepers that lost the peer at the same time don't all return at the same time.
pub struct Backoff {
    initial_mean: Duration,
    max_mean: Duration,
    next_mean: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    const INITIAL_MEAN: Duration = Duration::from_millis(50);
    const MAX_MEAN: Duration = Duration::from_secs(1);
    /// Initial and maximum mean wait per gatekeeper, for a peer that all gatekeepers share.
    const SHARED_MEAN_PER_GATEKEEPER: (Duration, Duration) =
        (Duration::from_millis(25), Duration::from_millis(100));

    /// Backoff for a peer for which an attempt is cheap. `seed` seeds the jitter.
    pub fn new(seed: u64) -> Self {
        Backoff::shared(1, Duration::MAX, seed)
    }

    /// Backoff for a peer that `gatekeepers` gatekeepers share and for which each attempt takes work. The
    /// waits grow with the number of gatekeepers, so that their attempts per second stay about the same,
    /// within these limits: the first wait is at most half of `within`, each further one at most twice
    /// `within`.
    pub fn shared(gatekeepers: u32, within: Duration, seed: u64) -> Self {
        let (initial_each, max_each) = Self::SHARED_MEAN_PER_GATEKEEPER;
        let initial_mean = Self::INITIAL_MEAN.max((initial_each * gatekeepers).min(within / 4));
        let max_mean = Self::MAX_MEAN.max((max_each * gatekeepers).min(within));
        let rng = fastrand::Rng::with_seed(seed);
        Backoff { initial_mean, max_mean, next_mean: initial_mean, rng }
    }

    /// Resets the mean wait to its initial value.
    pub fn reset(&mut self) {
        self.next_mean = self.initial_mean;
    }

    /// Returns the next wait, uniformly distributed up to twice the mean, and doubles the mean.
    pub fn next_wait(&mut self) -> Duration {
        let mean = self.next_mean;
        self.next_mean = (mean * 2).min(self.max_mean);
        mean.mul_f64(2.0 * self.rng.f64())
    }

    /// Sleeps for the next wait.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.next_wait()).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Duration = Duration::from_secs(10);

    /// Attempts in each second of a minute by gatekeepers that lose a peer at the same time and never reach
    /// it again.
    fn attempts_by_second(gatekeepers: u32) -> Vec<usize> {
        let mut by_second = vec![0; 60];
        for gatekeeper in 0..gatekeepers {
            let mut backoff = Backoff::shared(gatekeepers, WITHIN, u64::from(gatekeeper));
            let mut at = backoff.next_wait();
            while at < Duration::from_secs(60) {
                by_second[at.as_secs() as usize] += 1;
                at += backoff.next_wait();
            }
        }
        by_second
    }

    #[test]
    fn many_gatekeepers_do_not_flood_a_shared_peer() {
        let many = attempts_by_second(100);
        assert!(many.iter().all(|n| *n <= 40), "{many:?}");
        assert!(many[10..].iter().sum::<usize>() <= 50 * 15, "{many:?}");
        assert!(many[10..].iter().sum::<usize>() >= 50 * 5, "attempts must continue: {many:?}");
        let few = attempts_by_second(3);
        assert!(
            few[10..].iter().sum::<usize>() >= 100,
            "a few gatekeepers may each try about once a second: {few:?}"
        );
    }

    #[test]
    fn shared_waits_stay_within_their_limits_for_any_number_of_gatekeepers() {
        for gatekeepers in [1, 100, 300, 10_000] {
            for seed in 0..300 {
                let mut backoff = Backoff::shared(gatekeepers, WITHIN, seed);
                assert!(backoff.next_wait() <= WITHIN / 2, "{gatekeepers}");
                assert!((0..20).all(|_| backoff.next_wait() <= 2 * WITHIN), "{gatekeepers}");
            }
        }
    }

    #[test]
    fn waits_grow_to_a_maximum_and_can_be_reset() {
        let mut backoff = Backoff::new(7);
        let waits: Vec<Duration> = (0..200).map(|_| backoff.next_wait()).collect();
        assert!(waits[0] <= Duration::from_millis(100), "{waits:?}");
        assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(2)), "{waits:?}");
        assert!(waits.iter().sum::<Duration>() >= Duration::from_secs(150), "{waits:?}");
        backoff.reset();
        assert!(backoff.next_wait() <= Duration::from_millis(100));
    }
}
