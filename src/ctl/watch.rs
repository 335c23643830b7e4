//! `mulberryctl watch`: show changes as they happen, or those of one rollout until it ends. A watch
//! that is cut off is resumed from the last bookmark.

use {
    super::{
        client::{Client, OutputFormat, add_options, encode_segment, parse_answer},
        parse_options, table, usage, write_line,
    },
    crate::error::{Error, Result},
    getopts::Options,
    serde_json::Value,
    std::{
        io::{BufRead, BufReader, Write},
        thread,
        time::Duration,
    },
};

/// Wait before a watch that was cut off is resumed.
const RESUME_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of times that a watch is resumed without a line in between.
const RESUMES_MAX: u32 = 30;

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut options = Options::new();
    add_options(&mut options);
    options.optopt(
        "",
        "resource-version",
        "show only changes after this version",
        "N",
    );
    options.optopt("", "timeout", "end after this many seconds", "SECONDS");
    let brief = "Usage: mulberryctl watch KIND [NAME] [OPTIONS]

A watch of one rollout ends when the rollout is completed (exit code 0) or rolled back (1).";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    let (kind, name) = match matches.free.as_slice() {
        [kind] => (kind, None),
        [kind, name] => (kind, Some(name)),
        _ => return Err(usage("a kind and optionally a name are required".into())),
    };
    let name = name.map_or_else(String::new, |name| format!("/{}", encode_segment(name)));
    let mut watch = Watch {
        client: Client::from_matches(&matches)?,
        ends_with_rollout: kind == "rollout" && !name.is_empty(),
        format: OutputFormat::from_matches(&matches)?,
        path: format!("/v1/{}{name}?watch=true", encode_segment(kind)),
        since: matches.opt_str("resource-version"),
        timeout: matches.opt_str("timeout"),
    };
    watch.follow(out)
}

struct Watch {
    client: Client,
    ends_with_rollout: bool,
    format: OutputFormat,
    path: String,
    since: Option<String>,
    timeout: Option<String>,
}

/// What follows the end of a stream.
enum StreamEnd {
    Ended,
    Resume { received: bool },
}

impl Watch {
    fn follow(&mut self, out: &mut dyn Write) -> Result {
        let mut resumes = 0;
        loop {
            let failure = match self.stream(out) {
                Ok(StreamEnd::Ended) => return Ok(()),
                Ok(StreamEnd::Resume { received }) => {
                    resumes = if received { 0 } else { resumes };
                    None
                }
                Err(error @ Error::Peer { .. }) => Some(error),
                Err(error) => return Err(error),
            };
            resumes += 1;
            if resumes > RESUMES_MAX {
                return Err(failure.unwrap_or_else(|| {
                    watch_error("the stream ends without a line each time it is opened")
                }));
            }
            thread::sleep(RESUME_DELAY);
        }
    }

    fn stream(&mut self, out: &mut dyn Write) -> Result<StreamEnd> {
        let mut path = self.path.clone();
        for (name, value) in [
            ("resourceVersion", &self.since),
            ("timeoutSeconds", &self.timeout),
        ] {
            if let Some(value) = value {
                path.extend(["&", name, "=", &encode_segment(value)]);
            }
        }
        let mut answer = self.client.stream(&path)?;
        let status = answer.status().as_u16();
        if status != 200 {
            let text = answer.body_mut().read_to_string();
            parse_answer(
                status,
                &text.map_err(|error| watch_error(&error.to_string()))?,
            )?;
        }
        let mut received = false;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let Ok(line) = line else {
                return Ok(StreamEnd::Resume { received });
            };
            received = true;
            if self.handle_line(out, &line)? {
                return Ok(StreamEnd::Ended);
            }
        }
        Ok(match self.timeout {
            Some(_) => StreamEnd::Ended,
            None => StreamEnd::Resume { received },
        })
    }

    /// Prints a line, and returns whether it is the last one.
    fn handle_line(&mut self, out: &mut dyn Write, line: &str) -> Result<bool> {
        let event: Value =
            serde_json::from_str(line).map_err(|error| watch_error(&error.to_string()))?;
        if self.format == OutputFormat::Json {
            write_line(out, line)?;
        }
        let object = &event["object"];
        match event["type"].as_str() {
            Some("BOOKMARK") => {
                self.since = Some(table::cell_text(&event["resourceVersion"]));
                return Ok(false);
            }
            Some("ERROR") => {
                parse_answer(410, &event["problem"].to_string())?;
            }
            _ => {}
        }
        if self.format == OutputFormat::Table {
            let kind = event["type"].as_str().unwrap_or("?");
            let progress = progress(object);
            let cells = table::document_cells(object).join("  ");
            write_line(out, format_args!("{kind:6}  {cells}{progress}"))?;
        }
        if !self.ends_with_rollout {
            return Ok(false);
        }
        match phase(object) {
            Some("Completed") => Ok(true),
            Some("RolledBack") => Err(Error::Refused {
                message: "the rollout was rolled back".into(),
            }),
            _ => Ok(event["type"] == "DELETE"),
        }
    }
}

/// Returns the progress of a rollout: its phase, and its new version's share of requests (in
/// permille) at the node that is watched.
fn progress(object: &Value) -> String {
    let phase = phase(object).unwrap_or_default();
    match object["status"]["progress"]["share"].as_u64() {
        Some(share) => format!("  {phase} {share}‰"),
        None if phase.is_empty() => String::new(),
        None => format!("  {phase}"),
    }
}

fn phase(object: &Value) -> Option<&str> {
    object["status"]["phase"].as_str()
}

fn watch_error(message: &str) -> Error {
    Error::Peer {
        step: "watch",
        peer: "the node".into(),
        message: message.into(),
    }
}
