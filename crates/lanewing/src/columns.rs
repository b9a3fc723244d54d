//! Formats the lists of a JSON answer in aligned columns.
use std::collections::HashMap;
use tinyjson::JsonValue;

type Fields = HashMap<String, JsonValue>;

/// The lists that answers may contain and the columns of each, in the order of display.
const LISTS: [(&str, &[&str]); 6] = [
    ("rows", &["lane", "service", "version", "weight", "ceiling", "rank", "kind", "ttl_ms"]),
    ("origins", &["service", "address", "zone", "standing", "cap", "version"]),
    ("beats", &["service", "address", "zone", "mood", "occupancy", "cap", "age_ms"]),
    ("pairs", &["service", "origin", "understudy"]),
    ("controllers", &["controller", "cohort", "http", "zone"]),
    ("nodes", &["node", "role", "cohort", "http", "zone", "standing"]),
];

/// Separates two columns.
const COLUMN_GAP: &str = "  ";

/// The known lists of an answer as text, or `None` if it contains none of them.
pub fn format_lists(answer: &JsonValue) -> Option<String> {
    let fields: &Fields = answer.get()?;
    let format = |(name, columns): &(&str, &[&str])| {
        let rows: &Vec<JsonValue> = fields.get(*name)?.get()?;
        Some(format_list(name, columns, rows))
    };
    let lists: Vec<String> = LISTS.iter().filter_map(format).collect();
    (!lists.is_empty()).then(|| lists.join("\n"))
}

fn format_list(name: &str, columns: &[&str], rows: &[JsonValue]) -> String {
    let header = columns.iter().map(|column| column.to_string()).collect();
    let mut lines: Vec<Vec<String>> = vec![header];
    lines.extend(rows.iter().map(|row| cells(row, columns)));
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let body: Vec<String> = lines.iter().map(|line| align(line, &widths)).collect();
    format!("{name} ({})\n{}\n", rows.len(), body.join("\n"))
}

fn cells(row: &JsonValue, columns: &[&str]) -> Vec<String> {
    let fields = row.get::<Fields>();
    columns.iter().map(|column| cell(fields.and_then(|fields| fields.get(*column)))).collect()
}

fn cell(value: Option<&JsonValue>) -> String {
    match value {
        Some(JsonValue::String(text)) => text.clone(),
        Some(other) => other.stringify().unwrap_or_default(),
        None => "-".into(),
    }
}

fn align(line: &[String], widths: &[usize]) -> String {
    let padded = line.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    padded.collect::<Vec<_>>().join(COLUMN_GAP).trim_end().to_string()
}

#[cfg(test)]
mod tests;
