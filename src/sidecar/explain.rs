//! The timeline of one request over the logs of all nodes: the lines that name it, and what the nodes that it
//! met came to believe shortly before. See docs/OPERATIONS.md.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
};

/// How long before a request what nodes noted may have decided it, in microseconds: a store outage or the end of
/// an upstream shows within seconds.
const BEFORE_MICROS: u64 = 5_000_000;
/// The events that change what a node believes, and that touch no single request.
const BELIEFS: [&str; 12] = [
    "document", "move", "omitted", "order", "peer", "record", "reload", "spread", "start", "stop",
    "store", "upstream",
];

/// A line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// What happened.
    pub event: String,
    /// The pairs of names and values, as they were written.
    pub fields: String,
    /// The host.
    pub host: String,
    /// When, in microseconds since the Unix epoch.
    pub micros: u64,
}

impl Line {
    /// Reads a line; nothing if it is of another form.
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
            micros: seconds * 1_000_000 + micros,
        })
    }

    /// Gives the value of a field; quoted ones are given up to their first space.
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

    fn is_belief(&self) -> bool {
        BELIEFS.contains(&self.event.as_str())
    }
}

/// The timeline of a request.
#[derive(Debug)]
pub struct Timeline {
    began: u64,
    lines: Vec<Line>,
}

impl Timeline {
    /// Puts the timeline of a request together; nothing if no line names it.
    #[must_use]
    pub fn new(id: &str, lines: &[Line]) -> Option<Self> {
        let own: Vec<&Line> = lines
            .iter()
            .filter(|line| line.field("id") == Some(id))
            .collect();
        let hosts: BTreeSet<&str> = own
            .iter()
            .flat_map(|line| {
                let tried = line.field("hosts").unwrap_or_default().split(',');
                tried.chain([line.host.as_str()])
            })
            .collect();
        let ended = own.iter().map(|line| line.micros).max()?;
        let began = own.iter().map(|line| began(line)).min()?;
        let window = began.saturating_sub(BEFORE_MICROS)..=ended;
        let decides = |line: &&Line| {
            line.is_belief() && window.contains(&line.micros) && hosts.contains(line.host.as_str())
        };
        let mut chosen: Vec<Line> = lines
            .iter()
            .filter(|line| line.field("id") == Some(id) || decides(line))
            .cloned()
            .collect();
        chosen.sort_by_key(|line| line.micros);
        Some(Self {
            began,
            lines: chosen,
        })
    }
}

/// When what a line tells of began: it is written at the end.
fn began(line: &Line) -> u64 {
    let millis = |name| -> u64 {
        line.field(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    };
    let lasted = millis("waited_ms") + millis("took_ms");
    line.micros.saturating_sub(lasted * 1000)
}

impl Display for Timeline {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        for line in &self.lines {
            let sign = if line.micros < self.began { '-' } else { '+' };
            let millis = line.micros.abs_diff(self.began) / 1000;
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
