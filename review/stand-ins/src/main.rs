//! `review-stand-ins CASE RECORD`: plays one case and exits with its verdict. With TROUBLE=0 in
//! the environment the same goes on without the disruption.
mod cases;
mod fleet;
mod http;
mod operator;
mod origin;
mod record;
mod scene;
mod words;

use record::Record;
use std::sync::Arc;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::new(args.get(2).map_or("record.txt", String::as_str)));
    record.note(format!("case {}, trouble: {trouble}", args.get(1).map_or("", String::as_str)));
    let verdict = match args.get(1).map(String::as_str) {
        Some("replaced") => cases::replaced::play(&record, trouble),
        Some("founding") => cases::founding::play(&record, trouble),
        Some("moved-key") => cases::moved_key::play(&record, trouble),
        Some("moved-page") => cases::moved_page::play(&record, trouble),
        Some("outcomes") => cases::outcomes::play(&record, trouble),
        Some("uploads") => cases::uploads::play(&record, trouble),
        _ => scene::NOT_RUN,
    };
    record.note(format!("verdict {verdict}"));
    std::process::exit(verdict);
}
