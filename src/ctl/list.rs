//! `mulberryctl list`: show every resource of a kind.

use {
    super::{
        client::{Client, OutputFormat, add_options, encode_segment},
        parse_options, table, usage,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut options = Options::new();
    add_options(&mut options);
    let brief = "Usage: mulberryctl list KIND [OPTIONS]";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    let [kind] = matches.free.as_slice() else {
        return Err(usage("a kind is required".into()));
    };
    let format = OutputFormat::from_matches(&matches)?;
    let answer = Client::from_matches(&matches)?.get(&format!("/v1/{}", encode_segment(kind)))?;
    let items = answer["items"].as_array().cloned().unwrap_or_default();
    table::write_documents(out, format, &answer, &items)
}
