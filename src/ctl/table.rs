//! Prints answers as tables for people, or as JSON for programs.

use {
    super::{client::Form, show},
    crate::error::Result,
    serde_json::Value,
    std::io::Write,
};

const HEAD: [&str; 5] = ["KIND", "NAME", "VERSION", "IN FORCE", "SPEC"];

/// Prints documents as a table, or the whole answer as JSON.
pub(super) fn documents(out: &mut dyn Write, form: Form, answer: &Value, list: &[Value]) -> Result {
    if form == Form::Json {
        return show(out, format_args!("{answer:#}"));
    }
    let rows = list.iter().map(row);
    rows_of(out, &HEAD, &rows.collect::<Vec<_>>())
}

/// Prints rows below a header. Each column is as wide as its longest cell.
pub(super) fn rows_of<const N: usize>(
    out: &mut dyn Write,
    head: &[&str; N],
    rows: &[[String; N]],
) -> Result {
    let head = head.map(String::from);
    let widths: Vec<usize> = (0..N)
        .map(|column| {
            let cells = std::iter::once(&head).chain(rows);
            cells.map(|row| row[column].len()).max().unwrap_or_default()
        })
        .collect();
    for row in std::iter::once(&head).chain(rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        show(out, line.trim_end())?;
    }
    Ok(())
}

/// Returns the cells of a document.
pub(super) fn row(document: &Value) -> [String; 5] {
    [
        text(&document["kind"]),
        text(&document["metadata"]["name"]),
        text(&document["metadata"]["resourceVersion"]),
        in_force(&document["status"]),
        document["spec"].to_string(),
    ]
}

/// Returns the number of failure domains in which a resource is in force, of all, and the names of
/// those out of reach.
fn in_force(status: &Value) -> String {
    let conditions = status["conditions"].as_array();
    let domains: Vec<&Value> = conditions
        .into_iter()
        .flatten()
        .filter(|condition| condition["type"] == "InForce")
        .collect();
    let held = domains
        .iter()
        .filter(|condition| condition["status"] == "True")
        .count();
    let lost: Vec<String> = domains
        .iter()
        .filter(|condition| condition["reason"] == "OutOfReach")
        .map(|condition| text(&condition["domain"]))
        .collect();
    let out_of_reach = match lost.as_slice() {
        [] => String::new(),
        lost => format!(", out of reach: {}", lost.join(" ")),
    };
    format!("{held}/{}{out_of_reach}", domains.len())
}

/// Returns a value as text: a string without its quotes, and `-` for null.
pub(super) fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
