//! A command for tests: an id and the keys that it touches.
use caesar::Command;

#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Cmd {
    /// 0 for a no-op.
    pub id: u64,
    pub keys: Vec<u8>,
}

impl Command for Cmd {
    fn conflicts(&self, other: &Cmd) -> bool {
        self.keys.iter().any(|key| other.keys.contains(key))
    }
    fn noop() -> Cmd {
        Cmd { id: 0, keys: vec![] }
    }
}
