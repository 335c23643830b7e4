//! The log: structured lines on standard output, written by a thread of their own so that a slow reader never
//! holds a request up. Lines beyond the rate are counted and left out, oldest kept. See docs/OPERATIONS.md.

use {
    crate::world::{Host, Moment},
    std::{
        cell::RefCell,
        fmt::{Arguments, Write as _},
        io::Write as _,
        time::Duration,
    },
    tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard},
};

/// The most lines in a second: several for each request that a small host takes.
const LINES_PER_SECOND: u32 = 500;
/// The batches that may wait for the writer: some seconds' worth.
const BATCHES_MAX: usize = 256;
/// The size at which a batch is handed to the writer before its time, in bytes: below what a pipe takes whole, so
/// that lines of several processes on one pipe do not mix.
const BATCH_BYTES: usize = 3500;

struct State {
    batch: String,
    lines: u32,
    omitted: u64,
    second: u64,
    writer: NonBlocking,
}

/// A node's log.
pub struct Log {
    _guard: WorkerGuard,
    host: Host,
    state: RefCell<State>,
}

impl Log {
    /// Opens the log of a host's node, which writes to `output`.
    pub fn open(host: Host, output: impl std::io::Write + Send + 'static) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(BATCHES_MAX)
            .finish(output);
        Self {
            _guard: guard,
            host,
            state: RefCell::new(State {
                batch: String::new(),
                lines: 0,
                omitted: 0,
                second: 0,
                writer,
            }),
        }
    }

    /// Writes one line about an event; `fields` are pairs of a name and a value.
    pub fn line(&self, now: Moment, event: &str, fields: Arguments) {
        let mut state = self.state.borrow_mut();
        let second = now.0 / 1_000_000;
        if second != state.second {
            state.second = second;
            state.lines = 0;
        }
        if state.lines >= LINES_PER_SECOND {
            state.omitted += 1;
            return;
        }
        state.lines += 1;
        let omitted = std::mem::take(&mut state.omitted);
        if omitted > 0 {
            put(
                &mut state.batch,
                &self.host,
                now,
                "omitted",
                format_args!("lines={omitted}"),
            );
        }
        put(&mut state.batch, &self.host, now, event, fields);
        if state.batch.len() >= BATCH_BYTES {
            state.flush();
        }
    }

    /// Hands what was collected to the writer.
    pub fn flush(&self) {
        self.state.borrow_mut().flush();
    }
}

/// The period at which the log is flushed.
pub const FLUSH: Duration = Duration::from_millis(250);

impl State {
    fn flush(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        // The writer drops what does not fit and counts it; it never fails.
        let _ = self.writer.write_all(self.batch.as_bytes());
        self.batch.clear();
    }
}

fn put(batch: &mut String, host: &Host, now: Moment, event: &str, fields: Arguments) {
    let (seconds, micros) = (now.0 / 1_000_000, now.0 % 1_000_000);
    // Writing to a string does not fail.
    let _ = writeln!(
        batch,
        "time={seconds}.{micros:06} host={host} event={event} {fields}"
    );
}
