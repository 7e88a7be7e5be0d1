//! Injection of the faults that were set for a stand-in.

use {
    crate::{
        faults::{Activity, After, Faults, OneShot},
        lagged::Clock,
    },
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// Faults of one stand-in, with the state that decides when they are injected.
#[derive(Default)]
pub struct FaultInjector {
    faults: watch::Sender<Faults>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    activity: Activity,
    /// Time at which `freeze` was set, if it is.
    frozen_at: Option<Instant>,
}

impl FaultInjector {
    /// Returns the faults as they were set.
    pub fn get(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Returns the faults that are active now: all of them, or none if their condition is not met.
    pub fn active(&self) -> Faults {
        let faults = self.get();
        match self.is_active(&faults) {
            true => faults,
            false => Faults::default(),
        }
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        let mut state = self.lock();
        state.frozen_at = faults.freeze.then(|| state.frozen_at.unwrap_or_else(Instant::now));
        drop(state);
        self.faults.send_replace(faults);
    }

    /// Updates the activity on which the condition of the faults depends.
    pub fn update_activity(&self, change: impl FnOnce(&mut Activity)) {
        change(&mut self.lock().activity);
    }

    /// Returns the current time and the time visible to readers, which stops while `freeze` is set.
    pub fn clock(&self) -> Clock {
        let frozen_at = self.lock().frozen_at;
        let now = Instant::now();
        Clock { now, visible: frozen_at.unwrap_or(now) }
    }

    /// Returns a fault if it is active and `applies`, and clears it if it is one-shot.
    pub fn take<T: OneShot + Clone>(
        &self,
        field: impl Fn(&mut Faults) -> &mut Option<T>,
        applies: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let mut injected = None;
        self.faults.send_if_modified(|faults| {
            if !self.is_active(faults) {
                return false;
            }
            let field = field(faults);
            injected = field.as_ref().filter(|fault| applies(fault)).cloned();
            let clear = injected.as_ref().is_some_and(OneShot::is_one_shot);
            if clear {
                *field = None;
            }
            clear
        });
        injected
    }

    /// Returns whether a fault is to be injected into a stream that has written `tokens`; clears it
    /// if it is one-shot.
    pub fn take_at(&self, tokens: u32, field: impl Fn(&mut Faults) -> &mut Option<After>) -> bool {
        self.take(field, |after| after.tokens <= tokens).is_some()
    }

    /// Waits while `pause` is set.
    pub async fn wait_while_paused(&self) {
        self.wait_until(|faults| !faults.pause).await;
    }

    /// Waits until `die` is set.
    pub async fn wait_until_killed(&self) {
        self.wait_until(|faults| faults.die).await;
    }

    /// Waits for the delay set by `slow`, if it is active.
    pub async fn delay(&self) {
        let slow = self.active().slow;
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
    }

    async fn wait_until(&self, condition: impl Fn(&Faults) -> bool) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| condition(faults)).await;
    }

    fn is_active(&self, faults: &Faults) -> bool {
        faults.when.is_met(&self.lock().activity)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}
