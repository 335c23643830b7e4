//! `mulberryctl get`: show one resource.

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
    let brief = "Usage: mulberryctl get KIND NAME [OPTIONS]";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    let [kind, name] = matches.free.as_slice() else {
        return Err(usage("a kind and a name are required".into()));
    };
    let format = OutputFormat::from_matches(&matches)?;
    let path = format!("/v1/{}/{}", encode_segment(kind), encode_segment(name));
    let document = Client::from_matches(&matches)?.get(&path)?;
    table::write_documents(out, format, &document, std::slice::from_ref(&document))
}
