//! Configuration pushes to slow gatekeepers, and the limit on sessions.

use googletest::prelude::*;
use granitelead_control_protocol::messages::{Document, Revision, ToGatekeeper, Update};
use marker::sessions::{Sessions, SESSIONS_MAX};
use marker::types::Output;
use std::sync::Arc;

fn document(version: u32) -> Arc<Document> {
    Arc::new(Document { version, bytes: version.to_be_bytes().repeat(2_000) })
}

fn open(sessions: &mut Sessions, id: u64, out: &mut Vec<Output>) {
    let committed = document(1);
    sessions.open(0, id, id, format!("g{id}"), None, Some(&committed), Vec::new(), Vec::new(), "a", out);
    sessions.on_attached(id, true);
}

/// The configurations that were sent to a session, as message number and version.
fn sent(out: &[Output], to: u64) -> Vec<(u64, u32)> {
    let of = |output: &Output| match output {
        Output::SendToGatekeeper(id, ToGatekeeper::Update(number, Update::Configuration(d))) if *id == to => {
            Some((*number, d.version))
        }
        Output::SendToGatekeeper(id, ToGatekeeper::Update(number, Update::ConfigurationDifference(d)))
            if *id == to =>
        {
            Some((*number, d.to.version))
        }
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

/// Guards against unbounded queues: under frequent changes and a slow link, markers sent every version,
/// messages piled up for gatekeepers that did not read them, and three markers ran out of memory.
#[gtest]
fn a_slow_gatekeeper_has_one_unacknowledged_configuration_and_then_gets_only_the_newest() {
    let (mut sessions, mut out) = (Sessions::default(), Vec::new());
    open(&mut sessions, 1, &mut out);
    expect_that!(sent(&out, 1), elements_are![eq(&(1, 1))]);
    for version in 2..300 {
        sessions.on_committed(u64::from(version) * 100, &document(version), &mut out);
        sessions.on_tick(u64::from(version) * 100 + 50, &mut out);
    }
    // Without an acknowledgement nothing more is sent.
    expect_that!(sent(&out, 1), elements_are![eq(&(1, 1))]);
    out.clear();
    sessions.on_acknowledged(1, 1, &mut out);
    sessions.on_in_force(1, Revision { version: 1, ..document(1).revision() });
    let newest = sent(&out, 1);
    expect_that!(newest, elements_are![(anything(), eq(&299))]);
    // The gatekeeper acknowledges that and is sent nothing more.
    out.clear();
    sessions.on_in_force(1, document(299).revision());
    sessions.on_acknowledged(1, newest[0].0, &mut out);
    sessions.on_tick(40_000, &mut out);
    expect_that!(sent(&out, 1), is_empty());
    // The next change is sent at once again.
    sessions.on_committed(40_000, &document(300), &mut out);
    expect_that!(sent(&out, 1), elements_are![(anything(), eq(&300))]);
}

/// Guards against a gatekeeper that takes a connection for a session: it stayed open beyond the limit, was
/// sent nothing, and its pings were answered.
#[gtest]
fn a_session_beyond_the_limit_is_closed() {
    let (mut sessions, mut out) = (Sessions::default(), Vec::new());
    for id in 0..SESSIONS_MAX as u64 {
        open(&mut sessions, id, &mut out);
    }
    expect_that!(out.iter().filter(|output| matches!(output, Output::CloseSession(_))).count(), eq(0));
    out.clear();
    open(&mut sessions, SESSIONS_MAX as u64, &mut out);
    expect_that!(out, elements_are![eq(&Output::CloseSession(SESSIONS_MAX as u64))]);
}
