//! Where a stream goes next, and where its copy is kept.

use {
    super::{Generation, copy::Backup, run::Run},
    crate::{
        dialect::{Copy, Dialect},
        fleet::{Load, Place, Wanted},
        flow::version,
        network::Network,
    },
    futures_util::future::join_all,
    tokio::time::Instant,
};

impl<D: Dialect, N: Network> Generation<D, N> {
    /// The holder of the last run's copy, or else the best runner.
    ///
    /// Copies go to addresses: one that was sent to a runner that had just started anew is there under
    /// its new id. If it isn't, the runner says so at once.
    pub(super) fn next_place(&mut self) -> Option<(Place, Option<Copy>)> {
        let fleet = &self.traffic.exchange.fleet;
        if let Some((place, copy)) = self.copy.take() {
            match fleet.at(&place).filter(|holder| !fleet.is_avoided(holder.key)) {
                Some(holder) => return Some((holder, Some(copy))),
                None => log::info!(request = self.call.head.id.as_str(),
                    runner = place.id.as_str(); "the holder of a copy is gone or in trouble"),
            }
        }
        Some((self.choose()?, None))
    }

    /// Has a run's memory copied to another runner when the holder of its copy is lost, or it has none.
    pub(super) fn renew_backup(&self, run: &mut Run) {
        let exchange = &self.traffic.exchange;
        let sound = |b: &Backup| b.is_new() || !exchange.fleet.is_lost(b.holder().key);
        if run.backup().is_some_and(sound) {
            return;
        }
        let Some(holder) = self.choose_backup(run.place()) else { return };
        let Some(kept) = self.traffic.engine(&self.call).map(|e| e.kept) else { return };
        let memory = self.size().total();
        let lease = exchange.fleet.lease(holder, Load { memory, ..Load::default() });
        let (id, source) = (self.call.head.id.clone(), run.place().clone());
        run.set_backup(Some(Backup::asked(exchange.clone(), lease, id, source, kept)));
    }

    /// A runner that hasn't failed this stream, or else any.
    fn choose(&self) -> Option<Place> {
        self.traffic
            .choose(&self.call, &self.failed)
            .or_else(|| self.traffic.choose(&self.call, &[]))
    }

    /// Where the run's memory is copied to: another failure domain, since one mostly goes down as a
    /// whole. Its holder is one of the prompt's homes: a stream that went on there is found again when this
    /// node is lost too.
    pub(super) fn choose_backup(&self, place: &Place) -> Option<Place> {
        if !self.is_resumable() || !self.traffic.engine(&self.call)?.backups {
            return None;
        }
        let mut except = self.failed.clone();
        except.push(place.key);
        let wanted = self.traffic.wanted(&self.call, &except);
        let away = Some(place.domain.as_str());
        let view = self.traffic.published.load();
        let version = version(&view, &self.call);
        let wanted = Wanted { away, version, steady: true, ..wanted };
        self.traffic.exchange.fleet.choose(&wanted)
    }

    /// The runner that has this prompt in its cache, if a caller comes back with a stream that another
    /// node has begun: there it goes on within some 50 ms, anywhere else the prompt is read again.
    pub(super) async fn find_cached(&self) -> Option<Place> {
        let (Some(prompt), Some(_)) = (self.call.head.prompt, self.call.head.resume) else {
            return None;
        };
        let exchange = &self.traffic.exchange;
        let homes = exchange.fleet.homes(&self.traffic.wanted(&self.call, &[]));
        let asked = homes.iter().map(|place| exchange.cached(place, prompt));
        let held = join_all(asked).await.into_iter().zip(homes);
        let (tokens, place) = held.max_by_key(|(tokens, _)| *tokens)?;
        log::info!(request = self.call.head.id.as_str(), prompt, runner = place.id.as_str(), tokens;
            "looked for a prompt's cache");
        (tokens > 0).then_some(place)
    }

    /// Whether a stream with which a caller comes back can't go on before its patience ends. Reading its prompt
    /// anew would cost a runner a second, and those who wait behind it theirs, for nothing.
    pub(super) fn is_hopeless(&self, cached: bool) -> bool {
        let (Some(position), Some(end)) = (self.call.head.resume, self.call.patience_end()) else {
            return false;
        };
        let unread = if cached { 0 } else { self.size().prompt };
        let left = end.saturating_duration_since(Instant::now());
        let hopeless = self.traffic.pace(&self.call.service, |pace| pace.is_hopeless(unread, left));
        if hopeless {
            log::info!(request = self.call.head.id.as_str(), position, unread,
                left = left.as_millis() as u64; "a prompt can't be read in time");
        }
        hopeless
    }
}
