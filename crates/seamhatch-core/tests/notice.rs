//! Which word of a back end counts: answers come in any order, and from several instances.

use seamhatch_core::Instant;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::{AnswerNotice, NamedRate, RateChange, RateTracker};
use seamhatch_core::rate::RequestRate;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn id(name: &str) -> InstanceId {
    InstanceId::named(name)
}

/// What happens to the book, at the instant of its place in the list.
enum Event {
    /// An instance opens.
    Opens(&'static str),
    /// An answer of `i` names a rate; its request was sent at this instant.
    Names(f64, u64),
    /// One of `i` names none.
    NamesNone(u64),
    /// One that is surely no answer of it names none.
    SaysNothing(u64),
    /// One of `i` names what can't be read.
    Unreadable(u64),
    /// An answer of another instance.
    OtherNames(f64, u64),
    /// Another daemon hands back a rate of this instance.
    HandsBack(&'static str, f64),
}

struct BookCase {
    name: &'static str,
    events: &'static [Event],
    rate: Option<f64>,
}

use Event::*;

const CASES: [BookCase; 21] = [
    BookCase { name: "nothing is named", events: &[Opens("i"), NamesNone(1)], rate: None },
    BookCase { name: "named", events: &[Opens("i"), Names(10.0, 1)], rate: Some(10.0) },
    BookCase { name: "lifted", events: &[Opens("i"), Names(10.0, 1), NamesNone(2)], rate: None },
    BookCase {
        name: "an answer that was begun before it was named comes after",
        events: &[Opens("i"), Names(10.0, 1), NamesNone(1)],
        rate: Some(10.0),
    },
    BookCase {
        name: "a tighter one counts whenever its request was sent",
        events: &[Opens("i"), Names(10.0, 1), Names(5.0, 0)],
        rate: Some(5.0),
    },
    BookCase {
        name: "a looser one of before the tighter one",
        events: &[Opens("i"), Names(5.0, 1), Names(10.0, 1)],
        rate: Some(5.0),
    },
    BookCase {
        name: "lifted by an answer from before a looser word that came late",
        events: &[Opens("i"), Names(5.0, 0), Names(10.0, 1), NamesNone(2)],
        rate: Some(5.0),
    },
    BookCase {
        name: "raised while answers overlap",
        events: &[Opens("i"), Names(5.0, 0), Names(10.0, 1), Names(10.0, 2)],
        rate: Some(10.0),
    },
    BookCase {
        name: "raised twice while answers overlap",
        events: &[Opens("i"), Names(5.0, 0), Names(7.0, 1), Names(10.0, 2), Names(7.0, 2)],
        rate: Some(7.0),
    },
    BookCase { name: "raised", events: &[Opens("i"), Names(5.0, 1), Names(10.0, 2)], rate: Some(10.0) },
    BookCase {
        name: "a stale word after the end is corrected by the next answer",
        events: &[Opens("i"), Names(5.0, 1), NamesNone(2), Names(5.0, 1), NamesNone(5)],
        rate: None,
    },
    BookCase {
        name: "named again and again, a late answer without it",
        events: &[Opens("i"), Names(5.0, 1), Names(5.0, 2), Names(5.0, 3), NamesNone(2)],
        rate: Some(5.0),
    },
    BookCase {
        name: "what can't be read neither names nor lifts",
        events: &[Opens("i"), Names(5.0, 1), Unreadable(2), SaysNothing(3)],
        rate: Some(5.0),
    },
    BookCase { name: "another instance", events: &[Opens("i"), OtherNames(1.0, 1)], rate: None },
    BookCase { name: "the next instance", events: &[Opens("i"), Names(5.0, 1), Opens("j")], rate: None },
    BookCase { name: "the same again", events: &[Opens("i"), Names(5.0, 1), Opens("i")], rate: Some(5.0) },
    BookCase { name: "handed back before", events: &[HandsBack("i", 5.0), Opens("i")], rate: Some(5.0) },
    BookCase { name: "handed back for another", events: &[HandsBack("h", 5.0), Opens("i")], rate: None },
    BookCase {
        name: "handed back by several, and lifted by itself",
        events: &[HandsBack("i", 9.0), Opens("i"), HandsBack("i", 5.0), HandsBack("i", 7.0)],
        rate: Some(5.0),
    },
    BookCase {
        name: "handed back while its own word is on its way",
        events: &[Opens("i"), HandsBack("i", 5.0), Names(10.0, 1)],
        rate: Some(10.0),
    },
    BookCase {
        name: "handed back after its own word",
        events: &[Opens("i"), NamesNone(1), HandsBack("i", 5.0)],
        rate: None,
    },
];

#[test]
fn the_tightest_word_that_is_not_out_of_date_counts() {
    for BookCase { name, events, rate: expected } in CASES {
        let mut book = RateTracker::default();
        for (place, event) in events.iter().enumerate() {
            let now = Instant(place as u64);
            let own = Some(id("i"));
            let mut hear = |rate, proven, sent: &u64| {
                let notice = AnswerNotice { rate, proven, ..AnswerNotice::default() };
                book.observe(own.as_ref(), notice, Instant(*sent), now)
            };
            match event {
                Opens(instance) => drop(book.open(Some(&id(instance)))),
                Names(named, sent) => drop(hear(NamedRate::Named(rate(*named)), true, sent)),
                NamesNone(sent) => drop(hear(NamedRate::NotNamed, true, sent)),
                SaysNothing(sent) => drop(hear(NamedRate::NotNamed, false, sent)),
                Unreadable(sent) => drop(hear(NamedRate::Unreadable, true, sent)),
                OtherNames(named, sent) => {
                    let notice = AnswerNotice {
                        rate: NamedRate::Named(rate(*named)),
                        proven: true,
                        ..AnswerNotice::default()
                    };
                    book.observe(Some(&id("other")), notice, Instant(*sent), now);
                }
                HandsBack(instance, named) => drop(book.hand_back(Some(&id(instance)), rate(*named))),
            }
        }
        assert_eq!(book.rate(), expected.map(rate), "{name}");
    }
}

#[test]
fn what_others_are_to_hand_back_outlives_a_start_without_an_instance() {
    let mut book = RateTracker::default();
    assert_eq!(book.hand_back(Some(&id("i")), rate(5.0)), RateChange::Unchanged);
    assert_eq!(book.rate_for_peers(), Some((Some(&id("i")), rate(5.0))));
    assert_eq!(book.open(Some(&id("i"))), RateChange::HoldTo(rate(5.0)));
    assert_eq!(book.rate_for_peers(), Some((Some(&id("i")), rate(5.0))));
    assert_eq!(book.open(Some(&id("j"))), RateChange::Lifted);
    assert_eq!(book.rate_for_peers(), None);
}
