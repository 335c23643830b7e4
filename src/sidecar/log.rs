//! Structured log of a node, in lines of `key=value` fields. See docs/OPERATIONS.md.
//!
//! A separate thread writes the output, so that a slow reader never delays a request. The number of lines in each
//! second is limited: the first ones are kept, those beyond the limit are dropped, and a later line states how many.

use {
    crate::types::{Host, Moment},
    std::{
        cell::RefCell,
        fmt::{Arguments, Write as _},
        io::Write as _,
        time::Duration,
    },
    tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard},
};

/// Maximum number of lines in a second; enough for several per request on a small host.
const LINES_PER_SECOND: u32 = 500;
/// Maximum number of batches that wait for the writer; enough for some seconds of log.
const BATCHES_MAX: usize = 256;
/// Batch size, in bytes, at which a batch is passed to the writer before the next flush. It is below the size that a
/// pipe accepts atomically, so that the lines of several processes on one pipe do not mix.
const BATCH_BYTES: usize = 3500;

struct State {
    batch: String,
    lines: u32,
    omitted: u64,
    second: u64,
    writer: NonBlocking,
}

/// Log of a node.
pub struct Log {
    _guard: WorkerGuard,
    host: Host,
    state: RefCell<State>,
}

impl Log {
    /// Creates the log of the node on `host` and starts the thread that writes to `output`.
    pub fn new(host: Host, output: impl std::io::Write + Send + 'static) -> Self {
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

    /// Adds a line about an event. `fields` are `key=value` pairs, separated by spaces. The line is dropped and counted
    /// if the limit of this second is reached.
    pub fn record(&self, now: Moment, event: &str, fields: Arguments) {
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
            write_line(
                &mut state.batch,
                &self.host,
                now,
                "omitted",
                format_args!("lines={omitted}"),
            );
        }
        write_line(&mut state.batch, &self.host, now, event, fields);
        if state.batch.len() >= BATCH_BYTES {
            state.flush();
        }
    }

    /// Passes the collected lines to the writer.
    pub fn flush(&self) {
        self.state.borrow_mut().flush();
    }
}

/// Interval at which the log is flushed.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

impl State {
    fn flush(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        // The writer drops and counts batches that do not fit its queue; it never fails.
        let _ = self.writer.write_all(self.batch.as_bytes());
        self.batch.clear();
    }
}

fn write_line(batch: &mut String, host: &Host, now: Moment, event: &str, fields: Arguments) {
    let (seconds, micros) = (now.0 / 1_000_000, now.0 % 1_000_000);
    // Writing to a `String` does not fail.
    let _ = writeln!(
        batch,
        "time={seconds}.{micros:06} host={host} event={event} {fields}"
    );
}
