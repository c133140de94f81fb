//! All faults of a document are reported at once, each with its line and a hint.

use std::collections::BTreeSet;

use dotterellane_settings::fields::{
    ADAPTER_FIELDS, FieldRule, KEY_FIELDS, MODEL_FIELDS, OPERATOR_FIELDS, RUNNER_FIELDS,
    SERVICE_FIELDS, TEAM_FIELDS, UPSTREAM_FIELDS,
};
use dotterellane_settings::schema::document_schema;
use dotterellane_settings::{check_document, read_document, write_document};
use googletest::prelude::*;

const VALID_DOCUMENT: &str = include_str!("documents/sound.yaml");
const FAULTY_DOCUMENT: &str = include_str!("documents/faulty.yaml");

/// Returns the faults of `text`, each as `line path`.
fn fault_positions(text: &str) -> Vec<String> {
    let faults = read_document("test", text).map(|_| Vec::new()).unwrap_or_else(|e| e.faults);
    faults.iter().map(|fault| format!("{} {}", fault.line.unwrap_or(0), fault.path)).collect()
}

/// Returns the faults of the valid document after replacing `old` by `new`, each as `line path`.
fn faults_after(old: &str, new: &str) -> Vec<String> {
    assert!(VALID_DOCUMENT.contains(old), "{old:?} is not in the document");
    fault_positions(&VALID_DOCUMENT.replacen(old, new, 1))
}

#[gtest]
fn document_valid() {
    let document = read_document("test", VALID_DOCUMENT).unwrap();
    expect_that!(check_document(&document).is_ok(), eq(true));
    let written = read_document("test", &write_document(&document)).unwrap();
    expect_that!(written, eq(&document));
}

#[gtest]
fn document_every_fault_at_once() {
    // The comment on each faulty line lists the paths of the faults expected there.
    let expected = FAULTY_DOCUMENT.lines().enumerate().flat_map(|(index, line)| {
        let paths = line.split_once("# fault: ").map_or("", |(_, paths)| paths);
        paths.split_whitespace().map(move |path| format!("{} {path}", index + 1))
    });
    let expected: BTreeSet<String> = expected.collect();
    let found: BTreeSet<String> = fault_positions(FAULTY_DOCUMENT).into_iter().collect();
    expect_that!(found, eq(&expected));
}

#[gtest]
fn document_fault_report() {
    let faults = read_document("fleet.yaml", FAULTY_DOCUMENT).unwrap_err();
    let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::none());
    let mut shown = String::new();
    handler.render_report(&mut shown, &faults.report()).unwrap();
    expect_that!(shown, contains_substring("fleet.yaml"));
    expect_that!(shown, contains_substring("rate \"fast\" is not understood"));
    expect_that!(shown, contains_substring("write for example 1500/s"));
}

#[gtest]
fn document_not_yaml() {
    expect_that!(fault_positions("teams:\n  a: [1\n").len(), eq(1));
    expect_that!(fault_positions("- 1\n"), elements_are![eq("1 ")]);
}

#[gtest]
fn document_duplicate_name() {
    let duplicated = VALID_DOCUMENT.replace("  rail:\n", "  freight:\n");
    expect_that!(fault_positions(&duplicated).len(), eq(1));
}

#[gtest]
fn document_unquoted_version() {
    let found = faults_after("version: '2026-01'", "version: 1.10");
    expect_that!(found, elements_are![ends_with("models.plan-7b.version")]);
}

#[gtest]
fn document_burst_below_output() {
    let found = faults_after("burst: 30000", "burst: 2048");
    expect_that!(found, elements_are![ends_with("teams.freight.burst")]);
    expect_that!(faults_after("burst: 30000", "burst: 2049"), is_empty());
}

#[gtest]
fn document_model_too_large() {
    let found = faults_after("memory: 14GiB", "memory: 79GiB");
    expect_that!(
        found,
        elements_are![ends_with("models.plan-7b.memory"), ends_with("adapters.plan-lakes.memory")]
    );
    // 78 GiB of weights and 2 GiB of reserve fit on the runner, but not the adapter as well.
    let found = faults_after("memory: 14GiB", "memory: 78GiB");
    expect_that!(found, elements_are![ends_with("adapters.plan-lakes.memory")]);
}

#[gtest]
fn document_operators_locked_out() {
    let found = faults_after("role: all", "role: keys");
    expect_that!(found, elements_are![ends_with(" operators")]);
}

#[gtest]
fn document_faulty_entry_is_still_known() {
    // A key of a faulty team is not reported for referring to a missing team.
    let found = faults_after("rate: 1500/s", "rate: fast");
    expect_that!(found, elements_are![ends_with("teams.freight.rate")]);
}

#[gtest]
fn field_rules_follow_schema() {
    let rules: [(&str, &[FieldRule]); 8] = [
        ("TeamEntry", TEAM_FIELDS),
        ("KeyEntry", KEY_FIELDS),
        ("OperatorEntry", OPERATOR_FIELDS),
        ("ModelEntry", MODEL_FIELDS),
        ("AdapterEntry", ADAPTER_FIELDS),
        ("ServiceEntry", SERVICE_FIELDS),
        ("UpstreamEntry", UPSTREAM_FIELDS),
        ("RunnerEntry", RUNNER_FIELDS),
    ];
    let schema = document_schema();
    for (name, rules) in rules {
        let entry = &schema["$defs"][name];
        let properties: BTreeSet<&str> =
            entry["properties"].as_object().unwrap().keys().map(String::as_str).collect();
        let required = entry["required"].as_array().map_or(&[][..], Vec::as_slice);
        let required: BTreeSet<&str> = required.iter().filter_map(|name| name.as_str()).collect();
        let rule_names: BTreeSet<&str> = rules.iter().map(|rule| rule.name).collect();
        let rule_required = rules.iter().filter(|rule| rule.required);
        let rule_required: BTreeSet<&str> = rule_required.map(|rule| rule.name).collect();
        expect_that!(rule_names, eq(&properties), "{name}");
        expect_that!(rule_required, eq(&required), "{name}");
    }
}
