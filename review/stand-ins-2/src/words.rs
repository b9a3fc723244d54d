//! The platform's words, read from the project's list of them when a case runs.
use std::path::Path;

/// The sections of the list, each with its words in order.
pub struct Words {
    sections: Vec<Vec<String>>,
}

/// Positions of the words in the list, by section.
const HEADERS: usize = 0;
const PATHS: usize = 1;
const FIELDS: usize = 2;
const SETTINGS: usize = 3;

impl Words {
    /// Reads the list in the repository at `root`.
    pub fn read(root: &Path) -> Words {
        let text = std::fs::read_to_string(root.join("platform/words.txt")).expect("the list of words");
        let mut sections: Vec<Vec<String>> = vec![];
        let mut in_words = true;
        for line in text.lines().map(str::trim) {
            match line {
                "" => in_words = false,
                l if l.starts_with('#') => in_words = false,
                word => {
                    if !in_words {
                        sections.push(vec![]);
                    }
                    in_words = true;
                    let last = sections.last_mut().expect("a section was begun");
                    last.push(word.trim_start_matches('=').to_string());
                }
            }
        }
        assert_eq!(sections.len(), 4, "the list of words has four sections");
        Words { sections }
    }

    fn word(&self, section: usize, index: usize) -> &str {
        &self.sections[section][index]
    }

    pub fn request_id(&self) -> &str {
        self.word(HEADERS, 0)
    }
    pub fn time_left(&self) -> &str {
        self.word(HEADERS, 1)
    }
    pub fn key(&self) -> &str {
        self.word(HEADERS, 2)
    }
    pub fn seal(&self) -> &str {
        self.word(HEADERS, 3)
    }
    pub fn target(&self) -> &str {
        self.word(HEADERS, 4)
    }
    pub fn not_run(&self) -> &str {
        self.word(HEADERS, 6)
    }
    pub fn readiness_path(&self) -> &str {
        self.word(PATHS, 0)
    }
    pub fn instances_path(&self) -> &str {
        self.word(PATHS, 1)
    }
    pub fn beat(&self) -> &str {
        self.word(PATHS, 2)
    }
    pub fn configuration_path(&self) -> &str {
        self.word(PATHS, 4)
    }
    /// A field of a call to the control interface.
    pub fn field(&self, index: usize) -> &str {
        self.word(FIELDS, index)
    }
    /// A field of the settings file.
    pub fn setting(&self, index: usize) -> &str {
        self.word(SETTINGS, index)
    }
    /// The variable that names the settings file.
    pub fn settings_variable(&self) -> String {
        self.setting(0).to_uppercase().replace('-', "_")
    }
}
