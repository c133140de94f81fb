//! What is known of upstreams when rows are old, missing, or about a restart.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterellane_decisions::weight_plan::{HeldModel, RunnerReport};
use dotterellane_gateway::call::{DirectoryEntry, ModelChoice};
use dotterellane_gateway::directory::{Directory, LAPSE_GRACE, REFUSED_PAUSE};
use dotterellane_gateway::events::{EventCutter, ResumePoint};
use dotterellane_units::{ClockInstant, RowVersion, ServiceId, UpstreamId};
use googletest::prelude::*;
use http::HeaderValue;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + millis)
}

fn name() -> UpstreamId {
    "r1".parse().expect("valid id")
}

fn service() -> ServiceId {
    "models".parse().expect("valid id")
}

fn choice(model: &str) -> ModelChoice {
    ModelChoice { model: model.parse().expect("valid id"), adapter: None }
}

fn entry(born: u64, beat: u64, draining: bool, model: &str) -> DirectoryEntry {
    let held = HeldModel { model: model.parse().expect("valid id"), adapters: Vec::new() };
    DirectoryEntry {
        service: service(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "z1".parse().expect("valid id"),
        slots: 4,
        report: RunnerReport {
            born,
            beat,
            accepted: None,
            draining,
            busy: false,
            held: vec![held],
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
        },
    }
}

fn is_usable(directory: &Directory, now: ClockInstant) -> bool {
    directory.usable(&service(), now).next().is_some()
}

#[gtest]
fn row_older_than_the_last_changes_nothing_but_draining() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "new"));
    expect_that!(directory.put(at(1), name(), entry(1, 4, false, "old")), eq(false));
    let known = directory.get(&name()).expect("known");
    expect_that!(known.holds(&choice("new"), at(1)), eq(true));
    directory.put(at(2), name(), entry(1, 3, true, "old"));
    expect_that!(is_usable(&directory, at(2)), eq(false));
}

#[gtest]
fn row_of_a_restart_starts_anew() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, true, "old"));
    directory.put(at(1), name(), entry(2, 1, false, "new"));
    expect_that!(is_usable(&directory, at(1)), eq(true));
    let known = directory.get(&name()).expect("known");
    expect_that!(known.holds(&choice("old"), at(1)), eq(false));
}

#[gtest]
fn row_that_goes_missing_ends_its_upstream() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "m"));
    directory.remove(at(1), &name(), None);
    expect_that!(is_usable(&directory, at(1)), eq(false));
}

#[gtest]
fn row_that_lapses_in_trouble_of_the_store_is_kept_for_a_while() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "m"));
    directory.remove(at(1), &name(), Some(at(0)));
    expect_that!(is_usable(&directory, at(100)), eq(true));
    let gone = at(1) + LAPSE_GRACE;
    expect_that!(is_usable(&directory, gone), eq(false));
    directory.put(gone, name(), entry(1, 6, false, "m"));
    expect_that!(is_usable(&directory, gone), eq(true));
}

#[gtest]
fn row_that_goes_missing_after_the_store_came_back_is_not_used_on_for_long() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "m"));
    // The store came back at 0; the runner left at 480 and that is seen at 1,400.
    directory.remove(at(1_400), &name(), Some(at(0)));
    // The users' bound on requests to a runner that left.
    expect_that!(is_usable(&directory, at(480 + 2_000)), eq(false));
    directory.put(at(3_000), name(), entry(1, 6, false, "m"));
    directory.remove(at(3_100), &name(), Some(at(0)));
    expect_that!(directory.get(&name()).is_none(), eq(true));
}

#[gtest]
fn keeper_overrules_rows_while_it_speaks() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "row"));
    let held = HeldModel { model: "told".parse().expect("valid id"), adapters: Vec::new() };
    directory.set_held(at(10), &name(), 1, vec![held]);
    directory.put(at(1_000), name(), entry(1, 6, false, "row"));
    let known = directory.get(&name()).expect("known");
    expect_that!(known.holds(&choice("told"), at(1_000)), eq(true));
    directory.put(at(9_000), name(), entry(1, 7, false, "row"));
    let known = directory.get(&name()).expect("known");
    expect_that!(known.holds(&choice("row"), at(9_000)), eq(true));
}

#[gtest]
fn upstream_without_a_listener_is_left_out_until_heard_of() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "m"));
    directory.note_unreachable(at(10), &name(), REFUSED_PAUSE);
    expect_that!(is_usable(&directory, at(20)), eq(false));
    // A row that was on its way already says nothing.
    directory.put(at(500), name(), entry(1, 6, false, "m"));
    expect_that!(is_usable(&directory, at(510)), eq(false));
    directory.put(at(2_000), name(), entry(1, 7, false, "m"));
    expect_that!(is_usable(&directory, at(2_010)), eq(true));
    expect_that!(REFUSED_PAUSE, gt(Duration::from_secs(1)));
}

#[gtest]
fn model_that_was_missed_is_not_asked_for_again_at_once() {
    let mut directory = Directory::default();
    directory.put(at(0), name(), entry(1, 5, false, "m"));
    directory.note_miss(at(0), &name(), choice("m"));
    let known = directory.get(&name()).expect("known");
    expect_that!(known.holds(&choice("m"), at(10)), eq(false));
    expect_that!(known.holds(&choice("m"), at(1_000)), eq(true));
}

#[gtest]
fn events_are_cut_at_blank_lines_however_they_arrive() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for size in 1..text.len() {
        let mut cutter = EventCutter::default();
        let passed: Vec<u8> = text.chunks(size).flat_map(|part| cutter.push(part)).collect();
        expect_that!(passed, eq(&text[..30].to_vec()), "pieces of {size}");
        expect_that!(cutter.last_id(), some(eq("2")));
        cutter.discard();
        expect_that!(cutter.push(b"id: 3\n\n").as_ref(), eq(b"id: 3\n\n"));
    }
}

#[gtest]
fn events_without_a_usable_id_leave_nowhere_to_go_on() {
    let mut cutter = EventCutter::default();
    expect_that!(cutter.resume_point(), eq(&ResumePoint::Beginning));
    cutter.push(b"data: a\n\n");
    expect_that!(cutter.resume_point(), eq(&ResumePoint::Nowhere));
    cutter.push(b"id: 2\ndata: b\n\n");
    let after = ResumePoint::After(HeaderValue::from_static("2"));
    expect_that!(cutter.resume_point(), eq(&after));
    cutter.push(b"data: c\n\n");
    expect_that!(cutter.resume_point(), eq(&after));
    cutter.push(b"id: \x01\ndata: d\n\n");
    expect_that!(cutter.resume_point(), eq(&ResumePoint::Nowhere));
}

#[gtest]
fn row_that_comes_late_by_another_way_is_no_news() {
    let mut directory = Directory::default();
    expect_that!(directory.note_version(at(0), &name(), RowVersion(7)), eq(true));
    expect_that!(directory.note_version(at(1), &name(), RowVersion(7)), eq(true));
    expect_that!(directory.note_version(at(2), &name(), RowVersion(6)), eq(false));
    // Also after its row is gone.
    directory.sweep(at(1_000));
    expect_that!(directory.note_version(at(1_000), &name(), RowVersion(6)), eq(false));
    directory.sweep(at(120_000));
    expect_that!(directory.note_version(at(120_000), &name(), RowVersion(6)), eq(true));
}
