//! Days on which requests that are no two alike share a part of their prompts, which crashes the
//! upstreams that run them.

#[expect(dead_code, reason = "the other tests use the rest")]
mod parts_day;

use googletest::prelude::*;
use parts_day::{DAY_MILLIS, DayPlan, GuiltyPrompt, PLAN, PartsDay, check_days};

// Guards against requests that share a guilty part being compared as wholes only, wherever that
// part stands and however often they come.
#[gtest]
fn guilty_part_is_found_wherever_it_stands() {
    let prompts = [
        GuiltyPrompt::First,
        GuiltyPrompt::Second,
        GuiltyPrompt::Alone,
        GuiltyPrompt::TwoByTurns,
        GuiltyPrompt::TwoTogether,
    ];
    for prompt in prompts {
        for guilty_interval in [100, 400, 1_500] {
            let plan = DayPlan { prompt, guilty_interval, ..PLAN };
            check_days(&format!("{prompt:?} each {guilty_interval} ms"), plan, 4);
        }
    }
}

// Guards against hosts that go on sending a guilty part because a report about a crash was lost.
#[gtest]
fn guilty_part_is_found_although_reports_are_lost() {
    check_days("lost reports", DayPlan { lost_reports: 0.3, ..PLAN }, 4);
}

// Guards against verdicts that come too late where each host sees few of the crashes.
#[gtest]
fn guilty_part_is_found_by_many_hosts() {
    for (hosts, upstreams) in [(76, 90), (195, 78)] {
        check_days(&format!("{hosts} hosts"), DayPlan { hosts, upstreams, ..PLAN }, 1);
    }
}

// Guards against refusing parts that many requests share because many upstreams crash for another
// reason.
#[gtest]
fn sound_parts_are_not_refused_after_mass_crashes() {
    for (hosts, upstreams) in [(9, 9), (76, 90)] {
        let plan = DayPlan {
            hosts,
            upstreams,
            guilty_interval: 0,
            mass_crashes: &[12_000, 12_700, 14_000, 15_500, 24_000],
            ..PLAN
        };
        for seed in 0..3 {
            let day = PartsDay::new(plan, seed).run();
            let arrived = day.count_sound(0, DAY_MILLIS / 1_000).arrived;
            println!("{hosts} hosts seed {seed}: {} of {arrived} refused", day.refused);
            // The users' rules allow five refusals and one in 500.
            expect_that!(day.refused, le(5 + arrived / 500), "{hosts} hosts seed {seed}");
        }
    }
}
