//! What was sent, answered and run, line by line, with seconds since the start.
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { began: Instant::now(), file: Mutex::new(file) }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}", line.as_ref());
        println!("{line}");
        let mut f = self.file.lock().expect("no thread panics with it");
        let _ = writeln!(f, "{line}");
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}
