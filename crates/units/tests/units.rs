//! Units parse the text that they display and refuse malformed text.

use dotterellane_units::{
    ByteSize, RequestId, RequestRate, TeamId, TokenCount, TokenRate, UnitError,
};
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn byte_size_round_trip() {
    for text in ["16GiB", "512MiB", "3KiB", "2TiB", "100B", "0B"] {
        let size: ByteSize = text.parse().unwrap();
        expect_that!(size.to_string(), eq(text));
    }
}

#[gtest]
fn byte_size_overflow() {
    expect_that!("99999999999TiB".parse::<ByteSize>(), err(anything()));
}

#[gtest]
fn token_rate_fraction() {
    let rate: TokenRate = "2.5/s".parse().unwrap();
    expect_that!(rate.milli_tokens(), eq(2_500));
    expect_that!(rate.to_string(), eq("2.500/s"));
    expect_that!(rate.tokens_within(Duration::from_secs(3)), eq(TokenCount(7)));
    expect_that!(rate.time_for(TokenCount(5)), some(eq(Duration::from_secs(2))));
}

#[gtest]
fn token_rate_without_unit() {
    expect_that!(
        "2.5".parse::<TokenRate>(),
        err(matches_pattern!(UnitError::Malformed { kind: eq(&"rate"), .. }))
    );
}

#[gtest]
fn team_id_bad_character() {
    expect_that!(
        "a/b".parse::<TeamId>(),
        err(matches_pattern!(UnitError::IdCharacter { found: eq(&'/'), .. }))
    );
}

#[gtest]
fn request_id_round_trip() {
    let id = RequestId(0x1234);
    expect_that!(id.to_string().parse::<RequestId>(), ok(eq(&id)));
    expect_that!("+0000000000000000000000000000012".parse::<RequestId>(), err(anything()));
}

#[gtest]
fn request_rate_fraction() {
    let rate: RequestRate = "0.2/s".parse().unwrap();
    expect_that!(rate, eq(RequestRate::from_milli_requests(200)));
    expect_that!(rate.to_string(), eq("0.200/s"));
    expect_that!(rate.interval(), eq(Duration::from_secs(5)));
    expect_that!(rate.scaled(0.5).to_string(), eq("0.100/s"));
}

#[gtest]
fn request_rate_zero() {
    expect_that!(RequestRate::per_second(0).interval(), eq(Duration::MAX));
    expect_that!(RequestRate::per_second(0).scaled(0.5), eq(RequestRate::per_second(0)));
}

// Guards against names of a platform that fit into its headers and take their object out of use.
#[gtest]
fn team_name_of_a_platform_fits_a_header() {
    for name in ["Connacht Coaches", "Café", "a/b", &"x".repeat(200)] {
        expect_that!(TeamId::from_name(name).map(|team| team.to_string()), ok(eq(name)));
    }
    for name in ["", " a", "a ", "a\nb", "a\u{7f}b", &"x".repeat(201)] {
        expect_that!(TeamId::from_name(name), err(anything()), "{name:?}");
    }
}
