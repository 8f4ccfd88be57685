//! Plays experiments on fleets of processes: files, drawn schedules, doubles.

use crate::experiment::{Experiment, Fault, FaultKind, How, Mode, Parties, Positive, Share, SERVES_S};
use crate::judge::Verdict;
use crate::loopback::double::{Wrong, ALL};
use crate::loopback::fleet::{kept_at, play, Played, Setup};
use crate::oracle::Rule;
use crate::report::page;
use crate::results::Run;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::error::Error;
use std::fs;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// What is told to a person.
pub type Failure = Box<dyn Error + Send + Sync>;

/// On what drawn schedules are played.
const SMALL: &str = include_str!("loopback/small.toml");
/// Faults of a drawn schedule, at most.
const FAULTS: usize = 4;
/// Plays of a schedule that is being shrunk, at most.
const SHRINKS: usize = 24;

/// How experiments are played.
pub struct Options {
    /// Where results, reports and histories go.
    pub out: PathBuf,
    /// In place of the files' own, unless there are none.
    pub seeds: Vec<u64>,
    /// Where the built programs lie.
    pub programs: Option<PathBuf>,
    /// Whether folders and logs stay.
    pub keep: bool,
}

/// An experiment's name: its file's.
pub fn name_of(file: &Path) -> String {
    file.file_stem().map_or("experiment".into(), |name| name.to_string_lossy().into_owned())
}

fn played(
    name: &str,
    experiment: &Experiment,
    seed: u64,
    double: Option<&str>,
    options: &Options,
) -> Result<Played, Failure> {
    let keep = options.keep.then(|| kept_at(&options.out, name, seed));
    let setup = Setup { programs: options.programs.clone(), double: double.map(str::to_owned), keep };
    Ok(play(name, experiment, seed, &setup, &|_, _| Ok(()))?)
}

/// Writes the runs of an experiment (NAME.jsonl, a line a run) and their report (NAME.html); gives the lines, and where
/// the report lies. `mode` says how they were played.
pub fn write_results(runs: &[Run], name: &str, out: &Path, mode: &str) -> Result<(String, PathBuf), Failure> {
    let lines: Vec<String> = runs.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
    let text = lines.join("\n") + "\n";
    let (result, report) = (out.join(format!("{name}.jsonl")), out.join(format!("{name}.html")));
    fs::write(&result, &text).map_err(|e| format!("{}: {e}", result.display()))?;
    fs::write(&report, page(runs, mode)?).map_err(|e| format!("{}: {e}", report.display()))?;
    Ok((text, report))
}

/// Writes a history, a line of JSON an event.
fn write_history(played: &Played, name: &str, seed: u64, out: &Path) -> Result<PathBuf, Failure> {
    let path = out.join(format!("{name}-{seed}.history.jsonl"));
    let mut file = BufWriter::new(fs::File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?);
    for event in &played.history {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()?;
    Ok(path)
}

fn tells(name: &str, seed: u64, played: &Played) {
    let (run, verdict) = (&played.run, &played.verdict);
    println!(
        "{name} seed {seed}: {}; asked {}, in time {}, late {}, refused {}, failed {}, served share {:.3}",
        verdict.word(),
        run.all.asked,
        run.all.in_time,
        run.all.late,
        run.all.refused,
        run.all.failed,
        run.all.share()
    );
    let (sizes, mb) = (&played.sizes, |kb: u64| kb as f64 / 1e3);
    println!(
        "  all up after {:.1} s; processes {:.0} MB, the rig {:.0} MB and {} descriptors; through links {} \
         connections, {} messages",
        sizes.started_s,
        mb(sizes.processes_kb),
        mb(sizes.rig_kb),
        sizes.descriptors,
        sizes.connections,
        sizes.chunks
    );
    for (rule, n) in &verdict.counts {
        println!("  {rule:?}: {n}");
    }
    for breach in verdict.breaches.iter().take(3) {
        println!("  {:.2} s: {:?}: {}", breach.at_s, breach.rule, breach.what);
    }
    verdict.undecided.iter().take(3).for_each(|what| println!("  not decided: {what}"));
}

/// Plays files; fails where a rule was broken.
pub fn fleet(files: &[PathBuf], options: &Options) -> Result<(), Failure> {
    if files.is_empty() {
        return Err("no experiments are named".into());
    }
    // All that can be wrong with a file is said before any is played.
    let read = |file: &PathBuf| Experiment::read(file, Mode::Processes).map(|it| (name_of(file), it));
    let experiments = files.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    fs::create_dir_all(&options.out).map_err(|e| format!("{}: {e}", options.out.display()))?;
    let (mut broken, mut all) = (0, 0);
    for (name, experiment) in &experiments {
        let seeds = if options.seeds.is_empty() { &experiment.seeds } else { &options.seeds };
        let mut runs = Vec::new();
        for seed in seeds {
            let played = played(name, experiment, *seed, None, options)?;
            tells(name, *seed, &played);
            if !played.verdict.is_clean() {
                broken += 1;
                println!("  {}", write_history(&played, name, *seed, &options.out)?.display());
            }
            all += 1;
            runs.push(played.run);
        }
        let (_, report) = write_results(&runs, name, &options.out, "real time on processes")?;
        println!("{}", report.display());
    }
    match broken {
        0 => Ok(()),
        _ => Err(format!("{broken} of {all} runs broke a rule").into()),
    }
}

fn small() -> Result<Experiment, Failure> {
    Ok(Experiment::parse(SMALL, Path::new("small.toml"), Mode::Processes)?)
}

/// Plays each double where its wrong can show, or only those; fails unless each was caught by its rule, and the program
/// itself, where all are played, was not.
pub fn doubles(only: &[String], options: &Options) -> Result<(), Failure> {
    let mut missed = Vec::new();
    let says = |name: &str, verdict: &Verdict, caught: bool| {
        let rules: Vec<String> = verdict.counts.iter().map(|(rule, n)| format!("{rule:?} {n}")).collect();
        let word = if caught { "caught" } else { "MISSED" };
        println!("{name}: {word}: {}", if rules.is_empty() { "nothing".into() } else { rules.join(", ") });
    };
    if let Some(unknown) = only.iter().find(|name| !ALL.iter().any(|(_, known, _)| known == name)) {
        return Err(format!("`{unknown}` is no double").into());
    }
    let plays = |name: &str| only.is_empty() || only.iter().any(|one| one == name);
    for (wrong, name, rule) in ALL.into_iter().filter(|(_, name, _)| plays(name)) {
        let experiment = stage(wrong)?;
        let played = played(&format!("double-{name}"), &experiment, 1, Some(name), options)?;
        let caught = played.verdict.counts.contains_key(&rule);
        says(name, &played.verdict, caught);
        if !caught {
            missed.push(name);
        }
    }
    // On all of their stages the program itself breaks nothing.
    let stages = [Wrong::Silent, Wrong::IgnoresDrains, Wrong::NoCeilings, Wrong::Deaf, Wrong::Alone];
    for wrong in stages.into_iter().filter(|_| only.is_empty()) {
        let played = played("double-none", &stage(wrong)?, 1, None, options)?;
        let clean = played.verdict.is_clean();
        println!("the program itself, as {wrong:?}: {}", played.verdict.word());
        if !clean {
            tells("double-none", 1, &played);
            missed.push("the program itself");
        }
    }
    if missed.is_empty() {
        return Ok(());
    }
    Err(format!("not as it should be: {}", missed.join(", ")).into())
}

/// Where a wrong can show.
fn stage(wrong: Wrong) -> Result<Experiment, Failure> {
    let mut it = small()?;
    let fault = |kind: &str, more: &str| format!("[[fault]]\nkind = '{kind}'\nat = 3\nlasts = 3\n{more}");
    let faults = match wrong {
        Wrong::IgnoresDrains | Wrong::Rushes => fault("release", "share = 0.4\n"),
        Wrong::Deaf => fault("release", "share = 0.2\n") + &fault("pause_list", ""),
        Wrong::Repeats => {
            // Its repeat comes after 5 s.
            it.seconds = Positive(14.0);
            String::new()
        }
        _ => String::new(),
    };
    it.fleet.peers = wrong == Wrong::Alone;
    if wrong == Wrong::NoCeilings {
        it.traffic.heavy = (Share(0.2), Positive(6.0));
    }
    Ok(Experiment::parse(&(without_faults(&it)? + &faults), Path::new("stage.toml"), Mode::Processes)?)
}

/// Draws a schedule for an experiment.
pub fn draw(experiment: &Experiment, seed: u64) -> Vec<Fault> {
    use FaultKind::*;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let kinds = [
        Release,
        KillServers,
        KillGatekeepers,
        StopGatekeepers,
        PauseGatekeepers,
        SlowGatekeepers,
        ZoneLost,
        ZoneCut,
        Slow,
        Failing,
        CounterDown,
        ListSilent,
        KillList,
        PauseList,
        ClientsLeave,
        Flood,
        Link,
        Link,
        Link,
    ];
    let last = experiment.seconds.0 - experiment.fleet.settles_s.0 - SERVES_S;
    let n = rng.random_range(1..=FAULTS);
    let mut draws = || {
        let kind = *kinds.choose(&mut rng)?;
        let at: f64 = rng.random_range(1.0..(last - 1.5).max(1.1));
        let lasts = rng.random_range(0.3..(last - at).clamp(0.4, 5.0));
        // One digit is enough to read.
        let round = |s: f64| Positive((s * 10.0).floor().max(1.0) / 10.0);
        let link = kind == Link;
        let hows = [
            How::Cut,
            How::CutOut,
            How::CutBack,
            How::Refuse,
            How::Reset,
            How::Delay,
            How::Stall,
            How::Narrow,
        ];
        let how = hows.choose(&mut rng).copied().filter(|_| link);
        let parties = [Parties::Gatekeepers, Parties::Servers, Parties::Counter, Parties::Lists];
        let zonal = matches!(kind, ZoneLost | ZoneCut);
        Some(Fault {
            kind,
            at: round(at),
            lasts: round(lasts),
            share: Share(*[0.2, 0.4, 1.0].choose(&mut rng)?),
            times: Positive(3.0),
            zone: experiment.fleet.zones.choose(&mut rng).cloned().filter(|_| zonal),
            plan: None,
            of: parties.choose(&mut rng).copied().filter(|_| link),
            to: None,
            how,
            ms: (how == Some(How::Delay)).then_some(Positive(80.0)),
            bytes_per_s: (how == Some(How::Narrow)).then_some(Positive(20_000.0)),
            part: None,
            folder: None,
        })
    };
    (0..n).filter_map(|_| draws()).collect()
}

/// An experiment as a file, up to where its faults stand.
fn without_faults(it: &Experiment) -> Result<String, Failure> {
    let mut plain = it.clone();
    plain.faults.clear();
    Ok(toml::to_string(&plain)?.replace("fault = []\n", ""))
}

fn with(base: &Experiment, faults: &[Fault]) -> Result<Experiment, Failure> {
    #[derive(serde::Serialize)]
    struct Schedule<'a> {
        fault: &'a [Fault],
    }
    let text = without_faults(base)? + &toml::to_string(&Schedule { fault: faults })?;
    Ok(Experiment::parse(&text, Path::new("drawn.toml"), Mode::Processes)?)
}

/// The least part of a schedule that still breaks that rule, by taking faults away one at a time and then halving their
/// lengths.
fn shrink(base: &Experiment, faults: Vec<Fault>, breaks: &mut dyn FnMut(&Experiment) -> bool) -> Vec<Fault> {
    let mut least = faults;
    let mut plays = 0;
    let mut still = |faults: &[Fault]| {
        plays += 1;
        plays <= SHRINKS && with(base, faults).is_ok_and(|it| breaks(&it))
    };
    let mut n = 0;
    while n < least.len() {
        let mut fewer = least.clone();
        fewer.remove(n);
        if still(&fewer) {
            least = fewer;
        } else {
            n += 1;
        }
    }
    for n in 0..least.len() {
        let mut shorter = least.clone();
        shorter[n].lasts = Positive((shorter[n].lasts.0 * 5.0).floor().max(1.0) / 10.0);
        if shorter[n].lasts.0 < least[n].lasts.0 && still(&shorter) {
            least = shorter;
        }
    }
    least
}

/// Plays so many drawn schedules; one that breaks a rule is shrunk and written as a file that plays it again.
pub fn random(n: u32, seed: u64, options: &Options) -> Result<(), Failure> {
    fs::create_dir_all(&options.out).map_err(|e| format!("{}: {e}", options.out.display()))?;
    let base = small()?;
    let (mut broken, mut undecided) = (0, 0);
    for seed in seed..seed + u64::from(n) {
        let faults = draw(&base, seed);
        let name = format!("drawn-{seed}");
        let first = played(&name, &with(&base, &faults)?, seed, None, options)?;
        let kinds: Vec<String> = faults.iter().map(|fault| fault.kind.words()).collect();
        tells(&format!("{name} ({})", kinds.join(", ")), seed, &first);
        undecided += u32::from(first.verdict.word() == "not decided");
        let Some(rule) = first.verdict.counts.keys().next().copied() else { continue };
        broken += 1;
        write_history(&first, &name, seed, &options.out)?;
        let mut breaks = |it: &Experiment| breaks_again(&name, it, seed, rule, options);
        let least = shrink(&base, faults, &mut breaks);
        let path = options.out.join(format!("{name}.toml"));
        let mut it = with(&base, &least)?;
        it.seeds = vec![seed];
        fs::write(&path, toml::to_string(&it)?).map_err(|e| format!("{}: {e}", path.display()))?;
        println!("  the least that still breaks {rule:?}: {} faults, {}", least.len(), path.display());
    }
    println!("{n} schedules, {broken} broke a rule, {undecided} not decided");
    match broken {
        0 => Ok(()),
        _ => Err(format!("{broken} of {n} schedules broke a rule").into()),
    }
}

fn breaks_again(name: &str, it: &Experiment, seed: u64, rule: Rule, options: &Options) -> bool {
    played(name, it, seed, None, options).is_ok_and(|played| played.verdict.counts.contains_key(&rule))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn drawn_schedules_can_be_written_and_read_again() {
        let base = small().unwrap();
        for seed in 0..200 {
            let faults = draw(&base, seed);
            let it = with(&base, &faults).unwrap_or_else(|error| panic!("{seed}: {error}"));
            let text = toml::to_string(&it).unwrap();
            let again = Experiment::parse(&text, Path::new("again.toml"), Mode::Processes).unwrap();
            assert_eq!(toml::to_string(&again).unwrap(), text);
            assert_eq!(it.faults.len(), faults.len());
        }
    }

    #[test]
    fn a_schedule_shrinks_to_what_still_breaks_the_rule() {
        let base = small().unwrap();
        let faults: Vec<Fault> = (0..).flat_map(|seed| draw(&base, seed)).take(6).collect();
        let culprit = FaultKind::PauseList;
        let mut all = faults.clone();
        all[3] = Fault {
            kind: culprit,
            of: None,
            how: None,
            to: None,
            zone: None,
            ms: None,
            bytes_per_s: None,
            ..all[3].clone()
        };
        all[3].lasts = Positive(2.0);
        let mut breaks = |it: &Experiment| {
            let of = |fault: &Fault| fault.kind == culprit && fault.lasts.0 >= 0.9;
            it.faults.iter().any(|fault| of(fault.get_ref()))
        };
        let least = shrink(&base, all, &mut breaks);
        assert_eq!(
            least.iter().map(|fault| (fault.kind, fault.lasts.0)).collect::<Vec<_>>(),
            [(culprit, 1.0)]
        );
    }
}
