//! `mulberryctl drain`: stop new requests to the upstream on a node's host.

use {
    super::{
        client::{Client, add_options},
        parse_options, usage, write_line,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut options = Options::new();
    add_options(&mut options);
    let brief = "Usage: mulberryctl drain --node ADDR [OPTIONS]

The upstream on that node's host gets no new requests; running ones are finished.";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    // There is no default here: the node must be named, and only one, so that no other upstream is
    // drained by mistake.
    let nodes = matches.opt_strs("node");
    if nodes.len() != 1 || nodes[0].contains(',') || !matches.free.is_empty() {
        return Err(usage(
            "exactly one --node and no argument is required".into(),
        ));
    }
    Client::from_matches(&matches)?.write("POST", "/v1/drain", "")?;
    write_line(out, "draining")
}
