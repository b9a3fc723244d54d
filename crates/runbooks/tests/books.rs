//! Every shipped book is in order, and its page says just what it does.
use primitives::{parse, Look};
use std::path::Path;

fn given_a_shipped_runbook_then_it_reads_and_its_page_is_up_to_date(p: &Path) -> datatest_stable::Result<()> {
    let b = runbooks::read_runbook(&Look::at(&parse(&std::fs::read_to_string(p)?)?, ""))?;
    let name = p.file_stem().unwrap().to_string_lossy().into_owned();
    assert!(runbooks::SHIPPED.iter().any(|(n, _)| *n == name), "{name} is not shipped");
    let page = runbooks::page(&name, &b);
    let at = format!("../../docs/runbooks/{name}.md");
    if std::env::var("LANEWING_WRITE_PAGES").is_ok() {
        std::fs::write(&at, &page)?;
    }
    assert_eq!(std::fs::read_to_string(at)?, page, "run with LANEWING_WRITE_PAGES=1");
    Ok(())
}

datatest_stable::harness! {
    {
        test = given_a_shipped_runbook_then_it_reads_and_its_page_is_up_to_date,
        root = "../../runbooks",
        pattern = r"^.*\.json$",
    },
}
