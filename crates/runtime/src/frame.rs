//! Frames sent between nodes: magic, protocol version, length and checksum, then a message.
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io::{self, Read};

const MAGIC: [u8; 2] = *b"LW";
/// Version of the protocol between nodes. It must be raised with every change of a message: a
/// frame of another version is rejected and its connection closed.
pub const VERSION: u8 = 5;
/// Largest message in bytes. Larger frames are never sent, and close the connection when
/// received.
pub(crate) const MAX_CONTENT_LEN: usize = 16 << 20;

/// Why a frame could not be read.
#[derive(Debug, Snafu)]
pub enum FrameError {
    #[snafu(display("connection failed: {source}"), context(false))]
    Connection { source: io::Error },
    #[snafu(display("not a frame: the magic number is wrong"))]
    BadMagic,
    #[snafu(display("frame of version {version}, this node speaks {VERSION}"))]
    VersionMismatch { version: u8 },
    #[snafu(display("frame of {size} bytes exceeds the limit of {MAX_CONTENT_LEN} bytes"))]
    TooLarge { size: usize },
    #[snafu(display("frame has a wrong checksum or cannot be decoded"))]
    CorruptFrame,
}

/// Wraps an encoded message in a frame.
pub fn frame(content: &[u8]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend((content.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(content).to_le_bytes());
    bytes.extend(content);
    bytes
}

/// The header of a frame: magic, version, length and checksum.
pub(crate) struct FrameHeader {
    /// Length of the content in bytes.
    pub(crate) size: usize,
    checksum: u32,
}

impl FrameHeader {
    pub(crate) const SIZE: usize = 11;

    pub(crate) fn parse(header: &[u8; FrameHeader::SIZE]) -> Result<FrameHeader, FrameError> {
        if header[..2] != MAGIC {
            return BadMagicSnafu.fail();
        }
        if header[2] != VERSION {
            return VersionMismatchSnafu { version: header[2] }.fail();
        }
        let size = u32::from_le_bytes([header[3], header[4], header[5], header[6]]) as usize;
        if size > MAX_CONTENT_LEN {
            return TooLargeSnafu { size }.fail();
        }
        Ok(FrameHeader { size, checksum: u32::from_le_bytes([header[7], header[8], header[9], header[10]]) })
    }

    pub(crate) fn check(&self, content: &[u8]) -> Result<(), FrameError> {
        (crc32fast::hash(content) == self.checksum).then_some(()).ok_or(FrameError::CorruptFrame)
    }
}

/// Reads the next frame, blocking until it is complete, and returns its verified content.
pub fn read_frame(reader: &mut impl Read) -> Result<Vec<u8>, FrameError> {
    let mut header_bytes = [0u8; FrameHeader::SIZE];
    reader.read_exact(&mut header_bytes)?;
    let header = FrameHeader::parse(&header_bytes)?;
    let mut content = vec![0; header.size];
    reader.read_exact(&mut content)?;
    header.check(&content)?;
    Ok(content)
}

/// Decodes the content of a frame. Trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(content) {
        Ok((value, [])) => Ok(value),
        _ => CorruptFrameSnafu.fail(),
    }
}
