//! Showing answers as sheets with columns.
use std::collections::HashMap;
use tinyjson::JsonValue;

type Map = HashMap<String, JsonValue>;

/// The lists of an answer and their columns, in the order they are shown.
const SHEETS: [(&str, &[&str]); 6] = [
    ("rows", &["lane", "service", "version", "weight", "ceiling", "rank", "kind", "ttl_ms"]),
    ("origins", &["service", "address", "zone", "standing", "cap", "version"]),
    ("beats", &["service", "address", "zone", "mood", "occupancy", "cap", "age_ms"]),
    ("pairs", &["service", "origin", "understudy"]),
    ("controllers", &["controller", "cohort", "http", "zone"]),
    ("nodes", &["node", "role", "cohort", "http", "zone", "standing"]),
];

fn cell(v: Option<&JsonValue>) -> String {
    match v {
        Some(JsonValue::String(s)) => s.clone(),
        Some(other) => other.stringify().unwrap_or_default(),
        None => "-".into(),
    }
}

/// The answer's lists as sheets; none if it has no list that is known.
pub fn sheets(v: &JsonValue) -> Option<String> {
    let m: &Map = v.get()?;
    let known = SHEETS.iter().filter_map(|(name, cols)| {
        let rows: &Vec<JsonValue> = m.get(*name)?.get()?;
        Some(sheet(name, cols, rows))
    });
    let all: Vec<String> = known.collect();
    (!all.is_empty()).then(|| all.join("\n"))
}

fn sheet(name: &str, cols: &[&str], rows: &[JsonValue]) -> String {
    let line = |r: &JsonValue| -> Vec<String> {
        let m = r.get::<Map>();
        cols.iter().map(|c| cell(m.and_then(|m| m.get(*c)))).collect()
    };
    let mut lines: Vec<Vec<String>> = vec![cols.iter().map(|c| c.to_string()).collect()];
    lines.extend(rows.iter().map(line));
    let wide = |i: usize| lines.iter().map(|l| l[i].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..cols.len()).map(wide).collect();
    let print = |l: &Vec<String>| {
        let cells = l.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    let body: Vec<String> = lines.iter().map(print).collect();
    format!("{name} ({})\n{}\n", rows.len(), body.join("\n"))
}

#[cfg(test)]
mod tests {
    #[test]
    fn given_an_answer_with_lists_then_each_is_a_sheet_with_its_columns_in_line() {
        let v = r#"{"rows": [{"lane": "a", "service": "long-name", "version": 12}], "era": 3}"#;
        let s = super::sheets(&v.parse().unwrap()).unwrap();
        let lines: Vec<&str> = s.lines().collect();
        assert_eq!(lines[0], "rows (1)");
        assert!(lines[1].starts_with("lane  service    version  weight"));
        assert_eq!(lines[2], "a     long-name  12       -       -        -     -     -");
    }
}
