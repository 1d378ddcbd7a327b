//! Which rate of a back end applies, if answers arrive in any order and from several instances.

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

/// What happens to the tracker; the time is the position in the list.
enum Event {
    /// An instance opens.
    Opens(&'static str),
    /// An answer of `i` names a rate; its request was sent at this time.
    Names(f64, u64),
    /// An answer of `i` names no rate.
    NamesNone(u64),
    /// An answer that may not be from the instance itself names no rate.
    SaysNothing(u64),
    /// An answer of `i` names a rate that cannot be parsed.
    Unreadable(u64),
    /// An answer of another instance names a rate.
    OtherNames(f64, u64),
    /// Another daemon hands back a rate of this instance.
    HandsBack(&'static str, f64),
}

struct RateCase {
    name: &'static str,
    events: &'static [Event],
    rate: Option<f64>,
}

use Event::*;

const CASES: [RateCase; 21] = [
    RateCase { name: "nothing is named", events: &[Opens("i"), NamesNone(1)], rate: None },
    RateCase { name: "named", events: &[Opens("i"), Names(10.0, 1)], rate: Some(10.0) },
    RateCase { name: "lifted", events: &[Opens("i"), Names(10.0, 1), NamesNone(2)], rate: None },
    RateCase {
        name: "an answer that was begun before it was named comes after",
        events: &[Opens("i"), Names(10.0, 1), NamesNone(1)],
        rate: Some(10.0),
    },
    RateCase {
        name: "a lower one applies whenever its request was sent",
        events: &[Opens("i"), Names(10.0, 1), Names(5.0, 0)],
        rate: Some(5.0),
    },
    RateCase {
        name: "a higher one from before the lower one",
        events: &[Opens("i"), Names(5.0, 1), Names(10.0, 1)],
        rate: Some(5.0),
    },
    RateCase {
        name: "lifted by an answer from before a higher rate that came late",
        events: &[Opens("i"), Names(5.0, 0), Names(10.0, 1), NamesNone(2)],
        rate: Some(5.0),
    },
    RateCase {
        name: "raised while answers overlap",
        events: &[Opens("i"), Names(5.0, 0), Names(10.0, 1), Names(10.0, 2)],
        rate: Some(10.0),
    },
    RateCase {
        name: "raised twice while answers overlap",
        events: &[Opens("i"), Names(5.0, 0), Names(7.0, 1), Names(10.0, 2), Names(7.0, 2)],
        rate: Some(7.0),
    },
    RateCase { name: "raised", events: &[Opens("i"), Names(5.0, 1), Names(10.0, 2)], rate: Some(10.0) },
    RateCase {
        name: "a stale rate after the end is corrected by the next answer",
        events: &[Opens("i"), Names(5.0, 1), NamesNone(2), Names(5.0, 1), NamesNone(5)],
        rate: None,
    },
    RateCase {
        name: "named again and again, a late answer without it",
        events: &[Opens("i"), Names(5.0, 1), Names(5.0, 2), Names(5.0, 3), NamesNone(2)],
        rate: Some(5.0),
    },
    RateCase {
        name: "what can't be read neither names nor lifts",
        events: &[Opens("i"), Names(5.0, 1), Unreadable(2), SaysNothing(3)],
        rate: Some(5.0),
    },
    RateCase { name: "another instance", events: &[Opens("i"), OtherNames(1.0, 1)], rate: None },
    RateCase { name: "the next instance", events: &[Opens("i"), Names(5.0, 1), Opens("j")], rate: None },
    RateCase { name: "the same again", events: &[Opens("i"), Names(5.0, 1), Opens("i")], rate: Some(5.0) },
    RateCase { name: "handed back before", events: &[HandsBack("i", 5.0), Opens("i")], rate: Some(5.0) },
    RateCase { name: "handed back for another", events: &[HandsBack("h", 5.0), Opens("i")], rate: None },
    RateCase {
        name: "handed back by several, and lifted by itself",
        events: &[HandsBack("i", 9.0), Opens("i"), HandsBack("i", 5.0), HandsBack("i", 7.0)],
        rate: Some(5.0),
    },
    RateCase {
        name: "handed back while its own answer is in transit",
        events: &[Opens("i"), HandsBack("i", 5.0), Names(10.0, 1)],
        rate: Some(10.0),
    },
    RateCase {
        name: "handed back after its own answer",
        events: &[Opens("i"), NamesNone(1), HandsBack("i", 5.0)],
        rate: None,
    },
];

#[test]
fn the_lowest_rate_that_is_not_out_of_date_applies() {
    for RateCase { name, events, rate: expected } in CASES {
        let mut tracker = RateTracker::default();
        for (place, event) in events.iter().enumerate() {
            let now = Instant(place as u64);
            let own = Some(id("i"));
            let mut observe = |rate, proven, sent: &u64| {
                let notice = AnswerNotice { rate, proven, ..AnswerNotice::default() };
                tracker.observe(own.as_ref(), notice, Instant(*sent), now)
            };
            match event {
                Opens(instance) => drop(tracker.open(Some(&id(instance)))),
                Names(named, sent) => drop(observe(NamedRate::Named(rate(*named)), true, sent)),
                NamesNone(sent) => drop(observe(NamedRate::NotNamed, true, sent)),
                SaysNothing(sent) => drop(observe(NamedRate::NotNamed, false, sent)),
                Unreadable(sent) => drop(observe(NamedRate::Unreadable, true, sent)),
                OtherNames(named, sent) => {
                    let notice = AnswerNotice {
                        rate: NamedRate::Named(rate(*named)),
                        proven: true,
                        ..AnswerNotice::default()
                    };
                    tracker.observe(Some(&id("other")), notice, Instant(*sent), now);
                }
                HandsBack(instance, named) => drop(tracker.hand_back(Some(&id(instance)), rate(*named))),
            }
        }
        assert_eq!(tracker.rate(), expected.map(rate), "{name}");
    }
}

#[test]
fn a_handed_back_rate_is_kept_until_an_instance_opens() {
    let mut tracker = RateTracker::default();
    assert_eq!(tracker.hand_back(Some(&id("i")), rate(5.0)), RateChange::Unchanged);
    assert_eq!(tracker.rate_for_peers(), Some((Some(&id("i")), rate(5.0))));
    assert_eq!(tracker.open(Some(&id("i"))), RateChange::Limit(rate(5.0)));
    assert_eq!(tracker.rate_for_peers(), Some((Some(&id("i")), rate(5.0))));
    assert_eq!(tracker.open(Some(&id("j"))), RateChange::Unlimited);
    assert_eq!(tracker.rate_for_peers(), None);
}
