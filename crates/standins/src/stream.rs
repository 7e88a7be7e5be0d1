//! Response stream of one generation, as server-sent events.

use {
    crate::{
        faults::{After, Faults},
        log::EntryId,
        runner::{Ended, Runner},
        slots::Slot,
        text::Answer,
    },
    bilberryfront_wire::runner::{DONE, FINISH, Finish, Generate, Token},
    bytes::Bytes,
    futures_util::{Stream, stream},
    http_body::Frame,
    std::{
        future::pending,
        io::{self, Write as _},
        sync::Arc,
    },
    tokio::time::Instant,
    volo_http::error::BoxError,
};

/// Maximum tokens per part of the body.
const MAX_BATCH_TOKENS: u32 = 64;
/// Bytes of an invalid server-sent event.
const GARBAGE: &[u8] = b"data: {\"index\":\xff\xfe\n\n";

/// A part of the response body.
type Part = Result<Frame<Bytes>, BoxError>;

/// A running generation; it is cancelled if dropped before its end.
pub(crate) struct Generation {
    runner: Arc<Runner>,
    request: Generate,
    answer: Answer,
    finish: Finish,
    entry: EntryId,
    slot: Option<Slot>,
    /// Index of the next token.
    next: u32,
    /// Tokens written by this stream.
    written: u32,
    /// Time at which the last token was due; the next one is due after the configured pace.
    due: Instant,
    injected: Injected,
    ended: Option<Ended>,
}

/// Faults that are injected at most once per stream, and whether they have been.
#[derive(Default)]
struct Injected {
    skip: bool,
    repeat: bool,
    garbage: bool,
}

impl Generation {
    pub(crate) fn new(
        runner: Arc<Runner>,
        request: Generate,
        answer: Answer,
        entry: EntryId,
    ) -> Generation {
        Generation {
            finish: answer.finish(request.max_tokens),
            next: request.index,
            runner,
            request,
            answer,
            entry,
            slot: None,
            written: 0,
            due: Instant::now(),
            injected: Injected::default(),
            ended: None,
        }
    }

    /// Returns the response body.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Part> + Send + Sync + 'static {
        stream::unfold(self, async |mut generation| {
            let part = generation.next_part().await?;
            Some((part, generation))
        })
    }

    async fn next_part(&mut self) -> Option<Part> {
        if self.ended.is_some() {
            return None;
        }
        self.acquire_slot().await;
        self.wait_until_due().await;
        self.runner.faults.wait_while_paused().await;
        if let Some(end) = self.interrupt().await {
            return end;
        }
        let faults = self.runner.faults.active();
        let mut bytes = Vec::new();
        self.inject(&faults, &mut bytes);
        self.write_batch(&faults, &mut bytes);
        self.runner.calls.update(self.entry, |call| call.written = self.written);
        Some(Ok(Frame::data(Bytes::from(bytes))))
    }

    async fn acquire_slot(&mut self) {
        if self.slot.is_none() {
            self.slot = Some(self.runner.slots.acquire(self.request.priority).await);
            self.runner.record_load();
            self.due = Instant::now();
        }
    }

    /// Waits until the next token is due.
    async fn wait_until_due(&mut self) {
        if !self.runner.config.pace.is_zero() {
            tokio::time::sleep_until(self.due + self.runner.config.pace).await;
        }
        self.runner.faults.delay().await;
    }

    /// Stalls or ends the stream if such a fault is due. Returns the end of the body in that case.
    async fn interrupt(&mut self) -> Option<Option<Part>> {
        let faults = &self.runner.faults;
        if faults.take_at(self.written, |f| &mut f.stall) {
            pending::<()>().await;
        }
        if faults.take_at(self.written, |f| &mut f.end) {
            self.end(Ended::Early);
            return Some(None);
        }
        if faults.take_at(self.written, |f| &mut f.cut) {
            // The server flushes its buffer while the body is pending. Otherwise it would discard
            // tokens that are counted as written.
            tokio::task::yield_now().await;
            self.end(Ended::Cut);
            let failure = io::Error::from(io::ErrorKind::ConnectionAborted);
            return Some(Some(Err(failure.into())));
        }
        None
    }

    /// Writes garbage, skips a token or repeats one if such a fault is due.
    fn inject(&mut self, faults: &Faults, bytes: &mut Vec<u8>) {
        let injector = Arc::clone(&self.runner.faults);
        if !self.injected.garbage && injector.take_at(self.written, |f| &mut f.garbage) {
            self.injected.garbage = true;
            bytes.extend_from_slice(GARBAGE);
        }
        if !self.injected.skip && injector.take_at(self.written, |f| &mut f.skip) {
            self.injected.skip = true;
            self.next += 1;
        }
        if !self.injected.repeat && injector.take_at(self.written, |f| &mut f.repeat) {
            self.injected.repeat = true;
            self.write_token(faults, bytes);
            self.next -= 1;
        }
    }

    /// Writes the tokens that are due, up to the position of the next fault.
    fn write_batch(&mut self, faults: &Faults, bytes: &mut Vec<u8>) {
        let stop = self.next_fault(faults);
        let now = Instant::now();
        let pace = self.runner.config.pace;
        for _ in 0..MAX_BATCH_TOKENS {
            if self.next >= self.finish.tokens || self.written >= stop {
                break;
            }
            if !pace.is_zero() {
                if self.due + pace > now {
                    break;
                }
                self.due += pace;
            }
            self.write_token(faults, bytes);
            if faults.slow > 0 {
                break;
            }
        }
        if self.next >= self.finish.tokens && self.written < stop {
            self.write_finish(bytes);
        }
    }

    /// Returns the number of written tokens at which the next fault is due.
    fn next_fault(&self, faults: &Faults) -> u32 {
        let interrupts = [faults.cut, faults.stall, faults.end];
        let once_per_stream = [
            (faults.skip, self.injected.skip),
            (faults.repeat, self.injected.repeat),
            (faults.garbage, self.injected.garbage),
        ];
        let remaining = once_per_stream
            .into_iter()
            .filter(|(_, injected)| !injected)
            .map(|(position, _)| position);
        let positions = interrupts.into_iter().chain(remaining).flatten();
        positions.map(|After { tokens, .. }| tokens).min().unwrap_or(u32::MAX)
    }

    fn write_token(&mut self, faults: &Faults, bytes: &mut Vec<u8>) {
        let token = Token { index: self.next, text: self.answer.token(self.next) };
        let attempt = self.request.attempt + faults.shift;
        write!(bytes, "id: {attempt}:{}\ndata: ", token.index)
            .expect("writing to a vector cannot fail");
        serde_json::to_writer(&mut *bytes, &token).expect("a token always serializes");
        bytes.extend_from_slice(b"\n\n");
        self.next += 1;
        self.written += 1;
    }

    fn write_finish(&mut self, bytes: &mut Vec<u8>) {
        write!(bytes, "event: {FINISH}\ndata: ").expect("writing to a vector cannot fail");
        serde_json::to_writer(&mut *bytes, &self.finish).expect("a finish always serializes");
        write!(bytes, "\n\ndata: {DONE}\n\n").expect("writing to a vector cannot fail");
        self.end(Ended::Finished);
    }

    fn end(&mut self, ended: Ended) {
        self.ended = Some(ended);
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let ended = self.ended.unwrap_or(Ended::Cancelled);
        self.runner.calls.update(self.entry, |call| call.ended = Some(ended));
        self.slot = None;
        self.runner.record_load();
    }
}
