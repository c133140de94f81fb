//! Comparison names the entries and fields that differ; merging keeps the changes of both sides.

use dotterellane_settings::difference::{entry_differences, merge_documents, text_difference};
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::{DifferenceKind, read_document};
use googletest::prelude::*;

const VALID_DOCUMENT: &str = include_str!("documents/sound.yaml");

fn document_after(old: &str, new: &str) -> ConfigurationDocument {
    assert!(VALID_DOCUMENT.contains(old), "{old:?} is not in the document");
    read_document("test", &VALID_DOCUMENT.replacen(old, new, 1)).unwrap()
}

#[gtest]
fn difference_changed_and_renamed() {
    let older = read_document("test", VALID_DOCUMENT).unwrap();
    let mut newer = document_after("rate: 1500/s", "rate: 1600/s");
    let rail = newer.teams.remove("rail".parse::<dotterellane_units::TeamId>().as_ref().unwrap());
    newer.teams.insert("tram".parse().unwrap(), rail.unwrap());
    let found: Vec<_> = entry_differences(&older, &newer)
        .into_iter()
        .map(|difference| (difference.path, difference.kind, difference.fields.join(",")))
        .collect();
    let expected = [
        ("teams.freight".to_owned(), DifferenceKind::Changed, "rate".to_owned()),
        ("teams.rail".to_owned(), DifferenceKind::Removed, String::new()),
        ("teams.tram".to_owned(), DifferenceKind::Added, String::new()),
    ];
    expect_that!(found, eq(&expected));
    expect_that!(text_difference(&older, &newer), contains_substring("+    rate: 1600/s"));
    expect_that!(text_difference(&older, &older), eq(""));
}

#[gtest]
fn merge_disjoint_changes() {
    let base = read_document("test", VALID_DOCUMENT).unwrap();
    let mine = document_after("rate: 1500/s", "rate: 1600/s");
    let theirs = document_after("rate: 2.5/s", "rate: 3/s");
    let merged = merge_documents(&base, &mine, &theirs).unwrap();
    let rates: Vec<_> = merged.teams.values().map(|team| team.rate.to_string()).collect();
    expect_that!(rates, elements_are![eq("1600/s"), eq("3/s")]);
}

#[gtest]
fn merge_conflict() {
    let base = read_document("test", VALID_DOCUMENT).unwrap();
    let mine = document_after("rate: 1500/s", "rate: 1600/s");
    let theirs = document_after("rate: 1500/s", "rate: 1700/s");
    let conflicts = merge_documents(&base, &mine, &theirs).unwrap_err();
    expect_that!(conflicts, elements_are![eq("teams.freight")]);
    expect_that!(merge_documents(&base, &mine, &mine), ok(eq(&mine)));
}
