//! What became of the claims that a daemon made, and the answers that it holds for daemons that have ended.

use seamhatch_core::claims::{ClaimHolder, ClaimKey};
use seamhatch_core::identity::Incarnation;
use seamhatch_wire::{RecordedAnswer, RecordedState};
use seamhatchd::claims::ClaimRecords;
use std::sync::mpsc;
use std::time::Duration;

/// Times that the same answer is handed over, and its bytes: together more than is kept.
const TIMES: usize = 200;
const BODY: usize = 64 * 1024;
/// Longest that the whole takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against an answer that counts once more each time that it is handed over, until nothing is kept and the trimming never ends.
#[test]
fn an_answer_that_is_handed_over_again_is_kept_once() {
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let records = ClaimRecords::default();
        let holder = ClaimHolder {
            daemon: "127.0.0.1:7000".parse().expect("an address"),
            incarnation: Incarnation(1),
            attempt: 1,
        };
        let (other, again) = (ClaimKey(1), ClaimKey(2));
        let answer = RecordedAnswer { status: 200, headers: Vec::new(), body: vec![b'a'; BODY] };
        records.hold(other, holder, answer.clone());
        for _ in 0..TIMES {
            records.hold(again, holder, answer.clone());
        }
        let kept = [other, again].map(|key| records.get(key, holder));
        done.send((kept, records.answered().len())).expect("is awaited");
    });
    let (kept, answered) = ended.recv_timeout(PATIENCE).expect("ends");
    for state in kept {
        assert!(matches!(state, RecordedState::Answered(answer) if answer.body.len() == BODY));
    }
    assert_eq!(answered, 2);
}
