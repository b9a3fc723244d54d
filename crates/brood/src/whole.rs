//! A whole answer as it came from an origin.
use crate::heads::Heads;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::fmt;
use std::sync::Arc;

/// Room in memory that is given back once nobody holds this any more.
#[derive(Clone, Default)]
pub struct Hold(pub Option<Arc<dyn Any + Send + Sync>>);

impl fmt::Debug for Hold {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(if self.0.is_some() { "held" } else { "free" })
    }
}

/// Says nothing of the answer itself.
impl PartialEq for Hold {
    fn eq(&self, _: &Hold) -> bool {
        true
    }
}
impl Eq for Hold {}

/// Invariant: `heads` are end-to-end only, and the body is all there was.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    pub status: u16,
    pub heads: Heads,
    pub body: Arc<Vec<u8>>,
    #[serde(skip)]
    pub hold: Hold,
}

impl Whole {
    pub fn new(status: u16, mime: &str, body: Vec<u8>) -> Whole {
        let heads = Heads::default().with("content-type", mime);
        Whole { status, heads, body: Arc::new(body), hold: Hold::default() }
    }

    /// To be kept where another account bounds the memory.
    pub fn kept(&self) -> Whole {
        Whole { hold: Hold::default(), ..self.clone() }
    }

    pub fn size(&self) -> usize {
        self.body.len() + self.heads.bytes()
    }
}
