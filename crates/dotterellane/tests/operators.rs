//! The operators' commands, run as processes against an administration API over a fake fleet.

#[path = "../../admin/tests/support/mod.rs"]
mod support;

use std::path::{Path, PathBuf};

use dotterellane_admin::{AdminOptions, AdminTls, FleetOverview};
use dotterellane_settings::document::{OperatorEntry, OperatorRole};
use dotterellane_settings::keys::{CallerKey, OperatorKey};
use dotterellane_settings::write_document;
use googletest::prelude::*;
use tokio::process::Command;

use support::{FakeFleet, TestBench, loopback_options, valid_document};

/// Output and exit code of a command.
#[derive(Debug)]
struct CommandOutcome {
    code: i32,
    output: String,
    errors: String,
}

/// Runs the program with an operator's key.
async fn run_as(bench: &TestBench, key: &str, arguments: &[&str]) -> CommandOutcome {
    let server = format!("http://{}", bench.server.local_addr());
    let output = Command::new(env!("CARGO_BIN_EXE_dotterellane"))
        .args(arguments)
        .env("DOTTERELLANE_SERVER", server)
        .env("DOTTERELLANE_OPERATOR_KEY", key)
        .env_remove("DOTTERELLANE_KEY_FILE")
        .env_remove("CLICOLOR_FORCE")
        .output()
        .await
        .unwrap();
    CommandOutcome {
        code: output.status.code().unwrap(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

async fn run(bench: &TestBench, arguments: &[&str]) -> CommandOutcome {
    run_as(bench, &bench.all_key, arguments).await
}

/// Writes a file into the temporary directory of this test program. Tests run in parallel, so each
/// uses names of its own.
fn write_file(name: &str, text: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operators");
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[gtest]
#[tokio::test]
async fn config_get_edit_put() {
    let bench = TestBench::start();
    let got = run(&bench, &["config", "get"]).await;
    expect_that!(got.output, starts_with("# version 1\n"));
    let file = write_file("edit.yaml", &got.output.replace("1500/s", "1600/s"));
    let file = file.to_str().unwrap();
    let tried = run(&bench, &["config", "put", file, "--dry-run"]).await;
    expect_that!(tried.output, contains_substring("+    rate: 1600/s"));
    expect_that!(bench.version(), eq(1));
    let put = run(&bench, &["config", "put", file, "-m", "more for freight & rail"]).await;
    expect_that!(put.output, contains_substring("version 2 is in force"));
    // No colours, as the output is not a terminal.
    expect_that!(put.output, not(contains_substring("\u{1b}")));
    let history = run(&bench, &["config", "history"]).await;
    expect_that!(history.output, contains_substring("more for freight & rail"));
    let again = run(&bench, &["config", "put", file]).await;
    expect_that!(again.code, eq(1));
    expect_that!(again.errors, contains_substring("changed by others from 1 to 2"));
}

#[gtest]
#[tokio::test]
async fn config_put_unknown_version() {
    let bench = TestBench::start();
    let file = write_file("no-version.yaml", &write_document(&bench.document()));
    let put = run(&bench, &["config", "put", file.to_str().unwrap()]).await;
    expect_that!(put.code, eq(1));
    expect_that!(put.errors, contains_substring("--from VERSION"));
}

#[gtest]
#[tokio::test]
async fn config_check_faults() {
    let bench = TestBench::start();
    let text = write_document(&valid_document()).replace("rate: 1500/s", "rate: fast");
    let file = write_file("faulty.yaml", &text);
    for arguments in [["config", "check"], ["config", "put"]] {
        let arguments = [arguments[0], arguments[1], file.to_str().unwrap()];
        let checked = run(&bench, &arguments).await;
        expect_that!(checked.code, eq(2));
        expect_that!(checked.errors, contains_substring("teams.freight.rate"));
        expect_that!(checked.errors, contains_substring("1500/s"));
    }
    expect_that!(bench.version(), eq(1));
}

#[gtest]
#[tokio::test]
async fn config_diff_versions() {
    let bench = TestBench::start();
    run(&bench, &["team", "set", "freight", "--rate", "1700/s"]).await;
    let diff = run(&bench, &["config", "diff", "1", "2"]).await;
    expect_that!(diff.output, contains_substring("-    rate: 1500/s\n+    rate: 1700/s"));
    let restored = run(&bench, &["config", "restore", "1"]).await;
    expect_that!(restored.output, contains_substring("version 3 is in force"));
}

#[gtest]
#[tokio::test]
async fn change_outstanding() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.outstanding = ["host-3".parse().unwrap()].into());
    let arguments = ["team", "set", "freight", "--burst", "40000", "--wait", "0"];
    let set = run(&bench, &arguments).await;
    expect_that!(set.output, contains_substring("version 2 is accepted, not yet in force"));
    expect_that!(set.output, contains_substring("outstanding: host-3"));
}

#[gtest]
#[tokio::test]
async fn change_table_down() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.table_down = true);
    let set = run(&bench, &["team", "set", "freight", "--burst", "40000"]).await;
    expect_that!(set.code, eq(1));
    expect_that!(set.errors, contains_substring("no change can be accepted"));
    expect_that!(set.errors, contains_substring("try again after 5 s"));
}

#[gtest]
#[tokio::test]
async fn key_issue_rotate_withdraw() {
    let bench = TestBench::start();
    let issued = run_as(&bench, &bench.keys_key, &["key", "issue", "yard", "--team", "rail"]).await;
    let key: CallerKey = issued.output.lines().next().unwrap().parse().unwrap();
    expect_that!(key.matches(&bench.document().keys[key.id()].digest), eq(true));
    let rotated = run(&bench, &["key", "rotate", "yard", "--new-id", "yard-2"]).await;
    expect_that!(rotated.output, starts_with("dk_yard-2_"));
    let withdrawn = run(&bench, &["key", "withdraw", "yard"]).await;
    expect_that!(withdrawn.output, contains_substring("in force"));
    let list = run(&bench, &["key", "list"]).await;
    expect_that!(list.output, contains_regex(r"yard +rail +withdrawn"));
    expect_that!(list.output, contains_regex(r"yard-2 +rail +valid"));
}

#[gtest]
#[tokio::test]
async fn key_refused_by_role() {
    let bench = TestBench::start();
    let refused =
        run_as(&bench, &bench.read_key, &["key", "issue", "yard", "--team", "rail"]).await;
    expect_that!(refused.code, eq(1));
    expect_that!(refused.errors, contains_substring("it takes role keys"));
}

#[gtest]
#[tokio::test]
async fn model_add_set_remove() {
    let bench = TestBench::start();
    let add = ["model", "add", "tiny", "--model-version", "v1", "--memory", "2GiB"];
    expect_that!(run(&bench, &add).await.code, eq(0));
    let set = run(&bench, &["model", "set", "tiny", "--slots", "3"]).await;
    expect_that!(set.output, contains_substring("+    slots: 3"));
    let too_many = run(&bench, &["model", "set", "tiny", "--slots", "9"]).await;
    expect_that!(too_many.code, eq(2));
    expect_that!(too_many.errors, contains_substring("models.tiny.slots"));
    expect_that!(run(&bench, &["model", "remove", "tiny"]).await.code, eq(0));
}

#[gtest]
#[tokio::test]
async fn status_and_top() {
    let bench = TestBench::start();
    let status = run(&bench, &["status"]).await;
    expect_that!(status.output, contains_substring("table: not reachable, last answer not known"));
    // Values that the host does not know are printed as such, not as zero.
    expect_that!(status.output, contains_substring("cold starts: not known\nrefusals: not known"));
    let json = run(&bench, &["status", "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&json.output).unwrap();
    expect_that!(json["table"]["reachable"], eq(&serde_json::json!(false)));
    let top = run(&bench, &["top", "--interval", "1", "--count", "1"]).await;
    expect_that!(top.output, eq(&status.output));
}

#[gtest]
#[tokio::test]
async fn connection_refused() {
    let bench = TestBench::start();
    let unreachable = ["status", "--server", "http://127.0.0.1:1"];
    let refused = run(&bench, &unreachable).await;
    expect_that!(refused.code, eq(1));
    expect_that!(refused.errors, contains_substring("connecting to http://127.0.0.1:1"));
    let no_key = run_as(&bench, "not a key", &["status"]).await;
    expect_that!(no_key.errors, contains_substring("the key is malformed"));
    expect_that!(no_key.errors, not(contains_substring("not a key")));
}

#[gtest]
#[tokio::test]
async fn connection_over_tls() {
    let certificates = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/certificates");
    let tls = AdminTls {
        certificate_file: certificates.join("server.pem"),
        key_file: certificates.join("server.key"),
    };
    let mut document = valid_document();
    let key = OperatorKey::issue("tess".parse().unwrap(), [9; 32]);
    let entry = OperatorEntry { role: OperatorRole::All, digest: key.digest() };
    document.operators.insert(key.id().clone(), entry);
    let options = AdminOptions { tls: Some(tls), ..loopback_options() };
    let keys = [key.expose().to_owned(), String::new(), String::new()];
    let fleet = FakeFleet::holding(document);
    let bench = TestBench::serve_fleet(fleet, options, FleetOverview::default, keys);
    let server = format!("https://{}", bench.server.local_addr());
    let trusted = certificates.join("ca.pem");
    let arguments = ["config", "get", "--server", &server, "--ca-file", trusted.to_str().unwrap()];
    let got = run(&bench, &arguments).await;
    expect_that!(got.output, starts_with("# version 1\n"), "{}", got.errors);
    // The connection fails if the CA file lacks the certificate that signed the server's.
    let other = certificates.join("server.pem");
    let arguments = ["config", "get", "--server", &server, "--ca-file", other.to_str().unwrap()];
    let refused = run(&bench, &arguments).await;
    expect_that!(refused.code, eq(1));
}
