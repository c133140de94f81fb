//! Which response gives way when the shared memory of buffered responses is used up.

use std::net::SocketAddr;

use dotterellane_gateway::response_memory::{MemoryReservation, ResponseMemory};
use dotterellane_units::ByteSize;
use googletest::prelude::*;

const ENDLESS: &str = "127.0.0.1:1";
const SOUND: &str = "127.0.0.1:2";

fn peer(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn mebibytes(count: u64) -> ByteSize {
    ByteSize(count << 20)
}

fn revoked(reservations: &[MemoryReservation<'_>]) -> usize {
    reservations.iter().filter(|one| one.is_revoked()).count()
}

// Guards against a response that is cut off because others without end use all of the memory: the
// one that came last had to give way.
#[gtest]
fn response_beside_endless_ones_stays() {
    let memory = ResponseMemory::default();
    let endless: Vec<_> = (0..60).map(|_| memory.open(peer(ENDLESS))).collect();
    let sound: Vec<_> = (0..12).map(|_| memory.open(peer(SOUND))).collect();
    for length in (1..=4_096).map(|step| ByteSize(step << 12)) {
        endless.iter().filter(|one| !one.is_revoked()).for_each(|one| one.grow(length));
        sound.iter().for_each(|one| one.grow(length.min(ByteSize(300_000))));
    }
    expect_that!(revoked(&sound), eq(0));
    // 16 MiB of one and what is left beside it.
    expect_that!(revoked(&endless), ge(58));
}

#[gtest]
fn response_that_is_the_longest_of_its_upstream_gives_way() {
    let memory = ResponseMemory::default();
    let all = [memory.open(peer(ENDLESS)), memory.open(peer(ENDLESS)), memory.open(peer(SOUND))];
    all[0].grow(mebibytes(8));
    all[1].grow(mebibytes(6));
    all[2].grow(mebibytes(10));
    expect_that!(revoked(&all), eq(0));
    all[2].grow(mebibytes(11));
    expect_that!(all[0].is_revoked(), eq(true));
    expect_that!(revoked(&all), eq(1));
}

#[gtest]
fn memory_of_a_response_that_ended_is_free() {
    let memory = ResponseMemory::default();
    for _ in 0..10 {
        let one = memory.open(peer(SOUND));
        one.grow(mebibytes(16));
        expect_that!(one.is_revoked(), eq(false));
    }
}
