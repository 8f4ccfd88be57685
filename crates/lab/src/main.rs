//! The laboratory's command line.

use clap::{Parser, Subcommand};
use granitelead_lab::compare::{paired, table};
use granitelead_lab::experiment::{Experiment, Mode};
use granitelead_lab::hollow::rig::hollow;
use granitelead_lab::hollow::size::Size;
use granitelead_lab::hollow::sweep::{draw, sweep, Swept};
use granitelead_lab::loopback::demo::demo;
use granitelead_lab::loopback::process::{be, WORD};
use granitelead_lab::loopback::system::system;
use granitelead_lab::play::{
    doubles, fleet, name_of, random, write_results, Failure, Options as FleetOptions,
};
use granitelead_lab::report::{by_variant, page};
use granitelead_lab::results::{Run, FIGURES};
use granitelead_lab::world::{play, real};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::ffi::OsString;
use std::fs;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

/// Tries versions and configurations of the gatekeeper on a platform of the project's own. For trials only.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays a small platform on loopback for 20 s: a server dies, a zone is cut off and comes back.
    Demo {
        /// Where the report goes.
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Another length, s.
        #[arg(long)]
        seconds: Option<f64>,
    },
    /// Starts the system on loopback, a marker and a gatekeeper, with a stand-in server behind them; until Ctrl-C.
    System {
        /// The first of the ports that are used, one after the other.
        #[arg(long, default_value_t = 8042)]
        port: u16,
        /// Where settings and folders go.
        #[arg(long, default_value = "target/system")]
        out: PathBuf,
        /// Ends after one request through it.
        #[arg(long)]
        once: bool,
    },
    /// Plays hollow gatekeepers and servers against real markers, and measures what each role costs at that size.
    #[command(args_conflicts_with_subcommands = true)]
    Hollow {
        #[command(flatten)]
        size: Size,
        /// Where the result goes, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Where the built programs lie; the laboratory has them in itself where it is absent.
        #[arg(long)]
        programs: Option<PathBuf>,
        #[command(subcommand)]
        also: Option<Also>,
    },
    /// Is a process of a fleet's.
    #[command(name = WORD, hide = true)]
    AsChild {
        /// Whose.
        parent: i32,
        /// What it is.
        words: Vec<OsString>,
    },
    /// Plays experiments in real time on a fleet of processes, and judges what was seen.
    Fleet {
        /// The experiments.
        files: Vec<PathBuf>,
        /// Where results, reports and histories (NAME-SEED.history.jsonl) go.
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Seeds in place of the files' own.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        /// Plays so many drawn schedules; one that breaks a rule is shrunk to the least that still does.
        #[arg(long)]
        random: Option<u32>,
        /// Draws them.
        #[arg(long, default_value_t = 1, requires = "random")]
        seed: u64,
        /// Plays gatekeepers that each do one thing wrong; fails unless all are caught.
        #[arg(long)]
        doubles: bool,
        /// Only these doubles, by name.
        #[arg(long, value_delimiter = ',', requires = "doubles")]
        only: Vec<String>,
        /// Where the built programs lie; the laboratory has them in itself where it is absent.
        #[arg(long)]
        programs: Option<PathBuf>,
        /// Keeps folders and logs of the processes beside the results.
        #[arg(long)]
        keep: bool,
    },
    /// Plays experiments in virtual time: the same seed, the same outcome to the byte.
    Run {
        /// The experiments.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Where results (NAME.jsonl, a line a run) and reports (NAME.html) go.
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Seeds in place of the files' own.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        /// Runs at the same time; as many as there are cores where it is absent.
        #[arg(long)]
        jobs: Option<usize>,
        /// The runs on standard output, a line of JSON each, in place of tables.
        #[arg(long)]
        json: bool,
    },
    /// Checks experiments and says what is wrong with them.
    Check {
        /// The experiments.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Puts two results side by side, paired seed by seed.
    Compare {
        /// What was before.
        before: PathBuf,
        /// What is after.
        after: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Makes the page for a result.
    Report {
        /// The result.
        result: PathBuf,
        /// Where the page goes; beside the result where it is absent.
        #[arg(long)]
        to: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Also {
    /// Plays one number over several sizes, the others fixed.
    Sweep {
        /// Which number.
        swept: Swept,
        /// Its sizes.
        #[arg(long, value_delimiter = ',', required = true)]
        sizes: Vec<usize>,
        #[command(flatten)]
        fixed: Size,
        /// Where results go (NAME.json).
        #[arg(long, default_value = "experiments/capacity")]
        out: PathBuf,
        /// Where the built programs lie; the laboratory has them in itself where it is absent.
        #[arg(long)]
        programs: Option<PathBuf>,
    },
    /// Makes tables (TABLES.md) and plots (NAME.svg) anew from the results of sweeps.
    Draw {
        /// Where the results lie.
        #[arg(long, default_value = "experiments/capacity")]
        from: PathBuf,
    },
}

fn main() -> ExitCode {
    // A fleet of which a part has failed unseen would be judged by what is left of it. The system ends all children.
    let says = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        says(panic);
        std::process::exit(101);
    }));
    let done = match Options::parse().what {
        What::AsChild { parent, words } => return be(parent, &words),
        What::Fleet { files, out, seeds, random: n, seed, doubles: all, only, programs, keep } => {
            let options = FleetOptions { out, seeds, programs, keep };
            match (all, n) {
                (true, _) => doubles(&only, &options),
                (_, Some(n)) => random(n, seed, &options),
                _ => fleet(&files, &options),
            }
        }
        What::Demo { out, seconds } => {
            demo(&out, seconds).map(|report| println!("{}", report.display())).map_err(Failure::from)
        }
        What::System { port, out, once } => system(port, &out, once).map_err(Failure::from),
        What::Hollow { size, json, programs, also } => match also {
            None => one_hollow(&size, json.as_deref(), programs),
            Some(Also::Sweep { swept, sizes, fixed, out, programs }) => {
                sweep(swept, &sizes, &fixed, programs.as_deref(), &out)
                    .map(|file| println!("{}", file.display()))
            }
            Some(Also::Draw { from }) => {
                draw(&from).map(|files| files.iter().for_each(|file| println!("{}", file.display())))
            }
        },
        What::Run { files, out, seeds, jobs, json } => run(&files, &out, &seeds, jobs, json),
        What::Check { files } => check(&files),
        What::Compare { before, after, json } => compare(&before, &after, json),
        What::Report { result, to } => report(&result, to),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("granitelead-lab: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn one_hollow(size: &Size, json: Option<&Path>, programs: Option<PathBuf>) -> Result<(), Failure> {
    let outcome = hollow(size, programs)?;
    print!("{}", outcome.table());
    if let Some(file) = json {
        let text = serde_json::to_string_pretty(&outcome)? + "\n";
        fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(())
}

fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let mut bad = 0;
    for file in files {
        let either =
            Experiment::read(file, Mode::VirtualTime).or_else(|_| Experiment::read(file, Mode::Processes));
        match either {
            Ok(it) => println!("{}: {}", file.display(), it.ask),
            Err(error) => {
                bad += 1;
                eprintln!("{error}");
            }
        }
    }
    if bad > 0 {
        return Err(format!("{bad} of {} are refused", files.len()).into());
    }
    Ok(())
}

fn run(files: &[PathBuf], out: &Path, seeds: &[u64], jobs: Option<usize>, json: bool) -> Result<(), Failure> {
    // All that can be wrong with a file is said before any is played.
    let mut experiments = Vec::new();
    for file in files {
        let mut experiment = Experiment::read(file, Mode::VirtualTime)?;
        if !seeds.is_empty() {
            experiment.seeds = seeds.to_vec();
        }
        experiments.push((name_of(file), experiment));
    }
    fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    for (name, experiment) in &experiments {
        let runs = play_all(name, experiment, jobs);
        let (text, report) = write_results(&runs, name, out, "virtual time")?;
        if json {
            print!("{text}");
        } else {
            println!("{name}: {}", experiment.ask);
            summary(&runs);
            println!("{}\n", report.display());
        }
    }
    Ok(())
}

/// All variants with all seeds, in that order whichever is over first.
fn play_all(name: &str, experiment: &Experiment, jobs: Option<usize>) -> Vec<Run> {
    let all: Vec<_> = experiment
        .variants
        .iter()
        .flat_map(|v| experiment.seeds.iter().map(move |seed| (v, *seed)))
        .collect();
    let jobs =
        jobs.or(thread::available_parallelism().ok().map(usize::from)).unwrap_or(1).clamp(1, all.len());
    let target = if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(all.len() as u64), target);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len}") {
        bar.set_style(style);
    }
    bar.set_message(name.to_owned());
    let next = AtomicUsize::new(0);
    let runs = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::SeqCst);
                let Some((variant, seed)) = all.get(n) else { break };
                let run = play(name, experiment, variant, *seed, &real);
                // Nobody panics with the lock held.
                runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((n, run));
                bar.inc(1);
            });
        }
    });
    bar.finish_and_clear();
    let mut runs = runs.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    runs.sort_by_key(|(n, _)| *n);
    runs.into_iter().map(|(_, run)| run).collect()
}

fn summary(runs: &[Run]) {
    let variants = by_variant(runs);
    let width = variants.iter().map(|(name, _)| name.len()).max().unwrap_or(0).max(8);
    print!("{:width$}", "");
    FIGURES.iter().for_each(|(name, _)| print!("  {name}"));
    println!("  rules broken");
    for (name, of) in &variants {
        print!("{name:width$}");
        for (figure, value) in FIGURES {
            let mean = of.iter().map(|run| value(run)).sum::<f64>() / of.len() as f64;
            print!("  {mean:>width$.3}", width = figure.len());
        }
        println!("  {:>12}", of.iter().map(|run| run.broken_in_all()).sum::<u64>());
        for breach in of.iter().flat_map(|run| run.breaches.iter().take(2).map(move |b| (run.seed, b))) {
            println!("  seed {}, {:.2} s: {:?}: {}", breach.0, breach.1.at_s, breach.1.rule, breach.1.what);
        }
    }
    for (name, of) in variants.iter().skip(1) {
        println!("{name} against {}:\n{}", variants[0].0, table(&paired(&variants[0].1, of)));
    }
}

fn read(result: &Path) -> Result<Vec<Run>, Failure> {
    let text = fs::read_to_string(result).map_err(|e| format!("{}: {e}", result.display()))?;
    let line = |(n, line)| {
        serde_json::from_str(line).map_err(|e| format!("{}: line {}: {e}", result.display(), n + 1).into())
    };
    text.lines().enumerate().map(line).collect()
}

fn compare(before: &Path, after: &Path, json: bool) -> Result<(), Failure> {
    let (before, after) = (read(before)?, read(after)?);
    for (name, of) in by_variant(&before) {
        let other: Vec<&Run> = after.iter().filter(|run| run.variant == name).collect();
        let differences = paired(&of, &other);
        if json {
            println!("{}", serde_json::to_string(&differences)?);
        } else {
            println!("{name}, {} pairs:\n{}", differences[0].pairs, table(&differences));
        }
    }
    Ok(())
}

fn report(result: &Path, to: Option<PathBuf>) -> Result<(), Failure> {
    let to = to.unwrap_or_else(|| result.with_extension("html"));
    fs::write(&to, page(&read(result)?, "virtual time")?).map_err(|e| format!("{}: {e}", to.display()))?;
    println!("{}", to.display());
    Ok(())
}
