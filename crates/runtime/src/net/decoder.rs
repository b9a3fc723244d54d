//! Extracts complete frames from a stream of bytes.
use crate::frame::{FrameError, FrameHeader};

/// Buffers the received part of an incomplete frame; empty between frames.
#[derive(Default)]
pub(super) struct FrameDecoder {
    partial: Vec<u8>,
}

impl FrameDecoder {
    /// Adds received bytes and passes the content of each frame they complete to `on_frame`, in
    /// order. Stops at the first error.
    pub(super) fn feed<E: From<FrameError>>(
        &mut self,
        bytes: &[u8],
        mut on_frame: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        if self.partial.is_empty() {
            let consumed = decode(bytes, &mut on_frame)?;
            self.partial.extend_from_slice(&bytes[consumed..]);
            return Ok(());
        }
        self.partial.extend_from_slice(bytes);
        let consumed = decode(&self.partial, &mut on_frame)?;
        if consumed == self.partial.len() {
            // Releases the memory, because most links are idle most of the time.
            self.partial = Vec::new();
        } else if consumed > 0 {
            self.partial = self.partial.split_off(consumed);
        }
        Ok(())
    }
}

/// Passes on every complete frame and returns how many bytes they took.
fn decode<E: From<FrameError>>(
    bytes: &[u8],
    on_frame: &mut impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<usize, E> {
    let mut consumed = 0;
    while let Some(header_bytes) = bytes[consumed..].first_chunk::<{ FrameHeader::SIZE }>() {
        let header = FrameHeader::parse(header_bytes)?;
        let start = consumed + FrameHeader::SIZE;
        let Some(content) = bytes.get(start..start + header.size) else { break };
        header.check(content)?;
        on_frame(content)?;
        consumed = start + header.size;
    }
    Ok(consumed)
}
