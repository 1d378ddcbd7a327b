//! When a starting daemon may trust the heartbeats of its back end.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::departure::{
    CONFIRMATION_GAP, DepartureInquiry, DepartureSource, EarlyHeartbeats, InquiryVerdict, InquiryWait,
};
use seamhatch_core::instance::{Heartbeat, InstanceId, InstanceState};

/// Sources that have answered, the wait, and the verdict.
struct InquiryCase {
    name: &'static str,
    answered: &'static [DepartureSource],
    started: Microseconds,
    members_known: Option<Microseconds>,
    asking: bool,
    verdict: InquiryVerdict,
}

const STORE: DepartureSource = DepartureSource::Store;
const HOLDERS: DepartureSource = DepartureSource::Holders;
const FIRST_HOLDERS: DepartureSource = DepartureSource::FirstHolders;

const INQUIRIES: [InquiryCase; 11] = [
    InquiryCase {
        name: "store and holders have answered",
        answered: &[STORE, HOLDERS],
        started: 20 * MILLISECOND,
        members_known: Some(10 * MILLISECOND),
        asking: false,
        verdict: InquiryVerdict::Settled,
    },
    InquiryCase {
        name: "the store was out for long, and no holder could be asked before",
        answered: &[STORE],
        started: 3 * SECOND,
        members_known: None,
        asking: false,
        verdict: InquiryVerdict::Wait,
    },
    InquiryCase {
        name: "some daemon that was known by chance has answered",
        answered: &[STORE, FIRST_HOLDERS],
        started: 3 * SECOND,
        members_known: Some(100 * MILLISECOND),
        asking: true,
        verdict: InquiryVerdict::Wait,
    },
    InquiryCase {
        name: "the holders are silent",
        answered: &[STORE],
        started: 600 * MILLISECOND,
        members_known: Some(501 * MILLISECOND),
        asking: false,
        verdict: InquiryVerdict::Settled,
    },
    InquiryCase {
        name: "the holders are still being asked",
        answered: &[STORE],
        started: 600 * MILLISECOND,
        members_known: Some(501 * MILLISECOND),
        asking: true,
        verdict: InquiryVerdict::Wait,
    },
    InquiryCase {
        name: "only the holders have answered",
        answered: &[HOLDERS],
        started: 700 * MILLISECOND,
        members_known: None,
        asking: false,
        verdict: InquiryVerdict::Wait,
    },
    InquiryCase {
        name: "only the holders have answered, and the store had its time",
        answered: &[HOLDERS],
        started: 801 * MILLISECOND,
        members_known: None,
        asking: false,
        verdict: InquiryVerdict::Unconfirmed,
    },
    InquiryCase {
        name: "the same with daemons known by chance",
        answered: &[FIRST_HOLDERS],
        started: 801 * MILLISECOND,
        members_known: None,
        asking: false,
        verdict: InquiryVerdict::Unconfirmed,
    },
    InquiryCase {
        name: "the store knows what was acknowledged, and never names the daemons",
        answered: &[STORE],
        started: 4 * SECOND + 1,
        members_known: None,
        asking: false,
        verdict: InquiryVerdict::Settled,
    },
    InquiryCase {
        name: "nobody has answered yet",
        answered: &[],
        started: 4 * SECOND,
        members_known: None,
        asking: false,
        verdict: InquiryVerdict::Wait,
    },
    InquiryCase {
        name: "nobody has answered for long",
        answered: &[],
        started: 4 * SECOND + 1,
        members_known: None,
        asking: true,
        verdict: InquiryVerdict::Unconfirmed,
    },
];

/// Guards against a wait that is over before the sources could be asked, and against trust in a back end's word alone.
#[test]
fn an_inquiry_waits_for_the_store_and_for_those_that_may_hold_departures() {
    for case in INQUIRIES {
        let mut inquiry = DepartureInquiry::default();
        case.answered.iter().for_each(|source| inquiry.note_answer(*source));
        let wait =
            InquiryWait { started: case.started, members_known: case.members_known, asking: case.asking };
        assert_eq!(inquiry.verdict(wait), case.verdict, "{}", case.name);
    }
}

/// Guards against an inquiry that ends with the first daemon that answers, though others that are known later hold departures.
#[test]
fn holders_are_asked_as_they_become_known_and_again_once_all_daemons_are() {
    let mut inquiry = DepartureInquiry::default();
    assert!(inquiry.needs_holders(false, true));
    inquiry.note_answer(FIRST_HOLDERS);
    assert!(inquiry.needs_holders(false, true));
    assert!(!inquiry.needs_holders(false, false));
    assert!(inquiry.needs_holders(true, false));
    inquiry.note_answer(HOLDERS);
    assert!(!inquiry.needs_holders(true, true));
}

/// A heartbeat of an instance, by its name, sequence number and time of arrival.
struct Arrival(&'static str, u64, Microseconds);

/// Heartbeats before an instance can be trusted, and the instances heard last and confirmed last.
struct EarlyCase {
    name: &'static str,
    arrivals: &'static [Arrival],
    latest: Option<&'static str>,
    confirmed: Option<&'static str>,
}

const EARLY: [EarlyCase; 7] = [
    EarlyCase { name: "nothing", arrivals: &[], latest: None, confirmed: None },
    EarlyCase {
        name: "a late one, alone",
        arrivals: &[Arrival("left", 9, 0)],
        latest: Some("left"),
        confirmed: None,
    },
    EarlyCase {
        name: "late ones that a cut held up arrive together",
        arrivals: &[Arrival("left", 9, 0), Arrival("left", 10, CONFIRMATION_GAP - 1)],
        latest: Some("left"),
        confirmed: None,
    },
    EarlyCase {
        name: "late ones in reverse order",
        arrivals: &[Arrival("left", 10, 0), Arrival("left", 9, 2 * SECOND)],
        latest: Some("left"),
        confirmed: None,
    },
    EarlyCase {
        name: "one that lives",
        arrivals: &[Arrival("lives", 9, 0), Arrival("lives", 10, CONFIRMATION_GAP)],
        latest: Some("lives"),
        confirmed: Some("lives"),
    },
    EarlyCase {
        name: "a late one between two of one that lives",
        arrivals: &[Arrival("lives", 9, 0), Arrival("left", 40, SECOND), Arrival("lives", 10, 2 * SECOND)],
        latest: Some("lives"),
        confirmed: Some("lives"),
    },
    EarlyCase {
        name: "a late one after those of one that lives",
        arrivals: &[Arrival("lives", 9, 0), Arrival("lives", 10, SECOND), Arrival("left", 40, 2 * SECOND)],
        latest: Some("left"),
        confirmed: Some("lives"),
    },
];

/// Guards against a departed instance that a late heartbeat opens while the store can't be asked.
#[test]
fn an_instance_that_is_heard_again_lives() {
    for case in EARLY {
        let mut early = EarlyHeartbeats::default();
        let mut last_is_confirmed = false;
        for Arrival(instance, sequence, at) in case.arrivals {
            last_is_confirmed = early.note(heartbeat(instance, *sequence), Instant(*at));
        }
        let name = |heartbeat: Option<&Heartbeat>| heartbeat.map(|heartbeat| heartbeat.instance.name.clone());
        assert_eq!(name(early.latest()).as_deref(), case.latest, "{}", case.name);
        assert_eq!(name(early.latest_confirmed()).as_deref(), case.confirmed, "{}", case.name);
        let is_last = case.latest.is_some() && case.latest == case.confirmed;
        assert_eq!(last_is_confirmed, is_last, "{}", case.name);
    }
}

#[test]
fn heartbeats_of_many_instances_are_bounded() {
    let mut early = EarlyHeartbeats::default();
    for number in 0..1_000 {
        early.note(heartbeat(&format!("i-{number}"), 5), Instant(number));
    }
    // The first was dropped, so its next heartbeat counts as its first.
    assert!(!early.note(heartbeat("i-0", 6), Instant(SECOND)));
    assert!(early.note(heartbeat("i-999", 6), Instant(SECOND)));
}

fn heartbeat(instance: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::named(instance),
        sequence,
        state: InstanceState::Ready,
        slots: 8,
        cold_for: 0,
    }
}
