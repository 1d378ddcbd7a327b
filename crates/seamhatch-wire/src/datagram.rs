//! Gossip datagrams: two magic bytes, the version as 16 bits in little-endian order, then one encoded message.

use crate::PROTOCOL_VERSION;
use crate::error::WireError;
use seamhatch_core::membership::GossipMessage;
use speedy::{Readable, Writable};

/// Largest datagram that is sent, in bytes. Derived from the usual path limit of 1,500, less the heads of IP and UDP, with room
/// for a tunnel's.
pub const LARGEST_DATAGRAM: usize = 1_400;

/// Begins each datagram.
const MAGIC: [u8; 2] = *b"Sg";
/// Bytes of magic and version.
const HEAD: usize = 4;

/// Encodes a message. Where it would not fit, the last news are left out; they are sent again later.
///
/// # Errors
/// [`WireError::Malformed`] when the encoder fails.
pub fn encode_datagram(message: &GossipMessage) -> Result<Vec<u8>, WireError> {
    let mut bytes = encode(message)?;
    let mut shortened = message.clone();
    while bytes.len() > LARGEST_DATAGRAM && shortened.news.pop().is_some() {
        bytes = encode(&shortened)?;
    }
    Ok(bytes)
}

fn encode(message: &GossipMessage) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::with_capacity(LARGEST_DATAGRAM);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    bytes.extend_from_slice(&message.write_to_vec()?);
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
/// [`WireError`] for anything that isn't one whole message of this version.
pub fn decode_datagram(bytes: &[u8]) -> Result<GossipMessage, WireError> {
    if bytes.len() < HEAD || bytes[..2] != MAGIC {
        return Err(WireError::NotSeamhatch);
    }
    let version = u16::from_le_bytes([bytes[2], bytes[3]]);
    if version != PROTOCOL_VERSION {
        return Err(WireError::Version { theirs: version, ours: PROTOCOL_VERSION });
    }
    Ok(GossipMessage::read_from_buffer(&bytes[HEAD..])?)
}
