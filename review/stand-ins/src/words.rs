//! The platform's names come from its list, so that they stand in one place only.
const LIST: &str = include_str!("../../../platform/words.txt");

/// The one word of the list that begins so.
pub fn w(prefix: &str) -> &'static str {
    let lines = LIST.lines().filter(|l| !l.is_empty() && !l.starts_with('#'));
    let all: Vec<&str> = lines.map(|l| l.trim_start_matches('=')).filter(|l| l.starts_with(prefix)).collect();
    match all.as_slice() {
        [one] => one,
        _ => panic!("{prefix} begins {} words of the list", all.len()),
    }
}
