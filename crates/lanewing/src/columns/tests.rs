//! Tests of aligned columns.

#[test]
fn given_an_answer_with_lists_then_each_is_a_sheet_with_its_columns_in_line() {
    let v = r#"{"rows": [{"lane": "a", "service": "long-name", "version": 12}], "era": 3}"#;
    let s = super::format_lists(&v.parse().unwrap()).unwrap();
    let lines: Vec<&str> = s.lines().collect();
    assert_eq!(lines[0], "rows (1)");
    assert!(lines[1].starts_with("lane  service    version  weight"));
    assert_eq!(lines[2], "a     long-name  12       -       -        -     -     -");
}
