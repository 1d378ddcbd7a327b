//! When the receiver of a body grants credit.

use seamhatch_core::body_credit::OwedCredit;

const WINDOW: u32 = 1000;

/// Granting credit for each piece cost two wake-ups per piece, although most bodies fit into the window.
#[test]
fn credit_is_granted_once_half_of_the_window_is_owed() {
    let cases: [(&str, &[u32], &[u32]); 6] = [
        ("a small body", &[300, 199], &[]),
        ("half of the window in one piece", &[500], &[500]),
        ("half of the window in two", &[499, 1], &[500]),
        ("the count starts over after each grant", &[400, 400, 400, 99, 1], &[800, 500]),
        ("a piece that is larger than the window", &[5000, 499], &[5000]),
        ("empty pieces", &[0, 0, 0], &[]),
    ];
    for (name, pieces, credit) in cases {
        let mut owed = OwedCredit::new(WINDOW);
        let sent: Vec<u32> = pieces.iter().filter_map(|bytes| owed.take(*bytes)).collect();
        assert_eq!(sent, credit, "{name}");
    }
}

/// A sender sends a piece whenever its window is above zero. If credit were held back for too long, the sender would
/// wait for credit while the receiver waits for more of the body.
#[test]
fn the_sender_never_waits_for_credit_that_is_held_back() {
    for window in [1, 2, 3, 64, 1000] {
        for piece in [1, 2, 7, 63, 499, 500, 999, 1000, 3000] {
            let mut owed = OwedCredit::new(window);
            let mut available = i64::from(window);
            for _piece in 0..1000 {
                assert!(available > 0, "a window of {window}, pieces of {piece}");
                available -= i64::from(piece);
                available += i64::from(owed.take(piece).unwrap_or(0));
            }
        }
    }
}
