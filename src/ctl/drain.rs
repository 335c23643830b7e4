//! `mulberryctl drain`: have the upstream beside a node take no new work.

use {
    super::{
        client::{Client, options},
        parse, show, usage,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    let brief = "Usage: mulberryctl drain --node ADDR [OPTIONS]

The upstream beside that node takes no new work; what runs is finished.";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    // Which upstream drains must be said outright, and be one only.
    let nodes = matches.opt_strs("node");
    if nodes.len() != 1 || nodes[0].contains(',') || !matches.free.is_empty() {
        return Err(usage("one --node is needed, and nothing else".into()));
    }
    Client::open(&matches)?.write("POST", "/v1/drain", "")?;
    show(out, "draining")
}
