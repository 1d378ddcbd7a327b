//! Framing on TCP: a preface with the version in each direction, then frames, each the length of a message as 32 bits in
//! little-endian order and the encoded message.
//!
//! What a peer sends is bounded before it is read: a frame above [`LARGEST_FRAME`] ends the connection, and a first one
//! above [`LARGEST_FIRST_FRAME`].

use crate::PROTOCOL_VERSION;
use crate::error::WireError;
use crate::message::PeerMessage;
use bytes::{Buf, BytesMut};
use speedy::{Readable, Writable};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest frame, in bytes: some times the claims of a shard, which the largest message moves (docs/CAPACITY.md).
pub const LARGEST_FRAME: usize = 8 * 1024 * 1024;

/// Largest first frame on a connection, in bytes. Until it is read, the other side may be anything.
pub const LARGEST_FIRST_FRAME: usize = 64 * 1024;

/// Begins each preface.
const MAGIC: [u8; 6] = *b"Seamht";
/// Bytes of magic and version.
const PREFACE: usize = 8;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Room for each read, in bytes.
const READ_CHUNK: usize = 16 * 1024;

/// Sends the preface; first thing in each direction.
///
/// # Errors
/// [`WireError::Io`].
pub async fn write_preface(stream: &mut (impl AsyncWrite + Unpin)) -> Result<(), WireError> {
    let mut preface = [0; PREFACE];
    preface[..MAGIC.len()].copy_from_slice(&MAGIC);
    preface[MAGIC.len()..].copy_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    stream.write_all(&preface).await?;
    Ok(())
}

/// Reads and checks the other side's preface.
///
/// # Errors
/// [`WireError::NotSeamhatch`], [`WireError::Version`] or [`WireError::Io`].
pub async fn read_preface(stream: &mut (impl AsyncRead + Unpin)) -> Result<(), WireError> {
    let mut preface = [0; PREFACE];
    stream.read_exact(&mut preface).await?;
    if preface[..MAGIC.len()] != MAGIC {
        return Err(WireError::NotSeamhatch);
    }
    let version = u16::from_le_bytes([preface[6], preface[7]]);
    if version != PROTOCOL_VERSION {
        return Err(WireError::Version { theirs: version, ours: PROTOCOL_VERSION });
    }
    Ok(())
}

/// Appends one frame to `buffer`.
///
/// # Errors
/// [`WireError::FrameTooLarge`] or [`WireError::Malformed`]; `buffer` is as before then.
pub fn encode_frame(message: &PeerMessage, buffer: &mut Vec<u8>) -> Result<(), WireError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    if let Err(error) = message.write_to_stream(&mut *buffer) {
        buffer.truncate(start);
        return Err(error.into());
    }
    let length = buffer.len() - start - LENGTH_BYTES;
    if length > LARGEST_FRAME {
        buffer.truncate(start);
        return Err(WireError::FrameTooLarge { length, limit: LARGEST_FRAME });
    }
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// Reads frames from a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `stream`, whose preface has been read.
    pub fn new(stream: R) -> Self {
        Self { stream, buffer: BytesMut::with_capacity(READ_CHUNK) }
    }

    /// The next message, or none when the stream ended between frames.
    ///
    /// Cancel-safe: bytes that were read stay in the buffer, so a cancelled call can be made again.
    ///
    /// # Errors
    /// [`WireError`]; the stream can't be used afterwards.
    pub async fn next(&mut self) -> Result<Option<PeerMessage>, WireError> {
        self.next_within(LARGEST_FRAME).await
    }

    /// The first message, which must fit into [`LARGEST_FIRST_FRAME`]; otherwise as [`Self::next`].
    ///
    /// # Errors
    /// [`WireError`]; the stream can't be used afterwards.
    pub async fn first(&mut self) -> Result<Option<PeerMessage>, WireError> {
        self.next_within(LARGEST_FIRST_FRAME).await
    }

    async fn next_within(&mut self, limit: usize) -> Result<Option<PeerMessage>, WireError> {
        loop {
            if let Some(message) = self.take_frame(limit)? {
                return Ok(Some(message));
            }
            self.buffer.reserve(READ_CHUNK);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(WireError::Truncated) };
            }
        }
    }

    fn take_frame(&mut self, limit: usize) -> Result<Option<PeerMessage>, WireError> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let mut head = [0; LENGTH_BYTES];
        head.copy_from_slice(&self.buffer[..LENGTH_BYTES]);
        let length = u32::from_le_bytes(head) as usize;
        if length > limit {
            return Err(WireError::FrameTooLarge { length, limit });
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        Ok(Some(PeerMessage::read_from_buffer(&body)?))
    }
}
