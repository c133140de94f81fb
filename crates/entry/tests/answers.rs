//! Responses of runners: callers get a complete response or an error, whatever a runner sends.

mod support;

use dotterellane_fleet::CallOutcome;
use dotterellane_standins::{FaultyRunner, RunnerFault};
use googletest::prelude::*;
use http::StatusCode;
use support::{EntryEnvironment, expected_text};

async fn runners(count: usize) -> Vec<FaultyRunner> {
    let mut runners = Vec::new();
    for _ in 0..count {
        runners.push(FaultyRunner::start().await.expect("a runner"));
    }
    runners
}

async fn environment(runners: &[FaultyRunner]) -> EntryEnvironment {
    let addresses: Vec<_> = runners.iter().map(FaultyRunner::address).collect();
    EntryEnvironment::start(&addresses).await
}

#[gtest]
#[tokio::test]
async fn chat_whole() {
    let runners = runners(1).await;
    let entry = environment(&runners).await;
    let response = entry.chat(false, 5).await;
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(response.body, contains_substring(expected_text(5)));
    entry.settled().await;
    let fleet = entry.fleet.lock().expect("fleet");
    // 3 prompt tokens and 5 output tokens, as the runner reports.
    expect_that!(fleet.tokens_used, eq(8));
    expect_that!(fleet.released.last().expect("a permit").1, eq(CallOutcome::Answered));
}

#[gtest]
#[tokio::test]
async fn chat_streamed() {
    let runners = runners(1).await;
    let entry = environment(&runners).await;
    let response = entry.chat(true, 50).await;
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(response.stream_text(), eq(&expected_text(50)));
    expect_that!(response.body, ends_with("data: [DONE]\n\n"));
    entry.settled().await;
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(53));
}

#[gtest]
#[tokio::test]
async fn answer_wrong_from_first_runner() {
    let faults = [
        RunnerFault::MismatchedId,
        RunnerFault::Truncated,
        RunnerFault::NoEndMarker,
        RunnerFault::ClosesAfter(0),
        RunnerFault::ClosesAfter(7),
        RunnerFault::Silent,
        RunnerFault::SilentAfter(4),
        RunnerFault::ResponseLost,
        RunnerFault::NotRun,
        RunnerFault::ExtraBytes,
    ];
    for fault in faults {
        let runners = runners(2).await;
        runners[0].set_fault(fault.clone());
        let entry = environment(&runners).await;
        let response = entry.chat(true, 20).await;
        expect_that!(response.stream_text(), eq(&expected_text(20)), "after {fault:?}");
        expect_that!(response.body, ends_with("data: [DONE]\n\n"), "after {fault:?}");
        entry.settled().await;
    }
}

fn concerns_streams_only(fault: &RunnerFault) -> bool {
    use RunnerFault::{ClosesAfter, NoEndMarker, SilentAfter};
    matches!(fault, ClosesAfter(_) | SilentAfter(_) | NoEndMarker)
}

#[gtest]
#[tokio::test]
async fn answer_wrong_from_every_runner() {
    let faults = [
        RunnerFault::MismatchedId,
        RunnerFault::Truncated,
        RunnerFault::NoEndMarker,
        RunnerFault::ClosesAfter(7),
        RunnerFault::Silent,
        RunnerFault::SilentAfter(4),
        RunnerFault::ResponseLost,
    ];
    for fault in faults {
        let runners = runners(3).await;
        runners.iter().for_each(|runner| runner.set_fault(fault.clone()));
        let entry = environment(&runners).await;
        for streamed in [true, false] {
            if !streamed && concerns_streams_only(&fault) {
                continue;
            }
            let response = entry.chat(streamed, 20).await;
            let text = format!("{fault:?}, streamed {streamed}: {response:?}");
            expect_that!(response.body, not(contains_substring("[DONE]")), "{text}");
            expect_that!(response.error_code(), not(eq("")), "{text}");
            expect_that!(response.says_not_run(), eq(false), "{text}");
        }
        entry.settled().await;
    }
}

#[gtest]
#[tokio::test]
async fn excess_not_taken_for_next_answer() {
    let runners = runners(1).await;
    runners[0].set_fault(RunnerFault::ExtraBytes);
    let entry = environment(&runners).await;
    for _ in 0..4 {
        let response = entry.chat(false, 3).await;
        expect_that!(response.status, eq(StatusCode::OK));
        expect_that!(response.body, contains_substring(expected_text(3)));
        expect_that!(response.body, not(contains_substring("other")));
    }
}

#[gtest]
#[tokio::test]
async fn not_run_said_by_every_runner() {
    let runners = runners(2).await;
    runners.iter().for_each(|runner| runner.set_fault(RunnerFault::NotRun));
    let entry = environment(&runners).await;
    let response = entry.chat(false, 3).await;
    expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(response.says_not_run(), eq(true));
    expect_that!(response.headers.contains_key("retry-after"), eq(true));
}

#[gtest]
#[tokio::test]
async fn connection_silent_when_reused() {
    let runners = runners(1).await;
    let entry = environment(&runners).await;
    // Leaves two idle connections in the pool; the runner then stops responding on both.
    let pair = tokio::join!(entry.chat(true, 5), entry.chat(true, 5));
    expect_that!(pair.0.stream_text(), eq(&pair.1.stream_text()));
    runners[0].set_fault(RunnerFault::SilentWhenReused);
    let response = entry.chat(true, 5).await;
    expect_that!(response.stream_text(), eq(&expected_text(5)), "{response:?}");
    // The timeout on one connection has also closed the other idle one, so neither is reused.
    let response = entry.chat(true, 5).await;
    expect_that!(response.stream_text(), eq(&expected_text(5)));
    let seen = runners[0].seen();
    let reused = seen.iter().filter(|request| request.connection < 2 && request.index > 0);
    expect_that!(reused.count(), eq(1));
}
