//! Finds whole frames in bytes that arrive in pieces.
use crate::frame::{FrameError, FrameHeader};

/// Holds what has arrived of a frame that is not yet whole; nothing between frames.
#[derive(Default)]
pub(super) struct FrameDecoder {
    partial: Vec<u8>,
}

impl FrameDecoder {
    /// Takes bytes in and hands on the content of each frame they complete, in order.
    pub(super) fn feed<E: From<FrameError>>(
        &mut self,
        bytes: &[u8],
        mut on_frame: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        if self.partial.is_empty() {
            let used = decode(bytes, &mut on_frame)?;
            self.partial.extend_from_slice(&bytes[used..]);
            return Ok(());
        }
        self.partial.extend_from_slice(bytes);
        let used = decode(&self.partial, &mut on_frame)?;
        if used == self.partial.len() {
            // Gives its memory back: most links are idle most of the time.
            self.partial = Vec::new();
        } else if used > 0 {
            self.partial = self.partial.split_off(used);
        }
        Ok(())
    }
}

/// Hands on every whole frame; tells how many bytes they took.
fn decode<E: From<FrameError>>(
    bytes: &[u8],
    on_frame: &mut impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<usize, E> {
    let mut used = 0;
    while let Some(h) = bytes[used..].first_chunk::<{ FrameHeader::SIZE }>() {
        let header = FrameHeader::parse(h)?;
        let begin = used + FrameHeader::SIZE;
        let Some(content) = bytes.get(begin..begin + header.size) else { break };
        header.check(content)?;
        on_frame(content)?;
        used = begin + header.size;
    }
    Ok(used)
}
