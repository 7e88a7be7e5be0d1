//! The decoder of peer messages with invalid bytes.

use {
    bilberryfront::peer::codec::{
        CATALOG_LIMIT, CONTROL_LIMIT, DecodeError, HEADER, LOADS_LIMIT, TABLE_LIMIT,
        THROTTLES_LIMIT, VERSION, decode, encode,
    },
    bilberryfront_decide::{
        admission::throttle::{MAX_KEY_BYTES, MAX_VALUE_BYTES},
        id::{Incarnation, StoreRevision},
        member::{
            MAX_UPDATES, PeerMessage,
            message::{
                BudgetReport, CatalogPush, Claim, DividedService, Extent, Heartbeat, Hint,
                HintKind, Load, Moment, NodeIncarnation, NodeLocation, NodeState, Notice,
                NoticeContent, Receipts, StoreReport, TableDigest, TableId, TablePull, TableRow,
                TableUpdate, Update, Usage,
            },
        },
        mover::{MoveEvidence, MoveId, MoveQuery, evidence::Evidence},
    },
    compact_str::CompactString,
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 0x5eed;
const CASES: u64 = 5_000;
/// Flag of a compressed frame in the class byte.
const COMPRESSED: u8 = 0x80;

fn moment() -> Moment {
    Moment {
        life: NodeIncarnation { epoch: 1_764_720_000_000, incarnation: Incarnation(u64::MAX) },
        beat: 9,
    }
}

fn claim() -> Claim {
    let location =
        NodeLocation { domain: "x-a".into(), url: "http://h:1".into(), peer: "10.0.0.1:2".into() };
    Claim { name: "b".into(), moment: moment(), state: NodeState::Gone, location: Some(location) }
}

/// Returns a table update with similar rows, as registrations of runners are.
fn table(rows: u64) -> TableUpdate {
    let row = |number| TableRow {
        key: format!("runner-{number}").into(),
        revision: StoreRevision::new(1, number),
        value: Some(format!("{{\"service\":\"llm\",\"born\":{number}}}").into_bytes()),
    };
    TableUpdate {
        table: TableId::Runners,
        revision: StoreRevision::new(1, rows),
        extent: Extent::Whole,
        grace_ms: 0,
        rows: (0..rows).map(row).collect(),
    }
}

/// Returns a notice with operators' limits whose keys and values have these sizes.
fn throttles(rows: usize, key: usize, value: usize) -> PeerMessage {
    let row = TableRow {
        key: "k".repeat(key).into(),
        revision: StoreRevision::new(1, 7),
        value: Some(vec![b'v'; value]),
    };
    let content = NoticeContent::Throttles(vec![row; rows]);
    PeerMessage::Notice(Notice { origin: "n1".into(), forward: true, content })
}

fn messages() -> Vec<PeerMessage> {
    let hint = Hint { runner: "r".into(), kind: HintKind::Lost };
    vec![
        PeerMessage::Heartbeat(Heartbeat {
            moment: moment(),
            state: NodeState::Ready,
            location: claim().location,
            revision: 3.into(),
            usage: vec![Usage { entry: "e".into(), account: "c".into(), running: 300 }],
            updates: vec![Update::Node(claim()), Update::Runner(hint)],
        }),
        PeerMessage::Revision(4.into()),
        PeerMessage::CatalogPull(u64::MAX.into()),
        PeerMessage::CatalogPush(CatalogPush {
            revision: 5.into(),
            doc: "{\"accounts\":[]}".into(),
        }),
        PeerMessage::MembersPull,
        PeerMessage::MembersPush(vec![claim(), claim()]),
        PeerMessage::Leave(moment()),
        PeerMessage::Claims(vec![claim()]),
        PeerMessage::Table(table(40)),
        PeerMessage::TablePull(TablePull {
            table: TableId::Runners,
            since: Some(StoreRevision::new(0, 7)),
            shard: Some(3),
        }),
        PeerMessage::StoreReport(StoreReport {
            available: true,
            digests: vec![TableDigest {
                table: TableId::Operators,
                revision: StoreRevision::new(2, 9),
                hash: 7,
                shard_hash: 8,
            }],
            services: vec![DividedService { service: "llm".into(), shards: 16 }],
            checker: Some(name()),
        }),
        PeerMessage::MoveQuery(MoveQuery { entry: "e".into(), id: MoveId(3) }),
        PeerMessage::MoveEvidence(MoveEvidence {
            entry: "e".into(),
            id: MoveId(3),
            is_complete: true,
            elapsed_ms: 400,
            bad: 7,
            nodes: vec![(Incarnation(9), Evidence::default())],
        }),
        throttles(2, 5, 9),
    ]
}

fn name() -> CompactString {
    "entry-1".into()
}

#[test]
fn every_message_survives_a_round_trip() {
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
fn trailing_bytes_are_an_error() {
    let mut bytes = encode(&name(), &PeerMessage::MembersPull).unwrap().bytes.to_vec();
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(DecodeError::Garbled));
}

#[test]
fn unknown_versions_and_classes_are_rejected() {
    let bytes = encode(&name(), &PeerMessage::Revision(1.into())).unwrap().bytes.to_vec();
    for version in (0..=u8::MAX).filter(|v| *v != VERSION) {
        let other = [&[version], &bytes[1..]].concat();
        assert_eq!(decode(&other), Err(DecodeError::Header));
    }
    let known = [0, 1, 2, COMPRESSED, COMPRESSED | 1, COMPRESSED | 2];
    for class in (0..=u8::MAX).filter(|class| !known.contains(class)) {
        let other = [&[VERSION, class], &bytes[2..]].concat();
        assert_eq!(decode(&other), Err(DecodeError::Header));
    }
    // A message must not use the size limit of a larger class.
    for class in [1, 2] {
        let other = [&[VERSION, class], &bytes[2..]].concat();
        assert_eq!(decode(&other), Err(DecodeError::Garbled));
    }
}

/// Guards against large messages when the registrations of hundreds of runners are sent to every
/// node of a failure domain.
#[test]
fn long_frames_are_compressed() {
    let frame = encode(&name(), &PeerMessage::Table(table(500))).unwrap();
    assert!(frame.bytes.len() < 500 * 20, "{} bytes", frame.bytes.len());
    assert_eq!(frame.bytes[1], COMPRESSED | 2);
}

/// Guards against a few bytes that expand beyond the size limit of their class.
#[test]
fn compressed_frames_are_bounded_by_their_expanded_size() {
    for (class, limit) in [(0, CONTROL_LIMIT), (1, CATALOG_LIMIT), (2, TABLE_LIMIT)] {
        let body = lz4_flex::compress_prepend_size(&vec![0; limit + 1]);
        let bytes = [&[VERSION, COMPRESSED | class], body.as_slice()].concat();
        assert_eq!(decode(&bytes), Err(DecodeError::Oversized));
    }
}

#[test]
fn oversized_frames_are_rejected_by_class() {
    for (class, limit) in [(0, CONTROL_LIMIT), (1, CATALOG_LIMIT), (2, TABLE_LIMIT)] {
        let mut bytes = vec![0; limit + 1];
        (bytes[0], bytes[1]) = (VERSION, class);
        assert_eq!(decode(&bytes), Err(DecodeError::Oversized));
    }
    let doc = "x".repeat(CATALOG_LIMIT);
    let push = PeerMessage::CatalogPush(CatalogPush { revision: 1.into(), doc });
    assert!(encode(&name(), &push).is_err());
}

// A length of 2^63 in a few bytes must not be allocated: it states more items than bytes follow.
#[test]
fn a_length_beyond_the_bytes_is_an_error() {
    let text = encode(&name(), &PeerMessage::MembersPush(Vec::new())).unwrap().bytes;
    let mut bytes = text[..text.len() - 1].to_vec();
    bytes.extend([0xff; 8]);
    bytes.push(0x7f);
    assert_eq!(decode(&bytes), Err(DecodeError::Garbled));
}

/// Guards against messages whose lists are longer than any sender makes them.
#[test]
fn too_many_items_are_rejected() {
    let heartbeat = |updates: usize, usage: usize| {
        let line = Usage { entry: "e".into(), account: "c".into(), running: 1 };
        PeerMessage::Heartbeat(Heartbeat {
            moment: moment(),
            state: NodeState::Ready,
            location: None,
            revision: 0.into(),
            usage: vec![line; usage],
            updates: vec![Update::Node(claim()); updates],
        })
    };
    let decoded = |message: &PeerMessage| decode(&encode(&name(), message).unwrap().bytes);
    let claims = |count: usize| PeerMessage::Claims(vec![claim(); count]);
    let largest = throttles(THROTTLES_LIMIT, MAX_KEY_BYTES, MAX_VALUE_BYTES);
    let receipts = |count: usize| {
        let receipts = Receipts { id: 1, received: vec![u32::MAX; count], is_awaited: true };
        let budgets = BudgetReport { uses: Vec::new(), receipts: Some(receipts) };
        PeerMessage::Load(Box::new(Load { budgets, ..Load::default() }))
    };
    let others = [claims(MAX_UPDATES), receipts(LOADS_LIMIT)];
    for message in [heartbeat(MAX_UPDATES, 64), largest].into_iter().chain(others) {
        assert_eq!(decoded(&message), Ok((name(), message)));
    }
    let too_many = [
        heartbeat(MAX_UPDATES + 1, 0),
        heartbeat(0, 65),
        claims(MAX_UPDATES + 1),
        receipts(LOADS_LIMIT + 1),
        throttles(THROTTLES_LIMIT + 1, 5, 9),
    ];
    for message in too_many {
        assert_eq!(decoded(&message), Err(DecodeError::Oversized));
    }
}

#[test]
fn random_bytes_never_panic() {
    for case in 0..CASES {
        let mut g = Gen::from_size_and_seed(200, SEED + case);
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
    for case in 0..CASES {
        let mut g = Gen::from_size_and_seed(200, SEED + case);
        let mut bytes = g.choose(&frames).unwrap().clone();
        for _ in 0..3 {
            let at = usize::arbitrary(&mut g) % bytes.len();
            bytes[at] = u8::arbitrary(&mut g);
        }
        _ = decode(&bytes);
    }
}
