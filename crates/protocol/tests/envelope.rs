//! Opening of datagrams: forged, modified, misaddressed, replayed and outdated ones are refused.

use std::time::Duration;

use dotterellane_protocol::{
    EnvelopeKey, EnvelopeOpener, EnvelopeSealer, GossipMessage, LogBody, LogEntry, LogHeads,
    LogPosition, MAX_DATAGRAM_BYTES, OpenError, PROTOCOL_VERSION, PeerMessage, QuantizedAge,
    SealError,
};
use dotterellane_units::{HostId, HostIncarnation, RequestId};
use googletest::prelude::*;

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn sealer(secret: &[u8], incarnation: u64) -> EnvelopeSealer {
    let key = EnvelopeKey::derive(secret);
    EnvelopeSealer::new(key, host("a"), HostIncarnation(incarnation))
}

fn opener() -> EnvelopeOpener {
    EnvelopeOpener::new(EnvelopeKey::derive(b"secret"), host("b"))
}

fn message() -> PeerMessage {
    PeerMessage::Gossip(GossipMessage::Confirmation(LogHeads::default()))
}

#[gtest]
fn open_sealed() {
    let datagram = sealer(b"secret", 7).seal(&host("b"), message()).unwrap();
    let content = opener().open(&datagram).unwrap();
    expect_that!(content.from, eq(&host("a")));
    expect_that!(content.incarnation, eq(HostIncarnation(7)));
    expect_that!(content.message, eq(&message()));
}

#[gtest]
fn open_tampered_anywhere() {
    let datagram = sealer(b"secret", 7).seal(&host("b"), message()).unwrap();
    let mut opener = opener();
    for index in 1..datagram.len() {
        let mut tampered = datagram.clone();
        tampered[index] ^= 1;
        expect_that!(opener.open(&tampered), err(eq(&OpenError::Tag)));
    }
    expect_that!(opener.open(&datagram), ok(anything()));
}

#[gtest]
fn open_cut_short() {
    let datagram = sealer(b"secret", 7).seal(&host("b"), message()).unwrap();
    let mut opener = opener();
    for length in 0..datagram.len() {
        expect_that!(opener.open(&datagram[..length]), err(anything()));
    }
}

#[gtest]
fn open_other_secret() {
    let datagram = sealer(b"other", 7).seal(&host("b"), message()).unwrap();
    expect_that!(opener().open(&datagram), err(eq(&OpenError::Tag)));
}

#[gtest]
fn open_unknown_version() {
    let mut datagram = sealer(b"secret", 7).seal(&host("b"), message()).unwrap();
    datagram[0] = PROTOCOL_VERSION + 1;
    let refused = OpenError::Version(PROTOCOL_VERSION + 1);
    expect_that!(opener().open(&datagram), err(eq(&refused)));
}

#[gtest]
fn open_wrong_addressee() {
    let datagram = sealer(b"secret", 7).seal(&host("c"), message()).unwrap();
    expect_that!(opener().open(&datagram), err(eq(&OpenError::Addressee)));
}

#[gtest]
fn open_replayed_or_reordered() {
    let (mut sealer, mut opener) = (sealer(b"secret", 7), opener());
    let datagrams: Vec<_> = (0..200).map(|_| sealer.seal(&host("b"), message()).unwrap()).collect();
    for index in [0, 5, 3, 150, 100] {
        expect_that!(opener.open(&datagrams[index]), ok(anything()));
        expect_that!(opener.open(&datagrams[index]), err(eq(&OpenError::Replay)));
    }
    // Counter 2 is 149 behind the newest one, further than the replay window reaches.
    expect_that!(opener.open(&datagrams[1]), err(eq(&OpenError::Replay)));
}

#[gtest]
fn open_superseded_incarnation() {
    let mut opener = opener();
    let late = sealer(b"secret", 7).seal(&host("b"), message()).unwrap();
    let newer = sealer(b"secret", 8).seal(&host("b"), message()).unwrap();
    expect_that!(opener.open(&newer), ok(anything()));
    expect_that!(opener.open(&late), err(eq(&OpenError::Superseded)));
}

#[gtest]
fn seal_too_long() {
    let entry = |length: usize| {
        let body = LogBody::Other { kind: "shares".to_owned(), content: vec![0; length] };
        let (position, change) = (LogPosition(1), RequestId(1));
        let entry = LogEntry { position, change, author: host("a"), accepted_at: 0, body };
        PeerMessage::Gossip(GossipMessage::Entry(entry))
    };
    let fits = sealer(b"secret", 7).seal(&host("b"), entry(1_150)).unwrap();
    expect_that!(fits.len(), le(MAX_DATAGRAM_BYTES));
    let refused = sealer(b"secret", 7).seal(&host("b"), entry(1_200));
    expect_that!(refused, err(matches_pattern!(SealError::TooLong { .. })));
}

#[gtest]
fn quantized_age_never_younger() {
    for millis in (0..18_000).step_by(7) {
        let age = Duration::from_millis(millis);
        let rounded = QuantizedAge::rounded_up(age).age().unwrap();
        let step = if millis <= 3_056 { 16 } else { 250 };
        expect_that!(rounded, all!(ge(age), lt(age + Duration::from_millis(step))));
    }
    expect_that!(QuantizedAge::rounded_up(Duration::from_secs(20)).age(), none());
}
