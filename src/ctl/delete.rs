//! `mulberryctl delete`: delete one resource.

use {
    super::{
        apply::retry_until_known,
        client::{Client, add_options, encode_segment},
        parse_options, usage, write_line,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut options = Options::new();
    add_options(&mut options);
    options.optopt(
        "",
        "resource-version",
        "delete only if the resource is at this version",
        "N",
    );
    options.optopt(
        "",
        "operation",
        "an id under which the request can be repeated safely",
        "ID",
    );
    let brief = "Usage: mulberryctl delete KIND NAME [OPTIONS]";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    let [kind, name] = matches.free.as_slice() else {
        return Err(usage("a kind and a name are required".into()));
    };
    let operation_id = super::apply::operation_id(&matches);
    let mut path = format!(
        "/v1/{}/{}?operation={}",
        encode_segment(kind),
        encode_segment(name),
        encode_segment(&operation_id)
    );
    if let Some(version) = matches.opt_str("resource-version") {
        path.push_str("&resourceVersion=");
        path.push_str(&encode_segment(&version));
    }
    let client = Client::from_matches(&matches)?;
    let answer = retry_until_known(&operation_id, |retried| {
        let again = if retried || matches.opt_present("operation") {
            "&again=true"
        } else {
            ""
        };
        client.write("DELETE", &format!("{path}{again}"), "")
    })?;
    write_line(
        out,
        format_args!("deleted as {}", answer["resourceVersion"]),
    )
}
