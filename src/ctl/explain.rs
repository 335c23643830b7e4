//! `mulberryctl explain`: show the history of one request from the nodes' logs.

use {
    super::{parse_options, usage, write_line},
    crate::{
        error::{Error, Result},
        sidecar::timeline::{Line, Timeline},
    },
    getopts::Options,
    std::io::{Read, Write},
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let brief = "Usage: mulberryctl explain ID [FILE]...

Shows the lines of the nodes' logs that concern a request, and the state changes shortly before it at the
nodes that it passed. Reads standard input if no file is named.";
    let Some(matches) = parse_options(&mut Options::new(), brief, arguments, out)? else {
        return Ok(());
    };
    let Some((id, files)) = matches.free.split_first() else {
        return Err(usage("the id of a request is required".into()));
    };
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = Vec::new();
        let read = std::io::stdin().read_to_end(&mut text);
        read.map_err(|source| read_error("standard input", source))?;
        lines.extend(parse_lines(&text));
    }
    for file in files {
        let text = std::fs::read(file).map_err(|source| read_error(file, source))?;
        lines.extend(parse_lines(&text));
    }
    match Timeline::new(id, &lines) {
        Some(timeline) => write_line(out, timeline.to_string().trim_end()),
        None => Err(usage(format!(
            "no line names `{id}`: look at other nodes' logs, and for `event=omitted`"
        ))),
    }
}

fn parse_lines(text: &[u8]) -> Vec<Line> {
    let text = String::from_utf8_lossy(text);
    text.lines().filter_map(Line::parse).collect()
}

fn read_error(path: &str, source: std::io::Error) -> Error {
    Error::File {
        step: "read",
        path: path.into(),
        source,
    }
}
