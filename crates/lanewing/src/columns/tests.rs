//! Tests of formatting lists in columns.

#[test]
fn given_an_answer_with_lists_when_formatted_then_each_list_has_aligned_columns() {
    let answer = r#"{"rows": [{"lane": "a", "service": "long-name", "version": 12}], "era": 3}"#;
    let formatted = super::format_lists(&answer.parse().unwrap()).unwrap();
    let lines: Vec<&str> = formatted.lines().collect();
    assert_eq!(lines[0], "rows (1)");
    assert!(lines[1].starts_with("lane  service    version  weight"));
    assert_eq!(lines[2], "a     long-name  12       -       -        -     -     -");
}
