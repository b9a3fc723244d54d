//! The record of a case: what was sent, answered and run, with the milliseconds since the start.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = Mutex::new(File::create(path).expect("the record is created"));
        Record { start: Instant::now(), file }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no thread panics with it");
        writeln!(file, "{:>7} {}", self.ms(), text.as_ref()).expect("the record is written");
    }
}
