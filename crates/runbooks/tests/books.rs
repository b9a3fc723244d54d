//! Every shipped runbook is valid, and its page in the documentation matches it.
use primitives::{parse, Look};
use std::path::Path;

fn given_a_shipped_runbook_then_it_is_valid_and_its_page_is_up_to_date(
    path: &Path,
) -> datatest_stable::Result<()> {
    let runbook = runbooks::read_runbook(&Look::at(&parse(&std::fs::read_to_string(path)?)?, ""))?;
    let name = path.file_stem().unwrap().to_string_lossy().into_owned();
    assert!(runbooks::SHIPPED.iter().any(|(shipped, _)| *shipped == name), "{name} is not shipped");
    let page = runbooks::page(&name, &runbook);
    let page_path = format!("../../docs/runbooks/{name}.md");
    if std::env::var("LANEWING_WRITE_PAGES").is_ok() {
        std::fs::write(&page_path, &page)?;
    }
    assert_eq!(std::fs::read_to_string(page_path)?, page, "run with LANEWING_WRITE_PAGES=1");
    Ok(())
}

datatest_stable::harness! {
    {
        test = given_a_shipped_runbook_then_it_is_valid_and_its_page_is_up_to_date,
        root = "../../runbooks",
        pattern = r"^.*\.json$",
    },
}
