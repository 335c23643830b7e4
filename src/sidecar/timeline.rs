//! Timeline of one request, put together from the logs of all nodes for `mulberryctl explain`: the lines about the
//! request, and the changes of state that the nodes involved logged shortly before. See docs/OPERATIONS.md.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
};

/// Time before the start of a request, in microseconds, from which changes of state are included. A store outage or the
/// end of an upstream affects requests within seconds.
const CONTEXT_MICROS: u64 = 5_000_000;
/// Events that log a change of a node's state rather than a single request.
const STATE_EVENTS: [&str; 13] = [
    "departure",
    "document",
    "move",
    "omitted",
    "order",
    "peer",
    "record",
    "reload",
    "spread",
    "start",
    "stop",
    "store",
    "upstream",
];

/// A parsed line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The name of the event.
    pub event: String,
    /// The `key=value` pairs, as they were written.
    pub fields: String,
    /// The host whose node wrote the line.
    pub host: String,
    /// The time of writing, in microseconds since the Unix epoch.
    pub time_micros: u64,
}

impl Line {
    /// Parses a line. Returns `None` if it does not have the form of a log line.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let rest = &text[text.find("time=")? + "time=".len()..];
        let (time, rest) = rest.split_once(" host=")?;
        let (host, rest) = rest.split_once(" event=")?;
        let (event, fields) = rest.trim_end().split_once(' ')?;
        let (seconds, micros) = time.split_once('.')?;
        let (seconds, micros): (u64, u64) = (seconds.parse().ok()?, micros.parse().ok()?);
        Some(Self {
            event: event.into(),
            fields: fields.into(),
            host: host.into(),
            time_micros: seconds * 1_000_000 + micros,
        })
    }

    /// Returns the value of a field, or `None` if it is absent. A quoted value is cut off at its first space.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .fields
            .split(' ')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value)
    }

    fn is_state_event(&self) -> bool {
        STATE_EVENTS.contains(&self.event.as_str())
    }
}

/// Timeline of a request; `Display` writes one line for each event, with the time relative to the request's start.
#[derive(Debug)]
pub struct Timeline {
    start_micros: u64,
    lines: Vec<Line>,
}

impl Timeline {
    /// Creates the timeline of the request `id` from the lines of all nodes, in any order. Returns `None` if no line
    /// names the request.
    #[must_use]
    pub fn new(id: &str, lines: &[Line]) -> Option<Self> {
        let request_lines: Vec<&Line> = lines
            .iter()
            .filter(|line| line.field("id") == Some(id))
            .collect();
        let hosts: BTreeSet<&str> = request_lines
            .iter()
            .flat_map(|line| {
                let tried = line.field("hosts").unwrap_or_default().split(',');
                tried.chain([line.host.as_str()])
            })
            .collect();
        let ended = request_lines.iter().map(|line| line.time_micros).max()?;
        let start_micros = request_lines.iter().map(|line| start_micros(line)).min()?;
        let window = start_micros.saturating_sub(CONTEXT_MICROS)..=ended;
        let is_context = |line: &&Line| {
            line.is_state_event()
                && window.contains(&line.time_micros)
                && hosts.contains(line.host.as_str())
        };
        let mut selected: Vec<Line> = lines
            .iter()
            .filter(|line| line.field("id") == Some(id) || is_context(line))
            .cloned()
            .collect();
        selected.sort_by_key(|line| line.time_micros);
        Some(Self {
            start_micros,
            lines: selected,
        })
    }
}

/// Returns the time at which the logged activity started, in microseconds. Lines are written at its end, so the logged
/// durations are subtracted.
fn start_micros(line: &Line) -> u64 {
    let millis = |name| -> u64 {
        line.field(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    };
    let duration_ms = millis("waited_ms") + millis("took_ms");
    line.time_micros.saturating_sub(duration_ms * 1000)
}

impl Display for Timeline {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        for line in &self.lines {
            let sign = if line.time_micros < self.start_micros {
                '-'
            } else {
                '+'
            };
            let millis = line.time_micros.abs_diff(self.start_micros) / 1000;
            writeln!(
                f,
                "{sign}{}.{:03} {} {} {}",
                millis / 1000,
                millis % 1000,
                line.host,
                line.event,
                line.fields
            )?;
        }
        Ok(())
    }
}
