//! Slots assigned by priority.

use {
    bilberryfront_standins::slots::{Occupancy, Slots},
    futures_util::poll,
    std::{pin::pin, sync::Arc},
};

/// Two callers wait for one slot and a third has given up. The one with the higher priority gets the
/// slot although it arrived later, and the one that gave up gets none.
#[tokio::test]
async fn highest_priority_is_served_first() {
    let slots = Arc::new(Slots::new(1));
    let held = slots.acquire(0).await;
    let mut low = pin!(slots.acquire(1));
    let mut high = pin!(slots.acquire(5));
    assert!(poll!(&mut low).is_pending());
    assert!(poll!(&mut high).is_pending());
    {
        let mut cancelled = pin!(slots.acquire(9));
        assert!(poll!(&mut cancelled).is_pending());
    }
    assert_eq!(slots.occupancy(), Occupancy { running: 1, waiting: 2 });
    drop(held);
    assert!(poll!(&mut low).is_pending());
    drop(high.await);
    drop(low.await);
    assert_eq!(slots.occupancy(), Occupancy { running: 0, waiting: 0 });
}
