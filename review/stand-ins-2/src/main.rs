//! Plays one case of the review: `stand-ins-2 CASE ROOT RECORD`. Exit code 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run. With `TROUBLE=0` the same is played without the disruption.
mod fleet;
mod founder;
mod http;
mod joined;
mod origin;
mod outcomes;
mod record;
mod refused;
mod unframed;
mod web;
mod words;

use record::Record;
use std::path::Path;
use std::sync::Arc;
use words::Words;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What every case needs.
pub struct Stage {
    pub root: std::path::PathBuf,
    pub words: Arc<Words>,
    pub record: Arc<Record>,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = arguments.as_slice() else {
        eprintln!("usage: stand-ins-2 CASE ROOT RECORD");
        std::process::exit(2);
    };
    let root = std::fs::canonicalize(root).expect("the root of the repository");
    let stage = Stage {
        words: Arc::new(Words::read(&root)),
        record: Arc::new(Record::create(Path::new(record))),
        trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
        root,
    };
    let verdict = match case.as_str() {
        "founder" => founder::play(&stage),
        "joined" => joined::play(&stage),
        "outcomes" => outcomes::play(&stage),
        "refused" => refused::play(&stage),
        "unframed" => unframed::play(&stage),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    stage.record.note(text);
    println!("{case}: {text}");
    std::process::exit(code);
}
