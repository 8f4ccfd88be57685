//! The laboratory itself: the same seed gives the same outcome, faults show, and the oracle catches each double that
//! breaks a rule, while it finds nothing wrong with the real decisions.

use granitelead_decisions::*;
use granitelead_lab::experiment::{Experiment, Mode};
use granitelead_lab::oracle::Rule;
use granitelead_lab::report::page;
use granitelead_lab::results::Run;
use granitelead_lab::world::{play, real, Decider, Make};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// A small fleet with a class that must not run twice, and what else the text says.
fn small(more: &str) -> Experiment {
    let text = format!(
        "ask = 'x'\nseconds = 12\nseeds = [1]\n{more}
        [fleet]
        gatekeepers = 4
        servers = 6
        cold_s = 6
        [[class]]
        name = 'read'
        share = 0.6
        work_ms = 150
        cv = 0.6
        aim_s = 1
        deadline_s = 3
        worth = 1
        effect = 'idempotent'
        [[class]]
        name = 'sell'
        share = 0.4
        work_ms = 150
        cv = 0.6
        aim_s = 1
        deadline_s = 3
        worth = 1
        effect = 'at_most_once'
        "
    );
    Experiment::parse(&text, Path::new("small.toml"), Mode::VirtualTime).unwrap()
}

fn play_one(experiment: &Experiment, make: Make) -> Run {
    play("small", experiment, &experiment.variants[0], experiment.seeds[0], make)
}

/// What a double does wrong.
#[derive(Clone, Copy, Debug)]
enum Wrong {
    /// Answers nothing that it is given.
    Forgets,
    /// Answers twice.
    AnswersTwice,
    /// Sends everything twice at once, whatever its class.
    Doubles,
    /// Tries everything again that failed, and then says that trying again is harmless.
    RepeatsAll,
    /// Never takes in that a server drains or is gone.
    IgnoresDrains,
    /// Sends all to one server that has just started.
    Crowds,
}

/// Takes every request and sends it to a server that it knows, and does one thing wrong.
struct Double {
    wrong: Wrong,
    ready: BTreeSet<ServerId>,
    newest: Option<ServerId>,
    next: usize,
    sent: BTreeMap<RequestId, usize>,
}

impl Double {
    fn send(&mut self, request: &RequestId, out: &mut Vec<Action>) {
        let n = self.next % self.ready.len().max(1);
        self.next += 1;
        let server = match (self.wrong, self.newest) {
            (Wrong::Crowds, Some(newest)) => Some(newest),
            _ => self.ready.iter().nth(n).copied(),
        };
        let Some(server) = server else { return out.push(Action::Fail(request.clone())) };
        *self.sent.entry(request.clone()).or_default() += 1;
        out.push(Action::Send { request: request.clone(), server, timeout: 2_500_000 });
    }
}

impl Decider for Double {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers(list) => {
                for info in list.servers {
                    if info.availability == Availability::Ready {
                        if info.started.is_some() {
                            self.newest = Some(info.id);
                        }
                        self.ready.insert(info.id);
                    } else if !matches!(self.wrong, Wrong::IgnoresDrains) {
                        self.ready.remove(&info.id);
                    }
                }
            }
            Event::Request(request) => match self.wrong {
                Wrong::Forgets => {}
                Wrong::AnswersTwice => {
                    let (request, retry_after) = (request.id, 0);
                    out.push(Action::Refuse { request: request.clone(), retry_after });
                    out.push(Action::Refuse { request, retry_after });
                }
                _ => {
                    self.send(&request.id, out);
                    if matches!(self.wrong, Wrong::Doubles) {
                        self.send(&request.id, out);
                    }
                }
            },
            Event::AttemptDone(done) if !done.closed => {
                let again =
                    matches!(self.wrong, Wrong::RepeatsAll) && self.sent.get(&done.request) == Some(&1);
                match again {
                    true => self.send(&done.request, out),
                    false => out.push(Action::Fail(done.request)),
                }
            }
            _ => {}
        }
    }
}

fn double(wrong: Wrong) -> impl Fn(Settings, u64, Micros) -> Box<dyn Decider> {
    move |_, _, _| {
        let (ready, sent) = (BTreeSet::new(), BTreeMap::new());
        Box::new(Double { wrong, ready, newest: None, next: 0, sent })
    }
}

#[test]
fn each_double_is_caught_by_the_rule_that_it_breaks() {
    let calm = small("");
    let one_at_a_time = small("limits = { second_copies = false }");
    let fails = small("fault = [{ kind = 'failing', at = 1, lasts = 9, share = 0.9 }]");
    let release = small("fault = [{ kind = 'release', at = 2, lasts = 2, share = 0.7 }]");
    for (wrong, experiment, rule) in [
        (Wrong::Forgets, &calm, Rule::NoneLost),
        (Wrong::AnswersTwice, &calm, Rule::NoneLost),
        (Wrong::Doubles, &one_at_a_time, Rule::NoDuplicate),
        (Wrong::Doubles, &calm, Rule::NoDuplicate),
        (Wrong::RepeatsAll, &fails, Rule::NoDuplicate),
        (Wrong::IgnoresDrains, &release, Rule::OrderlyDrain),
        (Wrong::Crowds, &release, Rule::OrderlyFailBack),
        // Nobody keeps the ceiling who never looks at it.
        (Wrong::IgnoresDrains, &small("traffic = { load = 3.0, heavy = [0.5, 6.0] }"), Rule::Ceiling),
    ] {
        let run = play_one(experiment, &double(wrong));
        assert!(run.broken.contains_key(&rule), "{wrong:?}: {:?}, {:?}", run.broken, run.breaches);
    }
}

#[test]
fn the_real_decisions_keep_every_rule_through_every_kind_of_fault() {
    let faults = [
        "",
        "kind = 'release', lasts = 4, share = 0.6",
        "kind = 'shrink', lasts = 4, share = 0.4",
        "kind = 'kill_servers', lasts = 3, share = 0.3",
        "kind = 'kill_gatekeepers', lasts = 1, share = 0.6",
        "kind = 'zone_lost', lasts = 3, zone = 'b'",
        "kind = 'zone_cut', lasts = 3, zone = 'b'",
        "kind = 'slow', lasts = 5, share = 0.3, times = 5",
        "kind = 'failing', lasts = 5, share = 0.3",
        "kind = 'counter_down', lasts = 4",
        "kind = 'list_silent', lasts = 4",
        "kind = 'plan_surge', lasts = 4, plan = 'plus', times = 4",
        "kind = 'one_offs', lasts = 4, share = 0.5",
    ];
    for fault in faults {
        let more = if fault.is_empty() { String::new() } else { format!("fault = [{{ at = 3, {fault} }}]") };
        let run = play_one(&small(&more), &real);
        assert_eq!(run.broken, BTreeMap::new(), "{fault}: {:?}", run.breaches);
        assert!(run.all.asked > 500 && run.all.share() > 0.4, "{fault}: {:?}", run.all);
        let ended = run.all.in_time + run.all.late + run.all.refused + run.all.failed;
        assert_eq!(ended, run.all.asked, "{fault}: each request ends once");
    }
}

#[test]
fn the_same_seed_gives_the_same_outcome_to_the_byte_and_another_one_another() {
    let experiment = small("fault = [{ kind = 'release', at = 3, lasts = 4, share = 0.6 }]");
    let told = |seed| {
        let run = play("small", &experiment, &experiment.variants[0], seed, &real);
        serde_json::to_string(&run).unwrap()
    };
    assert_eq!(told(7), told(7));
    assert_ne!(told(7), told(8));
}

/// Variants with the same seed meet the same requests, so that they can be paired.
#[test]
fn variants_meet_the_same_requests() {
    let experiment =
        small("variant = [{ name = 'a' }, { name = 'b', gatekeepers = 2, counter = { there = false } }]");
    let asked =
        experiment.variants.iter().map(|variant| play("small", &experiment, variant, 3, &real).all.asked);
    let asked: Vec<u64> = asked.collect();
    assert_eq!(asked[0], asked[1]);
}

#[test]
fn a_fault_is_seen_in_the_seconds_in_which_it_is_there() {
    let run = play_one(&small("fault = [{ kind = 'shrink', at = 4, lasts = 1, share = 0.8 }]"), &real);
    let share = |seconds: std::ops::Range<usize>| {
        let rows = &run.seconds[seconds];
        let (served, offered): (f64, f64) =
            (rows.iter().map(|row| row.served).sum(), rows.iter().map(|row| row.offered).sum());
        served / offered
    };
    assert!(share(1..4) > share(8..11) + 0.15, "{} {}", share(1..4), share(8..11));
    assert_eq!(run.marks.len(), 1);
}

fn library(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let all = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let mut files: Vec<PathBuf> = all.filter(|path| path.is_file()).collect();
    files.sort();
    files
}

#[test]
fn every_experiment_of_the_library_is_proper_and_asks_something() {
    for (folder, mode) in
        [("../../experiments", Mode::VirtualTime), ("../../experiments/fleet", Mode::Processes)]
    {
        let files = library(folder);
        assert!(files.len() >= 10);
        for file in files {
            let it = Experiment::read(&file, mode).unwrap_or_else(|error| panic!("{error}"));
            assert!(it.ask.ends_with('?') && it.ask.len() > 20, "{}: {}", file.display(), it.ask);
        }
    }
}

#[test]
fn a_report_is_one_page_that_needs_no_network() {
    let experiment = small("variant = [{ name = 'a' }, { name = 'b <&>' }]");
    let runs: Vec<Run> = experiment
        .variants
        .iter()
        .flat_map(|v| [1, 2].map(|seed| play("small", &experiment, v, seed, &real)))
        .collect();
    let page = page(&runs, "virtual time").unwrap();
    assert!(page.contains("<svg") && page.contains("b &lt;&amp;&gt;") && page.contains("noise"));
    for word in ["http://", "https://", "<script", "<link", "<img", "@import"] {
        let named = page.replace("http://www.w3.org/2000/svg", "");
        assert!(!named.contains(word), "{word}");
    }
    assert!(granitelead_lab::report::page(&[], "virtual time").is_err());
}
