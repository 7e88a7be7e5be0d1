//! Unit tests: lease, schedule, row, expiry of a share.

use {
    bilberryfront_decide::{
        id::Incarnation,
        mover::{
            MoveId, MoveRow, Share, Split, Weights,
            lease::{Lease, RENEW_AFTER, TAKE_OVER_AFTER, TTL},
            record::RowError,
            schedule::{MIN_SOAK, plan},
        },
    },
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
    tokio::time::Instant,
};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

/// Guards against two concurrent holders when a lease write is slow. The holder measures the lease
/// from when it sent the write, the other node from when it first saw the row, so the lease expires
/// at the holder first.
#[test]
fn holder_stops_before_another_may_take_over() {
    let zero = Instant::now();
    let (mut a, mut b) = (Lease::default(), Lease::default());
    a.observe(zero, 0, None);
    b.observe(zero, 0, None);
    let row = a.prepare_write(zero, A, 7);
    let seen = zero + Duration::from_millis(700);
    a.observe(seen, 1, Some(row));
    b.observe(seen, 1, Some(row));
    assert_eq!(a.fence(seen, A), Some(1));
    assert!(!a.is_due(seen, A) && a.is_due(zero + RENEW_AFTER, A));
    let end = zero + TTL;
    assert_eq!(a.fence(end, A), None);
    assert!(!b.is_due(end, B) && b.is_due(seen + TAKE_OVER_AFTER, B));
    assert_eq!(b.prepare_write(seen + TAKE_OVER_AFTER, B, 8).fence, 2);
}

/// A stale read that arrives after a newer one must not restore the older row.
#[test]
fn older_lease_row_is_ignored() {
    let zero = Instant::now();
    let mut a = Lease::default();
    a.observe(zero, 0, None);
    let row = a.prepare_write(zero, A, 7);
    a.observe(zero, 1, Some(row));
    let other = Lease::default().prepare_write(zero, B, 9);
    a.observe(zero, 2, Some(other));
    a.observe(zero, 1, Some(row));
    assert_eq!((a.fence(zero, A), a.holder()), (None, Some(B)));
}

#[test]
fn plan_fits_the_time_and_has_increasing_shares() {
    fn property(time: u16, rate: u8, on_time: u8, take_back: u8, extra_use: u8) -> bool {
        let time = Duration::from_secs(u64::from(time));
        let weights = Weights {
            on_time: f64::from(on_time),
            take_back: f64::from(take_back),
            extra_use: f64::from(extra_use),
        };
        let rate = f64::from(rate) / 10.0;
        let Ok(steps) = plan(time, rate, &weights, false) else { return true };
        let sum: u64 = steps.iter().map(|s| s.hold).sum();
        let soak = steps.last().map(|s| s.hold).unwrap_or_default();
        sum < time.as_millis() as u64
            && soak >= MIN_SOAK.as_millis() as u64
            && steps.is_sorted_by(|a, b| a.share < b.share)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(4_000, 3))
        .tests(2_000)
        .quickcheck(property as fn(u16, u8, u8, u8, u8) -> bool);
}

/// The earliest deadline that is reported to an operator must be sufficient.
#[test]
fn earliest_deadline_is_sufficient() {
    for rate in [0.05, 0.5, 2.0, 20.0, 2_000.0] {
        let error = plan(Duration::ZERO, rate, &Weights::default(), false).expect_err("no time");
        assert!(plan(error.earliest, rate, &Weights::default(), false).is_ok(), "{rate}");
    }
}

#[test]
fn invalid_rows_are_errors() {
    fn property(bytes: Vec<u8>) -> bool {
        let text = String::from_utf8(bytes);
        text.map_or(true, |t| MoveRow::parse(&t).is_err())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>) -> bool);
    assert_eq!(MoveRow::parse(&" ".repeat(9_000)), Err(RowError::Long(9_000)));
}

#[test]
fn share_expires_and_a_larger_one_contains_the_smaller() {
    let now = Instant::now();
    let until = Some(now + Duration::from_secs(1));
    let split = |share, until| Split {
        id: MoveId(1),
        from: "v1".into(),
        to: "v2".into(),
        share: Share(share),
        until,
    };
    for hash in 0..10_000 {
        let small = split(500, until).choose(now, hash);
        let large = split(5_000, until).choose(now, hash);
        assert!(large.new || !small.new);
        assert!(!split(9_000, until).choose(now + Duration::from_secs(1), hash).new);
        assert_eq!(split(0, None).version(split(0, None).choose(now, hash)), "v1");
    }
}
