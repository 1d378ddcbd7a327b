//! Which peers may be asked for a newer configuration.

use seamhatch_core::clock::{Instant, MILLISECOND};
use seamhatch_core::generation::{ASK_AGAIN_INTERVAL, AskedPeers};
use seamhatch_core::identity::Address;

/// A question to a peer at a time in milliseconds, and whether it may be asked.
struct AskCase {
    name: &'static str,
    peer: u16,
    at_ms: u64,
    /// A configuration arrives right before the question.
    arrives: bool,
    may_ask: bool,
}

/// A peer whose answer was lost used not to be asked again until a configuration arrived in another way.
#[test]
fn a_peer_that_has_not_answered_is_asked_again() {
    let again_ms = ASK_AGAIN_INTERVAL / MILLISECOND;
    let case = |name, peer, at_ms, arrives, may_ask| AskCase { name, peer, at_ms, arrives, may_ask };
    let cases = [
        case("the first question", 1, 0, false, true),
        case("while the answer may still arrive", 1, again_ms - 1, false, false),
        case("another peer", 2, again_ms - 1, false, true),
        case("the answer is lost", 1, again_ms, false, true),
        case("right after that", 1, again_ms + 1, false, false),
        case("after a configuration has arrived", 1, again_ms + 2, true, true),
    ];
    let mut asked = AskedPeers::default();
    for case in cases {
        if case.arrives {
            asked.clear();
        }
        let peer = Address { ip: [127, 0, 0, 1].into(), port: case.peer };
        assert_eq!(asked.begin(peer, Instant(case.at_ms * MILLISECOND)), case.may_ask, "{}", case.name);
    }
}
