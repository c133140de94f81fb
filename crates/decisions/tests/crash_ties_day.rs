//! Days on which a caller's sound requests share parts with those that crash upstreams, and none of
//! them ran for a while before: crashes alone cannot tell the parts apart.

#[expect(dead_code, reason = "the other tests use the rest")]
mod parts_day;

use googletest::prelude::*;
use parts_day::{DayPlan, GuiltyPrompt, PLAN, check_days};

/// A day whose caller is quiet until some crashes have come.
const QUIET: DayPlan =
    DayPlan { prompt: GuiltyPrompt::AfterCaller, caller_parts: 1, caller_returns: 14_000, ..PLAN };

// Guards against a verdict that keeps out what could clear it (review/4): sound requests that share
// parts with guilty ones were refused for an hour if they had not run shortly before.
#[gtest]
fn sound_requests_of_a_quiet_caller_run_wherever_the_shared_parts_stand() {
    for prompt in [GuiltyPrompt::AfterCaller, GuiltyPrompt::BeforeCaller] {
        for caller_parts in [1, 2, 3] {
            for guilty_interval in [100, 400, 700, 1_500] {
                let plan = DayPlan { prompt, caller_parts, guilty_interval, ..QUIET };
                check_days(
                    &format!("{prompt:?} {caller_parts} each {guilty_interval} ms"),
                    plan,
                    4,
                );
            }
        }
    }
}

// Guards against the same where the caller was served until 12 s before it returns.
#[gtest]
fn sound_requests_of_a_caller_that_pauses_run_again() {
    for guilty_interval in [100, 400, 1_500] {
        let (caller_pauses, guilty_from, caller_returns) = (8_000, 22_000, 26_000);
        let plan = DayPlan { caller_pauses, guilty_from, caller_returns, guilty_interval, ..QUIET };
        check_days(&format!("pause, each {guilty_interval} ms"), plan, 4);
    }
}

// Guards against the same where two parts are guilty by turns, so that the shared one has most
// crashes.
#[gtest]
fn sound_requests_of_a_quiet_caller_run_beside_two_guilty_parts() {
    for guilty_interval in [100, 400, 1_500] {
        let prompt = GuiltyPrompt::TwoAfterCaller;
        let plan = DayPlan { prompt, guilty_interval, ..QUIET };
        check_days(&format!("two guilty, each {guilty_interval} ms"), plan, 4);
    }
}

// Guards against the same beside crashes for another reason, lost reports and hosts that started
// since.
#[gtest]
fn sound_requests_of_a_quiet_caller_run_beside_other_trouble() {
    let mass = DayPlan { mass_crashes: &[12_000, 12_700, 15_500, 24_000], ..QUIET };
    check_days("mass crashes", mass, 4);
    check_days("lost reports", DayPlan { lost_reports: 0.3, ..QUIET }, 4);
    check_days("restarts", DayPlan { restart_at: 13_000, ..QUIET }, 4);
    let (sound_until, guilty_from, caller_returns) = (5_000, 22_000, 26_000);
    let other = DayPlan { sound_until, guilty_from, caller_returns, ..QUIET };
    check_days("other software", other, 4);
}

// Guards against the same where each host sees few of the requests.
#[gtest]
fn sound_requests_of_a_quiet_caller_run_at_many_hosts() {
    for (hosts, upstreams) in [(76, 90), (195, 78)] {
        check_days(&format!("{hosts} hosts"), DayPlan { hosts, upstreams, ..QUIET }, 1);
    }
}
