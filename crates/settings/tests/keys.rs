//! Keys contain their id, match only their own digest and are never printed with their secret.

use dotterellane_settings::keys::{CallerKey, OperatorKey, SECRET_BYTES, is_digest};
use googletest::prelude::*;

const SECRET: [u8; SECRET_BYTES] = [0xab; SECRET_BYTES];

fn caller_key() -> CallerKey {
    CallerKey::issue("depot_7".parse().unwrap(), SECRET)
}

#[gtest]
fn caller_key_round_trip() {
    let key = caller_key();
    let parsed: CallerKey = key.expose().parse().unwrap();
    expect_that!(parsed.id().as_str(), eq("depot_7"));
    expect_that!(is_digest(&key.digest()), eq(true));
    expect_that!(parsed.matches(&key.digest()), eq(true));
}

#[gtest]
fn caller_key_other_secret() {
    let mut other = SECRET;
    other[SECRET_BYTES - 1] ^= 1;
    let other = CallerKey::issue("depot_7".parse().unwrap(), other);
    expect_that!(other.matches(&caller_key().digest()), eq(false));
    expect_that!(other.matches("not a digest"), eq(false));
}

#[gtest]
fn caller_key_malformed() {
    let key = caller_key();
    let shortened = &key.expose()[..key.expose().len() - 1];
    let uppercase = key.expose().replace('a', "A");
    for text in ["", "dk_", "dk_depot_7", shortened, &uppercase, "dk_a/b_00"] {
        expect_that!(text.parse::<CallerKey>(), err(anything()), "{text:?}");
    }
    expect_that!(key.expose().parse::<OperatorKey>(), err(anything()));
}

#[gtest]
fn key_debug_hides_secret() {
    let key = caller_key();
    let secret = key.expose().rsplit('_').next().unwrap();
    expect_that!(format!("{key:?}"), not(contains_substring(secret)));
    let wrong = format!("dk_a/b_{secret}").parse::<CallerKey>().unwrap_err();
    expect_that!(format!("{wrong} {wrong:?}"), not(contains_substring(secret)));
}
