//! Version moves: what the store and the other nodes say of them, and what they want done.

use {
    super::{Control, follow::Change},
    crate::{
        control::members::Membership,
        moves::Wish,
        records::Records,
        store::{Row, Store, Write},
        view::State,
    },
    bilberryfront_decide::{member::PeerMessage, mover::PeerNews},
    compact_str::CompactString,
    tokio::time::Instant,
};

impl<R: Records> Control<R> {
    /// Does what the version moves want.
    pub(super) fn step_moves<S: Store>(&mut self, store: &S) {
        for (service, to) in self.moves.wanted() {
            let runners = self.listing.runners();
            let new = runners.iter().filter(|r| r.service == service && r.version == to);
            let ready = new.filter(|r| r.state == State::Ready).count();
            self.moves.runners(&service, ready);
        }
        let name = self.membership.as_ref().map(Membership::name);
        let mut names: Vec<&CompactString> = self.nodes.iter().map(|n| &n.name).collect();
        names.sort_unstable();
        let rank = names.iter().position(|n| Some(*n) == name).unwrap_or(names.len());
        for wish in self.moves.tick(Instant::now(), rank, names.len()) {
            match wish {
                Wish::Tell(news) => self.tell_move(news),
                Wish::Write { record, expected } => {
                    let (key, value) = self.records.tell(&record);
                    let table = R::STATUS.into();
                    let expected = Some(expected);
                    let row = Write { table, key, value: Some(value), expected };
                    tokio::task::spawn_local(write_record(store.clone(), row));
                }
            }
        }
        let splits = self.moves.splits();
        if splits != self.splits {
            self.splits = splits;
            self.publish();
        }
    }

    fn tell_move(&self, news: PeerNews) {
        if let Some(membership) = &self.membership {
            membership.tell(&PeerMessage::Move(news));
        }
    }

    /// Takes a row of the operators' table that may order a move.
    pub(super) fn learn_order(&mut self, row: &Row) {
        let Some(value) = &row.value else { return };
        match self.records.order(&row.key, value) {
            Some(Ok(order)) => self.moves.order(Instant::now(), row.revision, order),
            Some(Err(error)) => log::warn!(key = row.key.as_str(); "a bad order: {error}"),
            None => {}
        }
    }

    pub(super) fn learn_status(&mut self, change: Change) {
        let (Change::Whole(rows) | Change::Rows(rows)) = change else { return };
        for row in &rows.rows {
            let value = row.value.as_deref().unwrap_or_default();
            match self.records.told(&row.key, value) {
                Some(Ok(record)) => self.moves.record(row.revision, record),
                Some(Err(error)) => log::warn!(key = row.key.as_str(); "a bad record: {error}"),
                None => {}
            }
        }
    }
}

/// Writes what is to be told of a move. A write that fails is wanted again by the move itself, at a node
/// whose turn it is.
async fn write_record<S: Store>(store: S, row: Write) {
    match store.write(std::slice::from_ref(&row)).await {
        Ok(_) => log::info!(key = row.key.as_str(); "told how a version move stands"),
        Err(error) => log::warn!(key = row.key.as_str(); "a move's record isn't written: {error}"),
    }
}
