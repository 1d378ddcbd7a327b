//! The codecs: what is written is read again, and no bytes do harm.

use proptest::prelude::*;
use seamhatch_core::Instant;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, CallId, Incarnation};
use seamhatch_core::membership::{
    GossipBody, GossipMessage, Lifecycle, Liveness, MemberInfo, MemberRecord, NEWS_PER_MESSAGE,
};
use seamhatch_wire::{
    FrameReader, Hello, LARGEST_DATAGRAM, PeerMessage, WireError, decode_datagram, encode_datagram,
    encode_frame,
};

fn address() -> Address {
    "10.1.2.3:7002".parse().expect("valid")
}

fn record(name: &str) -> MemberRecord {
    MemberRecord {
        info: MemberInfo {
            gossip: address(),
            peer: address(),
            admin: address(),
            region: name.into(),
            zone: name.into(),
            service: name.into(),
            slots: 8,
            quota_shards: 1 << 3,
        },
        incarnation: Incarnation(7),
        revision: 3,
        lifecycle: Lifecycle::Ready,
        liveness: Liveness::Alive,
        leaving: false,
    }
}

fn gossip(news: usize, name: &str) -> GossipMessage {
    GossipMessage {
        from: address(),
        generation: Generation(9),
        roster_version: 2,
        body: GossipBody::Ping { sequence: 5 },
        news: vec![record(name); news],
    }
}

async fn read_all(bytes: &[u8]) -> Result<Vec<PeerMessage>, WireError> {
    let mut reader = FrameReader::new(bytes);
    let mut messages = Vec::new();
    while let Some(message) = reader.next().await? {
        messages.push(message);
    }
    Ok(messages)
}

#[test]
fn a_datagram_stays_bounded_with_the_longest_names() {
    let message = gossip(NEWS_PER_MESSAGE, &"n".repeat(40));
    let bytes = encode_datagram(&message).expect("encodes");
    assert!(bytes.len() <= LARGEST_DATAGRAM);
    let decoded = decode_datagram(&bytes).expect("decodes");
    assert!(!decoded.news.is_empty() && message.news.starts_with(&decoded.news));
}

#[tokio::test]
async fn frames_are_read_again_and_a_cut_one_is_noticed() {
    let hello = PeerMessage::Hello(Hello {
        gossip: address(),
        cluster: "c".into(),
        peer: address(),
        incarnation: Incarnation(1),
        service: "s".into(),
        clock: Instant(5),
        additions: 0,
        handed_back: None,
    });
    let chunk = PeerMessage::AnswerChunk { call: CallId(4), bytes: vec![1; 70_000] };
    let mut bytes = Vec::new();
    encode_frame(&hello, &mut bytes).expect("encodes");
    encode_frame(&chunk, &mut bytes).expect("encodes");
    assert_eq!(read_all(&bytes).await.expect("reads"), [hello, chunk]);
    assert!(matches!(read_all(&bytes[..bytes.len() - 1]).await, Err(WireError::Truncated)));
}

#[tokio::test]
async fn an_impossible_length_is_refused_before_any_memory_is_taken() {
    let bytes = [0xff; 64];
    assert!(matches!(read_all(&bytes).await, Err(WireError::FrameTooLarge { .. })));
}

proptest! {
    #[test]
    fn any_datagram_is_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), head in any::<bool>()) {
        let bytes = if head { [b"Sg\x01\x00".to_vec(), bytes].concat() } else { bytes };
        let _ = decode_datagram(&bytes);
    }

    #[test]
    fn any_stream_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("builds");
        let mut framed = u32::try_from(bytes.len()).expect("small").to_le_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let _ = runtime.block_on(read_all(&framed));
        let _ = runtime.block_on(read_all(&bytes));
    }

    #[test]
    fn gossip_is_read_as_written(news in 0..NEWS_PER_MESSAGE, name in "[a-z]{1,10}") {
        let message = gossip(news, &name);
        let bytes = encode_datagram(&message).expect("encodes");
        prop_assert_eq!(decode_datagram(&bytes).expect("decodes"), message);
    }
}
