//! Prints answers as tables for people, or as JSON for programs.

use {
    super::{client::OutputFormat, write_line},
    crate::error::Result,
    serde_json::Value,
    std::io::Write,
};

const HEADER: [&str; 5] = ["KIND", "NAME", "VERSION", "IN FORCE", "SPEC"];

/// Prints documents as a table, or the whole answer as JSON.
pub(super) fn write_documents(
    out: &mut dyn Write,
    format: OutputFormat,
    answer: &Value,
    documents: &[Value],
) -> Result {
    if format == OutputFormat::Json {
        return write_line(out, format_args!("{answer:#}"));
    }
    let rows = documents.iter().map(document_cells);
    write_table(out, &HEADER, &rows.collect::<Vec<_>>())
}

/// Prints rows below a header. Each column is as wide as its longest cell.
pub(super) fn write_table<const N: usize>(
    out: &mut dyn Write,
    header: &[&str; N],
    rows: &[[String; N]],
) -> Result {
    let header = header.map(String::from);
    let widths: Vec<usize> = (0..N)
        .map(|column| {
            let cells = std::iter::once(&header).chain(rows);
            cells.map(|row| row[column].len()).max().unwrap_or_default()
        })
        .collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        write_line(out, line.trim_end())?;
    }
    Ok(())
}

/// Returns the cells of a document.
pub(super) fn document_cells(document: &Value) -> [String; 5] {
    [
        cell_text(&document["kind"]),
        cell_text(&document["metadata"]["name"]),
        cell_text(&document["metadata"]["resourceVersion"]),
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
    let in_force_count = domains
        .iter()
        .filter(|condition| condition["status"] == "True")
        .count();
    let unreachable: Vec<String> = domains
        .iter()
        .filter(|condition| condition["reason"] == "OutOfReach")
        .map(|condition| cell_text(&condition["domain"]))
        .collect();
    let out_of_reach = match unreachable.as_slice() {
        [] => String::new(),
        unreachable => format!(", out of reach: {}", unreachable.join(" ")),
    };
    format!("{in_force_count}/{}{out_of_reach}", domains.len())
}

/// Returns a value as text: a string without its quotes, and `-` for null.
pub(super) fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
