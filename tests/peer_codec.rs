//! The decoder of peer messages under bad bytes.

use {
    bilberryfront::peer::codec::{
        CATALOG_LIMIT, CONTROL_LIMIT, DecodeError, HEADER, VERSION, decode, encode,
    },
    bilberryfront_decide::{
        id::Incarnation,
        member::{
            PeerMessage,
            message::{
                CatalogPush, Claim, Heartbeat, Hint, HintKind, Life, Moment, NodeLocation,
                NodeState, Update, Usage,
            },
        },
    },
    compact_str::CompactString,
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 0x5eed;
const RUNS: u64 = 5_000;

fn moment() -> Moment {
    Moment { life: Life { epoch: 1_764_720_000_000, incarnation: Incarnation(u64::MAX) }, beat: 9 }
}

fn claim() -> Claim {
    let location =
        NodeLocation { domain: "x-a".into(), url: "http://h:1".into(), peer: "10.0.0.1:2".into() };
    Claim { name: "b".into(), moment: moment(), state: NodeState::Gone, location: Some(location) }
}

fn messages() -> Vec<PeerMessage> {
    let hint = Hint { runner: "r".into(), kind: HintKind::Lost };
    vec![
        PeerMessage::Heartbeat(Heartbeat {
            moment: moment(),
            state: NodeState::Ready,
            location: claim().location,
            revision: 3,
            usage: vec![Usage { entry: "e".into(), account: "c".into(), running: 300 }],
            updates: vec![Update::Node(claim()), Update::Runner(hint)],
        }),
        PeerMessage::Revision(4),
        PeerMessage::CatalogPull(u64::MAX),
        PeerMessage::CatalogPush(CatalogPush { revision: 5, doc: "{\"accounts\":[]}".into() }),
        PeerMessage::MembersPull,
        PeerMessage::MembersPush(vec![claim(), claim()]),
        PeerMessage::Leave(moment()),
        PeerMessage::Claims(vec![claim()]),
    ]
}

fn name() -> CompactString {
    "entry-1".into()
}

#[test]
fn every_message_comes_back_as_it_was() {
    for message in messages() {
        let frame = encode(&name(), &message).unwrap();
        assert_eq!(decode(&frame.bytes), Ok((name(), message)));
    }
}

#[test]
fn every_truncation_is_an_error() {
    for message in messages() {
        let bytes = encode(&name(), &message).unwrap().bytes;
        for end in 0..bytes.len() {
            let error = if end < HEADER { DecodeError::Header } else { DecodeError::Garbled };
            assert_eq!(decode(&bytes[..end]), Err(error));
        }
    }
}

#[test]
fn bytes_left_over_are_an_error() {
    let mut bytes = encode(&name(), &PeerMessage::MembersPull).unwrap().bytes.to_vec();
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(DecodeError::Garbled));
}

#[test]
fn other_versions_and_classes_are_refused() {
    let bytes = encode(&name(), &PeerMessage::Revision(1)).unwrap().bytes.to_vec();
    for version in (0..=u8::MAX).filter(|v| *v != VERSION) {
        let other = [&[version], &bytes[1..]].concat();
        assert_eq!(decode(&other), Err(DecodeError::Header));
    }
    for class in 2..=u8::MAX {
        let other = [&[VERSION, class], &bytes[2..]].concat();
        assert_eq!(decode(&other), Err(DecodeError::Header));
    }
    // A small message must not use the bound of a catalogue.
    let posing = [&[VERSION, 1], &bytes[2..]].concat();
    assert_eq!(decode(&posing), Err(DecodeError::Garbled));
}

#[test]
fn oversized_frames_are_refused_by_class() {
    for (class, limit) in [(0, CONTROL_LIMIT), (1, CATALOG_LIMIT)] {
        let mut bytes = vec![0; limit + 1];
        (bytes[0], bytes[1]) = (VERSION, class);
        assert_eq!(decode(&bytes), Err(DecodeError::Oversized));
    }
    let doc = "x".repeat(CATALOG_LIMIT);
    let push = PeerMessage::CatalogPush(CatalogPush { revision: 1, doc });
    assert!(encode(&name(), &push).is_err());
}

// A length of 2^63 in a few bytes must not be allocated: it asks for more items than bytes follow.
#[test]
fn a_length_beyond_the_bytes_is_an_error() {
    let text = encode(&name(), &PeerMessage::MembersPush(Vec::new())).unwrap().bytes;
    let mut bytes = text[..text.len() - 1].to_vec();
    bytes.extend([0xff; 8]);
    bytes.push(0x7f);
    assert_eq!(decode(&bytes), Err(DecodeError::Garbled));
}

#[test]
fn too_many_items_are_refused() {
    let updates = vec![Update::Node(claim()); 65];
    let (moment, state) = (moment(), NodeState::Ready);
    let heartbeat =
        Heartbeat { moment, state, location: None, revision: 0, usage: Vec::new(), updates };
    let bytes = encode(&name(), &PeerMessage::Heartbeat(heartbeat)).unwrap().bytes;
    assert_eq!(decode(&bytes), Err(DecodeError::Oversized));
}

#[test]
fn random_bytes_never_panic() {
    for run in 0..RUNS {
        let mut g = Gen::from_size_and_seed(200, SEED + run);
        let body = Vec::<u8>::arbitrary(&mut g);
        let class = u8::from(bool::arbitrary(&mut g));
        _ = decode(&body);
        _ = decode(&[&[VERSION, class][..], &body].concat());
    }
}

#[test]
fn flipped_bytes_never_panic() {
    let frames: Vec<_> =
        messages().iter().map(|m| encode(&name(), m).unwrap().bytes.to_vec()).collect();
    for run in 0..RUNS {
        let mut g = Gen::from_size_and_seed(200, SEED + run);
        let mut bytes = g.choose(&frames).unwrap().clone();
        for _ in 0..3 {
            let at = usize::arbitrary(&mut g) % bytes.len();
            bytes[at] = u8::arbitrary(&mut g);
        }
        _ = decode(&bytes);
    }
}
