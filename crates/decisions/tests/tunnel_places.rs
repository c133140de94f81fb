//! Tests how the places for tunnels are divided.

use std::net::{IpAddr, Ipv4Addr};

use dotterellane_decisions::tunnel_places::TunnelPlaces;
use googletest::prelude::*;

fn host(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, number).into()
}

/// Takes places for the host with this number until it gets none; returns how many it got.
fn take_all(places: &mut TunnelPlaces, number: u8) -> usize {
    std::iter::from_fn(|| places.take(host(number)).then_some(())).count()
}

#[gtest]
fn hosts_that_take_what_they_get_leave_some_to_the_next() {
    let mut places = TunnelPlaces::new(64);
    let taken: Vec<usize> = (1..=5).map(|number| take_all(&mut places, number)).collect();
    expect_that!(taken, elements_are![eq(&32), eq(&16), eq(&8), eq(&4), eq(&2)]);
}

#[gtest]
fn place_that_is_given_back_goes_to_the_host_with_fewer() {
    let mut places = TunnelPlaces::new(8);
    expect_that!(take_all(&mut places, 1), eq(4));
    expect_that!(take_all(&mut places, 2), eq(2));
    places.release(host(1));
    expect_that!(places.take(host(1)), eq(false));
    expect_that!(places.take(host(2)), eq(true));
    // One that never had a place gives none back.
    places.release(host(3));
    expect_that!(take_all(&mut places, 3), eq(1));
}

#[gtest]
fn single_place_is_granted_to_one_host() {
    let mut places = TunnelPlaces::new(1);
    expect_that!(places.take(host(1)), eq(true));
    expect_that!(places.take(host(2)), eq(false));
    places.release(host(1));
    expect_that!(places.take(host(2)), eq(true));
}
