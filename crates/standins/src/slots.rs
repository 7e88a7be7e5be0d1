//! Execution slots of a runner, assigned to waiters by priority.

use {
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::sync::oneshot,
};

/// A fixed number of slots.
pub struct Slots {
    total: u32,
    queue: Mutex<Queue>,
}

#[derive(Default)]
struct Queue {
    running: u32,
    arrivals: u64,
    waiting: BinaryHeap<Waiter>,
}

struct Waiter {
    priority: u8,
    arrival: u64,
    grant: oneshot::Sender<Slot>,
}

/// An acquired slot, released when dropped.
pub struct Slot(Option<Arc<Slots>>);

/// Number of slots in use and of waiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Acquired slots.
    pub running: u32,
    /// Callers that wait for a slot.
    pub waiting: u32,
}

impl Slots {
    /// Creates `total` free slots.
    pub fn new(total: u32) -> Slots {
        Slots { total, queue: Mutex::default() }
    }

    /// Waits for a slot. Higher priorities are served first, then earlier arrivals.
    pub async fn acquire(self: &Arc<Slots>, priority: u8) -> Slot {
        match self.try_acquire(priority) {
            Ok(slot) => slot,
            Err(granted) => granted.await.expect("a waiter stays in the queue until granted"),
        }
    }

    /// Returns the number of acquired slots and of waiters.
    pub fn occupancy(&self) -> Occupancy {
        let queue = self.lock();
        let waiting = queue.waiting.iter().filter(|waiter| !waiter.grant.is_closed()).count();
        Occupancy { running: queue.running, waiting: waiting as u32 }
    }

    /// Acquires a free slot, or else joins the queue.
    fn try_acquire(self: &Arc<Slots>, priority: u8) -> Result<Slot, oneshot::Receiver<Slot>> {
        let mut queue = self.lock();
        if queue.running < self.total {
            queue.running += 1;
            return Ok(Slot(Some(Arc::clone(self))));
        }
        let (grant, granted) = oneshot::channel();
        queue.arrivals += 1;
        let arrival = queue.arrivals;
        queue.waiting.push(Waiter { priority, arrival, grant });
        Err(granted)
    }

    /// Passes a released slot to the first waiter that has not given up.
    fn release(self: Arc<Slots>) {
        let mut queue = self.lock();
        while let Some(waiter) = queue.waiting.pop() {
            let Err(mut unclaimed) = waiter.grant.send(Slot(Some(Arc::clone(&self)))) else {
                return;
            };
            // Dropping it with a reference would call `release` again while the queue is locked.
            unclaimed.0 = None;
        }
        queue.running -= 1;
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder of this lock panics")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Waiter) -> Ordering {
        let key = |waiter: &Waiter| (waiter.priority, Reverse(waiter.arrival));
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Waiter) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Waiter) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Waiter {}
