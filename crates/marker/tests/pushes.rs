//! What waits on sessions for gatekeepers that take in slowly, and for those that there is no room for.

use googletest::prelude::*;
use granitelead_control_protocol::messages::{Document, Revision, ToGatekeeper, Update};
use marker::parts::Output;
use marker::sessions::{Sessions, SESSIONS_MAX};
use std::sync::Arc;

fn document(version: u32) -> Arc<Document> {
    Arc::new(Document { version, bytes: version.to_be_bytes().repeat(2_000) })
}

fn open(sessions: &mut Sessions, id: u64, out: &mut Vec<Output>) {
    let sure = document(1);
    sessions.open(0, id, id, format!("g{id}"), None, Some(&sure), Vec::new(), Vec::new(), "a", out);
    sessions.on_home(id, true);
}

/// The configurations that were sent to a session, by the number of the news and by version, or that it was ended.
fn sent(out: &[Output], to: u64) -> Vec<(u64, u32)> {
    let of = |output: &Output| match output {
        Output::Tell(id, ToGatekeeper::Update(number, Update::Configuration(d))) if *id == to => {
            Some((*number, d.version))
        }
        Output::Tell(id, ToGatekeeper::Update(number, Update::ConfigurationDifference(d))) if *id == to => {
            Some((*number, d.to.version))
        }
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

/// A storm of changes over a slow link: markers sent each, ever more waited for those that had not read, and at the
/// end of their memory three of them ended.
#[gtest]
fn to_one_that_takes_in_slowly_one_configuration_is_on_its_way_and_then_the_newest_alone() {
    let (mut sessions, mut out) = (Sessions::default(), Vec::new());
    open(&mut sessions, 1, &mut out);
    expect_that!(sent(&out, 1), elements_are![eq(&(1, 1))]);
    for version in 2..300 {
        sessions.configure(u64::from(version) * 100, &document(version), &mut out);
        sessions.on_tick(u64::from(version) * 100 + 50, &mut out);
    }
    // Nothing is taken in: nothing more is sent.
    expect_that!(sent(&out, 1), elements_are![eq(&(1, 1))]);
    out.clear();
    sessions.on_got(1, 1, &mut out);
    sessions.on_has(1, Revision { version: 1, ..document(1).revision() });
    let newest = sent(&out, 1);
    expect_that!(newest, elements_are![(anything(), eq(&299))]);
    // It takes that in, and is told no more.
    out.clear();
    sessions.on_has(1, document(299).revision());
    sessions.on_got(1, newest[0].0, &mut out);
    sessions.on_tick(40_000, &mut out);
    expect_that!(sent(&out, 1), is_empty());
    // The next change goes out at once again.
    sessions.configure(40_000, &document(300), &mut out);
    expect_that!(sent(&out, 1), elements_are![(anything(), eq(&300))]);
}

/// Its line stood, it was told nothing over it, and its pings were answered: it took that for a session.
#[gtest]
fn a_gatekeeper_for_which_there_is_no_room_is_sent_away() {
    let (mut sessions, mut out) = (Sessions::default(), Vec::new());
    for id in 0..SESSIONS_MAX as u64 {
        open(&mut sessions, id, &mut out);
    }
    expect_that!(out.iter().filter(|output| matches!(output, Output::End(_))).count(), eq(0));
    out.clear();
    open(&mut sessions, SESSIONS_MAX as u64, &mut out);
    expect_that!(out, elements_are![eq(&Output::End(SESSIONS_MAX as u64))]);
}
