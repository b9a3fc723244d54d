//! Tests of translating a JSON Patch into changes.
use super::*;

#[test]
fn given_a_patch_when_planned_then_there_is_one_change_for_each_row_that_differs_and_no_other() {
    let table = r#"{"rows": [
        {"lane": "a", "service": "x", "version": 3, "weight": 1, "ceiling": 5, "rank": 0, "kind": "read", "ttl_ms": 1},
        {"lane": "a", "service": "y", "version": 7, "weight": 1, "ceiling": 5, "rank": 0, "kind": "read", "ttl_ms": 1},
        {"lane": "b", "service": "x", "version": 2, "weight": 1, "ceiling": 5, "rank": 0, "kind": "read", "ttl_ms": 1}]}"#;
    let patch = r#"[{"op": "test", "path": "/a/x/weight", "value": 1},
        {"op": "replace", "path": "/a/x/weight", "value": 4},
        {"op": "remove", "path": "/a/y"},
        {"op": "copy", "from": "/b", "path": "/c"}]"#;
    let (before, versions) = document(&serde_json::from_str(table).unwrap());
    let mut after = before.clone();
    let patch: json_patch::Patch = serde_json::from_str(patch).unwrap();
    json_patch::patch(&mut after, &patch).unwrap();
    let planned = changes(&before, &after, &versions, "p");
    let texts: Vec<String> = planned.iter().map(|change| change.to_string()).collect();
    assert_eq!(planned.len(), 3, "{texts:?}");
    assert_eq!(planned[0]["row"]["expect"], 3);
    assert_eq!(planned[0]["row"]["weight"], 4);
    assert_eq!(planned[1]["delete"]["expect"], 7);
    assert_eq!(
        (&planned[2]["row"]["lane"], &planned[2]["row"]["expect"]),
        (&Value::from("c"), &Value::from(0))
    );
    for text in texts {
        control_state::parse_change(&Look::at(&parse(&text).unwrap(), "")).unwrap();
    }
}
