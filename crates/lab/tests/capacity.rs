//! The arithmetic of fit and budget on given tables, sizes that are refused, and the command at twenty gatekeepers.

use googletest::prelude::*;
use granitelead_lab::fit::{against, digits, line, power};
use granitelead_lab::hollow::configuration::configuration;
use granitelead_lab::hollow::outcome::Outcome;
use granitelead_lab::hollow::size::{Machine, Size};
use granitelead_lab::hollow::sweep::{draw, Sweep, Swept};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn small() -> Size {
    Size {
        gatekeepers: 20,
        servers: 20,
        tenants: 10,
        routes: 10,
        changes_a_minute: 60,
        seconds: 2,
        markers: 3,
        requests: 5.0,
        kill: false,
    }
}

fn lab(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_granitelead-lab")).args(words).output().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[gtest]
fn a_line_and_its_error_are_those_of_the_table() {
    let exact = line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    expect_that!((exact.base, exact.slope), (near(3.0, 1e-9), near(2.0, 1e-9)));
    expect_that!(exact.error, near(0.0, 1e-9));
    expect_that!(exact.at(10.0), near(23.0, 1e-9));
    // By hand: means 2.5 and 2.75, sums of squares 5 and products 4.5; what is left is 0.7.
    let rough = line(&[(1.0, 1.5), (2.0, 2.0), (3.0, 3.5), (4.0, 4.0)]).unwrap();
    expect_that!((rough.base, rough.slope), (near(0.5, 1e-9), near(0.9, 1e-9)));
    expect_that!(rough.error, near((0.2f64 / 2.0 / 5.0).sqrt(), 1e-9));
    expect_that!(line(&[(1.0, 5.0), (2.0, 7.0)]).unwrap().error, eq(f64::INFINITY));
    for points in [&[][..], &[(1.0, 2.0)], &[(3.0, 1.0), (3.0, 2.0)], &[(1.0, f64::NAN), (2.0, 1.0)]] {
        expect_that!(line(points), none());
    }
}

#[gtest]
fn a_power_is_found_on_the_logarithms() {
    let square = power(&[(10.0, 300.0), (20.0, 1_200.0), (100.0, 30_000.0)]).unwrap();
    expect_that!((square.factor, square.power), (near(3.0, 1e-6), near(2.0, 1e-9)));
    expect_that!(square.error, near(0.0, 1e-6));
    expect_that!(square.at(1_000.0), near(3e6, 1.0));
    let flat = power(&[(10.0, 4.0), (100.0, 4.0), (1_000.0, 4.0)]).unwrap();
    expect_that!(flat.power, near(0.0, 1e-9));
    expect_that!(power(&[(10.0, 0.0), (20.0, 1.0)]), none());
}

#[gtest]
fn a_value_is_put_beside_its_budget() {
    let cases = [
        (300.0, 100.0, "over 3.0 times"),
        (100.0, 100.0, "within, 100% used"),
        (40.0, 100.0, "within, 40% used"),
        (0.0, 100.0, "within, 0% used"),
        (3.0, 0.0, "not known"),
        (-1.0, 5.0, "not known"),
    ];
    for (value, budget, words) in cases {
        expect_that!(against(value, budget), eq(words));
    }
    let shown = [(1_234_567.0, "1.2M"), (45_678.0, "46k"), (9_876.0, "9876"), (0.034, "0.0340"), (0.0, "0")];
    for (value, text) in shown {
        expect_that!(digits(value), eq(text));
    }
}

#[gtest]
fn a_size_that_does_not_fit_is_refused_with_what_would() {
    let machine = Machine { memory: 8 << 30, descriptors: 20_000 };
    expect_true!(small().fits(&machine, 1_000).is_ok());
    let cases: [(&str, Size, u64); 9] = [
        ("markers", Size { markers: 66, ..small() }, 0),
        ("servers", Size { servers: 20_001, ..small() }, 0),
        ("tenants", Size { tenants: 0, ..small() }, 0),
        ("routes", Size { routes: 100_000, ..small() }, 9 << 20),
        ("for", Size { seconds: 0, ..small() }, 0),
        ("requests", Size { requests: f64::NAN, ..small() }, 0),
        // Sessions, of which the core has more than its part; then memory.
        ("gatekeepers", Size { gatekeepers: 2_001, ..small() }, 0),
        ("gatekeepers", Size { gatekeepers: 3_000, markers: 6, ..small() }, 0),
        ("gatekeepers", Size { gatekeepers: 1_500, ..small() }, 4 << 20),
    ];
    for (option, size, document) in cases {
        let refusal = size.fits(&machine, document).unwrap_err();
        expect_that!(refusal.option, eq(option), "{refusal}");
        expect_that!(refusal.to_string(), ends_with("would do"));
    }
    let refused = Size { gatekeepers: 3_000, ..small() }.fits(&machine, 0).unwrap_err();
    let would = Size { gatekeepers: refused.would.parse().unwrap(), ..small() };
    expect_true!(would.fits(&machine, 0).is_ok());
    // Descriptors of this process, however many markers there are.
    let few = Machine { descriptors: 1_000, ..machine };
    expect_true!(Size { gatekeepers: 201, markers: 9, ..small() }.fits(&few, 0).is_err());
}

#[gtest]
fn configurations_of_any_size_are_good() {
    for (routes, tenants, servers) in [(1, 1, 0), (250, 30, 500)] {
        let size = Size { routes, tenants, servers, ..small() };
        let read = granitelead_common::configuration::parse(configuration(&size, 7).as_bytes()).unwrap();
        expect_that!(read.version, eq(7));
        expect_that!(read.tenants.len(), eq(tenants));
        expect_that!(read.hosts.values().map(Vec::len).sum::<usize>(), eq(routes));
    }
}

#[gtest]
fn twenty_hollow_gatekeepers_are_measured_and_leave_nothing() {
    let file = folder("hollow").join("result.json");
    let temporary = folder("hollow-temporary");
    let mut words = vec!["hollow".to_owned()];
    words.extend(small().words());
    words.extend(["--json".to_owned(), file.display().to_string()]);
    let run = Command::new(env!("CARGO_BIN_EXE_granitelead-lab"))
        .args(words)
        .env("TMPDIR", &temporary)
        .output()
        .unwrap();
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    let outcome: Outcome = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    let figure = |name: &str| outcome.figures.get(name).copied().unwrap_or(f64::NAN);
    expect_true!(outcome.size == small());
    expect_that!(figure("change.count"), ge(1.0));
    expect_that!(figure("change.overtaken"), eq(0.0));
    for name in [
        "gatekeeper.in B/s",
        "gatekeeper.out.Ping B/s",
        "gatekeeper.out.Adds B/s",
        "marker.to-markers.Hear.mean B/s",
        "marker.to-gatekeepers.Totals.mean B/s",
        "marker.to-gatekeepers.Configuration.mean B/s",
        "marker.memory.most MB",
        "marker.descriptors.most open",
        "gatekeeper.real.memory MB",
        "change.in-force.longest ms",
        "join.99% ms",
        "server.beats beats/s",
    ] {
        expect_that!(figure(name), gt(0.0), "{name}");
    }
    // The bytes that gatekeepers got are those that markers said, but for what was on its way and the real one's.
    let told = 3.0 * figure("marker.to-gatekeepers.mean B/s") / 20.0;
    expect_that!(figure("gatekeeper.in B/s") / told, all!(ge(0.7), le(1.2)));
    expect_that!(std::fs::read_dir(&temporary).unwrap().count(), eq(0));
}

#[gtest]
fn bad_input_is_refused_in_words() {
    for (words, says) in [
        (&["hollow", "--markers", "0"][..], "--markers 0: 1 to 65 are allowed"),
        (&["hollow", "--servers", "50000"], "20000 would do"),
        (&["hollow", "sweep", "routes", "--sizes", "1,2,3,4,5,6,7,8,9,10,11,12,13"], "1 to 12 are played"),
        (&["hollow", "draw", "--from", "/nowhere"], "/nowhere"),
        (&["hollow", "sweep", "shoes", "--sizes", "1"], "gatekeepers, servers, tenants"),
    ] {
        let run = lab(words);
        expect_false!(run.status.success(), "{words:?}");
        expect_that!(String::from_utf8_lossy(&run.stderr), contains_substring(says));
    }
}

#[gtest]
fn tables_and_plots_are_made_from_results() {
    let folder = folder("draw");
    let run = |gatekeepers: usize| Outcome {
        command: format!("granitelead-lab hollow --gatekeepers {gatekeepers}"),
        size: Size { gatekeepers, ..small() },
        figures: [("gatekeeper.in B/s".to_owned(), 100.0 + gatekeepers as f64)].into(),
    };
    let sweep = Sweep { swept: Swept::Gatekeepers, runs: vec![run(100), run(300), run(1_000)] };
    std::fs::write(folder.join("gatekeepers.json"), serde_json::to_string(&sweep).unwrap()).unwrap();
    let written = draw(&folder).unwrap();
    expect_that!(written.len(), eq(2));
    let table = std::fs::read_to_string(folder.join("TABLES.md")).unwrap();
    expect_that!(table, contains_substring("| gatekeeper.in B/s | 200 | 400 | 1100 | 1.0 ± 0 |"));
    expect_that!(table, contains_substring("| 9100 | "));
    expect_that!(table, contains_substring("over 3.0 times"));
    expect_that!(std::fs::read_to_string(folder.join("gatekeepers.svg")).unwrap(), starts_with("<svg"));
}
