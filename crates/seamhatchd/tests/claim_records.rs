//! Records of the claims that a daemon has made, and the answers that it holds for daemons that have stopped.

use seamhatch_core::claims::{ClaimHolder, ClaimKey};
use seamhatch_core::identity::Incarnation;
use seamhatch_wire::{RecordedAnswer, RecordedState};
use seamhatchd::claims::ClaimRecords;
use std::sync::mpsc;
use std::time::Duration;

/// How often the same answer is handed over. With [`BODY_BYTES`], the sum exceeds the limit on recorded bytes.
const REPEATS: usize = 200;
/// Size of the answer's body.
const BODY_BYTES: usize = 64 * 1024;
/// Ends a test in which trimming does not terminate.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against adding an answer's bytes to the total each time that it is handed over: the total then exceeds the limit even with
/// no records left, and the trimming never ends.
#[test]
fn an_answer_that_is_handed_over_repeatedly_is_kept_once() {
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let records = ClaimRecords::default();
        let holder = ClaimHolder {
            daemon: "127.0.0.1:7000".parse().expect("an address"),
            incarnation: Incarnation(1),
            attempt: 1,
        };
        let (other, repeated) = (ClaimKey(1), ClaimKey(2));
        let answer = RecordedAnswer { status: 200, headers: Vec::new(), body: vec![b'a'; BODY_BYTES] };
        records.hold(other, holder, answer.clone());
        for _ in 0..REPEATS {
            records.hold(repeated, holder, answer.clone());
        }
        let kept = [other, repeated].map(|key| records.get(key, holder));
        done.send((kept, records.answered().len())).expect("the test waits for the result");
    });
    let (kept, answered) = ended.recv_timeout(TIMEOUT).expect("the trimming ends");
    for state in kept {
        assert!(matches!(state, RecordedState::Answered(answer) if answer.body.len() == BODY_BYTES));
    }
    assert_eq!(answered, 2);
}
