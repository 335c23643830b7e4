//! `mulberryctl status`: show which revision each failure domain runs.

use {
    super::{
        client::{Client, OutputFormat, add_options},
        parse_options, table, usage, write_line,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut options = Options::new();
    add_options(&mut options);
    let brief = "Usage: mulberryctl status [OPTIONS]";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("unexpected argument `{extra}`")));
    }
    let format = OutputFormat::from_matches(&matches)?;
    let answer = Client::from_matches(&matches)?.get("/v1/status")?;
    if format == OutputFormat::Json {
        return write_line(out, format_args!("{answer:#}"));
    }
    let domains = answer["domains"].as_object().into_iter().flatten();
    let rows = domains.map(|(domain, coverage)| {
        let reached = if coverage["reached"] == true {
            "yes"
        } else {
            "no"
        };
        [
            domain.clone(),
            table::cell_text(&coverage["revision"]),
            reached.into(),
        ]
    });
    table::write_table(
        out,
        &["DOMAIN", "REVISION", "REACHED"],
        &rows.collect::<Vec<_>>(),
    )?;
    write_line(
        out,
        format_args!("this node runs revision {}", answer["resourceVersion"]),
    )
}
