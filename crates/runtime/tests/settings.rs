//! Each settings file under `tests/env` against what should be said of it.
use primitives::{parse, Look};
use runtime::settings::read_settings;
use std::path::Path;

fn given_a_settings_file_then_it_is_taken_or_denied_with_place_and_reason(
    p: &Path,
) -> datatest_stable::Result<()> {
    let s = std::fs::read_to_string(p)?;
    let want = std::fs::read_to_string(p.with_extension("txt"))?;
    let said = parse(&s).and_then(|v| read_settings(&Look::at(&v, "")));
    let said = said.map_or_else(|e| e.to_string(), |e| format!("{} nodes", e.nodes.len()));
    assert_eq!(said, want.trim());
    Ok(())
}

datatest_stable::harness! {
    {
        test = given_a_settings_file_then_it_is_taken_or_denied_with_place_and_reason,
        root = "tests/env",
        pattern = r"^.*\.json$",
    },
}
