//! Tests that a role moves only if its holder leaves, and that roles are spread evenly.

use dotterellane_decisions::rendezvous::{role_holder, role_order};
use dotterellane_units::HostId;
use googletest::prelude::*;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|index| format!("host-{index}").parse().unwrap()).collect()
}

#[gtest]
fn role_holder_other_leaves() {
    let all = hosts(9);
    for object in 0..200 {
        let object = format!("model-{object}");
        let holder = role_holder("dispatcher", &object, &all).unwrap();
        let leaving = all.iter().find(|host| *host != holder).unwrap();
        let rest = all.iter().filter(|host| *host != leaving);
        expect_that!(role_holder("dispatcher", &object, rest), some(eq(holder)));
    }
}

#[gtest]
fn role_order_holder_first() {
    let all = hosts(9);
    let order = role_order("ledger", "team-a", &all);
    expect_that!(order.len(), eq(9));
    expect_that!(role_holder("ledger", "team-a", &all), some(eq(order[0])));
}

#[gtest]
fn role_holder_even_spread() {
    let all = hosts(8);
    for host in &all {
        let held = (0..800)
            .filter(|object| role_holder("keeper", &object.to_string(), &all) == Some(host))
            .count();
        // The expected count is 100; five standard deviations are 47.
        expect_that!(held, all!(gt(53), lt(147)));
    }
}
