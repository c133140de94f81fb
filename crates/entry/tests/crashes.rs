//! Quarantine of a request that crashes every runner that it is sent to.

mod support;

use std::time::Duration;

use dotterellane_standins::{FaultyRunner, RunnerFault};
use googletest::prelude::*;
use http::StatusCode;
use support::{EntryEnvironment, chat_request, expected_text};

const POISON: &str = "poison";

async fn poisoned_runners(count: usize) -> Vec<FaultyRunner> {
    let mut runners = Vec::new();
    for _ in 0..count {
        let runner = FaultyRunner::start().await.expect("a runner");
        runner.set_fault(RunnerFault::CrashOn(POISON.to_owned()));
        runner.set_chunk_pause(Duration::from_millis(10));
        runners.push(runner);
    }
    runners
}

fn crashed(runners: &[FaultyRunner]) -> usize {
    let poisoned = |runner: &&FaultyRunner| {
        let seen = runner.seen();
        seen.iter().any(|request| String::from_utf8_lossy(&request.body).contains(POISON))
    };
    runners.iter().filter(poisoned).count()
}

#[gtest]
#[tokio::test]
async fn request_crashes_runners() {
    let runners = poisoned_runners(5).await;
    let addresses: Vec<_> = runners.iter().map(FaultyRunner::address).collect();
    let entry = EntryEnvironment::start(&addresses).await;
    let neighbour = |text| entry.send(chat_request(true, 60, text));
    let poison = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.send(chat_request(true, 5, POISON)).await
    };
    let (first, second, refused) = tokio::join!(neighbour("one"), neighbour("two"), poison);
    // Streams that ran on the crashed runners are resumed at others.
    expect_that!(first.stream_text(), eq(&expected_text(60)));
    expect_that!(second.stream_text(), eq(&expected_text(60)));
    expect_that!(refused.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(refused.error_code(), eq("request_quarantined"));
    expect_that!(refused.says_not_run(), eq(false));
    for _ in 0..3 {
        let again = entry.send(chat_request(true, 5, POISON)).await;
        expect_that!(again.error_code(), eq("request_quarantined"));
        expect_that!(again.says_not_run(), eq(true));
    }
    expect_that!(crashed(&runners), eq(2));
    for text in ["one", "two", "three"] {
        let response = entry.send(chat_request(true, 5, text)).await;
        expect_that!(response.stream_text(), eq(&expected_text(5)));
    }
}

#[gtest]
#[tokio::test]
async fn connection_cut_without_crash() {
    // The runners cut the stream but stay alive, so the request is not quarantined.
    let runners = poisoned_runners(3).await;
    runners.iter().for_each(|runner| runner.set_fault(RunnerFault::ClosesAfter(2)));
    let addresses: Vec<_> = runners.iter().map(FaultyRunner::address).collect();
    let entry = EntryEnvironment::start(&addresses).await;
    let broken = entry.chat(true, 5).await;
    expect_that!(broken.error_code(), not(eq("request_quarantined")));
    runners.iter().for_each(|runner| runner.set_fault(RunnerFault::None));
    expect_that!(entry.chat(true, 5).await.stream_text(), eq(&expected_text(5)));
}
